package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// The tests of this file have endpoints that stop reading while long bodies arrive. What they don't take lies in the
// agent's memory and in the buffers of three systems; the client's time goes by what has arrived at the agent's.

// longRequest is a request with a long body, as its client saw it.
type longRequest struct {
	id       string
	timeLeft time.Duration
	sentAt   time.Time
	status   int // zero: no answer
	endedAt  time.Time

	mu      sync.Mutex
	takenAt time.Time // when the agent's system had acknowledged the last byte; zero: never
}

// unacknowledgedBytes returns how many bytes of a connection the other end's system has not acknowledged.
func unacknowledgedBytes(c net.Conn) (count int, err error) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return count, errors.Join(controlErr, err)
}

// chunked returns a body in the chunked coding, in chunks of up to 50 kB.
func chunked(body string) string {
	var text strings.Builder
	for len(body) > 0 {
		n := min(len(body), 50_000)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return text.String() + "0\r\n\r\n"
}

// repeated returns a text of a length, which repeats an id.
func repeated(id string, size int) string { return strings.Repeat(id, size/len(id)+1)[:size] }

// longBody is the body of a request to send.
type longBody struct {
	size          int
	isChunked     bool
	pieceInterval time.Duration // between pieces of it; zero: it is sent at once
}

// encode returns the header field that tells the body's framing, and the framed body.
func (b longBody) encode(id string) (framing, text string) {
	if b.isChunked {
		return "Transfer-Encoding: chunked", chunked(repeated(id, b.size))
	}
	return fmt.Sprint("Content-Length: ", b.size), repeated(id, b.size)
}

// longRequestText returns a request with a long body.
func longRequestText(id, key string, content longBody, timeLeft time.Duration) string {
	return longRequestTextOf("rezervare", id, key, content, timeLeft)
}

// longRequestTextOf is longRequestText for a class.
func longRequestTextOf(class, id, key string, content longBody, timeLeft time.Duration) string {
	framing, body := content.encode(id)
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Account: acme\r\nCookie: sid=%s\r\n"+
		"X-Time-Left-Ms: %d\r\n%s\r\n\r\n%s", class, id, key, timeLeft.Milliseconds(), framing, body)
}

// sendLong sends a request with a long body, and waits for its answer for waitTimeout.
func (w *testbed) sendLong(key string, content longBody, timeLeft time.Duration) *longRequest {
	r, err := w.trySendLong(key, content, timeLeft)
	require.NoError(w.t, err)
	return r
}

// sendLongOf is sendLong for a class.
func (w *testbed) sendLongOf(class, key string, content longBody, timeLeft time.Duration) *longRequest {
	r, err := w.trySendLongOf(class, key, content, timeLeft)
	require.NoError(w.t, err)
	return r
}

// trySendLong is sendLong for an agent that may have ended.
func (w *testbed) trySendLong(key string, content longBody, timeLeft time.Duration) (*longRequest, error) {
	return w.trySendLongOf("rezervare", key, content, timeLeft)
}

// trySendLongOf is trySendLong for a class.
func (w *testbed) trySendLongOf(class, key string, content longBody, timeLeft time.Duration) (*longRequest, error) {
	r := &longRequest{id: w.nextID(), timeLeft: timeLeft}
	text := longRequestTextOf(class, r.id, key, content, timeLeft)
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	r.sentAt = time.Now()
	go func() {
		if content.write(c, text) == nil {
			r.awaitTaken(c)
		}
	}()
	_ = c.SetReadDeadline(r.sentAt.Add(waitTimeout))
	r.status = readStatus(c)
	r.endedAt = time.Now()
	return r, nil
}

// pieceBytes is the size of a piece of a body that is not sent at once.
const pieceBytes = 40_000

// write writes a request with the body.
func (b longBody) write(c net.Conn, text string) error {
	for b.pieceInterval > 0 && len(text) > pieceBytes {
		if _, err := io.WriteString(c, text[:pieceBytes]); err != nil {
			return err
		}
		text = text[pieceBytes:]
		time.Sleep(b.pieceInterval)
	}
	_, err := io.WriteString(c, text)
	return err
}

// readStatus reads an answer and returns its status; zero: there is no complete answer.
func readStatus(c net.Conn) int {
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// awaitTaken records when the agent's system has acknowledged the last byte.
func (r *longRequest) awaitTaken(c net.Conn) {
	for {
		unacknowledged, err := unacknowledgedBytes(c)
		if err != nil {
			return
		}
		if unacknowledged == 0 {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.takenAt = time.Now()
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// check returns an error if the request was taken and has no final answer in time.
func (r *longRequest) check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.takenAt.IsZero() || r.status != 0 && r.endedAt.Before(r.takenAt.Add(r.timeLeft+maxResponseDelay+measuringSlack)) {
		return nil
	}
	return fmt.Errorf("request %s, sent with %v: taken after %v, status %d after %v", r.id, r.timeLeft,
		r.takenAt.Sub(r.sentAt), r.status, r.endedAt.Sub(r.sentAt))
}

// requireNotRun checks that no endpoint has received one of the requests that the agent answered as not run.
func (w *testbed) requireNotRun(requests []*longRequest) {
	rejected := map[string]bool{}
	for _, r := range requests {
		rejected[r.id] = r.status == 503
	}
	for _, s := range w.servers {
		for _, a := range s.attempts() {
			require.False(w.t, rejected[correlationID(a)], "%s was rejected, and has run", correlationID(a))
		}
	}
}

// stopReading makes an endpoint stop reading until the returned function is called, at the test's end at the latest.
func (s *server) stopReading(t *testing.T) (resume func()) {
	s.socket.SetReading(false)
	resume = func() { s.socket.SetReading(true) }
	t.Cleanup(resume)
	return resume
}

// Guards against requests that wait for an endpoint which takes nothing of their bodies: answered in time, of any size and
// framing. Before, their time began only when the agent had read the last byte, with the endpoint's recovery.
func TestLongBodiesAtServerThatStopsReading(t *testing.T) {
	w := start(t, 1, usePlainBinary)
	w.requireServed("rezervare")
	resume := w.servers[0].stopReading(t)
	const timeLeft = 700 * time.Millisecond
	sizes := []int{70_000, 300_000, 1 << 20, 3 << 20, 4_200_000, 4_350_000, 4_500_000, 4_650_000, 6 << 20, 12 << 20}
	requests := make([]*longRequest, 2*len(sizes))
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() {
			requests[i] = w.sendLong("k", longBody{size: sizes[i/2], isChunked: i%2 == 0}, timeLeft)
		})
	}
	clients.Wait()
	for i, r := range requests {
		require.NoError(t, r.check(), "%d bytes, chunked %v", sizes[i/2], i%2 == 0)
		// Also of those whose last bytes their own systems still hold.
		require.Less(t, r.endedAt.Sub(r.sentAt), 3*time.Second, "%d bytes, chunked %v", sizes[i/2], i%2 == 0)
	}
	resume()
	time.Sleep(300 * time.Millisecond)
	w.requireNotRun(requests)
}

// Guards against an attempt that passes on more time than its client has left: a body arrives whole, or up to what the
// agent's machine takes in, while the attempt waits for a connection.
func TestTimeAnnouncedWithBodySentBeforeItsAttempt(t *testing.T) {
	t.Parallel()
	for name, body := range map[string]longBody{
		"arrived": {size: 360_000}, "arrived, chunked": {size: 360_000, isChunked: true},
		"partly at the client's machine": {size: 1 << 20}, "partly, chunked": {size: 1 << 20, isChunked: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 1, (*testbed).useLongTimeouts, usePlainBinary)
			s := w.servers[0]
			require.NoError(t, s.socket.IgnoreConnections())
			w.waitUntil("the accept queue is full", s.socket.IsBacklogFull)
			const timeLeft, late = 8 * time.Second, 300 * time.Millisecond
			accepted := time.AfterFunc(late, func() { _ = s.socket.AcceptConnections() })
			defer accepted.Stop()
			r := w.sendLong("k", body, timeLeft)
			require.Equal(t, http.StatusOK, r.status)
			attempts := s.attempts()
			require.Len(t, attempts, 1)
			announced, err := strconv.Atoi(attempts[0].Header.Get("X-Time-Left-Ms"))
			require.NoError(t, err)
			left := timeLeft - attempts[0].receivedAt.Sub(r.sentAt)
			require.Less(t, left, timeLeft-late, "the connection was established late")
			require.LessOrEqual(t, time.Duration(announced)*time.Millisecond, left+maxAnnouncedExcess+measuringSlack)
		})
	}
}

// Guards against long bodies that hold up the end of the program: one that a stopped endpoint does not take is answered in
// time after SIGTERM too.
func TestSIGTERMWithLongBodyAtServerThatStopsReading(t *testing.T) {
	w := start(t, 1, usePlainBinary)
	w.requireServed("rezervare")
	w.servers[0].stopReading(t)
	requests := make([]*longRequest, 2)
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() {
			requests[i] = w.sendLong("k", longBody{size: 6 << 20, isChunked: i == 0}, 1500*time.Millisecond)
		})
	}
	time.Sleep(300 * time.Millisecond)
	w.terminate()
	clients.Wait()
	for _, r := range requests {
		require.NoError(t, r.check())
		require.Equal(t, http.StatusServiceUnavailable, r.status, "it has not run")
		require.Less(t, r.endedAt.Sub(r.sentAt), 2500*time.Millisecond)
	}
	w.requireExit()
}

// Guards against further long bodies at an endpoint that takes none: those that were not taken count against it.
func TestLongBodiesEjectServerThatStopsReading(t *testing.T) {
	w := start(t, 4, usePlainBinary)
	w.requireServed("rezervare")
	w.answerAll(ok)
	w.servers[0].stopReading(t)
	const timeLeft = 500 * time.Millisecond
	w.waitUntil("ejected", func() bool {
		var clients sync.WaitGroup
		for i := range 8 {
			clients.Go(func() {
				r := w.sendLong(fmt.Sprintf("k%d", i), longBody{size: 5 << 20, isChunked: i%2 == 0}, timeLeft)
				require.NoError(t, r.check())
			})
		}
		clients.Wait()
		return strings.Contains(w.log.String(), "server s-0 ejected")
	})
}
