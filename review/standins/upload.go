package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	hangTime     = 8 * time.Second // the pages: 6.2 to 23 s
	uploadLeft   = time.Second     // X-Time-Left-Ms
	answerGrace  = 500 * time.Millisecond
	measureSlack = 100 * time.Millisecond // this program's own
)

const (
	uploadServers = 12
	hungServers   = 2 // the pages: up to 19 %
	uploadsEach   = 5
	warmUp        = 240
)

// playUpload has two of twelve booking servers hang for 8 s while clients send bookings with long bodies.
func playUpload(trouble bool) int {
	w := newWorld(uploadServers, serverOptions{Work: 60 * time.Millisecond}, settings(), nil)
	// Which server has which key: requests with a key go to one server as long as all are well.
	keys := map[string][]string{}
	for i := range warmUp {
		key := fmt.Sprintf("chair-%d", i)
		if i%3 == 0 {
			w.book(key)
		} else {
			w.lookUp(key)
		}
	}
	started := w.eventsOf("begun")
	for i, e := range started {
		keys[e.Server] = append(keys[e.Server], fmt.Sprintf("chair-%d", i))
	}
	byKeys := slices.SortedFunc(slices.Values(w.servers), func(a, b *booking) int {
		return len(keys[b.name]) - len(keys[a.name])
	})
	hung, well := byKeys[:hungServers], byKeys[hungServers:]
	if len(started) != warmUp || len(keys[hung[hungServers-1].name]) < uploadsEach {
		return w.finish(exitNotRun, "could not run: the warm-up has not shown which server has which keys")
	}

	stop := make(chan struct{})
	var background sync.WaitGroup
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
	for _, server := range hung {
		if !trouble {
			break
		}
		server.signal(syscall.SIGSTOP)
		w.note("%s hangs", server.name)
		time.AfterFunc(hangTime, func() {
			server.signal(syscall.SIGCONT)
			w.note("%s goes on", server.name)
		})
	}
	var mu sync.Mutex
	var judged, lost int
	var uploads sync.WaitGroup
	send := func(key string, size int) {
		uploads.Add(1)
		go func() {
			defer uploads.Done()
			isTaken, isLost := w.upload(key, size)
			mu.Lock()
			defer mu.Unlock()
			if isTaken {
				judged++
			}
			if isTaken && isLost {
				lost++
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	for i := range uploadsEach { // to the servers that hang, and as many to others
		for j, server := range hung {
			size := 4_200_000 + (hungServers*i+j)*50_000
			send(keys[server.name][i], size)
			if other := keys[well[j].name]; i < len(other) {
				send(other[i], size)
			}
		}
	}
	uploads.Wait()
	close(stop)
	background.Wait()
	if judged == 0 {
		return w.finish(exitNotRun, "could not run: no client could write its request whole")
	}
	code := exitHeld
	if lost > 0 {
		code = exitBroken
	}
	return w.finish(code,
		"%d of %d requests that the agent's machine had whole had no final answer %d ms after "+
			"their time",
		lost, judged, answerGrace.Milliseconds())
}

// upload sends a booking with a long body. It reports whether the agent's machine has acknowledged its last
// byte, and whether its final answer then came too late, or never.
func (w *world) upload(key string, size int) (isTaken, isLost bool) {
	r := request{
		id: w.nextID(), method: http.MethodPost, path: w.path(unsafeEffect, "scan"), key: key, left: uploadLeft,
		framing: fmt.Sprintf("Content-Length: %d", size),
	}
	c, err := net.Dial("tcp", w.agent.addr)
	must(err)
	defer c.Close()
	w.note("client sends %s %s %s key=%s body=%d", r.id, r.method, r.path, key, size)
	began := time.Now()
	taken := make(chan time.Time, 1)
	go func() {
		if _, err := io.WriteString(c, r.head()+strings.Repeat("x", size)); err != nil {
			return
		}
		w.note("client has written the last byte of %s after %d ms", r.id, time.Since(began).Milliseconds())
		for unacknowledged(c) > 0 {
			if time.Since(began) > hangTime/2 { // the rest waits in this machine's own buffer
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		taken <- time.Now()
		w.note("the agent's machine has the last byte of %s after %d ms", r.id, time.Since(began).Milliseconds())
	}()
	_ = c.SetReadDeadline(began.Add(hangTime + 4*time.Second))
	status, body, err := readAnswer(bufio.NewReader(c))
	at := time.Now()
	w.note("client has %s status=%d %q error=%v after %d ms", r.id, status, strings.TrimSpace(body), err,
		at.Sub(began).Milliseconds())
	select {
	case takenAt := <-taken:
		due := takenAt.Add(uploadLeft + answerGrace + measureSlack)
		isLost = err != nil || at.After(due) || status == http.StatusOK && body != answerBody(r.id)
		if isLost {
			w.note("LOST %s: taken after %d ms, answered after %d ms", r.id, takenAt.Sub(began).Milliseconds(),
				at.Sub(began).Milliseconds())
		}
		return true, isLost
	default:
		return false, false
	}
}

// unacknowledged returns how many bytes the peer's machine has not acknowledged yet.
func unacknowledged(c net.Conn) (n int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	must(err)
	_ = raw.Control(func(fd uintptr) { n = outq(fd) })
	return n
}
