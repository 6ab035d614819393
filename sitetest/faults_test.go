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
	// freshLimit is how long a VM may take configuration for confirmed; design 2.7.
	freshLimit = 2 * time.Second
	// slowStore is ten times a response time in the middle of "milliseconds".
	slowStore = 50 * time.Millisecond
	// stopLimit leaves time for connections and traces after the bounded planned stop.
	stopLimit = shutdownLimit + 4*time.Second
)

// kill ends an entry VM without notice.
func (c *cell) kill(vm *entryVM) time.Time {
	c.platform.Network.Isolate(vm.name)
	killed := time.Now()
	vm.daemon.Kill()
	vm.cancel()
	vm.gate.closeAll()
	c.setGone(vm, true)
	c.records.update(func(r *promises.Records) {
		if r.Killed == nil {
			r.Killed = map[string]time.Time{}
		}
		r.Killed[vm.name] = killed
	})
	select {
	case <-vm.ended:
	case <-time.After(closeLimit):
		c.t.Fatalf("%s has not ended %s after its end without notice", vm.name, closeLimit)
	}
	return killed
}

// replace starts a VM with the settings of a killed one.
func (c *cell) replace(vm *entryVM) {
	c.healVM(vm)
	c.start(vm)
}

// killOwner kills the owner of a zone's shard.
func (c *cell) killOwner(zone string) (victim *entryVM, taken func() time.Duration) {
	victim = c.waitOwner(zone)
	before, _ := c.ownership(zone)
	killed := c.kill(victim)
	return victim, func() time.Duration {
		c.awaitTakeover(zone, before.Revision, killed)
		return time.Since(killed)
	}
}

// awaitTakeover checks that a shard has a new owner within the target.
func (c *cell) awaitTakeover(zone string, before infra.Revision, since time.Time) {
	c.t.Helper()
	c.waitFor(takeoverTarget-time.Since(since), "a takeover of "+zone, func() bool {
		kv, ok := c.ownership(zone)
		return ok && kv.Revision != before
	})
	c.t.Logf("measured: takeover of %s after %s", zone, time.Since(since).Round(time.Millisecond))
}

// pauseOwner pauses the owner of a zone's shard until another VM has taken the shard over, and a while longer.
func (c *cell) pauseOwner(zone string) (paused *entryVM) {
	paused = c.waitOwner(zone)
	before, _ := c.ownership(zone)
	paused.gate.pause()
	c.awaitTakeover(zone, before.Revision, time.Now())
	during(leaseTTL / 2)
	return paused
}

// stop makes a planned stop of a VM with requests in flight through it.
func (c *cell) stop(vm *entryVM) {
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
	during(slowWork / 2)
	stop := promises.Stop{VM: vm.name, Begun: time.Now()}
	vm.cancel()
	select {
	case <-vm.ended:
	case <-time.After(stopLimit):
		c.t.Errorf("%s has not ended its planned stop after %s", vm.name, stopLimit)
	}
	stop.End = time.Now()
	c.setGone(vm, true)
	c.records.update(func(r *promises.Records) { r.Stops = append(r.Stops, stop) })
	sent.Wait()
}

func (c *cell) store(faults standin.Faults) { c.platform.Store.SetFaults(faults) }

// zoneVMs returns the live entry VMs of a zone.
func (c *cell) zoneVMs(zone string) []*entryVM {
	var vms []*entryVM
	for _, vm := range c.live() {
		if vm.settings.GetZone() == zone {
			vms = append(vms, vm)
		}
	}
	return vms
}

func (c *cell) cutFromStore(vms ...*entryVM) {
	for _, vm := range vms {
		c.platform.Network.Partition(vm.name, server.StoreName)
	}
}

// cutFromPeers cuts the entry VMs of a zone off from those of other zones.
func (c *cell) cutFromPeers(zone string) {
	for _, inside := range c.zoneVMs(zone) {
		for _, outside := range c.vms {
			if outside.settings.GetZone() != zone {
				c.platform.Network.Partition(inside.name, outside.name)
			}
		}
	}
}

// busyWorker returns a worker of a zone that runs tasks.
func (c *cell) busyWorker(zone string) string {
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

func (c *cell) loseWorker(name string) { c.platform.Workers.Crash(name) }

// endpoint returns the n-th endpoint of the site.
func (c *cell) endpoint(n int) string {
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

// leaveEndpoint lets an endpoint leave; the VM list shows it later.
func (c *cell) leaveEndpoint(name string) {
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

// maxHomes is how often work is handed in until its home is where it should be. Each home is as likely as the others.
const maxHomes = 20

// submitOutside hands in work of a team that runs for some seconds, and again until its home is not the shard of a zone
// that is cut off: that shard's workers are in the zone, so the work rightly waits for them.
func (c *cell) submitOutside(team, cutOff string) {
	c.t.Helper()
	for range maxHomes {
		work, err := c.submit(0, team, batch(24, 2, "sleep", "5s"))
		assert.NilError(c.t, err)
		if id := work.Attempts[len(work.Attempts)-1].Answer; cutOff == "" || !strings.HasPrefix(id, cutOff+"-") {
			return
		}
	}
	c.t.Fatalf("no work has its home outside %s", cutOff)
}

// lowerCeiling lowers the ceiling of a team below what it runs. The returned function checks the lower ceiling from
// the target for bundles after from on, and raises it again.
func (c *cell) lowerCeiling(team, cutOff string) (lowered time.Time, finish func(from time.Time)) {
	c.submitOutside(team, cutOff)
	// Well above the lower ceiling; with a zone cut off the whole ceiling may not fit.
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
	next := c.changed(func(b *siskinv1.Bundle) {
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
		during(time.Until(from.Add(2 * time.Second)))
		until := time.Now()
		records := promises.Records{
			Ended: until, Ceilings: map[string]resource.Vector{team: ceiling},
		}
		for _, run := range clip(c.platform.Workers.Runs(), from, until) {
			if run.Team == team {
				records.TaskRuns = append(records.TaskRuns, run)
			}
		}
		for _, verdict := range promises.Check(records) {
			if verdict.ID == promises.Ceiling && !verdict.Shown() {
				c.t.Errorf("lowered ceiling: %s %v", verdict.Detail, verdict.Violations)
			}
		}
		c.signOff(c.changed(func(b *siskinv1.Bundle) {
			for _, t := range b.GetTeams() {
				if t.GetName() == team {
					t.Ceiling.MilliCpu *= 4
				}
			}
		}))
	}
}

// cancelBurst cancels many batches at once and checks that each task ended or was cancelled.
func (c *cell) cancelBurst() {
	const batches, tasks = 12, 40
	var burst sync.WaitGroup
	for i := range batches {
		burst.Go(func() { c.cancelOne(i, tasks) })
	}
	burst.Wait()
}

func (c *cell) cancelOne(first int, tasks int32) {
	spec := batch(tasks, 2, "sleep", "2s")
	spec.Name, spec.Queue = c.records.next("burst"), "rosters"
	key := c.key("rosters")
	var id string
	_, err := c.attempts(context.Background(), first, true, func(ctx context.Context, vm *entryVM) (answer, error) {
		submitted, err := c.client(vm, key).Submit(ctx, spec, spec.GetName())
		id = submitted.ID
		return answer{text: id}, err
	})
	if err != nil {
		return // Not accepted; there is nothing to cancel.
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
		during(retryPause)
	}
	ended := status.GetCancelled() + status.GetSucceeded()
	if err != nil || ended != tasks || status.GetQueued()+status.GetRunning() > 0 {
		c.t.Errorf("cancelled work %s: %v, status %v", id, err, status)
	}
}

// impossible hands in work that no worker can run and checks that its submitter is told why.
func (c *cell) impossible() {
	spec := batch(2, 1000, "sleep", "1s")
	spec.Name, spec.Queue = c.records.next("impossible"), "rosters"
	var told string
	c.waitFor(takeoverTarget, "a reason for work that cannot run", func() bool {
		_, err := c.attempts(context.Background(), 0, true, func(ctx context.Context, vm *entryVM) (answer, error) {
			client := c.client(vm, c.key("rosters"))
			submitted, err := client.Submit(ctx, spec, spec.GetName())
			if err != nil {
				return answer{}, err
			}
			explained, err := client.ExplainWork(ctx, submitted.ID)
			told = explained.WaitingReason
			return answer{text: submitted.ID}, err
		})
		var refused *apiclient.Refusal
		if errors.As(err, &refused) && refused.Reason == refusal.CannotRunInAnyZone {
			told = string(refused.Reason)
		}
		return told != ""
	})
}

// checkCutOff checks what a cut-off zone serves: requests that are open to all, and no keyed work.
func (c *cell) checkCutOff(zone string) {
	during(freshLimit + time.Second)
	for _, vm := range c.zoneVMs(zone) {
		request := probeRequest(c.records.next(kindPreview))
		made, err := attempt(context.Background(), vm, func(ctx context.Context) (answer, error) {
			return c.sendThrough(ctx, vm, request)
		})
		request.Attempts = append(request.Attempts, made)
		c.records.update(func(r *promises.Records) { r.Requests = append(r.Requests, request) })
		if err != nil {
			c.t.Errorf("%s is cut off and does not serve a request that is open to all: %v", vm.name, err)
		}
		spec := batch(1, 1, "sleep", "100ms")
		spec.Name, spec.Queue = c.records.next("cut-off"), "bookings"
		spec.Command = append(spec.GetCommand(), spec.GetName())
		made, _ = attempt(context.Background(), vm, func(ctx context.Context) (answer, error) {
			submitted, err := c.client(vm, c.key("bookings")).Submit(ctx, spec, spec.GetName())
			return answer{text: submitted.ID}, err
		})
		c.records.submission(&promises.Work{
			Tag: spec.GetName(), Team: "bookings", Kind: spec.GetKind(), Count: 1, Attempts: []promises.Attempt{made},
		})
		if made.Reason != string(refusal.KeyUnverifiable) {
			c.t.Errorf("%s is cut off and answered keyed work with %s %q", vm.name, made.Outcome, made.Reason)
		}
	}
}

func during(d time.Duration) { time.Sleep(d) }
