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

// leaseUntil returns the end of a lease on the worker's clock; 0 if that clock is not known or the worker is unreachable.
// The caller holds mu.
func (t *term) leaseUntil(s *workerSession, sent time.Time) int64 {
	if s.clockMs == 0 || !s.worker.Reachable() {
		return 0
	}
	bound := t.leaseBound()
	if sent.Before(s.longLeases) {
		bound = t.maxLeaseBound()
	}
	t.state.RenewSent(s.worker, sent.Add(bound))
	return s.clockMs + sent.Sub(s.readAt).Milliseconds() + t.Bounds.requestedLease().Milliseconds()
}

// isOtherClock reports whether the clock in an answer to an order is that of another incarnation than the last report. Clocks
// start anew at any value. The order may have been sent before that report was received.
func (s *workerSession) isOtherClock(clockMs int64, sent, now time.Time) bool {
	if clockMs <= 0 || s.clockMs <= 0 {
		return false
	}
	since := sent.Sub(s.readAt)
	least := s.clockMs + (since - since.Abs()/clockDriftDivisor - clockSlack).Milliseconds()
	most := s.clockMs + (now.Sub(s.readAt) + clockLead).Milliseconds()
	return clockMs < least || clockMs > most
}

// isOutdated reports whether a renewal that failed at a time says nothing about the worker, because a poll has been answered
// since it was sent: by another incarnation, or so recently that a worker that is silent now could not be told yet.
func (s *workerSession) isOutdated(renewal sentOrder, timedOut bool, now time.Time) bool {
	return s.worker.Info.Incarnation != renewal.incarnation ||
		timedOut && s.readAt.After(renewal.sent) && now.Sub(s.readAt) < renewSlack
}

// noteAnswer applies what the end of an order with a lease says about the worker's lease: that the worker has restarted, or
// may have, so that the order's lease end is on the clock of an earlier incarnation. The caller holds mu.
func (t *term) noteAnswer(s *workerSession, order sentOrder, clockMs int64, err error, now time.Time) {
	switch {
	case s.worker.Info.Incarnation != order.incarnation:
		t.state.RenewSent(s.worker, now.Add(t.maxLeaseBound()))
	case s.isOtherClock(clockMs, order.sent, now):
		t.state.RenewSent(s.worker, now.Add(t.maxLeaseBound()))
		t.state.RenewFailed(s.worker, now) // unreachable until it has reported its runs
	case s.worker.IsEnded():
		// Only its next incarnation grants a lease now.
		if err == nil {
			t.state.RenewSent(s.worker, now.Add(t.maxLeaseBound()))
		}
	case isUnanswered(err) && order.overdue:
		t.state.RenewSent(s.worker, now.Add(t.maxLeaseBound()))
	}
}

// sentOrder is what was known of a worker when an order with a lease was sent to it.
type sentOrder struct {
	sent        time.Time
	incarnation int64
	// acknowledged is the number up to which a renewal lets the worker forget ends.
	acknowledged int64
	// overdue is true if the last report was so old that the worker could have restarted since.
	overdue bool
}

// sending returns what is known of the worker now. The caller holds mu.
func (s *workerSession) sending(now time.Time) sentOrder {
	return sentOrder{sent: now, incarnation: s.worker.Info.Incarnation, overdue: now.Sub(s.readAt) > maxAnswerAge}
}

// acknowledged returns the number up to which a worker may forget ends, or 0 if it has answered that. A worker that has
// restarted since its last response would forget ends of its new incarnation, which reuse the numbers and were never listed.
// So ends are acknowledged once, and only within maxAnswerAge of the time at which a report was made; otherwise the worker
// lists them again at once.
func (s *workerSession) acknowledged(sent time.Time) int64 {
	number := s.worker.Acknowledged()
	if number == s.forgotten || sent.Sub(s.madeAt) > maxAnswerAge {
		return 0
	}
	return number
}

// noteReport records the clock of a report, and with it the earliest time at which it can have been made: not before it was
// requested, nor sooner after the last one than the worker's clock shows.
func (s *workerSession) noteReport(report infra.RunReport, order sentOrder, restarted bool, now time.Time) {
	madeAt := order.sent
	if passed := time.Duration(report.ClockMs-s.clockMs) * time.Millisecond; !restarted && s.clockMs > 0 && passed > 0 {
		madeAt = laterOf(madeAt, s.madeAt.Add(passed))
	}
	s.clockMs, s.readAt, s.madeAt = report.ClockMs, now, madeAt
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
		if ctx.Err() == nil && !s.isOutdated(sending, call.Err() != nil, now) {
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
	worker  infra.FleetWorker
	order   infra.StartOrder
	sending sentOrder
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
			return confirmedStart{next, next.task.Worker(), order, s.sending(now)}, true
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
	if order.LeaseUntilMs > 0 {
		t.noteAnswer(s, next.sending, clockMs, err, now)
	}
	if s.isOtherClock(clockMs, next.sending.sent, now) {
		t.log.Info("clock of another incarnation", "worker", info.ID, "clock_ms", clockMs, "reported_clock_ms", s.clockMs)
		t.goroutines.Go(func() { t.poll(ctx, s) })
	}
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
	t.withLock(func() { t.state.Stopped(task, order.Run, err, t.now()) })
	if err == nil && s != nil {
		t.poll(ctx, s)
	}
}

// poll asks a worker for a report beside the renewal that is held open there. If a poll is under way, which may hang at the former
// incarnation, another one follows it.
func (t *term) poll(ctx context.Context, s *workerSession) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.polling {
		s.pollAgain = true
		return
	}
	s.polling = true
	for range maxPolls {
		s.pollAgain = false
		t.mu.Unlock()
		_ = t.renew(ctx, s, 0, true)
		t.mu.Lock()
		if !s.pollAgain && !s.worker.IsUnsettled() || ctx.Err() != nil {
			break
		}
	}
	s.polling = false
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
