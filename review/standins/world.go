package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// world is a small deployment: booking servers as processes, discovery, and one agent as a process.
type world struct {
	settings  map[string]any
	servers   []*booking
	discovery *discovery
	agent     *agentProcess
	began     time.Time

	mu     sync.Mutex
	record *os.File
	events []serverEvent
	lastID uint64
}

// newWorld starts a deployment, and has all that is sent, answered and run written to record.txt in the
// current folder. onEvent is called with each event of a server, in order; nil: not called.
func newWorld(count int, options serverOptions, set map[string]any, onEvent func(serverEvent)) *world {
	record, err := os.Create("record.txt")
	must(err)
	w := &world{settings: set, record: record, began: time.Now(), lastID: uint64(time.Now().UnixNano()) << 8}
	var entries []entry
	for i := range count {
		options.Name = fmt.Sprintf("s-%d", i)
		b := startBooking(options, func(e serverEvent) {
			w.mu.Lock()
			w.events = append(w.events, e)
			w.mu.Unlock()
			if e.Event != "connected" {
				w.noteAt(time.UnixMicro(e.At), "%s %s %s %s %s body=%d left=%s", e.Server, e.Event, e.ID, e.Method,
					e.Path, e.Bytes, e.LeftMS)
			}
			if onEvent != nil {
				onEvent(e)
			}
		})
		w.servers = append(w.servers, b)
		entries = append(entries, entry{
			ID: options.Name, Addr: b.addr, Zone: "a", Kind: "toy", Cell: i, State: "active", Weight: 1,
		})
	}
	w.discovery = startDiscovery(entries)
	w.agent = startAgent("n0", w.discovery.addr, set)
	w.note("agent %s is ready, %d booking servers", w.agent.addr, count)
	return w
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) { w.noteAt(time.Now(), format, args...) }

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{at.Sub(w.began).Seconds()}, args...)...)
}

// eventsOf returns the servers' events of a kind so far.
func (w *world) eventsOf(kind string) (all []serverEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.events {
		if e.Event == kind {
			all = append(all, e)
		}
	}
	return all
}

// finish writes the agent's log and the verdict to the record, and returns the exit code.
func (w *world) finish(code int, format string, args ...any) int {
	verdict := fmt.Sprintf(format, args...)
	w.note("%s", verdict)
	if !w.agent.alive() {
		verdict, code = verdict+"; the agent has ended", exitBroken
	}
	fmt.Println(verdict)
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "\nThe agent's log:\n%s", w.agent.log())
	return code
}

// path returns a path of the class with an effect.
func (w *world) path(effect, name string) string {
	return fmt.Sprintf("/%s/%s", classOf(w.settings, effect)["name"], name)
}

// nextID returns a new request id.
func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%016x", w.lastID)
}

// request is a client's request.
type request struct {
	id, method, path, key string
	left                  time.Duration
	framing               string // header field that tells the body's length; empty: none
}

// head returns the request's head.
func (r request) head() string {
	framing := ""
	if r.framing != "" {
		framing = r.framing + "\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\n"+
		"X-Account: acme\r\nCookie: sid=%s\r\nX-Time-Left-Ms: %d\r\n%s\r\n", r.method, r.path, r.id, r.key,
		r.left.Milliseconds(), framing)
}

// lookUp and book send ordinary requests, on a connection of their own; they return the answer's status,
// zero for none.
func (w *world) lookUp(key string) int {
	return w.ask(request{
		method: http.MethodGet, path: w.path(safeEffect, "slots"), key: key, left: 2500 * time.Millisecond,
	}, "")
}

func (w *world) book(key string) int {
	return w.ask(request{
		method: http.MethodPost, path: w.path(unsafeEffect, "chair"), key: key, left: time.Second,
		framing: "Content-Length: 7",
	}, "chair=4")
}

func (w *world) ask(r request, body string) int {
	if r.id == "" {
		r.id = w.nextID()
	}
	began := time.Now()
	w.note("client sends %s %s %s key=%s", r.id, r.method, r.path, r.key)
	status := 0
	c, err := net.Dial("tcp", w.agent.addr)
	if err == nil {
		defer c.Close()
		_ = c.SetDeadline(began.Add(r.left + 2*time.Second))
		if _, err = io.WriteString(c, r.head()+body); err == nil {
			status, _, err = readAnswer(bufio.NewReader(c))
		}
	}
	w.note("client has %s status=%d error=%v after %d ms", r.id, status, err, time.Since(began).Milliseconds())
	return status
}

// readAnswer reads one whole answer.
func readAnswer(r *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, string(raw), nil
}
