package controller

import (
	"context"
	"errors"
	"time"

	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

const (
	// renewWait is how long a worker holds the answer to a renewal back until a task ends.
	renewWait = time.Second
	// renewSlack is how much longer the answer may take. It covers delays of a busy machine.
	renewSlack = 800 * time.Millisecond
	// orderTimeout bounds an order. Workers answer within milliseconds; a lost answer delays the task by this much.
	orderTimeout = 600 * time.Millisecond
	// ackWait is the longest time that a renewal waits for a commit, so that ends are acknowledged with it.
	ackWait = 300 * time.Millisecond
	// ackFresh is how long ago a worker may have answered that is told to forget ends. No process starts again in less, and
	// commits usually take a fifth of it.
	ackFresh = 100 * time.Millisecond
	// linkPause is the pause after a renewal that failed.
	linkPause = 150 * time.Millisecond
	// clockDrift is how much slower than the controller's a worker's clock may be, as a divisor: 3%, for clocks that
	// are 2% slow.
	clockDrift = 33
	// clockBack is by how much a worker's clock must have gone back for another incarnation. Answers on different connections
	// overtake each other by less.
	clockBack = time.Second
	// leaseSlack covers the way of an order to the worker.
	leaseSlack = 150 * time.Millisecond
)

// link keeps the leases of one worker and takes its reports.
type link struct {
	worker *dispatch.Worker
	// acked is signalled when ends of the worker became durable.
	acked chan struct{}
	// clockMs is the worker's clock at readAt; 0 if it has not answered. Both are guarded by the term's mu.
	clockMs int64
	readAt  time.Time
	looking bool
}

func (l *link) signal() {
	select {
	case l.acked <- struct{}{}:
	default:
	}
}

// leaseBound is how long a lease that is granted now may last on the controller's clock.
func (t *term) leaseBound() time.Duration { return drifted(t.Bounds.lease()) }

// drifted is how long a lease may last on the controller's clock.
func drifted(lease time.Duration) time.Duration { return lease + lease/clockDrift + leaseSlack }

// connect starts to renew the leases of a worker. The caller holds mu.
func (t *term) connect(ctx context.Context, w *dispatch.Worker) {
	if t.links[w] != nil {
		return
	}
	l := &link{worker: w, acked: make(chan struct{}, 1)}
	t.links[w] = l
	t.tasks.Go(func() { t.renewals(ctx, l) })
}

// renewals keeps the leases of a worker until it is forgotten.
func (t *term) renewals(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		if !t.lead.Valid() {
			_ = t.Clock.Sleep(ctx, storePause)
			continue
		}
		t.mu.Lock()
		known := t.state.Worker(l.worker.Info.ID) == l.worker
		wait := renewWait
		if l.clockMs == 0 || !l.worker.Reachable() {
			wait = 0
		}
		if !known {
			delete(t.links, l.worker)
		}
		t.mu.Unlock()
		if !known {
			return
		}
		if t.renew(ctx, l, wait, false) != nil {
			_ = t.Clock.Sleep(ctx, linkPause)
			continue
		}
		t.awaitCommit(ctx, l)
	}
}

// awaitCommit waits until ends that the worker listed are durable, so that the next renewal acknowledges them.
func (t *term) awaitCommit(ctx context.Context, l *link) {
	t.mu.Lock()
	waiting := l.worker.Unacknowledged()
	t.mu.Unlock()
	if !waiting {
		return
	}
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	select {
	case <-l.acked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// leaseUntil returns the end of a lease on the worker's clock, 0 if that clock is not known or the worker did not answer
// last. The caller holds mu.
func (t *term) leaseUntil(l *link, sent time.Time) int64 {
	if l.clockMs == 0 || !l.worker.Reachable() {
		return 0
	}
	t.state.RenewSent(l.worker, sent.Add(t.leaseBound()))
	return l.clockMs + sent.Sub(l.readAt).Milliseconds() + t.Bounds.lease().Milliseconds()
}

// heard notes the worker's clock. A clock that has gone back is that of another incarnation; leases that were asked for
// on the earlier clock then last as long as the worker allows. The caller holds mu.
func (t *term) heard(l *link, clockMs int64, now time.Time) {
	if clockMs <= 0 {
		return
	}
	if clockMs < l.clockMs-clockBack.Milliseconds() {
		t.state.RenewSent(l.worker, now.Add(drifted(t.Bounds.LeaseMax)))
		t.state.RenewFailed(l.worker) // until it has listed what it knows
	}
	l.clockMs, l.readAt = clockMs, now
}

// acknowledged returns the number up to which a worker may forget ends. A worker that has restarted since its last answer
// would forget ends of its new incarnation, which have the same numbers and were never listed; so only one that has just
// answered is told. Another one lists its ends once more, at once.
func (l *link) acknowledged(sent time.Time) int64 {
	if sent.Sub(l.readAt) > ackFresh {
		return 0
	}
	return l.worker.Acknowledged()
}

// renew extends the lease of a worker, acknowledges its ends and takes its report.
func (t *term) renew(ctx context.Context, l *link, wait time.Duration, look bool) error {
	call, cancel := context.WithTimeout(ctx, wait+renewSlack)
	defer cancel()
	t.mu.Lock()
	sent := t.now()
	order := infra.RenewOrder{
		LeaseUntilMs: t.leaseUntil(l, sent), Epoch: t.lead.Epoch, Wait: wait,
	}
	if !look {
		// The renewal that waits at the worker is the one that shows a restart, so a second one acknowledges nothing.
		order.Acknowledged = l.acknowledged(sent)
	}
	info := l.worker.Info
	t.mu.Unlock()
	if !t.lead.Valid() {
		return errTermLost
	}
	report, err := t.Fleet.Renew(call, info, order)
	t.Metrics.order("renew", err)
	t.checkFence(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if err != nil {
		if ctx.Err() == nil {
			t.lostTouch(l, err)
		}
		return err
	}
	if !l.worker.Reachable() {
		t.log.Info("worker answers", "worker", info.ID, "incarnation", report.Incarnation)
	}
	t.heard(l, report.ClockMs, now)
	t.state.Report(l.worker, report, sent, now, unixMs())
	t.kick()
	return nil
}

// lostTouch notes a renewal that failed. The caller holds mu.
func (t *term) lostTouch(l *link, err error) {
	if l.worker.Reachable() {
		t.log.Info("worker does not answer", "worker", l.worker.Info.ID, "reason", err.Error())
	}
	t.state.RenewFailed(l.worker)
	t.kick()
}

// checkFence ends the term if a worker follows a newer controller.
func (t *term) checkFence(err error) {
	if errors.Is(err, infra.ErrFenced) {
		t.log.Info("a worker follows a newer controller")
		t.lead.End()
	}
}

// order sends the order to start a run. The caller holds mu.
func (t *term) order(ctx context.Context, task *dispatch.Task) {
	l := t.links[t.state.Worker(task.WorkerID())]
	if l == nil {
		t.state.Started(task, task.Run(), infra.ErrNotSent, t.now())
		return
	}
	order, run, info := task.Start(), task.Run(), task.Worker()
	order.Epoch = t.lead.Epoch
	t.tasks.Go(func() { t.start(ctx, l, task, run, info, order) })
}

func (t *term) start(
	ctx context.Context, l *link, task *dispatch.Task, run int32, info infra.FleetWorker, order infra.StartOrder,
) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	t.mu.Lock()
	order.LeaseUntilMs = t.leaseUntil(l, t.now())
	t.mu.Unlock()
	var clockMs int64
	err := infra.ErrNotSent
	if order.LeaseUntilMs > 0 && t.lead.Valid() {
		clockMs, err = t.Fleet.Start(call, info, order)
	}
	t.Metrics.order("start", err)
	t.checkFence(err)
	t.log.Info("start", "job", task.JobID(), "task", order.Task, "run", run, "worker", info.ID, "result", resultOf(err))
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.heard(l, clockMs, now)
	known := task.IsJobStarted()
	t.state.Started(task, run, err, now)
	if !known && task.IsJobStarted() {
		t.Metrics.stage(stageStarted, task.Record())
	}
	t.kick()
}

// stop sends the order to end a run, and looks whether it has ended.
func (t *term) stop(ctx context.Context, task *dispatch.Task) {
	t.mu.Lock()
	order, reason := task.Stop()
	info := task.Worker()
	l := t.links[t.state.Worker(info.ID)]
	t.mu.Unlock()
	order.Epoch = t.lead.Epoch
	err := infra.ErrNotSent
	if l != nil && t.lead.Valid() {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err = t.Fleet.Stop(call, info, order)
		cancel()
	}
	t.Metrics.order("stop", err)
	t.checkFence(err)
	t.log.Info("stop", "job", task.JobID(), "task", order.Task, "run", order.Run, "worker", info.ID, "reason", reason,
		"result", resultOf(err))
	t.mu.Lock()
	t.state.Stopped(task, order.Run, err, t.now())
	look := err == nil && l != nil && !l.looking
	if look {
		l.looking = true
	}
	t.mu.Unlock()
	t.kick()
	if look {
		_ = t.renew(ctx, l, 0, true)
		t.mu.Lock()
		l.looking = false
		t.mu.Unlock()
	}
}

func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
