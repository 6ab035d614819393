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

// earlyStore answers writes at once and does them later, in order. What a killed process has not written is lost.
type earlyStore struct {
	infra.Store
	writes chan infra.PutRequest
}

const (
	earlyBy     = 2 * time.Second
	earlyWrites = 10_000
)

func newEarlyStore(v *vm, store infra.Store) *earlyStore {
	e := &earlyStore{Store: store, writes: make(chan infra.PutRequest, earlyWrites)}
	v.tasks.Go(func() {
		for {
			select {
			case request := <-e.writes:
				if v.process.Sleep(v.background, earlyBy) == nil {
					_, _ = store.Put(v.background, request)
				}
			case <-v.background.Done():
				return
			}
		}
	})
	return e
}

// Put implements infra.Store.
func (e *earlyStore) Put(_ context.Context, request infra.PutRequest) (infra.Revision, error) {
	e.writes <- request
	return 1, nil
}

// keepLimit passes a limit on unless it is lower than the last one.
func (l limiter) keepLimit(o *owner.Owner, team string, limit resource.Vector) resource.Vector {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kept == nil {
		l.kept = map[string]resource.Vector{}
	}
	key := o.Shard() + "/" + team
	l.kept[key] = l.kept[key].Max(limit)
	_ = o.SetLimit(team, l.kept[key])
	return resource.Vector{}
}

// lateStart returns how long a start that is sent now stays on its way.
func (s *site) lateStart() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateStarts
}

// noteLateStart remembers the worker to which a start is on its way.
func (s *site) noteLateStart(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWorker = worker
}

func (s *site) setLateStarts(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateStarts = by
}

// ownerOf returns the VM that may act for a shard.
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

// leave announces on the platform's list that a worker leaves, so that nothing more is placed there.
func (s *site) leave(worker string) {
	s.list.Update(func(vms []infra.VM) []infra.VM {
		for i := range vms {
			vms[i].Leaving = vms[i].Leaving || vms[i].Name == worker
		}
		return vms
	})
}

const testShard = "zone-a-0"

// at returns a fault that begins once and has no end.
func at(after time.Duration, name string, begin func()) *fault {
	return &fault{name: name, at: after, begin: begin, end: func() {}}
}

// killOwner kills the owner of the shard at a time, and replaces it much later.
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

// breakCase is a course of events in which one broken rule breaks a promise.
type breakCase struct {
	name   string
	broken breaks
	// promise starts the line of the checker that must appear.
	promise string
	events  func(s *site) ([]*fault, []*job)
}

var breakCases = []breakCase{
	{"epochs are not checked by workers", breaks{ignoreEpochs: true}, "single-run", lateStartOfAFormerOwner},
	{"claim is durable after the start", breaks{earlyAnswers: true}, "at-most-once", ownerAndWorkerDieAfterAStart},
	{"allowance is granted before it is given back", breaks{keepLimits: true}, "ceiling", allowanceMovesThereAndBack},
	{"margin of the store leases is negative", breaks{rate: 0.6}, "two rights", ownerIsCutOff},
	{"no hold after a takeover", breaks{noHold: true}, "single-run", ownerDiesAndWorkerIsUnreachable},
}

// lateStartOfAFormerOwner delays a start until another owner has started the task on another worker.
func lateStartOfAFormerOwner(s *site) ([]*fault, []*job) {
	leave := at(8500*time.Millisecond, "worker of the late start leaves", func() { s.leave(s.lateWorker) })
	return []*fault{
		at(8*time.Second, "starts late", func() { s.setLateStarts(10 * time.Second) }),
		killOwner(s, 9*time.Second), leave,
		at(10*time.Second, "starts in time", func() { s.setLateStarts(0) }),
	}, []*job{testJob("late", testShard, 8100*time.Millisecond, 1, "sleep", "30s")}
}

// ownerAndWorkerDieAfterAStart loses all that is known of a started task but its claim.
func ownerAndWorkerDieAfterAStart(s *site) ([]*fault, []*job) {
	j := testJob("once", testShard, 6*time.Second, 1, "sleep", "30s")
	j.spec.AtMostOnce = true
	drain := &fault{name: "drain", at: 5 * time.Second, lasts: 7 * time.Second}
	zoneOfTestShard := func(state siskinv1.ZoneState) {
		for _, zone := range zoneNames {
			for s.setZone(s.live(), zone, state) != nil {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	drain.begin = func() { zoneOfTestShard(siskinv1.ZoneState_ZONE_STATE_DRAINING) }
	drain.end = func() { zoneOfTestShard(siskinv1.ZoneState_ZONE_STATE_IN_SERVICE) }
	die := at(13*time.Second, "workers die", func() {
		for _, name := range s.workerNames {
			s.workers.Crash(name)
		}
	})
	return []*fault{drain, killOwner(s, 13*time.Second), die}, []*job{j}
}

// allowanceMovesThereAndBack uses the allowance of a team in one zone, then in another one, then in both.
func allowanceMovesThereAndBack(*site) ([]*fault, []*job) {
	return nil, []*job{
		testJob("first", "zone-a-0", 5*time.Second, 10, "sleep", "5s"),
		testJob("second", "zone-b-0", 30*time.Second, 10, "sleep", "60s"),
		testJob("third", "zone-a-0", 60*time.Second, 10, "sleep", "20s"),
	}
}

// ownerIsCutOff cuts the owner of a shard off from everything but its workers.
func ownerIsCutOff(s *site) ([]*fault, []*job) {
	f := &fault{name: "cut owner", at: 8 * time.Second, lasts: 10 * time.Second}
	var heal func()
	f.begin = func() {
		name := s.ownerOf(testShard).name
		heal = s.network.cut(func(from, to node) bool {
			return (from.name == name || to.name == name) && from.kind != kindWorker && to.kind != kindWorker
		})
	}
	f.end = func() { heal() }
	return []*fault{f}, nil
}

// ownerDiesAndWorkerIsUnreachable leaves a task running that the new owner cannot see.
func ownerDiesAndWorkerIsUnreachable(s *site) ([]*fault, []*job) {
	f := &fault{name: "worker unreachable", at: 10 * time.Second, lasts: 40 * time.Second}
	var worker string
	f.begin = func() {
		for _, run := range s.workers.Runs() {
			worker = run.Worker
		}
		s.changeUnreachable(worker, true)
		s.leave(worker)
	}
	f.end = func() { s.changeUnreachable(worker, false) }
	return []*fault{f, killOwner(s, 10*time.Second)},
		[]*job{testJob("unseen", testShard, 6*time.Second, 1, "sleep", "30s")}
}

func (c breakCase) run(t *testing.T, broken breaks) []string {
	s := newSite(t, 1, broken)
	faults, played := c.events(s)
	return s.run(faults, played).failures
}

// Guards against a checker that is blind: each broken rule has to show up, and nothing may show up when it is kept.
func TestCheckerCatchesBrokenRules(t *testing.T) {
	for _, c := range breakCases {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				assert.Equal(t, len(c.run(t, breaks{})), 0)
			})
			synctest.Test(t, func(t *testing.T) {
				failures := strings.Join(c.run(t, c.broken), "\n")
				assert.Assert(t, strings.Contains(failures, c.promise+":"), "want %q in:\n%s", c.promise, failures)
				t.Log(failures)
			})
		})
	}
}
