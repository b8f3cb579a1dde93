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
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// RequestHandler carries operations out.
type RequestHandler interface {
	// HandleRequest returns the final answer; false where the client has gone and none is owed.
	HandleRequest(ctx context.Context, op *protocol.Request) (protocol.Response, bool)
	// Ready tells whether operations can be served.
	Ready() bool
}

const (
	idleWait  = 30 * time.Second // for the next request on a connection
	maxHeader = 16 << 10
)

// Listener is the front socket: the client's side.
type Listener struct {
	server    *http.Server
	listeners []*downstreamListener
	inherited map[netip.AddrPort]*net.TCPListener
	clients   *downstreamConns
	handler   RequestHandler
	bodies    *BodyLimits
	metrics   *metrics.Figures
	drain     drainState
}

// NewListener returns a front that listens nowhere yet.
func NewListener(d *Descriptors, bodies *BodyLimits, counts *metrics.Figures, o RequestHandler) *Listener {
	f := &Listener{handler: o, bodies: bodies, metrics: counts, clients: &downstreamConns{
		descriptors: d,
		conns:       map[*downstreamConn]struct{}{}, empty: make(chan struct{}, 1),
	}}
	f.server = &http.Server{
		// Not a ServeMux: it would clean paths and redirect, and an operation's target goes on unchanged.
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn := r.Context().Value(connKey{}).(*downstreamConn)
			x := exchange(conn.forms, r)
			until, framed := conn.begin()
			health := r.URL.Path == "/health/ready" || r.URL.Path == "/health/live"
			if health || r.ContentLength != 0 { // something is written before an answer sets its own time
				_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // that of the answer before
			}
			if r.ContentLength != 0 {
				// Also for what the library reads of a body that is not wanted.
				_ = http.NewResponseController(w).SetReadDeadline(until)
			}
			if framed != framedByLength {
				w.Header().Set("Connection", "close") // what follows could be a part of the body
			}
			switch {
			case framed == framedTwice:
				f.writeResponse(w, r, x, protocol.Response{Kind: protocol.Malformed, Body: []byte("two lengths\n")}, nil)
			case r.URL.Path == "/health/ready":
				f.announceClose(conn, w.Header())
				f.serveReadiness(w)
			case r.URL.Path == "/health/live":
				f.announceClose(conn, w.Header())
			default:
				f.serveRequest(w, r, x, until)
			}
		}),
		// No ReadTimeout: it would end an operation that takes longer as if its client had gone.
		DisableGeneralOptionsHandler: true, // it would answer 200
		ReadHeaderTimeout:            requestWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeader,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				c.(*downstreamConn).idle()
			}
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	return f
}

// Listen opens a socket; Serve begins to accept there. Requests on it come in the first of forms that takes
// them; the last one takes all.
func (f *Listener) Listen(addr netip.AddrPort, forms ...protocol.Format) error {
	l, inherited := f.inherited[addr]
	if !inherited {
		var err error
		if l, err = listenShared(addr); err != nil {
			return err
		}
	}
	f.listeners = append(f.listeners, &downstreamListener{
		Listener: l, addr: addr, downstreamConns: f.clients, forms: forms,
		closed: make(chan struct{}),
	})
	return nil
}

// Inherit has Listen use these sockets at their addresses, which another process of this agent listens at
// too.
func (f *Listener) Inherit(sockets map[netip.AddrPort]*net.TCPListener) { f.inherited = sockets }

// Sockets are those it listens at, by the addresses that Listen was told.
func (f *Listener) Sockets() map[netip.AddrPort]*net.TCPListener {
	all := map[netip.AddrPort]*net.TCPListener{}
	for _, l := range f.listeners {
		all[l.addr] = l.Listener.(*net.TCPListener)
	}
	return all
}

// shared has a socket's address be another process's too. Guards against a new process that can't take over
// where the two don't meet.
var shared = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
	inner := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return cmp.Or(inner, err)
}}

func listenShared(addr netip.AddrPort) (*net.TCPListener, error) {
	l, err := shared.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// exchange begins an exchange in the first form that takes the request.
func exchange(forms []protocol.Format, r *http.Request) protocol.Exchange {
	last := len(forms) - 1
	for _, form := range forms[:last] {
		if x := form(r); x != nil {
			return x
		}
	}
	return forms[last](r)
}

// Serve accepts until StopListening, or until a socket fails.
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

func (f *Listener) serveRequest(w http.ResponseWriter, r *http.Request, x protocol.Exchange, until time.Time) {
	conn := r.Context().Value(connKey{}).(*downstreamConn)
	body := &pacedBody{control: http.NewResponseController(w), until: until}
	if r.ContentLength != 0 {
		body.ReadCloser = http.MaxBytesReader(w, r.Body, protocol.MaxUpload)
		r.Body = body
	}
	var grant bytebudget.Grant
	op, err := x.Decode(func(bytes int64, timeLeft time.Duration) (keep func(int64), err error) {
		asked := time.Now()
		conn.hold(true)
		grant, err = f.reserveMemory(r, bytes, conn.began().Add(timeLeft-routing.ResponseMargin))
		conn.hold(false)
		body.heldUp(time.Since(asked))
		return func(n int64) { grant.Shrink(n) }, err
	})
	class := ""
	if op != nil {
		class = op.Class
	}
	counted := f.metrics.Await(class)
	defer counted.End(metrics.Abandoned)
	if err != nil {
		f.writeResponse(w, r, x, unread(err), counted)
		return
	}
	if op.Length != 0 {
		f.serveUpload(w, r, x, op, body, grant.Split(bodystream.Chunk), counted)
		return
	}
	counted.Taken()
	op.ArrivedAt = conn.taken()
	if r.ContentLength != 0 {
		_ = body.control.SetReadDeadline(time.Time{})
	}
	answer, owed := f.handler.HandleRequest(r.Context(), op)
	if !owed {
		panic(http.ErrAbortHandler) // closes the connection: a return would write an empty 200
	}
	f.announceClose(conn, w.Header())
	f.writeResponse(w, r, x, answer, counted)
}

// unread is the answer to a request that could not be read.
func unread(err error) protocol.Response {
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, protocol.ErrBodyTooLong) || errors.As(err, &tooLong):
		return protocol.Response{Kind: protocol.TooLong, Body: []byte(protocol.ErrBodyTooLong.Error() + "\n")}
	case errors.Is(err, bytebudget.ErrFull):
		return protocol.Response{Kind: protocol.Rejected, Body: []byte("busy\n")}
	}
	return protocol.Response{Kind: protocol.Malformed, Body: []byte(err.Error() + "\n")}
}

// serveUpload carries an operation out whose body is passed on as it comes.
func (f *Listener) serveUpload(w http.ResponseWriter, r *http.Request, x protocol.Exchange, op *protocol.Request,
	body *pacedBody, grant bytebudget.Grant, counted *metrics.Operation,
) {
	conn := r.Context().Value(connKey{}).(*downstreamConn)
	ctx, failed := context.WithCancel(r.Context())
	defer failed()
	op.ArrivedAt = time.Now()
	up := startUpload(op, body, grant, conn, counted, failed)
	answer, owed := f.handler.HandleRequest(ctx, op)
	defer conn.restore()
	whole, err := up.stop()
	if whole {
		_ = body.control.SetReadDeadline(time.Time{})
	} // else the library must not wait for what is left
	counted.Taken()
	switch {
	case !owed && !whole && sentWrong(err):
		answer = unread(err)
	case !owed:
		panic(http.ErrAbortHandler)
	}
	if !whole { // what is left of it is not waited for
		w.Header().Set("Connection", "close")
	}
	f.announceClose(conn, w.Header())
	f.writeResponse(w, r, x, answer, counted)
}

// sentWrong tells a body that did not come as it must from a client that has gone.
func sentWrong(err error) bool {
	return err != nil && !errors.Is(err, bodystream.ErrLeft) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// room waits for memory for a request's body, until it is too late for the request.
func (f *Listener) reserveMemory(r *http.Request, bytes int64, until time.Time) (bytebudget.Grant, error) {
	if bytes > protocol.MaxBufferedBody { // its time counts from its last byte, which is far
		until = time.Now().Add(roomWait)
	}
	ctx, cancel := context.WithDeadline(r.Context(), until)
	defer cancel()
	client, _, _ := net.SplitHostPort(r.RemoteAddr)
	return f.bodies.Memory.Take(ctx, bytebudget.Holder{Name: client, Request: true}, bytes)
}

// answer writes an answer, and closes the connection where that can't be done to the end: what was written
// may look whole. It counts how the operation ended.
func (f *Listener) writeResponse(w http.ResponseWriter, r *http.Request, x protocol.Exchange, a protocol.Response,
	counted *metrics.Operation,
) {
	if a.Kind == protocol.Malformed || a.Kind == protocol.TooLong {
		w.Header().Set("Connection", "close") // and what is left of the request is not waited for
	}
	out := &answerWriter{
		ResponseWriter: w, control: http.NewResponseController(w), begins: a.Streaming,
		stall: f.bodies.Rules().ClientStall,
	}
	out.renew()
	err := x.Encode(out, a)
	if a.Flow != nil {
		defer a.Flow.Close()
		if err == nil {
			err = out.pass(r.Context(), a.Flow)
		}
	}
	counted.End(ending(a.Kind, err, out.lost || r.Context().Err() != nil))
	if err != nil {
		// HTTP/1.0 has no chunks: but for a reset, what broke off would look whole.
		if errors.Is(err, os.ErrDeadlineExceeded) || !r.ProtoAtLeast(1, 1) {
			r.Context().Value(connKey{}).(*downstreamConn).forsake()
		}
		slog.Debug("response not delivered", "error", err)
		panic(http.ErrAbortHandler)
	}
}

// ending is how an operation ended by its answer, and why that could not be written to the end. Lost: the
// client takes no more of it.
func ending(kind protocol.ResponseKind, err error, lost bool) metrics.Ending {
	switch {
	case err != nil && lost:
		return metrics.Abandoned
	case err != nil:
		return metrics.Error
	case kind == protocol.Served:
		return metrics.OK
	case kind == protocol.Rejected:
		return metrics.Shed
	}
	return metrics.Error
}

// answerWriter writes an answer to a client that gets on with taking it.
type answerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration // for a write
	begins  bool          // what is written is not the whole answer yet
	renewed time.Time
	lost    bool // a write has failed: the client takes no more
}

// Write notes that the client is lost.
func (o *answerWriter) Write(b []byte) (int, error) {
	n, err := o.ResponseWriter.Write(b)
	o.lost = o.lost || err != nil
	return n, err
}

func (o *answerWriter) flush() error {
	err := o.control.Flush()
	o.lost = o.lost || err != nil
	return err
}

// renewEvery is by how much a write's time may be too short: to renew it costs as much as a small write.
const renewEvery = 10 * time.Millisecond

// renew gives the next write its time.
func (o *answerWriter) renew() {
	now := time.Now()
	if now.Sub(o.renewed) < renewEvery {
		return
	}
	o.renewed = now
	_ = o.control.SetWriteDeadline(now.Add(o.stall))
}

// pass writes a body as it comes, and returns when the client's machine has all of it.
func (o *answerWriter) pass(ctx context.Context, f *bodystream.Flow) error {
	began := false // the client has something, and waits for more
	for {
		if !f.Ready() {
			if !began {
				began = true
				defer context.AfterFunc(ctx, func() { f.Cut(bodystream.ErrLeft) })()
			}
			if err := o.flush(); err != nil {
				return err
			}
		}
		b, err := f.Next()
		if errors.Is(err, io.EOF) && o.begins {
			err = cmp.Or(o.flush(), err)
		}
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		o.renew()
		n, err := o.Write(b)
		if err != nil {
			return err
		}
		f.Took(n)
	}
}

type connKey struct{}
