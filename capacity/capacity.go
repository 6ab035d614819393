// Package capacity models the cost of each role of the system at a given fleet size: state, messages, bytes, processor
// time and memory. It multiplies the size with unit costs (slopes) measured by the benchmarks of this package and of
// packages demo and entry; docs/CAPACITY.md names the command of each.
package capacity

// Size is the size and the load of a fleet.
type Size struct {
	Workers       float64
	Zones         float64
	ShardsPerZone float64
	EntryVMs      float64
	Teams         float64
	RunningTasks  float64
	// Endpoints is the number of endpoints in the fleet, Slots the number of slots of one endpoint.
	Endpoints float64
	Slots     float64
	// Starts is the number of task starts per second at the peak.
	Starts float64
	// JobsPerDay and TasksPerJob determine the number of ended tasks, which owners keep for a day.
	JobsPerDay  float64
	TasksPerJob float64
	// Requests is the number of requests per second at the peak; Forwarded and Claimed are the fractions that need
	// another hop or a claim.
	Requests  float64
	Forwarded float64
	Claimed   float64
	// Keys is the number of team keys, including withdrawn ones.
	Keys          float64
	ConfigChanges float64 // per day
	// VMChanges is the number of VMs that fail, restart or are replaced per day.
	VMChanges float64
}

// Today returns the size of one of the two present sites at its peak. The peak rates are those of the measured runs.
func Today() Size {
	return Size{
		Workers: 50, Zones: 3, ShardsPerZone: 1, EntryVMs: 6, Teams: 6, RunningTasks: 350, Endpoints: 50, Slots: 8,
		Starts: 484, JobsPerDay: 420, TasksPerJob: 100, Requests: 200, Forwarded: 2. / 3, Claimed: 0.25, Keys: 20,
		ConfigChanges: 10, VMChanges: 10,
	}
}

// Design returns the size of section 1.7 of the design. Assumptions where the section gives no value: 7 entry VMs,
// 100 tasks per job, 50 endpoints per zone, and 1,000 requests per second.
func Design() Size {
	return Size{
		Workers: 9800, Zones: 7, ShardsPerZone: 1, EntryVMs: 7, Teams: 45, RunningTasks: 70_000, Endpoints: 350, Slots: 8,
		Starts: 1600, JobsPerDay: 42_000, TasksPerJob: 100, Requests: 1000, Forwarded: 6. / 7, Claimed: 0.25, Keys: 2000,
		ConfigChanges: 4500, VMChanges: 1863,
	}
}

// Scaled returns the size with n times the load: workers, tasks, starts, jobs, endpoints, requests, keys and changes.
// The numbers of zones, entry VMs and teams stay the same.
func (s Size) Scaled(n float64) Size {
	s.Workers *= n
	s.RunningTasks *= n
	s.Endpoints *= n
	s.Starts *= n
	s.JobsPerDay *= n
	s.Requests *= n
	s.Keys *= n
	s.ConfigChanges *= n
	s.VMChanges *= n
	return s
}

// Shards returns the number of shards of the fleet.
func (s Size) Shards() float64 { return s.Zones * s.ShardsPerZone }

// KeptPerShard returns the number of ended tasks that a shard keeps.
func (s Size) KeptPerShard() float64 { return s.JobsPerDay * s.TasksPerJob / s.Shards() }

// renewSeconds returns the time between two renewals of a worker with tasks; see renewInterval in package owner.
func (s Size) renewSeconds() float64 {
	const spacing, shortest, longest = 0.005, 0.5, 5
	return min(max(s.Workers/s.Shards()*spacing, shortest), longest)
}

// Figure is one result of the model.
type Figure struct {
	Role  string
	What  string
	Value float64
	Unit  string
	// Budget is 0 if the figure has none.
	Budget float64
	// Control is true if the figure counts as control overhead of a node.
	Control bool
	// Mechanism names what causes the cost, with its package.
	Mechanism string
}

// Headroom returns the budget divided by the value, or 0 if either is 0. Below 1, the figure is over budget.
func (f Figure) Headroom() float64 {
	if f.Budget == 0 || f.Value == 0 {
		return 0
	}
	return f.Budget / f.Value
}

// ScaleLimit returns the factor by which the fleet can grow before the i-th figure exceeds its budget. It returns 0 if
// the figure has no budget, or one of NeverReached, AlwaysExceeded and FallsWithSize.
func ScaleLimit(size Size, slopes Slopes, i int) float64 {
	within := func(n float64) bool {
		f := Figures(size.Scaled(n), slopes)[i]
		return f.Value <= f.Budget
	}
	if Figures(size, slopes)[i].Budget == 0 {
		return 0
	}
	low, high := 1./NeverReached, float64(NeverReached)
	switch {
	case within(high) && !within(1):
		return FallsWithSize
	case within(high):
		return NeverReached
	case !within(low):
		return AlwaysExceeded
	}
	for range 40 {
		middle := (low + high) / 2
		if within(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Special results of ScaleLimit.
const (
	// NeverReached means that the figure is within its budget at this multiple of the fleet, the largest that is examined.
	NeverReached = 1000
	// AlwaysExceeded means that the figure is over its budget whatever the number of VMs and tasks.
	AlwaysExceeded = -1
	// FallsWithSize means that the figure is over its budget at this size and within it in a much larger fleet.
	FallsWithSize = -2
)
