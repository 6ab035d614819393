package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// suspects orders as many tasks as start at once of a job whose tasks have the given counts of crashes.
func suspects(t *testing.T, workers int, tasks int32, crashes crashCount) (f *fixture, ordered, reserved int) {
	f = newFixture(t, workers)
	f.state.AddJob(job("0000000000000001", step(tasks, 1000)), nil)
	for i := range tasks {
		f.state.Job("0000000000000001").task([3]int{0, 0, int(i)}).crashes = crashes
	}
	f.wait(time.Second)
	ordered = len(f.order())
	for _, w := range f.workers {
		if w.IsProbing() {
			reserved++
		}
	}
	return f, ordered, reserved
}

// Guards against a fleet that hardly starts anything after a series of crashes, because each task whose workers crashed late in
// its runs has a worker of its own.
func TestLateSuspectsLeaveMostWorkersOpen(t *testing.T) {
	const workers, tasks = 8, 40
	f, ordered, reserved := suspects(t, workers, tasks, crashCount{certain: crashesToSuspect, suspect: true})
	assert.Equal(t, ordered, tasks)
	assert.Assert(t, reserved > 0 && reserved*maxProbedDivisor <= workers, "%d workers are reserved", reserved)
	f.state.AddJob(job("0000000000000002", step(workers, 1000)), nil)
	f.wait(time.Millisecond)
	assert.Equal(t, len(f.order()), workers, "work without crashes waits for suspects")
}

// Guards against a task beside one that crashes its worker at once, however many such tasks wait.
func TestPromptSuspectsRunAlone(t *testing.T) {
	_, ordered, reserved := suspects(t, 8, 40, crashCount{certain: 1, prompt: 1, suspect: true})
	assert.Equal(t, ordered, 8)
	assert.Equal(t, reserved, 8)
}
