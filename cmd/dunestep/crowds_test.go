package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdClient is one client of a crowd: it uses a connection until the agent ends it, or stop is closed.
type crowdClient func(w *testbed, c net.Conn, stop <-chan struct{})

// pause waits, and reports whether the crowd goes on.
func pause(duration time.Duration, stop <-chan struct{}) bool {
	select {
	case <-time.After(duration):
		return true
	case <-stop:
		return false
	}
}

// writeSlowly writes a text in pieces with pauses.
func writeSlowly(c net.Conn, text string, piece int, interval time.Duration, stop <-chan struct{}) bool {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil || !pause(interval, stop) {
			return false
		}
		text = text[n:]
	}
	return true
}

// awaitClose reads until the agent closes the connection, or stop is closed.
func awaitClose(c net.Conn, stop <-chan struct{}) {
	go func() { <-stop; _ = c.Close() }()
	_, _ = io.Copy(io.Discard, c)
}

// uploadHead returns the header of a request with a body.
func (w *testbed) uploadHead(class string, size int, more string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Account: acme\r\nX-Time-Left-Ms: 2500\r\n%sContent-Length: %d\r\n\r\n",
		class, w.nextID(), more, size)
}

// crowdOfWriters is the kind of clients that write long requests slowly, but all the time.
const crowdOfWriters = "writers of 400 kB"

// The kinds of clients of which crowds are made.
var crowdKinds = map[string]crowdClient{
	"heads written slowly": func(w *testbed, c net.Conn, stop <-chan struct{}) {
		more := strings.Repeat("X-Detail: "+strings.Repeat("d", 80)+"\r\n", 60)
		if writeSlowly(c, w.uploadHead("consult", 10, more), 100, 40*time.Millisecond, stop) {
			awaitClose(c, stop)
		}
	},
	"halves of 400 kB": func(w *testbed, c net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(c, w.uploadHead("rezervare", 400_000, "")+strings.Repeat("x", 200_000))
		awaitClose(c, stop)
	},
	"halves of 60 kB": func(w *testbed, c net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(c, w.uploadHead("rezervare", 60_000, "")+strings.Repeat("x", 30_000))
		awaitClose(c, stop)
	},
	"long heads": func(w *testbed, c net.Conn, stop <-chan struct{}) {
		more := strings.Repeat("X-Detail: "+strings.Repeat("d", 138)+"\r\n", 90)
		_, _ = io.WriteString(c, w.uploadHead("consult", 10, more)+"12345")
		awaitClose(c, stop)
	},
	"heads of many short lines": func(w *testbed, c net.Conn, stop <-chan struct{}) {
		var more strings.Builder
		for i := range 92 {
			fmt.Fprintf(&more, "%d:\r\n", i)
		}
		_, _ = io.WriteString(c, w.uploadHead("consult", 10, more.String())+"12345")
		awaitClose(c, stop)
	},
	"readers of 1 MB at 10 kB a second": func(w *testbed, c net.Conn, stop <-chan struct{}) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(c, w.uploadHead("long", 0, ""))
		buffer := make([]byte, 1000)
		for pause(100*time.Millisecond, stop) {
			if _, err := c.Read(buffer); err != nil {
				return
			}
		}
	},
	crowdOfWriters: func(w *testbed, c net.Conn, stop <-chan struct{}) {
		if writeSlowly(c, w.uploadHead("rezervare", 400_000, "")+strings.Repeat("x", 400_000), 4000, 50*time.Millisecond, stop) {
			awaitClose(c, stop)
		}
	},
}

// startCrowd keeps a number of clients of a kind connected. Whoever is closed comes again.
func (w *testbed) startCrowd(kind crowdClient, clients int) (end func()) {
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	for range clients {
		crowd.Go(func() {
			for pause(20*time.Millisecond, stop) {
				c, err := net.DialTimeout("tcp", w.addr, time.Second)
				if err != nil {
					continue
				}
				done := make(chan struct{})
				go func() {
					select {
					case <-stop:
					case <-done:
					}
					_ = c.Close()
				}()
				kind(w, c, stop)
				close(done)
			}
		})
	}
	return sync.OnceFunc(func() { close(stop); crowd.Wait() })
}

const (
	leastMemoryMB     = 32 // the least memory that the operators' pages name
	crowdClients      = 500
	longAnswerBytes   = 1_000_000
	crowdTime         = 4 * time.Second
	usualCrowdClients = 20
)

// withLongAnswers adds a class of long answers, and makes endpoints answer other requests shortly.
func withLongAnswers(w *testbed) {
	long := class{"long", retryable, 500 * time.Millisecond, 2500 * time.Millisecond, 1, 0}
	w.deployment.classes = append(append([]class(nil), w.deployment.classes...), long)
	w.config["settings"] = w.deployment.settings()
	body := strings.Repeat("x", longAnswerBytes)
	w.answerAll(func(a upstreamAttempt) string {
		if strings.HasPrefix(a.URL.Path, "/long/") {
			return reply("200 OK", body)
		}
		return ok(a)
	})
	for _, s := range w.servers {
		s.keepsNoBody = true
	}
}

// Guards against a process that passes its memory limit while a crowd holds its connections: of the least memory that is
// named, and 1,024 descriptors. Other clients get their answers meanwhile.
func TestCrowdStaysWithinMemory(t *testing.T) {
	for name := range crowdKinds {
		t.Run(name, func(t *testing.T) {
			load := playCrowd(t, name)
			if name != crowdOfWriters { // that has a test of its own
				load.checkHalfServed(t)
			}
		})
	}
	t.Run("all at once", func(t *testing.T) {
		var names []string
		for name := range crowdKinds {
			names = append(names, name)
		}
		playCrowd(t, names...).checkHalfServed(t)
	})
}

// playCrowd starts a crowd of clients of some kinds, crowdClients in all.
func playCrowd(t *testing.T, kinds ...string) *usualLoad {
	w := newSerialTestbed(t, 6)
	w.start(usePlainBinary, withLongAnswers, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = leastMemoryMB
	})
	for _, kind := range kinds {
		end := w.startCrowd(crowdKinds[kind], crowdClients/len(kinds))
		defer end()
	}
	load := w.playUsualLoad(usualCrowdClients, 50*time.Millisecond, crowdTime, 2500*time.Millisecond)
	peak, _ := w.memoryKiB()
	t.Logf("%v: %d kB (private %d, file %d), usual %d %v slowest %v after its time", kinds, peak, w.processStatusKB("RssAnon"),
		w.processStatusKB("RssFile"), load.all, load.status, load.slowest)
	if peak > leastMemoryMB<<10 {
		t.Errorf("%d kB, %d allowed", peak, leastMemoryMB<<10)
	}
	if len(load.late) > 0 {
		t.Errorf("%d of %d requests were lost: %s", len(load.late), load.all, load.late[0])
	}
	return load
}

// checkHalfServed fails the test if of the usual requests fewer than half were served.
func (l *usualLoad) checkHalfServed(t *testing.T) {
	if 2*l.status[http.StatusOK] < l.all {
		t.Errorf("of %d requests %d were served", l.all, l.status[http.StatusOK])
	}
}

// Guards against requests of usual clients that are refused since their connections wait behind those of a crowd.
func TestUsualRequestsAreServedBesideCrowdOfWriters(t *testing.T) {
	playCrowd(t, crowdOfWriters).checkHalfServed(t)
}
