package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lateClients  = 60
	latePiece    = 2000 // bytes; an answer has two pieces
	lateInterval = 200 * time.Millisecond
	// lateAnswer is how long after a request's time its answer may end, and lateMargin what the check allows
	// beyond that.
	lateAnswer = 500 * time.Millisecond
	lateMargin = 200 * time.Millisecond
)

// lateEnds counts how answers ended.
type lateEnds struct{ whole, broken, late, other atomic.Int64 }

// playLate: booking servers hang in the middle of short answers that have no Content-Length.
func playLate(w *world) {
	w.prepare(hungAmong, siteClasses)
	hangs := make([]hang, hungAmong)
	for i, s := range w.servers {
		s.setHandle(func(c *serverConn, r *http.Request, body []byte) bool {
			return giveInTwo(c, r, len(body), &hangs[i])
		})
	}
	a := w.startAgent("first")
	a.waitReady()
	var ends lateEnds
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range lateClients {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(2 * lateInterval)):
				}
				w.takeInTime(&ends)
			}
		})
	}
	time.Sleep(quietBefore)
	if w.trouble {
		for i := range hungServers {
			hangs[i].Lock()
			w.log("server %s hangs", w.servers[i].id)
		}
	}
	time.Sleep(hangFor)
	if w.trouble {
		for i := range hungServers {
			w.log("server %s goes on", w.servers[i].id)
			hangs[i].Unlock()
		}
	}
	time.Sleep(quietAfter)
	close(stop)
	clients.Wait()
	w.log("answers: %d whole in time, %d broken in time, %d late, %d other", ends.whole.Load(),
		ends.broken.Load(), ends.late.Load(), ends.other.Load())
	if ends.whole.Load() == 0 {
		w.fail("no answer came whole")
	}
}

// giveInTwo runs a request, and gives its answer in two chunks. A server that hangs does so between the two.
func giveInTwo(c *serverConn, r *http.Request, bodyBytes int, h *hang) bool {
	c.s.ran(r, bodyBytes)
	time.Sleep(c.s.work)
	piece := fmt.Sprintf("%x\r\n%s\r\n", latePiece, strings.Repeat("a", latePiece))
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+piece)
	time.Sleep(c.s.work)
	h.pass()
	if err == nil {
		_, err = io.WriteString(c, piece+"0\r\n\r\n")
	}
	return err == nil
}

// takeInTime sends a request, and checks when its answer ends: it is whole, an error, or broken off so that
// the client can tell.
func (w *world) takeInTime(ends *lateEnds) {
	id, class, body, left, length := w.nextID(), "lookup", "", 2500*time.Millisecond, -1
	if rand.IntN(2) == 0 {
		class, body, left = "booking", "a chair and a day", time.Second
		length = len(body)
	}
	c, err := w.connect()
	if err != nil {
		ends.other.Add(1)
		return
	}
	defer c.Close()
	_, _ = io.WriteString(c, w.head(id, class, "/x", left, length, "")+body)
	sent := time.Now()
	_ = c.SetReadDeadline(sent.Add(20 * time.Second))
	status, text, err := readAnswer(c)
	took := time.Since(sent)
	switch {
	case took > left+lateAnswer+lateMargin:
		ends.late.Add(1)
		w.breaks("the answer to %s, class %s, ended %.2f s after its request, which had %.1f s: %d, %d bytes, %v",
			id, class, took.Seconds(), left.Seconds(), status, len(text), err)
	case err != nil:
		ends.broken.Add(1)
	case status == http.StatusOK:
		ends.whole.Add(1)
	default:
		ends.other.Add(1)
	}
}
