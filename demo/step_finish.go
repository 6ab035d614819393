package demo

import (
	"context"
	"fmt"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/demo/promises"
)

// finishLimit bounds the time that accepted work may take to end after the load has ended.
const finishLimit = 8 * time.Second

// stepFinish stops the load and waits until all accepted work has ended.
func (r *run) stepFinish(ctx context.Context) (string, error) {
	r.endLoad()
	accepted := r.recorder.accepted()
	unfinished := len(accepted)
	err := waitFor(ctx, finishLimit, "accepted work to end", func() bool {
		unfinished = 0
		for id, work := range accepted {
			if work.Final == nil || !settled(work) {
				r.refreshStatus(ctx, id, work)
			}
			if work.Final == nil || !settled(work) {
				unfinished++
			}
		}
		return unfinished == 0
	})
	return fmt.Sprintf("%d of %d accepted work items ended", len(accepted)-unfinished, len(accepted)), err
}

// refreshStatus reads the state of work through any live VM.
func (r *run) refreshStatus(ctx context.Context, id string, work *promises.Work) {
	var status *siskinv1.WorkStatus
	_, err := r.attempts(ctx, 0, true, func(ctx context.Context, vm *entryVM) (response, error) {
		client, err := r.clients.get(vm, r.key(work.Team))
		if err != nil {
			return response{}, err
		}
		status, err = client.Work(ctx, id)
		return response{text: id}, err
	})
	if err == nil {
		work.Final = status
	}
}

// settled reports whether a wait for work is over: no task is queued or running or, for a service, all its tasks are running.
func settled(work *promises.Work) bool {
	if work.Kind == siskinv1.WorkKind_WORK_KIND_SERVICE {
		return work.Final.GetRunning() >= work.Count
	}
	return work.Final.GetQueued()+work.Final.GetRunning() == 0
}
