package schedules

import (
	"maps"
	"time"

	"siskinstack.example/siskinstack/standin"
)

// history is what happened in a schedule, as far as the checker needs it. The site's mu guards it, but for operating.
type history struct {
	// operating holds a token during a change of the bundle. A mutex would stop the bubble's time while one waits for it.
	operating chan struct{}

	ceilings []ceilingChange
	versions int64
	drains   []drained
	// unreachable is true if a worker was out of its owner's reach. Then a task that has ended there may be repeated, unless
	// it runs at most once.
	unreachable  bool
	failing      bool
	storeFaults  standin.StoreFaults
	workerFaults map[string]standin.WorkerFaults
}

// ceilingChange says that from a time on the ceilings may be in force, and no longer the earlier ones.
type ceilingChange struct {
	at    time.Time
	cores map[string]int64
}

// drained is the time from the answer to a drain until the request to return the zone.
type drained struct {
	zone  string
	from  time.Time
	until time.Time
}

func (h *history) addUnreachable(s *site) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.unreachable = true
}

func (h *history) addFailing(s *site) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.failing = true
}

func (h *history) drain(s *site, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.drains = append(h.drains, drained{zone: zone, from: time.Now()})
}

// undrain ends all drains of a zone, also those of overlapping faults.
func (h *history) undrain(s *site, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range h.drains {
		if h.drains[i].zone == zone && h.drains[i].until.IsZero() {
			h.drains[i].until = time.Now()
		}
	}
}

func (h *history) version(s *site) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.versions++
	return 1 + h.versions
}

// nextCeilings returns the last ceilings with one of them changed.
func (h *history) nextCeilings(s *site, team string, cores int64) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(h.ceilings[len(h.ceilings)-1].cores)
	next[team] = cores
	return next
}

// mayRaise notes that raised ceilings may be in force from now on; lowered ones count when the change is answered.
func (h *history) mayRaise(s *site, next map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	either := maps.Clone(h.ceilings[len(h.ceilings)-1].cores)
	for team, cores := range next {
		either[team] = max(either[team], cores)
	}
	h.ceilings = append(h.ceilings, ceilingChange{at: time.Now(), cores: either})
}

func (h *history) changed(s *site, next map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.ceilings = append(h.ceilings, ceilingChange{at: time.Now(), cores: next})
}

// allowed returns the highest ceiling of a team that may have been in force within the time before a moment.
func (h *history) allowed(team string, at time.Time, within time.Duration) int64 {
	var highest int64
	for i, change := range h.ceilings {
		ended := i+1 < len(h.ceilings) && h.ceilings[i+1].at.Before(at.Add(-within))
		if !ended && !change.at.After(at) {
			highest = max(highest, change.cores[team])
		}
	}
	return highest
}
