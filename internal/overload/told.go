package overload

import (
	"time"
)

// told remembers which clients were turned away, how often, and when they were to come back: in a table of
// fixed size, where a new entry takes the place of the one that is due first among its few neighbours.
type retryAfterTable struct {
	entries []retryAfterEntry
	salt    uint64
}

// retryAfterEntry is a client that was turned away, by the hash of its key, tenant and class; zero: free.
type retryAfterEntry struct {
	client     uint64
	returnAt   time.Duration
	rejections uint8
}

const (
	retryAfterEntries    = 1 << 15 // 24 bytes each: 100,000 clients a minute that are told 2 s at most need a fifth
	retryAfterNeighbours = 8
	retryAfterGrace      = 4 * time.Second // after it was due, until who comes is new
)

func newRetryAfterTable(salt uint64) retryAfterTable {
	return retryAfterTable{entries: make([]retryAfterEntry, retryAfterEntries), salt: salt}
}

// who is a client as it can be told from others: by what it asks about. The salt keeps others from choosing
// keys that meet.
func (t *retryAfterTable) clientID(key, tenant, class string) uint64 {
	h := t.salt
	for _, s := range [...]string{key, tenant, class} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 0x100000001b3
		}
		h = (h ^ 0xff) * 0x100000001b3
	}
	return h | 1
}

// find returns the place of a client that was turned away of late, or nil.
func (t *retryAfterTable) find(now time.Duration, who uint64) *retryAfterEntry {
	first := int(who>>32) % (len(t.entries) - retryAfterNeighbours)
	for i := first; i < first+retryAfterNeighbours; i++ {
		if p := &t.entries[i]; p.client == who {
			if now > p.returnAt+retryAfterGrace {
				return nil
			}
			return p
		}
	}
	return nil
}

// note remembers that a client was turned away until it is due.
func (t *retryAfterTable) record(now time.Duration, who uint64, due time.Duration) {
	first := int(who>>32) % (len(t.entries) - retryAfterNeighbours)
	best := &t.entries[first]
	for i := first; i < first+retryAfterNeighbours; i++ {
		p := &t.entries[i]
		if p.client == who {
			best = p
			break
		}
		if p.returnAt < best.returnAt {
			best = p
		}
	}
	times := uint8(1)
	if best.client == who && now <= best.returnAt+retryAfterGrace {
		times = min(best.rejections, 254) + 1
	}
	*best = retryAfterEntry{client: who, returnAt: due, rejections: times}
}

// forget drops a client that was served.
func (t *retryAfterTable) forget(now time.Duration, who uint64) {
	if p := t.find(now, who); p != nil {
		*p = retryAfterEntry{}
	}
}
