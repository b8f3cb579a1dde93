package live

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

// Load is the measured result of a load.
type Load struct {
	Requests int
	Errors   int // requests without an answer of status 200
	Elapsed  time.Duration
	Latency  *hdrhistogram.Histogram // in microseconds, from the due time of each request
	Lateness *hdrhistogram.Histogram // of the sender against its schedule, in microseconds; empty for saturate
}

// PerSecond returns the successful requests per second.
func (l *Load) PerSecond() float64 { return float64(l.Requests-l.Errors) / l.Elapsed.Seconds() }

// add merges a further measurement.
func (l *Load) add(m *Load) {
	l.Requests += m.Requests
	l.Errors += m.Errors
	l.Elapsed += m.Elapsed
	l.Latency.Merge(m.Latency)
	l.Lateness.Merge(m.Lateness)
}

func newLoad() *Load {
	return &Load{Latency: hdrhistogram.New(1, 60e6, 3), Lateness: hdrhistogram.New(1, 60e6, 3)}
}

// Schedule draws the due times of a load's requests: a Poisson process of perS requests per second over
// length.
func Schedule(seed uint64, perS float64, length time.Duration) (due []time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / perS * float64(time.Second))
		if at >= length {
			return due
		}
		due = append(due, at)
	}
}

// loader sends requests over persistent connections to one address, one request at a time on each.
type loader struct {
	conns   []*loadConn
	request func(n int) []byte

	mu         sync.Mutex
	began      time.Time
	idle       []*loadConn
	queue      []time.Duration // due times of requests that wait for a connection
	lastNumber int
	load       *Load
	inFlight   int
	allSent    bool
	drained    chan struct{}
}

type loadConn struct {
	net.Conn
	buf []byte
	due time.Duration // due time of the request in flight
}

const responseTimeout = 10 * time.Second

// newLoader opens connections. request returns the nth request.
func newLoader(addr string, conns int, request func(n int) []byte) (*loader, error) {
	l := &loader{request: request}
	for range conns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			l.close()
			return nil, err
		}
		l.conns = append(l.conns, &loadConn{Conn: c, buf: make([]byte, 0, 8<<10)})
	}
	return l, nil
}

func (l *loader) close() {
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// saturate sends on each connection, for length, a new request as soon as the last one is answered.
func (l *loader) saturate(length time.Duration) (*Load, error) {
	load := newLoad()
	start := time.Now()
	var errs error
	var wait sync.WaitGroup
	for _, c := range l.conns {
		wait.Go(func() {
			for time.Since(start) < length {
				sentAt := time.Now()
				l.mu.Lock()
				l.lastNumber++
				n := l.lastNumber
				l.mu.Unlock()
				ok, err := c.exchange(l.request(n))
				latency := time.Since(sentAt)
				l.mu.Lock()
				load.record(latency, ok)
				errs = errors.Join(errs, err)
				l.mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wait.Wait()
	load.Elapsed = time.Since(start)
	return load, errs
}

func (l *Load) record(latency time.Duration, ok bool) {
	l.Requests++
	if !ok {
		l.Errors++
	}
	_ = l.Latency.RecordValue(min(max(latency.Microseconds(), 1), 60e6))
}

// exchange writes a request and reads the response; ok reports whether its status is 200.
func (c *loadConn) exchange(request []byte) (ok bool, err error) {
	if _, err := c.Write(request); err != nil {
		return false, err
	}
	return c.readResponse()
}

var (
	okStatusLine      = []byte("HTTP/1.1 200")
	contentLengthName = []byte("\r\nContent-Length: ")
	headerEnd         = []byte("\r\n\r\n")
)

// readResponse reads a response, which must have a Content-Length; ok reports whether its status is 200.
func (c *loadConn) readResponse() (ok bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(responseTimeout))
	c.buf = c.buf[:0]
	total := -1
	for total < 0 || len(c.buf) < total {
		if len(c.buf) == cap(c.buf) {
			return false, io.ErrShortBuffer
		}
		n, err := c.Read(c.buf[len(c.buf):cap(c.buf)])
		if err != nil {
			return false, err
		}
		c.buf = c.buf[:len(c.buf)+n]
		if end := bytes.Index(c.buf, headerEnd); total < 0 && end >= 0 {
			_, after, found := bytes.Cut(c.buf[:end+2], contentLengthName)
			digits, _, _ := bytes.Cut(after, []byte("\r"))
			length, err := strconv.Atoi(string(digits))
			if !found || err != nil {
				return false, fmt.Errorf("response without a valid Content-Length: %q", c.buf[:end])
			}
			total = end + len(headerEnd) + length
		}
	}
	return bytes.HasPrefix(c.buf, okStatusLine), nil
}

// runSchedule sends requests at their due times, whether or not earlier ones have been answered. A request
// that is due while no connection is idle waits for one; its latency still counts from its due time.
func (l *loader) runSchedule(due []time.Duration) (*Load, error) {
	l.load, l.idle, l.inFlight, l.allSent = newLoad(), append(l.idle[:0], l.conns...), 0, false
	l.drained = make(chan struct{})
	l.began = time.Now()
	var wait sync.WaitGroup
	wake := make([]chan struct{}, len(l.conns))
	failed := make(chan error, len(l.conns))
	index := map[*loadConn]int{}
	for i, c := range l.conns {
		index[c] = i
		wake[i] = make(chan struct{}, 1)
		wait.Go(func() {
			for range wake[i] {
				if err := l.readAndSendQueued(c); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	runtime.LockOSThread()
	for _, at := range due {
		l.sleepUntil(at)
		l.mu.Lock()
		_ = l.load.Lateness.RecordValue(max((time.Since(l.began) - at).Microseconds(), 1))
		l.inFlight++
		if n := len(l.idle); n > 0 {
			c := l.idle[n-1]
			l.idle = l.idle[:n-1]
			c.due = at
			l.lastNumber++
			request := l.request(l.lastNumber)
			l.mu.Unlock()
			_, _ = c.Write(request) // the reader detects a failed write
			wake[index[c]] <- struct{}{}
			continue
		}
		l.queue = append(l.queue, at)
		l.mu.Unlock()
	}
	runtime.UnlockOSThread()
	l.mu.Lock()
	if l.allSent = true; l.inFlight == 0 {
		close(l.drained)
	}
	l.mu.Unlock()
	var err error
	select {
	case <-l.drained:
	case err = <-failed:
		l.close()
	}
	for _, w := range wake {
		close(w)
	}
	wait.Wait()
	l.load.Elapsed = time.Since(l.began)
	return l.load, err
}

// sleepUntil waits in the kernel, because the runtime's timers fire up to a millisecond late on an idle
// machine.
func (l *loader) sleepUntil(at time.Duration) {
	if wait := at - time.Since(l.began); wait > 0 {
		t := unix.NsecToTimespec(int64(wait))
		_ = unix.ClockNanosleep(unix.CLOCK_MONOTONIC, 0, &t, nil) // a sleep that ends early counts as on time
	}
}

// readAndSendQueued reads the response in flight on a connection and then sends queued requests on it until
// the queue is empty.
func (l *loader) readAndSendQueued(c *loadConn) error {
	for {
		ok, err := c.readResponse()
		l.mu.Lock()
		l.load.record(time.Since(l.began)-c.due, ok)
		l.inFlight--
		if l.inFlight == 0 && l.allSent {
			close(l.drained)
		}
		if err != nil {
			l.mu.Unlock()
			return err
		}
		if len(l.queue) == 0 {
			l.idle = append(l.idle, c)
			l.mu.Unlock()
			return nil
		}
		c.due = l.queue[0]
		l.queue = l.queue[1:]
		l.lastNumber++
		request := l.request(l.lastNumber)
		l.mu.Unlock()
		if _, err := c.Write(request); err != nil {
			return err
		}
	}
}
