package scheduler

import (
	"sort"

	"siskinstack.example/siskinstack/resource"
)

// gangScratch holds buffers that the placement searches of gang jobs reuse.
type gangScratch struct {
	fits  []int32 // tasks that each worker can take, by worker identifier
	racks []rackFit
	// avoid holds workers that are not considered.
	avoid map[int32]bool
}

// rackFit is the number of a gang's tasks that a rack can take.
type rackFit struct {
	rack int32
	fit  int
}

// tryGang starts all waiting tasks of a gang job, or none.
func (c *Cell) tryGang(j *job, plan *Plan) bool {
	n := j.counts.Queued
	if j.held > 0 || n == 0 || j.restartsTogether() && j.counts.Running > 0 {
		return false
	}
	need := j.need().Scale(int64(n))
	if !c.permits(j.team, need) {
		if !j.useDeclared && !need.Fits(j.team.maxRunning()) {
			// The learned size exceeds the whole ceiling, so waiting would not help.
			j.useDeclared = true
			return c.tryGang(j, plan)
		}
		c.dropReservation(j)
		return false
	}
	if c.gangBlocked(j) || !c.fitGang(j, n) {
		if !j.useDeclared && !c.gangFitsEmpty(j, n, c.needOn) {
			j.useDeclared = true
			return c.tryGang(j, plan)
		}
		j.gangBlockedAt = c.capacityVersion
		c.parkIfUnschedulable(j)
		c.reserveFor(j, n)
		return false
	}
	c.dropReservation(j)
	c.startGang(j, plan)
	return true
}

// gangBlocked reports whether earlier failed searches already show that a gang job does not fit.
func (c *Cell) gangBlocked(j *job) bool {
	if j.gangBlockedAt == c.capacityVersion {
		return true
	}
	reserved := c.reservation != nil && c.reservation.job == j
	return !reserved && c.failed.cover(c.capacityVersion, j.Each)
}

// fitGang finds the racks for the tasks: the single rack with the least free capacity that takes all, otherwise as few racks
// as possible. The result is in the scratch space.
func (c *Cell) fitGang(j *job, n int) bool {
	if c.gangScratch.collectAvoided(j) && c.fitGangAvoiding(j, n) {
		return true
	}
	clear(c.gangScratch.avoid)
	return c.fitGangAvoiding(j, n)
}

// collectAvoided collects the workers that waiting tasks avoid because their last starts failed there, and reports whether
// there are any.
func (s *gangScratch) collectAvoided(j *job) bool {
	if s.avoid == nil {
		s.avoid = map[int32]bool{}
	}
	clear(s.avoid)
	for slot := range j.tasks {
		if t := &j.tasks[slot]; t.state == taskQueued && t.avoid > 0 {
			s.avoid[t.avoid-1] = true
		}
	}
	return len(s.avoid) > 0
}

func (c *Cell) fitGangAvoiding(j *job, n int) bool {
	s := &c.gangScratch
	s.fits = append(s.fits[:0], make([]int32, len(c.workers))...)
	s.racks = s.racks[:0]
	total := 0
	onlyRack := c.gangRack(j)
	for rack, members := range c.racks {
		if onlyRack >= 0 && int32(rack) != onlyRack {
			continue
		}
		fit := 0
		for _, id := range members {
			s.fits[id] = int32(c.gangFit(j, c.workers[id], n))
			fit += int(s.fits[id])
		}
		if fit > 0 {
			s.racks = append(s.racks, rackFit{int32(rack), fit})
			total += fit
		}
	}
	if total < n {
		return false
	}
	return s.chooseRacks(n, j.SameRack)
}

// gangRack returns the rack in which a gang job must run because some of its tasks already run there, or -1.
func (c *Cell) gangRack(j *job) int32 {
	if !j.SameRack || j.counts.Running == 0 {
		return -1
	}
	for slot := range j.tasks {
		if t := &j.tasks[slot]; t.state == taskRunning {
			return c.workers[t.worker-1].rack
		}
	}
	return -1
}

// gangFit returns how many tasks of a gang job a worker can take now, at most n.
func (c *Cell) gangFit(j *job, w *worker, n int) int {
	reservedForJob := w.reserved == j && w.acceptsTasks()
	if c.index.bucket[w.id] == notIndexed && !reservedForJob || c.gangScratch.avoid[w.id] {
		return 0
	}
	need := c.needOn(j, w)
	fit := copies(need, c.index.free[w.id], n)
	if w.health.limit > 0 {
		fit = min(fit, int(w.health.limit)-len(w.tasks))
	}
	return max(fit, 0)
}

// copies returns how many times need fits into available, at most n.
func copies(need, available resource.Vector, n int) int {
	if available.IsNegative() {
		return 0
	}
	for _, pair := range [...][2]int64{
		{need.MilliCPU, available.MilliCPU},
		{need.MemoryBytes, available.MemoryBytes},
		{need.Accelerators, available.Accelerators},
	} {
		if pair[0] > 0 {
			n = min(n, int(min(pair[1]/pair[0], int64(n))))
		}
	}
	return n
}

// chooseRacks moves the racks to be used to the front, and reports whether the gang job can start.
func (s *gangScratch) chooseRacks(n int, strict bool) bool {
	best := -1
	for i, r := range s.racks {
		if r.fit >= n && (best < 0 || r.fit < s.racks[best].fit) {
			best = i
		}
	}
	if best >= 0 {
		s.racks[0], s.racks[best] = s.racks[best], s.racks[0]
		return true
	}
	if strict {
		return false
	}
	sort.Slice(s.racks, func(a, b int) bool {
		if s.racks[a].fit != s.racks[b].fit {
			return s.racks[a].fit > s.racks[b].fit
		}
		return s.racks[a].rack < s.racks[b].rack
	})
	return true
}

// startGang starts the waiting tasks on the racks in the scratch space.
func (c *Cell) startGang(j *job, plan *Plan) {
	s := &c.gangScratch
	for _, r := range s.racks {
		members := append([]int32(nil), c.racks[r.rack]...)
		sort.SliceStable(members, func(a, b int) bool { return s.fits[members[a]] > s.fits[members[b]] })
		for _, id := range members {
			w := c.workers[id]
			need := c.needOn(j, w)
			for range s.fits[id] {
				slot, ok := j.nextQueued()
				if !ok {
					return
				}
				plan.Starts = append(plan.Starts, c.start(taskRef{j, slot}, w, need))
			}
		}
	}
}
