// Package modelcheck is for searches that try all that can happen in a small world: the states that were met,
// and
// workers that share what is to be gone on from.
package modelcheck

import (
	"sync"
	"sync/atomic"
)

// States are those that were met, by 64 bits of their hash, in parts that workers share. With n states the
// chance that any two have the same bits, and one of them was passed over, is n*n/2^65: 1 in 3,700 with 100
// million.
type States [256]struct {
	sync.Mutex
	met map[uint64]struct{}
}

// NewStates are none.
func NewStates() *States {
	s := &States{}
	for i := range s {
		s[i].met = map[uint64]struct{}{}
	}
	return s
}

// Note notes a state, and tells whether it is new.
func (s *States) Note(state uint64) (anew bool) {
	part := &s[state%uint64(len(s))]
	part.Lock()
	defer part.Unlock()
	if _, is := part.met[state]; is {
		return false
	}
	part.met[state] = struct{}{}
	return true
}

// Count is how many there are, once no worker is at work.
func (s *States) Count() (n int) {
	for i := range s {
		n += len(s[i].met)
	}
	return n
}

// Jobs are what workers are to go on from.
type Jobs[J any] struct {
	workers int
	open    atomic.Int64 // those that are not done
	waiting chan J
}

// Run has so many workers, one at the least, do all jobs and those that they give each other.
func Run[J any](workers int, begun []J, worker func(jobs *Jobs[J]) (do func(J))) {
	workers = max(workers, 1)
	jobs := &Jobs[J]{workers: workers, waiting: make(chan J, len(begun)+4*workers)}
	jobs.open.Store(int64(len(begun)))
	for _, j := range begun {
		jobs.waiting <- j
	}
	if len(begun) == 0 {
		close(jobs.waiting)
	}
	var all sync.WaitGroup
	for range workers {
		do := worker(jobs)
		all.Go(func() {
			for j := range jobs.waiting {
				do(j)
				if jobs.open.Add(-1) == 0 {
					close(jobs.waiting)
				}
			}
		})
	}
	all.Wait()
}

// Wanted tells whether another worker may have nothing to do.
func (j *Jobs[J]) Wanted() bool { return j.workers > 1 && len(j.waiting) == 0 }

// Give leaves a job to any worker, if there is room. It is called while one does a job.
func (j *Jobs[J]) Give(job J) (given bool) {
	j.open.Add(1)
	select {
	case j.waiting <- job:
		return true
	default:
		j.open.Add(-1)
		return false
	}
}
