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

// paced sends requests at an even pace, each made by its number, until it is ended. It is never ahead of its
// pace, so that a machine that stood still is followed by no burst.
func (w *testbed) paced(perS int, request func(n int) *http.Request, answered func(n, status int)) (end func()) {
	over := make(chan struct{})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 300}, Timeout: 5 * time.Second}
	var wait sync.WaitGroup
	wait.Go(func() {
		beat := time.NewTicker(time.Second / time.Duration(perS))
		defer beat.Stop()
		for n := 0; ; n++ {
			select {
			case <-over:
				return
			case <-beat.C:
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
	end = sync.OnceFunc(func() { close(over); wait.Wait(); client.CloseIdleConnections() })
	w.t.Cleanup(end)
	return end
}

// fullest is the most attempts of any window of that length that ends after a time; came is in order.
func fullest(came []time.Time, from time.Time, window time.Duration) (most int) {
	for first, last := 0, 0; last < len(came); last++ {
		for came[last].Sub(came[first]) >= window {
			first++
		}
		if !came[last].Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// coldLimit is how many attempts an endpoint that just started may get in the window within which it would fall
// over, by the usual rules, if it does capacity a second when it is warm: what is allowed then, and what is chance.
func coldLimit(capacity float64) float64 {
	n := 3 * defaultDeployment.slowStartCapacity * capacity * coldWindow.Seconds()
	return n + 2*math.Sqrt(n) + 2
}

const coldWindow = 3 * time.Second

// An endpoint that starts again, and owns all that is asked for, gets some of it at once and never as much as
// it falls over from, whatever comes: what the settings say of cold servers.
func TestWarmingUpServerIsNotOverloaded(t *testing.T) {
	const perS, capacity = 200, 60.0 // requests a second: of all, and what a warm server would do
	w := start(t, 4, (*testbed).useLongTimeouts)
	ask := func(sid string) *http.Request {
		r := w.request("consult", 30000)
		r.Header.Set("Cookie", "sid="+sid)
		return r
	}
	var own []string // keys of s-3's
	for len(own) < 20 {
		sid := fmt.Sprintf("%x", rand.Uint64())
		if had := len(w.servers[3].attempts()); w.do(ask(sid)).status == 200 && len(w.servers[3].attempts()) > had {
			own = append(own, sid)
		}
	}
	var hot atomic.Bool
	end := w.paced(perS, func(n int) *http.Request {
		if hot.Load() {
			return ask(own[n%len(own)])
		}
		return ask(fmt.Sprintf("%x", rand.Uint64()))
	}, func(int, int) {})
	seen := w.attemptCount()
	w.until("its pace is known", func() bool { return w.attemptCount() > seen+2*perS })
	w.until("watch", func() bool { return w.discovery.watched() == 1 })
	again := w.servers[3].entry("active")
	again["started_ms"] = time.Now().UnixMilli()
	w.discovery.say(list(42, false, again))
	told := time.Now()
	time.Sleep(200 * time.Millisecond) // until it is taken in
	hot.Store(true)
	from, had := time.Now(), len(w.servers[3].attempts())
	w.until("some of it", func() bool { return len(w.servers[3].attempts()) > had })
	time.Sleep(time.Until(told.Add(5 * time.Second)))
	end()
	limit := coldLimit(capacity)
	var came []time.Time
	for _, st := range w.servers[3].attempts() {
		came = append(came, st.receivedAt)
	}
	most := fullest(came, from.Add(coldWindow-200*time.Millisecond), coldWindow)
	t.Logf("%d in its fullest 3 s, %.0f at most", most, limit)
	require.Less(t, float64(most), limit)
}

// slowly has an endpoint work at one request at a time for so long.
func (s *server) slowly(takes time.Duration) {
	var one sync.Mutex
	s.setAnswer(func(st upstreamAttempt) string {
		one.Lock()
		defer one.Unlock()
		time.Sleep(takes)
		return ok(st)
	})
}

// parts counts what is asked and served by kind of request.
type parts struct{ asked, served [2]atomic.Int64 }

func (p *parts) of(kind int) float64 {
	return float64(p.served[kind].Load()) / float64(max(p.asked[kind].Load(), 1))
}

func (p *parts) note(kind, status int) {
	p.asked[kind].Add(1)
	if status == http.StatusOK {
		p.served[kind].Add(1)
	}
}

// Where twice as much comes as can be served, the class that may wait longer does not shut the other out.
func TestClassesShareWhatThereIs(t *testing.T) {
	t.Parallel()
	retryIfStalled(t, func() error {
		w := newSerialTestbed(t, 2).start(usePlainBinary, func(w *testbed) {
			for i, class := range w.config["settings"].(object)["categories"].([]object) {
				class["aim"], class["deadline"] = []int{2400000, 400000}[i], 2500000
			}
			for _, s := range w.servers {
				s.slowly(20 * time.Millisecond)
			}
		})
		var p parts
		end := w.paced(200, func(n int) *http.Request {
			r := w.request([]string{"consult", "rezervare"}[n%2], []int{2400, 400}[n%2])
			r.Header.Set("Cookie", fmt.Sprintf("sid=%x", rand.Uint64()))
			return r
		}, func(n, status int) { p.note(n%2, status) })
		time.Sleep(6 * time.Second)
		end()
		t.Logf("served: consult %.2f, rezervare %.2f", p.of(0), p.of(1))
		if p.of(1) < p.of(0)/2 {
			return fmt.Errorf("rezervare is shut out: %.2f, %.2f", p.of(1), p.of(0))
		}
		return nil
	})
}

// A tenant within its share is served while another one floods the agent.
func TestTenantsShareWhatThereIs(t *testing.T) {
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
				s.slowly(20 * time.Millisecond)
			}
		})
		var p parts
		end := w.paced(240, func(n int) *http.Request {
			r := w.request("consult", 900)
			r.Header.Set("Cookie", fmt.Sprintf("sid=%x", rand.Uint64()))
			if n%6 > 0 {
				r.Header.Set("X-Account", "greedy")
			}
			return r
		}, func(n, status int) { p.note(min(n%6, 1), status) })
		time.Sleep(5 * time.Second)
		end()
		t.Logf("served: within its share %.2f, beyond it %.2f", p.of(0), p.of(1))
		if p.of(0) < 0.7 {
			return fmt.Errorf("who stays within its share is served %.2f, who floods %.2f", p.of(0), p.of(1))
		}
		return nil
	})
}
