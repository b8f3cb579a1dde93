package routing

import "time"

const (
	// clientBufferBytes is how much of what a client has written its own machine may hold: Linux's usual maximum
	// for one connection.
	clientBufferBytes = 4 << 20
	// maxUnknownBytes is how much of a body of unknown length may have arrived if its end is presumed to be
	// near.
	maxUnknownBytes = 2 * clientBufferBytes
	// arrivalStepBytes is the resolution of HeldBack.
	arrivalStepBytes = 256 << 10
)

// HeldBack tells since when a client may have written the last byte of a body that this agent reads more
// slowly than it is written. The rest then lies in the buffers of two machines, the client's own among them,
// and the client's time runs although nothing arrives. The zero value is that of a body of which nothing has
// arrived.
type HeldBack struct {
	startedAt time.Time     // the client can't have written all of it before
	arrived   int64         // bytes that have arrived at this machine, read or not
	steps     []arrivalStep // when arrived passed multiples of arrivalStepBytes, the latest ones
}

type arrivalStep struct {
	arrived int64
	at      time.Time
}

// Start begins a body, whose header arrived at a time.
func (h *HeldBack) Start(at time.Time) { *h = HeldBack{startedAt: at, steps: h.steps[:0]} }

// Drained records that all that had been written was read, until the next bytes arrived at a time.
func (h *HeldBack) Drained(at time.Time) {
	if at.After(h.startedAt) {
		h.startedAt = at
	}
}

// Observe records how many bytes of the body have arrived by now.
func (h *HeldBack) Observe(now time.Time, arrived int64) {
	if arrived <= h.arrived {
		return
	}
	before := h.arrived / arrivalStepBytes
	if h.arrived = arrived; arrived/arrivalStepBytes == before {
		return
	}
	h.steps = append(h.steps, arrivalStep{arrived, now})
	if len(h.steps) > clientBufferBytes/arrivalStepBytes+2 {
		h.steps = append(h.steps[:0], h.steps[1:]...)
	}
}

// WrittenSince returns the earliest time at which the client can have written the last byte. missing is how
// much of the body has not arrived; negative: not known. It returns false if the client is certainly still
// writing, or if so much has come of a body of unknown length that it may go on for long.
func (h *HeldBack) WrittenSince(missing int64) (at time.Time, isPossible bool) {
	switch {
	case missing > clientBufferBytes, missing < 0 && h.arrived > maxUnknownBytes:
		return time.Time{}, false
	case missing < 0:
		missing = 0
	}
	return h.arrivedAt(h.arrived + missing - clientBufferBytes), true
}

// arrivedAt returns the earliest time at which so many bytes can have arrived, the start at the earliest.
func (h *HeldBack) arrivedAt(bytes int64) time.Time {
	at := h.startedAt
	for _, step := range h.steps {
		if step.arrived <= bytes && step.at.After(at) {
			at = step.at
		}
	}
	return at
}
