package openids

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	// retentionTime is how long an id is refused after its request is over: several times as long as any client
	// waits for its answer.
	retentionTime = 30 * time.Second
	// maxRetained is the maximum number of ids; beyond it, the oldest are forgotten.
	maxRetained = 8192
)

// Retained has the ids of requests that are over, may have run and must not run twice. It is safe for
// concurrent use, and its memory is bounded. The zero value has none and is ready for use.
type Retained struct {
	mu    sync.Mutex
	order []retainedID // by time; the first may be forgotten
	added map[uint64]time.Time
}

// retainedID is one addition of an id.
type retainedID struct {
	number uint64
	at     time.Time
}

// Add retains an id from now on. Ids are hexadecimal numbers of 64 bits; any other text is ignored.
func (r *Retained) Add(id string, now time.Time) {
	number, err := parseID(id)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.added == nil {
		r.added = map[uint64]time.Time{}
	}
	r.order = append(r.order, retainedID{number, now})
	r.added[number] = now
	r.forget(now)
}

// Has reports whether an id is retained.
func (r *Retained) Has(id string, now time.Time) bool {
	number, err := parseID(id)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	_, has := r.added[number]
	return has
}

// All returns the ids that are retained, the oldest first.
func (r *Retained) All(now time.Time) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	for _, entry := range r.order {
		if r.added[entry.number].Equal(entry.at) {
			ids = append(ids, fmt.Sprintf("%016x", entry.number))
		}
	}
	return ids
}

// forget removes what has been retained long enough, and the oldest ids beyond the maximum. The caller holds
// mu.
func (r *Retained) forget(now time.Time) {
	for len(r.order) > 0 && (len(r.order) > maxRetained || now.Sub(r.order[0].at) >= retentionTime) {
		oldest := r.order[0]
		r.order = r.order[1:]
		if r.added[oldest.number].Equal(oldest.at) { // else it was added again
			delete(r.added, oldest.number)
		}
	}
}

func parseID(id string) (uint64, error) { return strconv.ParseUint(id, 16, 64) }
