package sitetest

import (
	"testing"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/standin"
)

// TestPairsOfFailures checks every guarantee of docs/design.md, 1.2, under two failures at the same time.
func TestPairsOfFailures(t *testing.T) {
	t.Parallel()
	runFailures(t, pairsWithKill())
	runFailures(t, pairsWithStore())
	runFailures(t, pairsWithPartition())
}

// pairsWithKill lists pairs of failures one of which kills or pauses an entry VM.
func pairsWithKill() []failure {
	return []failure{
		{name: "entry VM killed while the store is down", fail: func(c *cluster) {
			c.setStoreFaults(standin.Faults{Down: true})
			sleep(time.Second)
			zone := c.site.Zones[1]
			before, _ := c.ownership(zone)
			c.kill(c.waitOwner(zone))
			sleep(3 * time.Second)
			c.healStore()
			c.awaitTakeover(zone, before.Revision, time.Now())
		}},
		{name: "entry VM killed while the store is slow", fail: func(c *cluster) {
			c.setStoreFaults(standin.Faults{Delay: slowStore})
			_, waitTakeover := c.killOwner(c.site.Zones[0])
			waitTakeover()
			sleep(time.Second)
		}},
		{name: "entry VM killed while store answers are lost", fail: func(c *cluster) {
			// Without answers, no VM can renew its lease, so the takeover begins when answers arrive again.
			c.setStoreFaults(standin.Faults{LoseResponses: 1000})
			zone := c.site.Zones[0]
			before, _ := c.ownership(zone)
			c.kill(c.waitOwner(zone))
			sleep(4 * time.Second)
			c.healStore()
			c.awaitTakeover(zone, before.Revision, time.Now())
			sleep(time.Second)
		}},
		{name: "worker lost together with the owner of its shard", fail: func(c *cluster) {
			zone := c.site.Zones[2]
			c.failWorker(c.busyWorker(zone))
			_, waitTakeover := c.killOwner(zone)
			waitTakeover()
			sleep(time.Second)
		}},
		{name: "entry VM killed and then its successor", fail: func(c *cluster) {
			_, waitTakeover := c.killOwner(c.site.Zones[1])
			waitTakeover()
			_, waitTakeover = c.killOwner(c.site.Zones[1])
			waitTakeover()
			sleep(time.Second)
		}},
		{name: "replaced VM started while the store is away", fail: func(c *cluster) {
			former, waitTakeover := c.killOwner(c.site.Zones[0])
			waitTakeover()
			c.setStoreFaults(standin.Faults{Down: true})
			c.replace(former)
			c.waitInForce(bundleTarget, 1, former)
			sleep(time.Second)
		}},
		{
			name: "endpoint leaves while an entry VM of its zone is killed", covers: []promises.ID{promises.LeavingEndpoints},
			fail: func(c *cluster) {
				c.leaveEndpoint(c.endpoint(0))
				_, waitTakeover := c.killOwner(c.site.Zones[0])
				waitTakeover()
				sleep(time.Second)
			},
		},
		{name: "cancellations in a burst while an entry VM is killed", fail: func(c *cluster) {
			_, waitTakeover := c.killOwner(c.site.Zones[1])
			c.cancelBurst()
			waitTakeover()
		}},
		{name: "worker fails every task and its owner is killed", options: clusterOptions{noAtMostOnce: true}, fail: func(c *cluster) {
			zone := c.site.Zones[1]
			c.platform.Workers.SetFaults(c.busyWorker(zone), standin.WorkerFaults{FailTasks: true})
			_, waitTakeover := c.killOwner(zone)
			waitTakeover()
			sleep(time.Second)
		}},
		{
			name: "entry VM paused beyond its lease and a worker lost", options: clusterOptions{pausable: true},
			fail: func(c *cluster) {
				zone := c.site.Zones[0]
				worker := c.busyWorker(zone)
				paused := c.pauseOwner(zone)
				c.failWorker(worker)
				paused.pauser.resume()
				sleep(2 * time.Second)
			},
		},
		{
			name: "entry VM paused beyond its lease while the store is slow", options: clusterOptions{pausable: true},
			fail: func(c *cluster) {
				c.setStoreFaults(standin.Faults{Delay: slowStore})
				paused := c.pauseOwner(c.site.Zones[2])
				paused.pauser.resume()
				sleep(2 * time.Second)
			},
		},
	}
}

// pairsWithStore lists failures while the store is down, slow or loses answers.
func pairsWithStore() []failure {
	return []failure{
		{
			name: "store answers lost during a zone drain", covers: []promises.ID{promises.DrainedZones},
			fail: func(c *cluster) {
				c.setStoreFaults(standin.Faults{LoseResponses: 60})
				returnZone := c.drain(c.site.Zones[1])
				sleep(drainTarget + 2*time.Second)
				c.setStoreFaults(standin.Faults{LoseResponses: 20})
				returnZone()
			},
		},
		{name: "operators race while store answers are lost", covers: []promises.ID{promises.Keys}, fail: func(c *cluster) {
			c.setStoreFaults(standin.Faults{LoseResponses: 40})
			c.raceBundles()
			c.raceChanges()
		}},
		{name: "key withdrawn just before the store goes down", covers: []promises.ID{promises.Keys}, fail: func(c *cluster) {
			key := c.issueKey("bookings")
			withdrawn := c.withdraw(key)
			c.setStoreFaults(standin.Faults{Down: true})
			c.probeKeys(key, withdrawn)
		}},
		{name: "planned stop while the store is down", covers: []promises.ID{promises.PlannedStops}, fail: func(c *cluster) {
			vm := c.waitOwner(c.site.Zones[2])
			c.setStoreFaults(standin.Faults{Down: true})
			sleep(time.Second)
			c.stop(vm)
			sleep(time.Second)
		}},
		{name: "worker lost while the store is down", fail: func(c *cluster) {
			worker := c.busyWorker(c.site.Zones[0])
			c.setStoreFaults(standin.Faults{Down: true})
			c.failWorker(worker)
			sleep(4 * time.Second)
		}},
		{name: "endpoints fail while the store is slow", fail: func(c *cluster) {
			c.setStoreFaults(standin.Faults{Delay: slowStore})
			c.platform.Endpoints.SetFaults(c.endpoint(0), standin.EndpointFaults{Down: true})
			c.platform.Endpoints.SetFaults(c.endpoint(1), standin.EndpointFaults{Jitter: slowWork, MismatchResponses: 20})
			sleep(3 * time.Second)
		}},
	}
}

// pairsWithPartition lists failures while a zone or a VM is partitioned.
func pairsWithPartition() []failure {
	return []failure{
		{
			name:    "zone cut off while a key is withdrawn and a ceiling is lowered",
			options: clusterOptions{openToAll: true}, covers: []promises.ID{promises.Keys, promises.NotRun},
			fail: func(c *cluster) {
				zone := c.site.Zones[0]
				key := c.issueKey("bookings")
				c.platform.Network.PartitionZone(zone)
				sleep(freshLimit)
				c.probeKeys(key, c.withdraw(key))
				_, finish := c.lowerCeiling("ledgers", zone)
				sleep(time.Second)
				c.heal()
				finish(time.Now())
			},
		},
		{name: "zone cut off and a worker in it lost", fail: func(c *cluster) {
			zone := c.site.Zones[1]
			worker := c.busyWorker(zone)
			c.platform.Network.PartitionZone(zone)
			c.failWorker(worker)
			sleep(5 * time.Second)
		}},
		{name: "one way cut while the store is down", fail: func(c *cluster) {
			owner := c.waitOwner(c.site.Zones[0])
			c.setStoreFaults(standin.Faults{Down: true})
			for _, vm := range c.vms {
				if vm != owner {
					c.platform.Network.PartitionOneWay(vm.name, owner.name)
				}
			}
			sleep(5 * time.Second)
		}},
		{name: "zone drained while it is cut off from the store", covers: []promises.ID{promises.DrainedZones}, fail: func(c *cluster) {
			zone := c.site.Zones[1]
			c.partitionFromStore(c.zoneVMs(zone)...)
			returnZone := c.drain(zone)
			sleep(drainTarget + 2*time.Second)
			returnZone()
		}},
	}
}
