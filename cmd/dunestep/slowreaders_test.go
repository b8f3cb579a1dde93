package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The tests of this file have endpoints that read requests slowly, all the time. What an endpoint has not read lies in its
// system's buffer, which may be small, and then in the agent's.

// smallReceiveBuffer is the receive buffer of an endpoint on a small machine, in bytes.
const smallReceiveBuffer = 8 << 10

// readRequestsSlowly makes all endpoints take about a time for reading a request of a size.
func (w *testbed) readRequestsSlowly(size int, duration time.Duration) {
	const readBytes = 4 << 10 // of each read after SetReadPause
	for _, s := range w.servers {
		s.socket.SetReadPause(duration * readBytes / time.Duration(size))
	}
}

// withSmallReceiveBuffers gives all endpoints small receive buffers.
func withSmallReceiveBuffers(w *testbed) {
	for _, s := range w.servers {
		require.NoError(w.t, s.socket.SetReceiveBuffer(smallReceiveBuffer))
	}
}

// slowRead is a request to an endpoint that reads it slowly.
type slowRead struct {
	class    string
	body     longBody
	timeLeft time.Duration
}

// sendSlowReads sends requests at once, for an endpoint each, and returns them as their clients saw them.
func (w *testbed) sendSlowReads(reads []slowRead) []*longRequest {
	requests := make([]*longRequest, len(reads))
	var clients sync.WaitGroup
	for i, read := range reads {
		clients.Go(func() {
			requests[i] = w.sendLongOf(read.class, fmt.Sprint("k", i), read.body, read.timeLeft)
		})
	}
	clients.Wait()
	return requests
}

// Guards against requests that are given up while an endpoint still reads them, though their clients wait: of any size, class
// and framing. Before, the endpoint's time began with the client's last byte.
func TestLongRequestAtSlowlyReadingServerIsServed(t *testing.T) {
	for _, test := range []struct {
		name  string
		edits []func(*testbed)
	}{
		{"small receive buffers", []func(*testbed){usePlainBinary, withSmallReceiveBuffers}},
		{"large receive buffers", []func(*testbed){usePlainBinary}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := start(t, 6, test.edits...)
			const timeLeft = 2500 * time.Millisecond
			w.readRequestsSlowly(250_000, time.Second)
			var reads []slowRead
			for _, size := range []int{100_000, 120_000, 200_000, 250_000} {
				for _, class := range []string{"consult", "rezervare"} {
					reads = append(reads, slowRead{class, longBody{size: size}, timeLeft},
						slowRead{class, longBody{size: size, isChunked: true}, timeLeft})
				}
			}
			for i, r := range w.sendSlowReads(reads) {
				require.Equal(t, 200, r.status, "%+v ended after %v", reads[i], r.endedAt.Sub(r.sentAt))
			}
			require.Equal(t, len(reads), w.attemptCount())
			require.NotContains(t, w.log.String(), "ejected")
			require.NotContains(t, w.log.String(), "outage")
		})
	}
}

// Guards against requests that are not streamed and are given up while an endpoint still reads them.
func TestShortRequestAtSlowlyReadingServerIsServed(t *testing.T) {
	w := start(t, 6, usePlainBinary, withSmallReceiveBuffers)
	w.readRequestsSlowly(60_000, 900*time.Millisecond)
	var reads []slowRead
	for _, size := range []int{40_000, 50_000, 60_000, 64 << 10} {
		reads = append(reads, slowRead{"rezervare", longBody{size: size}, 2500 * time.Millisecond},
			slowRead{"rezervare", longBody{size: size, isChunked: true}, 2500 * time.Millisecond})
	}
	for i, r := range w.sendSlowReads(reads) {
		require.Equal(t, 200, r.status, "%+v ended after %v", reads[i], r.endedAt.Sub(r.sentAt))
	}
	require.Equal(t, len(reads), w.attemptCount())
	require.NotContains(t, w.log.String(), "ejected")
}

// Guards against final answers that wait for an endpoint which reads a request more slowly than its client waits.
func TestFinalAnswerInTimeAtServerThatReadsTooSlowly(t *testing.T) {
	w := start(t, 6, usePlainBinary, withSmallReceiveBuffers)
	w.readRequestsSlowly(600_000, 6*time.Second)
	var reads []slowRead
	for _, class := range []string{"consult", "rezervare"} {
		for _, isChunked := range []bool{false, true} {
			reads = append(reads, slowRead{class, longBody{size: 600_000, isChunked: isChunked}, time.Second},
				slowRead{class, longBody{size: 150_000, isChunked: isChunked}, 300 * time.Millisecond},
				slowRead{class, longBody{size: 2_000_000, isChunked: isChunked}, 300 * time.Millisecond})
		}
	}
	requests := w.sendSlowReads(reads)
	for i, r := range requests {
		require.NoError(t, r.check())
		require.NotZero(t, r.status, "%+v", reads[i])
	}
	w.requireNotRun(requests)
}

// Guards against long answers that are cut off because an endpoint reads another request slowly, or was slow to read this one.
func TestLongAnswerToSlowlyReadRequestIsWhole(t *testing.T) {
	w := start(t, 3, usePlainBinary, withSmallReceiveBuffers)
	const answerBytes = 300_000
	w.answerAll(func(s upstreamAttempt) string {
		return reply("200 OK", strings.Repeat("x", answerBytes))
	})
	w.readRequestsSlowly(200_000, 900*time.Millisecond)
	for _, r := range w.sendSlowReads([]slowRead{
		{"rezervare", longBody{size: 200_000}, 2 * time.Second},
		{"rezervare", longBody{size: 200_000, isChunked: true}, 2 * time.Second},
		{"consult", longBody{size: 150_000}, 2 * time.Second},
	}) {
		require.Equal(t, 200, r.status)
	}
}

// heldBackRequest is a request whose client has written it whole while the agent took in only a part of it.
type heldBackRequest struct {
	status    int
	writtenAt time.Time // when the client's last write returned; zero: it did not
	endedAt   time.Time
}

// sendHeldBack sends a booking as fast as the system takes it, and waits for its answer.
func (w *testbed) sendHeldBack(key string, body longBody, timeLeft time.Duration) (r heldBackRequest) {
	text := longRequestText(w.nextID(), key, body, timeLeft)
	c, err := net.Dial("tcp", w.addr)
	require.NoError(w.t, err)
	written := make(chan time.Time, 1)
	go func() {
		defer close(written)
		if _, writeErr := io.WriteString(c, text); writeErr == nil {
			written <- time.Now()
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	r.status = readStatus(c)
	r.endedAt = time.Now()
	_ = c.Close()
	r.writtenAt = <-written
	return r
}

// Guards against final answers that come after the client's time because the agent holds back a request that its client has
// written whole: the rest lies in the client's own machine, and its time runs.
func TestFinalAnswerInTimeWhileAgentHoldsClientBack(t *testing.T) { // not in parallel, since its bounds are in real time
	const timeLeft = time.Second
	for _, test := range []struct {
		memoryMB, clients, size, bytesPerSecond int
		answerAfter                             time.Duration
	}{
		{32, 30, 3_000_000, 300_000, 0},
		{64, 6, 6_000_000, 1_500_000, 0},
		{64, 6, 3_000_000, 3_500_000, 950 * time.Millisecond},
	} {
		for _, isChunked := range []bool{true, false} {
			t.Run(fmt.Sprintf("%+v, chunked %v", test, isChunked), func(t *testing.T) {
				w := newSerialTestbed(t, 6).start(usePlainBinary, func(w *testbed) {
					w.config["limits"].(object)["memory_mb"] = test.memoryMB
					for _, s := range w.servers {
						s.keepsNoBody = true
						s.setAnswer(func(a upstreamAttempt) string { time.Sleep(test.answerAfter); return ok(a) })
					}
				})
				w.readRequestsSlowly(test.bytesPerSecond, time.Second)
				requests := make([]heldBackRequest, test.clients)
				var clients sync.WaitGroup
				for i := range requests {
					clients.Go(func() {
						requests[i] = w.sendHeldBack(fmt.Sprint("k", i), longBody{size: test.size, isChunked: isChunked}, timeLeft)
					})
				}
				clients.Wait()
				for _, r := range requests {
					require.NotZero(t, r.status)
					if !r.writtenAt.IsZero() {
						require.Less(t, r.endedAt.Sub(r.writtenAt), timeLeft+maxResponseDelay+measuringSlack, "status %d", r.status)
					}
				}
			})
		}
	}
}
