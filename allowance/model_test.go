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

// simulation holds shards whose ownership moves between VMs, and what runs in them.
type simulation struct {
	line    *clock.TimeLine
	clock   *clock.Stepping
	inner   *standin.Store
	vms     []*testVM
	owner   map[string]*testVM
	running map[string]resource.Vector
	newest  Ceilings
	// bound is the highest ceiling since all VMs last had the same one.
	bound     resource.Vector
	rules     rules
	violation error
}

type testVM struct {
	sim      *simulation
	faults   *faultstore.Store
	manager  *Manager
	limits   map[string]resource.Vector
	ceilings Ceilings
	busy     bool
}

func cpu(n int64) resource.Vector { return resource.Vector{MilliCPU: n, MemoryBytes: n} }

func newSimulation(r rules) *simulation {
	line := &clock.TimeLine{}
	sim := &simulation{line: line, clock: clock.NewStepping(line, time.Unix(1000, 0), 1), rules: r}
	sim.inner = standin.NewStore(sim.clock)
	sim.owner, sim.running = map[string]*testVM{}, map[string]resource.Vector{}
	sim.newest = Ceilings{Version: 1, Teams: map[string]resource.Vector{team: cpu(120)}}
	sim.bound = cpu(120)
	for i, shard := range shardNames {
		vm := &testVM{sim: sim, ceilings: sim.newest, limits: map[string]resource.Vector{}}
		vm.faults = faultstore.New(sim.inner, line.Advance)
		vm.manager = NewManager(Options{
			Store: vm.faults, Clock: sim.clock, Writer: fmt.Sprintf("vm%d", i), Donors: vm, Limiter: vm,
			Ceilings: func() Ceilings { return vm.ceilings }, Shards: func() []string { return shardNames },
			Check: vm.check,
		})
		vm.manager.rules = r
		sim.vms = append(sim.vms, vm)
		sim.takeOver(shard, vm)
	}
	return sim
}

// takeOver makes a VM the owner of a shard. The former owner is not notified.
func (sim *simulation) takeOver(shard string, vm *testVM) {
	sim.owner[shard] = vm
	delete(vm.limits, shard)
	vm.manager.AddShard(shard)
}

func (vm *testVM) check(shard string) error {
	if vm.sim.owner[shard] != vm {
		return errors.New("right has ended")
	}
	return nil
}

func (vm *testVM) SetLimit(shard, _ string, limit resource.Vector) resource.Vector {
	vm.limits[shard] = limit
	vm.sim.check()
	return vm.sim.running[shard]
}

func (vm *testVM) GiveBack(
	ctx context.Context, request *siskinv1.GiveBackAllowanceRequest,
) (*siskinv1.GiveBackAllowanceResponse, error) {
	donor := vm.sim.owner[request.GetShard()]
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

// start runs more of the team's work in a shard if the limit of its owner admits it.
func (sim *simulation) start(shard string, amount resource.Vector) {
	next := sim.running[shard].Add(amount)
	if next.Fits(sim.owner[shard].limits[shard]) {
		sim.running[shard] = next
	}
	sim.check()
}

// total is what the shards run or may start.
func (sim *simulation) total() resource.Vector {
	var total resource.Vector
	for _, shard := range shardNames {
		total = total.Add(sim.owner[shard].limits[shard].Max(sim.running[shard]))
	}
	return total
}

func (sim *simulation) check() {
	if total := sim.total(); !total.Fits(sim.bound) && sim.violation == nil {
		sim.violation = eris.Errorf("shards may run %v, above the ceiling %v", total, sim.bound)
	}
}

// converge gives all VMs the newest ceiling without faults, and requires that the sum of limits stays within it.
func (sim *simulation) converge() {
	for range 6 {
		for _, vm := range sim.vms {
			vm.faults.Deliver()
			vm.ceilings = sim.newest
			vm.step()
		}
		sim.line.Advance(requestBackoffMax)
		for _, shard := range shardNames {
			sim.running[shard] = sim.running[shard].Min(sim.owner[shard].limits[shard])
		}
	}
	sim.bound = sim.newest.Teams[team]
	sim.check()
}

func soundRules() rules { return rules{lowerFirst: true, adopt: true, useSmallerLimit: true} }

// Guards against a team above its ceiling when responses are lost, calls are late, duplicated or delayed, owners are
// paused inside a call and replaced, and ceilings change, in any combination.
func TestSumOfLimitsStaysUnderTheCeiling(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(soundRules())
		sim.steps(rt, rapid.IntRange(1, 60).Draw(rt, "steps"), 0)
		for _, vm := range sim.vms {
			vm.faults.SetBefore(nil)
		}
		sim.convergeAfterFaults()
		if sim.violation != nil {
			rt.Fatal(sim.violation)
		}
	})
}

// convergeAfterFaults consumes the faults that are still scheduled before it converges.
func (sim *simulation) convergeAfterFaults() {
	for _, vm := range sim.vms {
		for range 100 {
			_, _ = vm.faults.Get(context.Background(), "none")
		}
	}
	sim.converge()
}

func (sim *simulation) steps(rt *rapid.T, n, depth int) {
	for range n {
		vm := sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(rt, "vm")]
		shard := rapid.SampledFrom(shardNames).Draw(rt, "shard")
		if depth < 2 && rapid.IntRange(0, 7).Draw(rt, "pause") == 0 {
			vm.faults.SetBefore(func(int) {
				vm.faults.SetBefore(nil)
				sim.steps(rt, rapid.IntRange(1, 8).Draw(rt, "inner"), depth+1)
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
			sim.takeOver(shard, vm)
		case 4:
			if rapid.IntRange(0, 2).Draw(rt, "change ceiling") > 0 {
				continue
			}
			sim.newest = Ceilings{
				Version: sim.newest.Version + 1,
				Teams:   map[string]resource.Vector{team: cpu(rapid.Int64Range(0, 130).Draw(rt, "ceiling"))},
			}
			sim.bound = sim.bound.Max(sim.newest.Teams[team])
		case 5:
			vm.ceilings = sim.newest
		case 6:
			sim.running[shard] = sim.running[shard].Min(cpu(rapid.Int64Range(0, 100).Draw(rt, "left")))
		case 7, 8:
			sim.start(shard, cpu(rapid.Int64Range(1, 80).Draw(rt, "amount")))
		case 10, 11:
			sim.line.Advance(time.Second)
			wanted := cpu(rapid.Int64Range(1, 150).Draw(rt, "wanted")).Proto()
			request := &siskinv1.GiveBackAllowanceRequest{Shard: shard, Team: team, Wanted: wanted}
			_, _ = vm.GiveBack(context.Background(), request)
		case 9, 12:
			demand := cpu(rapid.Int64Range(0, 150).Draw(rt, "demand"))
			sim.owner[shard].manager.SetDemand(shard, team, demand)
		default:
			sim.line.Advance(time.Duration(rapid.IntRange(0, 9).Draw(rt, "s")) * time.Second)
			vm.step()
		}
		sim.check()
	}
}

// moveOnDemand fills shard a, and lets b acquire what a gives back while a starts more work.
func moveOnDemand(r rules) error {
	sim := newSimulation(r)
	a, b := sim.vms[0], sim.vms[1]
	a.manager.SetDemand("a", team, cpu(80))
	a.step()
	a.manager.SetDemand("a", team, cpu(0))
	b.manager.SetDemand("b", team, cpu(100))
	sim.line.Advance(writeInterval)
	read, write := faultstore.Fault{}, faultstore.Fault{LoseResponse: true}
	a.faults.InjectFaults(read, write)
	_ = a.manager.GiveBack(context.Background(), &siskinv1.GiveBackAllowanceRequest{
		Shard: "a", Team: team, Wanted: cpu(80).Proto(),
	})
	sim.start("a", cpu(70))
	b.step()
	return sim.violation
}

// Shows that the check detects a grant that is given back before the local limit is lowered.
func TestCheckerCatchesGrantBeforeGiveBack(t *testing.T) {
	assert.NilError(t, moveOnDemand(soundRules()))
	broken := soundRules()
	broken.lowerFirst = false
	assert.ErrorContains(t, moveOnDemand(broken), "above the ceiling")
}

// Shows that the check detects a raise that takes effect although its write was lost.
func TestCheckerCatchesTrustInALostWrite(t *testing.T) {
	run := func(r rules) error {
		sim := newSimulation(r)
		for _, vm := range sim.vms[:2] {
			vm.manager.SetDemand(shardNames[0], team, cpu(100))
			vm.manager.SetDemand(shardNames[1], team, cpu(100))
			vm.faults.InjectFaults(faultstore.Fault{}, faultstore.Fault{Drop: true})
			vm.step()
		}
		return sim.violation
	}
	assert.NilError(t, run(soundRules()))
	broken := soundRules()
	broken.useSmallerLimit, broken.adopt = false, false
	assert.ErrorContains(t, run(broken), "above the ceiling")
}

// Shows that the check detects a new owner that trusts a split while the former owner's write is in flight.
func TestCheckerCatchesTrustBeforeAdoption(t *testing.T) {
	run := func(r rules) error {
		sim := newSimulation(r)
		a, b, c := sim.vms[0], sim.vms[1], sim.vms[2]
		a.manager.SetDemand("a", team, cpu(80))
		a.step()
		a.manager.SetDemand("a", team, cpu(0))
		sim.line.Advance(writeInterval)
		a.faults.InjectFaults(faultstore.Fault{}, faultstore.Fault{Delayed: true})
		_ = a.manager.GiveBack(context.Background(), &siskinv1.GiveBackAllowanceRequest{
			Shard: "a", Team: team, Wanted: cpu(80).Proto(),
		})
		sim.takeOver("a", c)
		c.manager.SetDemand("a", team, cpu(80))
		c.step()
		a.faults.Deliver()
		b.manager.SetDemand("b", team, cpu(100))
		b.step()
		return sim.violation
	}
	assert.NilError(t, run(soundRules()))
	broken := soundRules()
	broken.adopt = false
	assert.ErrorContains(t, run(broken), "above the ceiling")
}

// Guards against demand that is never met although other shards have allowance to spare, and against more than one
// write per shard and second.
func TestUnusedAllowanceMovesOnDemand(t *testing.T) {
	sim := newSimulation(soundRules())
	for _, vm := range sim.vms {
		vm.manager.SetDemand(shardNames[0], team, cpu(0))
	}
	sim.vms[1].manager.SetDemand("b", team, cpu(120))
	before := sim.inner.Counts().Writes
	const seconds = 30
	for range seconds * 5 {
		for _, vm := range sim.vms {
			vm.step()
		}
		sim.line.Advance(stepInterval)
	}
	assert.Equal(t, sim.vms[1].manager.Limit("b", team), cpu(120))
	writes := sim.inner.Counts().Writes - before
	assert.Assert(t, writes <= 10, "%d writes in %d s", writes, seconds)
	assert.NilError(t, sim.violation)
}

// unreachableDonors fails every request to another shard.
type unreachableDonors struct{}

func (unreachableDonors) GiveBack(
	context.Context, *siskinv1.GiveBackAllowanceRequest,
) (*siskinv1.GiveBackAllowanceResponse, error) {
	return nil, errors.New("no answer")
}

// Guards against an idle part of a ceiling that stays with a shard which cannot reach the other shards but can reach the
// store, while work of the team waits elsewhere.
func TestIdleAllowanceIsReleasedWithoutRequest(t *testing.T) {
	sim := newSimulation(soundRules())
	for _, vm := range sim.vms {
		vm.manager.options.Donors = unreachableDonors{}
	}
	runFor := func(seconds int) {
		for range seconds * int(time.Second/stepInterval) {
			for _, vm := range sim.vms {
				vm.step()
			}
			sim.line.Advance(stepInterval)
		}
	}
	sim.vms[0].manager.SetDemand(shardNames[0], team, cpu(80))
	runFor(3)
	assert.Equal(t, sim.vms[0].manager.Limit(shardNames[0], team), cpu(80))
	sim.vms[0].manager.SetDemand(shardNames[0], team, cpu(0))
	sim.vms[1].manager.SetDemand(shardNames[1], team, cpu(60))
	runFor(int((idleDuration+requestBackoffMax)/time.Second) + 2)
	assert.Equal(t, sim.vms[1].manager.Limit(shardNames[1], team), cpu(60))
	assert.NilError(t, sim.violation)
}

// idleLimiter enforces limits in shards where nothing runs.
type idleLimiter struct{}

func (idleLimiter) SetLimit(string, string, resource.Vector) resource.Vector {
	return resource.Vector{}
}

// Guards against data races between serving demand, giving back, and adding and removing shards; run with -race.
func TestConcurrentUse(t *testing.T) {
	sim := newSimulation(soundRules())
	m := sim.vms[0].manager
	m.options.Limiter = idleLimiter{}
	m.options.Check = func(string) error { return nil }
	var group sync.WaitGroup
	for i := range 3 {
		shard := shardNames[i]
		m.AddShard(shard)
		group.Go(func() {
			for n := range int64(100) {
				m.SetDemand(shard, team, cpu(n%50))
				m.Step(context.Background())
				sim.line.Advance(writeInterval)
			}
		})
		group.Go(func() {
			for range 100 {
				request := &siskinv1.GiveBackAllowanceRequest{Shard: shard, Team: team, Wanted: cpu(5).Proto()}
				m.GiveBack(context.Background(), request)
				_ = m.Limit(shard, team)
			}
			m.RemoveShard(shard)
		})
	}
	group.Wait()
}
