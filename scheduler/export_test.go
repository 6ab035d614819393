package scheduler

import (
	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/resource"
)

// CheckConsistency compares the totals of a cell with totals that it recomputes from the tasks.
func (c *Cell) CheckConsistency() error {
	running, waiting, stopping := map[*team]resource.Vector{}, map[*team]resource.Vector{}, map[*team]resource.Vector{}
	queued := 0
	for _, j := range c.jobs {
		var counts Counts
		for slot := range j.tasks {
			ref := taskRef{j, int32(slot)}
			t := ref.task()
			switch t.state {
			case taskQueued:
				counts.Queued++
			case taskRunning:
				counts.Running++
				running[j.team] = running[j.team].Add(ref.allocation())
				if t.flags&flagStopping != 0 {
					stopping[j.team] = stopping[j.team].Add(ref.allocation())
				}
				if c.workers[t.worker-1].tasks[t.pos] != ref {
					return eris.Errorf("task %v is not in the list of its worker", j.id(ref.slot))
				}
			}
		}
		if j.cancelled {
			counts.Queued = 0
		}
		if counts.Queued != j.counts.Queued || counts.Running != j.counts.Running {
			return eris.Errorf("job %s: counts %+v, recomputed %+v", j.ID, j.counts, counts)
		}
		queued += counts.Queued
		if j.parked == WaitNone {
			waiting[j.team] = waiting[j.team].Add(j.Each.Scale(int64(counts.Queued)))
			if counts.Queued > 0 && !j.enqueued {
				return eris.Errorf("job %s has queued tasks but is in no queue", j.ID)
			}
		}
	}
	if queued != c.queued {
		return eris.Errorf("queued tasks: recomputed %d, counted %d", queued, c.queued)
	}
	for _, t := range c.teamList {
		if running[t] != t.running || waiting[t] != t.waiting || stopping[t] != t.stopping {
			return eris.Errorf("team %s: running %v/%v waiting %v/%v stopping %v/%v",
				t.Name, running[t], t.running, waiting[t], t.waiting, stopping[t], t.stopping)
		}
	}
	return c.checkWorkers()
}

func (c *Cell) checkWorkers() error {
	var total, used resource.Vector
	for _, w := range c.workers {
		if w == nil {
			continue
		}
		var sum resource.Vector
		for _, ref := range w.tasks {
			sum = sum.Add(ref.allocation())
		}
		if sum != w.used || c.index.free[w.id] != w.Capacity.Sub(sum) {
			return eris.Errorf("worker %s: used %v, recomputed %v", w.Name, w.used, sum)
		}
		if w.present {
			total, used = total.Add(w.Capacity), used.Add(sum)
		}
	}
	if total != c.total || used != c.used {
		return eris.Errorf("total and used %v/%v, recomputed %v/%v", c.total, c.used, total, used)
	}
	return nil
}

// Entries returns the number of entries in the lists of a cell that are cleaned up lazily.
func (c *Cell) Entries() int {
	n := len(c.parked) + len(c.shapes) + len(c.stopping) + len(c.timed)
	for _, t := range c.teamList {
		for _, q := range t.queues {
			n += len(q.entries)
		}
	}
	return n
}
