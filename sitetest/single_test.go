package sitetest

import (
	"testing"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

// TestSingleFailures guards every promise of design 1.2 against each failure of design 1.5 alone.
func TestSingleFailures(t *testing.T) {
	t.Parallel()
	runFailures(t, processFailures())
	runFailures(t, storeFailures())
	runFailures(t, networkFailures())
	runFailures(t, workFailures())
	runFailures(t, operatorChanges())
}

// processFailures lists failures of the system's own processes.
func processFailures() []failure {
	return []failure{
		{name: "entry VM killed", fail: func(c *cell) {
			_, taken := c.killOwner(c.site.Zones[1])
			taken()
			during(time.Second)
		}},
		{name: "entry VM paused beyond its lease", options: cellOptions{pausable: true}, fail: func(c *cell) {
			paused := c.pauseOwner(c.site.Zones[0])
			paused.gate.resume()
			during(2 * time.Second)
		}},
		{name: "entry VM replaced", fail: func(c *cell) {
			victim, taken := c.killOwner(c.site.Zones[2])
			c.replace(victim)
			taken()
			c.waitInForce(bundleTarget, 1, victim)
		}},
		{name: "planned stop", shows: []promises.ID{promises.Graceful}, fail: func(c *cell) {
			c.stop(c.waitOwner(c.site.Zones[2]))
			during(time.Second)
		}},
	}
}

func storeFailures() []failure {
	return []failure{
		{name: "store down", shows: []promises.ID{promises.NotRun}, fail: func(c *cell) {
			c.store(standin.Faults{Down: true})
			during(5 * time.Second)
		}},
		{name: "store slow", fail: func(c *cell) {
			c.store(standin.Faults{Delay: slowStore})
			next := c.changed(comment("while the store is slow"))
			c.signOff(next)
			c.t.Logf("measured: bundle in force with a slow store after %s", c.waitInForce(bundleTarget, next.GetVersion(), c.vms...))
			during(2 * time.Second)
		}},
		{name: "store answers lost", fail: func(c *cell) {
			c.store(standin.Faults{LoseResponses: 60})
			next := c.changed(comment("while answers are lost"))
			c.signOff(next)
			c.t.Logf("measured: bundle in force with lost answers after %s", c.waitInForce(bundleTarget, next.GetVersion(), c.vms...))
			during(3 * time.Second)
		}},
	}
}

func networkFailures() []failure {
	return []failure{
		{
			name: "zone cut off", options: cellOptions{open: true}, shows: []promises.ID{promises.NotRun},
			fail: func(c *cell) {
				zone := c.site.Zones[0]
				c.platform.Network.PartitionZone(zone)
				c.checkCutOff(zone)
				during(2 * time.Second)
			},
		},
		{name: "zone cut off from the store", fail: func(c *cell) {
			c.cutFromStore(c.zoneVMs(c.site.Zones[1])...)
			during(5 * time.Second)
		}},
		{name: "zone cut off from its peers", fail: func(c *cell) {
			c.cutFromPeers(c.site.Zones[1])
			during(5 * time.Second)
		}},
		{name: "one way cut", fail: func(c *cell) {
			owner := c.waitOwner(c.site.Zones[0])
			for _, vm := range c.vms {
				if vm != owner {
					c.platform.Network.PartitionOneWay(owner.name, vm.name)
				}
			}
			during(5 * time.Second)
		}},
		{name: "VM list down", fail: func(c *cell) {
			c.platform.VMs.SetFaults(standin.Faults{Down: true})
			during(3 * time.Second)
		}},
	}
}

// declared is the room that a command of the load declares, see startLoad and submitWork.
func declared(request infra.StartRequest) resource.Vector {
	cores := int64(1)
	if len(request.Command) > 0 && request.Command[0] == "serve" {
		cores = 2
	}
	return resource.Vector{MilliCPU: cores * core, MemoryBytes: cores * gib}
}

// farOff runs longer and uses more than declared. The usage follows the declared room and not the one that was given: a
// task that gets a larger room at its next attempt does not need more for that.
func farOff(request infra.StartRequest) standin.TaskPlan {
	plan := standin.CommandPlan(request)
	plan.RunFor *= 3
	plan.Used = declared(request).Scale(4)
	return plan
}

// workFailures lists failures of workers, endpoints and of the work itself.
func workFailures() []failure {
	return []failure{
		{name: "worker lost", fail: func(c *cell) {
			c.loseWorker(c.busyWorker(c.site.Zones[0]))
			during(2 * time.Second)
		}},
		{name: "worker unreachable", fail: func(c *cell) {
			c.platform.Workers.SetDown(c.busyWorker(c.site.Zones[0]), true)
			during(4 * time.Second)
		}},
		{name: "worker fails every task", options: cellOptions{noOnce: true}, fail: func(c *cell) {
			c.platform.Workers.SetFaults(c.busyWorker(c.site.Zones[1]), standin.WorkerFaults{FailTasks: true})
			during(3 * time.Second)
		}},
		{name: "sizes and run times far off", options: cellOptions{plan: farOff}, fail: func(*cell) {
			during(3 * time.Second)
		}},
		{name: "jobs that can never run", fail: func(c *cell) {
			c.impossible()
			during(time.Second)
		}},
		{name: "cancellations in a burst", fail: func(c *cell) { c.cancelBurst() }},
		{name: "endpoint leaves", shows: []promises.ID{promises.LeavingID}, fail: func(c *cell) {
			c.leaveEndpoint(c.endpoint(0))
			during(4 * time.Second)
		}},
		{name: "endpoint dies", fail: func(c *cell) {
			c.platform.Endpoints.SetFaults(c.endpoint(1), standin.EndpointFaults{Down: true})
			during(3 * time.Second)
		}},
		{name: "endpoint answers late, swapped or not", fail: func(c *cell) {
			c.platform.Endpoints.SetFaults(c.endpoint(0), standin.EndpointFaults{Jitter: slowWork, MismatchResponses: 20})
			c.platform.Endpoints.SetFaults(c.endpoint(1), standin.EndpointFaults{LoseResponses: 20})
			during(3 * time.Second)
		}},
	}
}

func operatorChanges() []failure {
	return []failure{
		{name: "operators race", shows: []promises.ID{promises.Keys}, fail: func(c *cell) {
			c.raceBundles()
			c.raceChanges()
		}},
		{name: "zone drained", shows: []promises.ID{promises.DrainKept}, fail: func(c *cell) {
			back := c.drain(c.site.Zones[1])
			during(drainTarget + 2*time.Second)
			back()
		}},
		{name: "key withdrawn", shows: []promises.ID{promises.Keys}, fail: func(c *cell) {
			key := c.issueKey("bookings")
			c.probeKeys(key, c.withdraw(key))
		}},
		{name: "ceiling lowered", fail: func(c *cell) {
			lowered, finish := c.lowerCeiling("ledgers", "")
			c.t.Logf("measured: bundle in force after %s", c.waitInForce(bundleTarget, 2, c.vms...))
			finish(lowered)
		}},
	}
}
