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
	// MaxBufferedBody is the maximum number of bytes of a request's body that are buffered; the rest is
	// streamed.
	MaxBufferedBody = 64 << 10
	// MaxUpload is the maximum length of a request's body, in bytes.
	MaxUpload = 33 << 20
	// maxTimeLeftMS is the maximum time that a client waits, in milliseconds; longer times are reduced to it.
	maxTimeLeftMS = int64(time.Hour / time.Millisecond)
	// correlationIDDigits is the length of a correlation id, in hexadecimal digits.
	correlationIDDigits = 16
)

// Request is a client's request, decoded. Requests of all formats are decoded into it and handled alike from
// there on.
type Request struct {
	CorrelationID string // forwarded unchanged
	Class         string
	Tenant        string
	Key           string        // key for consistent hashing; empty if there is none
	IsRetry       bool          // whether the client marked it as a retry of its own
	TimeLeft      time.Duration // how long the client waits, counted from ArrivedAt
	WorkHint      time.Duration // rough estimate of the work; zero if there is none
	ArrivedAt     time.Time     // earliest time at which the client can have sent it, as far as this agent knows

	// Method, Target, Host and ContentType are forwarded unchanged.
	Method, Target, Host, ContentType string
	Accept                            string // accepted media types; not forwarded if empty
	// IdempotencyKeys are the values of the Idempotency-Key fields, usually one. An upstream server uses them to
	// recognise a retry in a class that is idempotent with a key.
	IdempotencyKeys []string
	Body            []byte // only the first part of a body that is longer than MaxBufferedBody
	// Length is zero if Body is complete, else the length of the whole body in bytes; negative if unknown.
	Length int64
	// Rest streams what follows Body; nil if Body is complete. BodyComplete then receives once when the last
	// byte arrived at this machine, read or not, or is presumed to have arrived; nil: ArrivedAt is that time.
	Rest         *bodystream.Stream
	BodyComplete <-chan time.Time
	// ClientWaited returns, before BodyComplete is received, for how long the client may have waited since its
	// last byte all the same; nil: not at all.
	ClientWaited func() time.Duration

	// IsGraphQL causes a 4xx response to be forwarded if its media type is one of GraphQL.
	IsGraphQL bool

	// ClientGone reports whether the client has closed its connection by now, as the system knows it; nil:
	// unknown. A reader that is not scheduled learns of it late.
	ClientGone func() bool

	// Previous is closed when nothing of the request before on the same connection is queued any more; nil:
	// nothing is.
	Previous <-chan struct{}

	// Release releases the body's memory; further calls do nothing.
	Release func()
}

// ErrBodyTooLong means that a request's body is longer than permitted. Its text is sent to clients, like
// those of the errors below.
var ErrBodyTooLong = errors.New("the body is too long")

// The other ways in which a request can be malformed.
var (
	errCorrelationID = errors.New("X-Correlation-Id must be 16 hexadecimal digits")
	errTimeLeft      = errors.New("X-Time-Left-Ms must be a whole number of milliseconds")
	errTarget        = errors.New("the target must be a path, whose first part is the class")
	errMethod        = errors.New("the method must be GET, without a body, or POST")
)

// idempotencyKeyHeader is the header field of the IETF draft, in net/http's canonical form.
const idempotencyKeyHeader = "Idempotency-Key"

// isCorrelationID reports whether a text is a valid correlation id.
func isCorrelationID(text string) bool {
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil && len(text) == correlationIDDigits
}

// Format is a format of requests and responses on a downstream socket. It returns the exchange for a request,
// or nil if the request is not in this format.
type Format func(r *http.Request) Exchange

// Exchange decodes one request in its format and encodes the response.
type Exchange interface {
	// Decode decodes the request and reads its body to the end, unless the body is streamed: only after that
	// does net/http notice that the client has disconnected. The header is checked first, so that a malformed
	// request is rejected without reading its body.
	Decode(reserve ReserveMemory) (*Request, error)
	// Encode writes the response, except for a streamed body. An error means that the connection failed.
	Encode(w http.ResponseWriter, response Response) error
}

// ReserveMemory reserves memory for a body before it is read. The returned function keeps the given number
// of bytes and releases the others. timeLeft is how long the client waits, counted from when it sent the
// request.
type ReserveMemory func(bytes int64, timeLeft time.Duration) (keep func(int64), err error)

// readBody reads the body into memory that it reserves. If the body is longer than MaxBufferedBody and
// maxBytes permits that, it reads only the beginning: the caller reads the rest, and memory for one chunk
// of it is reserved here.
func (op *Request) readBody(r *http.Request, reserve ReserveMemory, maxBytes int64) error {
	op.Release = func() {}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > maxBytes {
		return ErrBodyTooLong
	}
	needed := r.ContentLength
	if needed < 0 || needed > MaxBufferedBody { // unknown, or too long to be buffered
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

// readBody reads up to MaxBufferedBody bytes of a body, and one more if it must find out whether there are
// more. length is negative if it is unknown. total is zero if the returned body is complete, else the
// length of the whole body, or negative if that is unknown.
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
