package router

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// TestWaitingMatchesSortedList guards against a queue that serves a request other than the first, or sheds one other than
// the last, by urgency, deadline and arrival.
func TestWaitingMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := waitQueue{limit: 4}
		var sorted []*waiter
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				w := &waiter{
					urgency:  siskinv1.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")),
					deadline: time.Unix(int64(rapid.IntRange(0, 3).Draw(t, "deadline")), 0),
					index:    -1,
				}
				shed := q.push(w)
				sorted = append(sorted, w)
				slices.SortStableFunc(sorted, func(a, b *waiter) int {
					if before(a, b) {
						return -1
					}
					return 1
				})
				var want *waiter
				if len(sorted) > q.limit {
					want = sorted[q.limit]
					sorted = sorted[:q.limit]
				}
				assert.Assert(t, shed == want)
			case 2:
				var want *waiter
				if len(sorted) > 0 {
					want, sorted = sorted[0], sorted[1:]
				}
				assert.Assert(t, q.pop() == want)
			case 3:
				if len(sorted) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(sorted)-1).Draw(t, "i")
				assert.Assert(t, q.remove(sorted[i]))
				assert.Assert(t, !q.remove(sorted[i]))
				sorted = slices.Delete(sorted, i, i+1)
			}
		}
	})
}

// TestEjectionAndSlowStart guards against an endpoint that gets its full load immediately after an ejection for
// connection errors.
func TestEjectionAndSlowStart(t *testing.T) {
	now := time.Unix(0, 0)
	h := &health{}
	for range failuresToEject {
		assert.Equal(t, h.allowedCalls(4, 0, now), 4)
		h.failed(now)
	}
	assert.Equal(t, h.allowedCalls(4, 0, now), 0)
	now = now.Add(baseEjectionTime)
	for _, want := range []int{1, 2, 4} {
		assert.Equal(t, h.allowedCalls(4, 0, now), want)
		h.succeeded(4)
	}
	assert.Equal(t, h.allowedCalls(4, 0, now), 4)
}

// TestSlotsOfServiceChange guards against endpoints that keep the allowance of an earlier bundle.
func TestSlotsOfServiceChange(t *testing.T) {
	p := &pool{vm: "entry-0", zoneVMs: []string{"entry-0", "entry-1"}, clock: clock.NewFake(time.Unix(0, 0))}
	for _, slots := range []int32{8, 4, 12} {
		p.configure(&siskinv1.Service{Slots: slots})
		p.updateEndpoints([]infra.VM{{Name: "e"}})
		assert.Equal(t, p.endpoints[0].slots.allowance, int(slots)/2)
	}
}

// TestIdleUnreachableEndpointIsEjected guards against an unreachable endpoint that is ejected only after
// requests to it have failed.
func TestIdleUnreachableEndpointIsEjected(t *testing.T) {
	p := &pool{clock: clock.NewFake(time.Unix(0, 0)), endpoints: []*endpoint{{name: "e"}}}
	for range failuresToEject {
		assert.Assert(t, p.hasUsableEndpoint())
		p.recordUnreachable("e")
	}
	assert.Assert(t, !p.hasUsableEndpoint())
}

// TestFailureDuringSlowStartEjectsLonger guards against retrying an unreachable endpoint every second indefinitely.
func TestFailureDuringSlowStartEjectsLonger(t *testing.T) {
	now := time.Unix(0, 0)
	h := &health{}
	for range failuresToEject {
		h.failed(now)
	}
	now = now.Add(baseEjectionTime)
	h.failed(now)
	assert.Assert(t, h.ejected(now.Add(2*baseEjectionTime-1)))
	assert.Assert(t, !h.ejected(now.Add(2*baseEjectionTime)))
}
