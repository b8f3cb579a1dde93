package transport

import (
	"errors"
	"hash/maphash"
	"sync"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// A server may send a second copy of a response when nothing else is waiting on the connection any more. One
// that arrives while the connection rests ends the connection. One that crosses the next request would be
// taken for that request's response: nothing in a response tells to which request it belongs. One of a 200 is
// recognized by its content, which is that of the response before, and by coming soon after that and sooner
// than the server can answer. Refusals are all alike, and come at once: after them a connection rests longer
// (routing.RejectionReuseDelay).

// maxCopyDelay is how long after a response a second copy of it may come.
const maxCopyDelay = 50 * time.Millisecond

// minJudgedTime is the shortest time of a server from which it is judged what comes too soon: a copy that
// crosses the next request has to come within the time through the network.
const minJudgedTime = 10 * time.Millisecond

// minSamples is the number of responses from which a server's shortest time is certain. Fewer may all have
// been slow for a reason that has passed.
const minSamples = 8

// ResponseTimes are what is known of how fast a server can answer. It is safe for concurrent use; nil knows
// nothing.
type ResponseTimes struct {
	mu      sync.Mutex
	fastest time.Duration // zero: not known
	samples int
}

// record records the time of a response that certainly belongs to its request.
func (t *ResponseTimes) record(latency time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples++
	if t.fastest == 0 || latency < t.fastest {
		t.fastest = latency
	}
}

// isCertain reports whether the server's shortest time is known from many responses.
func (t *ResponseTimes) isCertain() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.samples >= minSamples
}

// isTooFast reports whether the server can hardly have answered in this time.
func (t *ResponseTimes) isTooFast(latency time.Duration) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fastest >= minJudgedTime && latency < t.fastest/2
}

// comparedBytes is how much of a body two responses must have in common to count as copies of one another.
const comparedBytes = 4 << 10

// fingerprintSeed is the seed of all fingerprints of this process.
var fingerprintSeed = maphash.MakeSeed()

// fingerprint identifies a response by what precedes its body and by the body's beginning.
type fingerprint struct {
	hash maphash.Hash
	left int // bytes of the body that are still compared
}

// begin begins the fingerprint of a response with a body of this announced length.
func (f *fingerprint) begin(response *protocol.UpstreamResponse, length int64) {
	f.hash.SetSeed(fingerprintSeed)
	maphash.WriteComparable(&f.hash, response.Outcome)
	maphash.WriteComparable(&f.hash, response.Status)
	maphash.WriteComparable(&f.hash, response.ContentType)
	maphash.WriteComparable(&f.hash, length)
	f.left = comparedBytes
}

// add adds bytes of the body.
func (f *fingerprint) add(b []byte) {
	b = b[:min(f.left, len(b))]
	f.left -= len(b)
	_, _ = f.hash.Write(b) // never fails
}

// errSecondCopy means that a response is a second copy of the one before on its connection.
var errSecondCopy = errors.New("second copy of the last response")

// secondCopies recognizes second copies on one connection. It is accessed only by the goroutine that reads
// the connection.
type secondCopies struct {
	times         *ResponseTimes
	hasResponse   bool   // a response was received before
	last          uint64 // its fingerprint
	lastEndedAt   time.Time
	begunAt       time.Time // arrival of the current response's first byte
	latency       time.Duration
	droppedAfter  time.Duration // latency of a copy that was dropped, until a response follows; else zero
	canBeRecorded bool          // the latency says how fast the server is
}

// begin begins the response to a request. Its first byte arrived at arrivedAt.
func (s *secondCopies) begin(arrivedAt time.Time, request *UpstreamRequest) {
	s.begunAt, s.latency = arrivedAt, arrivedAt.Sub(request.begunAt)
	s.canBeRecorded = !s.hasResponse && request.Rest == nil
}

// isCopy reports whether the response with this fingerprint is a second copy of the one before.
func (s *secondCopies) isCopy(f *fingerprint) bool {
	return s.hasResponse && s.begunAt.Sub(s.lastEndedAt) < maxCopyDelay && s.times.isTooFast(s.latency) &&
		f.hash.Sum64() == s.last
}

// end records a response that is no copy. Only of served requests it is known how fast a server can be.
func (s *secondCopies) end(f *fingerprint, outcome balancer.Outcome) {
	if s.canBeRecorded && outcome == balancer.Served {
		s.times.record(s.latency)
	}
	s.hasResponse, s.last, s.lastEndedAt, s.droppedAfter = true, f.hash.Sum64(), time.Now(), 0
}

// drop records that a copy was dropped.
func (s *secondCopies) drop() { s.droppedAfter = s.latency }

// heldResponse is a response that may be a second copy of the one before, from a server of which little is
// known. If another one follows before its attempt ends, it is a copy, else it is the request's response.
type heldResponse struct {
	protocol.UpstreamResponse
	print   fingerprint
	latency time.Duration
}

// release frees the memory of a response that is a copy.
func (h *heldResponse) release() { h.BodyStream.CloseRead() }

// accept records that a held response was no copy: the server is that fast.
func (s *secondCopies) accept(h *heldResponse) {
	s.times.record(h.latency)
	s.canBeRecorded = false
	s.end(&h.print, h.Outcome)
}

// connectionEnded records that no response follows. If a copy was dropped, it was none: the server is that
// fast.
func (s *secondCopies) connectionEnded() {
	if s.droppedAfter > 0 {
		s.times.record(s.droppedAfter)
	}
}
