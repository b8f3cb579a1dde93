package overload

import "time"

const (
	minRetryAfter       = 100 * time.Millisecond
	retryAfterTolerance = 20 * time.Millisecond // time by which a client may return early
	maxRejections       = 2                     // rejections after which a returning client is deprioritized

	retryAfterEntries    = 1 << 15 // clients; 24 bytes each
	retryAfterNeighbours = 8       // entries that can hold a given client
	retryAfterGrace      = 4 * time.Second
)

// retryAfter returns the Retry-After of a rejected client and records when the client should return.
// Clients return one after another, no two at once, at the rate at which requests were recently served. It
// returns zero if the deployment does not allow Retry-After.
func (c *Controller) retryAfter(client clientID) time.Duration {
	if !c.settings.Limits.RetryAfter {
		return 0
	}
	maxAfter := c.settings.Limits.MaxRetryAfter
	gap := time.Duration(float64(time.Second) / max(c.usualSuccesses.perSecond(c.now), 1))
	c.lastReturnSlot = max(c.lastReturnSlot, c.now+minRetryAfter) + gap
	after := c.lastReturnSlot - c.now
	if after > maxAfter { // the schedule exceeds the maximum: spread clients over its later half
		c.lastReturnSlot = c.now + maxAfter
		after = maxAfter - time.Duration(c.rng.Float64()/2*float64(maxAfter))
	}
	c.retryAfters.record(c.now, client, c.now+after)
	return after
}

// clientID identifies a client by its requests: a salted hash of key, tenant and class, never zero.
type clientID uint64

// retryAfterTable stores which clients were rejected, how often, and when they should return. Its size is
// fixed: a new entry replaces the earliest-due entry among its neighbours.
type retryAfterTable struct {
	entries []retryAfterEntry
	salt    uint64
}

// retryAfterEntry is a rejected client; client zero: the entry is free.
type retryAfterEntry struct {
	client     clientID
	returnAt   time.Duration
	rejections uint8
}

func newRetryAfterTable(salt uint64) retryAfterTable {
	return retryAfterTable{entries: make([]retryAfterEntry, retryAfterEntries), salt: salt}
}

// clientID returns the hash of a client's key, tenant and class. The salt prevents others from choosing
// keys that collide.
func (t *retryAfterTable) clientID(key, tenant, class string) clientID {
	const prime = 0x100000001b3 // of 64-bit FNV-1a
	h := t.salt
	for _, s := range [...]string{key, tenant, class} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * prime
		}
		h = (h ^ 0xff) * prime
	}
	return clientID(h | 1)
}

// neighbours returns the entries that can hold a client.
func (t *retryAfterTable) neighbours(client clientID) []retryAfterEntry {
	first := int(client>>32) % (len(t.entries) - retryAfterNeighbours)
	return t.entries[first : first+retryAfterNeighbours]
}

// find returns the entry of a recently rejected client, or nil. A client counts as new once retryAfterGrace
// has passed since it was due.
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

// record stores that a client was rejected and when it should return.
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

// forget removes a client that was served.
func (t *retryAfterTable) forget(now time.Duration, client clientID) {
	if e := t.find(now, client); e != nil {
		*e = retryAfterEntry{}
	}
}

// ignoresRetryAfter reports whether a client that returns now ignores its Retry-After, or was rejected more
// than maxRejections times.
func (e *retryAfterEntry) ignoresRetryAfter(now time.Duration) bool {
	return now < e.returnAt-retryAfterTolerance || e.rejections > maxRejections
}
