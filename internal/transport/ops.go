package transport

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
)

const (
	// opsCallers is how many connections the ops socket holds at most.
	opsCallers = 16
	// OpsDescriptors are set aside for the ops socket: its callers, its listener and one that is being
	// accepted.
	OpsDescriptors = opsCallers + 2
	// opsWait is how long a caller has for its call, and for taking the answer.
	opsWait = 2 * time.Second
	// opsAnswer is by when an answer is given in any case.
	opsAnswer = 800 * time.Millisecond
)

// OpsHandler is what operators may ask for.
type OpsHandler interface {
	// IsReady tells whether this process takes clients.
	IsReady() bool
	Metrics() metrics.Reading
	// DisableEndpoint takes a booking server out, EnableEndpoint puts it back; listed is false where the list never had that id. The
	// error says why it can't be done.
	DisableEndpoint(ctx context.Context, id string) (listed bool, err error)
	EnableEndpoint(ctx context.Context, id string) (listed bool, err error)
	// SetDraining sends clients away, or takes them again.
	SetDraining(on bool)
	// HandleFleetCall answers a call about what the agents of the fleet agree on, as JSON; a status other than 200
	// and 202 says no, in a line. Where this agent takes no part there is no such call: 404.
	HandleFleetCall(ctx context.Context, call protocol.OpsCall) (status int, body []byte)
}

// OpsServer is the operators' own door. Its descriptors are set aside, and nothing that it does waits for
// clients' work.
type OpsServer struct {
	server   *http.Server
	listener net.Listener
}

// ListenOps opens the socket; Serve begins to answer there.
func ListenOps(addr netip.AddrPort, o OpsHandler) (*OpsServer, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	callers := &opsListener{Listener: l, open: map[*opsConn]struct{}{}}
	s := &OpsServer{listener: callers, server: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, protocol.MaxOpsBodyBytes(r.URL.Path))
			answerOps(w, r, o)
		}),
		ReadTimeout: opsWait, WriteTimeout: 2 * opsWait, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}}
	s.server.SetKeepAlivesEnabled(false) // one call to a connection
	return s, nil
}

// Addr is where it listens.
func (s *OpsServer) Addr() net.Addr { return s.listener.Addr() }

// Serve answers until Close, or until the socket fails.
func (s *OpsServer) Serve() error { return s.server.Serve(s.listener) }

// Close ends Serve and all calls.
func (s *OpsServer) Close() { _ = s.server.Close() }

func answerOps(w http.ResponseWriter, r *http.Request, o OpsHandler) {
	call, status := protocol.DecodeOpsCall(r)
	r.Context().Value(connKey{}).(*opsConn).whole()
	ctx, cancel := context.WithTimeout(r.Context(), opsAnswer)
	defer cancel()
	text := ""
	switch {
	case status != http.StatusOK:
	case call.IsFleetCall():
		var body []byte
		if status, body = o.HandleFleetCall(ctx, call); status < http.StatusMultipleChoices {
			w.Header().Set("Content-Type", "application/json")
		}
		text = string(body)
	case call.Kind == protocol.OpsReadiness && !o.IsReady():
		status = http.StatusServiceUnavailable
	case call.Kind == protocol.OpsStats:
		raw, err := protocol.EncodeOpsStats(o.Metrics())
		if err != nil {
			status = http.StatusInternalServerError
		}
		w.Header().Set("Content-Type", "application/json")
		text = string(raw) + "\n"
	case call.Kind == protocol.OpsDisable:
		status, text = banned(o.DisableEndpoint(ctx, call.ID))
	case call.Kind == protocol.OpsEnable:
		status, text = banned(o.EnableEndpoint(ctx, call.ID))
	case call.Kind == protocol.OpsDrainStart, call.Kind == protocol.OpsDrainStop:
		o.SetDraining(call.Kind == protocol.OpsDrainStart)
	}
	if text == "" {
		text = http.StatusText(status) + "\n"
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

// banned is the answer to a call for a booking server.
func banned(listed bool, err error) (status int, text string) {
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, err.Error() + "\n"
	case !listed:
		return http.StatusNotFound, "no such booking server was ever listed\n"
	}
	return http.StatusOK, ""
}

// opsListener holds a bounded number of callers. Guards against those that connect and send no whole
// call: a further caller takes the place of the oldest of them.
type opsListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*opsConn]struct{}
}

// opsConn is a caller's connection.
type opsConn struct {
	net.Conn
	listener *opsListener
	since    time.Time
	called   bool // its call came whole; the listener's mu
}

func (l *opsListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &opsConn{Conn: conn, listener: l, since: time.Now()}
	l.mu.Lock()
	l.open[c] = struct{}{}
	crowded := len(l.open) > opsCallers
	l.mu.Unlock()
	if crowded {
		l.evict()
	}
	return c, nil
}

// evict closes the oldest connection without a whole call; where all have one, the oldest.
func (l *opsListener) evict() {
	l.mu.Lock()
	var oldest *opsConn
	for c := range l.open {
		if oldest == nil || !c.called && oldest.called ||
			c.called == oldest.called && c.since.Before(oldest.since) {
			oldest = c
		}
	}
	l.mu.Unlock()
	_ = oldest.Close()
}

// whole tells that the call came whole.
func (c *opsConn) whole() {
	c.listener.mu.Lock()
	c.called = true
	c.listener.mu.Unlock()
}

// Close ends the connection.
func (c *opsConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
