package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serverEvent is one line of a booking server's standard output.
type serverEvent struct {
	At     int64  // Unix time in microseconds
	Server string // name
	Event  string // listening, connected, begun, answered, failed, dropped
	ID     string // of the request, or the address at "listening"
	Method string
	Path   string
	Bytes  int64  // of the body
	LeftMS string // X-Time-Left-Ms
}

// serverOptions are how a booking server behaves.
type serverOptions struct {
	Name string
	Work time.Duration
	// CloseAfter has the server end each connection after its answer.
	CloseAfter bool
	// A request whose path ends with FailPath is answered with 500 after FailAfter: it may have run.
	FailPath  string
	FailAfter time.Duration
}

// serveBooking is a sound booking server: it begins a request when its last byte has come, works, and answers
// with 200 and a body that names the request. It answers 404 to a request with no id and 400 to one whose id
// has another form. It ends with the process that started it, whose commands it reads.
func serveBooking(o serverOptions) {
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	tell := func(e serverEvent) {
		mu.Lock()
		defer mu.Unlock()
		e.At, e.Server = time.Now().UnixMicro(), o.Name
		_ = out.Encode(e)
	}
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	l := &gatedListener{TCPListener: plain.(*net.TCPListener), addr: plain.Addr().String()}
	l.opened.L = &l.mu
	tell(serverEvent{Event: "listening", ID: l.addr})
	go func() {
		commands := bufio.NewScanner(os.Stdin)
		for commands.Scan() {
			switch commands.Text() {
			case "shut":
				l.shut()
			case "open":
				l.open()
			}
		}
		os.Exit(0)
	}()
	server := http.Server{
		IdleTimeout: 15 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			tell(serverEvent{Event: "connected"})
			return ctx
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Correlation-Id")
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil { // the last byte has not come
				tell(serverEvent{Event: "dropped", ID: id, Bytes: n})
				panic(http.ErrAbortHandler)
			}
			if id == "" {
				http.Error(w, "no id", http.StatusNotFound)
				return
			}
			if _, err := strconv.ParseUint(id, 16, 64); err != nil || len(id) != 16 {
				http.Error(w, "bad id", http.StatusBadRequest)
				return
			}
			tell(serverEvent{
				Event: "begun", ID: id, Method: r.Method, Path: r.URL.Path, Bytes: n,
				LeftMS: r.Header.Get("X-Time-Left-Ms"),
			})
			if o.FailPath != "" && strings.HasSuffix(r.URL.Path, o.FailPath) {
				time.Sleep(o.FailAfter)
				w.Header().Set("Connection", "close")
				http.Error(w, "failed", http.StatusInternalServerError)
				tell(serverEvent{Event: "failed", ID: id})
				return
			}
			time.Sleep(o.Work)
			body := answerBody(id)
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			if o.CloseAfter {
				w.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(w, body)
			tell(serverEvent{Event: "answered", ID: id})
		}),
	}
	fatal(server.Serve(l))
}

// answerBody is the body of the one right answer to a request.
func answerBody(id string) string { return "done " + id + "\n" }

// gatedListener can be shut for a while: its queue is full then, so that connections that are begun come up
// late, with the second packet that asks for them, 1 s after the first.
type gatedListener struct {
	*net.TCPListener
	addr   string
	mu     sync.Mutex
	opened sync.Cond
	isShut bool
	filler []net.Conn
}

func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		isFiller := false
		for i, f := range l.filler {
			if f.LocalAddr().String() == c.RemoteAddr().String() {
				_ = f.Close()
				l.filler = append(l.filler[:i], l.filler[i+1:]...)
				isFiller = true
				break
			}
		}
		for l.isShut {
			l.opened.Wait()
		}
		l.mu.Unlock()
		if !isFiller {
			return c, nil
		}
		_ = c.Close()
	}
}

func (l *gatedListener) listenAgain(backlog int) {
	raw, err := l.SyscallConn()
	must(err)
	_ = raw.Control(func(fd uintptr) { must(syscall.Listen(int(fd), backlog)) })
}

// shut has connections come up late until open.
func (l *gatedListener) shut() {
	l.mu.Lock()
	l.isShut = true
	l.mu.Unlock()
	l.listenAgain(0)
	// Accept holds the first connection, and the queue the next. It is full once two in a row do not come up.
	for failed := 0; failed < 2; {
		c, err := net.DialTimeout("tcp", l.addr, 40*time.Millisecond)
		if err != nil {
			failed++
			continue
		}
		failed = 0
		l.mu.Lock()
		l.filler = append(l.filler, c)
		l.mu.Unlock()
	}
}

func (l *gatedListener) open() {
	l.listenAgain(128)
	l.mu.Lock()
	l.isShut = false
	l.opened.Broadcast()
	l.mu.Unlock()
}

// booking is a booking server's process.
type booking struct {
	name, addr string
	cmd        *exec.Cmd
	stdin      io.WriteCloser
}

// startBooking starts a booking server as a process; events gets each line that it prints.
func startBooking(o serverOptions, events func(serverEvent)) *booking {
	raw, err := json.Marshal(o)
	must(err)
	cmd := exec.Command(os.Args[0], "server", string(raw))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	must(err)
	stdout, err := cmd.StdoutPipe()
	must(err)
	must(cmd.Start())
	b := &booking{name: o.Name, cmd: cmd, stdin: stdin}
	atEnd(b.kill)
	lines := bufio.NewScanner(stdout)
	next := func() (e serverEvent, ok bool) {
		if !lines.Scan() {
			return e, false
		}
		must(json.Unmarshal(lines.Bytes(), &e))
		return e, true
	}
	first, ok := next()
	if !ok {
		fatal(fmt.Errorf("%s did not start", o.Name))
	}
	b.addr = first.ID
	go func() {
		for e, ok := next(); ok; e, ok = next() {
			events(e)
		}
	}()
	return b
}

func (b *booking) signal(s syscall.Signal) { must(b.cmd.Process.Signal(s)) }

func (b *booking) command(text string) { _, _ = io.WriteString(b.stdin, text+"\n") }

func (b *booking) kill() {
	_ = b.cmd.Process.Signal(syscall.SIGCONT)
	_ = b.cmd.Process.Kill()
	_ = b.stdin.Close()
	_, _ = b.cmd.Process.Wait()
}
