package allowance

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
)

// Guards against gang jobs of one team in several shards that each hold a part of the ceiling which the others need, so
// that none of them ever starts.
func TestWaitingGangJobsRunInOrder(t *testing.T) {
	for _, shards := range []int{2, 3} {
		t.Run(fmt.Sprintf("shards=%d", shards), func(t *testing.T) {
			sim := newSimulation(soundRules())
			need := cpu(100)
			waiting := map[string]bool{}
			for i, shard := range shardNames[:shards] {
				waiting[shard] = true
				sim.vms[i].manager.SetGang(shard, team, Gang{AcceptedUnixMs: int64(1000 - i), Job: shard + "-0.gang"})
			}
			const seconds = 120
			for range seconds * 5 {
				for i, shard := range shardNames[:shards] {
					runGang(sim, sim.vms[i], shard, need, waiting)
					sim.vms[i].step()
				}
				sim.line.Advance(stepInterval)
			}
			assert.Equal(t, len(waiting), 0, "gang jobs that never ran: %v", waiting)
			assert.NilError(t, sim.violation)
		})
	}
}

// runGang runs the shard's gang job to its end once the limit admits all of it, and sets the remaining demand.
func runGang(sim *simulation, vm *testVM, shard string, need resource.Vector, waiting map[string]bool) {
	if waiting[shard] && need.Fits(sim.owner[shard].limits[shard]) {
		delete(waiting, shard)
		vm.manager.SetGang(shard, team, Gang{})
	}
	demand := resource.Vector{}
	if waiting[shard] {
		demand = need
	}
	vm.manager.SetDemand(shard, team, demand)
}

// Guards against a shard that gives the allowance of its own earlier gang job to a later one of another shard.
func TestEarlierGangJobKeepsItsPart(t *testing.T) {
	sim := newSimulation(soundRules())
	vm := sim.vms[0]
	vm.manager.SetGang("a", team, Gang{AcceptedUnixMs: 1, Job: "a-0.first"})
	vm.manager.SetDemand("a", team, cpu(80))
	vm.step()
	sim.line.Advance(writeInterval)
	response := vm.manager.GiveBack(context.Background(), &siskinv1.GiveBackAllowanceRequest{
		Shard: "a", Team: team, Wanted: cpu(80).Proto(),
		Gang: &siskinv1.WaitingGang{AcceptedUnixMs: 2, Job: "b-0.second"},
	})
	assert.Equal(t, resource.FromProto(response.GetGivenBack()), resource.Vector{})
	assert.Equal(t, vm.manager.Limit("a", team), cpu(80))
}
