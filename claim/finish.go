package claim

import (
	"context"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Kind is how a claimed request ended.
type Kind int

// The kinds of ends.
const (
	// NotRun is given only with a proof.
	NotRun Kind = iota + 1
	Answered
	Lost
)

// Outcome is the end of a claimed request.
type Outcome struct {
	Kind        Kind
	Status      int
	Body        []byte
	ContentType string
}

// Finish records the end of the claim. It returns when the owner has it, after finishWait, or when caller ends; the tries go
// on behind it, also after the caller has gone.
func (h *Handle) Finish(caller context.Context, outcome Outcome) {
	c := h.client
	request := &siskinv1.FinishClaimRequest{Shard: h.shard, Finished: h.finished(outcome)}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), finishTotal)
	select {
	case c.finishing <- struct{}{}:
	default:
		// Too many ends wait for their owners: one try, and then the age of the claim ends it as unknown.
		_ = h.tryFinish(ctx, request)
		cancel()
		return
	}
	done := make(chan struct{})
	c.tasks.Go(func() {
		defer close(done)
		defer cancel()
		defer func() { <-c.finishing }()
		for !h.tryFinish(ctx, request) {
			if c.options.Clock.Sleep(ctx, retryPause) != nil {
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

// tryFinish makes one call and reports whether the owner has taken the end over.
func (h *Handle) tryFinish(ctx context.Context, request *siskinv1.FinishClaimRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := h.client.options.Shards.FinishClaim(ctx, request)
	return err == nil && response.GetRefused() == nil
}

func (h *Handle) finished(outcome Outcome) *siskinv1.RequestFinished {
	finished := &siskinv1.RequestFinished{
		Team: h.handIn.Team, Service: h.handIn.Service, RequestKey: h.handIn.RequestKey, RequestId: h.handIn.RequestID,
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
