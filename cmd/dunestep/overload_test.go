package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requestStream counts the requests of clients that send at a constant rate, each with a new key, and their outcomes.
type requestStream struct {
	sent, served, rejected atomic.Int64
	stop                   func()
}

// startStream starts sending a request per interval.
func (w *testbed) startStream(interval time.Duration) *requestStream {
	stream := &requestStream{}
	done := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for tick := time.NewTicker(interval); ; {
			select {
			case <-done:
				tick.Stop()
				return
			case <-tick.C:
			}
			clients.Go(func() {
				r := w.request("consult", 900)
				r.Header.Set("Cookie", fmt.Sprint("sid=", stream.sent.Add(1)))
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				switch resp.StatusCode {
				case http.StatusOK:
					stream.served.Add(1)
				case http.StatusServiceUnavailable:
					stream.rejected.Add(1)
				}
			})
		}
	})
	stream.stop = func() { close(done); clients.Wait() }
	return stream
}

// While all endpoints reject requests or do not answer, they get few attempts. Once they recover they are used again at
// once. The log reports both.
func TestOutageAndRecovery(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(upstreamAttempt) string{
		"rejecting": func(upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") },
		"silent":    func(upstreamAttempt) string { return silence },
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 4)
			stream := w.startStream(8 * time.Millisecond)
			defer stream.stop()
			w.waitUntil("served", func() bool { return stream.served.Load() > 200 })
			w.answerAll(fault)
			w.waitUntil("outage logged", func() bool { return strings.Contains(w.log.String(), "nothing was served") })
			sent, attempts := stream.sent.Load(), w.attemptCount()
			w.waitUntil("more requests sent", func() bool { return stream.sent.Load() > sent+300 })
			require.Less(t, float64(w.attemptCount()-attempts), 0.5*float64(stream.sent.Load()-sent))
			for _, endpoint := range w.servers {
				endpoint.setAnswer(ok)
				endpoint.closeConnections() // an unanswered request blocks the next one on its connection
			}
			w.waitUntil("recovery logged", func() bool { return strings.Contains(w.log.String(), "served again") })
			w.waitUntil("served", func() bool {
				sent, served := stream.sent.Load(), stream.served.Load()
				time.Sleep(300 * time.Millisecond)
				return float64(stream.served.Load()-served) > 0.95*float64(stream.sent.Load()-sent)
			})
			w.waitUntil("end of the outage logged", func() bool { return strings.Contains(w.log.String(), "outage over") })
		})
	}
}

// In an outage, requests of a tenant that exceeds its share are rejected with 429, others with 503. Each rejection has a
// different Retry-After, and rate limit fields if the operator file enables them.
func TestRejectionStatusAndRetryAfter(t *testing.T) {
	w := start(t, 1, func(w *testbed) {
		w.operatorFile = "[storm]\nrate_limit_fields = true\n"
		w.config["settings"].(object)["customers"] = []object{
			{"name": "acme", "quotaPerS": 1000, "share": 0.99},
			{"name": "greedy", "quotaPerS": 1, "share": 0.01},
		}
	})
	w.answerAll(func(upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") })
	seen := map[string]bool{}
	sendAs := func(tenant string) answer {
		r := w.request("consult", 900)
		r.Header.Set("X-Account", tenant)
		r.Header.Set("Cookie", "sid="+w.nextID())
		return w.do(r)
	}
	w.waitUntil("outage logged", func() bool {
		sendAs("acme")
		return strings.Contains(w.log.String(), "nothing was served")
	})
	w.waitUntil("rejection with 429", func() bool { return sendAs("greedy").status == http.StatusTooManyRequests })
	for tenant, status := range map[string]int{"acme": 503, "greedy": 429} {
		for range 3 {
			got := sendAs(tenant)
			require.Equal(t, status, got.status)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.True(t, after > 0 && after <= 2, "%v", after)
			require.False(t, seen[got.header.Get("Retry-After")], "Retry-After must differ")
			seen[got.header.Get("Retry-After")] = true
			require.Regexp(t, `^"share";q=\d+;w=1$`, got.header.Get("RateLimit-Policy"))
			require.Regexp(t, `^"share";r=\d+;t=[12]$`, got.header.Get("RateLimit"))
		}
	}
	w.operatorFile = "[storm]\non = false\n"
	w.writeConfig()
	require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
	w.waitUntil("rate limit fields are off", func() bool {
		got := sendAs("greedy")
		return got.status == 503 && got.header.Get("RateLimit") == ""
	})
}

// BenchmarkRejection measures the cost of a request that is rejected in an outage and of one that is served: the
// process's CPU time per request, and the time per request.
func BenchmarkRejection(b *testing.B) {
	for name, answers := range map[string]func(upstreamAttempt) string{
		"served":   ok,
		"rejected": func(upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") },
	} {
		b.Run(name, func(b *testing.B) {
			w := newSerialTestbed(b, 4).start(usePlainBinary)
			w.answerAll(answers)
			const clients = 32
			send := func(c net.Conn, in *bufio.Reader, n int) {
				_, err := fmt.Fprintf(c, "GET /consult/x HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: %s\r\nX-Account: acme\r\n"+
					"Cookie: sid=%d\r\nX-Time-Left-Ms: 900\r\n\r\n", w.nextID(), n)
				require.NoError(b, err)
				resp, err := http.ReadResponse(in, nil)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			var remaining atomic.Int64
			run := func(n int64) {
				remaining.Store(n)
				var all sync.WaitGroup
				for range clients {
					all.Go(func() {
						c, err := net.Dial("tcp", w.addr)
						require.NoError(b, err)
						defer func() { _ = c.Close() }()
						in := bufio.NewReader(c)
						for n := remaining.Add(-1); n >= 0; n = remaining.Add(-1) {
							send(c, in, int(n))
						}
					})
				}
				all.Wait()
			}
			run(3000)
			cpu := w.cpuTime()
			b.ResetTimer()
			run(int64(b.N))
			b.StopTimer()
			b.ReportMetric(float64((w.cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
