package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	banLength = 3 * time.Second  // how long all booking servers are out by hand
	watchFor  = 20 * time.Second // how long the agent is watched after they are back
	// The page's bounds for an agent that rejects all that it gets: 15 requests or more, for 4 s on end.
	rejectsAtLeast = 15
	rejectsFor     = 4 * time.Second
)

// playStuck: operators take all booking servers out and put them back, under an application that books
// only.
func playStuck(w *world) {
	w.prepare(4, siteClasses)
	var attempts atomic.Int64
	for _, s := range w.servers {
		s.setHandle(func(c *serverConn, r *http.Request, body []byte) bool {
			attempts.Add(1)
			return serve(c, r, body)
		})
	}
	a := w.startAgent("first")
	a.waitReady()
	send := func(phase string, during time.Duration) (refused int) {
		served, failed := 0, 0
		before := attempts.Load()
		for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			id := w.nextID()
			status, text, err := w.ask(id, "booking", time.Second, "chair", true)
			w.log("client %s: %d %s %v", id, status, short(text), err)
			switch status {
			case 200:
				served++
			case 503, 429:
				refused++
			default:
				failed++
			}
		}
		w.log("%s: served %d, refused %d, failed %d, attempts %d", phase, served, refused, failed,
			attempts.Load()-before)
		return refused
	}
	byHand := func(call string) {
		for _, s := range w.servers {
			status, text := a.call("POST", "/ops/booking-servers/"+call, s.id)
			w.log("%s %s: %d %s", call, s.id, status, short(text))
			if status/100 != 2 {
				w.fail("%s %s was answered %d", call, s.id, status)
			}
		}
	}
	send("before", 3*time.Second)
	if w.trouble {
		byHand("down")
	}
	send("while all are out", banLength)
	if w.trouble {
		byHand("up")
	}
	send("first second after", time.Second)
	attempts.Store(0)
	began := time.Now()
	refused := send("after", watchFor)
	if n := attempts.Load(); n == 0 && refused >= rejectsAtLeast && time.Since(began) >= rejectsFor {
		w.breaks("all booking servers are back, and in %v %d requests were refused, with no attempt", watchFor,
			refused)
	}
}
