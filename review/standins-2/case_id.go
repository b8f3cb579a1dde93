package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["id"] = openIDAtUpgrade }

// openIDAtUpgrade has a bad client send the id of another client's open request, several times. With
// trouble, the agent is upgraded meanwhile: the open request is at the old process, the bad client comes to
// the new one.
func openIDAtUpgrade(root string, r *record, trouble bool) (broken []string) {
	w := newWorld(root, r, trouble, 3)
	defer w.close()
	const work = 350 * time.Millisecond
	for _, s := range w.servers {
		s.work = func(q *http.Request) time.Duration {
			if q.Method == http.MethodPost {
				return work
			}
			return 20 * time.Millisecond
		}
	}
	w.writeConfig(w.discovery.addr)
	old := w.startAgent("old", w.discovery.addr)
	old.waitReady(6 * time.Second)
	for i := range 20 { // some ordinary traffic
		if a := w.ask("warm-up", "lookup", w.correlationID(), 2*time.Second, fmt.Sprint("k", i)); a.status != 200 {
			cannotRun("warm-up: %+v", a)
		}
	}
	const clients = 4
	var usual []*client
	for i := range clients { // the application keeps its connections
		c, err := w.connect(fmt.Sprint("client-", i))
		if err != nil {
			cannotRun("%v", err)
		}
		if err := c.send("lookup", w.correlationID(), 2*time.Second, "a"); err != nil {
			cannotRun("%v", err)
		}
		c.receive("first", 3*time.Second)
		usual = append(usual, c)
	}
	if trouble {
		w.startAgent("new", w.discovery.addr).waitReady(6 * time.Second)
		old.signal(syscall.SIGTERM)
	}
	var ids []string
	answers := make([]answer, clients)
	done := make(chan int, clients)
	for i, c := range usual {
		id := w.correlationID()
		ids = append(ids, id)
		if err := c.send("booking", id, 950*time.Millisecond, fmt.Sprint("chair", i)); err != nil {
			cannotRun("%v", err)
		}
		go func() {
			answers[i] = c.receive(id, 3*time.Second)
			done <- i
		}()
	}
	time.Sleep(60 * time.Millisecond)
	bad := make(chan string, clients)
	for i, id := range ids {
		go func() {
			a := w.ask(fmt.Sprint("bad-client-", i), "booking", id, 950*time.Millisecond, "other")
			said := ""
			if a.status == http.StatusOK {
				said = fmt.Sprintf("the bad client was served with %q for the id %s of an open request", a.body, id)
			}
			bad <- said
		}()
	}
	for range clients {
		if said := <-bad; said != "" {
			broken = append(broken, said)
		}
	}
	for range clients {
		<-done
	}
	time.Sleep(300 * time.Millisecond)
	byID := w.arrivalsByID()
	for _, id := range ids {
		if n := len(byID[id]); n > 1 {
			broken = append(broken, fmt.Sprintf("%s, which must never run twice, ran %d times: at %s and at %s", id, n,
				byID[id][0].server, byID[id][1].server))
		}
	}
	return broken
}
