package protocol

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
)

// ResponseKind is the kind of a Response.
type ResponseKind uint8

// The kinds of final answer.
const (
	Served    ResponseKind = iota // response of an upstream server
	Rejected                      // the request has certainly not been executed
	Failed                        // the request may have been executed
	Malformed                     // the request could not be decoded
	TooLong                       // the request's body is longer than permitted
)

// Response is the one final answer to a request.
type Response struct {
	Kind        ResponseKind
	Body        []byte             // line of text; not used if there is a BodyStream
	BodyStream  *bodystream.Stream // body of an upstream server's response
	ContentType string
	Status      int            // status of an upstream server's response; zero means 200
	RetryAfter  time.Duration  // retry-after of a rejection; not sent if zero
	OverQuota   bool           // whether it was rejected because the tenant is over its quota
	Quota       balancer.Quota // quota of the tenant, sent with a rejection; not sent if zero
	Streaming   bool           // whether BodyStream may not be complete yet
	// Settled is closed when nothing of the request is queued any more; nil: nothing is. It is not sent.
	Settled <-chan struct{}
}

// rejectionStatus returns 429 for a tenant over its quota and 503 for a service without capacity.
func rejectionStatus(response Response) int {
	if response.OverQuota {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// setRateLimit sets the rate limit fields of the IETF draft: the quota in requests per second, how many of
// them remain, and the time until more are available, in seconds.
func setRateLimit(h http.Header, response Response) {
	perSecond := max(int64(response.Quota.PerSecond), 1)
	h.Set("RateLimit-Policy", fmt.Sprintf(`"share";q=%d;w=1`, perSecond))
	h.Set("RateLimit", fmt.Sprintf(`"share";r=%d;t=%d`, min(int64(response.Quota.Remaining), perSecond),
		max(int64(math.Ceil(response.RetryAfter.Seconds())), 1)))
}

// setRetryAfter sets the Retry-After field in seconds, with milliseconds as decimals.
func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

// writeResponse writes a response, or its beginning. A body of unknown (negative) length is sent in chunks.
func writeResponse(w http.ResponseWriter, status int, contentType string, length int64, body []byte) error {
	h := w.Header()
	h.Set("Content-Type", contentType)
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}
