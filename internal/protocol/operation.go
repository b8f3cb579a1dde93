package protocol

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
)

// MaxBufferedBody is up to how many bytes the body of a request is held whole; MaxUpload is how long it may be at the
// most. What is beyond the first is passed on as it comes.
const (
	MaxBufferedBody = 64 << 10
	MaxUpload       = 33 << 20
)

// Request is a client's request, decoded. It names no protocol: what came in another form than HTTP would
// be decoded into the same value and go through the same decisions.
type Request struct {
	CorrelationID string // passed on as it came
	Class         string
	Tenant        string
	Key           string        // empty: none
	IsRetry       bool          // marked as the client's repeat
	TimeLeft      time.Duration // that the client waits, from ArrivedAt on
	WorkHint      time.Duration // rough; zero: not told
	ArrivedAt     time.Time     // the earliest that this agent knows of it

	// Passed on unchanged.
	Method, Target, Host, ContentType string
	Accept                            string // what the client takes; empty: not passed on
	// IdempotencyKeys are the values of the request's Idempotency-Key fields, one as a rule: by them a booking
	// server tells a repeated request of a class that may be repeated under its key.
	IdempotencyKeys []string
	Body            []byte // of a longer one the beginning
	// Length is the whole body's where that is longer than Body; below zero: not told; zero: Body is all of it.
	Length int64
	// Rest is what follows Body, as it comes; nil: Body is all. BodyComplete is closed when it has come to its end.
	Rest         *bodystream.Flow
	BodyComplete <-chan struct{}

	// IsGraphQL has a booking server's answer with a status of 4xx passed on, where it is one in IsGraphQL.
	IsGraphQL bool

	// Release is called when the body is needed no longer; a further call does nothing.
	Release func()
}

// The ways in which an operation can be malformed.
var (
	ErrBodyTooLong = errors.New("the body is too long")
	errID          = errors.New("X-Correlation-Id must be 16 hexadecimal digits")
	errLeft        = errors.New("X-Time-Left-Ms must be a whole number of milliseconds")
	errTarget      = errors.New("the target must be a path, whose first part is the class")
	errMethod      = errors.New("the method must be GET, without a body, or POST")
)

// idempotencyKey is the header field that the IETF's draft names, in the form that net/http gives it.
const idempotencyKey = "Idempotency-Key"

const maxTimeLeftMS = int64(time.Hour / time.Millisecond)

// Format is a form in which operations come and answers go on a front socket: it begins the exchange for a
// request; nil: the request is not of this form.
type Format func(r *http.Request) Exchange

// Exchange is a request in its form, and its answer.
type Exchange interface {
	// Decode decodes the request and reads its body to the end: only after that does net/http notice that the
	// client has gone. Header checks come first, so that what is malformed costs no upload.
	Decode(room ReserveMemory) (*Request, error)
	// Encode writes the answer, up to a body that flows. The error is the connection's.
	Encode(w http.ResponseWriter, a Response) error
}

// ReserveMemory is asked for memory for a body before it is read, and returns what gives back all but a number of
// bytes of it. TimeLeft is how long the client waits, from the sending on.
type ReserveMemory func(bytes int64, timeLeft time.Duration) (keep func(int64), err error)

// HTTP is the form of plain requests. It takes all.
func HTTP(r *http.Request) Exchange { return plainExchange{r} }

type plainExchange struct{ r *http.Request }

func (p plainExchange) Decode(room ReserveMemory) (*Request, error) {
	r := p.r
	op := &Request{
		CorrelationID: r.Header.Get("X-Correlation-Id"), Tenant: r.Header.Get("X-Account"),
		IsRetry: r.Header.Get("X-Repeat") == "1", Method: r.Method, Target: r.RequestURI, Host: r.Host,
		ContentType: r.Header.Get("Content-Type"), IdempotencyKeys: r.Header[idempotencyKey],
	}
	if _, err := strconv.ParseUint(op.CorrelationID, 16, 64); err != nil || len(op.CorrelationID) != 16 {
		return nil, errID
	}
	var err error
	if op.TimeLeft, err = timeLeft(r.Header.Get("X-Time-Left-Ms")); err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(op.Target, "?")
	if !strings.HasPrefix(path, "/") {
		return nil, errTarget
	}
	if op.Class, _, _ = strings.Cut(path[1:], "/"); op.Class == "" {
		return nil, errTarget
	}
	if c, err := r.Cookie("sid"); err == nil {
		op.Key = c.Value
	}
	op.WorkHint = workHint(r.Header.Get("X-Facts"))
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, errMethod
	}
	return op, op.readBody(r, room, MaxUpload)
}

func timeLeft(ms string) (time.Duration, error) {
	left, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || left < 0 {
		return 0, errLeft
	}
	return time.Duration(min(left, maxTimeLeftMS)) * time.Millisecond, nil
}

// read reads the body, or the beginning of one that is longer than what is held whole, where longest bytes
// allow for that: the rest is the caller's to read, and one chunk of memory for it is asked for here.
func (op *Request) readBody(r *http.Request, room ReserveMemory, longest int64) error {
	op.Release = func() {}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > longest {
		return ErrBodyTooLong
	}
	most := r.ContentLength
	if most < 0 || most > MaxBufferedBody { // not told, or not held whole
		most = MaxBufferedBody + bodystream.Chunk
	}
	keep, err := room(most, op.TimeLeft)
	if err != nil {
		return err
	}
	op.Body, op.Length, err = readBody(r.Body, r.ContentLength)
	switch {
	case err == nil && r.Method == http.MethodGet && len(op.Body) > 0:
		err = errMethod
	case err == nil && op.Length != 0 && longest <= MaxBufferedBody:
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

// work finds the rough work among the further figures, in the simulator's name and microseconds; the others,
// and what is not understood, are passed over.
func workHint(facts string) time.Duration {
	for fact := range strings.SplitSeq(facts, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		if v, err := strconv.ParseInt(value, 10, 64); name == "weightHint" && err == nil && v > 0 {
			return microseconds(min(v, 1000*maxTimeLeftMS))
		}
	}
	return 0
}

// readBody reads a body of length bytes (below zero: not told), up to MaxBufferedBody. BodyComplete is the length of a
// longer one, zero: all was read.
func readBody(r io.Reader, length int64) (body []byte, whole int64, err error) {
	if length >= 0 {
		body = make([]byte, min(length, MaxBufferedBody))
		_, err = io.ReadFull(r, body)
		if length > MaxBufferedBody {
			whole = length
		}
		return body, whole, err
	}
	body, err = io.ReadAll(io.LimitReader(r, MaxBufferedBody))
	if err != nil || len(body) < MaxBufferedBody {
		return body, 0, err
	}
	var more [1]byte
	switch _, err := io.ReadFull(r, more[:]); err {
	case nil:
		return append(body, more[0]), -1, nil
	case io.EOF:
		return body, 0, nil
	default:
		return nil, 0, err
	}
}

// ResponseKind is how an operation ends.
type ResponseKind uint8

// The kinds of final answer.
const (
	Served ResponseKind = iota
	Rejected
	Failed
	Malformed
	TooLong
)

// Response is the one final answer of an operation.
type Response struct {
	Kind        ResponseKind
	Body        []byte           // a plain line for whoever reads it
	Flow        *bodystream.Flow // of a booking server's 200, in place of Body
	ContentType string
	Status      int            // of a booking server's answer; zero: 200
	RetryAfter  time.Duration  // of a busy reply; zero: no advice
	OverQuota   bool           // a busy reply for being beyond the tenant's share
	Quota       balancer.Quota // of the tenant, for a busy reply to tell of; zero: it doesn't
	Streaming   bool           // the rest of the flow follows as it comes; false: it is whole
}

// rejectionStatus tells who is beyond his share from a service that has no room.
func rejectionStatus(a Response) int {
	if a.OverQuota {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// setRateLimit writes the fields of the IETF's draft: requests for each second, those left of them, and in how
// many seconds there are more.
func setRateLimit(h http.Header, a Response) {
	each := max(int64(a.Quota.PerSecond), 1)
	h.Set("RateLimit-Policy", fmt.Sprintf(`"share";q=%d;w=1`, each))
	h.Set("RateLimit", fmt.Sprintf(`"share";r=%d;t=%d`, min(int64(a.Quota.Remaining), each),
		max(int64(math.Ceil(a.RetryAfter.Seconds())), 1)))
}

func (plainExchange) Encode(w http.ResponseWriter, a Response) error {
	status := cmp.Or(a.Status, http.StatusOK)
	switch a.Kind {
	case Rejected:
		status = rejectionStatus(a)
		if a.RetryAfter > 0 {
			setRetryAfter(w.Header(), a.RetryAfter)
		}
		if a.Quota.PerSecond > 0 {
			setRateLimit(w.Header(), a)
		}
	case Failed:
		status = http.StatusBadGateway
	case Malformed:
		status = http.StatusBadRequest
	case TooLong:
		status = http.StatusRequestEntityTooLarge
	}
	length := int64(len(a.Body))
	if a.Flow != nil {
		length = a.Flow.Length()
	}
	if a.ContentType == "" {
		a.ContentType = "text/plain; charset=utf-8"
	}
	return write(w, status, a.ContentType, length, a.Body)
}

func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

// write writes an answer, or its beginning. A length below zero is not known.
func write(w http.ResponseWriter, status int, contentType string, length int64, body []byte) error {
	h := w.Header()
	h.Set("Content-Type", contentType)
	if length >= 0 { // else chunks
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}
