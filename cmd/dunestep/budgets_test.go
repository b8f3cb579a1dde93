package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendAtRate sends perS requests a second at even intervals until the caller calls end. request makes the request with a
// number, answered gets its status; 0: no response. After a stall of the machine, it does not catch up with a burst.
func (w *testbed) sendAtRate(perS int, request func(n int) *http.Request, answered func(n, status int)) (end func()) {
	done := make(chan struct{})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 300}, Timeout: 5 * time.Second}
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perS))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			wait.Go(func() {
				status := 0
				if resp, err := client.Do(request(n)); err == nil {
					status = resp.StatusCode
					_ = resp.Body.Close()
				}
				answered(n, status)
			})
		}
	})
	end = sync.OnceFunc(func() { close(done); wait.Wait(); client.CloseIdleConnections() })
	w.t.Cleanup(end)
	return end
}

// maxInWindow returns the maximum number of arrivals in any window of that length that ends at from or later. The arrivals
// are in order.
func maxInWindow(arrivals []time.Time, from time.Time, window time.Duration) (count int) {
	for first, last := 0, 0; last < len(arrivals); last++ {
		for arrivals[last].Sub(arrivals[first]) >= window {
			first++
		}
		if !arrivals[last].Before(from) {
			count = max(count, last-first+1)
		}
	}
	return count
}

// slowStartLimit returns how many attempts an endpoint that has just started may get within slowStartWindow. A warm
// endpoint serves capacity requests a second. It crashes from three times its current capacity within that window, by the
// default deployment's rules. The limit includes a margin of two standard deviations for random variation.
func slowStartLimit(capacity float64) float64 {
	n := 3 * defaultDeployment.slowStartCapacity * capacity * slowStartWindow.Seconds()
	return n + 2*math.Sqrt(n) + 2
}

const slowStartWindow = 3 * time.Second

// An endpoint has just restarted and owns the keys of all requests. It gets some of them at once, and never as many as
// would overload it, whatever the load: the settings' slow start limits it.
func TestSlowStartServerIsNotOverloaded(t *testing.T) {
	const perS, capacity = 200, 60.0 // requests a second: of all clients; that a warm server serves
	w := start(t, 4, (*testbed).useLongTimeouts)
	request := func(sid string) *http.Request {
		r := w.request("consult", 30000)
		r.Header.Set("Cookie", "sid="+sid)
		return r
	}
	var ownedKeys []string // keys that s-3 owns
	for len(ownedKeys) < 20 {
		sid := fmt.Sprintf("%x", rand.Uint64())
		if before := len(w.servers[3].attempts()); w.do(request(sid)).status == 200 && len(w.servers[3].attempts()) > before {
			ownedKeys = append(ownedKeys, sid)
		}
	}
	var useOwnedKeys atomic.Bool
	end := w.sendAtRate(perS, func(n int) *http.Request {
		if useOwnedKeys.Load() {
			return request(ownedKeys[n%len(ownedKeys)])
		}
		return request(fmt.Sprintf("%x", rand.Uint64()))
	}, func(int, int) {})
	sent := w.attemptCount()
	w.waitUntil("the agent has measured the request rate", func() bool { return w.attemptCount() > sent+2*perS })
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	restarted := w.servers[3].listEntry("active")
	restarted["started_ms"] = time.Now().UnixMilli()
	w.discovery.sendLine(listJSON(42, false, restarted))
	updatedAt := time.Now()
	time.Sleep(200 * time.Millisecond) // until the update is applied
	useOwnedKeys.Store(true)
	from, before := time.Now(), len(w.servers[3].attempts())
	w.waitUntil("the restarted server gets a request", func() bool { return len(w.servers[3].attempts()) > before })
	time.Sleep(time.Until(updatedAt.Add(5 * time.Second)))
	end()
	limit := slowStartLimit(capacity)
	var arrivals []time.Time
	for _, attempt := range w.servers[3].attempts() {
		arrivals = append(arrivals, attempt.receivedAt)
	}
	count := maxInWindow(arrivals, from.Add(slowStartWindow-200*time.Millisecond), slowStartWindow)
	t.Logf("at most %d attempts in 3 s, limit %.0f", count, limit)
	require.Less(t, float64(count), limit)
}

// answerOneAtATime makes an endpoint process one request at a time. Each takes processingTime.
func (s *server) answerOneAtATime(processingTime time.Duration) {
	var mu sync.Mutex
	s.setAnswer(func(attempt upstreamAttempt) string {
		mu.Lock()
		defer mu.Unlock()
		time.Sleep(processingTime)
		return ok(attempt)
	})
}

// servedCounts counts the requests that are sent and served, for two kinds of request.
type servedCounts struct{ sent, served [2]atomic.Int64 }

func (c *servedCounts) servedRatio(kind int) float64 {
	return float64(c.served[kind].Load()) / float64(max(c.sent[kind].Load(), 1))
}

func (c *servedCounts) record(kind, status int) {
	c.sent[kind].Add(1)
	if status == http.StatusOK {
		c.served[kind].Add(1)
	}
}

// Under twice the load that can be served, the class with the longer latency objective does not displace the other one.
func TestClassesShareCapacity(t *testing.T) {
	t.Parallel()
	retryIfStalled(t, func() error {
		w := newSerialTestbed(t, 2).start(usePlainBinary, func(w *testbed) {
			for i, class := range w.config["settings"].(object)["categories"].([]object) {
				class["aim"], class["deadline"] = []int{2400000, 400000}[i], 2500000
			}
			for _, s := range w.servers {
				s.answerOneAtATime(20 * time.Millisecond)
			}
		})
		var counts servedCounts
		end := w.sendAtRate(200, func(n int) *http.Request {
			r := w.request([]string{"consult", "rezervare"}[n%2], []int{2400, 400}[n%2])
			r.Header.Set("Cookie", fmt.Sprintf("sid=%x", rand.Uint64()))
			return r
		}, func(n, status int) { counts.record(n%2, status) })
		time.Sleep(6 * time.Second)
		end()
		t.Logf("served: consult %.2f, rezervare %.2f", counts.servedRatio(0), counts.servedRatio(1))
		if counts.servedRatio(1) < counts.servedRatio(0)/2 {
			return fmt.Errorf("rezervare is displaced: %.2f of it are served, %.2f of consult", counts.servedRatio(1), counts.servedRatio(0))
		}
		return nil
	})
}

// A tenant within its quota is served while another one sends far more than its own.
func TestTenantsShareCapacity(t *testing.T) {
	t.Parallel()
	retryIfStalled(t, func() error {
		w := newSerialTestbed(t, 2).start(usePlainBinary, func(w *testbed) {
			settings := w.config["settings"].(object)
			settings["balancers"] = 1
			settings["customers"] = []object{
				{"name": "acme", "quotaPerS": 60, "share": 0.5},
				{"name": "greedy", "quotaPerS": 40, "share": 0.5},
			}
			for _, s := range w.servers {
				s.answerOneAtATime(20 * time.Millisecond)
			}
		})
		var counts servedCounts
		end := w.sendAtRate(240, func(n int) *http.Request {
			r := w.request("consult", 900)
			r.Header.Set("Cookie", fmt.Sprintf("sid=%x", rand.Uint64()))
			if n%6 > 0 {
				r.Header.Set("X-Account", "greedy")
			}
			return r
		}, func(n, status int) { counts.record(min(n%6, 1), status) })
		time.Sleep(5 * time.Second)
		end()
		t.Logf("served: within the quota %.2f, beyond it %.2f", counts.servedRatio(0), counts.servedRatio(1))
		if counts.servedRatio(0) < 0.7 {
			return fmt.Errorf("of the tenant within its quota %.2f are served, of the other one %.2f", counts.servedRatio(0), counts.servedRatio(1))
		}
		return nil
	})
}
