package scheduler

import "sort"

// The lanes of a team's queue. Normal work and work that can wait are merged by key.
const (
	laneUrgent = iota
	laneNormal
	laneCanWait
	lanes
)

// compactAt is the length from which a lane with a majority of dead entries is rewritten.
const compactAt = 64

// entry is a job's place in a lane. It is dead once the job's token has changed.
type entry struct {
	key   Time
	job   *job
	shape *shape
	token uint32
}

// lane is a queue in the order of keys. Dead entries are dropped lazily, so that a cancellation costs nothing here.
type lane struct {
	entries []entry
	dead    int
	cursor  int
}

// enqueue puts a job with waiting tasks into its team's queue, unless it is there already.
func (c *Cell) enqueue(j *job) {
	j.avoidBlockedAt = 0
	if j.inLane || j.parked != WaitNone || j.cancelled || j.counts.Queued == 0 {
		return
	}
	at, key := j.place(c.options.Policies.Order)
	j.inLane, j.lane = true, at
	l := &j.team.lanes[at]
	l.insert(entry{key: key, job: j, shape: j.shape, token: j.token})
}

// place returns the lane and the key of a job.
func (j *job) place(order Order) (at int, key Time) {
	switch {
	case j.raised:
		return laneUrgent, j.raisedAt
	case j.Urgency == Urgent:
		return laneUrgent, j.Accepted
	case j.Urgency == CanWait:
		return laneCanWait, order.Key(j.Accepted, true)
	default:
		return laneNormal, order.Key(j.Accepted, false)
	}
}

func (l *lane) insert(e entry) {
	at := len(l.entries)
	if at > 0 && l.entries[at-1].key > e.key {
		at = sort.Search(len(l.entries), func(i int) bool { return l.entries[i].key > e.key })
	}
	l.entries = append(l.entries, entry{})
	copy(l.entries[at+1:], l.entries[at:])
	l.entries[at] = e
	if at < l.cursor {
		l.cursor++
	}
}

// dequeue takes a job out of its lane by making its entry dead.
func (j *job) dequeue() {
	if !j.inLane {
		return
	}
	j.inLane = false
	j.token++
	j.team.lanes[j.lane].dead++
}

// rewind starts a new pass over the lane.
func (l *lane) rewind() {
	l.cursor = 0
	if l.dead == len(l.entries) {
		l.entries, l.dead = l.entries[:0], 0
		return
	}
	if len(l.entries) < compactAt || l.dead*2 < len(l.entries) {
		return
	}
	kept := l.entries[:0]
	for _, e := range l.entries {
		if e.job.token == e.token {
			kept = append(kept, e)
		}
	}
	clear(l.entries[len(kept):])
	l.entries, l.dead = kept, 0
	if cap(kept) > 4*max(len(kept), compactAt) {
		l.entries = append(make([]entry, 0, 2*len(kept)), kept...)
	}
}

// next returns the first entry at or after the cursor that may have a startable task.
func (l *lane) next(capacity uint64) *entry {
	for ; l.cursor < len(l.entries); l.cursor++ {
		e := &l.entries[l.cursor]
		if e.shape.blockedAt == capacity || e.job.token != e.token || e.job.avoidBlockedAt == capacity {
			continue
		}
		if e.job.counts.Queued == 0 {
			e.job.dequeue()
			continue
		}
		return e
	}
	return nil
}

// nextCandidate sets the candidate of a team to its next job in order.
func (c *Cell) nextCandidate(t *team) {
	t.candidate = nil
	if e := t.lanes[laneUrgent].next(c.capacity); e != nil {
		t.candidate, t.lane = e.job, laneUrgent
		return
	}
	normal := t.lanes[laneNormal].next(c.capacity)
	canWait := t.lanes[laneCanWait].next(c.capacity)
	switch {
	case normal != nil && (canWait == nil || normal.key <= canWait.key):
		t.candidate, t.lane = normal.job, laneNormal
	case canWait != nil:
		t.candidate, t.lane = canWait.job, laneCanWait
	default:
		t.exhausted = true
	}
}

// skipCandidate leaves the candidate of a team for this pass.
func (t *team) skipCandidate() {
	t.lanes[t.lane].cursor++
	t.candidate = nil
}
