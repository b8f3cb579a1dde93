package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/standin"
)

// What the pages say of a planned restart: how long new connections go on coming after SIGTERM, when SIGKILL
// comes at the soonest beside the longest deadline, how late an answer may be, and how many may end unsent.
const (
	lateConnectPeriod = 400 * time.Millisecond
	killGrace         = 700 * time.Millisecond
	maxResponseDelay  = 500 * time.Millisecond
	maxUnsentFraction = 1.0 / 200
)

// callers are clients that send one request after another, each on a connection of its own for as long as that
// stays open.
type callers struct {
	w         *testbed
	thinkTime func() time.Duration // between an answer and the next request
	mayDial   atomic.Bool          // new connections may be opened
	done      chan struct{}
	stop      func()
	wait      sync.WaitGroup

	mu       sync.Mutex
	requests int
	outcomes map[string]int // of the requests
	unsent   []string       // ids of those that failed, or whose new connection was closed with no answer
	lost     []string       // how requests ended that were owed an answer
	// crossed are the ids of those whose connection was closed as they were sent: nothing of them may have been
	// forwarded but what is marked as sent again.
	crossed map[string]bool
}

// What a request's query says.
const (
	unansweredMark = "hangs"  // the endpoint does not answer
	resentMark     = "&again" // it is sent once more
)

// crossingWindow is how soon after a request its connection ends if the two have crossed.
const crossingWindow = time.Second

// heard is what comes of a connection: an answer, or its end.
type connEvent struct {
	*http.Response
	body   []byte
	unread bool
}

// callers has clients begin to send.
func (w *testbed) startCallers(clients int, think func() time.Duration) *callers {
	c := &callers{
		w: w, thinkTime: think, done: make(chan struct{}), outcomes: map[string]int{},
		crossed: map[string]bool{},
	}
	c.mayDial.Store(true)
	for range clients {
		c.wait.Go(c.runClient)
	}
	c.stop = sync.OnceFunc(func() { close(c.done); c.wait.Wait() })
	w.t.Cleanup(c.stop)
	return c
}

func (c *callers) runClient() {
	var conn *standin.Client
	var hears chan connEvent
	for {
		select {
		case <-c.done:
			if conn != nil {
				conn.Close()
			}
			return
		case <-hears: // closed between requests
			conn, hears = nil, nil
			continue
		case <-time.After(c.thinkTime()):
		}
		if conn == nil && !c.mayDial.Load() {
			continue
		}
		late := rand.N(600 * time.Millisecond)
		if rand.N(4) > 0 {
			late = 0
		}
		query := ""
		if rand.N(20) == 0 {
			query = unansweredMark
		}
		conn, hears = c.exchange(conn, hears, late, query)
	}
}

// exchange sends a request, on a new connection where there is none, and once more where the close of the one
// that there was has crossed it. Late is when its end comes; query is hanging where no response is wanted. It
// returns the connection if that is still to be used.
func (c *callers) exchange(conn *standin.Client, hears chan connEvent, late time.Duration, query string) (*standin.Client,
	chan connEvent,
) {
	const left = 2500
	class, method, body, size := "consult", "GET", "", rand.N(100_000)
	id := c.w.nextID()
	if n := rand.N(4); n > 0 {
		class, method, body = "rezervare", "POST", long([]int{20, 60_000, 200_000}[n-1], id)
	}
	key := rand.N(1000)
	for used := conn != nil; ; used, query = false, query+resentMark {
		request := fmt.Appendf(nil, "%s /%s/%d?%s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\n"+
			"X-Account: acme\r\nCookie: sid=%x\r\nX-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			method, class, size, query, id, key, left, len(body), body)
		rest := len(request)
		if late > 0 {
			rest -= len(body) / 2
		}
		if used {
			conn.Ask(request[:rest])
		} else {
			to := make(chan connEvent, 2)
			hears = to
			conn = standin.Dial(c.w.addr, request[:rest],
				func(r *http.Response, body []byte) { to <- connEvent{Response: r, body: body} },
				func(unread bool) { to <- connEvent{unread: unread} })
		}
		if late > 0 {
			time.Sleep(late)
			conn.Ask(request[rest:])
		}
		sent := time.Now()
		var h connEvent
		until := left*time.Millisecond + maxResponseDelay
		select {
		case h = <-hears:
		case <-time.After(until + time.Second):
			conn.Close()
		}
		if used && time.Since(sent) > crossingWindow {
			h.unread = false // it was taken, and then dropped
		}
		if h.Response == nil && h.unread && used {
			c.mu.Lock()
			c.crossed[id] = true
			c.mu.Unlock()
			if c.mayDial.Load() {
				continue
			}
		}
		c.record(id, h, h.Response != nil && string(h.body) == long(size, id), time.Since(sent) > until)
		if h.Response == nil || h.Close {
			conn.Close()
			return nil, nil
		}
		return conn, hears
	}
}

// end notes how a request ended.
func (c *callers) record(id string, h connEvent, whole, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	how := "no answer"
	switch {
	case h.Response == nil && h.unread: // a new one, or there was nowhere to send it once more
		how = "connection closed"
		c.unsent = append(c.unsent, id)
	case h.Response == nil:
	case late:
		how = "late"
	case h.StatusCode == http.StatusOK && !whole:
		how = "another body"
	default:
		how = fmt.Sprint(h.StatusCode)
		if h.StatusCode != http.StatusOK && h.StatusCode != http.StatusServiceUnavailable {
			c.unsent = append(c.unsent, id)
		}
	}
	c.outcomes[how]++
	if how == "no answer" || how == "late" || how == "another body" {
		c.lost = append(c.lost, how+": "+id)
	}
}

// verdict tells what is wrong with the ends of all requests, if anything.
func (c *callers) check() error {
	reached := map[string]bool{}
	for _, s := range c.w.servers {
		for _, st := range s.attempts() {
			id := idOf(st)
			reached[id] = true
			if c.crossed[id] && !strings.Contains(st.URL.RawQuery, resentMark) {
				c.lost = append(c.lost, "sent on, though it crossed a close: "+id)
			}
		}
	}
	unsent := 0
	for _, id := range c.unsent {
		if !reached[id] {
			unsent++
		}
	}
	c.w.t.Logf("%d asked: %v, %d sent again, %d ended unsent", c.requests, c.outcomes, len(c.crossed), unsent)
	if len(c.lost) > 0 || float64(unsent) > maxUnsentFraction*float64(c.requests) {
		return fmt.Errorf("lost %v, %d of %d unsent", c.lost, unsent, c.requests)
	}
	return nil
}

// After SIGTERM clients send on all connections that stay open, at a busy agent and at one whose clients are
// idle, with long bodies both ways, while endpoints are slow. All that is taken is answered, by what is
// left of the process until it could be killed, and a new one under its name serves at once.
func TestRestartUnderOpenConnections(t *testing.T) {
	for name, c := range map[string]struct {
		clients int
		think   func() time.Duration
	}{
		"busy": {40, func() time.Duration { return rand.N(20 * time.Millisecond) }},
		"idle": {200, func() time.Duration { return rand.N(2500 * time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			retryIfStalled(t, func() error { return tryRestart(t, c.clients, c.think) })
		})
	}
}

func tryRestart(t *testing.T, clients int, think func() time.Duration) error {
	w := newSerialTestbed(t, 4).start(usePlainBinary, func(w *testbed) {
		for _, class := range w.config["settings"].(object)["categories"].([]object) {
			class["aim"], class["deadline"] = 2400000, 2500000
		}
		w.answerAll(func(s upstreamAttempt) string {
			wait := 50*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(300*time.Millisecond))
			if strings.HasPrefix(s.URL.RawQuery, unansweredMark) {
				wait = waitTimeout // longer than any client waits
			}
			time.Sleep(wait)
			var size int
			_, _ = fmt.Sscan(path.Base(s.URL.Path), &size)
			return reply("200 OK", long(size, idOf(s)))
		})
	})
	callers := w.startCallers(clients, think)
	time.Sleep(time.Second)
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	told := time.Now()
	time.Sleep(lateConnectPeriod * 3 / 4)
	for range 4 { // they come late, and can't be answered before it ends
		callers.wait.Go(func() { callers.exchange(nil, nil, killGrace, unansweredMark) })
	}
	time.Sleep(time.Until(told.Add(lateConnectPeriod)))
	callers.mayDial.Store(false)
	kill := time.AfterFunc(time.Until(told.Add(2500*time.Millisecond+killGrace)), func() { _ = w.process.Process.Kill() })
	await(t, w.exited)
	kill.Stop()
	code := w.process.ProcessState.ExitCode()
	w.again()
	callers.mayDial.Store(true)
	time.Sleep(time.Second)
	callers.stop()
	require.Zero(t, w.stop())
	if code != 0 {
		return fmt.Errorf("it ended with %d after SIGTERM", code)
	}
	return callers.check()
}
