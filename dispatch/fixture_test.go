package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/resource"
)

const (
	testQueue   = "queue"
	testService = "service"
	testTeam    = "lab"
	// testMilliCPU and testMemoryMB are the capacity of a worker.
	testMilliCPU = 8000
	testMemoryMB = 8192
	// allJobs makes TakeChanges return the changes of all jobs.
	allJobs = 1_000_000
)

// discardLog discards all log entries.
type discardLog struct{}

func (discardLog) Decision(string, string, ...any) {}

func (discardLog) Waits(string, string, WaitReason, int) {}

// fixture is a State with simulated workers that carry out every order immediately.
type fixture struct {
	t       *testing.T
	state   *State
	now     time.Time
	queue   *siskinv1.QueuePolicy
	workers []*Worker
	// running holds the active runs of each worker, ended its ends that are not durable yet; numbers counts all its ends.
	running map[*Worker]map[string]infra.ActiveRun
	ended   map[*Worker][]infra.EndedRun
	numbers map[*Worker]int64
	started []infra.StartOrder
	// listedEnds is the number of ends that a worker lists at a time; 0 means all.
	listedEnds int
}

func newFixture(t *testing.T, workers int, features ...Features) *fixture {
	f := &fixture{
		t: t, now: time.Unix(1000, 0),
		state:   New(Limits{StatusKept: time.Minute, Features: append(features, Features{})[0]}, discardLog{}),
		queue:   &siskinv1.QueuePolicy{Name: testQueue, Service: testService, MaxAttempts: 2, SlackFactor: 1.5, AllowanceMs: 250},
		running: map[*Worker]map[string]infra.ActiveRun{}, ended: map[*Worker][]infra.EndedRun{}, numbers: map[*Worker]int64{},
	}
	f.setCeiling(resource.Vector{})
	for i := range workers {
		f.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("zone-%d", i%3))
	}
	return f
}

func (f *fixture) setCeiling(ceiling resource.Vector) {
	teams := []policy.Team{{Name: testTeam, Share: 100, Ceiling: ceiling}}
	queues := []policy.Queue{{Host: "h", Prefix: "/q/", Policy: f.queue}}
	f.state.SetPolicy(policy.New(1, queues, teams, []policy.Service{{Name: testService}}, policy.Limits{}))
}

func (f *fixture) addWorker(id, zone string) *Worker {
	worker, _ := f.state.SetWorker(infra.FleetWorker{
		ID: id, Incarnation: 1, Service: testService, Address: id, Zone: zone, Labels: []string{"kind", "rack-" + zone},
		Capacity: resource.Vector{MilliCPU: testMilliCPU, MemoryBytes: testMemoryMB << 20},
	})
	f.workers = append(f.workers, worker)
	f.running[worker] = map[string]infra.ActiveRun{}
	f.report(worker)
	return worker
}

// publish writes the entry of a worker's present incarnation, as a worker does when it has started.
func (f *fixture) publish(worker *Worker) { f.state.SetWorker(worker.Info) }

func (f *fixture) unixMs() int64 { return f.now.UnixMilli() }

// report applies a worker's answer to a lease renewal, which acknowledges the ends that are durable.
func (f *fixture) report(worker *Worker) {
	acknowledged := worker.Acknowledged()
	f.ended[worker] = slices.DeleteFunc(f.ended[worker], func(end infra.EndedRun) bool { return end.Number <= acknowledged })
	report := infra.RunReport{Incarnation: worker.Info.Incarnation, ClockMs: f.unixMs()}
	for _, run := range f.running[worker] {
		report.Active = append(report.Active, run)
	}
	report.Ended = f.ended[worker]
	if f.listedEnds > 0 {
		report.Ended = report.Ended[:min(len(report.Ended), f.listedEnds)]
		report.MoreEnds = len(report.Ended) == f.listedEnds
	}
	f.state.ApplyReport(worker, report, f.now, f.now, f.unixMs())
}

// step runs one cycle: it plans, commits the changes, carries out the orders and applies the workers' reports.
func (f *fixture) step() Plan {
	f.now = f.now.Add(20 * time.Millisecond)
	plan := f.state.Plan(f.now, f.unixMs(), AdviceSlots{Free: 4})
	orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
	for _, task := range orders {
		order := task.Start()
		f.started = append(f.started, order)
		f.running[task.worker][order.Task] = infra.ActiveRun{Task: order.Task, Run: order.Run, Checkpoint: order.Checkpoint}
		f.state.Started(task, task.Run(), nil, f.now)
	}
	for _, task := range plan.Stops {
		worker := task.worker
		order, _ := task.Stop()
		if _, runs := f.running[worker][order.Task]; runs {
			f.end(worker, order.Task, infra.OutcomeStopped)
		}
		f.state.Stopped(task, order.Run, nil, f.now)
	}
	f.now = f.now.Add(20 * time.Millisecond)
	for _, worker := range f.workers {
		f.report(worker)
	}
	return plan
}

// end ends a run on a worker with an outcome.
func (f *fixture) end(worker *Worker, task string, outcome infra.Outcome) {
	run := f.running[worker][task]
	delete(f.running[worker], task)
	f.numbers[worker]++
	f.ended[worker] = append(f.ended[worker], infra.EndedRun{
		Number: f.numbers[worker], Task: task, Run: run.Run, Outcome: outcome, Checkpoint: run.Checkpoint,
	})
}

// endAll ends all active runs.
func (f *fixture) endAll(outcome infra.Outcome) {
	for worker, runs := range f.running {
		for task := range runs {
			f.end(worker, task, outcome)
		}
	}
}

// runs returns the number of active runs.
func (f *fixture) runs() int {
	n := 0
	for _, runs := range f.running {
		n += len(runs)
	}
	return n
}

func job(id string, steps ...*siskinv1.WorkflowStep) *siskinv1.Workflow {
	return &siskinv1.Workflow{
		Id: id, Team: testTeam, Steps: steps, AcceptedUnixMs: time.Unix(1000, 0).UnixMilli(),
		Queue: &siskinv1.QueuePolicy{Name: testQueue, Service: testService, MaxAttempts: 2},
	}
}

func step(count int32, milliCPU int64) *siskinv1.WorkflowStep {
	return &siskinv1.WorkflowStep{Count: count, MilliCpu: milliCPU, MemoryMb: 64, EstimateMs: 1000}
}
