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

// ResponseKind is how a request ends.
type ResponseKind uint8

// The kinds of final answer.
const (
	Served    ResponseKind = iota // an upstream server's response
	Rejected                      // it has surely not run
	Failed                        // it may have run
	Malformed                     // it could not be read
	TooLong                       // its body is longer than permitted
)

// Response is the one final answer to a request.
type Response struct {
	Kind        ResponseKind
	Body        []byte             // a line of text, if there is no BodyStream
	BodyStream  *bodystream.Stream // the body of an upstream server's response
	ContentType string
	Status      int            // of an upstream server's response; zero: 200
	RetryAfter  time.Duration  // of a rejection; zero: none is sent
	OverQuota   bool           // rejected for being over the tenant's quota
	Quota       balancer.Quota // of the tenant, reported with a rejection; zero: it is not
	Streaming   bool           // the flow is not complete yet
}

// rejectionStatus distinguishes a tenant over its quota from a service without capacity.
func rejectionStatus(a Response) int {
	if a.OverQuota {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// setRateLimit sets the header fields of the IETF's draft: requests per second, those left of them, and in
// how many seconds there are more.
func setRateLimit(h http.Header, a Response) {
	each := max(int64(a.Quota.PerSecond), 1)
	h.Set("RateLimit-Policy", fmt.Sprintf(`"share";q=%d;w=1`, each))
	h.Set("RateLimit", fmt.Sprintf(`"share";r=%d;t=%d`, min(int64(a.Quota.Remaining), each),
		max(int64(math.Ceil(a.RetryAfter.Seconds())), 1)))
}

// setRetryAfter sets the field in seconds, with milliseconds as decimals.
func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

// writeResponse writes a response, or its beginning. A negative length is not known: it is sent in chunks.
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
