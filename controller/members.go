package controller

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

const (
	// adviceSlack is how much longer than its cost a call for advice may take.
	adviceSlack = 700 * time.Millisecond
	// lanePause is how long no advice is asked through a machine after a call that failed.
	lanePause = time.Second
	// quickPart is the part of the machines through which only quick advice is asked, as a divisor.
	quickPart = 3
)

// lane is a machine through which advice is asked. The advisor serves one call at a time for each machine.
type lane struct {
	address string
	cores   float64
	since   time.Time
	busy    bool
	after   time.Time
}

// applyMember takes in a machine, or that it is gone. The caller holds mu.
func (t *term) applyMember(machine string, event infra.Event) {
	if event.Deleted {
		delete(t.lanes, machine)
		return
	}
	member := &siskinv1.Member{}
	if err := proto.Unmarshal(event.Value, member); err != nil {
		t.log.Info("machine cannot be read", "machine", machine, "reason", err.Error())
		return
	}
	if known := t.lanes[machine]; known != nil && known.address == member.GetAddress() {
		known.cores = member.GetCores()
		return
	}
	t.lanes[machine] = &lane{address: member.GetAddress(), cores: member.GetCores(), since: t.now()}
}

const (
	// strongerBy is how many times as many processors, at their present speed, another machine must have before it gets
	// the controller's role. A change of controllers interrupts starts for some tenths of a second.
	strongerBy = 1.5
	// settledFor is how long that machine must have been there, and this term have lasted. A weak controller falls behind
	// within a second when work has piled up.
	settledFor = 700 * time.Millisecond
)

// shouldResign reports whether a machine that is much stronger than this one could be the controller. The caller holds
// mu.
func (t *term) shouldResign(now time.Time) bool {
	cores := t.Cores()
	if now.Sub(t.began) < settledFor || cores <= 0 {
		return false
	}
	for _, l := range t.lanes {
		if l.cores >= strongerBy*cores && now.Sub(l.since) >= settledFor && !now.Before(l.after) {
			return true
		}
	}
	return false
}

// adviceSlots returns how many calls for advice may be sent. The caller holds mu.
func (t *term) adviceSlots(now time.Time) dispatch.AdviceSlots {
	if t.lanes[t.Machine] == nil {
		t.lanes[t.Machine] = &lane{}
	}
	var slots dispatch.AdviceSlots
	for _, l := range t.lanes {
		if !l.busy && !now.Before(l.after) {
			slots.Free++
		}
	}
	if len(t.lanes) > 1 {
		slots.KeptForQuick = (len(t.lanes) + quickPart - 1) / quickPart
	}
	return slots
}

// sendAdvice sends requests through free machines. The caller holds mu.
func (t *term) sendAdvice(ctx context.Context, requests []*dispatch.AdviceRequest) {
	now := t.now()
	for _, request := range requests {
		machine := ""
		for name, l := range t.lanes {
			if !l.busy && !now.Before(l.after) && (machine == "" || name == t.Machine) {
				machine = name
			}
		}
		l := t.lanes[machine]
		if l == nil {
			t.state.Advised(request, infra.Advice{}, infra.ErrAdvisorBusy, now)
			continue
		}
		l.busy = true
		t.tasks.Go(func() { t.advise(ctx, machine, l, request) })
	}
}

func (t *term) advise(ctx context.Context, machine string, l *lane, request *dispatch.AdviceRequest) {
	call, cancel := context.WithTimeout(ctx, request.Cost+adviceSlack)
	defer cancel()
	began := t.now()
	var answer infra.Advice
	var err error
	if machine == t.Machine {
		answer, err = t.Advisor.Advise(call, request.Step, request.Workers)
	} else {
		answer, err = t.Peers.Advise(call, l.address, request.Step, request.Workers)
	}
	t.Metrics.advice(t.now().Sub(began), err)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	l.busy = false
	if err != nil {
		l.after = now.Add(lanePause)
	}
	t.state.Advised(request, answer, err, now)
	t.kick()
}
