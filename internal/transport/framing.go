package transport

import "time"

// bodyFraming is how the ends of request bodies on a connection are marked so far.
type bodyFraming uint8

const (
	framedByLength bodyFraming = iota
	framedByChunks             // the rest is not parsed: the connection is closed after this request
	framedByBoth               // both Content-Length and Transfer-Encoding: must not be forwarded
)

const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
	maxContentLength     = 1 << 40 // bytes; larger values are truncated here, and the body is rejected elsewhere
)

// requestFraming finds where requests begin and end in a client's input. A request with both Content-Length
// and Transfer-Encoding may hide another one in its body (request smuggling), and net/http drops the
// length, so that a handler can't detect it. The zero value is ready for use.
type requestFraming struct {
	headerName          [18]byte // beginning of the current line, in lower case
	lineLength          int      // bytes of the current line so far, at most len(headerName)+1
	isInValue           bool     // past the first colon of the line
	contentLength       int64
	hasContentLength    bool // whether the current header has the field; likewise below
	hasTransferEncoding bool
	bodyLeft            int64 // bytes of the current body not received yet
	headersStarted      int   // requests so far
	isInHeader          bool
	bodyFraming         bodyFraming
	completedAt         []time.Time // times at which requests became complete that are not answered yet
}

// advance parses bytes that were received at the given time.
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
			if b[0] == '\r' || b[0] == '\n' { // some clients send a line end after a body
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

// recordCompletion records the time if the current request is complete.
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

// headerNameIs reports whether the field name of the current line is name. It ignores the white space that
// malformed requests have before the colon.
func (f *requestFraming) headerNameIs(name string) bool {
	n := min(f.lineLength, len(f.headerName))
	for n > 0 && (f.headerName[n-1] == ' ' || f.headerName[n-1] == '\t') {
		n--
	}
	return string(f.headerName[:n]) == name
}

// finishHeader proceeds to the body, if there is one.
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
