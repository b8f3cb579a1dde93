package protocol

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxBody is the most bytes that a body holds, either way.
const MaxBody = 64 << 10

// Operation is a client's request, decoded. It names no protocol: what came in another form than HTTP would
// be decoded into the same value and go through the same decisions.
type Operation struct {
	CorrelationID string // passed on as it came
	Class         string
	Tenant        string
	Key           string        // empty: none
	Repeat        bool          // marked as the client's repeat
	TimeLeft      time.Duration // that the client waits, from Sent on
	Work          time.Duration // rough; zero: not told
	Sent          time.Time     // the earliest that this agent knows of it

	// Passed on unchanged.
	Method, Target, Host, ContentType string
	Body                              []byte
}

// The ways in which an operation can be malformed.
var (
	ErrTooLong = errors.New("the body is longer than 64 KiB")
	errID      = errors.New("X-Correlation-Id must be 16 hexadecimal digits")
	errLeft    = errors.New("X-Time-Left-Ms must be a whole number of milliseconds")
	errTarget  = errors.New("the target must be a path, whose first part is the class")
	errMethod  = errors.New("the method must be GET, without a body, or POST")
)

const maxTimeLeftMS = int64(time.Hour / time.Millisecond)

// DecodeOperation decodes a client's request and reads its body to the end: only after that does net/http
// notice that the client has gone. Header checks come first, so that what is malformed costs no upload.
func DecodeOperation(r *http.Request) (*Operation, error) {
	op := &Operation{CorrelationID: r.Header.Get("X-Correlation-Id"), Tenant: r.Header.Get("X-Account"),
		Repeat: r.Header.Get("X-Repeat") == "1", Method: r.Method, Target: r.RequestURI, Host: r.Host,
		ContentType: r.Header.Get("Content-Type")}
	if _, err := strconv.ParseUint(op.CorrelationID, 16, 64); err != nil || len(op.CorrelationID) != 16 {
		return nil, errID
	}
	left, err := strconv.ParseInt(r.Header.Get("X-Time-Left-Ms"), 10, 64)
	if err != nil || left < 0 {
		return nil, errLeft
	}
	op.TimeLeft = time.Duration(min(left, maxTimeLeftMS)) * time.Millisecond
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
	op.Work = work(r.Header.Get("X-Facts"))
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, errMethod
	}
	if op.Body, err = readBody(r.Body, r.ContentLength); err != nil {
		return nil, err
	}
	if r.Method == http.MethodGet && len(op.Body) > 0 {
		return nil, errMethod
	}
	return op, nil
}

// work finds the rough work among the further figures, in the simulator's name and microseconds; the others,
// and what is not understood, are passed over.
func work(facts string) time.Duration {
	for fact := range strings.SplitSeq(facts, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		if v, err := strconv.ParseInt(value, 10, 64); name == "weightHint" && err == nil && v > 0 {
			return micros(min(v, 1000*maxTimeLeftMS))
		}
	}
	return 0
}

// readBody reads a body of at most MaxBody bytes. The length is what was announced; below zero: nothing was.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length > MaxBody {
		return nil, ErrTooLong
	}
	if length == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBody {
		return nil, ErrTooLong
	}
	return body, nil
}

// AnswerKind is how an operation ends.
type AnswerKind uint8

// The kinds of final answer.
const (
	Served AnswerKind = iota
	BusyReply
	Failed
	Malformed
	TooLong
)

// Answer is the one final answer of an operation.
type Answer struct {
	Kind        AnswerKind
	Body        []byte // of a booking server's 200, or a plain line for whoever reads it
	ContentType string
	RetryAfter  time.Duration // of a busy reply; zero: no advice
}

// EncodeAnswer writes an answer as HTTP. The error is the connection's.
func EncodeAnswer(w http.ResponseWriter, a Answer) error {
	h := w.Header()
	status := http.StatusOK
	switch a.Kind {
	case BusyReply:
		status = http.StatusServiceUnavailable
		if a.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
	case Failed:
		status = http.StatusBadGateway
	case Malformed:
		status = http.StatusBadRequest
	case TooLong:
		status = http.StatusRequestEntityTooLarge
	}
	if a.ContentType == "" {
		a.ContentType = "text/plain; charset=utf-8"
	}
	h.Set("Content-Type", a.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(status)
	_, err := w.Write(a.Body)
	return err
}
