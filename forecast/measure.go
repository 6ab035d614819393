package forecast

import "time"

const (
	// bucketTime is the resolution of the measurements. A rate is measured over bucketCount buckets: long enough for a class
	// with few starts, short enough for a burst of some seconds.
	bucketTime  = 250 * time.Millisecond
	bucketCount = 8
	window      = bucketCount * bucketTime
	// historyCount is the number of buckets that are kept. Starts come in groups: a class of which two jobs started within a
	// window may start ten in the next one, as it did in the one before. With a longer history, the starts before a burst keep
	// the bound too low for longer.
	historyCount = 2 * bucketCount
	// maxGap is the number of adjacent buckets without any start from which starts are held up by something else than the
	// load, such as the store, and no rate can be measured.
	maxGap = 2
	// maxClasses bounds the classes that are measured. Further ones are not forecast.
	maxClasses = 128
)

// Measurements are the starts of the last seconds. They are not safe for concurrent use.
type Measurements struct {
	since time.Time
	// current is the number of the current bucket since the beginning, tasks the number of started tasks of each bucket.
	current int64
	tasks   [historyCount]int
	classes map[Class]*[historyCount]int
}

// NewMeasurements returns measurements that begin now.
func NewMeasurements(now time.Time) *Measurements {
	return &Measurements{since: now, classes: map[Class]*[historyCount]int{}}
}

// advance clears the buckets that have passed. A clock that goes back changes nothing.
func (m *Measurements) advance(now time.Time) {
	bucket := int64(now.Sub(m.since) / bucketTime)
	for range min(bucket-m.current, historyCount) {
		m.current++
		m.tasks[m.current%historyCount] = 0
		for _, starts := range m.classes {
			starts[m.current%historyCount] = 0
		}
	}
	m.current = max(m.current, bucket)
}

// TaskStarted records the start of a task.
func (m *Measurements) TaskStarted(now time.Time) {
	m.advance(now)
	m.tasks[m.current%historyCount]++
}

// JobStarted records the first start of a job.
func (m *Measurements) JobStarted(now time.Time, class Class) {
	m.advance(now)
	starts := m.classes[class]
	if starts == nil {
		if len(m.classes) >= maxClasses {
			return
		}
		starts = new([historyCount]int)
		m.classes[class] = starts
	}
	starts[m.current%historyCount]++
}

// starts returns the number of jobs of a class that started within the last window, and the largest number within any window
// of the history.
func (m *Measurements) starts(class Class) (last, most int) {
	starts := m.classes[class]
	if starts == nil {
		return 0, 0
	}
	sum := 0
	for i := range int64(historyCount) {
		sum += starts[(m.current+historyCount-i)%historyCount]
		if i >= bucketCount {
			sum -= starts[(m.current+historyCount-i+bucketCount)%historyCount]
		}
		if i == bucketCount-1 {
			last = sum
		}
		most = max(most, sum)
	}
	return last, most
}

// isSteady reports whether a whole window was measured in which tasks started all the time.
func (m *Measurements) isSteady() bool {
	if m.current < bucketCount {
		return false
	}
	gap := 0
	for i := range int64(bucketCount) {
		if m.tasks[(m.current-i)%historyCount] > 0 {
			gap = 0
		} else if gap++; gap >= maxGap {
			return false
		}
	}
	return true
}
