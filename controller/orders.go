package controller

import (
	"context"
	"errors"
	"time"

	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

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
		err := t.renew(ctx, s, 0, true)
		t.mu.Lock()
		// Connections to a former process are closed at their first use.
		again := s.pollAgain || s.worker.IsUnsettled() || errors.Is(err, infra.ErrConnectionClosed)
		if !again || ctx.Err() != nil {
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
