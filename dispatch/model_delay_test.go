package dispatch

import (
	"errors"
	"time"

	"pgregory.net/rapid"

	"siskinstack.example/siskinstack/infra"
)

const (
	// modelMaxLease is the longest lease that a worker grants. A lease end on the clock of an earlier incarnation is cut to it.
	modelMaxLease = 6 * time.Second
	// modelOrderTimeout and modelRenewTimeout are those of the controller, modelSlack is the time to apply an answer.
	modelOrderTimeout = 600 * time.Millisecond
	modelRenewTimeout = 1800 * time.Millisecond
	modelSlack        = 150 * time.Millisecond
	// modelAnswerAge is the age of a report up to which the controller acknowledges ends.
	modelAnswerAge = 100 * time.Millisecond
	// A renewal may be held open for modelWait and its answer be under way for modelTransit. A poll runs beside it.
	modelWait, modelTransit = time.Second, 700 * time.Millisecond
	modelRenewals           = 2
	// clockTolerance is how far the clock in an answer may be behind before it shows a restart.
	clockTolerance = 50 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// event happens at a time.
type event struct {
	at      time.Time
	happens func()
}

func (m *model) at(at time.Time, happens func()) {
	m.events = append(m.events, event{at, happens})
}

// advance lets time pass, with all events that are due.
func (m *model) advance(d time.Duration) {
	end := m.now.Add(d)
	for {
		next := -1
		for i, e := range m.events {
			if !e.at.After(end) && (next < 0 || e.at.Before(m.events[next].at)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := m.events[next]
		m.events = append(m.events[:next], m.events[next+1:]...)
		m.now = maxTime(m.now, e.at)
		e.happens()
	}
	m.now = maxTime(m.now, end)
}

// draw draws a number of milliseconds.
func (m *model) draw(label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(m.t, label)) * time.Millisecond
}

// modelSession is what a controller knows of a worker: the beginning of its clock by the last report, and when that was
// received.
type modelSession struct {
	bornAt, readAt time.Time
	renewals       int
}

func (m *model) session(w *fakeWorker) *modelSession {
	if m.sessions[w] == nil {
		m.sessions[w] = &modelSession{}
	}
	return m.sessions[w]
}

// sending is what the controller knew of a worker when it sent an order with a lease.
type sending struct {
	state       *State
	epoch       int64
	sent        time.Time
	bornAt      time.Time
	incarnation int64
	overdue     bool
}

func (m *model) sending(w *fakeWorker, worker *Worker) sending {
	s := m.session(w)
	return sending{
		state: m.state, epoch: m.epoch, sent: m.now, bornAt: s.bornAt, incarnation: worker.Info.Incarnation,
		overdue: m.now.Sub(s.readAt) > modelAnswerAge,
	}
}

// leaseOn returns the end of the lease of an order on the clock of the incarnation that takes it.
func (m *model) leaseOn(w *fakeWorker, s sending) time.Time {
	until := s.sent.Add(modelLease)
	if !s.bornAt.IsZero() {
		until = until.Add(w.bornAt.Sub(s.bornAt))
	}
	if longest := m.now.Add(modelMaxLease); until.After(longest) {
		return longest
	}
	return until
}

// noteAnswer applies what the end of an order says about the worker's lease, as the controller does.
func (m *model) noteAnswer(w *fakeWorker, s sending, bornAt time.Time, err error) {
	worker, session := m.state.Worker(w.info.ID), m.session(w)
	if worker == nil {
		return
	}
	answered := !errors.Is(err, errNoAnswer)
	longest := m.now.Add(modelMaxLease)
	switch {
	case worker.Info.Incarnation != s.incarnation:
		m.state.RenewSent(worker, longest)
	case answered && bornAt.Sub(session.bornAt) > clockTolerance:
		m.state.RenewSent(worker, longest)
		m.state.RenewFailed(worker, m.now)
	case worker.IsEnded():
		if err == nil || !answered {
			m.state.RenewSent(worker, longest)
		}
	case !answered && s.overdue:
		m.state.RenewSent(worker, longest)
	}
}

// order sends the start order of a task.
func (m *model) order(task *Task) {
	w := m.worker(task.WorkerID())
	worker, order := task.worker, task.Start()
	if !m.state.ConfirmOrder(task, order.Run, m.now) {
		return
	}
	m.state.RenewSent(worker, m.now.Add(modelLease))
	s := m.sending(w, worker)
	var bornAt time.Time
	m.deliver(w, func() error {
		bornAt = w.bornAt
		return m.start(w, s.epoch, order, m.leaseOn(w, s), s.sent)
	}, func(err error) {
		if m.state == s.state {
			m.noteAnswer(w, s, bornAt, err)
			m.state.Started(task, order.Run, err, m.now)
		}
	})
}

// orderNow sends the start order of a task, which is carried out and answered at once.
func (m *model) orderNow(task *Task) {
	w := m.worker(task.WorkerID())
	worker, order := task.worker, task.Start()
	if !m.state.ConfirmOrder(task, order.Run, m.now) {
		return
	}
	m.state.RenewSent(worker, m.now.Add(modelLease))
	s, err := m.sending(w, worker), errNoAnswer
	if !w.down {
		err = m.start(w, s.epoch, order, m.leaseOn(w, s), s.sent)
	}
	m.noteAnswer(w, s, w.bornAt, err)
	m.state.Started(task, order.Run, err, m.now)
}

// deliver has an order carried out now, later, or not at all; its answer may be late or lost. A worker that is down takes
// the order when it is back, if the controller has not given it up by then.
func (m *model) deliver(w *fakeWorker, carryOut func() error, answer func(error)) {
	delivery, givenUp, taken := rapid.IntRange(0, 11).Draw(m.t, "delivery"), m.now.Add(modelOrderTimeout), m.now
	if w.down {
		taken = w.backAt
	}
	lost := func() {
		if rapid.Bool().Draw(m.t, "closed") && !w.down {
			answer(errNoAnswer)
			return
		}
		m.at(givenUp, func() { answer(errNoAnswer) })
	}
	life := w.life
	switch {
	case w.partitioned, delivery == 0, taken.After(givenUp):
		lost()
	case delivery == 1:
		m.at(taken.Add(m.draw("late", 1, 12)*1000), func() {
			if w.life == life {
				_ = carryOut()
			}
		})
		lost()
	case delivery == 2:
		m.at(taken, func() { _ = carryOut() })
		lost()
		m.advance(0)
	case delivery <= 5:
		m.at(taken.Add(m.draw("carried out after", 0, 300)), func() {
			m.answerLate(w, life, givenUp, carryOut, answer)
		})
	default:
		m.at(taken, func() { answer(carryOut()) })
		m.advance(0)
	}
}

// answerLate carries out an order unless its incarnation has ended. The answer is applied later, or given up.
func (m *model) answerLate(w *fakeWorker, life int, givenUp time.Time, carryOut func() error, answer func(error)) {
	err, at := errNoAnswer, givenUp
	if w.life == life {
		err = carryOut()
		at = m.now.Add(m.draw("answered after", 0, 500))
	}
	if at.After(givenUp) {
		err, at = errNoAnswer, givenUp
	}
	m.at(at, func() { answer(err) })
}

// renew makes the current controller renew a worker's lease. The report may be made and applied later, after other reports
// and orders.
func (m *model) renew(w *fakeWorker) {
	if w.partitioned || !w.down && rapid.IntRange(0, 3).Draw(m.t, "held") > 0 {
		m.renewNow(w)
		return
	}
	worker, s := m.state.Worker(w.info.ID), m.session(w)
	if worker == nil || s.renewals >= modelRenewals {
		return
	}
	s.renewals++
	m.state.RenewSent(worker, m.now.Add(modelLease))
	r, life, taken := m.sending(w, worker), w.life, m.now
	if w.down {
		taken = w.backAt
	}
	fails := func() { m.at(r.sent.Add(modelRenewTimeout), func() { m.renewalFails(w, r) }) }
	if taken.Sub(m.now) > modelRenewTimeout-modelWait-modelTransit {
		fails()
		return
	}
	m.at(taken, func() {
		if w.life != life || !m.takeRenewal(w, r, 0) {
			fails()
			return
		}
		m.at(m.now.Add(m.draw("held open", 0, int(modelWait.Milliseconds()))), func() {
			if w.life != life {
				fails()
				return
			}
			report, bornAt := m.makeReport(w), w.bornAt
			m.at(m.now.Add(m.draw("report under way", 0, int(modelTransit.Milliseconds()))), func() { m.applyReport(w, r, report, bornAt, true) })
		})
	})
	m.advance(0)
}

// renewNow is renew with an answer at once.
func (m *model) renewNow(w *fakeWorker) {
	worker := m.state.Worker(w.info.ID)
	if worker == nil {
		return
	}
	if w.partitioned || w.down {
		m.state.RenewFailed(worker, m.now)
		return
	}
	m.state.RenewSent(worker, m.now.Add(modelLease))
	r, acknowledged := m.sending(w, worker), int64(0)
	if !r.overdue {
		acknowledged = worker.Acknowledged()
	}
	if !m.takeRenewal(w, r, acknowledged) {
		return
	}
	report, bornAt := m.makeReport(w), w.bornAt
	m.advance(time.Millisecond)
	m.applyReport(w, r, report, bornAt, false)
}

// takeRenewal extends the lease of a worker and forgets the ends that are acknowledged. It reports whether the worker obeys.
func (m *model) takeRenewal(w *fakeWorker, r sending, acknowledged int64) bool {
	m.expire()
	if r.epoch < w.epoch {
		return false
	}
	w.epoch, w.lease = r.epoch, maxTime(w.lease, m.leaseOn(w, r))
	kept := w.ended[:0]
	for _, end := range w.ended {
		if end.Number > acknowledged {
			kept = append(kept, end)
		} else if end.Outcome == infra.OutcomeSucceeded && end.Number > w.lastExpired {
			m.done[end.Task] = true
		}
	}
	w.ended = kept
	return true
}

func (m *model) makeReport(w *fakeWorker) infra.RunReport {
	m.expire()
	listed := w.ended[:min(len(w.ended), modelListedEnds)]
	report := infra.RunReport{
		Incarnation: w.info.Incarnation, Ended: append([]infra.EndedRun(nil), listed...), MoreEnds: len(listed) == modelListedEnds,
	}
	for _, run := range w.active {
		report.Active = append(report.Active, run)
	}
	return report
}

// applyReport applies a report unless its controller was replaced.
func (m *model) applyReport(w *fakeWorker, r sending, report infra.RunReport, bornAt time.Time, held bool) {
	worker := m.state.Worker(w.info.ID)
	if m.state != r.state || worker == nil {
		return
	}
	s := m.session(w)
	if held {
		s.renewals--
	}
	if !m.state.ApplyReport(worker, report, r.sent, m.now, m.unixMs()) {
		m.state.RenewSent(worker, m.now.Add(modelMaxLease))
		return
	}
	m.noteAnswer(w, r, s.bornAt, nil)
	s.bornAt, s.readAt = bornAt, m.now
}

func (m *model) renewalFails(w *fakeWorker, r sending) {
	worker := m.state.Worker(w.info.ID)
	if m.state != r.state || worker == nil {
		return
	}
	s := m.session(w)
	s.renewals--
	m.noteAnswer(w, r, time.Time{}, errNoAnswer)
	m.state.RenewFailed(worker, s.readAt)
}

// restart gives a worker a new incarnation with empty state, and closes the connections of the former one.
func (m *model) restart(w *fakeWorker) {
	if w.down {
		return
	}
	// A renewal that is waiting at the worker fails with its process.
	if known := m.state.Worker(w.info.ID); known != nil {
		m.state.RenewFailed(known, m.now)
	}
	if known := m.state.Worker(w.info.ID); known != nil && rapid.Bool().Draw(m.t, "listed as ended") {
		m.state.WorkersEnded([]*Worker{known}, m.now, m.now, m.unixMs())
	}
	m.end(w)
	m.begin(w)
}

// crash ends a worker that returns soon, and tells the controller nothing: no connection is closed. The platform may list
// it as ended while it is down; that listing may be applied after its return.
func (m *model) crash(w *fakeWorker) {
	if w.down {
		return
	}
	m.end(w)
	down := m.draw("down", 100, 700)
	w.down, w.backAt = true, m.now.Add(down)
	m.at(w.backAt, func() { m.begin(w) })
	m.at(w.backAt.Add(m.draw("entry after", 0, 500)), func() { m.state.SetWorker(w.info) })
	if rapid.IntRange(0, 2).Draw(m.t, "listed") == 0 {
		m.at(m.now.Add(m.draw("listed after", 0, int(down.Milliseconds()))), func() { m.list(w) })
	}
}

// list applies a listing of the platform that does not contain a worker.
func (m *model) list(w *fakeWorker) {
	known, state := m.state.Worker(w.info.ID), m.state
	if known == nil {
		return
	}
	incarnation, read := known.Info.Incarnation, m.now
	m.at(m.now.Add(m.draw("listing takes", 0, 300)), func() {
		if m.state == state && known.Info.Incarnation == incarnation {
			m.state.WorkersEnded([]*Worker{known}, read, m.now, m.unixMs())
		}
	})
}

// end ends an incarnation of a worker with all that it runs and has taken.
func (m *model) end(w *fakeWorker) {
	w.life++
	w.epoch, w.lease, w.number, w.lastExpired = 0, time.Time{}, 0, 0
	w.active, w.newest, w.ended = map[string]infra.ActiveRun{}, map[string]int32{}, nil
}

// begin begins the next incarnation. Its number is lower than all others if the clock was set back.
func (m *model) begin(w *fakeWorker) {
	m.lives++
	w.down, w.bornAt, w.info.Incarnation = false, m.now, m.lives+1
	if rapid.IntRange(0, 3).Draw(m.t, "clock set back") == 0 {
		w.info.Incarnation = -m.lives
	}
}
