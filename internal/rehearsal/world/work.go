package world

import "time"

// jobHeap holds the running jobs; the one that finishes first is at the top.
type jobHeap struct{ jobs []*job }

func (h *jobHeap) push(j *job) {
	h.jobs = append(h.jobs, j)
	i := len(h.jobs) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if h.jobs[parent].target <= j.target {
			break
		}
		h.jobs[i] = h.jobs[parent]
		i = parent
	}
	h.jobs[i] = j
}

func (h *jobHeap) pop() *job {
	top := h.jobs[0]
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	i := 0
	for last > 0 {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && h.jobs[child+1].target < h.jobs[child].target {
			child++
		}
		if h.jobs[child].target >= j.target {
			break
		}
		h.jobs[i] = h.jobs[child]
		i = child
	}
	if last > 0 {
		h.jobs[i] = j
	}
	return top
}

// jobQueue holds the waiting jobs in order of arrival. A dropped job leaves a gap until its place is
// reached.
type jobQueue struct {
	jobs  []*job
	first int
	count int
}

func (q *jobQueue) len() int { return q.count }

func (q *jobQueue) push(j *job) {
	if q.first > 32 && q.first > len(q.jobs)/2 {
		n := copy(q.jobs, q.jobs[q.first:])
		clear(q.jobs[n:])
		q.jobs, q.first = q.jobs[:n], 0
	}
	q.jobs = append(q.jobs, j)
	q.count++
}

// pop removes and returns the first job; nil if none waits.
func (q *jobQueue) pop() *job {
	for q.first < len(q.jobs) {
		j := q.jobs[q.first]
		q.jobs[q.first] = nil
		q.first++
		if j.waiting {
			j.waiting = false
			q.count--
			return j
		}
	}
	return nil
}

func (q *jobQueue) drop(j *job) {
	j.waiting = false
	q.count--
}

// keyCache is a process's cache of recent keys, of bounded size.
type keyCache struct {
	limit    int
	ttl      time.Duration
	lastSeen map[uint32]time.Duration
	order    []keyUse // by time; a key seen again keeps its old entries until compact
	first    int
}

type keyUse struct {
	key uint32
	at  time.Duration
}

// touch records a key and reports whether it was already cached.
func (m *keyCache) touch(key uint32, now time.Duration) bool {
	if m.limit == 0 {
		return false
	}
	at, known := m.lastSeen[key]
	m.lastSeen[key] = now
	m.order = append(m.order, keyUse{key, now})
	for len(m.lastSeen) > m.limit {
		oldest := m.order[m.first]
		m.first++
		if m.lastSeen[oldest.key] == oldest.at { // not seen again since
			delete(m.lastSeen, oldest.key)
		}
	}
	if m.first > 64 && m.first > len(m.order)/2 || len(m.order) > 8*m.limit+64 {
		m.compact()
	}
	return known && now-at <= m.ttl
}

// compact removes entries of keys that were seen again or evicted since.
func (m *keyCache) compact() {
	kept := m.order[:0]
	for _, k := range m.order[m.first:] {
		if at, known := m.lastSeen[k.key]; known && at == k.at {
			kept = append(kept, k)
		}
	}
	m.order, m.first = kept, 0
}
