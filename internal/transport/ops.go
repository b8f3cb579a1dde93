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
	// maxOpsCallers is the maximum number of connections to the operators' interface.
	maxOpsCallers = 16
	// OpsDescriptors is how many file descriptors are reserved for the operators' interface: for its callers,
	// its listener and one connection that is being accepted.
	OpsDescriptors = maxOpsCallers + 2
	// opsIOTimeout is how long a caller has to send its call, and to read the response.
	opsIOTimeout = 2 * time.Second
	// opsResponseTimeout is the time after which a call is answered in any case.
	opsResponseTimeout = 800 * time.Millisecond
)

// OpsHandler handles operators' calls.
type OpsHandler interface {
	// IsReady reports whether this process accepts clients.
	IsReady() bool
	Metrics() metrics.Reading
	// Delays returns how long the decisions' messages waited and took, by kind of message.
	Delays() map[string]metrics.Delays
	// Discovery returns the state of the calls to discovery.
	Discovery() metrics.Discovery
	// DisableEndpoint takes an endpoint out of use, EnableEndpoint puts it back into use. listed is false if no
	// endpoint list ever contained the id. An error means that it could not be done.
	DisableEndpoint(ctx context.Context, id string) (listed bool, err error)
	EnableEndpoint(ctx context.Context, id string) (listed bool, err error)
	// SetDraining starts or stops draining.
	SetDraining(on bool)
	// HandleFleetCall answers a call that concerns something that the agents of the fleet agree on. The body is
	// JSON with status 200 or 202, otherwise a line of text. The status is 404 if this agent takes no part.
	HandleFleetCall(ctx context.Context, call protocol.OpsCall) (status int, body []byte)
}

// OpsServer is the operators' interface. Its descriptors are reserved, and nothing that it does waits for
// clients' requests.
type OpsServer struct {
	server   *http.Server
	listener net.Listener
}

// ListenOps opens the socket, on which Serve answers calls.
func ListenOps(addr netip.AddrPort, handler OpsHandler) (*OpsServer, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	callers := &opsListener{Listener: l, conns: map[*opsConn]struct{}{}}
	s := &OpsServer{listener: callers, server: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, protocol.MaxOpsBodyBytes(r.URL.Path))
			serveOps(w, r, handler)
		}),
		ReadTimeout: opsIOTimeout, WriteTimeout: 2 * opsIOTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}}
	s.server.SetKeepAlivesEnabled(false) // one call per connection
	return s, nil
}

// Addr returns the address of the socket.
func (s *OpsServer) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until Close, or until the socket fails. It always returns an error.
func (s *OpsServer) Serve() error { return s.server.Serve(s.listener) }

// Close ends Serve and all calls.
func (s *OpsServer) Close() {
	_ = s.server.Close() // nothing is left to do on an error
}

// serveOps answers one call.
func serveOps(w http.ResponseWriter, r *http.Request, handler OpsHandler) {
	call, status := protocol.DecodeOpsCall(r)
	r.Context().Value(connKey{}).(*opsConn).markCallRead()
	ctx, cancel := context.WithTimeout(r.Context(), opsResponseTimeout)
	defer cancel()
	text := ""
	switch {
	case status != http.StatusOK:
	case call.IsFleetCall():
		var body []byte
		if status, body = handler.HandleFleetCall(ctx, call); status < http.StatusMultipleChoices {
			w.Header().Set("Content-Type", "application/json")
		}
		text = string(body)
	case call.Kind == protocol.OpsReadiness && !handler.IsReady():
		status = http.StatusServiceUnavailable
	case call.Kind == protocol.OpsStats:
		status, text = jsonResponse(w, func() ([]byte, error) { return protocol.EncodeOpsStats(handler.Metrics()) })
	case call.Kind == protocol.OpsDelays:
		status, text = jsonResponse(w, func() ([]byte, error) { return protocol.EncodeOpsDelays(handler.Delays()) })
	case call.Kind == protocol.OpsDiscovery:
		status, text = jsonResponse(w, func() ([]byte, error) {
			return protocol.EncodeOpsDiscovery(handler.Discovery(), time.Now())
		})
	case call.Kind == protocol.OpsDisable:
		status, text = disableResponse(handler.DisableEndpoint(ctx, call.ID))
	case call.Kind == protocol.OpsEnable:
		status, text = disableResponse(handler.EnableEndpoint(ctx, call.ID))
	case call.Kind == protocol.OpsDrainStart, call.Kind == protocol.OpsDrainStop:
		handler.SetDraining(call.Kind == protocol.OpsDrainStart)
	}
	if text == "" {
		text = http.StatusText(status) + "\n"
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // fails only if the caller has disconnected
}

// jsonResponse returns the response to a call for figures.
func jsonResponse(w http.ResponseWriter, encode func() ([]byte, error)) (status int, text string) {
	raw, err := encode()
	if err != nil {
		return http.StatusInternalServerError, ""
	}
	w.Header().Set("Content-Type", "application/json")
	return http.StatusOK, string(raw) + "\n"
}

// disableResponse returns the response to a call that disables or enables an endpoint.
func disableResponse(listed bool, err error) (status int, text string) {
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, err.Error() + "\n"
	case !listed:
		return http.StatusNotFound, "no such booking server was ever listed\n"
	}
	return http.StatusOK, ""
}

// opsListener accepts a bounded number of callers: beyond that, a new caller replaces the oldest one that has
// not sent a complete call.
type opsListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*opsConn]struct{}
}

// opsConn is a caller's connection.
type opsConn struct {
	net.Conn
	listener   *opsListener
	acceptedAt time.Time
	hasCall    bool // its call was read; guarded by the listener's mu
}

// Accept accepts a caller, and evicts one if there are too many.
func (l *opsListener) Accept() (net.Conn, error) {
	conn, err := acceptNext(l.Listener)
	if err != nil {
		return nil, err
	}
	c := &opsConn{Conn: conn, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	isFull := len(l.conns) > maxOpsCallers
	l.mu.Unlock()
	if isFull {
		l.evict()
	}
	return c, nil
}

// evict closes the oldest connection without a complete call or, if all have one, the oldest.
func (l *opsListener) evict() {
	l.mu.Lock()
	var oldest *opsConn
	for c := range l.conns {
		if oldest == nil || !c.hasCall && oldest.hasCall ||
			c.hasCall == oldest.hasCall && c.acceptedAt.Before(oldest.acceptedAt) {
			oldest = c
		}
	}
	l.mu.Unlock()
	_ = oldest.Close() // nothing is left to do on an error
}

// markCallRead records that the caller's call was read.
func (c *opsConn) markCallRead() {
	c.listener.mu.Lock()
	c.hasCall = true
	c.listener.mu.Unlock()
}

// Close ends the connection.
func (c *opsConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
