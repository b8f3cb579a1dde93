package transport

import "time"

// bodyFraming is how the end of a request's body is marked, on the whole connection so far.
type bodyFraming uint8

const (
	framedByLength bodyFraming = iota
	framedByChunks             // what follows is not parsed: the connection is closed after it
	framedByBoth               // by Content-Length and Transfer-Encoding: not to be forwarded
)

const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
	maxContentLength     = 1 << 40 // bytes; larger values are cut off here, the body is rejected elsewhere
)

// requestFraming finds where requests begin and end in what a client sends. A request with both
// Content-Length and Transfer-Encoding may hide another one in its body, and net/http drops the length, so
// that its handler can't tell. The zero value is ready for use.
type requestFraming struct {
	headerName          [18]byte // the beginning of the present line, in lower case
	lineLength          int      // bytes of the present line so far, up to one more than headerName holds
	isInValue           bool     // past the first colon of the line
	contentLength       int64
	hasContentLength    bool // of the present header, as hasTransferEncoding
	hasTransferEncoding bool
	bodyLeft            int64 // bytes of a body still to come
	headersStarted      int   // requests so far
	isInHeader          bool
	bodyFraming         bodyFraming
	completedAt         []time.Time // of requests that are complete and not answered yet
}

// advance parses bytes that were received at a time.
func (f *requestFraming) advance(b []byte, at time.Time) {
	for len(b) > 0 && f.bodyFraming == framedByLength {
		if f.bodyLeft > 0 {
			skipped := min(f.bodyLeft, int64(len(b)))
			f.bodyLeft -= skipped
			b = b[skipped:]
			f.recordCompletion(at)
			continue
		}
		if !f.isInHeader {
			if b[0] == '\r' || b[0] == '\n' { // some clients end a body so
				b = b[1:]
				continue
			}
			f.isInHeader = true
			f.headersStarted++
		}
		f.consumeHeaderByte(b[0])
		b = b[1:]
		f.recordCompletion(at)
	}
}

// recordCompletion records the time if a request is complete.
func (f *requestFraming) recordCompletion(at time.Time) {
	if !f.isInHeader && f.bodyLeft == 0 && f.bodyFraming == framedByLength {
		f.completedAt = append(f.completedAt, at)
	}
}

// consumeHeaderByte parses one byte of a header.
func (f *requestFraming) consumeHeaderByte(c byte) {
	switch {
	case c == '\r':
	case c == '\n' && f.lineLength == 0: // the empty line
		f.finishHeader()
	case c == '\n':
		f.lineLength, f.isInValue = 0, false
	case f.isInValue:
		if c >= '0' && c <= '9' && f.headerNameIs(contentLengthName) && f.contentLength < maxContentLength {
			f.contentLength = 10*f.contentLength + int64(c-'0')
		}
	case c == ':':
		f.isInValue = true
		if f.headerNameIs(contentLengthName) {
			f.hasContentLength, f.contentLength = true, 0
		}
		f.hasTransferEncoding = f.hasTransferEncoding || f.headerNameIs(transferEncodingName)
		f.lineLength = max(f.lineLength, 1)
	default:
		if f.lineLength < len(f.headerName) {
			if c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			f.headerName[f.lineLength] = c
		}
		f.lineLength = min(f.lineLength+1, len(f.headerName)+1)
	}
}

// headerNameIs compares the name of the present line, without the white space that malformed requests have
// before the colon.
func (f *requestFraming) headerNameIs(name string) bool {
	n := min(f.lineLength, len(f.headerName))
	for n > 0 && (f.headerName[n-1] == ' ' || f.headerName[n-1] == '\t') {
		n--
	}
	return string(f.headerName[:n]) == name
}

// finishHeader goes on to the body, if there is one.
func (f *requestFraming) finishHeader() {
	switch {
	case f.hasTransferEncoding && f.hasContentLength:
		f.bodyFraming = framedByBoth
	case f.hasTransferEncoding:
		f.bodyFraming = framedByChunks
	}
	f.bodyLeft = f.contentLength
	f.hasContentLength, f.hasTransferEncoding, f.isInHeader = false, false, false
	f.contentLength, f.lineLength, f.isInValue = 0, 0, false
}
