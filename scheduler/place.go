package scheduler

import (
	"hash/fnv"

	"siskinstack.example/siskinstack/resource"
)

const (
	// spreadChoices is the number of racks without a task of the service that are compared for the best worker.
	spreadChoices = 4
	// spreadRacks bounds the number of racks examined for a service, for which one suitable worker is already known.
	spreadRacks = 128
)

// start reserves the allocation of a task and returns the order to start it.
func (c *Cell) start(ref taskRef, w *worker, need resource.Vector) Start {
	t := ref.task()
	t.attempt = max(t.attempt, ref.job.OldAttempts) + 1
	c.place(ref, w, need)
	return Start{Task: ref.job.id(ref.slot), Attempt: t.attempt, Worker: w.Name, Allocation: need, Team: ref.job.Team}
}

// pick returns the next task of j that can start, with its worker; the worker is nil if no task can.
func (c *Cell) pick(j *job) choice {
	if chosen := c.pickProbe(j); chosen.worker != nil {
		return chosen
	}
	slot, ok := j.nextQueued()
	if !ok {
		return choice{}
	}
	avoid := j.tasks[slot].avoid - 1
	id, need := c.findBest(j.shape, j.team, avoid)
	if id < 0 && avoid >= 0 {
		id, need = c.findBest(j.shape, j.team, -1)
	}
	if id < 0 {
		return c.pickBackfill(j)
	}
	if slot, ok = c.slotFor(j, c.workers[id]); !ok {
		return choice{avoided: true}
	}
	if j.shape.service {
		id, need = c.findSpread(j, j.tasks[slot].avoid-1, id, need)
	}
	return choice{slot: slot, worker: c.workers[id], need: need}
}

// needOn returns the allocation that a task of j gets on w.
func (c *Cell) needOn(j *job, w *worker) resource.Vector {
	if j.useDeclared {
		return j.Each
	}
	return c.options.Policies.Filter.Need(j.Each, j.shape.learned, w.Capacity)
}

// spreadChoice is a worker with the criteria by which it is compared for a service: the running tasks of the service in its
// rack and on the worker itself, and the score.
type spreadChoice struct {
	worker           int32
	need             resource.Vector
	inRack, onWorker int32
	score            float64
}

func (a spreadChoice) better(b spreadChoice) bool {
	switch {
	case a.inRack != b.inRack:
		return a.inRack < b.inRack
	case a.onWorker != b.onWorker:
		return a.onWorker < b.onWorker
	default:
		return a.score < b.score
	}
}

// findSpread returns a worker in a rack with few tasks of the service, at least as good as the known one.
func (c *Cell) findSpread(j *job, avoid, known int32, need resource.Vector) (int32, resource.Vector) {
	best := c.spreadChoice(j, c.workers[known], need)
	first := int(hashOf(j.ID)) + j.counts.Running
	unused := 0
	for i := 0; i < min(len(c.racks), spreadRacks) && unused < spreadChoices; i++ {
		rack := int32((first + i) % len(c.racks))
		if j.spread[rack] > best.inRack {
			continue
		}
		found := false
		for _, id := range c.racks[rack] {
			w := c.workers[id]
			if id == avoid || c.index.bucket[id] == notIndexed || w.health.limit > 0 {
				continue
			}
			need := c.needOn(j, w)
			if !need.Fits(c.index.free[id]) {
				continue
			}
			found = true
			if choice := c.spreadChoice(j, w, need); choice.better(best) {
				best = choice
			}
		}
		if found && j.spread[rack] == 0 {
			unused++
		}
	}
	return best.worker, best.need
}

func (c *Cell) spreadChoice(j *job, w *worker, need resource.Vector) spreadChoice {
	return spreadChoice{
		worker: w.id, need: need, inRack: j.spread[w.rack], onWorker: j.spread[^w.id],
		score: c.options.Policies.Score.Score(c.index.free[w.id], need, c.index.scale),
	}
}

func hashOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32() >> 1
}
