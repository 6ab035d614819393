package scheduler

import (
	"time"

	"siskinstack.example/siskinstack/resource"
)

const (
	// defaultMaxAttempts is the number of failed attempts after which a task counts as failed.
	defaultMaxAttempts = 3
	// defaultMaxQueued bounds the memory of queued tasks to about 100 MB.
	defaultMaxQueued = 1_000_000
)

// Options configures a cell.
type Options struct {
	Policies Policies
	// MaxQueued is the largest number of queued tasks.
	MaxQueued int
	// ReserveAfter is how long a gang job or a large task waits before workers are reserved for it.
	ReserveAfter Time
	// EvacuationsPerSecond limits the rate of stops while the zone drains or workers leave, so that other zones and workers
	// can absorb the work.
	EvacuationsPerSecond float64
	// EvacuationGrace is how long tasks without checkpoints may continue to run after the drain began.
	EvacuationGrace Time
	// RampTime is how long a zone takes to fill after its drain has ended. Without a ramp, all starts would meet cold caches
	// at once.
	RampTime Time
	// AvoidFor bounds how long a task that failed on a worker waits for another one. The others may be full of services,
	// which do not end by themselves.
	AvoidFor Time
}

// Option changes the options of a cell.
type Option func(*Options)

// WithOptions replaces all options.
func WithOptions(options Options) Option { return func(o *Options) { *o = options } }

// WithMaxQueued sets the largest number of queued tasks.
func WithMaxQueued(tasks int) Option { return func(o *Options) { o.MaxQueued = tasks } }

// DefaultOptions returns the options that a cell has unless they are changed.
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

	workers        []*worker // by identifier; nil if the identifier is free
	workerIDs      map[string]int32
	freeIDs        []freeID
	racks          [][]int32 // worker identifiers by rack
	rackIDs        map[string]int32
	capacityCounts map[resource.Vector]int // number of workers by capacity, without leaving ones
	index          capacityIndex
	total          resource.Vector // capacity of present workers
	used           resource.Vector // allocations on present workers

	// capacityVersion counts the events after which a task may fit that no worker could take before.
	capacityVersion uint64
	// topologyVersion counts the events that may change whether a job can ever run.
	topologyVersion uint64
	failed          failedSearches

	teams    map[string]*team
	teamList []*team         // by name
	fleet    resource.Vector // capacity of the whole fleet

	jobs            map[string]*job
	queued          int
	shapes          map[shapeKey]*shape
	classes         map[classKey]*usageClass
	parked          []*job
	parkedCancelled int    // parked jobs that were cancelled since the last examination
	parkedAt        uint64 // topology version at which the parked jobs were last examined
	timed           []*job // jobs with a ready-by time
	partialGangs    []*job
	updating        []*job // services with tasks of an older version

	reservation *reservation
	released    int // number of released reservations
	stopping    []pendingStop
	probing     []*worker
	leaving     []*worker // leaving workers that may have tasks
	suspended   []*worker
	failureRate float64
	victimStart int  // identifier of the worker at which the next search for victims starts
	reclaimAt   Time // earliest next search for victims
	gangScratch gangScratch

	draining      bool
	drainSince    Time
	evacuateAt    Time // earliest next stop under the rate limit
	evacuateStart int  // identifier of the worker at which the evacuation continues
	rampSince     Time
	ramping       bool
	rampFrom      float64 // dominant share in use when the ramp began

	overuseMarked []*worker // workers whose usage the next pass checks

	avoidEnds []Time // when tasks that avoid a worker may start on it again, ascending
}

// NewCell returns an empty cell.
func NewCell(options ...Option) *Cell {
	c := &Cell{
		options:         DefaultOptions(),
		workerIDs:       map[string]int32{},
		rackIDs:         map[string]int32{},
		capacityCounts:  map[resource.Vector]int{},
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

// Capacity returns the total and the free capacity of the workers.
func (c *Cell) Capacity() (total, free resource.Vector) {
	return c.total, c.total.Sub(c.used)
}

// Queued returns the number of queued tasks.
func (c *Cell) Queued() int { return c.queued }

// fleetCapacity returns the capacity relative to which shares are computed.
func (c *Cell) fleetCapacity() resource.Vector { return c.fleet.Max(c.total) }

// advance moves the cell's time forward; events with an earlier time do not move it back.
func (c *Cell) advance(now Time) { c.now = max(c.now, now) }
