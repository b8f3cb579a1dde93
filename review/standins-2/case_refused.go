package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["refused"] = refusedAfterRun }

// refusedAfterRun sends bookings of a class whose repeats are known within one zone only, with bodies of over
// 64 KiB. With trouble, the connection of one booking in six is reset under it, once that has begun.
func refusedAfterRun(root string, r *record, trouble bool) (broken []string) {
	w := newWorld(root, r, trouble, 4)
	defer w.close()
	w.settings["areas"] = []string{"a", "b"}
	for i, s := range w.servers {
		s.zone, s.cell = []string{"a", "b"}[i/2], i/2
		w.discovery.list.set(s.entry("active"))
	}
	for _, c := range w.settings["categories"].([]object) {
		if c["name"] == "booking" {
			c["effect"], c["keyScope"] = "dedup", "zone"
		}
	}
	seen, resets := newSet(), newSet()
	for _, s := range w.servers {
		s.answer = func(c net.Conn, q *http.Request, _ []byte) bool {
			id := q.Header.Get("X-Correlation-Id")
			first := seen.add(id)
			time.Sleep(30 * time.Millisecond)
			if trouble && q.Method == http.MethodPost && first && resets.has(id) {
				r.logf("%s: resets the connection after it has run %s", s.id, id)
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			}
			text := bodyOf(s.id, id)
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			return err == nil
		}
	}
	w.writeConfig(w.discovery.addr)
	w.startAgent("agent", w.discovery.addr).waitReady(6 * time.Second)
	for i := range 20 {
		if a := w.ask("warm-up", "lookup", w.correlationID(), 2*time.Second, fmt.Sprint("k", i)); a.status != 200 {
			cannotRun("warm-up: %+v", a)
		}
	}
	statuses := map[int]int{}
	for i := range 42 {
		id := w.correlationID()
		if i%6 == 3 {
			resets.add(id)
		}
		c, err := w.connect(fmt.Sprint("client-", i))
		if err != nil {
			cannotRun("%v", err)
		}
		body := strings.Repeat("x-ray ", 32<<10) // 192 KiB
		r.logf("client-%d: sends booking %s, %d bytes", i, id, len(body))
		text := requestText("booking", id, 900*time.Millisecond, fmt.Sprint("chair", i), body)
		text = strings.Replace(text, "\r\n\r\n", "\r\nIdempotency-Key: \""+id+"\"\r\n\r\n", 1)
		if _, err := io.WriteString(c.conn, text); err != nil {
			r.logf("client-%d: %v", i, err)
		}
		a := c.receive(id, 3*time.Second)
		_ = c.conn.Close()
		statuses[a.status]++
		ran := w.arrivalsByID()[id]
		if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && len(ran) > 0 {
			broken = append(broken, fmt.Sprintf("%s was refused with %d after %s had run it", id, a.status,
				ran[0].server))
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.logf("answers by status: %v", statuses)
	return broken
}
