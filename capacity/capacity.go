// Package capacity works out what each role of the system costs at a given size of the fleet: state, messages, bytes,
// processor time and memory. It multiplies slopes that the benchmarks of this package and of packages demo and entry
// measure; docs/CAPACITY.md names the command of each.
package capacity

// Size is a fleet with its load.
type Size struct {
	Workers       float64
	Zones         float64
	ShardsPerZone float64
	EntryVMs      float64
	Teams         float64
	RunningTasks  float64
	// Endpoints and Slots are of the whole fleet and of one endpoint.
	Endpoints float64
	Slots     float64
	// Starts is the task starts a second at the peak.
	Starts float64
	// JobsPerDay and TasksPerJob give the ended tasks that owners keep for a day.
	JobsPerDay  float64
	TasksPerJob float64
	// Requests is the requests a second at the peak; Forwarded and Claimed are the parts of them that need another hop or
	// a claim.
	Requests  float64
	Forwarded float64
	Claimed   float64
	// Keys is the team keys, withdrawn ones included.
	Keys          float64
	ConfigChanges float64 // a day
	// VMChanges is the VMs that fail, restart or are replaced in a day.
	VMChanges float64
}

// Today is one of the two sites at its peak. The peak rates are those of the measured runs.
func Today() Size {
	return Size{
		Workers: 50, Zones: 3, ShardsPerZone: 1, EntryVMs: 6, Teams: 6, RunningTasks: 350, Endpoints: 50, Slots: 8,
		Starts: 484, JobsPerDay: 420, TasksPerJob: 100, Requests: 200, Forwarded: 2. / 3, Claimed: 0.25, Keys: 20,
		ConfigChanges: 10, VMChanges: 10,
	}
}

// Design is the size of section 1.7 of the design. What the section leaves open is an assumption: 7 entry VMs, 100 tasks
// in a job, 50 endpoints in a zone, and 1,000 requests a second.
func Design() Size {
	return Size{
		Workers: 9800, Zones: 7, ShardsPerZone: 1, EntryVMs: 7, Teams: 45, RunningTasks: 70_000, Endpoints: 350, Slots: 8,
		Starts: 1600, JobsPerDay: 42_000, TasksPerJob: 100, Requests: 1000, Forwarded: 6. / 7, Claimed: 0.25, Keys: 2000,
		ConfigChanges: 4500, VMChanges: 1863,
	}
}

// Scaled returns the fleet with n times the workers, tasks, jobs, endpoints and requests. Zones, entry VMs and teams stay.
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

// Shards is the number of shards of the fleet.
func (s Size) Shards() float64 { return s.Zones * s.ShardsPerZone }

// KeptPerShard is the number of ended tasks that a shard keeps.
func (s Size) KeptPerShard() float64 { return s.JobsPerDay * s.TasksPerJob / s.Shards() }

// renewSeconds is the time between two renewals of a worker with tasks: see renewInterval in package owner.
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
	// Budget is 0 if there is none.
	Budget float64
	// Control says that the figure counts as control overhead of a node.
	Control bool
	// Mechanism is what causes the cost, with its package.
	Mechanism string
}

// Headroom is how often the value fits into the budget; below 1 the figure is over budget.
func (f Figure) Headroom() float64 {
	if f.Budget == 0 || f.Value == 0 {
		return 0
	}
	return f.Budget / f.Value
}

// Breaks returns the factor by which the fleet can be multiplied before the i-th figure leaves its budget; 0 if it has
// none, Never if it does not grow that far, and Always if it is over its budget whatever the number of VMs and tasks.
func Breaks(size Size, slopes Slopes, i int) float64 {
	within := func(n float64) bool {
		f := Figures(size.Scaled(n), slopes)[i]
		return f.Value <= f.Budget
	}
	if Figures(size, slopes)[i].Budget == 0 {
		return 0
	}
	low, high := 1./Never, float64(Never)
	switch {
	case within(high) && !within(1):
		return Shrinks
	case within(high):
		return Never
	case !within(low):
		return Always
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

// Results of Breaks: Never is a multiple of the fleet that is not looked beyond. Shrinks means that the figure is over its
// budget at this size and within it in a much larger fleet.
const (
	Never   = 1000
	Always  = -1
	Shrinks = -2
)
