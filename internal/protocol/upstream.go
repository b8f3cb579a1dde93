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

// AppendUpstreamRequest writes a route step of the operation as the HTTP request to a booking server, up to
// the body; wait is how long this agent waits for the answer.
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

// UpstreamResponse is a booking server's answer to a route step.
type UpstreamResponse struct {
	Outcome     balancer.Outcome
	ContentType string
	Status      int                // zero: 200
	Close       bool               // the connection carries no further route step
	BodyStream  *bodystream.Stream // the body of an answer that is served
}

// UnreadBody is a body that is still to be read; without a Reader there is none. It is not to be closed: that
// would read on, for as long as the other side cares to send.
type UnreadBody struct {
	io.Reader
	Length int64 // below zero: not announced
}

// ErrResponseTooLong means that an answer is longer than its bound, or is said to be.
var ErrResponseTooLong = errors.New("the answer is too long")

// maxDiscardedBytes is how much of a body that is not passed on is read, so that its connection can be used
// again.
const maxDiscardedBytes = 64 << 10

// ReadUpstreamResponse reads a response up to the body of a 200, which is the caller's to read; any other
// body is read to its end. For a GraphQL request, a 4xx with a media type of GraphQL counts like a 200: no
// other server would answer otherwise. A response that is announced as longer than maxBytes is an error.
// After an error the connection is of no more use: it ended, or what was received is not a response.
func ReadUpstreamResponse(
	r *bufio.Reader,
	longest int64,
	graphQL bool,
) (UpstreamResponse, UnreadBody, error) {
	resp, err := http.ReadResponse(r, nil)
	for err == nil && resp.StatusCode < http.StatusOK { // 1xx announces the answer
		resp, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return UpstreamResponse{}, UnreadBody{}, err
	}
	if resp.ContentLength > longest {
		return UpstreamResponse{}, UnreadBody{}, ErrResponseTooLong
	}
	out := UpstreamResponse{Outcome: balancer.ServerError, Close: resp.Close}
	contentType := resp.Header.Get("Content-Type")
	switch {
	case resp.StatusCode == http.StatusOK, graphQL && isGraphQLError(resp.StatusCode, contentType):
		out.Outcome, out.ContentType, out.Status = balancer.Served, contentType, resp.StatusCode
		return out, UnreadBody{resp.Body, resp.ContentLength}, nil
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusGatewayTimeout:
		// Without the mark it may have run: only the mark proves otherwise.
		if resp.Header.Get("X-Unprocessed") == "1" {
			out.Outcome = balancer.Rejected
		}
	}
	return out, UnreadBody{}, discardBody(resp.Body)
}

// isGraphQLError reports whether a response is a GraphQL server's to a mistake of the client. Statuses that
// may be different at another time or server are none.
func isGraphQLError(status int, contentType string) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	media, _, _ := strings.Cut(contentType, ";")
	return status/100 == 4 && graphql.IsAnswer(strings.TrimSpace(media))
}

// discardBody reads a body to its end.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return ErrResponseTooLong
	}
	return err
}
