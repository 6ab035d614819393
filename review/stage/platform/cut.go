package main

import (
	"time"
)

func init() { cases["6"] = playCut }

// cutFor is how long the zone is cut off; the site file's largest dose of zone_cut with refuse is 5.5 s.
const cutFor = 5500 * time.Millisecond

// playCut partitions the zone of the node that gives the orders from the other zones, while a job of tasks that last runs
// in that zone and nothing else is to be done. All nodes reach the store.
func playCut(s *stage, trouble bool) bool {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var places []place
	for _, zone := range zones {
		for _, n := range []string{"1", "2"} {
			places = append(places, place{id: "i-" + zone + n, zone: zone, kind: "a", rack: "rack-" + zone, milliCPU: 64000})
		}
	}
	s.linked = true
	s.build(zones, places)
	s.submit(s.nodes[0], "00000000000000a1", "work 300", step{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 300})
	s.await("first job completed", 15*time.Second, func() bool { return s.state(s.nodes[0], "00000000000000a1") == "completed" })
	leader := s.runsOf("00000000000000a1")[0].node
	const job = "00000000000000a2"
	s.submit(s.nodes[leader], job, "serve", step{
		Count: 4, CPU: 4000, MemMB: 1000, LongRunning: true, Affinity: "rack-" + zones[leader],
	})
	s.await("tasks that last are at work", 15*time.Second, func() bool { return s.activeOf(job) == 4 })
	time.Sleep(3 * time.Second)
	if trouble {
		s.cutZone(leader, true)
		time.Sleep(cutFor)
		s.cutZone(leader, false)
	} else {
		time.Sleep(cutFor)
	}
	time.Sleep(10 * time.Second)
	return s.ranTwice(job)
}

// cutZone partitions the zone of a node from the others, or ends that.
func (s *stage) cutZone(zone int, cut bool) {
	s.record("zone cut", "zone", s.nodes[zone].zone, "cut", cut)
	for pair, l := range s.links {
		if pair[0] == zone || pair[1] == zone {
			if cut {
				l.refuse()
			} else {
				l.open()
			}
		}
	}
	for _, r := range s.runners {
		for _, n := range s.nodes {
			if (r.zone == s.nodes[zone].zone) == (n.index == zone) {
				continue
			}
			if cut {
				r.unlisten(n.index)
			} else {
				r.listen(n.index)
			}
		}
	}
}

// ranTwice reports whether two runs of a task of a job were active at the same time.
func (s *stage) ranTwice(job string) bool {
	runs, twice := s.runsOf(job), false
	endOf := func(r span) time.Time {
		if r.ended.IsZero() {
			return time.Now()
		}
		return r.ended
	}
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task || a.runner == b.runner {
				continue
			}
			begun, ended := b.begun, endOf(a)
			if endOf(b).Before(ended) {
				ended = endOf(b)
			}
			if a.begun.After(begun) {
				begun = a.begun
			}
			if both := ended.Sub(begun); both > 0 {
				s.record("TWICE", "task", a.task, "runs", [2]int32{a.run, b.run}, "runners", a.runner+","+b.runner,
					"at-once-ms", both.Milliseconds())
				twice = true
			}
		}
	}
	return twice
}
