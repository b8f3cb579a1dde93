package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The trouble: hungServers of hungAmong booking servers hang for hangFor.
const (
	hungAmong   = 12
	hungServers = 2
	hangFor     = 8 * time.Second
	quietBefore = 6 * time.Second
	quietAfter  = 4 * time.Second

	clientPause      = 100 * time.Millisecond
	pauseWhenRefused = time.Second
)

// longKind is a kind of long answer, which a booking server gives in pieces.
type longKind struct {
	class      string
	deadline   time.Duration
	clients    int
	pieces     int
	pieceBytes int
	pause      time.Duration // between two pieces
	chunked    bool          // has no Content-Length
	hasBody    bool          // the request is a POST with a body
}

// longKinds are a booking whose answer has 1 MiB and lasts 3.2 s, and a request of a streamed class, whose
// answer has 48 KiB and lasts 6 s.
var longKinds = []longKind{
	{
		class: "booking", deadline: time.Second, clients: 72, pieces: 64, pieceBytes: 16 << 10,
		pause: 50 * time.Millisecond, hasBody: true,
	},
	{
		class: "agenda", deadline: 2500 * time.Millisecond, clients: 48, pieces: 24, pieceBytes: 2 << 10,
		pause: 250 * time.Millisecond, chunked: true,
	},
}

func (k longKind) bytes() int { return k.pieces * k.pieceBytes }

// hang holds up what a booking server does while it is locked.
type hang struct {
	sync.RWMutex
	giving atomic.Int64 // answers that have begun and are not given whole
}

// pass waits until the booking server does not hang.
func (h *hang) pass() {
	h.RLock()
	defer h.RUnlock()
}

// playHung: booking servers hang for some seconds in the middle of long answers, and then give the rest.
func playHung(w *world) {
	w.prepare(hungAmong, append([]class{{"agenda", "retryable", "all", 500, 2500, 5000, 1}}, siteClasses...))
	for _, category := range w.config["settings"].(object)["categories"].([]object) {
		category["stream"] = category["name"] == "agenda"
	}
	hangs := make([]hang, hungAmong)
	for i, s := range w.servers {
		s.setHandle(func(c *serverConn, r *http.Request, body []byte) bool {
			hangs[i].pass()
			return giveInPieces(c, r, len(body), &hangs[i])
		})
	}
	a := w.startAgent("first")
	a.waitReady()

	stop := make(chan struct{})
	var clients sync.WaitGroup
	ends := make([]longEnds, len(longKinds))
	for i, k := range longKinds {
		for n := range k.clients {
			clients.Go(func() {
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				for pause := clientPause; ; {
					select {
					case <-stop:
						return
					case <-time.After(pause):
					}
					pause = clientPause
					if !w.takeLong(k, &ends[i]) {
						pause = pauseWhenRefused
					}
				}
			})
		}
	}
	time.Sleep(quietBefore)
	var hung []int
	if w.trouble {
		hung = busiest(hangs)[:hungServers]
		for _, i := range hung {
			hangs[i].Lock()
			w.log("server %s hangs, with %d answers begun", w.servers[i].id, hangs[i].giving.Load())
		}
	}
	time.Sleep(hangFor)
	for _, i := range hung {
		w.log("server %s goes on", w.servers[i].id)
		hangs[i].Unlock()
	}
	time.Sleep(quietAfter)
	close(stop)
	clients.Wait()
	for i, k := range longKinds {
		w.log("answers to %s: %d whole, %d cut off, %d other", k.class, ends[i].whole.Load(), ends[i].cut.Load(),
			ends[i].other.Load())
		if ends[i].whole.Load() == 0 {
			w.fail("no answer to %s came whole", k.class)
		}
	}
}

// busiest returns the booking servers' numbers, those first that are giving most answers.
func busiest(hangs []hang) []int {
	numbers := make([]int, len(hangs))
	for i := range numbers {
		numbers[i] = i
	}
	slices.SortFunc(numbers, func(a, b int) int {
		return cmp.Compare(hangs[b].giving.Load(), hangs[a].giving.Load())
	})
	return numbers
}

// giveInPieces runs a request, and gives its long answer in pieces.
func giveInPieces(c *serverConn, r *http.Request, bodyBytes int, h *hang) bool {
	c.s.ran(r, bodyBytes)
	id, k := r.Header.Get("X-Correlation-Id"), longKinds[0]
	if strings.HasPrefix(r.URL.Path, "/agenda") {
		k = longKinds[1]
	}
	time.Sleep(c.s.work)
	framing := fmt.Sprintf("Content-Length: %d\r\n", k.bytes())
	if k.chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	head := "HTTP/1.1 200 OK\r\n" + framing + "\r\n"
	piece := strings.Repeat("a", k.pieceBytes)
	if k.chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", k.pieceBytes, piece)
	}
	began := time.Now()
	h.giving.Add(1)
	defer h.giving.Add(-1)
	for n := range k.pieces {
		h.pass()
		if _, err := io.WriteString(c, head+piece); err != nil {
			c.s.w.log("server %s gives %s from piece %d on, %.2f s after its beginning: %v", c.s.id, id, n,
				time.Since(began).Seconds(), err)
			return false
		}
		head = ""
		time.Sleep(k.pause)
	}
	if k.chunked {
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	c.s.w.log("server %s gave %s whole", c.s.id, id)
	return true
}

// longEnds counts how long answers ended.
type longEnds struct{ whole, cut, other atomic.Int64 }

// takeLong sends a request for a long answer, and reads that to its end. It returns whether the answer began.
func (w *world) takeLong(k longKind, ends *longEnds) (began bool) {
	id := w.nextID()
	c, err := net.DialTimeout("tcp", w.listen, time.Second)
	if err != nil {
		ends.other.Add(1)
		w.log("client: no connection for %s: %v", id, err)
		return false
	}
	defer c.Close()
	length, body := -1, ""
	if k.hasBody {
		body = "a chair and a day"
		length = len(body)
	}
	sent := time.Now()
	if _, err = io.WriteString(c, w.head(id, k.class, "/x", k.deadline, length, "")+body); err != nil {
		w.log("client %s: writing ended: %v", id, err)
	}
	_ = c.SetReadDeadline(time.Now().Add(40 * time.Second))
	status, text, err := readAnswer(c)
	took := time.Since(sent).Seconds()
	switch {
	case status == http.StatusOK && err == nil && len(text) == k.bytes():
		ends.whole.Add(1)
		w.log("client: %s answered whole after %.2f s", id, took)
	case status == http.StatusOK:
		ends.cut.Add(1)
		w.breaks("the answer to %s, class %s, was cut off %.2f s after it was sent, with %d of %d bytes: %v", id,
			k.class, took, len(text), k.bytes(), err)
	default:
		ends.other.Add(1)
		w.log("client: %s, class %s: %d %s %v after %.2f s", id, k.class, status, short(text), err, took)
	}
	return status == http.StatusOK
}
