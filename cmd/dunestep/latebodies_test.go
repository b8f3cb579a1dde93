package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The tests of this file have endpoints that write the heads of their answers at once, and the bodies late or not at all.

// answerWithLateBodies makes all endpoints write a head, and a body of a size after the delay.
func (w *testbed) answerWithLateBodies(size int, delay time.Duration) {
	for _, s := range w.servers {
		s.setScript(func(a upstreamAttempt, c net.Conn) bool {
			text := reply("200 OK", uniqueBody(size, correlationID(a)))
			if _, err := io.WriteString(c, text[:len(text)-size]); err != nil {
				return false
			}
			time.Sleep(delay)
			_, err := io.WriteString(c, text[len(text)-size:])
			return err == nil
		})
	}
}

// Guards against long answers that are cut off at the class's objective because their bodies begin after it, though their
// heads were there: of any framing and class.
func TestLongAnswerWhoseBodyBeginsLateIsWhole(t *testing.T) {
	t.Parallel()
	for _, framing := range pauseFramings {
		for _, class := range []string{"consult", "rezervare"} {
			t.Run(framing+", "+class, func(t *testing.T) {
				t.Parallel()
				cell := pauseCell{
					phase: steadyPhase, class: class, timeLeft: 2500 * time.Millisecond, framing: framing,
					answerBytes: pauseLongBytes, point: afterHead, pause: time.Second,
				}
				retryIfStalled(t, func() error { return playPauseCell(t, cell) })
			})
		}
	}
}

// Guards against requests that are refused without an attempt because all endpoints seem silent, though each of them has
// answered: the heads of its answers were there.
func TestRequestsBesideLateBodiesAreNotRefused(t *testing.T) {
	const requests, delay, sigterm = 14, 400 * time.Millisecond, 300 * time.Millisecond
	steady := func(i int) time.Duration { return time.Duration(i) * 40 * time.Millisecond }
	inTwoBursts := func(i int) time.Duration { return time.Duration(i/(requests-2)) * 350 * time.Millisecond }
	for n := range 16 {
		startOf := steady
		if n%2 == 1 {
			startOf = inTwoBursts
		}
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := start(t, 6, usePlainBinary, func(w *testbed) { w.operatorFile = "[log]\nlevel = \"debug\"\n" })
			w.answerWithLateBodies(pauseLongBytes, delay)
			var clients sync.WaitGroup
			statuses := make([]int, requests)
			for i := range requests {
				clients.Go(func() {
					time.Sleep(startOf(i))
					r := w.request("consult", 2500)
					r.Header.Del("Cookie")       // without a key, requests spread over all endpoints
					statuses[i] = w.do(r).status // connections are accepted for 0.75 s after SIGTERM
				})
			}
			time.Sleep(sigterm)
			_ = w.process.Process.Signal(syscall.SIGTERM)
			clients.Wait()
			for _, status := range statuses {
				require.Equal(t, http.StatusOK, status, statuses)
			}
		})
	}
}

// Guards against an endpoint that writes heads and no bodies, and goes on to get requests: it is found out as fast as a silent
// one, and all others are served.
func TestServerThatGivesHeadsOnlyIsFoundOut(t *testing.T) {
	for _, size := range []int{3000, pauseLongBytes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := start(t, 6, usePlainBinary, func(w *testbed) { w.operatorFile = "[log]\nlevel = \"debug\"\n" })
			const servers, perS, duration = 6, 60, 4 * time.Second
			w.answerWithLateBodies(10, 10*time.Millisecond)
			released := make(chan struct{})
			t.Cleanup(func() { close(released) })
			time.Sleep(50 * time.Millisecond)
			served, bound := w.countServed(perS, time.Second)
			require.Equal(t, bound, served)
			w.servers[0].setScript(func(a upstreamAttempt, c net.Conn) bool {
				_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size))
				<-released
				return false
			})
			served, bound = w.countServed(perS, duration)
			t.Logf("%d of %d served", served, bound)
			// As many as go there in 1.5 s, and those that test it later.
			require.GreaterOrEqual(t, served, bound-perS*3/2/servers-perS*int(duration/time.Second)/20)
			served, bound = w.countServed(perS, time.Second)
			require.GreaterOrEqual(t, served, bound-2, "it has been found out")
		})
	}
}

// countServed sends requests at a rate for a time, and returns how many were served.
func (w *testbed) countServed(perS int, duration time.Duration) (served, sent int) {
	const timeLeft = 2500 * time.Millisecond
	var clients sync.WaitGroup
	var mu sync.Mutex
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perS)) {
		sent++
		r := w.request("consult", int(timeLeft.Milliseconds()))
		r.Header.Set("Cookie", fmt.Sprint("sid=k", sent))
		clients.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeLeft+maxResponseDelay) // then it leaves
			defer cancel()
			resp, err := http.DefaultTransport.RoundTrip(r.WithContext(ctx))
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if _, err = io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return served, sent
}

// Guards against long answers that are cut off before the end of the process, though their heads are there and they would be whole
// before the kill: a request that its client sent slowly, and whose answer has begun when unanswered requests fail.
func TestLongAnswerThatHasBegunAtTheEndOfTheProcessIsWhole(t *testing.T) {
	const pieces, interval, delay = 10, 255 * time.Millisecond, 450 * time.Millisecond
	retryIfStalled(t, func() error {
		w := newSerialTestbed(t, 2)
		for _, edit := range []func(*testbed){usePlainBinary, func(w *testbed) { w.operatorFile = "[log]\nlevel = \"debug\"\n" }} {
			edit(w)
		}
		w.launch()
		w.waitUntil("ready", func() bool { return w.readyStatus() == http.StatusOK })
		w.answerWithLateBodies(pauseLongBytes, delay)
		id := w.nextID()
		text := longRequestText(id, "k", longBody{size: 90_000}, time.Second)
		c := w.sendRaw(text[:1000])
		_ = w.process.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(2500*time.Millisecond+killGrace, func() { _ = w.process.Process.Kill() })
		defer kill.Stop()
		for piece := range pieces {
			time.Sleep(interval)
			_, _ = io.WriteString(c, text[1000+piece*(len(text)-1000)/pieces:1000+(piece+1)*(len(text)-1000)/pieces])
		}
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		got := readAnswer(bufio.NewReader(c))
		<-w.exited
		if got.status != http.StatusOK || got.err != nil || got.body != uniqueBody(pauseLongBytes, id) {
			return fmt.Errorf("status %d, %d bytes, complete %v\n%s", got.status, len(got.body), got.err == nil, w.log.String())
		}
		return nil
	})
}

// Guards against a response that is held back, since it may be a copy of the one before, for as long as its client waits: it is the
// request's once the attempt's own time is over, as it was before responses counted from their heads.
func TestResponseThatMayBeACopyIsServedWithinTheObjective(t *testing.T) {
	retryIfStalled(t, func() error {
		w := start(t, 1, usePlainBinary)
		var requests atomic.Int32
		w.answerAll(func(upstreamAttempt) string {
			if requests.Add(1) == 1 {
				time.Sleep(100 * time.Millisecond) // a server is taken for at least half as slow
			}
			return reply("200 OK", "alike")
		})
		for range 2 {
			began := time.Now()
			got := w.do(w.request("consult", 2500))
			if took := time.Since(began); got.status != http.StatusOK || took > pauseObjective+measuringSlack {
				return fmt.Errorf("status %d after %v", got.status, took)
			}
		}
		return nil
	})
}

// Guards against heads that are held while their bodies do not come, and that pass the agent's memory: of the largest size, from
// all servers at once.
func TestHeldHeadsStayWithinMemory(t *testing.T) {
	const clients, headLines = 300, 75
	w := newSerialTestbed(t, 6)
	w.start(usePlainBinary, func(w *testbed) { w.config["limits"].(object)["memory_mb"] = leastMemoryMB })
	head := "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n" + strings.Repeat("X-Filler: "+strings.Repeat("x", 1000)+"\r\n", headLines) + "\r\n"
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	for _, s := range w.servers {
		s.setScript(func(_ upstreamAttempt, c net.Conn) bool {
			_, _ = io.WriteString(c, head)
			<-ended
			return false
		})
	}
	var requests sync.WaitGroup
	var forwarded atomic.Int32
	for range clients {
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			r := w.request("consult", 2500)
			r.Header.Del("Cookie")
			resp, err := http.DefaultTransport.RoundTrip(r.WithContext(ctx))
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode == http.StatusOK {
				forwarded.Add(1)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		})
	}
	requests.Wait()
	peak, _ := w.memoryKiB()
	t.Logf("%d of %d heads were forwarded, at most %d kB", forwarded.Load(), clients, peak)
	require.Greater(t, forwarded.Load(), int32(clients/4))
	require.LessOrEqual(t, peak, leastMemoryMB<<10)
}

// Guards against sound endpoints that are blamed for answers in the last 0.1 s of their clients' time, which count as overdue.
func TestAnswersNearTheEndOfTheirTimeAreNoEvidence(t *testing.T) {
	const requests = 30
	w := start(t, 2, usePlainBinary, func(w *testbed) { w.operatorFile = "[log]\nlevel = \"debug\"\n" })
	w.answerWithLateBodies(3000, 15*time.Millisecond)
	for range requests {
		w.do(w.request("consult", 90))
	}
	require.Contains(t, w.log.String(), "attempt overdue")
	for line := range strings.Lines(w.log.String()) {
		require.False(t, strings.Contains(line, "attempt overdue") && strings.Contains(line, "local=false"), line)
	}
}
