package scheduler

import (
	"math"
	"math/bits"
	"time"

	"siskinstack.example/siskinstack/resource"
)

const (
	// usageEpoch is the number of usage reports in an epoch. The learned size covers the current and the previous epoch.
	usageEpoch = 512
	// minSamples is the number of measured run times from which the learned distribution replaces the declared run time.
	minSamples = 5
	// maxSamples is the number of run times at which the weight of all recorded ones is halved.
	maxSamples = 512
	// runBuckets is the number of buckets, two per power of two; runOrigin is the bucket with the upper bound 1.
	runBuckets = 64
	runOrigin  = 32
	// sizeSteps is the number of steps per power of two to which learned sizes are rounded up, so that small changes
	// of the peak do not change the need of every waiting task.
	sizeSteps = 8
)

// classKey identifies work that is expected to have similar usage and run times.
type classKey struct{ queue, team string }

// usageClass is the learned usage and run time of the tasks of one queue and team.
type usageClass struct {
	team              string
	current, previous resource.Vector // peaks of the current and the previous epoch
	reports           int
	version           uint64
	ratios            runTimes // of measured to declared run time
	seconds           runTimes // of work without a declared run time
}

func (c *Cell) class(queue, teamName string) *usageClass {
	key := classKey{queue, teamName}
	class, ok := c.classes[key]
	if !ok {
		class = &usageClass{team: teamName, version: 1}
		c.classes[key] = class
	}
	return class
}

// Usage records the measured usage of a running task. Reports may be duplicated or late: only the peak is kept, and reports
// of attempts other than the current one are ignored.
func (c *Cell) Usage(id TaskID, attempt int32, used resource.Vector) {
	ref, err := c.lookup(id)
	if err != nil || ref.task().state != taskRunning || ref.task().attempt != attempt {
		return
	}
	class := ref.job.class
	before := class.size()
	class.current = class.current.Max(used)
	class.reports++
	if class.reports >= usageEpoch {
		class.reports = 0
		class.previous, class.current = class.current, resource.Vector{}
	}
	if class.size() != before {
		class.version++
		c.capacityVersion++
	}
	c.noteUsage(ref, used)
}

// size returns the learned size, rounded up.
func (u *usageClass) size() resource.Vector {
	peak := u.current.Max(u.previous)
	return resource.Vector{
		MilliCPU:     roundUp(peak.MilliCPU),
		MemoryBytes:  roundUp(peak.MemoryBytes),
		Accelerators: max(peak.Accelerators, 0),
	}
}

func roundUp(amount int64) int64 {
	if amount <= sizeSteps {
		return max(amount, 0)
	}
	step := int64(1) << max(bits.Len64(uint64(amount))-4, 0)
	return (amount + step - 1) / step * step
}

// runTimes is a histogram of run times, or of their ratios to the declared ones, with two buckets per power of two.
type runTimes struct {
	counts [runBuckets]uint16
	total  int
}

func (r *runTimes) add(value float64) {
	bucket := int(math.Ceil(2*math.Log2(max(value, 1e-9)))) + runOrigin
	r.counts[min(max(bucket, 0), runBuckets-1)]++
	r.total++
	if r.total < maxSamples {
		return
	}
	r.total = 0
	for i := range r.counts {
		r.counts[i] /= 2
		r.total += int(r.counts[i])
	}
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (r *runTimes) quantile(q float64) float64 {
	seen := 0
	for i, count := range r.counts {
		seen += int(count)
		if float64(seen) >= q*float64(r.total) {
			return math.Exp2(float64(i-runOrigin) / 2)
		}
	}
	return 1
}

func (c *Cell) learnRun(j *job, ran Time) {
	if j.Kind == Service {
		return
	}
	if j.DeclaredRun > 0 {
		j.class.ratios.add(float64(ran) / float64(j.DeclaredRun))
		return
	}
	j.class.seconds.add(ran.Seconds())
}

// estimate returns the expected run time of a job's tasks at a quantile; 0 if nothing is known.
func (j *job) estimate(q float64) Time {
	if j.DeclaredRun > 0 {
		if j.class.ratios.total < minSamples {
			return j.DeclaredRun
		}
		return Time(float64(j.DeclaredRun) * j.class.ratios.quantile(q))
	}
	if j.class.seconds.total < minSamples {
		return 0
	}
	return Time(j.class.seconds.quantile(q) * float64(time.Second))
}
