package scheduler

import "sort"

// The queues of a team, by urgency. Normal work and work that can wait are merged by key.
const (
	queueUrgent = iota
	queueNormal
	queueCanWait
	queueCount
)

// compactAt is the length from which a queue is compacted when at least half of its entries are stale.
const compactAt = 64

// entry is a job's place in a queue. It is stale once the job's token has changed.
type entry struct {
	key   Time
	job   *job
	shape *shape
	token uint32
}

// jobQueue holds jobs in the order of keys. Stale entries are dropped lazily, so that a cancellation need not search
// the queue.
type jobQueue struct {
	entries []entry
	stale   int
	cursor  int
}

// enqueue adds a job with waiting tasks to its team's queue, unless it is already queued.
func (c *Cell) enqueue(j *job) {
	j.avoidBlockedAt = 0
	if j.enqueued || j.parked != WaitNone || j.cancelled || j.counts.Queued == 0 {
		return
	}
	at, key := j.queuePosition(c.options.Policies.Order)
	j.enqueued, j.queueIndex = true, at
	q := &j.team.queues[at]
	q.insert(entry{key: key, job: j, shape: j.shape, token: j.token})
}

// queuePosition returns the queue and the key of a job.
func (j *job) queuePosition(order Order) (at int, key Time) {
	switch {
	case j.raised:
		return queueUrgent, j.raisedAt
	case j.Urgency == Urgent:
		return queueUrgent, j.Accepted
	case j.Urgency == CanWait:
		return queueCanWait, order.Key(j.Accepted, true)
	default:
		return queueNormal, order.Key(j.Accepted, false)
	}
}

func (q *jobQueue) insert(e entry) {
	at := len(q.entries)
	if at > 0 && q.entries[at-1].key > e.key {
		at = sort.Search(len(q.entries), func(i int) bool { return q.entries[i].key > e.key })
	}
	q.entries = append(q.entries, entry{})
	copy(q.entries[at+1:], q.entries[at:])
	q.entries[at] = e
	if at < q.cursor {
		q.cursor++
	}
}

// dequeue removes a job from its queue by marking its entry as stale.
func (j *job) dequeue() {
	if !j.enqueued {
		return
	}
	j.enqueued = false
	j.token++
	j.team.queues[j.queueIndex].stale++
}

// rewind moves the cursor to the start of the queue, and compacts a queue with many stale entries.
func (q *jobQueue) rewind() {
	q.cursor = 0
	if q.stale == len(q.entries) {
		q.entries, q.stale = q.entries[:0], 0
		return
	}
	if len(q.entries) < compactAt || q.stale*2 < len(q.entries) {
		return
	}
	kept := q.entries[:0]
	for _, e := range q.entries {
		if e.job.token == e.token {
			kept = append(kept, e)
		}
	}
	clear(q.entries[len(kept):])
	q.entries, q.stale = kept, 0
	if cap(kept) > 4*max(len(kept), compactAt) {
		q.entries = append(make([]entry, 0, 2*len(kept)), kept...)
	}
}

// next returns the first entry at or after the cursor that may have a task to start.
func (q *jobQueue) next(capacityVersion uint64) *entry {
	for ; q.cursor < len(q.entries); q.cursor++ {
		e := &q.entries[q.cursor]
		if e.shape.blockedAt == capacityVersion || e.job.token != e.token || e.job.avoidBlockedAt == capacityVersion {
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
	if e := t.queues[queueUrgent].next(c.capacityVersion); e != nil {
		t.candidate, t.candidateQueue = e.job, queueUrgent
		return
	}
	normal := t.queues[queueNormal].next(c.capacityVersion)
	canWait := t.queues[queueCanWait].next(c.capacityVersion)
	switch {
	case normal != nil && (canWait == nil || normal.key <= canWait.key):
		t.candidate, t.candidateQueue = normal.job, queueNormal
	case canWait != nil:
		t.candidate, t.candidateQueue = canWait.job, queueCanWait
	default:
		t.exhausted = true
	}
}

// skipCandidate excludes the candidate of a team from the rest of this pass.
func (t *team) skipCandidate() {
	t.queues[t.candidateQueue].cursor++
	t.candidate = nil
}
