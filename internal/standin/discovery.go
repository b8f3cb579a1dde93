package standin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Discovery is the socket of the discovery service, which has the endpoint list.
type Discovery struct {
	Addr              string
	server            *http.Server
	emptyLineInterval time.Duration
	onCall            func(*Call)
	onCallEnd         func(*Call)
	link              StreamLink
	wait              sync.WaitGroup
}

// ListenDiscovery opens discovery's socket at a loopback address. onCall is called with each call and
// onCallEnd when its agent has ended it, both from a goroutine of the call. While a watch is answered, an
// empty line is written each interval, unless a line is incomplete; zero: none.
func ListenDiscovery(addr string, interval time.Duration, onCall, onCallEnd func(*Call)) (*Discovery, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), emptyLineInterval: interval, onCall: onCall, onCallEnd: onCallEnd}
	// The timeout exceeds the duration of any fault that holds a request's header.
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Hour}
	d.wait.Go(func() { _ = d.server.Serve(&linkListener{l.(*net.TCPListener), &d.link}) })
	return d, nil
}

// Link returns the link between discovery and its agents, on which faults can be started.
func (d *Discovery) Link() *StreamLink { return &d.link }

// Close closes the service and all calls, and waits for its goroutines.
func (d *Discovery) Close() {
	d.link.close()
	_ = d.server.Close()
	d.wait.Wait()
}

// Call is an agent's request to discovery.
type Call struct {
	Target       string // the request target as received
	Watch        bool
	From         int64 // of a watch: the agent's version of the endpoint list
	NoEmptyLines bool  // no empty lines are written; set in onCall
	Handle       any   // the caller's own data; set in onCall

	mu     sync.Mutex
	queue  []callStep
	signal chan struct{}
}

// callStep is a status, a text or silence on a call, or its end.
type callStep struct {
	status  int
	text    string
	end     bool
	silence bool
}

func (c *Call) enqueue(step callStep) {
	c.mu.Lock()
	c.queue = append(c.queue, step)
	c.mu.Unlock()
	select {
	case c.signal <- struct{}{}:
	default: // a signal is pending already
	}
}

// WriteStatus answers the call with a status.
func (c *Call) WriteStatus(status int) { c.enqueue(callStep{status: status}) }

// WriteLine writes a line; it appends the line feed.
func (c *Call) WriteLine(line string) { c.Write(line + "\n") }

// Write writes text as it is.
func (c *Call) Write(text string) { c.enqueue(callStep{text: text}) }

// StopOutput stops all output on the call, empty lines included. The call stays open until either side ends
// it.
func (c *Call) StopOutput() { c.enqueue(callStep{silence: true}) }

// StopEmptyLines stops the empty lines; other output continues.
func (c *Call) StopEmptyLines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.NoEmptyLines = true
}

// End ends the call. If nothing was written yet, it closes the connection without a response.
func (c *Call) End() { c.enqueue(callStep{end: true}) }

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	c := &Call{
		Target: r.RequestURI, Watch: r.URL.Query().Get("watch") == "1", From: from,
		signal: make(chan struct{}, 1),
	}
	d.onCall(c)
	var emptyLineTick <-chan time.Time
	started, silenced, isInLine := false, false, false
	for {
		select {
		case <-r.Context().Done():
			d.onCallEnd(c)
			return
		case <-emptyLineTick:
			c.mu.Lock()
			silenced := c.NoEmptyLines
			c.mu.Unlock()
			if silenced || isInLine {
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
			case s.end && !started:
				panic(http.ErrAbortHandler)
			case s.end:
				return
			case silenced || s.silence:
				silenced, emptyLineTick = true, nil
			case s.status != 0:
				started = true
				w.WriteHeader(s.status)
				if c.Watch && !c.NoEmptyLines && d.emptyLineInterval > 0 {
					tick := time.NewTicker(d.emptyLineInterval)
					defer tick.Stop()
					emptyLineTick = tick.C
				}
			default:
				started = true
				_, _ = io.WriteString(w, s.text)
				isInLine = isInLine && s.text == "" || s.text != "" && !strings.HasSuffix(s.text, "\n")
			}
		}
		if started && http.NewResponseController(w).Flush() != nil {
			d.onCallEnd(c)
			return
		}
	}
}
