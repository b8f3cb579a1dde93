package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The tests of this file have clients that send much at once and go before it is answered. Whether a client has gone goes
// by what the system of the agent knows, not by what the agent has read.

// leavingClient sends requests at once on one connection, and leaves.
type leavingClient struct {
	ids    []string
	leftAt time.Time
}

// requestIDs returns the ids of the requests in a text.
func requestIDs(text string) (ids []string) {
	for _, line := range strings.Split(text, "\r\n") {
		if id, found := strings.CutPrefix(line, "X-Correlation-Id: "); found {
			ids = append(ids, id)
		}
	}
	return ids
}

// manyRequests returns requests to be sent at once.
func (w *testbed) manyRequests(count, timeLeftMS int) string {
	var text strings.Builder
	for i := range count {
		text.WriteString(w.requestText([]string{"consult", "rezervare"}[i%2], timeLeftMS))
	}
	return text.String()
}

// sendAndLeave sends requests at once, and leaves after a while: by a close, or by a reset.
func (w *testbed) sendAndLeave(count, timeLeftMS int, stay time.Duration, leave func(*net.TCPConn)) leavingClient {
	text := w.manyRequests(count, timeLeftMS)
	c, err := net.Dial("tcp", w.addr)
	require.NoError(w.t, err)
	_, err = io.WriteString(c, text)
	require.NoError(w.t, err)
	time.Sleep(stay)
	client := leavingClient{ids: requestIDs(text), leftAt: time.Now()}
	leave(c.(*net.TCPConn))
	return client
}

func closeConn(c *net.TCPConn) { _ = c.Close() }

func abortConn(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }

// checkLeft returns an error if an attempt began too long after its client had left.
func (w *testbed) checkLeft(clients []leavingClient) error {
	leftAt := map[string]time.Time{}
	for _, c := range clients {
		for _, id := range c.ids {
			leftAt[id] = c.leftAt
		}
	}
	for _, s := range w.servers {
		for _, a := range s.attempts() {
			if at, isLeaver := leftAt[correlationID(a)]; isLeaver && a.receivedAt.Sub(at) > maxAttemptDelay+measuringSlack {
				return fmt.Errorf("attempt of %s began %v after its client had left", correlationID(a), a.receivedAt.Sub(at))
			}
		}
	}
	return nil
}

// Guards against attempts that begin for clients that have gone: they send many requests at once, of which the agent has
// read a part, and close or reset their connection. Some endpoints reject, so that attempts are retried.
func TestNoAttemptForClientsThatSendMuchAndLeave(t *testing.T) {
	w := start(t, 4, usePlainBinary)
	for i, s := range w.servers {
		s.setAnswer(func(a upstreamAttempt) string {
			time.Sleep(180 * time.Millisecond)
			if i == 0 {
				return reply("503 Busy", "", "X-Unprocessed: 1")
			}
			return ok(a)
		})
	}
	retryIfStalled(t, func() error {
		clients := make([]leavingClient, 24)
		var sending sync.WaitGroup
		for i := range clients {
			sending.Go(func() {
				time.Sleep(rand.N(time.Second))
				leave := []func(*net.TCPConn){closeConn, abortConn}[i%2]
				clients[i] = w.sendAndLeave(60, 2500, rand.N(400*time.Millisecond), leave)
			})
		}
		sending.Wait()
		time.Sleep(time.Second)
		return w.checkLeft(clients)
	})
}

// The reverse: a client that sends as much at once and stays has all its answers.
func TestClientsThatSendMuchAndStayAreAnswered(t *testing.T) {
	w := start(t, 2, usePlainBinary, (*testbed).useLongTimeouts)
	w.answerAll(func(a upstreamAttempt) string { time.Sleep(30 * time.Millisecond); return ok(a) })
	var clients sync.WaitGroup
	for range 6 {
		clients.Go(func() {
			c := w.newRawClient()
			_, err := io.WriteString(c, w.manyRequests(60, 60000))
			require.NoError(t, err)
			for range 60 {
				require.Equal(t, 200, c.readAnswer().status)
			}
		})
	}
	clients.Wait()
}
