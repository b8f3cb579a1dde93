package protocol

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"dunestep/internal/bodystream"
)

const (
	// MaxBufferedBody is how many bytes of a request's body are buffered; what is beyond is streamed.
	MaxBufferedBody = 64 << 10
	// MaxUpload is how many bytes a request's body may have.
	MaxUpload = 33 << 20
	// maxTimeLeftMS bounds the time that a client can say it waits, in milliseconds.
	maxTimeLeftMS = int64(time.Hour / time.Millisecond)
	// correlationIDDigits is the length of a correlation id, in hexadecimal digits.
	correlationIDDigits = 16
)

// Request is a client's request, decoded. Requests of all formats are decoded into it, and take the same way
// from there.
type Request struct {
	CorrelationID string // forwarded unchanged
	Class         string
	Tenant        string
	Key           string        // of consistent hashing; empty: none
	IsRetry       bool          // marked by the client as a retry of its own
	TimeLeft      time.Duration // that the client waits, from ArrivedAt on
	WorkHint      time.Duration // a rough estimate of the work; zero: none
	ArrivedAt     time.Time     // the earliest time at which it can have been sent, as far as this agent knows

	// Forwarded unchanged.
	Method, Target, Host, ContentType string
	Accept                            string // media types; empty: not forwarded
	// IdempotencyKeys are the values of the Idempotency-Key fields, usually one: by them an upstream server
	// recognises a retry in a class that is idempotent with a key.
	IdempotencyKeys []string
	Body            []byte // its first part if it is longer than MaxBufferedBody
	// Length is the body's length if it is longer than Body; negative: not known; zero: Body is complete.
	Length int64
	// Rest is what follows Body, as it comes; nil: nothing does. BodyComplete is closed when it has come to its
	// end.
	Rest         *bodystream.Stream
	BodyComplete <-chan struct{}

	// IsGraphQL has a response with a status of 4xx forwarded if its media type is one of GraphQL.
	IsGraphQL bool

	// Release gives back the body's memory; a further call does nothing.
	Release func()
}

// ErrBodyTooLong says that a request's body is longer than permitted. Clients get its text, as that of the
// errors below.
var ErrBodyTooLong = errors.New("the body is too long")

// The other ways in which a request can be malformed.
var (
	errID       = errors.New("X-Correlation-Id must be 16 hexadecimal digits")
	errTimeLeft = errors.New("X-Time-Left-Ms must be a whole number of milliseconds")
	errTarget   = errors.New("the target must be a path, whose first part is the class")
	errMethod   = errors.New("the method must be GET, without a body, or POST")
)

// idempotencyKeyHeader is the header field of the IETF's draft, in the form that net/http gives it.
const idempotencyKeyHeader = "Idempotency-Key"

// isCorrelationID reports whether a text has the form of a correlation id.
func isCorrelationID(text string) bool {
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil && len(text) == correlationIDDigits
}

// Format is a form of requests and responses on a downstream socket. It begins the exchange for a request;
// nil: the request is not of this form.
type Format func(r *http.Request) Exchange

// Exchange is a request in its format, and its response.
type Exchange interface {
	// Decode decodes the request and reads its body to the end: only after that does net/http notice that the
	// client has gone. The header is checked first, so that a malformed request costs no upload.
	Decode(reserve ReserveMemory) (*Request, error)
	// Encode writes the response, up to a body that is streamed. The error is the connection's.
	Encode(w http.ResponseWriter, response Response) error
}

// ReserveMemory reserves memory for a body before it is read. It returns a function that gives back all but a
// number of bytes of it. timeLeft is how long the client waits, from the sending on.
type ReserveMemory func(bytes int64, timeLeft time.Duration) (keep func(int64), err error)

// readBody reads the body, or the beginning of one that is longer than MaxBufferedBody if maxBytes permits
// that: the rest is the caller's to read, and memory for one chunk of it is reserved here.
func (op *Request) readBody(r *http.Request, reserve ReserveMemory, maxBytes int64) error {
	op.Release = func() {}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > maxBytes {
		return ErrBodyTooLong
	}
	needed := r.ContentLength
	if needed < 0 || needed > MaxBufferedBody { // not known, or not buffered
		needed = MaxBufferedBody + bodystream.ChunkBytes
	}
	keep, err := reserve(needed, op.TimeLeft)
	if err != nil {
		return err
	}
	op.Body, op.Length, err = readBody(r.Body, r.ContentLength)
	switch {
	case err == nil && r.Method == http.MethodGet && len(op.Body) > 0:
		err = errMethod
	case err == nil && op.Length != 0 && maxBytes <= MaxBufferedBody:
		err = ErrBodyTooLong
	}
	if err != nil {
		keep(0)
		return err
	}
	if op.Length == 0 {
		keep(int64(len(op.Body)))
	}
	op.Release = func() { keep(0) }
	return nil
}

// readBody reads up to MaxBufferedBody bytes of a body; length is negative if it is not known. total is zero
// if that is all of it, else its length, or negative.
func readBody(r io.Reader, length int64) (body []byte, total int64, err error) {
	if length >= 0 {
		body = make([]byte, min(length, MaxBufferedBody))
		_, err = io.ReadFull(r, body)
		if length > MaxBufferedBody {
			total = length
		}
		return body, total, err
	}
	body, err = io.ReadAll(io.LimitReader(r, MaxBufferedBody))
	if err != nil || len(body) < MaxBufferedBody {
		return body, 0, err
	}
	var more [1]byte
	switch _, err = io.ReadFull(r, more[:]); {
	case err == nil:
		return append(body, more[0]), -1, nil
	case errors.Is(err, io.EOF):
		return body, 0, nil
	default:
		return nil, 0, err
	}
}
