package transport

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// RequestHandler answers requests.
type RequestHandler interface {
	// HandleRequest returns the final answer, or false if the client has disconnected and no answer is due.
	HandleRequest(ctx context.Context, op *protocol.Request) (protocol.Response, bool)
	// Ready reports whether requests can be served.
	Ready() bool
}

const (
	keepAliveTimeout = 30 * time.Second // wait for the next request on a connection
	maxHeaderBytes   = 16 << 10
)

// Listener is the downstream side: the sockets to which clients connect, and their connections. Listen and
// Inherit must be called before Serve; all other methods may be called at any time, from any goroutine.
type Listener struct {
	server    *http.Server
	listeners []*downstreamListener
	inherited map[netip.AddrPort]*net.TCPListener
	conns     *downstreamConns
	handler   RequestHandler
	bodies    *BodyLimits
	metrics   *metrics.Counters
	drain     drainState
}

// NewListener returns a Listener without sockets.
func NewListener(
	d *Descriptors,
	bodies *BodyLimits,
	counts *metrics.Counters,
	handler RequestHandler,
) *Listener {
	f := &Listener{handler: handler, bodies: bodies, metrics: counts, conns: &downstreamConns{
		descriptors: d,
		conns:       map[*downstreamConn]struct{}{}, allClosed: make(chan struct{}, 1), turns: newTurnQueue(),
	}}
	f.server = &http.Server{
		// Not a ServeMux: it would clean paths and redirect, and a request's target is forwarded unchanged.
		Handler: http.HandlerFunc(f.serveHTTP),
		// No ReadTimeout: it would cancel a request that takes longer as if its client had disconnected.
		DisableGeneralOptionsHandler: true, // it would answer 200
		ReadHeaderTimeout:            requestTimeout, IdleTimeout: keepAliveTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				c.(*downstreamConn).responseWritten()
				c.(*downstreamConn).letOthersRun()
			}
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	return f
}

// Listen opens a socket, on which Serve accepts clients. A request on it is decoded by the first of formats
// that accepts it; the last one must accept every request.
func (f *Listener) Listen(addr netip.AddrPort, formats ...protocol.Format) error {
	l, inherited := f.inherited[addr]
	if !inherited {
		var err error
		if l, err = listenReusePort(addr); err != nil {
			return err
		}
	}
	f.listeners = append(f.listeners, &downstreamListener{
		Listener: l, addr: addr, downstreamConns: f.conns, formats: formats,
		done: make(chan struct{}),
	})
	return nil
}

// Inherit makes Listen use these sockets for their addresses. Another process of this agent listens on them
// too.
func (f *Listener) Inherit(sockets map[netip.AddrPort]*net.TCPListener) { f.inherited = sockets }

// Sockets returns the listening sockets by the addresses given to Listen.
func (f *Listener) Sockets() map[netip.AddrPort]*net.TCPListener {
	all := map[netip.AddrPort]*net.TCPListener{}
	for _, l := range f.listeners {
		all[l.addr] = l.Listener.(*net.TCPListener)
	}
	return all
}

// reusePortConfig returns the configuration of sockets whose address another process of this agent may open
// too: in an upgrade without a handover of sockets, the new process opens its own.
func reusePortConfig() *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return cmp.Or(controlErr, err)
	}}
}

func listenReusePort(addr netip.AddrPort) (*net.TCPListener, error) {
	l, err := reusePortConfig().Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// newExchange returns the exchange of the first format that accepts the request.
func newExchange(formats []protocol.Format, r *http.Request) protocol.Exchange {
	last := len(formats) - 1
	for _, format := range formats[:last] {
		if x := format(r); x != nil {
			return x
		}
	}
	return formats[last](r)
}

// Serve accepts clients until StopListening, or until a socket fails, whose error it returns.
func (f *Listener) Serve() error {
	ended := make(chan error, len(f.listeners))
	for _, l := range f.listeners {
		go func() { ended <- f.server.Serve(l) }()
	}
	for range f.listeners {
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	return nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connOf returns the connection on which a request was received.
func connOf(r *http.Request) *downstreamConn { return r.Context().Value(connKey{}).(*downstreamConn) }

// serveHTTP answers one request: a health check itself, any other by the handler.
func (f *Listener) serveHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r)
	conn.releaseTurn()
	x := newExchange(conn.formats, r)
	deadline, isFramingClear := conn.startRequest(r)
	control := http.NewResponseController(w)
	isHealthCheck := r.URL.Path == "/health/ready" || r.URL.Path == "/health/live"
	if isHealthCheck || r.ContentLength != 0 { // something may be written before writeResponse sets a deadline
		_ = control.SetWriteDeadline(time.Time{}) // clears that of the previous response
	}
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(deadline) // also applies when net/http reads an unused body
	}
	switch {
	case !isFramingClear: // the bytes that follow could be part of the body
		response := protocol.Response{Kind: protocol.Malformed, Body: []byte("the body's length is not clear\n")}
		f.writeResponse(r.Context(), w, r, x, response, nil)
	case r.URL.Path == "/health/ready":
		f.announceClose(conn, w.Header())
		f.serveReadiness(w)
	case r.URL.Path == "/health/live":
		f.announceClose(conn, w.Header())
	default:
		f.serveRequest(w, r, x, deadline)
	}
}

// serveRequest decodes a request, passes it to the handler and writes the response.
func (f *Listener) serveRequest(
	w http.ResponseWriter,
	r *http.Request,
	x protocol.Exchange,
	deadline time.Time,
) {
	conn := connOf(r)
	ctx, end := conn.requestContext(r.Context())
	defer end()
	body := &pacedBody{control: http.NewResponseController(w), deadline: deadline}
	if r.ContentLength != 0 {
		body.ReadCloser = http.MaxBytesReader(w, r.Body, protocol.MaxUpload)
		r.Body = body
	}
	var grant bytebudget.Grant
	op, err := x.Decode(func(bytes int64, timeLeft time.Duration) (keep func(int64), err error) {
		waitedSince := time.Now()
		conn.pauseReading()
		grant, err = f.reserveMemory(ctx, r, bytes, timeLeft)
		conn.resumeReading()
		body.extend(time.Since(waitedSince))
		return func(n int64) { grant.Shrink(n) }, err
	})
	class := ""
	if op != nil {
		class = op.Class
	}
	requestMetrics := f.metrics.NewRequest(class)
	defer requestMetrics.End(metrics.Abandoned)
	if err != nil {
		f.writeResponse(ctx, w, r, x, decodeErrorResponse(err), requestMetrics)
		return
	}
	if op.Length != 0 {
		f.serveUpload(ctx, w, r, x, op, body, grant.Split(bodystream.ChunkBytes), requestMetrics)
		return
	}
	requestMetrics.Start()
	op.ArrivedAt, op.ClientGone = conn.requestComplete(), conn.isClosedByClient
	if r.ContentLength != 0 {
		_ = body.control.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	response, isOwed := f.handle(ctx, conn, op)
	if !isOwed {
		panic(http.ErrAbortHandler) // closes the connection: a return would write an empty 200
	}
	f.announceClose(conn, w.Header())
	f.writeResponse(ctx, w, r, x, response, requestMetrics)
}

// handle passes a request to the handler, with what may still be queued of the one before on its
// connection. Only the connection's goroutine calls it.
func (f *Listener) handle(ctx context.Context, conn *downstreamConn, op *protocol.Request) (
	protocol.Response, bool,
) {
	op.Previous = conn.previous
	response, isOwed := f.handler.HandleRequest(ctx, op)
	conn.previous = response.Settled
	return response, isOwed
}

// decodeErrorResponse returns the response to a request that could not be decoded.
func decodeErrorResponse(err error) protocol.Response {
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, protocol.ErrBodyTooLong) || errors.As(err, &tooLong):
		return protocol.Response{Kind: protocol.TooLong, Body: []byte(protocol.ErrBodyTooLong.Error() + "\n")}
	case errors.Is(err, bytebudget.ErrFull):
		return protocol.Response{Kind: protocol.Rejected, Body: []byte("busy\n")}
	}
	return protocol.Response{Kind: protocol.Malformed, Body: []byte(err.Error() + "\n")}
}

// serveUpload answers a request whose body is streamed.
func (f *Listener) serveUpload(
	ctx context.Context,
	w http.ResponseWriter,
	r *http.Request,
	x protocol.Exchange,
	op *protocol.Request,
	body *pacedBody,
	grant bytebudget.Grant,
	requestMetrics *metrics.Request,
) {
	conn := connOf(r)
	requestCtx, cancelRequest := context.WithCancel(ctx)
	defer cancelRequest()
	op.ArrivedAt, op.ClientGone = time.Now(), conn.isClosedByClient
	up := startUpload(op, body, grant, conn, requestMetrics, cancelRequest)
	response, isOwed := f.handle(requestCtx, conn, op)
	defer conn.responseDone()
	isComplete, err := up.stop()
	if isComplete { // otherwise net/http must not wait for the rest
		_ = body.control.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	requestMetrics.Start()
	switch {
	case !isOwed && !isComplete && isClientFault(err):
		response = decodeErrorResponse(err)
	case !isOwed:
		panic(http.ErrAbortHandler)
	}
	if !isComplete { // the rest is not waited for
		w.Header().Set("Connection", "close")
	}
	f.announceClose(conn, w.Header())
	f.writeResponse(ctx, w, r, x, response, requestMetrics)
}

// isClientFault distinguishes a body that was malformed or too slow from a client that has disconnected.
func isClientFault(err error) bool {
	return err != nil && !errors.Is(err, bodystream.ErrAbandoned) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// reserveMemory reserves memory for a request's body, waiting for it while the client waits. The client's
// time counts from the first byte of a short body; of a longer one, from when the last byte arrived.
func (f *Listener) reserveMemory(ctx context.Context, r *http.Request, bytes int64, timeLeft time.Duration) (
	bytebudget.Grant, error,
) {
	conn, timeLeft := connOf(r), timeLeft-routing.ResponseMargin
	deadline := conn.requestStartedAt().Add(timeLeft)
	isLong := bytes > protocol.MaxBufferedBody
	if isLong {
		deadline = time.Now().Add(uploadMemoryTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn.setRefuseMemory(cancel)
	defer conn.setRefuseMemory(nil)
	if isLong {
		arrival := arrivalWatch{conn: conn, timeLeft: timeLeft, onBegun: func(at time.Time) {
			if end := at.Add(timeLeft); end.Before(deadline) {
				time.AfterFunc(time.Until(end), cancel)
			}
		}}
		conn.watchClose()
		arrival.start()
		defer arrival.stop()
	}
	client, _, _ := net.SplitHostPort(r.RemoteAddr) // net/http's own form
	return f.bodies.Memory.Reserve(ctx, bytebudget.Holder{Name: client, IsRequest: true}, bytes)
}
