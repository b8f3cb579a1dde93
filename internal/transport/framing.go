package transport

import (
	"net/http"
	"time"
)

// requestFrame is how one request of a connection is framed.
type requestFrame struct {
	length      int64 // of the body, unless isChunked
	isChunked   bool
	isRefused   bool // the header is complete, and what it says of the length is not clear
	isComplete  bool
	completedAt time.Time // when the last byte arrived, if isComplete
}

// matches reports whether net/http has read a request with the same framing. If it has not, the two would
// disagree about where the next request begins.
func (f *requestFrame) matches(r *http.Request) bool {
	if f == nil || f.isRefused {
		return false
	}
	if f.isChunked {
		return len(r.TransferEncoding) == 1
	}
	return len(r.TransferEncoding) == 0 && f.length == r.ContentLength
}

// framingPhase is what the next byte of a connection belongs to.
type framingPhase uint8

const (
	betweenRequests framingPhase = iota
	inHeader
	inBodyOfLength
	inChunkedBody
)

// requestFraming finds where requests begin and end in a client's input, and refuses requests whose end
// readers could disagree about: a part of such a request could be taken for another one (request smuggling).
// Nothing after the place where a request turns out to be malformed may be passed on. The zero value is ready
// for use.
type requestFraming struct {
	phase          framingPhase
	header         headScanner
	chunks         chunkScanner
	bodyLeft       int64          // bytes of the current body not received yet, in inBodyOfLength
	headerBytes    int64          // of the latest header, as far as it was received
	headersStarted int            // requests so far
	unanswered     []requestFrame // whose header is complete and whose response was not written, in order
	malformed      error          // why the input is malformed; nil: it is not
}

// advance parses bytes that were received at the given time, and returns how many of them may be passed on.
func (f *requestFraming) advance(b []byte, at time.Time) (passed int) {
	for passed < len(b) && f.malformed == nil {
		n, isEnd, err := f.parse(b[passed:])
		passed += n
		f.malformed = err
		switch {
		case isEnd && err == nil:
			f.endPhase(at)
		case isEnd: // its handler answers it
			f.unanswered = append(f.unanswered, requestFrame{isRefused: true})
		}
	}
	return passed
}

// parse parses bytes of the current phase, and reports whether they end it. It returns how many they are:
// after an error, without the byte that is wrong, unless it ends the header.
func (f *requestFraming) parse(b []byte) (n int, isEnd bool, err error) {
	switch f.phase {
	case betweenRequests:
		if b[0] == '\r' || b[0] == '\n' { // some clients send a line end after a body
			return 1, false, nil
		}
		f.phase, f.header = inHeader, headScanner{}
		f.headersStarted++
		f.headerBytes = 0
		fallthrough
	case inHeader:
		f.headerBytes++
		isEnd, err = f.header.consume(b[0])
	case inBodyOfLength:
		n = int(min(f.bodyLeft, int64(len(b))))
		f.bodyLeft -= int64(n)
		return n, f.bodyLeft == 0, nil
	case inChunkedBody:
		if n = f.chunks.skipData(b); n > 0 {
			return n, false, nil
		}
		isEnd, err = f.chunks.consume(b[0])
	}
	if err != nil && !isEnd {
		return 0, false, err
	}
	return 1, isEnd, err
}

// endPhase proceeds to the request's body, or to the next request.
func (f *requestFraming) endPhase(at time.Time) {
	if f.phase == inHeader {
		f.unanswered = append(f.unanswered, requestFrame{length: f.header.length, isChunked: f.header.isChunked})
		switch {
		case f.header.isChunked:
			f.phase, f.chunks = inChunkedBody, chunkScanner{}
			return
		case f.header.length > 0:
			f.phase, f.bodyLeft = inBodyOfLength, f.header.length
			return
		}
	}
	last := &f.unanswered[len(f.unanswered)-1]
	last.isComplete, last.completedAt = true, at
	f.phase = betweenRequests
}

// current returns the first request that is not answered; nil if there is none.
func (f *requestFraming) current() *requestFrame {
	if len(f.unanswered) == 0 {
		return nil
	}
	return &f.unanswered[0]
}

// latest returns the request whose header was the last one to be complete; nil if the next one has begun or
// all are answered.
func (f *requestFraming) latest() *requestFrame {
	if len(f.unanswered) == 0 || f.phase == inHeader {
		return nil
	}
	return &f.unanswered[len(f.unanswered)-1]
}

// answered records that the response to the current request was written.
func (f *requestFraming) answered() {
	if len(f.unanswered) > 0 {
		f.unanswered = append(f.unanswered[:0], f.unanswered[1:]...)
	}
}

// isInBody reports whether a body is being received.
func (f *requestFraming) isInBody() bool {
	return f.phase == inBodyOfLength || f.phase == inChunkedBody
}

// refusal returns why the input ends here; nil if it does not, or not before a complete request is answered.
func (f *requestFraming) refusal() error {
	if current := f.current(); current != nil && current.isComplete {
		return nil
	}
	return f.malformed
}
