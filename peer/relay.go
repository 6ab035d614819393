package peer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// RelayCommit implements the service.
func (c *ClusterServer) RelayCommit(ctx context.Context, request *siskinv1.RelayCommitRequest) (*siskinv1.RelayCommitResponse, error) {
	if !c.StoreReachable() {
		return nil, status.Error(codes.ResourceExhausted, "this machine does not reach the store")
	}
	var txn infra.Txn
	for _, condition := range request.GetConditions() {
		txn.Conditions = append(txn.Conditions, infra.Condition{
			Key: condition.GetKey(), Revision: infra.Revision(condition.GetRevision()),
		})
	}
	for _, write := range request.GetWrites() {
		txn.Writes = append(txn.Writes, infra.Write{Key: write.GetKey(), Value: write.GetValue()})
	}
	revision, err := c.Store.Commit(ctx, txn)
	if err != nil {
		return nil, relayStatus(err)
	}
	return &siskinv1.RelayCommitResponse{Revision: int64(revision)}, nil
}

// RelayGet implements the service.
func (c *ClusterServer) RelayGet(ctx context.Context, request *siskinv1.RelayGetRequest) (*siskinv1.RelayGetResponse, error) {
	if !c.StoreReachable() {
		return nil, status.Error(codes.ResourceExhausted, "this machine does not reach the store")
	}
	entry, err := c.Store.Get(ctx, request.GetKey())
	if err != nil {
		return nil, relayStatus(err)
	}
	return &siskinv1.RelayGetResponse{Value: entry.Value, Revision: int64(entry.Revision)}, nil
}

// relayStatus converts an error of the store to a status code from which relayError restores it. A code other than
// Unknown means, as the error does, that the call changed nothing.
func relayStatus(err error) error {
	code := codes.Unknown
	switch {
	case errors.Is(err, infra.ErrConflict):
		code = codes.Aborted
	case errors.Is(err, infra.ErrNotFound):
		code = codes.NotFound
	case errors.Is(err, infra.ErrRefused), errors.Is(err, infra.ErrNotSent):
		code = codes.ResourceExhausted
	}
	return status.Error(code, err.Error())
}

// relayError converts the status of a relayed call back to an error of the store.
func relayError(err error) error {
	switch status.Code(err) {
	case codes.Aborted:
		return infra.ErrConflict
	case codes.NotFound:
		return infra.ErrNotFound
	case codes.ResourceExhausted:
		return infra.ErrRefused
	default:
		return err
	}
}

// Commit commits a transaction to the store through another machine.
func (c *ClusterClients) Commit(ctx context.Context, address string, txn infra.Txn) (infra.Revision, error) {
	client, err := c.client(address)
	if err != nil {
		return 0, err
	}
	request := &siskinv1.RelayCommitRequest{}
	for _, condition := range txn.Conditions {
		request.Conditions = append(request.Conditions, &siskinv1.RelayCondition{
			Key: condition.Key, Revision: int64(condition.Revision),
		})
	}
	for _, write := range txn.Writes {
		request.Writes = append(request.Writes, &siskinv1.RelayWrite{Key: write.Key, Value: write.Value})
	}
	response, err := client.RelayCommit(ctx, request)
	if err != nil {
		return 0, relayError(c.closeOnTimeout(address, err))
	}
	return infra.Revision(response.GetRevision()), nil
}

// Get reads a key of the store through another machine.
func (c *ClusterClients) Get(ctx context.Context, address, key string) (infra.KeyValue, error) {
	client, err := c.client(address)
	if err != nil {
		return infra.KeyValue{}, err
	}
	response, err := client.RelayGet(ctx, &siskinv1.RelayGetRequest{Key: key})
	if err != nil {
		return infra.KeyValue{}, relayError(c.closeOnTimeout(address, err))
	}
	return infra.KeyValue{Key: key, Value: response.GetValue(), Revision: infra.Revision(response.GetRevision())}, nil
}
