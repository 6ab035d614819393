package router

import (
	"time"

	"siskinstack.example/siskinstack/infra"
)

// endpoint is one row of the endpoint table. The lock of its pool guards it.
type endpoint struct {
	name    string
	address string
	// leavingInList comes from the platform's list, which lags; reportedLeaving from the endpoint itself.
	leavingInList   bool
	reportedLeaving bool
	connections     int
	slots           slots
	health          health
	// calls holds the start of each call in flight.
	calls      map[uint64]time.Time
	lastCallID uint64
	// othersInFlight is the number of calls in the endpoint's last load report that this process did not send: those of
	// other VMs and of earlier incarnations of this one.
	othersInFlight int
}

func (e *endpoint) leaving() bool { return e.leavingInList || e.reportedLeaving }

func (e *endpoint) usable(now time.Time) bool { return !e.leaving() && !e.health.ejected(now) }

// availableSlots returns how many calls may start now. One connection is reserved for load queries.
func (e *endpoint) availableSlots(now time.Time) int {
	if e.leaving() {
		return 0
	}
	free := min(e.slots.free(now), e.connections-1-e.slots.inFlight-e.slots.lingering)
	return e.health.allowedCalls(free, e.slots.inFlight, now)
}

// load is the value that powerOfTwoChoices compares: this VM's current calls, including those that may still run after
// an unknown outcome, plus the calls of others as last reported.
func (e *endpoint) load() int { return e.slots.inFlight + e.slots.lingering + e.othersInFlight }

func (e *endpoint) beginCall(now time.Time) uint64 {
	e.lastCallID++
	e.calls[e.lastCallID] = now
	e.slots.inFlight++
	return e.lastCallID
}

// outcome classifies how a call of an endpoint ended.
type outcome int

const (
	outcomeAnswered outcome = iota
	// outcomeNotRun means that the call certainly did not run, for a reason other than the next three.
	outcomeNotRun
	outcomeBusy
	outcomeLeaving
	outcomeNotSent
	// outcomeUnknown means that the call may have run or may still be running.
	outcomeUnknown
	// outcomeContextDone is an unknown outcome because the call's context ended; it is not counted as a failure of the
	// endpoint.
	outcomeContextDone
)

func (o outcome) mayHaveRun() bool { return o == outcomeUnknown || o == outcomeContextDone }

func (e *endpoint) endCall(call uint64, result outcome, now time.Time) {
	delete(e.calls, call)
	e.slots.inFlight--
	if result.mayHaveRun() {
		e.slots.lingering++
		e.slots.lastLingering = now
	}
	switch result {
	case outcomeAnswered:
		e.health.succeeded(e.slots.allowance)
	case outcomeBusy:
		e.health.busy(now)
	case outcomeLeaving:
		e.reportedLeaving = true
	case outcomeNotSent, outcomeUnknown:
		e.health.failed(now)
	case outcomeNotRun, outcomeContextDone:
	}
}

// reportedCalls counts the calls in flight that the answer to a load query sent at sentAt certainly includes.
func (e *endpoint) reportedCalls(sentAt time.Time) int {
	n := 0
	for _, started := range e.calls {
		if !started.Add(loadReportDelay).After(sentAt) {
			n++
		}
	}
	return n
}

func (e *endpoint) observe(o observation) {
	o.reportedCalls = e.reportedCalls(o.sentAt)
	e.slots.observe(o)
	e.reportedLeaving = o.load.Leaving
	e.othersInFlight = 0
	for from, n := range o.load.InFlight {
		if from != o.from {
			e.othersInFlight += n
		}
	}
}

// update applies the VM's entry in the list. A changed address means a new endpoint under the same name, which gets no
// calls until it has answered a load query.
func (e *endpoint) update(vm infra.VM) {
	if e.address != vm.Address {
		e.address = vm.Address
		e.reportedLeaving = false
		e.health = health{}
		e.slots.loadKnown = false
	}
	e.leavingInList = vm.Leaving
}
