package claim

import (
	"context"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Kind is how a claimed request ended.
type Kind int

// Kinds of outcomes.
const (
	// NotRun requires proof that the request did not run.
	NotRun Kind = iota + 1
	Answered
	// Lost means that the request may have run and its answer is unknown.
	Lost
)

// Outcome is the end of a claimed request.
type Outcome struct {
	Kind        Kind
	Status      int
	Body        []byte
	ContentType string
}

// Finish records the end of the claim. It returns once the owner has recorded it, after finishWait, or when the context
// caller ends. The attempts continue in the background, even after that.
func (h *Handle) Finish(caller context.Context, outcome Outcome) {
	c := h.client
	request := &siskinv1.FinishClaimRequest{Shard: h.shard, Finished: h.finished(outcome)}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), finishTimeout)
	select {
	case c.finishSlots <- struct{}{}:
	default:
		// Too many finish records wait for their owners, so this one gets a single attempt. If it fails, the claim ends as
		// unknown at its maximum age.
		_ = h.tryFinish(ctx, request)
		cancel()
		return
	}
	done := make(chan struct{})
	c.tasks.Go(func() {
		defer close(done)
		defer cancel()
		defer func() { <-c.finishSlots }()
		for !h.tryFinish(ctx, request) {
			if c.options.Clock.Sleep(ctx, retryInterval) != nil {
				return
			}
		}
	})
	timer := time.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-caller.Done():
	}
}

// tryFinish makes one call and reports whether the owner has recorded the end.
func (h *Handle) tryFinish(ctx context.Context, request *siskinv1.FinishClaimRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := h.client.options.Shards.FinishClaim(ctx, request)
	return err == nil && response.GetRefused() == nil
}

func (h *Handle) finished(outcome Outcome) *siskinv1.RequestFinished {
	finished := &siskinv1.RequestFinished{
		Team: h.submission.Team, Service: h.submission.Service, RequestKey: h.submission.RequestKey, RequestId: h.submission.RequestID,
		FinishedUnixMs: h.client.options.Clock.Now().UnixMilli(),
	}
	switch outcome.Kind {
	case NotRun:
		finished.Outcome = siskinv1.RequestOutcome_REQUEST_OUTCOME_NOT_RUN
	case Answered:
		finished.Outcome = siskinv1.RequestOutcome_REQUEST_OUTCOME_DONE
		finished.HttpStatus = int32(outcome.Status)
		finished.ContentType = outcome.ContentType
		if len(outcome.Body) <= MaxKeptAnswer {
			finished.Answer, finished.AnswerKept = outcome.Body, true
		}
	case Lost:
		finished.Outcome = siskinv1.RequestOutcome_REQUEST_OUTCOME_UNKNOWN
	}
	return finished
}
