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
	headerWait = 5 * time.Second  // for a request's head
	bodyWait   = 5 * time.Second  // and for its body
	answerWait = 10 * time.Second // for a client to take its answer
	idleWait   = 5 * time.Minute
	maxHeader  = 16 << 10
)

// Front is the front socket: the client's side.
type Front struct {
	server   *http.Server
	listener *frontListener
	operator Operator
	draining atomic.Bool
	fresh    sync.Map // connections on which no request has been read
}

// ListenFront opens the front socket; Serve begins to accept.
func ListenFront(addr netip.AddrPort, d *Descriptors, o Operator) (*Front, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	f := &Front{operator: o, listener: &frontListener{Listener: l, descriptors: d, closed: make(chan struct{})}}
	f.server = &http.Server{
		// Not a ServeMux: it would clean paths and redirect, and an operation's target goes on unchanged.
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/health/ready":
				f.ready(w)
			case "/health/live":
			default:
				f.operate(w, r)
			}
		}),
		// No ReadTimeout: it would end an operation that takes longer as if its client had gone.
		DisableGeneralOptionsHandler: true, // it would answer 200
		ReadHeaderTimeout:            headerWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeader,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateNew {
				f.fresh.Store(c, nil)
			} else {
				f.fresh.Delete(c)
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
func (f *Front) Drain(ctx context.Context) error {
	_ = f.listener.Close()
	f.fresh.Range(func(c, _ any) bool {
		// The library gives these five seconds more. One on which something has come is left to it.
		if conn := c.(*frontConn); conn.began.Load() == 0 {
			_ = conn.Close()
		}
		return true
	})
	return f.server.Shutdown(ctx)
}

func (f *Front) ready(w http.ResponseWriter) {
	if f.draining.Load() || !f.operator.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *Front) operate(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		r.Body = http.MaxBytesReader(w, r.Body, protocol.MaxBody+1)
		_ = control.SetReadDeadline(time.Now().Add(bodyWait))
	}
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
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Time{})
	}
	op.Sent = time.Unix(0, r.Context().Value(connKey{}).(*frontConn).began.Load())
	answer, owed := f.operator.Operate(r.Context(), op)
	if !owed {
		panic(http.ErrAbortHandler) // closes the connection: a return would write an empty 200
	}
	f.answer(w, answer)
}

func (f *Front) answer(w http.ResponseWriter, a protocol.Answer) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWait))
	if err := protocol.EncodeAnswer(w, a); err != nil {
		slog.Debug("answer not passed on", "error", err)
	}
}

type connKey struct{}

type frontConn struct {
	net.Conn
	began   atomic.Int64 // when the first byte of the request came that is read; zero: none yet
	answers atomic.Bool  // something was written since
	release func()
}

// Read notes when a request begins to come: from then on at the latest, its time is counted.
func (c *frontConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && (c.answers.Swap(false) || c.began.Load() == 0) {
		c.began.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *frontConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.answers.Store(true)
	return n, err
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
	err         error
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
	l.once.Do(func() { close(l.closed); l.err = l.Listener.Close() })
	return l.err
}
