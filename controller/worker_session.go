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
	// settleWait is the same while the worker's last report left open which runs are on its present incarnation.
	settleWait = 20 * time.Millisecond
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
	// maxAnswerAge is the greatest age of a worker's last report for which its ends are acknowledged and a lease on its clock
	// is certain. No process restarts in less, and commits usually take a fifth of it.
	maxAnswerAge = 100 * time.Millisecond
	// maxPolls is the number of polls in a row that a worker's state may call for. The renewal follows within two seconds.
	maxPolls = 8
	// renewRetryDelay is the delay before a failed renewal is retried.
	renewRetryDelay = 150 * time.Millisecond
	// clockDriftDivisor sets the part of a lease that is added for clock drift: one in clockDriftDivisor, or 3%, because
	// a worker's clock may be 2% slower than the controller's.
	clockDriftDivisor = 33
	// A clock in an answer is that of another incarnation if it is more than clockSlack behind, or clockLead ahead of what the
	// last report lets expect. clockLead covers the time that the report was on its way.
	clockSlack = 50 * time.Millisecond
	clockLead  = time.Second
	// lateOrderLimit is the longest time after which a worker carries out an order that it has not answered.
	lateOrderLimit = 12 * time.Second
	// leaseSlack covers the transit time of an order to the worker.
	leaseSlack = 150 * time.Millisecond
)

// workerSession renews the leases of one worker and receives its reports.
type workerSession struct {
	worker *dispatch.Worker
	// endsCommitted is signalled when reported ends of the worker's runs have become durable.
	endsCommitted chan struct{}
	// The term's mu guards the fields below. clockMs is the worker's clock at readAt, when its last report was received; 0 if
	// it has not reported.
	clockMs int64
	readAt  time.Time
	// madeAt is the earliest time at which the last report can have been made, by the worker's clock.
	madeAt time.Time
	// forgotten is the number up to which the worker has answered that it forgot ends.
	forgotten int64
	// longLeases is when orders of a former incarnation, which may extend a lease to the longest one, are no longer carried out.
	longLeases time.Time
	// polling is true while the worker is asked for a report beside its renewal, pollAgain if it is to be asked once more.
	polling, pollAgain bool
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

// maxLeaseBound is the same for a lease whose end is on the clock of an earlier incarnation. Clocks start anew with each
// incarnation, so the new one shortens such a lease to the longest one.
func (t *term) maxLeaseBound() time.Duration { return withClockDrift(t.Bounds.LeaseMax) }

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
		switch {
		case s.clockMs == 0 || !s.worker.Reachable():
			wait = 0
		case s.worker.IsUnsettled():
			wait = settleWait
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
	info, sending := s.worker.Info, s.sending(sent)
	sending.acknowledged = order.Acknowledged
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
		if order.LeaseUntilMs > 0 {
			t.noteAnswer(s, sending, 0, err, now)
		}
		// A poll may use a connection to a former process; what its end says is for the renewal to find out.
		closed := poll && errors.Is(err, infra.ErrConnectionClosed)
		if ctx.Err() == nil && !closed && !s.isOutdated(sending, call.Err() != nil, now) {
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
	t.applyReport(s, report, sending, now)
	t.triggerPlan()
	return nil
}

// applyReport applies a worker's answer to a renewal. The caller holds mu.
func (t *term) applyReport(s *workerSession, report infra.RunReport, order sentOrder, now time.Time) {
	if report.Incarnation == 0 {
		t.noteAnswer(s, order, report.ClockMs, nil, now)
	}
	if !t.state.ApplyReport(s.worker, report, order.sent, now, unixMs()) {
		t.state.RenewSent(s.worker, now.Add(t.maxLeaseBound())) // perhaps another incarnation granted a lease
		return
	}
	restarted := s.worker.Info.Incarnation != order.incarnation
	switch {
	case restarted:
		s.longLeases, s.forgotten = now.Add(lateOrderLimit), 0
	case order.acknowledged > 0:
		s.forgotten = order.acknowledged
	}
	t.noteAnswer(s, order, 0, nil, now)
	if report.ClockMs > 0 {
		s.noteReport(report, order, restarted, now)
	}
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
