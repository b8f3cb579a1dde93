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

// AppendUpstreamRequest writes a route step of the operation as the HTTP request to a booking server, up to the
// body; wait is how long this agent waits for the answer.
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
		field(idempotencyKey, key)
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
	Status      int              // zero: 200
	Close       bool             // the connection carries no further route step
	Flow        *bodystream.Flow // the body of an answer that is served
}

// UnreadBody is a body that is still to be read; without a Reader there is none. It is not to be closed: that
// would read on, for as long as the other side cares to send.
type UnreadBody struct {
	io.Reader
	Length int64 // below zero: not announced
}

// ErrResponseTooLong means that an answer is longer than its bound, or is said to be.
var ErrResponseTooLong = errors.New("the answer is too long")

// maxUnused is how much of a body that is not passed on is read, so that its connection can be used again.
const maxUnused = 64 << 10

// ReadUpstreamResponse reads a booking server's answer up to the body of a 200, which is the caller's to read; any
// other is read to the end. Where the operation is IsGraphQL, a 4xx that is an IsGraphQL answer counts like a
// 200: the client asked for what can't be had, and no other server would have it. An answer that is said to
// be longer than longest bytes is refused by its head. An error means that the connection broke, or that
// what came is not an answer: either way it is of no more use.
func ReadUpstreamResponse(r *bufio.Reader, longest int64, graphQL bool) (UpstreamResponse, UnreadBody, error) {
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
	case resp.StatusCode == http.StatusOK, graphQL && refusesGraphQL(resp.StatusCode, contentType):
		out.Outcome, out.ContentType, out.Status = balancer.Served, contentType, resp.StatusCode
		return out, UnreadBody{resp.Body, resp.ContentLength}, nil
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusGatewayTimeout:
		// Without the mark it may have run: only the mark proves otherwise.
		if resp.Header.Get("X-Unprocessed") == "1" {
			out.Outcome = balancer.Rejected
		}
	}
	return out, UnreadBody{}, skip(resp.Body)
}

// refusesGraphQL tells whether an answer is an IsGraphQL server's to a client's mistake. Statuses that may be
// another one at another time or place are none.
func refusesGraphQL(status int, contentType string) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	media, _, _ := strings.Cut(contentType, ";")
	return status/100 == 4 && graphql.IsAnswer(strings.TrimSpace(media))
}

// skip reads a body to its end and keeps nothing of it.
func skip(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxUnused+1))
	if err == nil && n > maxUnused {
		return ErrResponseTooLong
	}
	return err
}
