package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

const (
	// simLease is the lease of a worker, simReturn the time until the machine of a worker that ended runs another one, and
	// simEntryKept that until the entry of the ended worker is removed.
	simLease     = 4800 * time.Millisecond
	simReturn    = 3200 * time.Millisecond
	simEntryKept = 3900 * time.Millisecond
	// simCrashDelay is the time from the start of a task that crashes its worker to the crash.
	simCrashDelay = 10 * time.Millisecond
)

// crashSim runs jobs on a fleet whose workers end with tasks that crash them. A worker that ended comes back under
// another identifier.
type crashSim struct {
	*fixture
	// crashes names the tasks that crash their workers.
	crashes map[string]bool
	// starts counts the starts of each task, crashed the workers that ended under it.
	starts, crashed map[string]int
	begun           map[string]time.Time
	later           []simEvent
	lives           int
	// taskTime is how long a task takes that does not crash its worker.
	taskTime time.Duration
	// gang is the name of a gang step, whose members end together.
	gang string
	// listed is true if the platform lists which workers have ended.
	listed bool
}

type simEvent struct {
	at  time.Time
	run func()
}

func newCrashSim(t *testing.T, workers int) *crashSim {
	s := &crashSim{
		fixture: newFixture(t, workers), crashes: map[string]bool{}, starts: map[string]int{}, crashed: map[string]int{},
		begun: map[string]time.Time{}, taskTime: 600 * time.Millisecond,
	}
	return s
}

func (s *crashSim) after(d time.Duration, run func()) {
	s.later = append(s.later, simEvent{s.now.Add(d), run})
}

// endWorker ends a worker with all its runs.
func (s *crashSim) endWorker(w *Worker) {
	for i, known := range s.workers {
		if known == w {
			s.workers = append(s.workers[:i], s.workers[i+1:]...)
			break
		}
	}
	for task := range s.running[w] {
		s.crashed[task]++
	}
	if s.gang != "" && s.ranGang(w) {
		s.breakGang()
	}
	if s.listed {
		s.after(30*time.Millisecond, func() {
			if known := s.state.Worker(w.Info.ID); known != nil {
				s.state.WorkersEnded([]*Worker{known}, s.now, s.now, s.unixMs())
			}
		})
	}
	zone := w.Info.Zone
	s.running[w], s.ended[w] = map[string]infra.ActiveRun{}, nil
	s.state.RenewFailed(w, s.now.Add(simCrashDelay))
	s.after(simReturn, func() {
		s.lives++
		s.addWorker(fmt.Sprintf("life%d", s.lives), zone)
	})
	s.after(simEntryKept, func() { s.state.RemoveWorker(w.Info.ID) })
}

func (s *crashSim) ranGang(w *Worker) bool {
	for task := range s.running[w] {
		if strings.HasPrefix(task, s.gang) {
			return true
		}
	}
	return false
}

// breakGang ends the members of the gang on the workers that are left.
func (s *crashSim) breakGang() {
	for _, w := range s.workers {
		for task := range s.running[w] {
			if strings.HasPrefix(task, s.gang) {
				s.end(w, task, infra.OutcomeGangBroken)
			}
		}
	}
}

// run plays the simulation for a time.
func (s *crashSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		var due []simEvent
		kept := s.later[:0]
		for _, event := range s.later {
			if event.at.After(s.now) {
				kept = append(kept, event)
			} else {
				due = append(due, event)
			}
		}
		s.later = kept
		for _, event := range due {
			event.run()
		}
		for _, w := range s.workers {
			s.state.RenewSent(w, s.now.Add(simLease))
		}
		s.state.ExpireLeases(s.now, s.unixMs())
		known := len(s.started)
		s.step()
		for _, order := range s.started[known:] {
			s.starts[order.Task]++
			s.begun[order.Task] = s.now
		}
		s.endTasks()
	}
}

// endTasks ends the runs whose time has come, and the workers with a task that crashes them.
func (s *crashSim) endTasks() {
	for _, w := range append([]*Worker(nil), s.workers...) {
		for task := range s.running[w] {
			if s.crashes[task] {
				s.endWorker(w)
				break
			}
			if strings.HasPrefix(task, "late.") {
				run := s.running[w][task]
				run.Percent = fullPercent
				s.running[w][task] = run
				continue
			}
			if s.now.Sub(s.begun[task]) >= s.taskTime {
				s.end(w, task, infra.OutcomeSucceeded)
			}
		}
	}
}

// mostBudgetStarts is the largest number of starts of a task that crashes its workers: two after the third crash.
const mostBudgetStarts = 5

// Guards against a task that crashes each worker that starts it and is started again without bound.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	s := newCrashSim(t, 12)
	s.state.AddJob(job("harmless", step(12, 1000)), nil)
	s.run(100 * time.Millisecond)
	s.state.AddJob(job("deadly", step(3, 1000)), nil)
	s.crashes["deadly.0.0.1"] = true
	s.run(40 * time.Second)
	assert.Assert(t, s.starts["deadly.0.0.1"] <= mostBudgetStarts, "%d starts", s.starts["deadly.0.0.1"])
	assert.Equal(t, s.state.Job("deadly").ShownPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED)
	assert.Equal(t, s.state.Job("harmless").ShownPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED)
	assert.Equal(t, s.runs(), 0, "the other tasks of the job are stopped")
}

// verdicts counts the jobs of a simulation with a task that crashes its workers, and those without, and of each the
// wrong verdicts.
type verdicts struct {
	deadly, missed    int
	harmless, givenUp int
}

// Guards against tasks that are given up because they ran beside one that crashes workers, or on workers that end for
// other reasons, and against tasks that crash workers and are not given up in such company.
func TestOnlyTasksThatCrashWorkersAreGivenUp(t *testing.T) {
	const seeds = 8
	for _, c := range []struct {
		name           string
		deadly, random bool
	}{{"ordinary crashes", false, true}, {"tasks that crash workers", true, false}, {"both", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			var sum verdicts
			for seed := range uint64(seeds) {
				playCrashes(t, seed, c.deadly, c.random, false, &sum)
				playCrashes(t, seed, c.deadly, c.random, true, &sum)
			}
			t.Logf("jobs with a task that crashes workers: %d, of these not given up %d; others: %d, of these given up %d",
				sum.deadly, sum.missed, sum.harmless, sum.givenUp)
			assert.Equal(t, sum.missed, 0)
			assert.Equal(t, sum.givenUp, 0)
		})
	}
}

// playCrashes plays twelve seconds of thirty jobs of three tasks a second on 48 workers, then lets all jobs end. With
// deadly, one task of 3% of the jobs crashes its workers; with random, a drawn worker crashes each two seconds on average
// for another reason; with listed, the platform tells which workers have ended.
func playCrashes(t *testing.T, seed uint64, deadly, random, listed bool, sum *verdicts) {
	t.Helper()
	s := newCrashSim(t, 48)
	s.listed = listed
	draw := rand.New(rand.NewPCG(seed, 1))
	jobs := 0
	for range 120 {
		for range 3 {
			jobs++
			id := fmt.Sprintf("j%d", jobs)
			s.state.AddJob(job(id, step(3, 1000)), nil)
			if deadly && draw.Float64() < 0.03 {
				s.crashes[id+".0.0.0"] = true
			}
		}
		if random && draw.Float64() < 0.05 && len(s.workers) > 0 {
			s.endWorker(s.workers[draw.IntN(len(s.workers))])
		}
		s.run(100 * time.Millisecond)
	}
	s.run(60 * time.Second)
	for n := 1; n <= jobs; n++ {
		id := fmt.Sprintf("j%d", n)
		phase, first := s.state.Job(id).ShownPhase(), id+".0.0.0"
		if !s.crashes[first] {
			sum.harmless++
			if phase != siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED {
				sum.givenUp++
				t.Logf("seed %d, listed %v: %s is %v", seed, listed, id, phase)
			}
			continue
		}
		sum.deadly++
		if phase != siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED || s.starts[first] > mostBudgetStarts {
			sum.missed++
			t.Logf("seed %d, listed %v: %s is %v after %d starts", seed, listed, id, phase, s.starts[first])
		}
		assert.Assert(t, s.crashed[first] >= 2, "seed %d: %s given up after %d crashes", seed, id, s.crashed[first])
	}
}

// restart replaces the controller by one that reads the saved progress.
func (s *crashSim) restart(records []*siskinv1.Workflow, progress map[string]*siskinv1.WorkflowProgress) {
	old := s.state
	s.state = New(old.limits, discardLog{})
	s.state.SetPolicy(old.policy)
	for _, record := range records {
		s.state.AddJob(record, progress[record.GetId()])
	}
	s.state.AssumeLeases(s.now, s.now.Add(simLease))
	running := s.running
	s.running, s.ended, s.numbers = map[*Worker]map[string]infra.ActiveRun{}, map[*Worker][]infra.EndedRun{}, map[*Worker]int64{}
	workers := s.workers
	s.workers = nil
	for _, w := range workers {
		known, _ := s.state.SetWorker(w.Info)
		s.workers = append(s.workers, known)
		s.running[known] = running[w]
		s.report(known)
	}
}

// Guards against counts that are lost when the controller changes: each crash is seen by another controller, and one
// happens while there is none.
func TestCrashCountsSurviveAChangeOfControllers(t *testing.T) {
	for _, gap := range []time.Duration{0, 50 * time.Millisecond, 2 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			s := newCrashSim(t, 12)
			record := job("deadly", step(3, 1000))
			s.crashes["deadly.0.0.1"] = true
			s.state.AddJob(record, nil)
			for range 6 {
				s.run(300 * time.Millisecond)
				saved := s.state.Job("deadly").Progress()
				if saved.GetPhase() == siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED {
					break
				}
				s.now = s.now.Add(gap)
				s.restart([]*siskinv1.Workflow{record}, map[string]*siskinv1.WorkflowProgress{"deadly": saved})
				s.run(simLease + 100*time.Millisecond)
			}
			assert.Equal(t, s.state.Job("deadly").Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED)
			assert.Assert(t, s.starts["deadly.0.0.1"] <= mostBudgetStarts, "%d starts", s.starts["deadly.0.0.1"])
			assert.Assert(t, s.crashed["deadly.0.0.1"] >= 2, "given up after %d crashes", s.crashed["deadly.0.0.1"])
		})
	}
}

// Guards against a gang that crashes the workers of its members and is started again without bound.
func TestGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	s := newCrashSim(t, 12)
	s.state.AddJob(job("harmless", step(12, 1000)), nil)
	gang := step(6, 2000)
	gang.Gang = true
	s.state.AddJob(job("deadly", gang), nil)
	s.crashes["deadly.0.0.4"], s.gang = true, "deadly.0.0."
	s.run(40 * time.Second)
	assert.Assert(t, s.starts["deadly.0.0.4"] <= mostBudgetStarts, "%d starts", s.starts["deadly.0.0.4"])
	assert.Equal(t, s.state.Job("deadly").Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED)
	assert.Equal(t, s.state.Job("harmless").Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED)
}

// Guards against a third worker that ends although a task has ended two at once after its start.
func TestSecondPromptCrashSuffices(t *testing.T) {
	s := newCrashSim(t, 12)
	s.listed = true
	s.state.AddJob(job("deadly", step(3, 1000)), nil)
	s.crashes["deadly.0.0.1"] = true
	s.run(10 * time.Second)
	assert.Equal(t, s.state.Job("deadly").Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED)
	assert.Equal(t, s.crashed["deadly.0.0.1"], 2)
}

// Guards against crashes that are not counted because several tasks crash workers of one zone at the same time, and
// against tasks that are given up because their zone lost power again and again.
func TestWorkersThatEndTogether(t *testing.T) {
	zone := func(s *crashSim, n int) []*Worker {
		var workers []*Worker
		for _, w := range s.workers {
			if w.Info.Zone == "zone-0" && len(workers) < n {
				workers = append(workers, w)
			}
		}
		return workers
	}
	end := func(s *crashSim, workers []*Worker) {
		for _, w := range workers {
			s.endWorker(w)
		}
		s.state.WorkersEnded(workers, s.now, s.now, s.unixMs())
	}
	t.Run("each with a task that had just begun", func(t *testing.T) {
		s := newCrashSim(t, 12)
		for n := range 4 {
			big := step(1, testMilliCPU)
			s.state.AddJob(job(fmt.Sprintf("deadly%d", n), big), nil)
		}
		for range 4 {
			s.step()
			var hit []*Worker
			for _, w := range s.workers {
				if len(s.running[w]) > 0 {
					w.Info.Zone = "zone-0"
					hit = append(hit, w)
				}
			}
			end(s, hit)
			s.now = s.now.Add(40 * time.Millisecond)
		}
		for n := range 4 {
			id := fmt.Sprintf("deadly%d", n)
			assert.Equal(t, s.state.Job(id).Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED)
			assert.Equal(t, s.crashed[id+".0.0.0"], 2)
		}
	})
	t.Run("loss of power", func(t *testing.T) {
		s := newCrashSim(t, 24)
		s.state.AddJob(job("harmless", step(12, 1000)), nil)
		for range 3 {
			s.run(100 * time.Millisecond)
			end(s, zone(s, 8))
		}
		s.run(20 * time.Second)
		assert.Equal(t, s.state.Job("harmless").Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED)
	})
}
