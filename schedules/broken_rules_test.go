package schedules

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/owner"
	"siskinstack.example/siskinstack/resource"
)

// writeBehindStore acknowledges writes at once and performs them later, in order. Pending writes are lost when the
// process is killed.
type writeBehindStore struct {
	infra.Store
	writes chan infra.PutRequest
}

const (
	writeDelay       = 2 * time.Second
	maxPendingWrites = 10_000
)

func newWriteBehindStore(v *vm, store infra.Store) *writeBehindStore {
	w := &writeBehindStore{Store: store, writes: make(chan infra.PutRequest, maxPendingWrites)}
	v.tasks.Go(func() {
		for {
			select {
			case request := <-w.writes:
				if v.process.Sleep(v.background, writeDelay) == nil {
					_, _ = store.Put(v.background, request)
				}
			case <-v.background.Done():
				return
			}
		}
	})
	return w
}

// Put implements infra.Store.
func (w *writeBehindStore) Put(_ context.Context, request infra.PutRequest) (infra.Revision, error) {
	w.writes <- request
	return 1, nil
}

// keepLimit applies a limit but never lowers it: the shard gets the highest limit so far.
func (l limiter) keepLimit(o *owner.Owner, team string, limit resource.Vector) resource.Vector {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxLimits == nil {
		l.maxLimits = map[string]resource.Vector{}
	}
	key := o.Shard() + "/" + team
	l.maxLimits[key] = l.maxLimits[key].Max(limit)
	_ = o.SetLimit(team, l.maxLimits[key])
	return resource.Vector{}
}

// currentStartDelay returns the network delay of a start call that is sent now.
func (s *site) currentStartDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startDelay
}

// recordDelayedStart records the worker of a delayed start call.
func (s *site) recordDelayedStart(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedWorker = worker
}

func (s *site) setStartDelay(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startDelay = by
}

// ownerOf returns the running VM that holds the right to a shard, or nil.
func (s *site) ownerOf(shard string) *vm {
	for _, p := range s.peers {
		v := s.current(p.VM)
		for _, valid := range v.validRights() {
			if valid == shard && v.background.Err() == nil {
				return v
			}
		}
	}
	return nil
}

// markLeaving marks a worker as leaving in the platform's VM list, so that no further tasks are placed on it.
func (s *site) markLeaving(worker string) {
	s.list.Update(func(vms []infra.VM) []infra.VM {
		for i := range vms {
			vms[i].Leaving = vms[i].Leaving || vms[i].Name == worker
		}
		return vms
	})
}

const testShard = "zone-a-0"

// at returns a one-time fault without an end action.
func at(after time.Duration, name string, begin func()) *fault {
	return &fault{name: name, at: after, begin: begin, end: func() {}}
}

// killOwner kills the owner of the shard after a time and replaces it 30 s later.
func killOwner(s *site, after time.Duration) *fault {
	f := &fault{name: "kill owner", at: after, lasts: 30 * time.Second}
	var killed *vm
	f.begin = func() {
		killed = s.ownerOf(testShard)
		killed.kill()
	}
	f.end = func() { s.start(killed.name, killed.zone, s.rates[killed.name]) }
	return f
}

func testJob(name, shard string, after time.Duration, count int32, command ...string) *job {
	return &job{id: shard + "." + name, team: "lab", at: after, spec: &siskinv1.WorkSpec{
		Name: name, Queue: "lab", Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: count, MaxAttempts: 50,
		Urgency: siskinv1.Urgency_URGENCY_NORMAL, Command: command,
		Each: &siskinv1.Resources{MilliCpu: 1000, MemoryBytes: 1 << 30},
	}}
}

// brokenRuleCase is a sequence of events in which one broken rule violates a guarantee.
type brokenRuleCase struct {
	name   string
	broken brokenRules
	// guarantee is the prefix of the failure that the checker must report.
	guarantee string
	events    func(s *site) ([]*fault, []*job)
}

var brokenRuleCases = []brokenRuleCase{
	{"epochs are not checked by workers", brokenRules{ignoreEpochs: true}, "single-run", delayedStartOfFormerOwner},
	{"claim is durable after the start", brokenRules{writeBehind: true}, "at-most-once", ownerAndWorkersFailAfterStart},
	{"allowance is granted before it is given back", brokenRules{keepLimits: true}, "ceiling", allowanceMovesBetweenZones},
	{"margin of the store leases is negative", brokenRules{rate: 0.6}, "two rights", ownerIsPartitioned},
	{"no hold after a takeover", brokenRules{noHold: true}, "single-run", ownerFailsAndWorkerIsUnreachable},
}

// delayedStartOfFormerOwner delays a start call until another owner has started the task on another worker.
func delayedStartOfFormerOwner(s *site) ([]*fault, []*job) {
	leave := at(8500*time.Millisecond, "worker of the delayed start leaves", func() { s.markLeaving(s.delayedWorker) })
	return []*fault{
		at(8*time.Second, "starts delayed", func() { s.setStartDelay(10 * time.Second) }),
		killOwner(s, 9*time.Second), leave,
		at(10*time.Second, "starts not delayed", func() { s.setStartDelay(0) }),
	}, []*job{testJob("late", testShard, 8100*time.Millisecond, 1, "sleep", "30s")}
}

// ownerAndWorkersFailAfterStart loses all state of a started task except its claim.
func ownerAndWorkersFailAfterStart(s *site) ([]*fault, []*job) {
	j := testJob("once", testShard, 6*time.Second, 1, "sleep", "30s")
	j.spec.AtMostOnce = true
	drain := &fault{name: "drain", at: 5 * time.Second, lasts: 7 * time.Second}
	setAllZones := func(state siskinv1.ZoneState) {
		for _, zone := range zoneNames {
			for s.setZone(s.live(), zone, state) != nil {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	drain.begin = func() { setAllZones(siskinv1.ZoneState_ZONE_STATE_DRAINING) }
	drain.end = func() { setAllZones(siskinv1.ZoneState_ZONE_STATE_IN_SERVICE) }
	failWorkers := at(13*time.Second, "workers fail", func() {
		for _, name := range s.workerNames {
			s.workers.Crash(name)
		}
	})
	return []*fault{drain, killOwner(s, 13*time.Second), failWorkers}, []*job{j}
}

// allowanceMovesBetweenZones uses the allowance of a team in one zone, then in another one, then in both.
func allowanceMovesBetweenZones(*site) ([]*fault, []*job) {
	return nil, []*job{
		testJob("first", "zone-a-0", 5*time.Second, 10, "sleep", "5s"),
		testJob("second", "zone-b-0", 30*time.Second, 10, "sleep", "60s"),
		testJob("third", "zone-a-0", 60*time.Second, 10, "sleep", "20s"),
	}
}

// ownerIsPartitioned partitions the owner of a shard from everything except its workers.
func ownerIsPartitioned(s *site) ([]*fault, []*job) {
	f := &fault{name: "partition owner", at: 8 * time.Second, lasts: 10 * time.Second}
	var heal func()
	f.begin = func() {
		name := s.ownerOf(testShard).name
		heal = s.network.partition(func(from, to node) bool {
			return (from.name == name || to.name == name) && from.kind != kindWorker && to.kind != kindWorker
		})
	}
	f.end = func() { heal() }
	return []*fault{f}, nil
}

// ownerFailsAndWorkerIsUnreachable leaves a task running on a worker that the new owner cannot reach.
func ownerFailsAndWorkerIsUnreachable(s *site) ([]*fault, []*job) {
	f := &fault{name: "worker unreachable", at: 10 * time.Second, lasts: 40 * time.Second}
	var worker string
	f.begin = func() {
		for _, run := range s.workers.Runs() {
			worker = run.Worker
		}
		s.setUnreachable(worker, true)
		s.markLeaving(worker)
	}
	f.end = func() { s.setUnreachable(worker, false) }
	return []*fault{f, killOwner(s, 10*time.Second)},
		[]*job{testJob("unseen", testShard, 6*time.Second, 1, "sleep", "30s")}
}

func (c brokenRuleCase) run(t *testing.T, broken brokenRules) []string {
	s := newSite(t, 1, broken)
	faults, submitted := c.events(s)
	return s.run(faults, submitted).failures
}

// TestCheckerCatchesBrokenRules guards against a checker that misses violations: each broken rule must be reported, and
// nothing may be reported when all rules are kept.
func TestCheckerCatchesBrokenRules(t *testing.T) {
	for _, c := range brokenRuleCases {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				assert.Equal(t, len(c.run(t, brokenRules{})), 0)
			})
			synctest.Test(t, func(t *testing.T) {
				failures := strings.Join(c.run(t, c.broken), "\n")
				assert.Assert(t, strings.Contains(failures, c.guarantee+":"), "want %q in:\n%s", c.guarantee, failures)
				t.Log(failures)
			})
		})
	}
}
