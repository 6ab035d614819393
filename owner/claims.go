package owner

import (
	"context"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/shardlog"
)

// sweepInterval is the time between two scans for claims whose entry VM is no longer alive.
const sweepInterval = 2 * time.Second

// claimLog writes claims to the shard's log while the owner's right is valid.
type claimLog struct{ owner *Owner }

// Append implements claim.Log.
func (l claimLog) Append(ctx context.Context, record *siskinv1.Record) (mayBeWritten bool, err error) {
	if err := l.owner.options.Right.Check(); err != nil {
		return false, err
	}
	err = l.owner.append(ctx, record)
	return err != nil && !shardlog.IsNotDurable(err), err
}

// Claim decides on a request that runs at most once. A grant is durable before it is returned.
func (o *Owner) Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error) {
	if !o.mayAct() {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q is changing its owner", o.shard)
	}
	return o.claims.Claim(ctx, request)
}

// FinishClaim records the end of a claimed request.
func (o *Owner) FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error) {
	if !o.mayAct() {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q is changing its owner", o.shard)
	}
	return o.claims.FinishClaim(ctx, request)
}

// sweepClaims ends the claims whose entry VM is no longer alive: their outcome can no longer be determined.
func (o *Owner) sweepClaims(ctx context.Context) {
	// The next sweep retries what cannot be written now.
	_ = o.claims.Sweep(ctx, o.options.Clock.Now(), o.options.Fleet.EntryAlive)
}
