package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The times of a planned restart. The pages have SIGKILL no sooner than the longest deadline and 0.7 s after
// SIGTERM; here it comes later.
const (
	longestDeadline  = 2500 * time.Millisecond
	earliestKill     = longestDeadline + 700*time.Millisecond
	killAfter        = 10 * time.Second
	servesBeforeTerm = 7 * time.Second
)

// pacedKind is a kind of long answers, which a booking server gives in pieces, at a steady pace.
type pacedKind struct {
	name      string
	perSecond int // requests
	pieces    int
}

const (
	pacedPiece = 4 << 10
	pacedPause = 50 * time.Millisecond
)

// pacedKinds are answers that last 3.1 s, with the booking server's work, and 6 s. An answer of the first
// kind whose request comes before SIGTERM is whole before the earliest SIGKILL.
var pacedKinds = []pacedKind{{"short", 30, 62}, {"long", 10, 120}}

// giveAtPace runs a booking, and gives its long answer in pieces. The time of the last piece is set, so that
// small delays don't add up.
func giveAtPace(c *serverConn, r *http.Request, body []byte) bool {
	c.s.ran(r, len(body))
	id, began := r.Header.Get("X-Correlation-Id"), time.Now()
	time.Sleep(c.s.work)
	for _, k := range pacedKinds {
		if !strings.HasSuffix(r.URL.Path, "/"+k.name) {
			continue
		}
		piece := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", k.pieces*pacedPiece)
		for n := 1; n <= k.pieces; n++ {
			piece += strings.Repeat("a", pacedPiece)
			if _, err := io.WriteString(c, piece); err != nil {
				c.s.w.log("server %s gives %s, from piece %d of %d on, %.2f s after its beginning: %v", c.s.id, id, n,
					k.pieces, time.Since(began).Seconds(), err)
				return false
			}
			piece = ""
			time.Sleep(time.Until(began.Add(time.Duration(n) * pacedPause)))
		}
		c.s.w.log("server %s gave %s whole", c.s.id, id)
		return true
	}
	return false
}

// pacedEnd is how an answer ended.
type pacedEnd struct {
	id      string
	status  int
	bytes   int
	err     error
	sentAt  time.Time
	endedAt time.Time
}

// playEnded: a planned restart while long answers are on their way. No request is sent from SIGTERM on.
func playEnded(w *world) {
	w.prepare(12, siteClasses)
	for _, s := range w.servers {
		s.setHandle(giveAtPace)
	}
	a := w.startAgent("first")
	a.waitReady()

	var mu sync.Mutex
	var clients sync.WaitGroup
	ends := make([][]pacedEnd, len(pacedKinds))
	stop := make(chan struct{})
	for i, k := range pacedKinds {
		clients.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(k.perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				clients.Go(func() {
					end := w.takePaced(k)
					mu.Lock()
					defer mu.Unlock()
					ends[i] = append(ends[i], end)
				})
			}
		})
	}
	time.Sleep(servesBeforeTerm)
	close(stop)
	time.Sleep(30 * time.Millisecond) // what was sent has come
	terminatedAt := time.Now()
	var endedAt time.Time
	if w.trouble {
		a.signal(syscall.SIGTERM)
		select {
		case <-a.ended:
			endedAt = time.Now()
			w.log("the agent ended by itself, %.3f s after SIGTERM", endedAt.Sub(terminatedAt).Seconds())
		case <-time.After(killAfter):
			w.log("SIGKILL, %.3f s after SIGTERM", time.Since(terminatedAt).Seconds())
			_ = a.cmd.Process.Kill()
		}
	}
	clients.Wait()
	for i, k := range pacedKinds {
		w.judgePaced(k, ends[i], terminatedAt, !endedAt.IsZero())
	}
}

// takePaced sends a booking on a connection of its own, and reads its answer to its end.
func (w *world) takePaced(k pacedKind) pacedEnd {
	end := pacedEnd{id: w.nextID()}
	c, err := w.connect()
	if err != nil {
		end.err = err
		return end
	}
	defer c.Close()
	body := "a chair and a day"
	end.sentAt = time.Now()
	request := w.head(end.id, "booking", "/"+k.name, time.Second, len(body), "") + body
	if _, end.err = io.WriteString(c, request); end.err != nil {
		return end
	}
	_ = c.SetReadDeadline(time.Now().Add(40 * time.Second))
	var text string
	end.status, text, end.err = readAnswer(c)
	end.bytes, end.endedAt = len(text), time.Now()
	return end
}

// judgePaced checks the answers of a kind. An answer is lost if it began, and the agent ended by itself with
// a part of it not passed on. What SIGKILL finds is not lost: all requests came before SIGTERM.
func (w *world) judgePaced(k pacedKind, ends []pacedEnd, terminatedAt time.Time, hasEndedItself bool) {
	whole, beforeKill := 0, 0
	for _, e := range ends {
		took := time.Duration(k.pieces) * pacedPause
		wouldEnd := e.sentAt.Add(took).Sub(terminatedAt)
		switch {
		case e.status == http.StatusOK && e.err == nil && e.bytes == k.pieces*pacedPiece:
			whole++
		case e.status == http.StatusOK && hasEndedItself:
			if wouldEnd < earliestKill {
				beforeKill++
			}
			w.breaks("the answer to %s, sent %.3f s before SIGTERM, was cut off %.3f s after SIGTERM, with %d of %d "+
				"bytes; the booking server would have given it whole %.3f s after SIGTERM", e.id,
				terminatedAt.Sub(e.sentAt).Seconds(), e.endedAt.Sub(terminatedAt).Seconds(), e.bytes,
				k.pieces*pacedPiece, wouldEnd.Seconds())
		default:
			w.log("client: %s: %d, %d bytes, %v", e.id, e.status, e.bytes, e.err)
		}
	}
	w.log("answers that last %.1f s: %d, of which %d whole; cut off that would have been whole before the "+
		"earliest SIGKILL: %d", (time.Duration(k.pieces) * pacedPause).Seconds(), len(ends), whole, beforeKill)
	if whole == 0 {
		w.fail("no answer came whole")
	}
}
