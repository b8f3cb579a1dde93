package overload

import "time"

const (
	minRetryAfter       = 100 * time.Millisecond
	retryAfterTolerance = 20 * time.Millisecond // that a client may come back too early
	maxRejections       = 2                     // a client that returns after more is deprioritized

	retryAfterEntries    = 1 << 15 // clients; 24 bytes each
	retryAfterNeighbours = 8       // entries in which a client can be
	retryAfterGrace      = 4 * time.Second
)

// retryAfter schedules when a rejected client is to come back, and remembers that: clients come back one
// after another, no two at once, as fast as requests were served of late. Zero where the deployment allows no
// Retry-After.
func (c *Controller) retryAfter(client clientID) time.Duration {
	if !c.settings.Limits.RetryAfter {
		return 0
	}
	longest := c.settings.Limits.MaxRetryAfter
	gap := time.Duration(float64(time.Second) / max(c.usualSuccesses.perSecond(c.now), 1))
	c.lastReturnSlot = max(c.lastReturnSlot, c.now+minRetryAfter) + gap
	after := c.lastReturnSlot - c.now
	if after > longest { // the queue is longer than may be said: they spread over the later half
		c.lastReturnSlot = c.now + longest
		after = longest - time.Duration(c.rng.Float64()/2*float64(longest))
	}
	c.retryAfters.record(c.now, client, c.now+after)
	return after
}

// clientID identifies clients by what they request: a salted hash of key, tenant and class, never zero.
type clientID uint64

// retryAfterTable remembers which clients were rejected, how often, and when they are to come back. Its size
// is fixed: a new entry takes the place of the one among its few neighbours that is due first.
type retryAfterTable struct {
	entries []retryAfterEntry
	salt    uint64
}

// retryAfterEntry is a client that was rejected; client zero: the entry is free.
type retryAfterEntry struct {
	client     clientID
	returnAt   time.Duration
	rejections uint8
}

func newRetryAfterTable(salt uint64) retryAfterTable {
	return retryAfterTable{entries: make([]retryAfterEntry, retryAfterEntries), salt: salt}
}

// clientID hashes what a client asks for. The salt keeps others from choosing keys that collide.
func (t *retryAfterTable) clientID(key, tenant, class string) clientID {
	const prime = 0x100000001b3 // of FNV-1a, 64 bits
	h := t.salt
	for _, s := range [...]string{key, tenant, class} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * prime
		}
		h = (h ^ 0xff) * prime
	}
	return clientID(h | 1)
}

// neighbours are the entries in which a client can be.
func (t *retryAfterTable) neighbours(client clientID) []retryAfterEntry {
	first := int(client>>32) % (len(t.entries) - retryAfterNeighbours)
	return t.entries[first : first+retryAfterNeighbours]
}

// find returns the entry of a client that was rejected of late, or nil: retryAfterGrace after it was due, a
// client counts as new.
func (t *retryAfterTable) find(now time.Duration, client clientID) *retryAfterEntry {
	neighbours := t.neighbours(client)
	for i := range neighbours {
		if e := &neighbours[i]; e.client == client {
			if now > e.returnAt+retryAfterGrace {
				return nil
			}
			return e
		}
	}
	return nil
}

// record remembers that a client was rejected until it is due.
func (t *retryAfterTable) record(now time.Duration, client clientID, returnAt time.Duration) {
	neighbours := t.neighbours(client)
	best := &neighbours[0]
	for i := range neighbours {
		e := &neighbours[i]
		if e.client == client {
			best = e
			break
		}
		if e.returnAt < best.returnAt {
			best = e
		}
	}
	rejections := uint8(1)
	if best.client == client && now <= best.returnAt+retryAfterGrace {
		rejections = min(best.rejections, 254) + 1
	}
	*best = retryAfterEntry{client: client, returnAt: returnAt, rejections: rejections}
}

// forget drops a client that was served.
func (t *retryAfterTable) forget(now time.Duration, client clientID) {
	if e := t.find(now, client); e != nil {
		*e = retryAfterEntry{}
	}
}

// ignoresRetryAfter reports whether a client that is back ignores its Retry-After, or has been rejected
// several times already.
func (e *retryAfterEntry) ignoresRetryAfter(now time.Duration) bool {
	return now < e.returnAt-retryAfterTolerance || e.rejections > maxRejections
}
