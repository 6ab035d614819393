package schedules

import (
	"maps"
	"time"

	"siskinstack.example/siskinstack/standin"
)

// history holds the events of a schedule that the checker needs. The site's mu guards all fields except bundleChange.
type history struct {
	// bundleChange holds a token during a bundle change. With a mutex, a waiter would stop the synctest bubble's time.
	bundleChange chan struct{}

	ceilings []ceilingChange
	versions int64
	drains   []drainPeriod
	// unreachable is true if any owner may have been unable to reach a worker. Then a task that has ended on the worker
	// may run again, unless it is at-most-once.
	unreachable  bool
	failing      bool
	storeFaults  standin.StoreFaults
	workerFaults map[string]standin.WorkerFaults
}

// ceilingChange records the time from which the given ceilings, and no earlier ones, may be in force.
type ceilingChange struct {
	at    time.Time
	cores map[string]int64
}

// drainPeriod is the time from the acknowledgement of a drain until the request to return the zone.
type drainPeriod struct {
	zone  string
	from  time.Time
	until time.Time
}

func (h *history) markUnreachable(s *site) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.unreachable = true
}

func (h *history) markFailing(s *site) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.failing = true
}

func (h *history) beginDrain(s *site, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.drains = append(h.drains, drainPeriod{zone: zone, from: time.Now()})
}

// endDrain ends all drains of a zone, including those of overlapping faults.
func (h *history) endDrain(s *site, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range h.drains {
		if h.drains[i].zone == zone && h.drains[i].until.IsZero() {
			h.drains[i].until = time.Now()
		}
	}
}

func (h *history) nextVersion(s *site) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.versions++
	return 1 + h.versions
}

// nextCeilings returns the latest ceilings with one of them changed.
func (h *history) nextCeilings(s *site, team string, cores int64) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(h.ceilings[len(h.ceilings)-1].cores)
	next[team] = cores
	return next
}

// beginCeilingChange records that raised ceilings may be in force from now on. Lowered ones count from endCeilingChange.
func (h *history) beginCeilingChange(s *site, next map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	either := maps.Clone(h.ceilings[len(h.ceilings)-1].cores)
	for team, cores := range next {
		either[team] = max(either[team], cores)
	}
	h.ceilings = append(h.ceilings, ceilingChange{at: time.Now(), cores: either})
}

func (h *history) endCeilingChange(s *site, next map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.ceilings = append(h.ceilings, ceilingChange{at: time.Now(), cores: next})
}

// maxCeiling returns the highest ceiling of a team that may have been in force at any time in the given period before at.
func (h *history) maxCeiling(team string, at time.Time, within time.Duration) int64 {
	var highest int64
	for i, change := range h.ceilings {
		ended := i+1 < len(h.ceilings) && h.ceilings[i+1].at.Before(at.Add(-within))
		if !ended && !change.at.After(at) {
			highest = max(highest, change.cores[team])
		}
	}
	return highest
}
