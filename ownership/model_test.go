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

// world is a store and several VMs on one time line.
type world struct {
	line      *clock.TimeLine
	inner     *standin.Store
	vms       []*testVM
	cut       map[[2]int]bool // requests or responses lost from one VM to another
	rules     rules
	violation error
}

// testVM is one VM; its manager is replaced when it is killed.
type testVM struct {
	world       *world
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

func newWorld(rates ...float64) *world {
	w := &world{line: &clock.TimeLine{}, cut: map[[2]int]bool{}}
	w.rules = rules{driftMargin: DriftMargin, startWait: PromiseDuration, honourPromises: true}
	w.inner = standin.NewStore(clock.NewStepping(w.line, time.Unix(1000, 0), 1))
	for i, rate := range rates {
		vm := &testVM{world: w, number: i, name: fmt.Sprintf("vm%d", i)}
		vm.clock = clock.NewStepping(w.line, time.Unix(5000, 0), rate)
		vm.faults = faultstore.New(w.inner, w.line.Advance)
		w.vms = append(w.vms, vm)
	}
	for _, vm := range w.vms {
		vm.replace()
	}
	return w
}

func (vm *testVM) zone() string { return testShards[vm.number%2].Zone }

// replace kills the process of a VM and starts a new one, which remembers nothing.
func (vm *testVM) replace() {
	vm.incarnation++
	vm.rights, vm.busy = nil, map[string]bool{}
	var peers []Peer
	for _, other := range vm.world.vms {
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
	vm.manager.rules = vm.world.rules
}

// Ask implements PromiseCollector over a network that loses messages in either direction.
func (vm *testVM) Ask(_ context.Context, request *siskinv1.PromiseRequest) []string {
	var responses []*siskinv1.PromiseResponse
	for _, other := range vm.world.vms {
		if other == vm {
			continue
		}
		var response *siskinv1.PromiseResponse
		if !vm.world.cut[[2]int{vm.number, other.number}] {
			response = other.manager.Promise(request)
		}
		if vm.world.cut[[2]int{other.number, vm.number}] {
			response = nil
		}
		responses = append(responses, response)
	}
	return promisedByAll(request, responses)
}

// check records a violation when two VMs hold a valid right to one shard.
func (w *world) check() {
	for _, shard := range testShards {
		var valid []string
		for _, vm := range w.vms {
			for _, right := range vm.rights {
				if right.Shard == shard.Name && right.Check() == nil {
					valid = append(valid, fmt.Sprintf("%s epoch %d", vm.name, right.Epoch))
				}
			}
		}
		if len(valid) > 1 && w.violation == nil {
			w.violation = eris.Errorf("two valid rights to %s: %v", shard.Name, valid)
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
	vm.world.check()
}

var loops = []string{"renew", "watch", "acquire"}

// tick runs all loops of the VMs in turn while time passes.
func (w *world) tick(d time.Duration, vms ...*testVM) {
	const tickInterval = 100 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += tickInterval {
		for _, vm := range vms {
			if passed%renewInterval == 0 {
				vm.step("renew")
			}
			vm.step("watch")
			vm.step("acquire")
		}
		w.line.Advance(tickInterval)
	}
}

func (w *world) owner(shard string) *testVM {
	for _, vm := range w.vms {
		for _, right := range vm.rights {
			if right.Shard == shard && right.Check() == nil {
				return vm
			}
		}
	}
	return nil
}

// Guards against two valid rights to a shard when answers are lost, calls are late, doubled or delayed, messages are cut
// one way, loops are paused inside a call, VMs are killed, and clocks run at rates within the drift margin.
func TestAtMostOneRightPerShard(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0.955, 1.045), 3, 3).Draw(rt, "rates")
		w := newWorld(rates...)
		w.tick(4*time.Second, w.vms...)
		w.steps(rt, rapid.IntRange(1, 80).Draw(rt, "steps"), 0)
		if w.violation != nil {
			rt.Fatal(w.violation)
		}
	})
}

func (w *world) steps(rt *rapid.T, n, depth int) {
	for range n {
		vm := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(rt, "vm")]
		if depth < 2 && rapid.IntRange(0, 9).Draw(rt, "pause") == 0 {
			vm.faults.SetBefore(func(int) {
				vm.faults.SetBefore(nil)
				w.steps(rt, rapid.IntRange(1, 8).Draw(rt, "inner"), depth+1)
			})
		}
		switch rapid.IntRange(0, 11).Draw(rt, "step") {
		case 0:
			w.disturb(rt, vm)
		case 1:
			vm.replace()
		case 2:
			vm.faults.SetCut(rapid.Bool().Draw(rt, "cut"))
		case 3:
			vm.faults.Deliver()
		case 4:
			shard := rapid.SampledFrom(testShards).Draw(rt, "shard").Name
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, _ = vm.manager.Release(ctx, shard)
		case 5, 6:
			w.line.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
		case 7:
			w.tick(time.Second, w.vms...)
		default:
			vm.step(rapid.SampledFrom(loops).Draw(rt, "loop"))
		}
		w.check()
	}
}

// disturb orders faults of the store and of the network.
func (w *world) disturb(rt *rapid.T, vm *testVM) {
	vm.faults.Order(faultstore.Fault{
		LoseAnswer: rapid.Bool().Draw(rt, "lose"),
		Late:       rapid.IntRange(0, 2).Draw(rt, "late") == 0,
		Duplicate:  rapid.Bool().Draw(rt, "duplicate"),
		Before:     time.Duration(rapid.IntRange(0, 1500).Draw(rt, "before")) * time.Millisecond,
		After:      time.Duration(rapid.IntRange(0, 1500).Draw(rt, "after")) * time.Millisecond,
	})
	link := [2]int{vm.number, rapid.IntRange(0, len(w.vms)-1).Draw(rt, "to")}
	w.cut[link] = rapid.Bool().Draw(rt, "link")
}

// outageThenTakeOver cuts the owner off from store and peers while its clock runs slow.
func outageThenTakeOver(w *world) {
	w.tick(5*time.Second, w.vms...)
	old := w.owner("kartli-1-0")
	old.faults.SetCut(true)
	for _, vm := range w.vms {
		w.cut[[2]int{old.number, vm.number}] = true
	}
	w.tick(6*time.Second, w.vms...)
}

// Shows that the checker notices a margin that does not cover the drift of the clocks.
func TestCheckerCatchesNegativeDriftMargin(t *testing.T) {
	sound := newWorld(0.955, 1.045, 1)
	outageThenTakeOver(sound)
	assert.NilError(t, sound.violation)
	broken := newWorld(0.955, 1.045, 1)
	broken.rules.driftMargin = -2 * time.Second
	for _, vm := range broken.vms {
		vm.replace()
	}
	outageThenTakeOver(broken)
	assert.ErrorContains(t, broken.violation, "two valid rights")
}

// promisedThenPartitioned lets the peers reach the store while the owner lives on promises. The lease ends first.
func promisedThenPartitioned(w *world, restart bool) {
	w.tick(5*time.Second, w.vms...)
	old := w.owner("kartli-1-0")
	for _, vm := range w.vms {
		vm.faults.SetCut(true)
	}
	w.tick(5*time.Second, w.vms...) // the store's lease has ended, the right lives on promises
	for _, vm := range w.vms {
		if vm == old {
			continue
		}
		vm.faults.SetCut(false)
		if restart {
			vm.replace()
		}
		w.tick(200*time.Millisecond, vm)
	}
	w.tick(time.Second, w.vms[0], w.vms[1], w.vms[2])
}

// Shows that the checker notices a VM that breaks its promises, and one that forgets them by restarting.
func TestCheckerCatchesBrokenPromises(t *testing.T) {
	for name, test := range map[string]struct {
		breakRule func(*rules)
		restart   bool
	}{
		"promise ignored": {func(r *rules) { r.honourPromises = false }, false},
		"no start wait":   {func(r *rules) { r.startWait = 0 }, true},
	} {
		sound := newWorld(1, 1, 1)
		promisedThenPartitioned(sound, test.restart)
		assert.NilError(t, sound.violation, name)
		broken := newWorld(1, 1, 1)
		test.breakRule(&broken.rules)
		for _, vm := range broken.vms {
			vm.replace()
		}
		promisedThenPartitioned(broken, test.restart)
		assert.ErrorContains(t, broken.violation, "two valid rights", name)
	}
}
