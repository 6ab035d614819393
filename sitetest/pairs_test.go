package sitetest

import (
	"testing"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/standin"
)

// TestPairsOfFailures guards every promise of design 1.2 against failures that fall together.
func TestPairsOfFailures(t *testing.T) {
	t.Parallel()
	runFailures(t, pairsWithKill())
	runFailures(t, pairsWithStore())
	runFailures(t, pairsWithCut())
}

// pairsWithKill lists failures during which entry VMs end or pause.
func pairsWithKill() []failure {
	return []failure{
		{name: "entry VM killed while the store is down", fail: func(c *cell) {
			c.store(standin.Faults{Down: true})
			during(time.Second)
			zone := c.site.Zones[1]
			before, _ := c.ownership(zone)
			c.kill(c.waitOwner(zone))
			during(3 * time.Second)
			c.healStore()
			c.awaitTakeover(zone, before.Revision, time.Now())
		}},
		{name: "entry VM killed while the store is slow", fail: func(c *cell) {
			c.store(standin.Faults{Delay: slowStore})
			_, taken := c.killOwner(c.site.Zones[0])
			taken()
			during(time.Second)
		}},
		{name: "entry VM killed while store answers are lost", fail: func(c *cell) {
			// Without answers no VM can renew its lease, so the takeover begins when answers arrive again.
			c.store(standin.Faults{LoseResponses: 1000})
			zone := c.site.Zones[0]
			before, _ := c.ownership(zone)
			c.kill(c.waitOwner(zone))
			during(4 * time.Second)
			c.healStore()
			c.awaitTakeover(zone, before.Revision, time.Now())
			during(time.Second)
		}},
		{name: "worker lost together with the owner of its shard", fail: func(c *cell) {
			zone := c.site.Zones[2]
			c.loseWorker(c.busyWorker(zone))
			_, taken := c.killOwner(zone)
			taken()
			during(time.Second)
		}},
		{name: "entry VM killed and then its successor", fail: func(c *cell) {
			_, taken := c.killOwner(c.site.Zones[1])
			taken()
			_, taken = c.killOwner(c.site.Zones[1])
			taken()
			during(time.Second)
		}},
		{name: "replaced VM started while the store is away", fail: func(c *cell) {
			victim, taken := c.killOwner(c.site.Zones[0])
			taken()
			c.store(standin.Faults{Down: true})
			c.replace(victim)
			c.waitInForce(bundleTarget, 1, victim)
			during(time.Second)
		}},
		{
			name: "endpoint leaves while an entry VM of its zone is killed", shows: []promises.ID{promises.LeavingID},
			fail: func(c *cell) {
				c.leaveEndpoint(c.endpoint(0))
				_, taken := c.killOwner(c.site.Zones[0])
				taken()
				during(time.Second)
			},
		},
		{name: "cancellations in a burst while an entry VM is killed", fail: func(c *cell) {
			_, taken := c.killOwner(c.site.Zones[1])
			c.cancelBurst()
			taken()
		}},
		{name: "worker fails every task and its owner is killed", options: cellOptions{noOnce: true}, fail: func(c *cell) {
			zone := c.site.Zones[1]
			c.platform.Workers.SetFaults(c.busyWorker(zone), standin.WorkerFaults{FailTasks: true})
			_, taken := c.killOwner(zone)
			taken()
			during(time.Second)
		}},
		{
			name: "entry VM paused beyond its lease and a worker lost", options: cellOptions{pausable: true},
			fail: func(c *cell) {
				zone := c.site.Zones[0]
				worker := c.busyWorker(zone)
				paused := c.pauseOwner(zone)
				c.loseWorker(worker)
				paused.gate.resume()
				during(2 * time.Second)
			},
		},
		{
			name: "entry VM paused beyond its lease while the store is slow", options: cellOptions{pausable: true},
			fail: func(c *cell) {
				c.store(standin.Faults{Delay: slowStore})
				paused := c.pauseOwner(c.site.Zones[2])
				paused.gate.resume()
				during(2 * time.Second)
			},
		},
	}
}

// pairsWithStore lists failures during which the store is down, slow or loses answers.
func pairsWithStore() []failure {
	return []failure{
		{
			name: "store answers lost during a zone drain", shows: []promises.ID{promises.DrainKept},
			fail: func(c *cell) {
				c.store(standin.Faults{LoseResponses: 60})
				back := c.drain(c.site.Zones[1])
				during(drainTarget + 2*time.Second)
				c.store(standin.Faults{LoseResponses: 20})
				back()
			},
		},
		{name: "operators race while store answers are lost", shows: []promises.ID{promises.Keys}, fail: func(c *cell) {
			c.store(standin.Faults{LoseResponses: 40})
			c.raceBundles()
			c.raceChanges()
		}},
		{name: "key withdrawn just before the store goes down", shows: []promises.ID{promises.Keys}, fail: func(c *cell) {
			key := c.issueKey("bookings")
			withdrawn := c.withdraw(key)
			c.store(standin.Faults{Down: true})
			c.probeKeys(key, withdrawn)
		}},
		{name: "planned stop while the store is down", shows: []promises.ID{promises.Graceful}, fail: func(c *cell) {
			vm := c.waitOwner(c.site.Zones[2])
			c.store(standin.Faults{Down: true})
			during(time.Second)
			c.stop(vm)
			during(time.Second)
		}},
		{name: "worker lost while the store is down", fail: func(c *cell) {
			worker := c.busyWorker(c.site.Zones[0])
			c.store(standin.Faults{Down: true})
			c.loseWorker(worker)
			during(4 * time.Second)
		}},
		{name: "endpoints fail while the store is slow", fail: func(c *cell) {
			c.store(standin.Faults{Delay: slowStore})
			c.platform.Endpoints.SetFaults(c.endpoint(0), standin.EndpointFaults{Down: true})
			c.platform.Endpoints.SetFaults(c.endpoint(1), standin.EndpointFaults{Jitter: slowWork, MismatchResponses: 20})
			during(3 * time.Second)
		}},
	}
}

// pairsWithCut lists failures during which a zone or a VM is cut off.
func pairsWithCut() []failure {
	return []failure{
		{
			name:    "zone cut off while a key is withdrawn and a ceiling is lowered",
			options: cellOptions{open: true}, shows: []promises.ID{promises.Keys, promises.NotRun},
			fail: func(c *cell) {
				zone := c.site.Zones[0]
				key := c.issueKey("bookings")
				c.platform.Network.PartitionZone(zone)
				during(freshLimit)
				c.probeKeys(key, c.withdraw(key))
				_, finish := c.lowerCeiling("ledgers", zone)
				during(time.Second)
				c.heal()
				finish(time.Now())
			},
		},
		{name: "zone cut off and a worker in it lost", fail: func(c *cell) {
			zone := c.site.Zones[1]
			worker := c.busyWorker(zone)
			c.platform.Network.PartitionZone(zone)
			c.loseWorker(worker)
			during(5 * time.Second)
		}},
		{name: "one way cut while the store is down", fail: func(c *cell) {
			owner := c.waitOwner(c.site.Zones[0])
			c.store(standin.Faults{Down: true})
			for _, vm := range c.vms {
				if vm != owner {
					c.platform.Network.PartitionOneWay(vm.name, owner.name)
				}
			}
			during(5 * time.Second)
		}},
		{name: "zone drained while it is cut off from the store", shows: []promises.ID{promises.DrainKept}, fail: func(c *cell) {
			zone := c.site.Zones[1]
			c.cutFromStore(c.zoneVMs(zone)...)
			back := c.drain(zone)
			during(drainTarget + 2*time.Second)
			back()
		}},
	}
}
