package scheduler

import (
	"time"

	"siskinstack.example/siskinstack/resource"
)

const (
	// defaultMaxAttempts is how often a task may fail before it counts as failed.
	defaultMaxAttempts = 3
	// defaultMaxQueued bounds the memory of waiting tasks to about 100 MB at the measured size of a waiting task.
	defaultMaxQueued = 1_000_000
)

// Options configures a cell.
type Options struct {
	Policies Policies
	// MaxQueued bounds the tasks that wait.
	MaxQueued int
	// ReserveAfter is how long a gang job waits before workers are kept for it.
	ReserveAfter Time
	// EvacuationsPerSecond bounds the stops while the zone drains, so that other zones can take the work up.
	EvacuationsPerSecond float64
	// EvacuationGrace is how long tasks without checkpoints may run on after the drain began.
	EvacuationGrace Time
	// RampTime is how long a returned zone takes to fill. Starts at full speed would meet cold caches all at once.
	RampTime Time
	// AvoidFor bounds how long a task that failed on a worker waits for another one: the others may be full of services,
	// which never end.
	AvoidFor Time
}

// Option changes one of the options of a cell.
type Option func(*Options)

// WithOptions replaces all options.
func WithOptions(options Options) Option { return func(o *Options) { *o = options } }

// WithMaxQueued bounds the tasks that wait.
func WithMaxQueued(tasks int) Option { return func(o *Options) { o.MaxQueued = tasks } }

// DefaultOptions returns the options of a cell that is given none.
func DefaultOptions() Options {
	return Options{
		Policies:             DefaultPolicies(),
		MaxQueued:            defaultMaxQueued,
		ReserveAfter:         30 * time.Second,
		EvacuationsPerSecond: 100,
		EvacuationGrace:      5 * time.Minute,
		RampTime:             10 * time.Second,
		AvoidFor:             time.Minute,
	}
}

// Cell is the state of one shard: its workers, teams, jobs and tasks.
type Cell struct {
	options Options
	now     Time

	workers   []*worker // by identifier; nil if the identifier is free
	workerIDs map[string]int32
	freeIDs   []freeID
	racks     [][]int32 // worker identifiers by rack
	rackIDs   map[string]int32
	roomKinds map[resource.Vector]int // workers by total room
	index     capacityIndex
	total     resource.Vector // of present workers
	used      resource.Vector // of present workers

	// capacity counts the events that may make room for a task that found none.
	capacityVersion uint64
	// topology counts the events that may change whether a job can ever run.
	topologyVersion uint64
	failed          failedSearches

	teams    map[string]*team
	teamList []*team // by name
	fleet    resource.Vector

	jobs            map[string]*job
	queued          int
	shapes          map[shapeKey]*shape
	classes         map[classKey]*usageClass
	parked          []*job
	parkedCancelled int    // parked jobs that were cancelled since
	parkedAt        uint64 // topology at which the parked jobs were examined
	timed           []*job // jobs with ready-by that wait
	partialGangs    []*job
	updating        []*job // services with tasks of an older version

	reservation *reservation
	released    int // reservations that were given up
	stopping    []pendingStop
	probing     []*worker
	leaving     []*worker // leaving workers that may have tasks
	suspended   []*worker
	failureRate float64
	victimStart int
	reclaimAt   Time // earliest next search for room to reclaim
	gangScratch gangScratch

	draining      bool
	drainSince    Time
	evacuateAt    Time
	evacuateStart int
	rampSince     Time
	ramping       bool
	rampFrom      float64

	overMarked []*worker

	avoidEnds []Time // when tasks no longer wait for another worker than the one they failed on, ascending
}

// NewCell returns an empty cell.
func NewCell(options ...Option) *Cell {
	c := &Cell{
		options:         DefaultOptions(),
		workerIDs:       map[string]int32{},
		rackIDs:         map[string]int32{},
		roomKinds:       map[resource.Vector]int{},
		teams:           map[string]*team{},
		jobs:            map[string]*job{},
		shapes:          map[shapeKey]*shape{},
		classes:         map[classKey]*usageClass{},
		capacityVersion: 1,
		topologyVersion: 1,
		failureRate:     initialFailureRate,
	}
	for _, option := range options {
		option(&c.options)
	}
	return c
}

// Room returns the total and the free room of the workers.
func (c *Cell) Room() (total, free resource.Vector) {
	return c.total, c.total.Sub(c.used)
}

// Queued returns the number of tasks that wait.
func (c *Cell) Queued() int { return c.queued }

// fleetRoom returns the room over which shares are computed.
func (c *Cell) fleetRoom() resource.Vector { return c.fleet.Max(c.total) }

// advance moves the cell's time forward; late events do not move it back.
func (c *Cell) advance(now Time) { c.now = max(c.now, now) }
