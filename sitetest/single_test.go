package sitetest

import (
	"testing"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

// TestSingleFailures checks every guarantee of docs/design.md, 1.2, under each single failure of 1.5.
func TestSingleFailures(t *testing.T) {
	t.Parallel()
	runFailures(t, processFailures())
	runFailures(t, storeFailures())
	runFailures(t, networkFailures())
	runFailures(t, workFailures())
	runFailures(t, operatorChanges())
}

// processFailures lists failures of entry VM processes.
func processFailures() []failure {
	return []failure{
		{name: "entry VM killed", fail: func(c *cluster) {
			_, waitTakeover := c.killOwner(c.site.Zones[1])
			waitTakeover()
			sleep(time.Second)
		}},
		{name: "entry VM paused beyond its lease", options: clusterOptions{pausable: true}, fail: func(c *cluster) {
			paused := c.pauseOwner(c.site.Zones[0])
			paused.pauser.resume()
			sleep(2 * time.Second)
		}},
		{name: "entry VM replaced", fail: func(c *cluster) {
			former, waitTakeover := c.killOwner(c.site.Zones[2])
			c.replace(former)
			waitTakeover()
			c.waitInForce(bundleTarget, 1, former)
		}},
		{name: "planned stop", covers: []promises.ID{promises.PlannedStops}, fail: func(c *cluster) {
			c.stop(c.waitOwner(c.site.Zones[2]))
			sleep(time.Second)
		}},
	}
}

func storeFailures() []failure {
	return []failure{
		{name: "store down", covers: []promises.ID{promises.NotRun}, fail: func(c *cluster) {
			c.setStoreFaults(standin.Faults{Down: true})
			sleep(5 * time.Second)
		}},
		{name: "store slow", fail: func(c *cluster) {
			c.setStoreFaults(standin.Faults{Delay: slowStore})
			next := c.nextBundle(setComment("while the store is slow"))
			c.signOff(next)
			c.t.Logf("measured: bundle in force with a slow store after %s", c.waitInForce(bundleTarget, next.GetVersion(), c.vms...))
			sleep(2 * time.Second)
		}},
		{name: "store answers lost", fail: func(c *cluster) {
			c.setStoreFaults(standin.Faults{LoseResponses: 60})
			next := c.nextBundle(setComment("while answers are lost"))
			c.signOff(next)
			c.t.Logf("measured: bundle in force with lost answers after %s", c.waitInForce(bundleTarget, next.GetVersion(), c.vms...))
			sleep(3 * time.Second)
		}},
	}
}

func networkFailures() []failure {
	return []failure{
		{
			name: "zone cut off", options: clusterOptions{openToAll: true}, covers: []promises.ID{promises.NotRun},
			fail: func(c *cluster) {
				zone := c.site.Zones[0]
				c.platform.Network.PartitionZone(zone)
				c.checkPartitionedZone(zone)
				sleep(2 * time.Second)
			},
		},
		{name: "zone cut off from the store", fail: func(c *cluster) {
			c.partitionFromStore(c.zoneVMs(c.site.Zones[1])...)
			sleep(5 * time.Second)
		}},
		{name: "zone cut off from its peers", fail: func(c *cluster) {
			c.partitionFromPeers(c.site.Zones[1])
			sleep(5 * time.Second)
		}},
		{name: "one way cut", fail: func(c *cluster) {
			owner := c.waitOwner(c.site.Zones[0])
			for _, vm := range c.vms {
				if vm != owner {
					c.platform.Network.PartitionOneWay(owner.name, vm.name)
				}
			}
			sleep(5 * time.Second)
		}},
		{name: "VM list down", fail: func(c *cluster) {
			c.platform.VMs.SetFaults(standin.Faults{Down: true})
			sleep(3 * time.Second)
		}},
	}
}

// declaredResources returns the resources that startLoad and submitWork declare for the task of a start request.
func declaredResources(request infra.StartRequest) resource.Vector {
	cores := int64(1)
	if len(request.Command) > 0 && request.Command[0] == "serve" {
		cores = 2
	}
	return resource.Vector{MilliCPU: cores * core, MemoryBytes: cores * gib}
}

// exceedDeclared plans tasks that run longer and use more than declared. The usage depends on the declared resources and
// not on the granted ones: a task that is granted more at its next attempt does not use more because of that.
func exceedDeclared(request infra.StartRequest) standin.TaskPlan {
	plan := standin.CommandPlan(request)
	plan.RunFor *= 3
	plan.Used = declaredResources(request).Scale(4)
	return plan
}

// workFailures lists failures of workers, endpoints and the work itself.
func workFailures() []failure {
	return []failure{
		{name: "worker lost", fail: func(c *cluster) {
			c.failWorker(c.busyWorker(c.site.Zones[0]))
			sleep(2 * time.Second)
		}},
		{name: "worker unreachable", fail: func(c *cluster) {
			c.platform.Workers.SetDown(c.busyWorker(c.site.Zones[0]), true)
			sleep(4 * time.Second)
		}},
		{name: "worker fails every task", options: clusterOptions{noAtMostOnce: true}, fail: func(c *cluster) {
			c.platform.Workers.SetFaults(c.busyWorker(c.site.Zones[1]), standin.WorkerFaults{FailTasks: true})
			sleep(3 * time.Second)
		}},
		{name: "sizes and run times far off", options: clusterOptions{plan: exceedDeclared}, fail: func(*cluster) {
			sleep(3 * time.Second)
		}},
		{name: "jobs that can never run", fail: func(c *cluster) {
			c.submitUnschedulable()
			sleep(time.Second)
		}},
		{name: "cancellations in a burst", fail: func(c *cluster) { c.cancelBurst() }},
		{name: "endpoint leaves", covers: []promises.ID{promises.LeavingEndpoints}, fail: func(c *cluster) {
			c.leaveEndpoint(c.endpoint(0))
			sleep(4 * time.Second)
		}},
		{name: "endpoint dies", fail: func(c *cluster) {
			c.platform.Endpoints.SetFaults(c.endpoint(1), standin.EndpointFaults{Down: true})
			sleep(3 * time.Second)
		}},
		{name: "endpoint answers late, swapped or not", fail: func(c *cluster) {
			c.platform.Endpoints.SetFaults(c.endpoint(0), standin.EndpointFaults{Jitter: slowWork, MismatchResponses: 20})
			c.platform.Endpoints.SetFaults(c.endpoint(1), standin.EndpointFaults{LoseResponses: 20})
			sleep(3 * time.Second)
		}},
	}
}

func operatorChanges() []failure {
	return []failure{
		{name: "operators race", covers: []promises.ID{promises.Keys}, fail: func(c *cluster) {
			c.raceBundles()
			c.raceChanges()
		}},
		{name: "zone drained", covers: []promises.ID{promises.DrainedZones}, fail: func(c *cluster) {
			returnZone := c.drain(c.site.Zones[1])
			sleep(drainTarget + 2*time.Second)
			returnZone()
		}},
		{name: "key withdrawn", covers: []promises.ID{promises.Keys}, fail: func(c *cluster) {
			key := c.issueKey("bookings")
			c.probeKeys(key, c.withdraw(key))
		}},
		{name: "ceiling lowered", fail: func(c *cluster) {
			lowered, finish := c.lowerCeiling("ledgers", "")
			c.t.Logf("measured: bundle in force after %s", c.waitInForce(bundleTarget, 2, c.vms...))
			finish(lowered)
		}},
	}
}
