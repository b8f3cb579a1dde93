package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// drainGrace is the settings' stopSendingWithin, and boundAfterYes is from when on what discovery tells
// binds after an upgrade's yes. socketSlack is by how much the protocol page makes each limit longer.
const (
	drainGrace    = 3 * time.Second
	boundAfterYes = 2 * time.Second
	socketSlack   = 50 * time.Millisecond
)

// playCrowded: discovery tells the running process of an upgrade that a booking server drains, while
// calls of the new process fail because discovery has too many callers.
func playCrowded(w *world) {
	w.prepare(4, siteClasses)
	var mu sync.Mutex
	var bindsAt time.Time
	drained := w.servers[0]
	for _, s := range w.servers {
		s.setHandle(func(c *serverConn, r *http.Request, body []byte) bool {
			now := time.Now()
			mu.Lock()
			if c.s == drained && !bindsAt.IsZero() && now.Sub(bindsAt) > drainGrace+socketSlack {
				late := now.Sub(bindsAt)
				mu.Unlock()
				w.breaks("%s was sent to %s %v after its drain counted as told", r.Header.Get("X-Correlation-Id"), c.s.id,
					late.Round(time.Millisecond))
				mu.Lock()
			}
			mu.Unlock()
			return serve(c, r, body)
		})
	}
	first := w.startAgent("first")
	first.waitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := w.nextID()
				status, _, err := w.ask(id, "lookup", 2*time.Second, "", false)
				if status != 200 {
					w.log("client %s: %d %v", id, status, err)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	w.discovery.setCrowded(w.trouble)
	second := w.startAgent("second")
	second.waitReady()
	yes := time.Now()
	w.discovery.set(drained, "leaving", 0)
	told := time.Now()
	mu.Lock()
	bindsAt = told
	if bound := yes.Add(boundAfterYes); bound.After(bindsAt) {
		bindsAt = bound
	}
	mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	first.signal(syscall.SIGTERM)
	time.Sleep(time.Until(yes.Add(8 * time.Second)))
	w.discovery.setCrowded(false)
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
}
