package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// naiveChoose visits every worker. It is what choose has to return.
func naiveChoose(s *State, p *placement, t *Task, rack string) *Worker {
	if !s.mayStartOne(p.step) {
		return nil
	}
	search := &bestWorker{state: s, placement: p, task: t, rack: rack}
	for id, w := range s.workers {
		if !p.isAdvised() || p.step.advice.tickets[id].isValid(w, p.now) {
			search.consider(w)
		}
	}
	return search.worker
}

// checkIndex compares the index with the state of all workers.
func checkIndex(t *rapid.T, s *State) {
	open, unreachable := 0, 0
	capacity, free := map[string]resource.Vector{}, map[string]int64{}
	for _, w := range s.workers {
		if w.isOpen() {
			open++
			assert.Equal(t, w.indexed.zone.buckets[bucketOf(w.free().MilliCPU)][w.indexed.position], w)
			free[w.Info.Zone] += w.free().MilliCPU
		}
		if w.Listed && w.reachable {
			capacity[w.Info.Zone] = capacity[w.Info.Zone].Add(w.Info.Capacity)
		}
		if !w.reachable {
			unreachable++
		}
	}
	assert.Equal(t, len(s.index.unreachable), unreachable)
	for _, z := range s.index.zones {
		assert.Equal(t, z.capacity, capacity[z.name])
		assert.Equal(t, z.freeFor(0), free[z.name])
		for _, bucket := range z.buckets {
			open -= len(bucket)
		}
	}
	assert.Equal(t, open, 0)
	stops := 0
	for _, w := range s.workers {
		for task := range w.tasks {
			if task.stop {
				stops++
			}
			_, known := s.team(task.step.job.Record.GetTeam()).tasks[task]
			assert.Assert(t, known)
		}
	}
	assert.Equal(t, len(s.stops), stops)
}

func drawWorker(t *rapid.T, i int) infra.FleetWorker {
	return infra.FleetWorker{
		ID: fmt.Sprintf("w%02d", i), Incarnation: 1, Service: testService, Address: "a",
		Zone:   fmt.Sprintf("zone-%d", rapid.IntRange(0, 2).Draw(t, "zone")),
		Labels: []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), fmt.Sprintf("rack-%d", rapid.IntRange(0, 3).Draw(t, "rack"))},
		Capacity: resource.Vector{
			MilliCPU: rapid.SampledFrom([]int64{2000, 8000, 8500, 400_000}).Draw(t, "cpu"), MemoryBytes: testMemoryMB << 20,
		},
		Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
	}
}

func drawStep(t *rapid.T) *siskinv1.WorkflowStep {
	spec := step(int32(rapid.IntRange(1, 6).Draw(t, "count")), int64(rapid.IntRange(0, 16).Draw(t, "cpu"))*500)
	switch rapid.IntRange(0, 8).Draw(t, "kind of step") {
	case 0:
		spec.Backfill = true
	case 1:
		spec.LatencyObjectiveMs, spec.LongRunning = 100, true
	case 2:
		spec.PreferredRack = "rack-1"
	case 3:
		spec.RequiredLabel = "b"
	case 4:
		spec.MaxPerWorker = 1
	case 5:
		spec.Gang, spec.SameRack = true, rapid.Bool().Draw(t, "same rack")
	case 6:
		spec.LongRunning = true
	}
	return spec
}

// Guards against a worker that the index does not find, or finds too late, after any history of tasks and states.
func TestIndexChoosesAsAScanOfAllWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(nil, 0)
		s := f.state
		for i := range rapid.IntRange(1, 12).Draw(t, "workers") {
			worker, _ := s.SetWorker(drawWorker(t, i))
			f.workers = append(f.workers, worker)
			f.running[worker] = map[string]infra.ActiveRun{}
			f.report(worker)
		}
		for round := range rapid.IntRange(1, 12).Draw(t, "rounds") {
			s.AddJob(job(fmt.Sprintf("%016x", round), drawStep(t)), nil)
			worker := f.workers[rapid.IntRange(0, len(f.workers)-1).Draw(t, "worker")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				s.SetWorker(drawWorker(t, int(worker.Info.ID[1]-'0')*10+int(worker.Info.ID[2]-'0')))
			case 1:
				s.RemoveWorker(worker.Info.ID)
			case 2:
				s.RenewFailed(worker, f.now)
			case 3:
				s.Cordon(worker.Info.ID, rapid.Bool().Draw(t, "cordoned"))
			case 4:
				s.SetEvacuated(map[string]bool{worker.Info.Zone: rapid.Bool().Draw(t, "evacuated")})
			case 5:
				f.endAll(infra.OutcomeSucceeded)
			case 6:
				f.now = f.now.Add(time.Second)
				s.ExpireLeases(f.now, f.unixMs())
			}
			if s.workers[worker.Info.ID] == worker {
				f.report(worker)
			}
			f.now = f.now.Add(20 * time.Millisecond)
			s.Plan(f.now, f.unixMs(), AdviceSlots{Free: 4})
			checkIndex(t, s)
			for step := range s.frontier {
				p := s.newPlacement(step, f.now)
				for _, rack := range []string{"", "rack-1"} {
					got, want := s.choose(p, &step.tasks[0], rack), naiveChoose(s, p, &step.tasks[0], rack)
					assert.Equal(t, got, want, "step %v rack %q", step.spec, rack)
				}
			}
			s.Committed(s.TakeChanges(allJobs), f.now)
		}
	})
}
