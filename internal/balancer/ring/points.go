package ring

import (
	"cmp"
	"slices"
)

// point is a position on the ring in its upper half and the number of its place in its lower half. It is one
// word because a ring of 5,000 members has half a million points.
type point uint64

func newPoint(hash, number uint32) point { return point(hash)<<32 | point(number) }

func (p point) hash() uint32   { return uint32(p >> 32) }
func (p point) number() uint32 { return uint32(p) }

// points are the points of a ring in order: by hash, and those with the same hash as tieBreak has it. Changes
// take effect with arrange, which works through memory in sequence. Insertions at random places would wait
// for memory at each point.
type points struct {
	tieBreak func(p, q point) int
	base     []point   // nearly all points, in order
	recent   [][]point // points added since the last rebuild, each slice in order
	added    []point   // points added since the last arrange, in any order
	removed  []point   // points to remove with the next arrange, in any order
	dead     int       // points in base or recent whose place has gone
	index    []uint32  // positions in base by the upper indexBits of the hash
}

const (
	indexBits = 12
	// maxRecent is the maximum number of slices of recent points, each of which a walk has to look at.
	maxRecent = 4
	// maxRecentDivisor divides the number of points in base to give how many may be recent or dead.
	maxRecentDivisor = 4
	// minRebuild is the minimum of that number, below which a rebuild is not worth while.
	minRebuild = 256
)

func (s *points) compare(p, q point) int {
	if p.hash() != q.hash() {
		return cmp.Compare(p, q)
	}
	return s.tieBreak(p, q)
}

// mergeRecent merges the slices of recent points into one, the latest first, since that is usually the
// shortest.
func (s *points) mergeRecent() {
	var merged []point
	for i := len(s.recent) - 1; i >= 0; i-- {
		merged = s.merge(merged, s.recent[i])
	}
	s.recent = s.recent[:0]
	if len(merged) > 0 {
		s.recent = append(s.recent, merged)
	}
}

// merge returns the points of two ordered slices in order.
func (s *points) merge(p, q []point) []point {
	switch {
	case len(p) == 0:
		return q
	case len(q) == 0:
		return p
	}
	merged := make([]point, 0, len(p)+len(q))
	for _, next := range q {
		n := 0
		for n < len(p) && p[n] < next && p[n].hash() != next.hash() {
			n++
		}
		for n < len(p) && p[n].hash() == next.hash() && s.tieBreak(p[n], next) <= 0 {
			n++
		}
		merged = append(append(merged, p[:n]...), next)
		p = p[n:]
	}
	return append(merged, p...)
}

// isFirst reports whether p is not after q. Most points have different hashes, and need no call of tieBreak.
func (s *points) isFirst(p, q point) bool {
	if p.hash() != q.hash() {
		return p < q
	}
	return s.tieBreak(p, q) <= 0
}

// reserve makes room for that many more points.
func (s *points) reserve(count int) { s.added = slices.Grow(s.added, count) }

func (s *points) add(p point)    { s.added = append(s.added, p) }
func (s *points) remove(p point) { s.removed = append(s.removed, p) }

// addDead records that the place of some points has gone.
func (s *points) addDead(count int) { s.dead += count }

// mustRebuild reports whether too many points are recent or dead, or some are to be removed.
func (s *points) mustRebuild() bool {
	limit := len(s.base)/maxRecentDivisor + minRebuild
	return len(s.removed) > 0 || s.recentCount()+len(s.added) > limit || s.dead > limit
}

// recentCount returns the number of points in recent.
func (s *points) recentCount() (n int) {
	for _, each := range s.recent {
		n += len(each)
	}
	return n
}

// isArranged reports whether all changes have taken effect.
func (s *points) isArranged() bool { return len(s.added) == 0 && len(s.removed) == 0 }

// arrange makes all changes take effect. It reports whether it has dropped all points for which isDead is
// true.
func (s *points) arrange(isDead func(point) bool) (dropped bool) {
	rebuilds := s.mustRebuild()
	if len(s.added) > 0 {
		s.sort(s.added)
		s.recent = append(s.recent, s.added)
		s.added = nil
	}
	if rebuilds || len(s.recent) > maxRecent {
		s.mergeRecent()
	}
	if !rebuilds {
		return false
	}
	for _, each := range s.recent {
		s.base = s.merge(s.base, each)
	}
	if s.dead > 0 {
		s.base = slices.DeleteFunc(s.base, isDead)
	}
	s.dropRemoved()
	s.recent, s.dead = nil, 0
	s.buildIndex()
	return true
}

// dropRemoved drops one point from base for each that was removed.
func (s *points) dropRemoved() {
	if len(s.removed) == 0 {
		return
	}
	s.sort(s.removed)
	left := s.removed
	s.base = slices.DeleteFunc(s.base, func(p point) bool {
		for len(left) > 0 && s.compare(left[0], p) < 0 {
			left = left[1:]
		}
		if len(left) == 0 || left[0] != p {
			return false
		}
		left = left[1:]
		return true
	})
	s.removed = nil
}

// buildIndex sets the index for the points in base.
func (s *points) buildIndex() {
	s.index = make([]uint32, 1<<indexBits+1)
	at := 0
	for bucket := range s.index {
		for at < len(s.base) && int(s.base[at]>>(64-indexBits)) < bucket {
			at++
		}
		s.index[bucket] = uint32(at)
	}
}

// from returns the position in base of the first point with at least that hash.
func (s *points) from(hash uint32) int {
	if len(s.index) == 0 {
		return 0
	}
	bucket := hash >> (32 - indexBits)
	begin, end := s.index[bucket], s.index[bucket+1]
	at, _ := slices.BinarySearch(s.base[begin:end], newPoint(hash, 0))
	return int(begin) + at
}

// walk visits all points clockwise from a hash until visit returns false. All changes must have taken effect.
func (s *points) walk(hash uint32, visit func(point) bool) {
	var after, before [1 + maxRecent][]point
	from := s.from(hash)
	after[0], before[0] = s.base[from:], s.base[:from]
	for i, each := range s.recent {
		at, _ := slices.BinarySearch(each, newPoint(hash, 0))
		after[i+1], before[i+1] = each[at:], each[:at]
	}
	count := 1 + len(s.recent)
	_ = s.visit(after[:count], visit) && s.visit(before[:count], visit)
}

// visit visits the points of ordered runs in order. It returns false if visit has.
func (s *points) visit(runs [][]point, visit func(point) bool) bool {
	for {
		first := -1
		for i := range runs {
			if len(runs[i]) > 0 && (first < 0 || !s.isFirst(runs[first][0], runs[i][0])) {
				first = i
			}
		}
		if first < 0 {
			return true
		}
		if !visit(runs[first][0]) {
			return false
		}
		runs[first] = runs[first][1:]
	}
}

const (
	// minRadixSort is the number of points from which sort distributes them by their digits.
	minRadixSort = 512
	digitBits    = 11 // three digits cover a hash
)

// sort puts points in order.
func (s *points) sort(all []point) {
	if len(all) < minRadixSort {
		slices.SortFunc(all, s.compare)
		return
	}
	spare := make([]point, len(all))
	from, to := all, spare
	for shift := 32; shift < 64; shift += digitBits {
		distribute(from, to, shift)
		from, to = to, from
	}
	if &from[0] != &all[0] {
		copy(all, from)
	}
	s.sortTies(all)
}

// distribute copies the points in the order of one digit, and of their former order where it is equal.
func distribute(from, to []point, shift int) {
	var begins [1 << digitBits]int
	digit := func(p point) int { return int(p>>shift) & (1<<digitBits - 1) }
	for _, p := range from {
		begins[digit(p)]++
	}
	sum := 0
	for d, n := range begins {
		begins[d] = sum
		sum += n
	}
	for _, p := range from {
		to[begins[digit(p)]] = p
		begins[digit(p)]++
	}
}

// sortTies puts points with the same hash in order.
func (s *points) sortTies(all []point) {
	for begin := 0; begin < len(all); {
		end := begin + 1
		for end < len(all) && all[end].hash() == all[begin].hash() {
			end++
		}
		if end > begin+1 {
			slices.SortFunc(all[begin:end], s.compare)
		}
		begin = end
	}
}
