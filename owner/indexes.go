package owner

import siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"

// indexRange is a half-open range of task indexes.
type indexRange struct {
	first, end int32
}

// indexSet is a set of task indexes as sorted, disjoint, non-adjacent ranges.
type indexSet []indexRange

func (s indexSet) empty() bool { return len(s) == 0 }

// size returns the number of indexes.
func (s indexSet) size() int {
	n := 0
	for _, r := range s {
		n += int(r.end - r.first)
	}
	return n
}

func (s indexSet) contains(index int32) bool {
	for _, r := range s {
		if index >= r.first && index < r.end {
			return true
		}
	}
	return false
}

// add returns the set with a range added.
func (s indexSet) add(first, end int32) indexSet {
	if first >= end {
		return s
	}
	out := make(indexSet, 0, len(s)+1)
	placed := false
	for _, r := range s {
		switch {
		case r.end < first:
			out = append(out, r)
		case r.first > end:
			if !placed {
				out = append(out, indexRange{first, end})
				placed = true
			}
			out = append(out, r)
		default:
			first = min(first, r.first)
			end = max(end, r.end)
		}
	}
	if !placed {
		out = append(out, indexRange{first, end})
	}
	return out
}

// remove returns the set without a range.
func (s indexSet) remove(first, end int32) indexSet {
	if first >= end {
		return s
	}
	var out indexSet
	for _, r := range s {
		if r.end <= first || r.first >= end {
			out = append(out, r)
			continue
		}
		if r.first < first {
			out = append(out, indexRange{r.first, first})
		}
		if r.end > end {
			out = append(out, indexRange{end, r.end})
		}
	}
	return out
}

// minus returns the indexes of s that are not in other.
func (s indexSet) minus(other indexSet) indexSet {
	out := s
	for _, r := range other {
		out = out.remove(r.first, r.end)
	}
	return out
}

// last returns the last n indexes, or all if there are fewer.
func (s indexSet) last(n int) indexSet {
	var taken indexSet
	for i := len(s) - 1; i >= 0 && n > 0; i-- {
		r := s[i]
		size := min(int(r.end-r.first), n)
		taken = taken.add(r.end-int32(size), r.end)
		n -= size
	}
	return taken
}

// end returns the index after the last one.
func (s indexSet) end() int32 {
	if s.empty() {
		return 0
	}
	return s[len(s)-1].end
}

// union returns the indexes of both sets.
func (s indexSet) union(other indexSet) indexSet {
	out := s
	for _, r := range other {
		out = out.add(r.first, r.end)
	}
	return out
}

// intersect returns the indexes that are in both sets.
func (s indexSet) intersect(other indexSet) indexSet {
	return s.minus(s.minus(other))
}

func (s indexSet) proto() []*siskinv1.IndexRange {
	ranges := make([]*siskinv1.IndexRange, len(s))
	for i, r := range s {
		ranges[i] = &siskinv1.IndexRange{First: r.first, End: r.end}
	}
	return ranges
}

func setFromProto(ranges []*siskinv1.IndexRange) indexSet {
	var set indexSet
	for _, r := range ranges {
		set = set.add(r.GetFirst(), r.GetEnd())
	}
	return set
}
