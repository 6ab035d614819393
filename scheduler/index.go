package scheduler

import (
	"math/bits"

	"siskinstack.example/siskinstack/resource"
)

const (
	// indexLevels is the number of logarithmic levels of free processors and memory; one word holds a bit per level.
	indexLevels = 64
	// acceleratorLevels is the number of levels of free accelerators; the last one also holds all larger amounts.
	acceleratorLevels = 8
	// levelBits is the number of bits that the levels cover, at two bits of mantissa per power of two.
	levelBits = 17
	// boundaryScan bounds the members examined in a bucket of which only some may fit, unless no worker is found otherwise.
	boundaryScan = 32
	// interiorScan bounds the members compared in a bucket of which all fit.
	interiorScan = 8
	notIndexed   = -1
)

// capacityIndex finds a worker with enough free capacity without a scan over all workers. Workers are in buckets by the
// logarithmic level of their free capacity in each dimension; bit masks mark the buckets in use.
type capacityIndex struct {
	free        []resource.Vector // by worker
	bucket      []int32           // by worker; notIndexed if the worker takes no work
	pos         []int32           // by worker, in its bucket
	rows        [acceleratorLevels * indexLevels]*indexRow
	cpuMask     [acceleratorLevels]uint64
	scale       resource.Vector
	cpuShift    uint
	memoryShift uint
}

// indexRow holds the buckets of one level of accelerators and processors, by level of memory.
type indexRow struct {
	mask    uint64
	members [indexLevels][]int32
}

func level(amount int64) int {
	if amount < 8 {
		return int(max(amount, 0))
	}
	shift := bits.Len64(uint64(amount)) - 3
	return min(shift*4+int(amount>>shift), indexLevels-1)
}

func shiftFor(scale int64) uint {
	return uint(max(bits.Len64(uint64(max(scale, 0)))-levelBits, 0))
}

func (x *capacityIndex) levels(v resource.Vector) (accelerators, cpu, memory int) {
	accelerators = int(min(max(v.Accelerators, 0), acceleratorLevels-1))
	return accelerators, level(v.MilliCPU >> x.cpuShift), level(v.MemoryBytes >> x.memoryShift)
}

// setScale sets the largest capacity of any worker in each dimension, to which the levels are scaled; the caller re-inserts
// all workers afterwards.
func (x *capacityIndex) setScale(scale resource.Vector) {
	x.scale = scale
	x.cpuShift = shiftFor(scale.MilliCPU)
	x.memoryShift = shiftFor(scale.MemoryBytes)
}

func (x *capacityIndex) grow(workers int) {
	for len(x.free) < workers {
		x.free = append(x.free, resource.Vector{})
		x.bucket = append(x.bucket, notIndexed)
		x.pos = append(x.pos, 0)
	}
}

// set records the free capacity of a worker, and whether the worker takes work.
func (x *capacityIndex) set(worker int32, free resource.Vector, usable bool) {
	x.free[worker] = free
	target := int32(notIndexed)
	if usable && !free.IsNegative() {
		a, c, m := x.levels(free)
		target = int32((a*indexLevels+c)*indexLevels + m)
	}
	if target == x.bucket[worker] {
		return
	}
	x.remove(worker)
	if target != notIndexed {
		x.insert(worker, target)
	}
}

func (x *capacityIndex) insert(worker, bucket int32) {
	r, m := bucket/indexLevels, bucket%indexLevels
	row := x.rows[r]
	if row == nil {
		row = &indexRow{}
		x.rows[r] = row
	}
	x.bucket[worker] = bucket
	x.pos[worker] = int32(len(row.members[m]))
	row.members[m] = append(row.members[m], worker)
	row.mask |= 1 << m
	x.cpuMask[r/indexLevels] |= 1 << (r % indexLevels)
}

func (x *capacityIndex) remove(worker int32) {
	bucket := x.bucket[worker]
	if bucket == notIndexed {
		return
	}
	r, m := bucket/indexLevels, bucket%indexLevels
	row := x.rows[r]
	members := row.members[m]
	last := members[len(members)-1]
	members[x.pos[worker]] = last
	x.pos[last] = x.pos[worker]
	row.members[m] = members[:len(members)-1]
	x.bucket[worker] = notIndexed
	if len(members) > 1 {
		return
	}
	row.mask &^= 1 << m
	if row.mask == 0 {
		x.cpuMask[r/indexLevels] &^= 1 << (r % indexLevels)
	}
}

// search is the state of one lookup of the best worker.
type search struct {
	x         *capacityIndex
	score     Score
	need      resource.Vector
	avoid     int32
	best      int32
	bestScore float64
	truncated bool // some bucket was not examined completely
}

// find returns the worker with the best score found among those that have need free, or -1. The worker avoid is excluded.
func (x *capacityIndex) find(score Score, need resource.Vector, avoid int32) int32 {
	s := search{x: x, score: score, need: need, avoid: avoid, best: -1}
	s.run(boundaryScan, interiorScan)
	if s.best < 0 && s.truncated {
		s.run(len(x.free), len(x.free))
	}
	return s.best
}

func (s *search) run(boundary, interior int) {
	qa, qc, qm := s.x.levels(s.need)
	for a := qa; a < acceleratorLevels; a++ {
		rows := s.x.cpuMask[a] >> qc << qc
		for rows != 0 {
			c := bits.TrailingZeros64(rows)
			rows &= rows - 1
			if s.best >= 0 && s.bound(a, c, qm) >= s.bestScore {
				break
			}
			s.row(a, c, qm, c == qc || a == acceleratorLevels-1, boundary, interior)
		}
	}
}

// row examines the buckets of a row in ascending order of free memory, until a better worker is found in a bucket of which
// all members fit. If edge is set, some members of each bucket may not fit.
func (s *search) row(a, c, qm int, edge bool, boundary, interior int) {
	row := s.x.rows[a*indexLevels+c]
	columns := row.mask >> qm << qm
	for columns != 0 {
		m := bits.TrailingZeros64(columns)
		columns &= columns - 1
		if s.best >= 0 && s.bound(a, c, m) >= s.bestScore {
			return
		}
		if edge || m == qm {
			s.members(row.members[m], boundary)
			continue
		}
		before := s.best
		s.members(row.members[m], interior)
		if s.best != before {
			return
		}
	}
}

func (s *search) members(members []int32, limit int) {
	if len(members) > limit {
		members = members[len(members)-limit:]
		s.truncated = true
	}
	for _, worker := range members {
		if worker == s.avoid || !s.need.Fits(s.x.free[worker]) {
			continue
		}
		score := s.score.Score(s.x.free[worker], s.need, s.x.scale)
		if s.best < 0 || score < s.bestScore || (score == s.bestScore && worker < s.best) {
			s.best, s.bestScore = worker, score
		}
	}
}

// bound returns a lower bound of the scores of a bucket's members.
func (s *search) bound(a, c, m int) float64 {
	least := resource.Vector{
		MilliCPU:     floor(c) << s.x.cpuShift,
		MemoryBytes:  floor(m) << s.x.memoryShift,
		Accelerators: int64(a),
	}
	return s.score.Score(least.Max(s.need), s.need, s.x.scale)
}

// floor returns the least amount of a level.
func floor(level int) int64 {
	if level < 8 {
		return int64(level)
	}
	shift := level/4 - 1
	return int64(level%4+4) << shift
}
