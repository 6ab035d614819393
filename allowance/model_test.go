package allowance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/faultstore"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
	_ "siskinstack.example/siskinstack/testseed"
)

const team = "lab"

var shardNames = []string{"a", "b", "c"}

// world holds shards that VMs own in turn, and what runs in them.
type world struct {
	line    *clock.TimeLine
	clock   *clock.Stepping
	inner   *standin.Store
	vms     []*testVM
	owner   map[string]*testVM
	running map[string]resource.Vector
	newest  Ceilings
	// bound is the highest ceiling since all VMs last agreed.
	bound     resource.Vector
	rules     rules
	violation error
}

type testVM struct {
	world    *world
	faults   *faultstore.Store
	manager  *Manager
	limits   map[string]resource.Vector
	ceilings Ceilings
	busy     bool
}

func cpu(n int64) resource.Vector { return resource.Vector{MilliCPU: n, MemoryBytes: n} }

func newWorld(r rules) *world {
	line := &clock.TimeLine{}
	w := &world{line: line, clock: clock.NewStepping(line, time.Unix(1000, 0), 1), rules: r}
	w.inner = standin.NewStore(w.clock)
	w.owner, w.running = map[string]*testVM{}, map[string]resource.Vector{}
	w.newest = Ceilings{Version: 1, Teams: map[string]resource.Vector{team: cpu(120)}}
	w.bound = cpu(120)
	for i, shard := range shardNames {
		vm := &testVM{world: w, ceilings: w.newest, limits: map[string]resource.Vector{}}
		vm.faults = faultstore.New(w.inner, line.Advance)
		vm.manager = NewManager(Options{
			Store: vm.faults, Clock: w.clock, Writer: fmt.Sprintf("vm%d", i), Asker: vm, Limiter: vm,
			Ceilings: func() Ceilings { return vm.ceilings }, Shards: func() []string { return shardNames },
			Check: vm.check,
		})
		vm.manager.rules = r
		w.vms = append(w.vms, vm)
		w.takeOver(shard, vm)
	}
	return w
}

// takeOver makes a VM the owner. The former owner does not notice.
func (w *world) takeOver(shard string, vm *testVM) {
	w.owner[shard] = vm
	delete(vm.limits, shard)
	vm.manager.Own(shard)
}

func (vm *testVM) check(shard string) error {
	if vm.world.owner[shard] != vm {
		return errors.New("right has ended")
	}
	return nil
}

func (vm *testVM) SetLimit(shard, _ string, limit resource.Vector) resource.Vector {
	vm.limits[shard] = limit
	vm.world.check()
	return vm.world.running[shard]
}

func (vm *testVM) GiveBack(
	ctx context.Context, request *siskinv1.GiveBackAllowanceRequest,
) (*siskinv1.GiveBackAllowanceResponse, error) {
	donor := vm.world.owner[request.GetShard()]
	if donor.busy {
		return nil, errors.New("no response")
	}
	donor.busy = true
	defer func() { donor.busy = false }()
	return donor.manager.GiveBack(ctx, request), nil
}

func (vm *testVM) step() {
	if vm.busy {
		return
	}
	vm.busy = true
	vm.manager.Step(context.Background())
	vm.busy = false
}

// start runs more of the team's work in a shard if its owner's limit allows it.
func (w *world) start(shard string, amount resource.Vector) {
	next := w.running[shard].Add(amount)
	if next.Fits(w.owner[shard].limits[shard]) {
		w.running[shard] = next
	}
	w.check()
}

// total is what the shards run or may start.
func (w *world) total() resource.Vector {
	var total resource.Vector
	for _, shard := range shardNames {
		total = total.Add(w.owner[shard].limits[shard].Max(w.running[shard]))
	}
	return total
}

func (w *world) check() {
	if total := w.total(); !total.Fits(w.bound) && w.violation == nil {
		w.violation = eris.Errorf("shards may run %v, above the ceiling %v", total, w.bound)
	}
}

// settle lets all VMs learn the newest ceiling without faults, and requires that the sum obeys it.
func (w *world) settle() {
	for range 6 {
		for _, vm := range w.vms {
			vm.faults.Deliver()
			vm.ceilings = w.newest
			vm.step()
		}
		w.line.Advance(askBackoffMax)
		for _, shard := range shardNames {
			w.running[shard] = w.running[shard].Min(w.owner[shard].limits[shard])
		}
	}
	w.bound = w.newest.Teams[team]
	w.check()
}

func soundRules() rules { return rules{lowerFirst: true, adopt: true, smallerCounts: true} }

// Guards against a team above its ceiling when answers are lost, calls are late, doubled or delayed, owners are paused
// inside a call and replaced, and ceilings change, in any combination.
func TestSumOfLimitsStaysUnderTheCeiling(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(soundRules())
		w.steps(rt, rapid.IntRange(1, 60).Draw(rt, "steps"), 0)
		for _, vm := range w.vms {
			vm.faults.SetBefore(nil)
		}
		w.settleAfterFaults()
		if w.violation != nil {
			rt.Fatal(w.violation)
		}
	})
}

// settleAfterFaults uses up the ordered faults first.
func (w *world) settleAfterFaults() {
	for _, vm := range w.vms {
		for range 100 {
			_, _ = vm.faults.Get(context.Background(), "none")
		}
	}
	w.settle()
}

func (w *world) steps(rt *rapid.T, n, depth int) {
	for range n {
		vm := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(rt, "vm")]
		shard := rapid.SampledFrom(shardNames).Draw(rt, "shard")
		if depth < 2 && rapid.IntRange(0, 7).Draw(rt, "pause") == 0 {
			vm.faults.SetBefore(func(int) {
				vm.faults.SetBefore(nil)
				w.steps(rt, rapid.IntRange(1, 8).Draw(rt, "inner"), depth+1)
			})
		}
		switch rapid.IntRange(0, 15).Draw(rt, "step") {
		case 0, 1:
			vm.faults.InjectFaults(faultstore.Fault{
				LoseResponse: rapid.Bool().Draw(rt, "lose"),
				Delayed:      rapid.IntRange(0, 2).Draw(rt, "late") == 0,
				Duplicate:    rapid.Bool().Draw(rt, "duplicate"),
				Before:       time.Duration(rapid.IntRange(0, 2).Draw(rt, "before")) * time.Second,
			})
		case 2:
			vm.faults.Deliver()
		case 3:
			w.takeOver(shard, vm)
		case 4:
			if rapid.IntRange(0, 2).Draw(rt, "change ceiling") > 0 {
				continue
			}
			w.newest = Ceilings{
				Version: w.newest.Version + 1,
				Teams:   map[string]resource.Vector{team: cpu(rapid.Int64Range(0, 130).Draw(rt, "ceiling"))},
			}
			w.bound = w.bound.Max(w.newest.Teams[team])
		case 5:
			vm.ceilings = w.newest
		case 6:
			w.running[shard] = w.running[shard].Min(cpu(rapid.Int64Range(0, 100).Draw(rt, "left")))
		case 7, 8:
			w.start(shard, cpu(rapid.Int64Range(1, 80).Draw(rt, "amount")))
		case 10, 11:
			w.line.Advance(time.Second)
			wanted := cpu(rapid.Int64Range(1, 150).Draw(rt, "wanted")).Proto()
			request := &siskinv1.GiveBackAllowanceRequest{Shard: shard, Team: team, Wanted: wanted}
			_, _ = vm.GiveBack(context.Background(), request)
		case 9, 12:
			demand := cpu(rapid.Int64Range(0, 150).Draw(rt, "demand"))
			w.owner[shard].manager.SetDemand(shard, team, demand)
		default:
			w.line.Advance(time.Duration(rapid.IntRange(0, 9).Draw(rt, "s")) * time.Second)
			vm.step()
		}
		w.check()
	}
}

// moveOnDemand fills shard a, and lets b take over what a gives back while a starts more work.
func moveOnDemand(r rules) error {
	w := newWorld(r)
	a, b := w.vms[0], w.vms[1]
	a.manager.SetDemand("a", team, cpu(80))
	a.step()
	a.manager.SetDemand("a", team, cpu(0))
	b.manager.SetDemand("b", team, cpu(100))
	w.line.Advance(writeInterval)
	read, write := faultstore.Fault{}, faultstore.Fault{LoseResponse: true}
	a.faults.InjectFaults(read, write)
	_ = a.manager.GiveBack(context.Background(), &siskinv1.GiveBackAllowanceRequest{
		Shard: "a", Team: team, Wanted: cpu(80).Proto(),
	})
	w.start("a", cpu(70))
	b.step()
	return w.violation
}

// Shows that the checker notices a grant that is given back before the local limit is lowered.
func TestCheckerCatchesGrantBeforeGiveBack(t *testing.T) {
	assert.NilError(t, moveOnDemand(soundRules()))
	broken := soundRules()
	broken.lowerFirst = false
	assert.ErrorContains(t, moveOnDemand(broken), "above the ceiling")
}

// Shows that the checker notices a raise that counts although its write was lost.
func TestCheckerCatchesTrustInALostWrite(t *testing.T) {
	run := func(r rules) error {
		w := newWorld(r)
		for _, vm := range w.vms[:2] {
			vm.manager.SetDemand(shardNames[0], team, cpu(100))
			vm.manager.SetDemand(shardNames[1], team, cpu(100))
			vm.faults.InjectFaults(faultstore.Fault{}, faultstore.Fault{Drop: true})
			vm.step()
		}
		return w.violation
	}
	assert.NilError(t, run(soundRules()))
	broken := soundRules()
	broken.smallerCounts, broken.adopt = false, false
	assert.ErrorContains(t, run(broken), "above the ceiling")
}

// Shows that the checker notices a new owner that trusts a split while the former owner's write is under way.
func TestCheckerCatchesTrustBeforeAdoption(t *testing.T) {
	run := func(r rules) error {
		w := newWorld(r)
		a, b, c := w.vms[0], w.vms[1], w.vms[2]
		a.manager.SetDemand("a", team, cpu(80))
		a.step()
		a.manager.SetDemand("a", team, cpu(0))
		w.line.Advance(writeInterval)
		a.faults.InjectFaults(faultstore.Fault{}, faultstore.Fault{Delayed: true})
		_ = a.manager.GiveBack(context.Background(), &siskinv1.GiveBackAllowanceRequest{
			Shard: "a", Team: team, Wanted: cpu(80).Proto(),
		})
		w.takeOver("a", c)
		c.manager.SetDemand("a", team, cpu(80))
		c.step()
		a.faults.Deliver()
		b.manager.SetDemand("b", team, cpu(100))
		b.step()
		return w.violation
	}
	assert.NilError(t, run(soundRules()))
	broken := soundRules()
	broken.adopt = false
	assert.ErrorContains(t, run(broken), "above the ceiling")
}

// Guards against demand that is never met although other shards have allowance to spare, and against more than one
// write per shard and second.
func TestUnusedAllowanceMovesOnDemand(t *testing.T) {
	w := newWorld(soundRules())
	for _, vm := range w.vms {
		vm.manager.SetDemand(shardNames[0], team, cpu(0))
	}
	w.vms[1].manager.SetDemand("b", team, cpu(120))
	before := w.inner.Counts().Writes
	const seconds = 30
	for range seconds * 5 {
		for _, vm := range w.vms {
			vm.step()
		}
		w.line.Advance(stepInterval)
	}
	assert.Equal(t, w.vms[1].manager.Limit("b", team), cpu(120))
	writes := w.inner.Counts().Writes - before
	assert.Assert(t, writes <= 10, "%d writes in %d s", writes, seconds)
	assert.NilError(t, w.violation)
}

// cutAsker reaches no other shard.
type cutAsker struct{}

func (cutAsker) GiveBack(
	context.Context, *siskinv1.GiveBackAllowanceRequest,
) (*siskinv1.GiveBackAllowanceResponse, error) {
	return nil, errors.New("no answer")
}

// Guards against an idle part of a ceiling that stays with a shard which is cut off from the others but not from the
// store, while work of the team waits elsewhere.
func TestIdleAllowanceComesBackWithoutBeingAskedFor(t *testing.T) {
	w := newWorld(soundRules())
	for _, vm := range w.vms {
		vm.manager.options.Asker = cutAsker{}
	}
	play := func(seconds int) {
		for range seconds * int(time.Second/stepInterval) {
			for _, vm := range w.vms {
				vm.step()
			}
			w.line.Advance(stepInterval)
		}
	}
	w.vms[0].manager.SetDemand(shardNames[0], team, cpu(80))
	play(3)
	assert.Equal(t, w.vms[0].manager.Limit(shardNames[0], team), cpu(80))
	w.vms[0].manager.SetDemand(shardNames[0], team, cpu(0))
	w.vms[1].manager.SetDemand(shardNames[1], team, cpu(60))
	play(int((idleFor+askBackoffMax)/time.Second) + 2)
	assert.Equal(t, w.vms[1].manager.Limit(shardNames[1], team), cpu(60))
	assert.NilError(t, w.violation)
}

// idleLimiter is a runtime in which nothing runs.
type idleLimiter struct{}

func (idleLimiter) SetLimit(string, string, resource.Vector) resource.Vector {
	return resource.Vector{}
}

// Guards against data races between serving demand, giving back, and taking shards over; run with -race.
func TestConcurrentUse(t *testing.T) {
	w := newWorld(soundRules())
	m := w.vms[0].manager
	m.options.Limiter = idleLimiter{}
	m.options.Check = func(string) error { return nil }
	var group sync.WaitGroup
	for i := range 3 {
		shard := shardNames[i]
		m.Own(shard)
		group.Go(func() {
			for n := range int64(100) {
				m.SetDemand(shard, team, cpu(n%50))
				m.Step(context.Background())
				w.line.Advance(writeInterval)
			}
		})
		group.Go(func() {
			for range 100 {
				request := &siskinv1.GiveBackAllowanceRequest{Shard: shard, Team: team, Wanted: cpu(5).Proto()}
				m.GiveBack(context.Background(), request)
				_ = m.Limit(shard, team)
			}
			m.Disown(shard)
		})
	}
	group.Wait()
}
