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

// TestWaitingMatchesSortedList guards against a queue that serves or sheds another request than the first or last by
// urgency, deadline and arrival.
func TestWaitingMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := waitQueue{limit: 4}
		var naive []*waiter
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				w := &waiter{
					urgency:  siskinv1.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")),
					deadline: time.Unix(int64(rapid.IntRange(0, 3).Draw(t, "deadline")), 0),
					index:    -1,
				}
				shed := q.push(w)
				naive = append(naive, w)
				slices.SortStableFunc(naive, func(a, b *waiter) int {
					if before(a, b) {
						return -1
					}
					return 1
				})
				var want *waiter
				if len(naive) > q.limit {
					want = naive[q.limit]
					naive = naive[:q.limit]
				}
				assert.Assert(t, shed == want)
			case 2:
				var want *waiter
				if len(naive) > 0 {
					want, naive = naive[0], naive[1:]
				}
				assert.Assert(t, q.pop() == want)
			case 3:
				if len(naive) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(naive)-1).Draw(t, "i")
				assert.Assert(t, q.remove(naive[i]))
				assert.Assert(t, !q.remove(naive[i]))
				naive = slices.Delete(naive, i, i+1)
			}
		}
	})
}

// TestEjectionAndSlowStart guards against an endpoint that gets its full load at once after connection errors.
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

// TestSlotsOfServiceChange guards against endpoints that keep the allowance of a former bundle.
func TestSlotsOfServiceChange(t *testing.T) {
	p := &pool{vm: "entry-0", zoneVMs: []string{"entry-0", "entry-1"}, clock: clock.NewFake(time.Unix(0, 0))}
	for _, slots := range []int32{8, 4, 12} {
		p.configure(&siskinv1.Service{Slots: slots})
		p.updateEndpoints([]infra.VM{{Name: "e"}})
		assert.Equal(t, p.endpoints[0].slots.allowance, int(slots)/2)
	}
}

// TestIdleUnreachableEndpointIsEjected guards against a dead endpoint that is found only at the cost of requests.
func TestIdleUnreachableEndpointIsEjected(t *testing.T) {
	p := &pool{clock: clock.NewFake(time.Unix(0, 0)), endpoints: []*endpoint{{name: "e"}}}
	for range failuresToEject {
		assert.Assert(t, p.hasUsableEndpoint())
		p.recordUnreachable("e")
	}
	assert.Assert(t, !p.hasUsableEndpoint())
}

// TestFailureDuringSlowStartEjectsLonger guards against probing a dead endpoint every second for ever.
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
