package router

import (
	"cmp"
	"container/heap"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// waiter is a request that waits for a slot.
type waiter struct {
	urgency  siskinv1.Urgency
	deadline time.Time
	// sequence is the order of arrival while the waiter is queued, and the identifier of its call once it is granted.
	sequence uint64
	// index is the position in the heap, or -1 while the waiter is not in it.
	index int
	// ready is closed when the waiter gets an endpoint, set in granted, or is shed.
	ready   chan struct{}
	granted *endpoint
	shed    bool
}

// waitQueue is a bounded queue ordered by urgency, then deadline, then arrival. The lock of the pool guards it.
type waitQueue struct {
	limit    int
	sequence uint64
	items    waiterHeap
}

// push adds w and returns the waiter that is shed: none (nil), w itself, or one that would be served after w.
func (q *waitQueue) push(w *waiter) *waiter {
	q.sequence++
	w.sequence = q.sequence
	if len(q.items) < q.limit {
		heap.Push(&q.items, w)
		return nil
	}
	last := q.last()
	if last == nil || !before(w, last) {
		return w
	}
	heap.Remove(&q.items, last.index)
	heap.Push(&q.items, w)
	return last
}

// last returns the waiter that would be served last. The scan is bounded by the limit and runs only when the queue is
// full.
func (q *waitQueue) last() *waiter {
	var last *waiter
	for _, w := range q.items {
		if last == nil || before(last, w) {
			last = w
		}
	}
	return last
}

func (q *waitQueue) pop() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	return heap.Pop(&q.items).(*waiter)
}

// remove removes w and reports whether it was still waiting.
func (q *waitQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.items, w.index)
	return true
}

func before(a, b *waiter) bool {
	if c := cmp.Compare(rank(a.urgency), rank(b.urgency)); c != 0 {
		return c < 0
	}
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c < 0
	}
	return a.sequence < b.sequence
}

// rank returns the urgency to order by; an unspecified one counts as normal.
func rank(u siskinv1.Urgency) siskinv1.Urgency {
	if u == siskinv1.Urgency_URGENCY_UNSPECIFIED {
		return siskinv1.Urgency_URGENCY_NORMAL
	}
	return u
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return before(h[i], h[j]) }
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
