package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// updated returns the given version of a service with count tasks of the given number of cores each. Its command is the
// version, by which runsByVersion tells the versions apart.
func updated(version int64, count int32, cores int64) *siskinv1.WorkSpec {
	spec := service(count)
	spec.UpdateVersion = version
	spec.Each.MilliCpu = cores * 1000
	spec.Command = []string{string(rune('0' + version))}
	return spec
}

func (s *testFleet) submitWithKey(o *runningOwner, name string, spec *siskinv1.WorkSpec) (*siskinv1.SubmitWorkResponse, error) {
	return o.Submit(context.Background(), &siskinv1.SubmitWorkRequest{
		Shard: o.Shard(), Id: o.Shard() + "." + name, Team: testTeam, Spec: spec, RequestKey: "key",
	})
}

// runsByVersion counts the running tasks of a job by version, and returns the number of all starts so far.
func (s *testFleet) runsByVersion(job string) (versions map[string]int, running, started int) {
	versions = map[string]int{}
	for _, run := range s.workers.Runs() {
		if run.Task.Job != job {
			continue
		}
		started++
		if run.Ended.IsZero() {
			versions[run.Command[0]]++
			running++
		}
	}
	return versions, running, started
}

// awaitVersion checks a service every 20 ms until exactly count tasks run, all of the version. It fails if fewer than
// least tasks run at any check, or after 5 minutes.
func (s *testFleet) awaitVersion(job, version string, least, count int) {
	s.t.Helper()
	began := time.Now()
	for range 50 * 300 {
		time.Sleep(20 * time.Millisecond)
		versions, running, _ := s.runsByVersion(job)
		assert.Assert(s.t, running >= least, "%d tasks run, want at least %d: %v", running, least, versions)
		if versions[version] == count && running == count {
			s.t.Logf("update of %s to version %s took %v", job, version, time.Since(began))
			return
		}
	}
	versions, _, _ := s.runsByVersion(job)
	s.t.Fatalf("update has not ended: %v", versions)
}

// TestUpdateKeepsCountIfCapacityIsFree guards against an update that removes a task of a service before its
// replacement runs, and against tasks that are replaced more than once.
func TestUpdateKeepsCountIfCapacityIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 3, "x", "y", "z")
		s.runFor = 0
		for _, zone := range s.zones {
			defer s.open(zone, time.Hour).kill()
		}
		home := &runningOwner{Owner: s.set.All()[0]}
		id := s.submit(home, "svc", updated(1, 9, 1))
		time.Sleep(5 * time.Second)
		_, err := s.submitWithKey(home, "svc", updated(2, 9, 2))
		assert.NilError(t, err)
		s.awaitVersion(id, "2", 9, 9)
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, s.runningByZone(id), map[string]int{"x": 3, "y": 3, "z": 3})
		_, _, started := s.runsByVersion(id)
		assert.Assert(t, started <= 9+9+3, "%d starts", started)
		assert.Equal(t, s.status(home, id).GetOutdated(), int32(0))
		for _, run := range s.checkRuns() {
			assert.Equal(t, run.Resources.MilliCPU == 2000, run.Command[0] == "2")
		}
	})
}

// TestUpdateOfFullZoneIsOneTaskShort guards against an update that waits for free capacity forever, or stops more
// than one task at a time.
func TestUpdateOfFullZoneIsOneTaskShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "x", "y")
		s.runFor = 0
		for _, zone := range s.zones {
			defer s.open(zone, time.Hour).kill()
		}
		home := &runningOwner{Owner: s.set.All()[0]}
		id := s.submit(home, "svc", updated(1, 4, 8))
		time.Sleep(5 * time.Second)
		_, err := s.submitWithKey(home, "svc", updated(2, 4, 8))
		assert.NilError(t, err)
		s.awaitVersion(id, "2", 3, 4)
		s.checkRuns()
	})
}

// TestUpdateChangesCount guards against an update whose higher or lower count is not applied.
func TestUpdateChangesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 3, "x", "y")
		s.runFor = 0
		for _, zone := range s.zones {
			defer s.open(zone, time.Hour).kill()
		}
		home := &runningOwner{Owner: s.set.All()[0]}
		id := s.submit(home, "svc", updated(1, 4, 1))
		time.Sleep(5 * time.Second)
		_, err := s.submitWithKey(home, "svc", updated(2, 8, 1))
		assert.NilError(t, err)
		s.awaitVersion(id, "2", 4, 8)
		_, err = s.submitWithKey(home, "svc", updated(3, 2, 1))
		assert.NilError(t, err)
		s.awaitVersion(id, "3", 2, 2)
		assert.Equal(t, s.status(home, id).GetSpec().GetCount(), int32(2))
		s.checkRuns()
	})
}

// TestUpdateContinuesAfterTakeover guards against a new owner that treats tasks of the earlier version as new ones,
// replaces new ones again, or lets several shards replace tasks at once.
func TestUpdateContinuesAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 3, "x", "y")
		s.runFor = 0
		owners := map[string]*runningOwner{}
		for _, zone := range s.zones {
			owners[zone] = s.open(zone, time.Hour)
		}
		id := s.submit(owners["x"], "svc", updated(1, 8, 1))
		time.Sleep(5 * time.Second)
		_, err := s.submitWithKey(owners["x"], "svc", updated(2, 8, 1))
		assert.NilError(t, err)
		for _, zone := range []string{"x", "y", "x"} {
			time.Sleep(2500 * time.Millisecond)
			owners[zone].kill()
			time.Sleep(500 * time.Millisecond)
			owners[zone] = s.open(zone, time.Hour)
		}
		s.awaitVersion(id, "2", 8, 8)
		time.Sleep(10 * time.Second)
		_, _, started := s.runsByVersion(id)
		assert.Assert(t, started <= 8+8+2, "%d starts", started)
		for _, o := range owners {
			defer o.kill()
		}
		s.checkRuns()
	})
}

// TestUpdateIsOrderedByVersion guards against a repeated update that is applied twice, an older one that overrides a
// newer one, and a request key that replaces one job with another.
func TestUpdateIsOrderedByVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 3, "x")
		s.runFor = 0
		o := s.open("x", time.Hour)
		id := s.submit(o, "svc", updated(1, 2, 1))
		other := updated(4, 2, 1)
		other.Queue = "other"
		for _, c := range []struct {
			spec     *siskinv1.WorkSpec
			repeated bool
			refused  refusal.Reason
		}{
			{spec: updated(1, 2, 1), repeated: true},
			{spec: updated(3, 2, 2)},
			{spec: updated(3, 2, 2), repeated: true},
			{spec: updated(3, 2, 1), refused: refusal.RequestKeyReused},
			{spec: updated(2, 2, 1), refused: refusal.Conflict},
			{spec: updated(1, 2, 1), refused: refusal.Conflict},
			{spec: other, refused: refusal.RequestKeyReused},
		} {
			response, err := s.submitWithKey(o, "svc", c.spec)
			if c.refused != "" {
				assert.Equal(t, refusal.From(err).Reason, c.refused)
				assert.Equal(t, refusal.From(err).NotRun(), c.refused != refusal.Conflict, "an earlier version may have run")
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, response.GetRepeated(), c.repeated)
		}
		o.kill()
		time.Sleep(time.Second)
		o = s.open("x", time.Hour)
		defer o.kill()
		response, err := s.submitWithKey(o, "svc", updated(3, 2, 2))
		assert.NilError(t, err)
		assert.Assert(t, response.GetRepeated())
		s.awaitVersion(id, "3", 0, 2)
	})
}
