package controller

import (
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"siskinstack.example/siskinstack/dispatch"
)

// maxStartLineDelay is how long the line of a step's starts waits for answers. Workers answer within milliseconds.
const maxStartLineDelay = 100 * time.Millisecond

// startLine is the log line for the starts of one step in one plan.
type startLine struct {
	log       logr.Logger
	job, step string

	mu sync.Mutex // guards the fields below
	// tasks is the number of start orders, ok and failed those that have been answered before the line was written.
	tasks, ok, failed int
	// indexes holds the started tasks of each worker by their index in the step, workers the workers in the order of answers.
	indexes map[string][]string
	workers []string
	written bool
}

// startLines returns the lines of the steps that have several start orders, by task; none if each start gets its own line.
func (t *term) startLines(orders []*dispatch.Task) map[*dispatch.Task]*startLine {
	if !t.JobLog {
		return nil
	}
	steps := map[string]*startLine{}
	lines := map[*dispatch.Task]*startLine{}
	for _, task := range orders {
		step, _ := splitTask(task.ID())
		line := steps[step]
		if line == nil {
			line = &startLine{log: t.log, job: task.JobID(), step: step, indexes: map[string][]string{}}
			steps[step] = line
		}
		line.tasks++
		lines[task] = line
	}
	for task, line := range lines {
		if line.tasks == 1 {
			delete(lines, task)
			delete(steps, line.step)
		}
	}
	for _, line := range steps {
		time.AfterFunc(maxStartLineDelay, line.write)
	}
	return lines
}

// splitTask returns the step of a task and the task's index in it.
func splitTask(task string) (step, index string) {
	end := strings.LastIndexByte(task, '.')
	return task[:end], task[end+1:]
}

// answered records the answer to a start order. It reports whether the line covers it; a start that failed, or was answered
// after the line was written, needs a line of its own. A nil line covers none.
func (l *startLine) answered(task, worker string, err error) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written {
		return false
	}
	if err != nil {
		l.failed++
	} else {
		l.ok++
		if l.indexes[worker] == nil {
			l.workers = append(l.workers, worker)
		}
		_, index := splitTask(task)
		l.indexes[worker] = append(l.indexes[worker], index)
	}
	if l.ok+l.failed == l.tasks {
		l.writeLocked()
	}
	return err == nil
}

// write writes the line unless that has been done.
func (l *startLine) write() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeLocked()
}

// writeLocked is write for a caller that holds mu.
func (l *startLine) writeLocked() {
	if l.written {
		return
	}
	l.written = true
	tasks := make([]string, 0, len(l.workers))
	for _, worker := range l.workers {
		tasks = append(tasks, worker+":"+strings.Join(l.indexes[worker], ","))
	}
	l.log.Info("starts", "job", l.job, "step", l.step, "tasks", l.tasks, "ok", l.ok, "failed", l.failed,
		"unanswered", l.tasks-l.ok-l.failed, "workers", len(l.workers), "started", strings.Join(tasks, " "))
}
