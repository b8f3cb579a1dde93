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

// stream asks at an even pace, each time for another chair, and counts what came of it.
type requestStream struct {
	sent, served, rejected atomic.Int64
	stop                   func()
}

func (w *testbed) startStream(every time.Duration) *requestStream {
	s := &requestStream{}
	quit := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for tick := time.NewTicker(every); ; {
			select {
			case <-quit:
				tick.Stop()
				return
			case <-tick.C:
			}
			clients.Go(func() {
				r := w.request("consult", 900)
				r.Header.Set("Cookie", fmt.Sprint("sid=", s.sent.Add(1)))
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				switch resp.StatusCode {
				case http.StatusOK:
					s.served.Add(1)
				case http.StatusServiceUnavailable:
					s.rejected.Add(1)
				}
			})
		}
	})
	s.stop = func() { close(quit); clients.Wait() }
	return s
}

// While all endpoints refuse, or say nothing, they get few attempts; once they are well they are used again
// at once, and the log says so.
func TestOutageAndRecovery(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(upstreamAttempt) string{
		"refusing": func(upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") },
		"silent":   func(upstreamAttempt) string { return silence },
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 4)
			s := w.startStream(8 * time.Millisecond)
			defer s.stop()
			w.until("served", func() bool { return s.served.Load() > 200 })
			w.answerAll(fault)
			w.until("seen", func() bool { return strings.Contains(w.log.String(), "nothing was served") })
			asked, steps := s.sent.Load(), w.attemptCount()
			w.until("goes on", func() bool { return s.sent.Load() > asked+300 })
			require.Less(t, float64(w.attemptCount()-steps), 0.5*float64(s.sent.Load()-asked))
			for _, b := range w.servers {
				b.setAnswer(ok)
				b.closeConnections() // a request that was never answered stays in the way of the next one
			}
			w.until("said", func() bool { return strings.Contains(w.log.String(), "served again") })
			w.until("served", func() bool {
				asked, served := s.sent.Load(), s.served.Load()
				time.Sleep(300 * time.Millisecond)
				return float64(s.served.Load()-served) > 0.95*float64(s.sent.Load()-asked)
			})
			w.until("over", func() bool { return strings.Contains(w.log.String(), "outage over") })
		})
	}
}

// A tenant beyond its share is told so by 429, others by 503; both when to come back, in seconds that differ;
// and how much the share is, where the operator wants it.
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
	refused := func(tenant string) answer {
		r := w.request("consult", 900)
		r.Header.Set("X-Account", tenant)
		r.Header.Set("Cookie", "sid="+w.nextID())
		return w.do(r)
	}
	w.until("an outage", func() bool {
		refused("acme")
		return strings.Contains(w.log.String(), "nothing was served")
	})
	w.until("greedy", func() bool { return refused("greedy").status == http.StatusTooManyRequests })
	for tenant, status := range map[string]int{"acme": 503, "greedy": 429} {
		for range 3 {
			got := refused(tenant)
			require.Equal(t, status, got.status)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.True(t, after > 0 && after <= 2, "%v", after)
			require.False(t, seen[got.header.Get("Retry-After")], "told twice the same")
			seen[got.header.Get("Retry-After")] = true
			require.Regexp(t, `^"share";q=\d+;w=1$`, got.header.Get("RateLimit-Policy"))
			require.Regexp(t, `^"share";r=\d+;t=[12]$`, got.header.Get("RateLimit"))
		}
	}
	w.operatorFile = "[storm]\non = false\n"
	w.configure()
	require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
	w.until("off", func() bool {
		got := refused("greedy")
		return got.status == 503 && got.header.Get("RateLimit") == ""
	})
}

// BenchmarkRejection measures what a request that is rejected in an outage costs the program, beside one that is
// served: in CPU time of the process, and in requests a second on one core.
func BenchmarkRejection(b *testing.B) {
	for name, answers := range map[string]func(upstreamAttempt) string{
		"served":  ok,
		"refused": func(upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") },
	} {
		b.Run(name, func(b *testing.B) {
			w := newSerialTestbed(b, 4).start(usePlainBinary)
			w.answerAll(answers)
			const clients = 32
			ask := func(c net.Conn, in *bufio.Reader, n int) {
				_, err := fmt.Fprintf(c, "GET /consult/x HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: %s\r\nX-Account: acme\r\n"+
					"Cookie: sid=%d\r\nX-Time-Left-Ms: 900\r\n\r\n", w.nextID(), n)
				require.NoError(b, err)
				resp, err := http.ReadResponse(in, nil)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			var todo atomic.Int64
			run := func(n int64) {
				todo.Store(n)
				var all sync.WaitGroup
				for range clients {
					all.Go(func() {
						c, err := net.Dial("tcp", w.addr)
						require.NoError(b, err)
						defer func() { _ = c.Close() }()
						in := bufio.NewReader(c)
						for n := todo.Add(-1); n >= 0; n = todo.Add(-1) {
							ask(c, in, int(n))
						}
					})
				}
				all.Wait()
			}
			run(3000)
			cpu := w.cpu()
			b.ResetTimer()
			run(int64(b.N))
			b.StopTimer()
			b.ReportMetric(float64((w.cpu()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
