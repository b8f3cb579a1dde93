package transport

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/protocol"
)

// bodyHandler passes on when the body of a request arrived, whose streamed part it does not read.
type bodyHandler struct {
	arrivals chan bodyArrivalSeen
	proceed  chan struct{}
}

type bodyArrivalSeen struct {
	arrivedAt  time.Time
	reportedAt time.Time
}

func (h *bodyHandler) HandleRequest(_ context.Context, op *protocol.Request) (protocol.Response, bool) {
	defer op.Release()
	select {
	case at := <-op.BodyComplete:
		h.arrivals <- bodyArrivalSeen{at, time.Now()}
	case <-h.proceed:
	}
	return busyResponse(), true
}

func (*bodyHandler) Ready() bool { return true }

func longRequestText(timeLeft time.Duration, framing, body string) string {
	return fmt.Sprintf("POST /consult/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 0123456789abcdef\r\nX-Time-Left-Ms: %d\r\n%s\r\n\r\n%s",
		timeLeft.Milliseconds(), framing, body)
}

// maxTestDelay is by how much a busy machine may delay what these tests measure.
const maxTestDelay = 250 * time.Millisecond

// Guards against a client's time that starts only when its body was read: a body that nothing takes arrives when its last
// byte does. If the end of a chunked one can't be seen, it is presumed to have arrived before the client's time is over.
func TestUnreadBodyArrives(t *testing.T) {
	const size, timeLeft = 340_000, 600 * time.Millisecond // all but some of it is read ahead
	body := strings.Repeat("x", size)
	for name, test := range map[string]struct {
		framing, body  string
		reportedWithin time.Duration // zero: it is not complete, and not reported while more may come
	}{
		"length":                                 {fmt.Sprint("Content-Length: ", size), body, 200 * time.Millisecond},
		"chunked":                                {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body), timeLeft},
		"incomplete, of which nothing is unread": {fmt.Sprint("Content-Length: ", size), body[:200_000], 0},
	} {
		t.Run(name, func(t *testing.T) {
			handler := &bodyHandler{arrivals: make(chan bodyArrivalSeen, 1), proceed: make(chan struct{})}
			x := newCloseRace(t, 64, &recordingHandler{})
			x.listener.handler = handler
			x.listener.bodies.Memory.SetLimit(8 << 20)
			c := x.connect()
			x.send(c, longRequestText(timeLeft, test.framing, test.body))
			sentAt := time.Now()
			if test.reportedWithin == 0 {
				select {
				case <-handler.arrivals:
					require.Fail(t, "reported as complete")
				case <-time.After(2 * timeLeft / 3):
				}
				close(handler.proceed)
			} else {
				seen := receive(t, handler.arrivals)
				require.Less(t, seen.reportedAt.Sub(sentAt), test.reportedWithin+maxTestDelay)
				require.InDelta(t, 0, seen.arrivedAt.Sub(sentAt).Seconds(), maxTestDelay.Seconds())
			}
			response, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		})
	}
}
