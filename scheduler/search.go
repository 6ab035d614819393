package scheduler

import "siskinstack.example/siskinstack/resource"

// maxFailedSearches bounds the number of remembered needs for which no worker was found.
const maxFailedSearches = 16

// shapeKey identifies tasks that fit on the same workers.
type shapeKey struct {
	declared resource.Vector
	class    *usageClass
	service  bool
}

// shape is shared by all jobs whose tasks fit on the same workers: one failed search holds for all of them.
type shape struct {
	shapeKey
	refs int
	// waiting is the number of queued tasks whose jobs are not parked.
	waiting int
	// learned is the learned size, at most the team's limit.
	learned resource.Vector
	// need is the allocation of a task on the largest worker.
	need resource.Vector
	// version and topologyVersion are those of the class and the cell for which need was computed.
	version         uint64
	topologyVersion uint64
	// blockedAt is the capacity version at which no worker was found.
	blockedAt uint64
}

func (c *Cell) shapeOf(j *job) *shape {
	key := shapeKey{declared: j.Each, class: j.class, service: j.Kind == Service}
	s, ok := c.shapes[key]
	if !ok {
		s = &shape{shapeKey: key}
		c.shapes[key] = s
	}
	s.refs++
	return s
}

func (c *Cell) releaseShape(s *shape) {
	s.refs--
	if s.refs == 0 {
		delete(c.shapes, s.shapeKey)
	}
}

// refreshShape recomputes the need of a shape after the learned size, the workers or the limits have changed.
func (c *Cell) refreshShape(s *shape, t *team) {
	if s.version == s.class.version && s.topologyVersion == c.topologyVersion {
		return
	}
	s.version, s.topologyVersion = s.class.version, c.topologyVersion
	s.learned = s.class.size()
	if t.known {
		s.learned = s.learned.Min(t.Limit)
	}
	s.need = c.options.Policies.Filter.Need(s.declared, s.learned, c.index.scale)
	s.blockedAt = 0
}

// failedSearches caches the needs for which no worker has been found at the current capacity version.
type failedSearches struct {
	capacityVersion uint64
	needs           []resource.Vector
}

// cover reports whether a search for the same or a smaller need has failed at this capacity version.
func (f *failedSearches) cover(capacityVersion uint64, need resource.Vector) bool {
	if f.capacityVersion != capacityVersion {
		f.capacityVersion = capacityVersion
		f.needs = f.needs[:0]
	}
	for _, failed := range f.needs {
		if failed.Fits(need) {
			return true
		}
	}
	return false
}

func (f *failedSearches) add(need resource.Vector) {
	if len(f.needs) < maxFailedSearches {
		f.needs = append(f.needs, need)
	}
}

// findBest returns the worker with the best score for a shape and the allocation of the task there, or -1.
func (c *Cell) findBest(s *shape, t *team, avoid int32) (int32, resource.Vector) {
	if !c.failed.cover(c.capacityVersion, s.need) {
		if id := c.index.find(c.options.Policies.Score, s.need, avoid); id >= 0 {
			return id, s.need
		}
		if avoid < 0 {
			c.failed.add(s.need)
		}
	}
	return c.findSmaller(s, t, avoid)
}

// findSmaller searches the workers whose capacity is below the learned size, on which the task gets a smaller allocation.
func (c *Cell) findSmaller(s *shape, t *team, avoid int32) (int32, resource.Vector) {
	if s.need == s.declared || c.failed.cover(c.capacityVersion, s.declared) {
		return -1, resource.Vector{}
	}
	best, bestNeed, bestScore := int32(-1), resource.Vector{}, 0.0
	for _, w := range c.workers {
		if w == nil || w.id == avoid || c.index.bucket[w.id] == notIndexed {
			continue
		}
		need := c.options.Policies.Filter.Need(s.declared, s.learned, w.Capacity)
		if need == s.need || !need.Fits(c.index.free[w.id]) || !c.permits(t, need) {
			continue
		}
		score := c.options.Policies.Score.Score(c.index.free[w.id], need, c.index.scale)
		if best < 0 || score < bestScore {
			best, bestNeed, bestScore = w.id, need, score
		}
	}
	return best, bestNeed
}
