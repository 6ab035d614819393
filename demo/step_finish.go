package demo

import (
	"context"
	"fmt"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/demo/promises"
)

// finishLimit is how long accepted work may take to come to its end after the load has ended.
const finishLimit = 8 * time.Second

// stepFinish ends the load and follows all accepted work to its end.
func (r *run) stepFinish(ctx context.Context) (string, error) {
	r.endLoad()
	accepted := r.recorder.accepted()
	open := len(accepted)
	err := waitFor(ctx, finishLimit, "accepted work to come to its end", func() bool {
		open = 0
		for id, work := range accepted {
			if work.Final == nil || !settled(work) {
				r.look(ctx, id, work)
			}
			if work.Final == nil || !settled(work) {
				open++
			}
		}
		return open == 0
	})
	return fmt.Sprintf("%d of %d pieces of work came to their end", len(accepted)-open, len(accepted)), err
}

// look reads the state of work through any live VM.
func (r *run) look(ctx context.Context, id string, work *promises.Work) {
	var status *siskinv1.WorkStatus
	_, err := r.attempts(ctx, 0, true, func(ctx context.Context, vm *entryVM) (answer, error) {
		client, err := r.clients.of(vm, r.key(work.Team))
		if err != nil {
			return answer{}, err
		}
		status, err = client.Work(ctx, id)
		return answer{text: id}, err
	})
	if err == nil {
		work.Final = status
	}
}

// settled reports whether work needs no more waiting for.
func settled(work *promises.Work) bool {
	if work.Kind == siskinv1.WorkKind_WORK_KIND_SERVICE {
		return work.Final.GetRunning() >= work.Count
	}
	return work.Final.GetQueued()+work.Final.GetRunning() == 0
}
