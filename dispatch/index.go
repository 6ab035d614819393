package dispatch

import (
	"slices"
	"strings"

	"siskinstack.example/siskinstack/resource"
)

const (
	// bucketMilliCPU is the width of a bucket of the index, in thousandths of a core. Tasks request whole cores or more
	// on workers of 16 to 128 cores.
	bucketMilliCPU = 1000
	// lastBucket holds all workers with more free CPU than the other buckets.
	lastBucket = 256
)

// fleetIndex finds workers by free CPU, availability zone and label, so that the cost of a decision does not grow with
// the number of workers. A worker moves within it when its free capacity or its state changes.
type fleetIndex struct {
	zones []*zoneIndex // sorted by name
	// byLabel contains all listed workers by each of their labels; racks counts the listed workers of each rack.
	byLabel map[string]map[*Worker]struct{}
	racks   map[string]int
	// open counts the open workers of each service.
	open map[string]int
	// departing are the draining and cordoned workers, unreachable those that did not answer their last renewal.
	departing, unreachable map[*Worker]struct{}
}

// zoneIndex contains the workers of one availability zone.
type zoneIndex struct {
	name string
	// buckets contain the open workers by free CPU, freeMilliCPU the sums of their free CPU.
	buckets      [lastBucket + 1][]*Worker
	freeMilliCPU [lastBucket + 1]int64
	// capacity is the total capacity of the listed, reachable workers.
	capacity resource.Vector
}

// indexEntry is where a worker stands in the index.
type indexEntry struct {
	// zone, bucket and position are the worker's place among the open workers, freeMilliCPU its free CPU there; zone is
	// nil if the worker is not open.
	zone             *zoneIndex
	bucket, position int
	freeMilliCPU     int64
	// counted is the zone whose capacity contains the worker's, or nil.
	counted  *zoneIndex
	capacity resource.Vector
	labels   []string
	// service is that under which the worker is counted among the open ones.
	service string
}

func newFleetIndex() *fleetIndex {
	return &fleetIndex{
		byLabel: map[string]map[*Worker]struct{}{}, racks: map[string]int{}, open: map[string]int{}, departing: map[*Worker]struct{}{},
		unreachable: map[*Worker]struct{}{},
	}
}

// zone returns the index of a zone, which is created if it is new.
func (x *fleetIndex) zone(name string) *zoneIndex {
	i, found := slices.BinarySearchFunc(x.zones, name, func(z *zoneIndex, name string) int { return strings.Compare(z.name, name) })
	if !found {
		x.zones = slices.Insert(x.zones, i, &zoneIndex{name: name})
	}
	return x.zones[i]
}

func bucketOf(milliCPU int64) int { return int(min(max(milliCPU/bucketMilliCPU, 0), lastBucket)) }

// update moves a worker to where its current state belongs. It is called after each change of the state.
func (x *fleetIndex) update(w *Worker) {
	x.updateFree(w)
	x.updateCapacity(w)
	x.updateLabels(w)
	setMember(x.departing, w, w.cordoned || w.Info.Draining)
	setMember(x.unreachable, w, !w.reachable)
}

func setMember(set map[*Worker]struct{}, w *Worker, is bool) {
	if is {
		set[w] = struct{}{}
	} else {
		delete(set, w)
	}
}

// updateFree moves a worker to the bucket of its free CPU. It is called alone when only the worker's tasks change.
func (x *fleetIndex) updateFree(w *Worker) {
	e := &w.indexed
	if e.zone != nil {
		bucket := e.zone.buckets[e.bucket]
		last := bucket[len(bucket)-1]
		bucket[e.position] = last
		last.indexed.position = e.position
		e.zone.buckets[e.bucket] = bucket[:len(bucket)-1]
		e.zone.freeMilliCPU[e.bucket] -= e.freeMilliCPU
		e.zone = nil
		x.open[e.service]--
	}
	if !w.isOpen() {
		return
	}
	e.zone, e.freeMilliCPU, e.service = x.zone(w.Info.Zone), w.free().MilliCPU, w.Info.Service
	x.open[e.service]++
	e.bucket = bucketOf(e.freeMilliCPU)
	e.position = len(e.zone.buckets[e.bucket])
	e.zone.buckets[e.bucket] = append(e.zone.buckets[e.bucket], w)
	e.zone.freeMilliCPU[e.bucket] += e.freeMilliCPU
}

func (x *fleetIndex) updateCapacity(w *Worker) {
	e := &w.indexed
	if e.counted != nil {
		e.counted.capacity = e.counted.capacity.Sub(e.capacity)
		e.counted = nil
	}
	if w.Listed && w.reachable {
		e.counted, e.capacity = x.zone(w.Info.Zone), w.Info.Capacity
		e.counted.capacity = e.counted.capacity.Add(e.capacity)
	}
}

func (x *fleetIndex) updateLabels(w *Worker) {
	labels := w.Info.Labels
	if !w.Listed {
		labels = nil
	}
	if slices.Equal(labels, w.indexed.labels) {
		return
	}
	for _, label := range w.indexed.labels {
		delete(x.byLabel[label], w)
		if len(x.byLabel[label]) == 0 {
			delete(x.byLabel, label)
		}
	}
	x.countRack(w.indexed.labels, -1)
	for _, label := range labels {
		if x.byLabel[label] == nil {
			x.byLabel[label] = map[*Worker]struct{}{}
		}
		x.byLabel[label][w] = struct{}{}
	}
	x.countRack(labels, 1)
	w.indexed.labels = labels
}

// countRack adds a number of workers to the rack that a list of labels names.
func (x *fleetIndex) countRack(labels []string, n int) {
	rack := rackOf(labels)
	if rack == "" {
		return
	}
	x.racks[rack] += n
	if x.racks[rack] == 0 {
		delete(x.racks, rack)
	}
}

// remove removes a worker that the state no longer holds.
func (x *fleetIndex) remove(w *Worker) {
	w.Listed = false
	x.update(w)
	delete(x.departing, w)
	delete(x.unreachable, w)
}

// freeFor returns about how much CPU the open workers with at least the needed CPU have free. Workers of the first
// bucket may have less.
func (z *zoneIndex) freeFor(milliCPU int64) int64 {
	sum := int64(0)
	for _, free := range z.freeMilliCPU[bucketOf(milliCPU):] {
		sum += free
	}
	return sum
}
