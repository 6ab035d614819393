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

// Guards against a shard that stays without owner after its owner died, in its own zone and from another zone.
func TestTakeoverAfterDeath(t *testing.T) {
	for _, survivors := range [][]int{{1, 2}, {1}, {2}} {
		w := newWorld(1, 1, 1)
		w.tick(5*time.Second, w.vms...)
		dead := w.owner("kartli-1-0")
		var alive []*testVM
		for _, i := range survivors {
			alive = append(alive, w.vms[(dead.number+i)%3])
		}
		dead.step("renew")
		dead.replace()
		w.tick(takeoverTarget, alive...)
		for _, shard := range testShards {
			owner := w.owner(shard.Name)
			assert.Assert(t, owner != nil && owner != dead, "shard %s after %v", shard.Name, takeoverTarget)
		}
	}
}

// Guards against shards that stop in a store outage while all VMs reach each other, and against shards that go on when
// one VM is out of reach, or stay without owner after the outage.
func TestOutageWithAndWithoutAllPeers(t *testing.T) {
	w := newWorld(1, 1, 1)
	w.tick(5*time.Second, w.vms...)
	owner := w.owner("kartli-1-0")
	for _, vm := range w.vms {
		vm.faults.SetCut(true)
	}
	w.tick(10*time.Minute, w.vms...)
	assert.Equal(t, w.owner("kartli-1-0"), owner)
	w.cut[[2]int{owner.number, (owner.number + 1) % 3}] = true
	w.tick(LeaseTTL, w.vms...)
	assert.Assert(t, w.owner("kartli-1-0") == nil)
	w.cut = map[[2]int]bool{}
	for _, vm := range w.vms {
		vm.faults.SetCut(false)
	}
	w.tick(takeoverTarget, w.vms...)
	assert.Assert(t, w.owner("kartli-1-0") != nil)
	assert.NilError(t, w.violation)
}

// Guards against a lost answer of the ownership write that leaves the shard without owner, or with an owner that does
// not know of it.
func TestLostAnswerOfTheOwnershipWrite(t *testing.T) {
	for name, fault := range map[string]faultstore.Fault{
		"answer lost": {LoseAnswer: true},
		"call lost":   {Drop: true},
		"call late":   {Late: true},
	} {
		w := newWorld(1, 1)
		w.tick(PromiseDuration, w.vms[0])
		vm := w.vms[0]
		vm.step("renew")
		vm.faults.Order(fault)
		assert.Assert(t, !vm.manager.acquire(context.Background(), "kartli-1-0"), name)
		refused := vm.manager.Promise(&siskinv1.PromiseRequest{
			Vm: "vm1", Shards: []*siskinv1.ShardEpoch{{Shard: "kartli-1-0", Epoch: 1}}, DurationMs: 3000,
		})
		assert.Equal(t, len(refused.GetPromised()), 0, name)
		vm.step("acquire")
		vm.faults.Deliver()
		w.tick(time.Second, vm)
		assert.Equal(t, w.owner("kartli-1-0"), vm, name)
	}
}

// Guards against a right that is longer than the lease because the acquisition was taken for a renewal.
func TestRightIsBoundedByTheLastRenewal(t *testing.T) {
	w := newWorld(1, 1)
	vm := w.vms[0]
	w.tick(PromiseDuration, vm)
	vm.step("renew")
	renewed := vm.clock.Now()
	w.line.Advance(2 * time.Second)
	assert.Assert(t, vm.manager.acquire(context.Background(), "kartli-1-0"))
	assert.Equal(t, vm.rights[len(vm.rights)-1].Until(), renewed.Add(LeaseTTL-DriftMargin))
}

// Guards against a planned handover that waits for the lease to end.
func TestPlannedHandover(t *testing.T) {
	w := newWorld(1, 1, 1)
	w.tick(5*time.Second, w.vms...)
	owner := w.owner("kartli-1-0")
	owner.manager.Leave()
	successor, err := owner.manager.Release(context.Background(), "kartli-1-0")
	assert.NilError(t, err)
	assert.Assert(t, successor != "" && successor != owner.name)
	for _, vm := range w.vms {
		if vm.name == successor {
			hint := &siskinv1.TakeOverRequest{Shard: "kartli-1-0", FromVm: owner.name}
			assert.Assert(t, vm.manager.TakeOver(context.Background(), hint).GetAcquired())
			assert.Equal(t, w.owner("kartli-1-0"), vm)
		}
	}
	assert.NilError(t, w.violation)
}

// Guards against a shard with a corrupt log being acquired and given up in a hot loop.
func TestDeclinedShardIsLeftAlone(t *testing.T) {
	w := newWorld(1)
	vm := w.vms[0]
	acquired := 0
	lost := vm.manager.options.Acquired
	vm.manager.options.Acquired = func(r *Right) {
		if r.Shard == "kartli-1-0" {
			acquired++
		}
		lost(r)
	}
	for range 10 * 60 {
		w.tick(time.Second, vm)
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

// Guards against a long gap when the store returns and the leases have ended in the meantime.
func TestOwnersReturnAfterAnOutage(t *testing.T) {
	w := newWorld(1, 1, 1)
	w.tick(5*time.Second, w.vms...)
	owner := w.owner("kartli-1-0")
	for _, vm := range w.vms {
		vm.faults.SetCut(true)
	}
	w.tick(time.Minute, w.vms...)
	for _, vm := range w.vms {
		vm.faults.SetCut(false)
	}
	w.tick(2*renewInterval, w.vms...)
	assert.Equal(t, w.owner("kartli-1-0"), owner)
	assert.NilError(t, w.violation)
}
