package main

import (
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	otherProcesses = 8                      // busy processes on the agent's core, as other agents may share it
	cutClients     = 100                    // a third of the agent's descriptors is 341
	cutPause       = 333 * time.Millisecond // between two sends of a client: 300 a second by all
	cutFor         = 45 * time.Second
	cutTime        = time.Second // of each request
	cutBody        = 70 << 10
	cutAnswer      = 400 << 10

	// The work of a booking whose key a booking server has met lately, in the site file's ranges: 61 ms in the
	// mean, two thirds less for such a key, at the faster machines' 2.1, with a spread of 0.72 of the mean.
	meanWork   = 61 * (1 - 0.66) / 2.1 * float64(time.Millisecond)
	workSpread = 0.72
)

// drawWork draws the work of one booking from a lognormal distribution.
func drawWork() time.Duration {
	variance := math.Log(1 + workSpread*workSpread)
	return time.Duration(meanWork * math.Exp(math.Sqrt(variance)*rand.NormFloat64()-variance/2))
}

// playCut: the agent's core is shared with other processes, under bookings with long bodies and long answers.
func playCut(w *world) {
	w.prepare(3, siteClasses)
	answer := strings.Repeat("a", cutAnswer)
	var answered atomic.Int64
	for _, s := range w.servers {
		s.setHandle(func(c *serverConn, r *http.Request, body []byte) bool {
			id := r.Header.Get("X-Correlation-Id")
			time.Sleep(drawWork())
			err := c.answer(http.StatusOK, "X-Ran: "+id+"\r\n", answer)
			if err != nil {
				w.log("server %s ran %s, body of %d bytes; its answer was broken off: %v", s.id, id, len(body), err)
				return false
			}
			answered.Add(1)
			return true
		})
	}
	core := lastCore(w)
	var a *agent
	onCore(w, core, func() { a = w.startAgent("first") })
	a.waitReady()
	if w.trouble {
		onCore(w, core, func() {
			for range otherProcesses {
				busy := exec.Command("/bin/sh", "-c", "while :; do :; done")
				w.check(busy.Start(), "busy process")
				w.others = append(w.others, busy)
			}
		})
		w.log("%d busy processes share core %d with the agent", otherProcesses, core)
	}
	var served, cut, other atomic.Int64
	var clients sync.WaitGroup
	body := strings.Repeat("b", cutBody)
	for range cutClients {
		clients.Go(func() {
			time.Sleep(rand.N(cutPause))
			for end := time.Now().Add(cutFor); time.Now().Before(end); {
				next := time.After(cutPause)
				id := w.nextID()
				status, text, err := w.bookLong(id, body)
				switch {
				case status == http.StatusOK && err == nil:
					served.Add(1)
				case status == http.StatusOK:
					cut.Add(1)
					w.breaks("the answer to %s was cut off after %d of %d bytes: %v", id, len(text), cutAnswer, err)
				default:
					other.Add(1)
					w.log("client %s: %d %s %v", id, status, short(text), err)
				}
				<-next
			}
		})
	}
	clients.Wait()
	w.log("answers: %d whole, %d cut off, %d other; written whole by booking servers: %d", served.Load(),
		cut.Load(), other.Load(), answered.Load())
}

// bookLong sends a long booking on a new connection, and reads its answer to the end.
func (w *world) bookLong(id, body string) (status int, text string, err error) {
	c, err := net.DialTimeout("tcp", w.listen, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	if _, err = io.WriteString(c, w.head(id, "booking", "/x", cutTime, len(body), "")+body); err != nil {
		w.log("client %s: writing ended: %v", id, err)
	}
	_ = c.SetReadDeadline(time.Now().Add(cutTime + 10*time.Second))
	return readAnswer(c)
}

// coreSet is a set of cores, as the system has it.
type coreSet [16]uint64

// lastCore returns the last core on which this process may run.
func lastCore(w *world) (core int) {
	var set coreSet
	_, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(set),
		uintptr(unsafe.Pointer(&set)))
	if errno != 0 {
		w.fail("cores: %v", errno)
	}
	for i := range 64 * len(set) {
		if set[i/64]&(1<<(i%64)) != 0 {
			core = i
		}
	}
	return core
}

// onCore has the processes that start starts run on one core.
func onCore(w *world, core int, start func()) {
	runtime.LockOSThread() // what it starts inherits this thread's cores
	defer runtime.UnlockOSThread()
	var before, one coreSet
	one[core/64] |= 1 << (core % 64)
	for _, call := range []struct {
		number uintptr
		set    *coreSet
	}{{syscall.SYS_SCHED_GETAFFINITY, &before}, {syscall.SYS_SCHED_SETAFFINITY, &one}} {
		_, _, errno := syscall.RawSyscall(call.number, 0, unsafe.Sizeof(*call.set),
			uintptr(unsafe.Pointer(call.set)))
		if errno != 0 {
			w.fail("cores: %v", errno)
		}
	}
	start()
	_, _, _ = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(before),
		uintptr(unsafe.Pointer(&before)))
}
