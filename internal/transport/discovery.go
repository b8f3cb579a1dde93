package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

const (
	// responseTimeout is how long discovery may take until its response begins, including connecting. Package
	// discovery/backoff relies on failed calls taking no longer.
	responseTimeout = 2 * time.Second
	// watchSilenceTimeout ends a watch on which nothing is received. Discovery sends an empty line every 2 s;
	// only the absence of these lines shows that a watch is cut off.
	watchSilenceTimeout = 3 * time.Second
	// objectStallTimeout is how long a partly received object may make no progress.
	objectStallTimeout = 750 * time.Millisecond
	// objectTimeout is how long an object may take in all. Two more calls fit in before its changes count as
	// known and draining servers may get no more requests.
	objectTimeout  = 3500 * time.Millisecond
	maxObjectBytes = 4 << 20
)

// errListTooLong means that an object of discovery has more than maxObjectBytes. On-call staff know its text.
var errListTooLong = errors.New("discovery's list is too long")

// CallHandlers are called with the progress of a call, from the caller's goroutine.
type CallHandlers struct {
	Accepted  func()       // discovery has accepted the call
	KeptAlive func()       // a watch has received an empty line between objects
	Object    func([]byte) // an object was received, whose bytes are valid until the function returns
}

// CallDiscovery makes one call for the endpoint list: a watch from a version on, or the complete list once.
// It returns when the call has ended; nil only if a complete list was received.
func CallDiscovery(ctx context.Context, addr netip.AddrPort, call protocol.ListRequest,
	handlers CallHandlers,
) error {
	startedAt := time.Now()
	var dialer net.Dialer
	dialCtx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	conn, err := dialer.DialContext(dialCtx, "tcp", addr.String())
	if err != nil {
		return err
	}
	closeConn := func() { _ = conn.Close() } // the interrupted read returns the error
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	silence := newSilenceTimer(responseTimeout-time.Since(startedAt), unreadInputOf(conn), closeConn)
	err = exchangeList(conn, addr, call, silence, handlers)
	if silentFor := silence.stop(); silentFor > 0 {
		return &routing.SilenceError{Duration: silentFor}
	}
	return err
}

// unreadInputOf returns a function that reports whether a connection has something to read; nil if that can't
// be told.
func unreadInputOf(conn net.Conn) func() bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil
	}
	return func() (has bool) {
		err := raw.Control(func(fd uintptr) { has = hasInput(fd) })
		return err == nil && has
	}
}

// exchangeList sends a call and reads the response on a connection.
func exchangeList(conn net.Conn, addr netip.AddrPort, call protocol.ListRequest, silence *silenceTimer,
	handlers CallHandlers,
) error {
	if _, err := conn.Write(protocol.AppendListRequest(nil, addr.String(), call)); err != nil {
		return err
	}
	body, err := protocol.ReadListHeader(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	silence.reset(watchSilenceTimeout, 0)
	handlers.Accepted()
	if call.Watch {
		watch := &watchBody{Reader: body, silence: silence, onKeptAlive: handlers.KeptAlive}
		return readObjects(watch, handlers.Object)
	}
	list, err := io.ReadAll(io.LimitReader(body, maxObjectBytes))
	if err == nil {
		handlers.Object(list)
	}
	return err
}

// readObjects reads the objects of a watch until it ends, which is always an error. Discovery sends each
// object on a line of its own. An object indented over several lines is accepted as well, so that no drain in
// it is missed.
func readObjects(in *watchBody, onObject func([]byte)) error {
	objects := jsontext.NewDecoder(in, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
	for {
		raw, err := objects.ReadValue()
		if err != nil {
			var syntax *jsontext.SyntacticError
			if errors.As(err, &syntax) || errors.Is(err, errListTooLong) {
				err = &routing.UnreadableError{Err: err}
			}
			return err
		}
		in.silence.handle(func() {
			onObject(raw)
			in.objectEnd, in.objectStartedAt = objects.InputOffset(), time.Time{}
			in.resetSilence()
		})
	}
}

// watchBody reads the body of a watch while it is received. It shortens the timeout while an object is
// incomplete: until the next watch, no drain and no new server would be noticed.
type watchBody struct {
	io.Reader
	silence     *silenceTimer
	onKeptAlive func()
	// bytes that Read returned; excludes empty lines between objects, which would accumulate in the decoder
	returned  int64
	nonBlank  int64 // bytes up to the last one that is not white space
	objectEnd int64 // bytes up to the end of the latest object
	// objectStartedAt is when the first bytes of the incomplete object were read; zero: there is none.
	objectStartedAt time.Time
}

// Read skips empty lines between objects.
func (w *watchBody) Read(b []byte) (int, error) {
	if w.returned-w.objectEnd >= maxObjectBytes {
		return 0, errListTooLong
	}
	for {
		n, err := w.Reader.Read(b)
		content := len(bytes.TrimRight(b[:n], " \t\r\n"))
		if content > 0 {
			w.nonBlank = w.returned + int64(content)
		}
		// empty lines are not progress of an object
		isInObject := w.nonBlank > w.objectEnd
		if content > 0 || n > 0 && !isInObject {
			w.resetSilence()
		}
		if n > 0 && !isInObject {
			w.onKeptAlive()
		}
		if err != nil || w.nonBlank > w.objectEnd {
			w.returned += int64(n)
			return n, err
		}
	}
}

// resetSilence restarts the timeout for the next bytes, or for what is left of the object's time.
func (w *watchBody) resetSilence() {
	if w.nonBlank <= w.objectEnd {
		w.silence.reset(watchSilenceTimeout, 0)
		return
	}
	elapsed := time.Duration(0)
	if w.objectStartedAt.IsZero() {
		w.objectStartedAt = time.Now()
	} else {
		elapsed = time.Since(w.objectStartedAt)
	}
	w.silence.reset(min(objectStallTimeout, objectTimeout-elapsed), elapsed)
}
