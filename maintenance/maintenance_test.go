package maintenance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinstack.example/siskinstack/infra"
	_ "siskinstack.example/siskinstack/testseed"
)

// testDowntime is the minimum duration of a maintenance.
const testDowntime = time.Second

// fakePlatform records which machines are up and how often each was maintained.
type fakePlatform struct {
	up         map[string]bool
	maintained map[string]int
}

func newFakePlatform(machines []string) *fakePlatform {
	p := &fakePlatform{up: map[string]bool{}, maintained: map[string]int{}}
	for _, m := range machines {
		p.up[m] = true
	}
	return p
}

func (p *fakePlatform) list() []infra.Machine {
	var machines []infra.Machine
	for name, up := range p.up {
		machines = append(machines, infra.Machine{Name: name, Worker: "w-" + name, Up: up})
	}
	return machines
}

// order carries out a maintenance order and reports success. A repeated order succeeds without effect.
func (p *fakePlatform) order(machine string) bool {
	if p.maintained[machine] > 0 {
		return true
	}
	if !p.up[machine] {
		return false
	}
	p.maintained[machine]++
	p.up[machine] = false
	return true
}

func (p *fakePlatform) down() int {
	n := 0
	for _, up := range p.up {
		if !up {
			n++
		}
	}
	return n
}

func names(n int) []string {
	var machines []string
	for i := range n {
		machines = append(machines, fmt.Sprintf("m%d", i))
	}
	return machines
}

// Guards against more machines down than the wave allows, against a machine that is skipped, and against a wave that
// completes too early or never. Answers are lost, controllers are replaced, machines disappear, and drains take time.
func TestWaveKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := names(rapid.IntRange(1, 8).Draw(t, "machines"))
		wave := Wave{
			Number: 1, Machines: machines, AtOnce: rapid.IntRange(0, 3).Draw(t, "at once"), Within: 20 * time.Second,
		}
		p := newFakePlatform(machines)
		tracker, recorded, recordedDone := NewTracker(wave, testDowntime, nil, nil), []string(nil), []string(nil)
		now := time.Unix(0, 0)
		for round := 0; !tracker.Finished(); round++ {
			assert.Assert(t, round < 500, "the wave does not complete")
			faultFree := round > 60 // faults end, so that the wave can complete
			now = now.Add(400 * time.Millisecond)
			for _, m := range machines {
				if up, exists := p.up[m]; exists && !up && (faultFree || rapid.Bool().Draw(t, "returns")) {
					p.up[m] = true
				}
			}
			if !faultFree && rapid.IntRange(0, 30).Draw(t, "vanishes") == 0 {
				delete(p.up, rapid.SampledFrom(machines).Draw(t, "which"))
			}
			if !faultFree && rapid.IntRange(0, 10).Draw(t, "controller changes") == 0 {
				tracker = NewTracker(wave, testDowntime, recorded, recordedDone)
			}
			tracker.Observe(now, p.list())
			tracker.Drain(now)
			isEmpty := func(string, bool) bool { return faultFree || rapid.Bool().Draw(t, "empty") }
			tracker.ResumeOrders(now, isEmpty)
			next := tracker.ReadyToOrder(now, isEmpty)
			recorded, recordedDone = append(tracker.AllOrdered(), next...), tracker.AllDone()
			for _, m := range next {
				tracker.Ordered(m)
			}
			for _, m := range tracker.Unconfirmed() {
				lost := !faultFree && rapid.IntRange(0, 3).Draw(t, "answer lost") == 0
				if p.order(m) && !lost {
					tracker.Confirmed(now, m)
				}
			}
			assert.Assert(t, p.down() <= max(wave.AtOnce, 1), "%d machines down", p.down())
		}
		for _, m := range machines {
			if _, stays := p.up[m]; stays {
				assert.Equal(t, p.maintained[m], 1, "machine %s", m)
			}
		}
	})
}

// Guards against a wave that waits indefinitely for tasks to finish, and against one that gives them no time.
func TestTasksHaveTimeToFinish(t *testing.T) {
	tracker := NewTracker(Wave{Number: 1, Machines: names(2), AtOnce: 1, Within: 20 * time.Second}, testDowntime, nil, nil)
	p := newFakePlatform(names(2))
	began := time.Unix(0, 0)
	tracker.Observe(began, p.list())
	assert.DeepEqual(t, tracker.Drain(began), []string{"w-m0"})
	emptyIfForced := func(_ string, forced bool) bool { return forced }
	assert.Equal(t, len(tracker.ReadyToOrder(began.Add(4*time.Second), emptyIfForced)), 0)
	assert.DeepEqual(t, tracker.ReadyToOrder(began.Add(6*time.Second), emptyIfForced), []string{"m0"})
}

// Guards against ending tasks of a service beyond its limit: the orders of a controller that was killed before it sent them
// were sent by the next one, which had started tasks on these machines meanwhile (review/9).
func TestOrdersOfAnEarlierControllerWaitForEmptyWorkers(t *testing.T) {
	wave := Wave{Number: 1, Machines: names(4), AtOnce: 2, Within: 20 * time.Second}
	tracker := NewTracker(wave, testDowntime, []string{"m0", "m1", "m2"}, []string{"m2"})
	p := newFakePlatform(names(4))
	now := time.Unix(0, 0)
	tracker.Observe(now, p.list())
	assert.Equal(t, len(tracker.Unconfirmed()), 0, "an order is sent before the worker is drained")
	assert.DeepEqual(t, tracker.Drain(now), []string{"w-m0", "w-m1"})
	tracker.ResumeOrders(now, func(worker string, _ bool) bool { return worker == "w-m1" })
	assert.DeepEqual(t, tracker.Unconfirmed(), []string{"m1"})
	assert.DeepEqual(t, tracker.AllOrdered(), []string{"m0", "m1", "m2"})
	tracker.Confirmed(now, "m1")
	p.up["m0"] = false // its order was carried out after all
	tracker.Observe(now, p.list())
	assert.DeepEqual(t, tracker.Unconfirmed(), []string{"m0"})
	assert.Equal(t, len(tracker.Drain(now)), 0, "more machines are drained than may be down")
}

// Guards against draining a second machine because a stale list still shows the first one as up.
func TestStaleListDoesNotEndMaintenance(t *testing.T) {
	tracker := NewTracker(Wave{Number: 1, Machines: names(2), AtOnce: 1, Within: 20 * time.Second}, testDowntime, nil, nil)
	stale := newFakePlatform(names(2)).list()
	now := time.Unix(0, 0)
	tracker.Observe(now, stale)
	tracker.Drain(now)
	tracker.Ordered("m0")
	tracker.Confirmed(now, "m0")
	tracker.Observe(now.Add(testDowntime/2), stale)
	assert.Equal(t, len(tracker.Drain(now.Add(testDowntime/2))), 0)
	tracker.Observe(now.Add(testDowntime), stale)
	assert.DeepEqual(t, tracker.Drain(now.Add(testDowntime)), []string{"w-m1"})
}
