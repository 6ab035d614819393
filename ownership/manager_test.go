package ownership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/faultstore"
)

const takeoverTarget = 5 * time.Second

// Guards against a shard that stays without owner after its owner failed, with survivors in its own zone and in others.
func TestTakeoverAfterOwnerFailure(t *testing.T) {
	for _, survivors := range [][]int{{1, 2}, {1}, {2}} {
		sim := newSimulation(1, 1, 1)
		sim.tick(5*time.Second, sim.vms...)
		failed := sim.owner("kartli-1-0")
		var alive []*testVM
		for _, i := range survivors {
			alive = append(alive, sim.vms[(failed.number+i)%3])
		}
		failed.step("renew")
		failed.replace()
		sim.tick(takeoverTarget, alive...)
		for _, shard := range testShards {
			owner := sim.owner(shard.Name)
			assert.Assert(t, owner != nil && owner != failed, "shard %s after %v", shard.Name, takeoverTarget)
		}
	}
}

// Guards against shards that lose their owner in a store outage while all VMs reach each other, and against shards that
// keep it when one VM is unreachable, or stay without owner after the outage.
func TestOutageWithAndWithoutAllPeers(t *testing.T) {
	sim := newSimulation(1, 1, 1)
	sim.tick(5*time.Second, sim.vms...)
	owner := sim.owner("kartli-1-0")
	for _, vm := range sim.vms {
		vm.faults.SetPartitioned(true)
	}
	sim.tick(10*time.Minute, sim.vms...)
	assert.Equal(t, sim.owner("kartli-1-0"), owner)
	sim.partitioned[[2]int{owner.number, (owner.number + 1) % 3}] = true
	sim.tick(LeaseTTL, sim.vms...)
	assert.Assert(t, sim.owner("kartli-1-0") == nil)
	sim.partitioned = map[[2]int]bool{}
	for _, vm := range sim.vms {
		vm.faults.SetPartitioned(false)
	}
	sim.tick(takeoverTarget, sim.vms...)
	assert.Assert(t, sim.owner("kartli-1-0") != nil)
	assert.NilError(t, sim.violation)
}

// Guards against a lost response to the ownership write that leaves the shard without owner, or with an owner that does
// not know that it owns the shard.
func TestLostResponseToOwnershipWrite(t *testing.T) {
	for name, fault := range map[string]faultstore.Fault{
		"answer lost": {LoseResponse: true},
		"call lost":   {Drop: true},
		"call late":   {Delayed: true},
	} {
		sim := newSimulation(1, 1)
		sim.tick(PromiseDuration, sim.vms[0])
		vm := sim.vms[0]
		vm.step("renew")
		vm.faults.InjectFaults(fault)
		assert.Assert(t, !vm.manager.acquire(context.Background(), "kartli-1-0"), name)
		refused := vm.manager.Promise(&siskinv1.PromiseRequest{
			Vm: "vm1", Shards: []*siskinv1.ShardEpoch{{Shard: "kartli-1-0", Epoch: 1}}, DurationMs: 3000,
		})
		assert.Equal(t, len(refused.GetPromised()), 0, name)
		vm.step("acquire")
		vm.faults.Deliver()
		sim.tick(time.Second, vm)
		assert.Equal(t, sim.owner("kartli-1-0"), vm, name)
	}
}

// Guards against a right that outlasts the lease because the acquisition was treated as a renewal.
func TestRightIsBoundedByTheLastRenewal(t *testing.T) {
	sim := newSimulation(1, 1)
	vm := sim.vms[0]
	sim.tick(PromiseDuration, vm)
	vm.step("renew")
	renewed := vm.clock.Now()
	sim.line.Advance(2 * time.Second)
	assert.Assert(t, vm.manager.acquire(context.Background(), "kartli-1-0"))
	assert.Equal(t, vm.rights[len(vm.rights)-1].Until(), renewed.Add(LeaseTTL-DriftMargin))
}

// Guards against a planned handover that takes until the lease ends.
func TestPlannedHandover(t *testing.T) {
	sim := newSimulation(1, 1, 1)
	sim.tick(5*time.Second, sim.vms...)
	owner := sim.owner("kartli-1-0")
	owner.manager.Leave()
	successor, err := owner.manager.Release(context.Background(), "kartli-1-0")
	assert.NilError(t, err)
	assert.Assert(t, successor != "" && successor != owner.name)
	for _, vm := range sim.vms {
		if vm.name == successor {
			request := &siskinv1.TakeOverRequest{Shard: "kartli-1-0", FromVm: owner.name}
			assert.Assert(t, vm.manager.TakeOver(context.Background(), request).GetAcquired())
			assert.Equal(t, sim.owner("kartli-1-0"), vm)
		}
	}
	assert.NilError(t, sim.violation)
}

// Guards against a shard with a corrupt log being acquired and given up in a tight loop.
func TestDeclinedShardBacksOff(t *testing.T) {
	sim := newSimulation(1)
	vm := sim.vms[0]
	acquired := 0
	record := vm.manager.options.Acquired
	vm.manager.options.Acquired = func(r *Right) {
		if r.Shard == "kartli-1-0" {
			acquired++
		}
		record(r)
	}
	for range 10 * 60 {
		sim.tick(time.Second, vm)
		vm.manager.Decline("kartli-1-0")
	}
	assert.Assert(t, acquired >= 2 && acquired <= 6, "acquired %d times in 10 min", acquired)
}

// Guards against all shards of a zone preferring one VM, and against many moves when a VM leaves.
func TestRendezvousSpreadsShards(t *testing.T) {
	const shards, vms = 300, 3
	var peers []Peer
	for i := range vms {
		peers = append(peers, Peer{VM: fmt.Sprintf("vm%d", i), Zone: "a"}, Peer{VM: fmt.Sprintf("other%d", i), Zone: "b"})
	}
	counts := map[string]int{}
	for i := range shards {
		shard := Shard{Name: fmt.Sprintf("a-%d", i), Zone: "a"}
		all := ranking(shard, peers, func(string) bool { return true })
		counts[all[0].VM]++
		without := ranking(shard, peers, func(vm string) bool { return vm != "vm0" })
		if all[0].VM != "vm0" {
			assert.Equal(t, without[0].VM, all[0].VM)
		}
	}
	for i := range vms {
		n := counts[fmt.Sprintf("vm%d", i)]
		assert.Assert(t, n > shards/vms/2 && n < shards/vms*2, "vm%d is preferred by %d of %d", i, n, shards)
	}
}

// Guards against a long time without owner when the store recovers after the leases have ended.
func TestOwnersRecoverAfterOutage(t *testing.T) {
	sim := newSimulation(1, 1, 1)
	sim.tick(5*time.Second, sim.vms...)
	owner := sim.owner("kartli-1-0")
	for _, vm := range sim.vms {
		vm.faults.SetPartitioned(true)
	}
	sim.tick(time.Minute, sim.vms...)
	for _, vm := range sim.vms {
		vm.faults.SetPartitioned(false)
	}
	sim.tick(2*renewInterval, sim.vms...)
	assert.Equal(t, sim.owner("kartli-1-0"), owner)
	assert.NilError(t, sim.violation)
}
