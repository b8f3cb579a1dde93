package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	leavers      = 12
	leaverOrders = 60                     // requests that each of them sends at once
	leaveAfter   = 10 * time.Millisecond  // from the last byte to the close
	goneGrace    = 100 * time.Millisecond // an attempt may begin so long after the close
	leaverWork   = 180 * time.Millisecond // the site's heavier requests on its slower machines: 140 ms / 0.77
)

// playLeaving has clients send many requests at once and go.
func playLeaving(trouble bool) int {
	w := newWorld(6, serverOptions{Work: leaverWork}, settings(), nil)
	stop := make(chan struct{})
	var background, all sync.WaitGroup
	background.Add(1)
	go func() {
		defer background.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			background.Add(1)
			go func() {
				defer background.Done()
				if i%4 == 0 {
					w.book(fmt.Sprintf("other-%d", i))
				} else {
					w.lookUp(fmt.Sprintf("other-%d", i))
				}
			}()
		}
	}()
	var mu sync.Mutex
	closedAt := map[string]time.Time{} // by request
	answered := 0
	for i := range leavers {
		time.Sleep(300 * time.Millisecond)
		all.Add(1)
		go func() {
			defer all.Done()
			ids, at, n := w.orderAndLeave(i, trouble)
			mu.Lock()
			defer mu.Unlock()
			answered += n
			for _, id := range ids {
				closedAt[id] = at
			}
		}()
	}
	all.Wait()
	time.Sleep(3 * time.Second)
	close(stop)
	background.Wait()
	late, orders := 0, 0
	for _, e := range w.eventsOf("begun") {
		at, isLeaver := closedAt[e.ID]
		if !isLeaver {
			continue
		}
		orders++
		if after := time.UnixMicro(e.At).Sub(at); after > goneGrace {
			w.note("LOST %s began at %s %d ms after its client had closed its connection: %s %s", e.ID, e.Server,
				after.Milliseconds(), e.Method, e.Path)
			late++
		}
	}
	if orders == 0 {
		return w.finish(exitNotRun, "could not run: no request of these clients was forwarded")
	}
	code := exitHeld
	if late > 0 {
		code = exitBroken
	}
	return w.finish(code, "%d of %d attempts began over %d ms after their client had closed its connection; "+
		"%d requests of these clients were answered", late, orders, goneGrace.Milliseconds(), answered)
}

// orderAndLeave sends many requests at once on one connection, each second one a booking, and closes it
// at once, or when all are answered. It returns their ids, when it closed it, and how many answers it read.
func (w *world) orderAndLeave(client int, leaves bool) (ids []string, closedAt time.Time, answered int) {
	c, err := net.Dial("tcp", w.agent.addr)
	must(err)
	text := ""
	for i := range leaverOrders {
		r := request{
			id: w.nextID(), method: http.MethodGet, path: w.path(safeEffect, "slots"),
			key: fmt.Sprintf("chair-%d", client), left: 2500 * time.Millisecond,
		}
		body := ""
		if i%2 == 1 {
			r.method, r.path, r.left, r.framing, body = http.MethodPost, w.path(unsafeEffect, "chair"), time.Second,
				"Content-Length: 7", "chair=4"
		}
		ids = append(ids, r.id)
		text += r.head() + body
	}
	_, err = io.WriteString(c, text)
	must(err)
	w.note("client %d sends %d requests at once, %s to %s, %d bytes", client, len(ids), ids[0], ids[len(ids)-1],
		len(text))
	if leaves {
		time.Sleep(leaveAfter)
	} else {
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		for r := bufio.NewReader(c); answered < len(ids); answered++ {
			if _, _, err := readAnswer(r); err != nil {
				w.note("client %d: %v", client, err)
				break
			}
		}
	}
	closedAt = time.Now()
	_ = c.Close()
	w.note("client %d closes its connection after %d answers", client, answered)
	return ids, closedAt, answered
}
