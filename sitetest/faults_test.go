package sitetest

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/server"
)

const (
	// freshLimit is how long a VM may treat its configuration as confirmed; see docs/design.md, 2.7.
	freshLimit = 2 * time.Second
	// slowStore is ten times a typical response time of a few milliseconds.
	slowStore = 50 * time.Millisecond
	// stopLimit is the bound of a planned stop plus time to close connections and export traces.
	stopLimit = shutdownLimit + 4*time.Second
)

// kill ends an entry VM without a shutdown and returns the time of the kill.
func (c *cluster) kill(vm *entryVM) time.Time {
	c.platform.Network.Isolate(vm.name)
	killed := time.Now()
	vm.daemon.Kill()
	vm.cancel()
	vm.pauser.closeAll()
	c.setStopped(vm, true)
	c.records.update(func(r *promises.Records) {
		if r.Killed == nil {
			r.Killed = map[string]time.Time{}
		}
		r.Killed[vm.name] = killed
	})
	select {
	case <-vm.ended:
	case <-time.After(closeLimit):
		c.t.Fatalf("%s has not ended %s after it was killed", vm.name, closeLimit)
	}
	return killed
}

// replace starts a new process with the settings of a killed VM.
func (c *cluster) replace(vm *entryVM) {
	c.healVM(vm)
	c.start(vm)
}

// killOwner kills the owner of a zone's shard. waitTakeover waits for the new owner and returns the time since the kill.
func (c *cluster) killOwner(zone string) (former *entryVM, waitTakeover func() time.Duration) {
	former = c.waitOwner(zone)
	before, _ := c.ownership(zone)
	killed := c.kill(former)
	return former, func() time.Duration {
		c.awaitTakeover(zone, before.Revision, killed)
		return time.Since(killed)
	}
}

// awaitTakeover checks that a shard has a new owner within the target.
func (c *cluster) awaitTakeover(zone string, before infra.Revision, since time.Time) {
	c.t.Helper()
	c.waitFor(takeoverTarget-time.Since(since), "a takeover of "+zone, func() bool {
		kv, ok := c.ownership(zone)
		return ok && kv.Revision != before
	})
	c.t.Logf("measured: takeover of %s after %s", zone, time.Since(since).Round(time.Millisecond))
}

// pauseOwner pauses the owner of a zone's shard and returns half a lease after another VM has taken the shard over. The
// owner is still paused then.
func (c *cluster) pauseOwner(zone string) (paused *entryVM) {
	paused = c.waitOwner(zone)
	before, _ := c.ownership(zone)
	paused.pauser.pause()
	c.awaitTakeover(zone, before.Revision, time.Now())
	sleep(leaseTTL / 2)
	return paused
}

// stop performs a planned stop of a VM while requests through it are in flight.
func (c *cluster) stop(vm *entryVM) {
	var sent sync.WaitGroup
	first := 0
	for i, other := range c.live() {
		if other == vm {
			first = i
		}
	}
	for range callers {
		sent.Go(func() { c.sendOne(first, kindSlow) })
	}
	sleep(slowWork / 2)
	stop := promises.Stop{VM: vm.name, Begun: time.Now()}
	vm.cancel()
	select {
	case <-vm.ended:
	case <-time.After(stopLimit):
		c.t.Errorf("%s has not ended its planned stop after %s", vm.name, stopLimit)
	}
	stop.End = time.Now()
	c.setStopped(vm, true)
	c.records.update(func(r *promises.Records) { r.Stops = append(r.Stops, stop) })
	sent.Wait()
}

func (c *cluster) setStoreFaults(faults standin.Faults) { c.platform.Store.SetFaults(faults) }

// zoneVMs returns the live entry VMs of a zone.
func (c *cluster) zoneVMs(zone string) []*entryVM {
	var vms []*entryVM
	for _, vm := range c.live() {
		if vm.settings.GetZone() == zone {
			vms = append(vms, vm)
		}
	}
	return vms
}

func (c *cluster) partitionFromStore(vms ...*entryVM) {
	for _, vm := range vms {
		c.platform.Network.Partition(vm.name, server.StoreName)
	}
}

// partitionFromPeers partitions the entry VMs of a zone from those of other zones.
func (c *cluster) partitionFromPeers(zone string) {
	for _, inside := range c.zoneVMs(zone) {
		for _, outside := range c.vms {
			if outside.settings.GetZone() != zone {
				c.platform.Network.Partition(inside.name, outside.name)
			}
		}
	}
}

// busyWorker returns a worker of a zone that runs tasks.
func (c *cluster) busyWorker(zone string) string {
	var name string
	c.waitFor(startLimit, "a busy worker in "+zone, func() bool {
		for _, run := range c.platform.Workers.Runs() {
			if run.Zone == zone && run.Ended.IsZero() {
				name = run.Worker
				return true
			}
		}
		return false
	})
	return name
}

func (c *cluster) failWorker(name string) { c.platform.Workers.Crash(name) }

// endpoint returns the n-th endpoint of the site.
func (c *cluster) endpoint(n int) string {
	for _, vm := range c.platform.Fleet {
		if vm.Role != infra.RoleEndpoint {
			continue
		}
		if n == 0 {
			return vm.Name
		}
		n--
	}
	panic("no such endpoint")
}

// leaveEndpoint makes an endpoint leave; the VM list shows it with a delay.
func (c *cluster) leaveEndpoint(name string) {
	left := promises.Leaving{Endpoint: name, At: time.Now()}
	c.platform.Endpoints.SetLeaving(name)
	c.platform.VMs.Update(func(vms []infra.VM) []infra.VM {
		for i := range vms {
			vms[i].Leaving = vms[i].Leaving || vms[i].Name == name
		}
		return vms
	})
	c.records.update(func(r *promises.Records) { r.Leaving = append(r.Leaving, left) })
}

// maxSubmitTries bounds the submissions until work is assigned to the wanted shard. All shards are equally likely.
const maxSubmitTries = 20

// submitOutsideZone submits work of a team that runs for some seconds, until it is assigned to a shard outside the
// partitioned zone: the workers of that zone's shard are in the zone, so work of the shard waits for them.
func (c *cluster) submitOutsideZone(team, partitioned string) {
	c.t.Helper()
	for range maxSubmitTries {
		work, err := c.submit(0, team, batch(24, 2, "sleep", "5s"))
		assert.NilError(c.t, err)
		if id := work.Attempts[len(work.Attempts)-1].Response; partitioned == "" || !strings.HasPrefix(id, partitioned+"-") {
			return
		}
	}
	c.t.Fatalf("no work was assigned to a shard outside %s", partitioned)
}

// lowerCeiling lowers the ceiling of a team below its usage. The returned function checks the lower ceiling from
// bundleTarget after from, and then restores the ceiling.
func (c *cluster) lowerCeiling(team, partitioned string) (lowered time.Time, finish func(from time.Time)) {
	c.submitOutsideZone(team, partitioned)
	// Wait for usage well above the lower ceiling; with a partitioned zone, the full ceiling may not fit.
	c.waitFor(startLimit, "work above the lower ceiling", func() bool {
		running := 0
		for _, run := range c.platform.Workers.Runs() {
			if run.Team == team && run.Ended.IsZero() {
				running++
			}
		}
		return running > 10
	})
	var ceiling resource.Vector
	next := c.nextBundle(func(b *siskinv1.Bundle) {
		for _, t := range b.GetTeams() {
			if t.GetName() == team {
				t.Ceiling.MilliCpu /= 4
				ceiling = resource.FromProto(t.GetCeiling())
			}
		}
	})
	lowered = c.signOff(next)
	return lowered, func(from time.Time) {
		from = from.Add(bundleTarget)
		sleep(time.Until(from.Add(2 * time.Second)))
		until := time.Now()
		records := promises.Records{
			Ended: until, Ceilings: map[string]resource.Vector{team: ceiling},
		}
		for _, run := range clipRuns(c.platform.Workers.Runs(), from, until) {
			if run.Team == team {
				records.TaskRuns = append(records.TaskRuns, run)
			}
		}
		for _, verdict := range promises.Check(records) {
			if verdict.ID == promises.Ceiling && !verdict.Verified() {
				c.t.Errorf("lowered ceiling: %s %v", verdict.Detail, verdict.Violations)
			}
		}
		c.signOff(c.nextBundle(func(b *siskinv1.Bundle) {
			for _, t := range b.GetTeams() {
				if t.GetName() == team {
					t.Ceiling.MilliCpu *= 4
				}
			}
		}))
	}
}

// cancelBurst cancels many batch jobs at once and checks that each task succeeded or was cancelled.
func (c *cluster) cancelBurst() {
	const batches, tasks = 12, 40
	var burst sync.WaitGroup
	for i := range batches {
		burst.Go(func() { c.cancelOne(i, tasks) })
	}
	burst.Wait()
}

func (c *cluster) cancelOne(first int, tasks int32) {
	spec := batch(tasks, 2, "sleep", "2s")
	spec.Name, spec.Queue = c.records.uniqueName("burst"), "rosters"
	key := c.key("rosters")
	var id string
	_, err := c.attempts(context.Background(), first, true, func(ctx context.Context, vm *entryVM) (answer, error) {
		submitted, err := c.client(vm, key).Submit(ctx, spec, spec.GetName())
		id = submitted.ID
		return answer{text: id}, err
	})
	if err != nil {
		return // not accepted: there is nothing to cancel
	}
	var status *siskinv1.WorkStatus
	until := time.Now().Add(finishLimit)
	for time.Now().Before(until) {
		_, err = c.attempts(context.Background(), first+1, true, func(ctx context.Context, vm *entryVM) (answer, error) {
			var err error
			status, err = c.client(vm, key).CancelWork(ctx, id)
			return answer{text: id}, err
		})
		if err == nil && status.GetQueued()+status.GetRunning() == 0 {
			break
		}
		sleep(retryInterval)
	}
	ended := status.GetCancelled() + status.GetSucceeded()
	if err != nil || ended != tasks || status.GetQueued()+status.GetRunning() > 0 {
		c.t.Errorf("cancelled work %s: %v, status %v", id, err, status)
	}
}

// submitUnschedulable submits work that no worker can run and checks that its submitter gets a reason.
func (c *cluster) submitUnschedulable() {
	spec := batch(2, 1000, "sleep", "1s")
	spec.Name, spec.Queue = c.records.uniqueName("impossible"), "rosters"
	var reason string
	c.waitFor(takeoverTarget, "a reason for work that cannot run", func() bool {
		_, err := c.attempts(context.Background(), 0, true, func(ctx context.Context, vm *entryVM) (answer, error) {
			client := c.client(vm, c.key("rosters"))
			submitted, err := client.Submit(ctx, spec, spec.GetName())
			if err != nil {
				return answer{}, err
			}
			explained, err := client.ExplainWork(ctx, submitted.ID)
			reason = explained.WaitingReason
			return answer{text: submitted.ID}, err
		})
		var refused *apiclient.Refusal
		if errors.As(err, &refused) && refused.Reason == refusal.CannotRunInAnyZone {
			reason = string(refused.Reason)
		}
		return reason != ""
	})
}

// checkPartitionedZone checks that a partitioned zone serves requests that are open to all and refuses work with a key.
func (c *cluster) checkPartitionedZone(zone string) {
	sleep(freshLimit + time.Second)
	for _, vm := range c.zoneVMs(zone) {
		request := probeRequest(c.records.uniqueName(kindPreview))
		made, err := attempt(context.Background(), vm, func(ctx context.Context) (answer, error) {
			return c.sendThrough(ctx, vm, request)
		})
		request.Attempts = append(request.Attempts, made)
		c.records.update(func(r *promises.Records) { r.Requests = append(r.Requests, request) })
		if err != nil {
			c.t.Errorf("%s is partitioned and does not serve a request that is open to all: %v", vm.name, err)
		}
		spec := batch(1, 1, "sleep", "100ms")
		spec.Name, spec.Queue = c.records.uniqueName("cut-off"), "bookings"
		spec.Command = append(spec.GetCommand(), spec.GetName())
		made, _ = attempt(context.Background(), vm, func(ctx context.Context) (answer, error) {
			submitted, err := c.client(vm, c.key("bookings")).Submit(ctx, spec, spec.GetName())
			return answer{text: submitted.ID}, err
		})
		c.records.addWork(&promises.Work{
			Tag: spec.GetName(), Team: "bookings", Kind: spec.GetKind(), Count: 1, Attempts: []promises.Attempt{made},
		})
		if made.Reason != string(refusal.KeyUnverifiable) {
			c.t.Errorf("%s is partitioned and answered work with a key with %s %q", vm.name, made.Outcome, made.Reason)
		}
	}
}

func sleep(d time.Duration) { time.Sleep(d) }
