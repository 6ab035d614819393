package ownership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/faultstore"
	"siskinstack.example/siskinstack/standin"
	_ "siskinstack.example/siskinstack/testseed"
)

// simulation is a store and several VMs that share one simulated time line.
type simulation struct {
	line        *clock.TimeLine
	inner       *standin.Store
	vms         []*testVM
	partitioned map[[2]int]bool // requests or responses lost from one VM to another
	rules       rules
	violation   error
}

// testVM is one VM. replace gives it a new manager, as a restart does.
type testVM struct {
	sim         *simulation
	number      int
	name        string
	clock       *clock.Stepping
	faults      *faultstore.Store
	manager     *Manager
	rights      []*Right
	incarnation int64
	busy        map[string]bool // loops that are inside a call
}

var testShards = []Shard{{Name: "kartli-1-0", Zone: "kartli-1"}, {Name: "kartli-2-0", Zone: "kartli-2"}}

func newSimulation(rates ...float64) *simulation {
	sim := &simulation{line: &clock.TimeLine{}, partitioned: map[[2]int]bool{}}
	sim.rules = rules{driftMargin: DriftMargin, startWait: PromiseDuration, honourPromises: true}
	sim.inner = standin.NewStore(clock.NewStepping(sim.line, time.Unix(1000, 0), 1))
	for i, rate := range rates {
		vm := &testVM{sim: sim, number: i, name: fmt.Sprintf("vm%d", i)}
		vm.clock = clock.NewStepping(sim.line, time.Unix(5000, 0), rate)
		vm.faults = faultstore.New(sim.inner, sim.line.Advance)
		sim.vms = append(sim.vms, vm)
	}
	for _, vm := range sim.vms {
		vm.replace()
	}
	return sim
}

func (vm *testVM) zone() string { return testShards[vm.number%2].Zone }

// replace simulates a crash and restart of a VM's process: the new manager has no state of the old one.
func (vm *testVM) replace() {
	vm.incarnation++
	vm.rights, vm.busy = nil, map[string]bool{}
	var peers []Peer
	for _, other := range vm.sim.vms {
		peers = append(peers, Peer{VM: other.name, Zone: other.zone()})
	}
	incarnation := vm.incarnation
	vm.manager = NewManager(Options{
		Store: vm.faults, Clock: vm.clock, VM: vm.name, Zone: vm.zone(), Incarnation: incarnation,
		Shards: func() []Shard { return testShards }, Peers: peers, PromiseCollector: vm,
		Acquired: func(r *Right) {
			if vm.incarnation == incarnation {
				vm.rights = append(vm.rights, r)
			}
		},
		Lost: func(string) {},
	})
	vm.manager.rules = vm.sim.rules
}

// Ask implements PromiseCollector over a network that loses messages in either direction.
func (vm *testVM) Ask(_ context.Context, request *siskinv1.PromiseRequest) []string {
	var responses []*siskinv1.PromiseResponse
	for _, other := range vm.sim.vms {
		if other == vm {
			continue
		}
		var response *siskinv1.PromiseResponse
		if !vm.sim.partitioned[[2]int{vm.number, other.number}] {
			response = other.manager.Promise(request)
		}
		if vm.sim.partitioned[[2]int{other.number, vm.number}] {
			response = nil
		}
		responses = append(responses, response)
	}
	return promisedByAll(request, responses)
}

// check records a violation when two VMs hold a valid right to one shard.
func (sim *simulation) check() {
	for _, shard := range testShards {
		var valid []string
		for _, vm := range sim.vms {
			for _, right := range vm.rights {
				if right.Shard == shard.Name && right.Check() == nil {
					valid = append(valid, fmt.Sprintf("%s epoch %d", vm.name, right.Epoch))
				}
			}
		}
		if len(valid) > 1 && sim.violation == nil {
			sim.violation = eris.Errorf("two valid rights to %s: %v", shard.Name, valid)
		}
	}
}

// step runs one loop of a VM once, unless that loop is inside a call.
func (vm *testVM) step(loop string) {
	if vm.busy[loop] {
		return
	}
	busy, ctx := vm.busy, context.Background()
	busy[loop] = true
	switch loop {
	case "renew":
		vm.manager.renewStep(ctx)
	case "watch":
		_ = vm.manager.watchStep(ctx, 0)
	case "acquire":
		vm.manager.acquireStep(ctx)
	}
	busy[loop] = false
	vm.sim.check()
}

var loops = []string{"renew", "watch", "acquire"}

// tick runs all loops of the VMs in turn while time passes.
func (sim *simulation) tick(d time.Duration, vms ...*testVM) {
	const tickInterval = 100 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += tickInterval {
		for _, vm := range vms {
			if passed%renewInterval == 0 {
				vm.step("renew")
			}
			vm.step("watch")
			vm.step("acquire")
		}
		sim.line.Advance(tickInterval)
	}
}

func (sim *simulation) owner(shard string) *testVM {
	for _, vm := range sim.vms {
		for _, right := range vm.rights {
			if right.Shard == shard && right.Check() == nil {
				return vm
			}
		}
	}
	return nil
}

// Guards against two valid rights to a shard when responses are lost, calls are late, duplicated or delayed, messages
// are lost in one direction, loops are paused inside a call, VMs crash, and clocks run at rates within the drift
// margin.
func TestAtMostOneRightPerShard(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0.955, 1.045), 3, 3).Draw(rt, "rates")
		sim := newSimulation(rates...)
		sim.tick(4*time.Second, sim.vms...)
		sim.steps(rt, rapid.IntRange(1, 80).Draw(rt, "steps"), 0)
		if sim.violation != nil {
			rt.Fatal(sim.violation)
		}
	})
}

func (sim *simulation) steps(rt *rapid.T, n, depth int) {
	for range n {
		vm := sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(rt, "vm")]
		if depth < 2 && rapid.IntRange(0, 9).Draw(rt, "pause") == 0 {
			vm.faults.SetBefore(func(int) {
				vm.faults.SetBefore(nil)
				sim.steps(rt, rapid.IntRange(1, 8).Draw(rt, "inner"), depth+1)
			})
		}
		switch rapid.IntRange(0, 11).Draw(rt, "step") {
		case 0:
			sim.injectFaults(rt, vm)
		case 1:
			vm.replace()
		case 2:
			vm.faults.SetPartitioned(rapid.Bool().Draw(rt, "cut"))
		case 3:
			vm.faults.Deliver()
		case 4:
			shard := rapid.SampledFrom(testShards).Draw(rt, "shard").Name
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, _ = vm.manager.Release(ctx, shard)
		case 5, 6:
			sim.line.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
		case 7:
			sim.tick(time.Second, sim.vms...)
		default:
			vm.step(rapid.SampledFrom(loops).Draw(rt, "loop"))
		}
		sim.check()
	}
}

// injectFaults injects random faults of the store and of the network.
func (sim *simulation) injectFaults(rt *rapid.T, vm *testVM) {
	vm.faults.InjectFaults(faultstore.Fault{
		LoseResponse: rapid.Bool().Draw(rt, "lose"),
		Delayed:      rapid.IntRange(0, 2).Draw(rt, "late") == 0,
		Duplicate:    rapid.Bool().Draw(rt, "duplicate"),
		Before:       time.Duration(rapid.IntRange(0, 1500).Draw(rt, "before")) * time.Millisecond,
		After:        time.Duration(rapid.IntRange(0, 1500).Draw(rt, "after")) * time.Millisecond,
	})
	link := [2]int{vm.number, rapid.IntRange(0, len(sim.vms)-1).Draw(rt, "to")}
	sim.partitioned[link] = rapid.Bool().Draw(rt, "link")
}

// outageThenTakeOver partitions the owner from the store and its peers for longer than a lease, so that another VM
// acquires the shard.
func outageThenTakeOver(sim *simulation) {
	sim.tick(5*time.Second, sim.vms...)
	old := sim.owner("kartli-1-0")
	old.faults.SetPartitioned(true)
	for _, vm := range sim.vms {
		sim.partitioned[[2]int{old.number, vm.number}] = true
	}
	sim.tick(6*time.Second, sim.vms...)
}

// Verifies that the checker detects a drift margin with which a right outlasts its lease.
func TestCheckerDetectsNegativeDriftMargin(t *testing.T) {
	sound := newSimulation(0.955, 1.045, 1)
	outageThenTakeOver(sound)
	assert.NilError(t, sound.violation)
	broken := newSimulation(0.955, 1.045, 1)
	broken.rules.driftMargin = -2 * time.Second
	for _, vm := range broken.vms {
		vm.replace()
	}
	outageThenTakeOver(broken)
	assert.ErrorContains(t, broken.violation, "two valid rights")
}

// promisedThenPartitioned ends the owner's lease in a store outage, so that only promises extend its right, and then
// lets the peers, but not the owner, reach the store.
func promisedThenPartitioned(sim *simulation, restart bool) {
	sim.tick(5*time.Second, sim.vms...)
	old := sim.owner("kartli-1-0")
	for _, vm := range sim.vms {
		vm.faults.SetPartitioned(true)
	}
	sim.tick(5*time.Second, sim.vms...) // the store lease has ended; only promises extend the right
	for _, vm := range sim.vms {
		if vm == old {
			continue
		}
		vm.faults.SetPartitioned(false)
		if restart {
			vm.replace()
		}
		sim.tick(200*time.Millisecond, vm)
	}
	sim.tick(time.Second, sim.vms[0], sim.vms[1], sim.vms[2])
}

// Verifies that the checker detects a VM that ignores its promises, and one that loses them in a restart without start
// wait.
func TestCheckerDetectsBrokenPromises(t *testing.T) {
	for name, test := range map[string]struct {
		breakRule func(*rules)
		restart   bool
	}{
		"promise ignored": {func(r *rules) { r.honourPromises = false }, false},
		"no start wait":   {func(r *rules) { r.startWait = 0 }, true},
	} {
		sound := newSimulation(1, 1, 1)
		promisedThenPartitioned(sound, test.restart)
		assert.NilError(t, sound.violation, name)
		broken := newSimulation(1, 1, 1)
		test.breakRule(&broken.rules)
		for _, vm := range broken.vms {
			vm.replace()
		}
		promisedThenPartitioned(broken, test.restart)
		assert.ErrorContains(t, broken.violation, "two valid rights", name)
	}
}
