package transport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/protocol"
)

// Operator carries operations out.
type Operator interface {
	// Operate returns the final answer; false where the client has gone and none is owed.
	Operate(ctx context.Context, op *protocol.Operation) (protocol.Answer, bool)
	// Ready tells whether operations can be served.
	Ready() bool
}

const (
	headerWait  = 5 * time.Second // for a request's head, from its first byte
	requestWait = 10 * time.Second
	idleWait    = 5 * time.Minute
	maxHeader   = 16 << 10
)

// Front is the front socket: the client's side.
type Front struct {
	server   *http.Server
	listener *frontListener
	operator Operator
	draining atomic.Bool
}

// ListenFront opens the front socket; Serve begins to accept.
func ListenFront(addr netip.AddrPort, d *Descriptors, o Operator) (*Front, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	f := &Front{operator: o, listener: &frontListener{Listener: l, descriptors: d, closed: make(chan struct{})}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health/ready", f.ready)
	mux.HandleFunc("GET /health/live", func(http.ResponseWriter, *http.Request) {})
	health := http.Handler(mux)
	f.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// Not by the mux: it would clean paths and redirect, and an operation's target goes on unchanged.
			if r.URL.Path == "/health/ready" || r.URL.Path == "/health/live" {
				health.ServeHTTP(w, r)
				return
			}
			f.operate(w, r)
		}),
		ReadHeaderTimeout: headerWait, ReadTimeout: requestWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeader,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateActive { // the first byte of a request
				c.(*frontConn).began.Store(time.Now().UnixNano())
			}
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	return f, nil
}

// Serve accepts until Drain.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// StopReady makes the agent say that it is not ready, while it goes on serving.
func (f *Front) StopReady() { f.draining.Store(true) }

// Drain stops accepting, closes connections as they fall idle and returns when all are closed, or ctx ends.
func (f *Front) Drain(ctx context.Context) error { return f.server.Shutdown(ctx) }

func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || !f.operator.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *Front) operate(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, protocol.MaxBody+1)
	op, err := protocol.DecodeOperation(r)
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, protocol.ErrTooLong) || errors.As(err, &tooLong):
		f.answer(w, protocol.Answer{Kind: protocol.TooLong, Body: []byte(protocol.ErrTooLong.Error() + "\n")})
		return
	case err != nil:
		f.answer(w, protocol.Answer{Kind: protocol.Malformed, Body: []byte(err.Error() + "\n")})
		return
	}
	op.Sent = time.Unix(0, r.Context().Value(connKey{}).(*frontConn).began.Load())
	answer, owed := f.operator.Operate(r.Context(), op)
	if !owed {
		panic(http.ErrAbortHandler) // closes the connection: a return would write an empty 200
	}
	f.answer(w, answer)
}

func (f *Front) answer(w http.ResponseWriter, a protocol.Answer) {
	if err := protocol.EncodeAnswer(w, a); err != nil {
		slog.Debug("answer not passed on", "error", err)
	}
}

type connKey struct{}

type frontConn struct {
	net.Conn
	began   atomic.Int64
	release func()
}

func (c *frontConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

type frontListener struct {
	net.Listener
	descriptors *Descriptors
	closed      chan struct{}
	once        sync.Once
}

func (l *frontListener) Accept() (net.Conn, error) {
	if !l.descriptors.takeFront(l.closed) {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.descriptors.releaseFront()
		return nil, err
	}
	return &frontConn{Conn: c, release: sync.OnceFunc(l.descriptors.releaseFront)}, nil
}

func (l *frontListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
