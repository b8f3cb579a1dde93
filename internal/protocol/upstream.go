package protocol

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/graphql"
)

// AppendUpstreamRequest appends the HTTP request of an attempt, without the body. wait is how long this agent
// waits for the response.
func AppendUpstreamRequest(b []byte, op *Request, wait time.Duration) []byte {
	field := func(name, value string) {
		b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
	}
	b = append(append(append(append(b, op.Method...), ' '), op.Target...), " HTTP/1.1\r\n"...)
	field("Host", op.Host)
	field("X-Correlation-Id", op.CorrelationID)
	field("X-Time-Left-Ms", strconv.FormatInt(max(wait.Milliseconds(), 0), 10))
	if op.ContentType != "" {
		field("Content-Type", op.ContentType)
	}
	if op.Accept != "" {
		field("Accept", op.Accept)
	}
	for _, key := range op.IdempotencyKeys {
		field(idempotencyKeyHeader, key)
	}
	switch {
	case op.Length < 0:
		field("Transfer-Encoding", "chunked")
	case op.Length > 0:
		field("Content-Length", strconv.FormatInt(op.Length, 10))
	case op.Method != http.MethodGet:
		field("Content-Length", strconv.Itoa(len(op.Body)))
	}
	return append(b, "\r\n"...)
}

// UpstreamResponse is an upstream server's response to an attempt.
type UpstreamResponse struct {
	Outcome     balancer.Outcome
	ContentType string
	Status      int                // zero means 200
	Close       bool               // whether the connection must not be reused
	BodyStream  *bodystream.Stream // body; nil unless Outcome is Served
}

// UnreadBody is a body that has not been read yet; its Reader is nil if there is none. It must not be closed:
// that would read on for as long as the server sends.
type UnreadBody struct {
	io.Reader
	Length int64 // bytes; negative if not announced
}

// ErrResponseTooLong means that an upstream server's response is longer than permitted, or announced as
// longer.
var ErrResponseTooLong = errors.New("the response is too long")

// maxDiscardedBytes is the length up to which a body that is not forwarded is read, so that its connection
// can be reused.
const maxDiscardedBytes = 64 << 10

// ReadUpstreamResponse reads a response. It leaves the body of a 200 to the caller, and reads and discards
// any other body. For a GraphQL request, a 4xx with a GraphQL media type is treated like a 200: every other
// server would give the same response. A response that is announced as longer than maxBytes is an error.
// After an error the connection must not be reused: it has ended, or the bytes received are not a valid
// response.
func ReadUpstreamResponse(
	r *bufio.Reader,
	maxBytes int64,
	isGraphQL bool,
) (UpstreamResponse, UnreadBody, error) {
	resp, err := http.ReadResponse(r, nil)
	for err == nil && resp.StatusCode < http.StatusOK { // 1xx precedes the final response
		resp, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return UpstreamResponse{}, UnreadBody{}, err
	}
	if resp.ContentLength > maxBytes {
		return UpstreamResponse{}, UnreadBody{}, ErrResponseTooLong
	}
	out := UpstreamResponse{Outcome: balancer.ServerError, Close: resp.Close}
	contentType, isUnprocessed := resp.Header.Get("Content-Type"), resp.Header.Get("X-Unprocessed") == "1"
	resp.Header = nil // the body's reader would keep it, for as long as the body takes
	switch {
	case resp.StatusCode == http.StatusOK, isGraphQL && isGraphQLError(resp.StatusCode, contentType):
		out.Outcome, out.ContentType, out.Status = balancer.Served, contentType, resp.StatusCode
		return out, UnreadBody{resp.Body, resp.ContentLength}, nil
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusGatewayTimeout:
		// Without this field the request may have been executed.
		if isUnprocessed {
			out.Outcome = balancer.Rejected
		}
	}
	return out, UnreadBody{}, discardBody(resp.Body)
}

// isGraphQLError reports whether a response is a GraphQL server's response to a client error. Statuses that
// may differ at another time or from another server are excluded.
func isGraphQLError(status int, contentType string) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	media, _, _ := strings.Cut(contentType, ";")
	return status/100 == 4 && graphql.IsResponseType(strings.TrimSpace(media))
}

// discardBody reads a body to its end. It returns ErrResponseTooLong after maxDiscardedBytes.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return ErrResponseTooLong
	}
	return err
}
