package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pipeline"] = drainWithPipelines }

// pipeliner is a client that keeps its connection, and some requests on their way on it.
type pipeliner struct {
	*client
	mu       sync.Mutex
	lastSent time.Time // of the latest request that was answered, or is on its way
	served   int
	closed   bool // by the agent, or after it said that it would
}

// state returns whether the connection is held, when its latest request was sent, and how many were answered.
func (p *pipeliner) state() (held bool, lastSent time.Time, served int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed, p.lastSent, p.served
}

// play keeps depth requests on their way until the agent ends the connection, or stop is closed.
func (p *pipeliner) play(depth int, stop <-chan struct{}) {
	var ids []string
	send := func() bool {
		id := p.w.correlationID()
		if p.send("lookup", id, 2*time.Second, "k"+id[14:]) != nil {
			return false
		}
		ids = append(ids, id)
		p.mu.Lock()
		p.lastSent = time.Now()
		p.mu.Unlock()
		return true
	}
	defer func() {
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		_ = p.conn.Close()
	}()
	for {
		select {
		case <-stop:
			return
		default:
		}
		for len(ids) < depth {
			if !send() {
				return
			}
		}
		a := p.receive(ids[0], 5*time.Second)
		if a.status == 0 {
			return
		}
		ids = ids[1:]
		p.mu.Lock()
		p.served++
		p.mu.Unlock()
		if a.close { // a client sends nothing more on such a connection
			return
		}
		if depth == 1 {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// drainWithPipelines sends clients away by hand. With trouble they send requests without waiting for the
// answers; without it one at a time.
func drainWithPipelines(root string, r *record, trouble bool) (broken []string) {
	w := newWorld(root, r, trouble, 6)
	defer w.close()
	for _, s := range w.servers {
		s.work = func(*http.Request) time.Duration { return 100 * time.Millisecond }
	}
	w.writeConfig(w.discovery.addr)
	a := w.startAgent("agent", w.discovery.addr)
	a.waitReady(6 * time.Second)
	depth := 1
	if trouble {
		depth = 4
	}
	stop, done := make(chan struct{}), sync.WaitGroup{}
	var clients []*pipeliner
	for i := range 8 {
		c, err := w.connect(fmt.Sprint("client-", i))
		if err != nil {
			cannotRun("%v", err)
		}
		p := &pipeliner{client: c}
		clients = append(clients, p)
		done.Go(func() { p.play(depth, stop) })
	}
	time.Sleep(2 * time.Second)
	for _, p := range clients {
		if held, _, served := p.state(); !held || served == 0 {
			cannotRun("%s was not served before the drain", p.name)
		}
	}
	status := a.opsCall(http.MethodPost, "/ops/drain/start", "")
	if status != http.StatusOK {
		cannotRun("the drain is answered %d", status)
	}
	called := time.Now()
	r.logf("staff: the clients are sent away")
	time.Sleep(4*time.Second + 50*time.Millisecond)
	for _, p := range clients {
		if held, last, served := p.state(); held && last.After(called.Add(2*time.Second)) {
			broken = append(broken, fmt.Sprintf("%s is held %.2f s after the call, %d served, last request %.2f s old",
				p.name, time.Since(called).Seconds(), served, time.Since(last).Seconds()))
		}
	}
	if c := w.health(); c == http.StatusOK {
		broken = append(broken, "the agent still says yes to clients")
	}
	close(stop)
	done.Wait()
	return broken
}

// health asks the agent as the front does, on a new connection.
func (w *world) health() int {
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + w.listen + "/health/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
