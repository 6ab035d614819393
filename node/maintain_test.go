package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/controller"
	"siskinstack.example/siskinstack/infra"
)

const (
	// testMaintenanceTime is how long the maintenance of a machine takes, testMinHolderInterval the least time between orders
	// of two controllers for one machine.
	testMaintenanceTime   = 2 * time.Second
	testMinHolderInterval = 1500 * time.Millisecond
)

// fakeMachines manages the machines of a site's workers. It records orders that violate a rule.
type fakeMachines struct {
	site *site

	mu sync.Mutex // guards all fields below
	// upAt is when each machine is up again, maintained how often it was maintained.
	upAt       map[string]time.Time
	maintained map[string]int
	// epoch, holder and lastOrder are those of the last order for each machine.
	epoch     map[string]int64
	holder    map[string]string
	lastOrder map[string]time.Time
	// loseResponses makes every second order return a timeout after it was carried out.
	loseResponses bool
	orders        int
	violations    []string
}

func newFakeMachines(s *site) *fakeMachines {
	return &fakeMachines{
		site: s, upAt: map[string]time.Time{}, maintained: map[string]int{}, epoch: map[string]int64{},
		holder: map[string]string{}, lastOrder: map[string]time.Time{},
	}
}

// List implements infra.Machines.
func (p *fakeMachines) List(context.Context) ([]infra.Machine, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var machines []infra.Machine
	for i := range 4 {
		name := fmt.Sprintf("m%d", i)
		machines = append(machines, infra.Machine{
			Name: name, Worker: fmt.Sprintf("w%d", i), Up: time.Now().After(p.upAt[name]),
		})
	}
	return machines, nil
}

// Maintain implements infra.Machines.
func (p *fakeMachines) Maintain(_ context.Context, order infra.MaintenanceOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	name := order.Machine
	if order.Epoch < p.epoch[name] {
		return infra.ErrFenced
	}
	if p.holder[name] != "" && p.holder[name] != order.Holder && now.Sub(p.lastOrder[name]) < testMinHolderInterval {
		p.violations = append(p.violations, "orders of two holders too close together for "+name)
	}
	p.epoch[name], p.holder[name], p.lastOrder[name] = order.Epoch, order.Holder, now
	p.orders++
	if p.maintained[name] == 0 {
		down := 0
		for _, upAt := range p.upAt {
			if now.Before(upAt) {
				down++
			}
		}
		if down > 0 {
			p.violations = append(p.violations, "a second machine went down")
		}
		p.maintained[name]++
		p.upAt[name] = now.Add(testMaintenanceTime)
		p.site.fleet.Restart("w" + name[1:])
	}
	if p.loseResponses && p.orders%2 == 1 {
		return context.DeadlineExceeded
	}
	return nil
}

// waveStatus returns the status of the wave that operators see.
func (s *site) waveStatus() string {
	entry, err := s.store.Get(s.t.Context(), "shown/wave/7")
	if err != nil {
		return ""
	}
	return string(entry.Value)
}

// Guards against a wave that is not carried out, exceeds its limit, is reported as completed too early, or is ordered by
// two controllers at once: with long tasks, lost responses and changes of the controller.
func TestMaintenanceWave(t *testing.T) {
	for _, test := range []struct {
		name                       string
		loseResponses, leaderStops bool
	}{
		{name: "no faults"}, {name: "responses are lost", loseResponses: true}, {name: "controllers change", leaderStops: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 4, 3*time.Second)
				machines := newFakeMachines(s)
				machines.loseResponses = test.loseResponses
				s.machines = machines
				a := s.start("a")
				time.Sleep(time.Second)
				b := s.start("b")
				time.Sleep(2 * time.Second)
				longRunning := step(4)
				longRunning.LongRunning, longRunning.MaxUnavailable, longRunning.MaxPerWorker = true, 1, 1
				assert.NilError(t, b.submit("0000000000000001", longRunning))
				assert.NilError(t, b.submit("0000000000000002", step(8)))
				s.put("ops/wave/7", []byte(`{"Number":7,"Machines":["m0","m1","m2","m3"],"AtOnce":1,"Within":40000000000}`))
				if test.leaderStops {
					time.Sleep(6 * time.Second)
					a.stop()
				}
				for range 80 {
					if s.waveStatus() == "completed" {
						break
					}
					time.Sleep(time.Second)
				}
				assert.Equal(t, s.waveStatus(), "completed")
				machines.mu.Lock()
				defer machines.mu.Unlock()
				assert.Equal(t, len(machines.violations), 0, "%v", machines.violations)
				assert.DeepEqual(t, machines.maintained, map[string]int{"m0": 1, "m1": 1, "m2": 1, "m3": 1})
				phase, err := b.gateway.Phase(t.Context(), "0000000000000002")
				assert.NilError(t, err)
				assert.Equal(t, phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED)
			})
		})
	}
}

// Guards against a completed wave that the next controller carries out again.
func TestCompletedWaveIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4, time.Second)
		machines := newFakeMachines(s)
		s.machines = machines
		a := s.start("a")
		s.put("ops/wave/7", []byte(`{"Number":7,"Machines":["m1"],"AtOnce":1,"Within":1000000000}`))
		time.Sleep(10 * time.Second)
		assert.Equal(t, s.waveStatus(), "completed")
		a.stop()
		s.start("b")
		time.Sleep(10 * time.Second)
		machines.mu.Lock()
		defer machines.mu.Unlock()
		assert.Equal(t, machines.orders, 1)
		_, err := s.store.Get(t.Context(), controller.WaveKey(7))
		assert.NilError(t, err)
	})
}
