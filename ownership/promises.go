package ownership

import (
	"context"
	"sync"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// PeerPromiseCollector asks all other configured VMs concurrently.
type PeerPromiseCollector struct {
	// VMs are the other configured entry VMs.
	VMs []string
	// Send sends the request to one of them.
	Send func(ctx context.Context, vm string, request *siskinv1.PromiseRequest) (*siskinv1.PromiseResponse, error)
}

// Ask implements PromiseCollector.
func (p *PeerPromiseCollector) Ask(ctx context.Context, request *siskinv1.PromiseRequest) []string {
	responses := make([]*siskinv1.PromiseResponse, len(p.VMs))
	var calls sync.WaitGroup
	for i, vm := range p.VMs {
		calls.Go(func() {
			if response, err := p.Send(ctx, vm, request); err == nil {
				responses[i] = response
			}
		})
	}
	calls.Wait()
	return promisedByAll(request, responses)
}

// promisedByAll returns the shards that are in every response; a nil response promises nothing. Without peers there
// is no promise: an empty list of peers does not show that no other VM may acquire a shard.
func promisedByAll(request *siskinv1.PromiseRequest, responses []*siskinv1.PromiseResponse) []string {
	if len(responses) == 0 {
		return nil
	}
	votes := map[string]int{}
	for _, response := range responses {
		for _, shard := range response.GetPromised() {
			votes[shard]++
		}
	}
	var promised []string
	for _, shard := range request.GetShards() {
		if votes[shard.GetShard()] == len(responses) {
			promised = append(promised, shard.GetShard())
		}
	}
	return promised
}
