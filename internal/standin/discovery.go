package standin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Discovery is the socket of the service that keeps the list of booking servers.
type Discovery struct {
	Addr  string
	serve *http.Server
	empty time.Duration
	came  func(*Call)
	gone  func(*Call)
	way   Strait
	wait  sync.WaitGroup
}

// ListenDiscovery opens discovery's socket at a loopback address. Came is told each call, from a goroutine of
// the call's own; gone, that its agent has ended it. On a watch that has begun, an empty line is written as
// often as empty says.
func ListenDiscovery(addr string, empty time.Duration, came, gone func(*Call)) (*Discovery, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), empty: empty, came: came, gone: gone}
	// The time for a head is longer than any fault that holds one.
	d.serve = &http.Server{Handler: d, ReadHeaderTimeout: time.Hour}
	d.wait.Go(func() { _ = d.serve.Serve(&straitListener{l.(*net.TCPListener), &d.way}) })
	return d, nil
}

// Way is the way between discovery and its agents, over which faults come.
func (d *Discovery) Way() *Strait { return &d.way }

// Close ends the service and all calls.
func (d *Discovery) Close() {
	d.way.close()
	_ = d.serve.Close()
	d.wait.Wait()
}

// Call is an agent's call.
type Call struct {
	Target string // as it came
	Watch  bool
	From   int64 // of a watch: the version that the agent has
	Mute   bool  // no empty lines are written; set in came
	Handle any   // for whoever uses the stand-in; set in came

	mu     sync.Mutex
	queue  []said
	signal chan struct{}
}

// said is something to be written, or the answer's status, or the end.
type said struct {
	status int
	text   string
	end    bool
	mute   bool
}

func (c *Call) say(s said) {
	c.mu.Lock()
	c.queue = append(c.queue, s)
	c.mu.Unlock()
	select {
	case c.signal <- struct{}{}:
	default: // it is to look already
	}
}

// Begin answers the call with a status.
func (c *Call) Begin(status int) { c.say(said{status: status}) }

// Say writes a line.
func (c *Call) Say(line string) { c.Write(line + "\n") }

// Write writes a piece of a line, or of several, as it is.
func (c *Call) Write(text string) { c.say(said{text: text}) }

// Silence has nothing more come on the call, no empty lines either, which stays open until End or its agent
// ends it.
func (c *Call) Silence() { c.say(said{mute: true}) }

// Hush has no further empty lines written: the call falls silent.
func (c *Call) Hush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Mute = true
}

// End ends the call; one that was not answered has its connection closed.
func (c *Call) End() { c.say(said{end: true}) }

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	c := &Call{
		Target: r.RequestURI, Watch: r.URL.Query().Get("watch") == "1", From: from,
		signal: make(chan struct{}, 1),
	}
	d.came(c)
	var empty <-chan time.Time
	begun, mute := false, false
	for {
		select {
		case <-r.Context().Done():
			d.gone(c)
			return
		case <-empty:
			c.mu.Lock()
			mute := c.Mute
			c.mu.Unlock()
			if mute {
				continue
			}
			_, _ = io.WriteString(w, "\n")
		case <-c.signal:
		}
		c.mu.Lock()
		queue := c.queue
		c.queue = nil
		c.mu.Unlock()
		for _, s := range queue {
			switch {
			case s.end && !begun:
				panic(http.ErrAbortHandler)
			case s.end:
				return
			case mute || s.mute:
				mute, empty = true, nil
			case s.status != 0:
				begun = true
				w.WriteHeader(s.status)
				if c.Watch && !c.Mute && d.empty > 0 {
					tick := time.NewTicker(d.empty)
					defer tick.Stop()
					empty = tick.C
				}
			default:
				begun = true
				_, _ = io.WriteString(w, s.text)
			}
		}
		if begun && http.NewResponseController(w).Flush() != nil {
			d.gone(c)
			return
		}
	}
}
