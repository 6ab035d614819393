package naive

import (
	"sort"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

// learnedMargin is the divisor of a margin on learned sizes, one eighth, which covers their rounding in the fast core.
const learnedMargin = 8

// Plan starts tasks by full scans: the team with the lowest weighted dominant share first, its jobs in order, each task
// on the worker that it fits best. Workers for which excluded returns true are skipped; excluded may be nil.
func (c *Cell) Plan(maxStarts int, excluded func(worker string) bool) []scheduler.Start {
	c.mu.Lock()
	defer c.mu.Unlock()
	var starts []scheduler.Start
	if c.draining {
		return nil
	}
	for len(starts) < maxStarts {
		next := c.next(excluded)
		if next == nil {
			return starts
		}
		starts = append(starts, next...)
	}
	return starts
}

// next starts the next task, or all tasks of a gang job.
func (c *Cell) next(excluded func(string) bool) []scheduler.Start {
	for _, owner := range c.teamsInOrder() {
		for _, j := range c.jobs {
			if j.pending == 0 || j.Team != owner.Name || j.cancelled {
				continue
			}
			if starts := c.startJob(j, owner, excluded); starts != nil {
				return starts
			}
		}
	}
	return nil
}

func (c *Cell) teamsInOrder() []*team {
	var total resource.Vector
	for _, w := range c.workers {
		total = total.Add(w.Capacity)
	}
	ordered := append([]*team(nil), c.teams...)
	sort.SliceStable(ordered, func(a, b int) bool {
		return ordered[a].running.DominantShare(total)/float64(ordered[a].Share) <
			ordered[b].running.DominantShare(total)/float64(ordered[b].Share)
	})
	return ordered
}

func (c *Cell) startJob(j *job, owner *team, excluded func(string) bool) []scheduler.Start {
	waiting := j.waiting()
	if j.Kind != scheduler.Gang {
		for _, t := range waiting {
			if start, ok := c.startTask(j, t, owner, excluded, ""); ok {
				return []scheduler.Start{start}
			}
			if t.failedOn == nil {
				return nil // the other tasks do not fit either, because this one avoids no worker
			}
		}
		return nil
	}
	for _, t := range j.tasks {
		if t.held && !t.done && t.worker == nil {
			return nil
		}
		if t.worker != nil && !j.AtMostOnce {
			return nil // members are started together only
		}
	}
	if !j.SameRack {
		return c.startGang(j, waiting, owner, excluded, "")
	}
	for _, rack := range c.racks() {
		if starts := c.startGang(j, waiting, owner, excluded, rack); starts != nil {
			return starts
		}
	}
	return nil
}

func (j *job) waiting() []*task {
	var waiting []*task
	for _, t := range j.tasks {
		if !t.done && !t.held && t.worker == nil {
			waiting = append(waiting, t)
		}
	}
	return waiting
}

func (c *Cell) racks() []string {
	seen := map[string]bool{}
	var names []string
	for _, w := range c.workers {
		if !seen[w.Rack] {
			seen[w.Rack] = true
			names = append(names, w.Rack)
		}
	}
	return names
}

// startGang starts either all tasks or none.
func (c *Cell) startGang(j *job, waiting []*task, owner *team, excluded func(string) bool, rack string) []scheduler.Start {
	var starts []scheduler.Start
	for _, t := range waiting {
		if t.worker == nil && rack != "" && j.runsOutside(rack) {
			return nil
		}
		start, ok := c.startTask(j, t, owner, excluded, rack)
		if !ok {
			j.revert(waiting[:len(starts)], owner)
			return nil
		}
		starts = append(starts, start)
	}
	return starts
}

func (j *job) runsOutside(rack string) bool {
	for _, t := range j.tasks {
		if t.worker != nil && t.worker.Rack != rack {
			return true
		}
	}
	return false
}

func (j *job) revert(tasks []*task, owner *team) {
	for _, t := range tasks {
		t.attempt--
		t.worker.used = t.worker.used.Sub(t.allocation)
		owner.running = owner.running.Sub(t.allocation)
		t.worker = nil
		j.pending++
	}
}

// startTask starts a task on the worker that it fits best.
func (c *Cell) startTask(j *job, t *task, owner *team, excluded func(string) bool, rack string) (scheduler.Start, bool) {
	var best *worker
	var bestAllocation resource.Vector
	bestLeft := 0.0
	for _, w := range c.workers {
		if w.Leaving || (rack != "" && w.Rack != rack) || (excluded != nil && excluded(w.Name)) || c.mustAvoid(j, t, w) {
			continue
		}
		allocation := j.Each.Max(j.learned().Min(w.Capacity))
		free := w.Capacity.Sub(w.used)
		if !allocation.Fits(free) || !owner.running.Add(allocation).Fits(owner.Limit) {
			continue
		}
		left := freeShare(free.Sub(allocation), w.Capacity)
		if best == nil || left < bestLeft {
			best, bestAllocation, bestLeft = w, allocation, left
		}
	}
	if best == nil {
		return scheduler.Start{}, false
	}
	t.attempt++
	place(t, best, owner, bestAllocation)
	j.pending--
	return scheduler.Start{
		Task: scheduler.TaskID{Job: j.ID, Index: t.index}, Attempt: t.attempt, Worker: best.Name,
		Allocation: bestAllocation, Team: j.Team,
	}, true
}

// freeShare returns the free part of a worker's capacity, summed over the dimensions.
func freeShare(free, capacity resource.Vector) float64 {
	sum := 0.0
	for _, pair := range [...][2]int64{
		{free.MilliCPU, capacity.MilliCPU},
		{free.MemoryBytes, capacity.MemoryBytes},
		{free.Accelerators, capacity.Accelerators},
	} {
		if pair[1] > 0 {
			sum += float64(pair[0]) / float64(pair[1])
		}
	}
	return sum
}

func (j *job) learned() resource.Vector {
	return resource.Vector{
		MilliCPU:     j.peak.MilliCPU + j.peak.MilliCPU/learnedMargin,
		MemoryBytes:  j.peak.MemoryBytes + j.peak.MemoryBytes/learnedMargin,
		Accelerators: j.peak.Accelerators,
	}
}
