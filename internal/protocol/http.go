package protocol

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HTTP is the format of plain HTTP requests. It accepts every request.
func HTTP(r *http.Request) Exchange { return plainExchange{r} }

// plainExchange is a plain HTTP request and its response.
type plainExchange struct{ r *http.Request }

// Decode reads the request's properties from header fields and a cookie.
func (p plainExchange) Decode(reserve ReserveMemory) (*Request, error) {
	r := p.r
	op := &Request{
		CorrelationID: r.Header.Get("X-Correlation-Id"), Tenant: r.Header.Get("X-Account"),
		IsRetry: r.Header.Get("X-Repeat") == "1", Method: r.Method, Target: r.RequestURI, Host: r.Host,
		ContentType: r.Header.Get("Content-Type"), IdempotencyKeys: r.Header[idempotencyKeyHeader],
	}
	if !isCorrelationID(op.CorrelationID) {
		return nil, errCorrelationID
	}
	var err error
	if op.TimeLeft, err = parseTimeLeft(r.Header.Get("X-Time-Left-Ms")); err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(op.Target, "?")
	if !strings.HasPrefix(path, "/") {
		return nil, errTarget
	}
	if op.Class, _, _ = strings.Cut(path[1:], "/"); op.Class == "" {
		return nil, errTarget
	}
	if c, cookieErr := r.Cookie("sid"); cookieErr == nil {
		op.Key = c.Value
	}
	op.WorkHint = workHint(r.Header.Get("X-Facts"))
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, errMethod
	}
	return op, op.readBody(r, reserve, MaxUpload)
}

// parseTimeLeft parses a time in milliseconds. More than an hour is reduced to an hour.
func parseTimeLeft(ms string) (time.Duration, error) {
	left, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || left < 0 {
		return 0, errTimeLeft
	}
	return time.Duration(min(left, maxTimeLeftMS)) * time.Millisecond, nil
}

// workHint returns the estimated work among the NAME=VALUE pairs that a client sends, where it is in
// microseconds under the simulator's name; zero if there is none. Other pairs and malformed ones are ignored.
func workHint(facts string) time.Duration {
	for fact := range strings.SplitSeq(facts, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		if v, err := strconv.ParseInt(value, 10, 64); name == "weightHint" && err == nil && v > 0 {
			return microseconds(min(v, 1000*maxTimeLeftMS))
		}
	}
	return 0
}

// Encode writes a response as plain HTTP.
func (plainExchange) Encode(w http.ResponseWriter, response Response) error {
	status := cmp.Or(response.Status, http.StatusOK)
	switch response.Kind {
	case Rejected:
		status = rejectionStatus(response)
		if response.RetryAfter > 0 {
			setRetryAfter(w.Header(), response.RetryAfter)
		}
		if response.Quota.PerSecond > 0 {
			setRateLimit(w.Header(), response)
		}
	case Failed:
		status = http.StatusBadGateway
	case Malformed:
		status = http.StatusBadRequest
	case TooLong:
		status = http.StatusRequestEntityTooLarge
	}
	length := int64(len(response.Body))
	if response.BodyStream != nil {
		length = response.BodyStream.Length()
	}
	if response.ContentType == "" {
		response.ContentType = "text/plain; charset=utf-8"
	}
	return writeResponse(w, status, response.ContentType, length, response.Body)
}
