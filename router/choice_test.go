package router

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// event is the end of a call, or a read of the loads of all endpoints by one VM.
type event struct {
	at       time.Duration
	started  time.Duration
	vm       int
	endpoint int
	readLoad bool
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulate sends requests through 3 VMs to 17 endpoints with 8 slots, the size of one zone of the example site jadeleaf.
// A request takes 20 ms on average at an endpoint with 8 calls in flight, and less with fewer; every fourth endpoint is
// half as fast. If broken is set, endpoint 1 answers immediately, as an endpoint that fails every request does; if uneven
// is set, four of five requests come through VM 0. It returns the response times and the number of requests that
// endpoint 1 got.
func simulate(choose selector, load float64, broken, uneven bool, seed uint64) (times []time.Duration, atEndpoint1 int) {
	const vms, endpoints, requests = 3, 17, 60_000
	random := rand.New(rand.NewPCG(seed, 0))
	tables := make([][]*endpoint, vms)
	for vm := range tables {
		for range endpoints {
			tables[vm] = append(tables[vm], &endpoint{})
		}
	}
	busy := make([]int, endpoints)
	events := &eventHeap{}
	for vm := range vms {
		heap.Push(events, event{at: time.Duration(vm) * loadInterval / vms, vm: vm, readLoad: true})
	}
	arrival := time.Duration(0)
	gap := 20 * time.Millisecond.Seconds() / (load * endpoints * 8)
	for len(times) < requests {
		arrival += time.Duration(random.ExpFloat64() * gap * float64(time.Second))
		for (*events)[0].at <= arrival {
			e := heap.Pop(events).(event)
			if e.readLoad {
				for i, known := range tables[e.vm] {
					known.othersInFlight = busy[i] - known.slots.inFlight
				}
				e.at += loadInterval
				heap.Push(events, e)
				continue
			}
			busy[e.endpoint]--
			tables[e.vm][e.endpoint].slots.inFlight--
			times = append(times, e.at-e.started)
		}
		vm := random.IntN(vms)
		if uneven && random.IntN(5) > 0 {
			vm = 0
		}
		chosen := slices.Index(tables[vm], choose(random, tables[vm]))
		busy[chosen]++
		tables[vm][chosen].slots.inFlight++
		slow := 1 + float64(busy[chosen])/8
		if chosen%4 == 0 {
			slow *= 2
		}
		if chosen == 1 {
			atEndpoint1++
			if broken {
				slow = 0.01
			}
		}
		duration := time.Duration(random.ExpFloat64() * slow * float64(10*time.Millisecond))
		heap.Push(events, event{at: arrival + duration, started: arrival, vm: vm, endpoint: chosen})
	}
	return times, atEndpoint1
}

func randomChoice(random *rand.Rand, candidates []*endpoint) *endpoint {
	return candidates[random.IntN(len(candidates))]
}

// ownLeastLoaded picks the least loaded endpoint by own calls alone; ties are broken at random.
func ownLeastLoaded(random *rand.Rand, candidates []*endpoint) *endpoint {
	start := random.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		if e := candidates[(start+i)%len(candidates)]; e.slots.inFlight < best.slots.inFlight {
			best = e
		}
	}
	return best
}

// allLeastLoaded picks the least loaded endpoint by own calls plus reported load.
func allLeastLoaded(_ *rand.Rand, candidates []*endpoint) *endpoint {
	return slices.MinFunc(candidates, func(a, b *endpoint) int { return a.load() - b.load() })
}

// ownTwoChoices picks the less loaded of two random endpoints by own calls alone.
func ownTwoChoices(random *rand.Rand, candidates []*endpoint) *endpoint {
	a, b := randomChoice(random, candidates), randomChoice(random, candidates)
	if b.slots.inFlight < a.slots.inFlight {
		return b
	}
	return a
}

// BenchmarkChoice compares the alternatives of docs/policies/endpoint-choice.md in simulated time.
func BenchmarkChoice(b *testing.B) {
	for _, setting := range []struct {
		name           string
		load           float64
		broken, uneven bool
	}{{"load=0.5", 0.5, false, false}, {"load=0.85", 0.85, false, false}, {"uneven", 0.7, false, true}, {"broken", 0.7, true, false}} {
		for _, c := range []struct {
			name   string
			choose selector
		}{{"random", randomChoice}, {"own-least", ownLeastLoaded}, {"own-two", ownTwoChoices}, {"all-least", allLeastLoaded}, {"two-reported", powerOfTwoChoices}} {
			b.Run(setting.name+"/"+c.name, func(b *testing.B) {
				var times []time.Duration
				atEndpoint1 := 0
				for seed := uint64(1); b.Loop(); seed++ {
					some, n := simulate(c.choose, setting.load, setting.broken, setting.uneven, seed)
					times, atEndpoint1 = append(times, some...), atEndpoint1+n
				}
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
				b.ReportMetric(100*float64(atEndpoint1)/float64(len(times)), "%-at-endpoint-1")
			})
		}
	}
}
