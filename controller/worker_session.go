package controller

import (
	"context"
	"errors"
	"time"

	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

const (
	// renewWait is the longest time that a worker holds a renewal open until a task ends (long poll).
	renewWait = time.Second
	// probeRenewWait is the same while the worker probes a suspect, which ends with a report after the startup window, or
	// lists runs that are not placed on it.
	probeRenewWait = 150 * time.Millisecond
	// renewSlack is added to the time that a renewal is held open to get its timeout. It covers delays of a busy machine.
	renewSlack = 800 * time.Millisecond
	// maxSenders is the number of start orders that may be under way to one worker. Starts on a worker come in groups, and
	// each that is under way takes a connection; an order takes a few milliseconds.
	maxSenders = 2
	// senderPatience is how long a start order without an answer holds up the next one. Some workers leave orders
	// unanswered and carry out others.
	senderPatience = 50 * time.Millisecond
	// orderTimeout bounds an order. Workers respond within milliseconds; a lost response delays the task by this much.
	orderTimeout = 600 * time.Millisecond
	// maxAckDelay is the longest time that a renewal waits for the commit of the reported ends, so that it can
	// acknowledge them.
	maxAckDelay = 300 * time.Millisecond
	// maxAnswerAge is the greatest age of a worker's last response for which its ends are acknowledged. No process
	// restarts in less, and commits usually take a fifth of it.
	maxAnswerAge = 100 * time.Millisecond
	// renewRetryDelay is the delay before a failed renewal is retried.
	renewRetryDelay = 150 * time.Millisecond
	// clockDriftDivisor sets the part of a lease that is added for clock drift: one in clockDriftDivisor, or 3%, because
	// a worker's clock may be 2% slower than the controller's.
	clockDriftDivisor = 33
	// minClockRegression is how far a worker's clock must go back to count as that of another incarnation. Responses on
	// different connections are reordered by less.
	minClockRegression = time.Second
	// leaseSlack covers the transit time of an order to the worker.
	leaseSlack = 150 * time.Millisecond
)

// workerSession renews the leases of one worker and receives its reports.
type workerSession struct {
	worker *dispatch.Worker
	// endsCommitted is signalled when reported ends of the worker's runs have become durable.
	endsCommitted chan struct{}
	// The term's mu guards the fields below. clockMs is the worker's clock at readAt; 0 if it has not responded.
	clockMs int64
	readAt  time.Time
	// polling is true while stop polls the worker for the end of a run.
	polling bool
	// starts are the start orders that wait to be sent, senders the goroutines that send them, without those whose order
	// has been under way for senderPatience.
	starts  []startOrder
	senders int
}

// startOrder identifies a run to start.
type startOrder struct {
	task *dispatch.Task
	run  int32
	// line is the log line of the step's starts; nil if the start gets its own.
	line *startLine
}

func (s *workerSession) signal() { notify(s.endsCommitted) }

// leaseBound returns how long a lease that is granted now may last on the controller's clock.
func (t *term) leaseBound() time.Duration { return withClockDrift(t.Bounds.requestedLease()) }

// withClockDrift returns how long a lease may last on the controller's clock, given the drift and the transit time.
func withClockDrift(lease time.Duration) time.Duration {
	return lease + lease/clockDriftDivisor + leaseSlack
}

// connect starts the session of a worker unless it has one. The caller holds mu.
func (t *term) connect(ctx context.Context, w *dispatch.Worker) {
	if t.sessions[w] != nil {
		return
	}
	s := &workerSession{worker: w, endsCommitted: make(chan struct{}, 1)}
	t.sessions[w] = s
	notify(t.workerNew)
	t.goroutines.Go(func() { t.renewLoop(ctx, s) })
}

// renewLoop renews the leases of a worker until the state no longer holds the worker.
func (t *term) renewLoop(ctx context.Context, s *workerSession) {
	for ctx.Err() == nil {
		if !t.leadership.Valid() {
			_ = t.Clock.Sleep(ctx, storeRetryDelay)
			continue
		}
		t.mu.Lock()
		known := t.state.Worker(s.worker.Info.ID) == s.worker
		wait := renewWait
		if s.worker.IsProbing() || s.worker.HasOrphans() {
			wait = probeRenewWait
		}
		if s.clockMs == 0 || !s.worker.Reachable() {
			wait = 0
		}
		if !known {
			delete(t.sessions, s.worker)
		}
		t.mu.Unlock()
		if !known {
			return
		}
		err := t.renew(ctx, s, wait, false)
		t.mu.Lock()
		reachable := s.worker.Reachable()
		t.mu.Unlock()
		if err != nil || !reachable {
			_ = t.Clock.Sleep(ctx, renewRetryDelay)
			continue
		}
		t.awaitCommit(ctx, s)
	}
}

// awaitCommit waits up to maxAckDelay until the ends that the worker listed are durable, so that the next renewal
// acknowledges them.
func (t *term) awaitCommit(ctx context.Context, s *workerSession) {
	t.mu.Lock()
	waiting := s.worker.Unacknowledged()
	t.mu.Unlock()
	if !waiting {
		return
	}
	timer := time.NewTimer(maxAckDelay)
	defer timer.Stop()
	select {
	case <-s.endsCommitted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// leaseUntil returns the end of a lease on the worker's clock; 0 if that clock is not known or the worker is unreachable.
// The caller holds mu.
func (t *term) leaseUntil(s *workerSession, sent time.Time) int64 {
	if s.clockMs == 0 || !s.worker.Reachable() {
		return 0
	}
	t.state.RenewSent(s.worker, sent.Add(t.leaseBound()))
	return s.clockMs + sent.Sub(s.readAt).Milliseconds() + t.Bounds.requestedLease().Milliseconds()
}

// recordClock records the worker's clock. A clock that has gone back is that of another incarnation; leases requested on
// the earlier clock then last as long as the worker allows. The caller holds mu.
func (t *term) recordClock(s *workerSession, clockMs int64, now time.Time) {
	if clockMs <= 0 {
		return
	}
	if clockMs < s.clockMs-minClockRegression.Milliseconds() {
		t.state.RenewSent(s.worker, now.Add(withClockDrift(t.Bounds.LeaseMax)))
		t.state.RenewFailed(s.worker, now) // unreachable until it has reported its runs
	}
	s.clockMs, s.readAt = clockMs, now
}

// acknowledged returns the number up to which a worker may forget ends. A worker that has restarted since its last
// response would forget ends of its new incarnation, which reuse the numbers and were never listed. So ends are
// acknowledged only within maxAnswerAge of a response; otherwise the worker lists them again at once.
func (s *workerSession) acknowledged(sent time.Time) int64 {
	if sent.Sub(s.readAt) > maxAnswerAge {
		return 0
	}
	return s.worker.Acknowledged()
}

// orderContext returns the context of an order, which is sent only while the leadership is valid.
func (t *term) orderContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(infra.WithPermission(ctx, t.leadership.Valid), timeout)
}

// renew extends the lease of a worker, acknowledges its ends and applies its report. With poll, it acknowledges nothing.
func (t *term) renew(ctx context.Context, s *workerSession, wait time.Duration, poll bool) error {
	call, cancel := t.orderContext(ctx, wait+renewSlack)
	defer cancel()
	t.mu.Lock()
	sent := t.now()
	order := infra.RenewOrder{
		LeaseUntilMs: t.leaseUntil(s, sent), Epoch: t.leadership.Epoch, Wait: wait,
	}
	if !poll {
		// A restart is detected by the renewal that is held open at the worker, so a concurrent one acknowledges nothing.
		order.Acknowledged = s.acknowledged(sent)
	}
	info := s.worker.Info
	t.mu.Unlock()
	if !t.leadership.Valid() {
		return errTermEnded
	}
	report, err := t.Fleet.Renew(call, info, order)
	t.Metrics.order("renew", err)
	t.checkFence(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if err != nil {
		if ctx.Err() == nil {
			lostAt := s.readAt
			if call.Err() == nil {
				// The connection was closed or refused before the timeout.
				lostAt = now
			}
			t.recordRenewFailure(s, err, lostAt)
		}
		return err
	}
	if !s.worker.Reachable() {
		t.log.Info("worker responds", "worker", info.ID, "incarnation", report.Incarnation)
	}
	t.load.renewals++
	t.recordClock(s, report.ClockMs, now)
	t.state.ApplyReport(s.worker, report, sent, now, unixMs())
	t.triggerPlan()
	return nil
}

// recordRenewFailure marks the worker as unreachable after a failed renewal. The caller holds mu.
func (t *term) recordRenewFailure(s *workerSession, err error, lostAt time.Time) {
	if s.worker.Reachable() {
		t.log.Info("worker does not respond", "worker", s.worker.Info.ID, "reason", err.Error(),
			"silent_ms", t.now().Sub(lostAt).Milliseconds(), "tasks", s.worker.Tasks())
		notify(t.workerLost)
	}
	t.state.RenewFailed(s.worker, lostAt)
	t.triggerPlan()
}

// checkFence ends the term if a worker has rejected an order because it follows a newer controller.
func (t *term) checkFence(err error) {
	if errors.Is(err, infra.ErrFenced) {
		t.log.Info("a worker follows a newer controller")
		t.leadership.End()
	}
}

// order queues the order to start a run, whose log line is line or, if that is nil, its own. The caller holds mu.
func (t *term) order(ctx context.Context, task *dispatch.Task, line *startLine) {
	s := t.sessions[t.state.Worker(task.WorkerID())]
	if s == nil {
		t.state.Started(task, task.Run(), infra.ErrNotSent, t.now())
		return
	}
	s.starts = append(s.starts, startOrder{task, task.Run(), line})
	t.ensureSender(ctx, s)
}

// sendStarts sends the queued start orders of a worker one after the other. An order that is not answered for
// senderPatience no longer holds up those behind it; when it is not answered at all, those that were not sent by then are
// given up, so that their tasks can start elsewhere.
func (t *term) sendStarts(ctx context.Context, s *workerSession) {
	for {
		next, ok := t.nextStart(s)
		if !ok {
			return
		}
		replaced := time.AfterFunc(senderPatience, func() { t.replaceSender(ctx, s) })
		err := t.start(ctx, s, next)
		if !replaced.Stop() {
			if isUnanswered(err) {
				t.abandonStarts(s)
			}
			return
		}
	}
}

// confirmedStart is a start order that may be sent now.
type confirmedStart struct {
	startOrder
	worker infra.FleetWorker
	order  infra.StartOrder
}

// nextStart removes and returns the first start order that may still be sent. If there is none, the sender ends. The
// order is built while mu is held: later, the task may have another run on another worker.
func (t *term) nextStart(s *workerSession) (confirmedStart, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(s.starts) > 0 {
		next := s.starts[0]
		s.starts = s.starts[1:]
		now := t.now()
		if t.state.ConfirmOrder(next.task, next.run, now) {
			order := next.task.Start()
			order.Epoch, order.LeaseUntilMs = t.leadership.Epoch, t.leaseUntil(s, now)
			return confirmedStart{next, next.task.Worker(), order}, true
		}
		t.triggerPlan()
	}
	s.senders--
	return confirmedStart{}, false
}

// replaceSender lets another sender take the place of one whose order is not answered yet.
func (t *term) replaceSender(ctx context.Context, s *workerSession) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.senders--
	t.ensureSender(ctx, s)
}

// ensureSender starts a sender if start orders wait and one more may be under way. The caller holds mu.
func (t *term) ensureSender(ctx context.Context, s *workerSession) {
	if len(s.starts) > 0 && s.senders < maxSenders && ctx.Err() == nil {
		s.senders++
		t.goroutines.Go(func() { t.sendStarts(ctx, s) })
	}
}

// isUnanswered reports whether the outcome of an order is not known.
func isUnanswered(err error) bool { return err != nil && errorLabel(err) == labelUnknown }

// abandonStarts gives up the start orders of a worker that were not sent yet.
func (t *term) abandonStarts(s *workerSession) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, order := range s.starts {
		t.state.Withdraw(order.task, order.run)
	}
	s.starts = nil
	t.triggerPlan()
}

// start sends the order to start a run and applies the answer.
func (t *term) start(ctx context.Context, s *workerSession, next confirmedStart) error {
	task, run, info, order := next.task, next.run, next.worker, next.order
	call, cancel := t.orderContext(ctx, orderTimeout)
	defer cancel()
	var clockMs int64
	began, err := t.now(), infra.ErrNotSent
	switch {
	case !t.leadership.Valid():
		err = infra.ErrNotPermitted
	case order.LeaseUntilMs > 0:
		clockMs, err = t.Fleet.Start(call, info, order)
	}
	t.Metrics.order("start", err)
	t.checkFence(err)
	if !next.line.answered(order.Task, info.ID, err) {
		t.log.Info("start", "job", task.JobID(), "task", order.Task, "run", run, "worker", info.ID, "result", resultOf(err))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.load.orders++
	t.load.orderTime += now.Sub(began)
	t.recordClock(s, clockMs, now)
	known := task.IsJobStarted()
	t.state.Started(task, run, err, now)
	if !known && task.IsJobStarted() {
		t.Metrics.stage(stageStarted, task.Record())
	}
	t.triggerPlan()
	return err
}

// stop sends the order to end a run, then polls the worker for its end.
func (t *term) stop(ctx context.Context, task *dispatch.Task) {
	t.mu.Lock()
	order, reason := task.Stop()
	info := task.Worker()
	s := t.sessions[t.state.Worker(info.ID)]
	t.mu.Unlock()
	order.Epoch = t.leadership.Epoch
	err := infra.ErrNotSent
	if s != nil && t.leadership.Valid() {
		call, cancel := t.orderContext(ctx, orderTimeout)
		_, err = t.Fleet.Stop(call, info, order)
		cancel()
	}
	t.Metrics.order("stop", err)
	t.checkFence(err)
	t.log.Info("stop", "job", task.JobID(), "task", order.Task, "run", order.Run, "worker", info.ID, "reason", reason,
		"result", resultOf(err))
	t.mu.Lock()
	t.state.Stopped(task, order.Run, err, t.now())
	poll := err == nil && s != nil && !s.polling
	if poll {
		s.polling = true
	}
	t.mu.Unlock()
	t.triggerPlan()
	if poll {
		_ = t.renew(ctx, s, 0, true)
		t.mu.Lock()
		s.polling = false
		t.mu.Unlock()
	}
}

// stopOrphan sends the order to end a run that is not placed on its worker.
func (t *term) stopOrphan(ctx context.Context, stop dispatch.OrphanStop) {
	order := stop.Order
	order.Epoch = t.leadership.Epoch
	err := infra.ErrNotSent
	if t.leadership.Valid() {
		call, cancel := t.orderContext(ctx, orderTimeout)
		_, err = t.Fleet.Stop(call, stop.Worker, order)
		cancel()
	}
	t.Metrics.order("stop", err)
	t.checkFence(err)
	t.log.Info("stop", "task", order.Task, "run", order.Run, "worker", stop.Worker.ID, "reason", "not placed on the worker",
		"result", resultOf(err))
}

func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
