package owner

import (
	"context"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/claim"
	"siskinstack.example/siskinstack/refusal"
)

// sweepInterval is the time between two looks for claims whose entry VM is gone.
const sweepInterval = 2 * time.Second

// Claim decides on a request that runs at most once. A grant is durable before it is answered.
func (o *Owner) Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error) {
	if !o.mayAct() {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q is changing its owner", o.shard)
	}
	o.mu.Lock()
	decision := o.state.claims.Check(request.GetClaim())
	o.mu.Unlock()
	if decision.Verdict != claim.Grant {
		return decision.Response(), nil
	}
	if err := o.append(ctx, decision.Record); err != nil {
		refused := refuseAppend(err)
		if refusal.From(refused).NotRun() {
			o.mu.Lock()
			o.state.claims.Abandon(request.GetClaim())
			o.mu.Unlock()
		}
		return nil, refused
	}
	return decision.Response(), nil
}

// FinishClaim records the end of a claimed request.
func (o *Owner) FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error) {
	if !o.mayAct() {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q is changing its owner", o.shard)
	}
	o.mu.Lock()
	record := o.state.claims.CheckFinish(request.GetFinished())
	o.mu.Unlock()
	if record == nil {
		return &siskinv1.FinishClaimResponse{}, nil
	}
	if err := o.append(ctx, record); err != nil {
		return nil, refuseAppend(err)
	}
	return &siskinv1.FinishClaimResponse{}, nil
}

// sweepClaims ends the claims whose entry VM is gone: their outcome cannot be known any more.
func (o *Owner) sweepClaims(ctx context.Context) {
	o.mu.Lock()
	records := o.state.claims.Sweep(o.options.Clock.Now(), o.options.Fleet.EntryAlive)
	o.mu.Unlock()
	_ = o.append(ctx, records...)
}
