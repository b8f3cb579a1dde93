package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

const (
	// listTimeout is how long discovery may take to begin its answer, connecting included; it fails a call that
	// waited longer itself. Not longer: see asking, which counts on so much.
	listTimeout = 2 * time.Second
	// watchSilence is one and a half of the empty lines that come every 2 s. Guards against a watch that is cut
	// off, of which nothing else tells: 6 s after a change the agent counts as told of it.
	watchSilence = 3 * time.Second
	// objectStall is how long an object may stand still that has begun to come.
	objectStall    = 750 * time.Millisecond
	maxObjectBytes = 4 << 20
)

var errListTooLong = errors.New("discovery's list is too long")

// CallDiscovery makes one call for the pool config: a watch, from a version on, or the list once. It returns
// when the call has ended, with nil only for a list that came whole. OnResponseStart is called when discovery has
// accepted the call; object is called for each object of the answer, whose bytes are its own only until it
// returns.
func CallDiscovery(ctx context.Context, addr netip.AddrPort, call protocol.ListRequest, begun func(),
	object func([]byte),
) error {
	began := time.Now()
	var dialer net.Dialer
	dialCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	conn, err := dialer.DialContext(dialCtx, "tcp", addr.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	silence := newQuiet(listTimeout-time.Since(began), func() { conn.Close() })
	defer silence.timer.Stop()
	err = func() error {
		if _, err := conn.Write(protocol.AppendListRequest(nil, addr.String(), call)); err != nil {
			return err
		}
		body, err := protocol.ReadListHeader(bufio.NewReader(conn))
		if err != nil {
			return err
		}
		defer body.Close()
		silence.bound(watchSilence)
		begun()
		if !call.Watch {
			list, err := io.ReadAll(io.LimitReader(body, maxObjectBytes))
			if err == nil {
				object(list)
			}
			return err
		}
		return readObjects(&watchBody{Reader: body, silence: silence}, object)
	}()
	if silence.over.Load() {
		return &routing.SilenceError{Duration: time.Duration(silence.wait.Load())}
	}
	return err
}

// readObjects reads the objects of a watch, which has no good end. Each should stand on a line of its own,
// and one that is laid out over several counts the same: else no drain of such a list would be heard of.
func readObjects(in *watchBody, object func([]byte)) error {
	objects := json.NewDecoder(in)
	var raw json.RawMessage
	for {
		if err := objects.Decode(&raw); err != nil {
			var syntax *json.SyntaxError
			if errors.As(err, &syntax) || errors.Is(err, errListTooLong) {
				err = &routing.UnreadableError{Err: err}
			}
			return err
		}
		object(raw)
		in.taken = objects.InputOffset()
		in.rearm()
	}
}

// pieces is a watch's body as it comes. It ends the call when the rest of an object does not come. Guards
// against waiting out the whole silence for one that stopped short: until the next watch no drain and no new
// server is heard of.
type watchBody struct {
	io.Reader
	silence *silenceTimer
	given   int64 // bytes that were handed on; without the empty lines, which would pile up unread
	solid   int64 // the same up to the last one that is no blank
	taken   int64 // the same up to the end of the latest object
}

func (p *watchBody) Read(b []byte) (int, error) {
	if p.given-p.taken >= maxObjectBytes {
		return 0, errListTooLong
	}
	for {
		n, err := p.Reader.Read(b)
		solid := len(bytes.TrimRight(b[:n], " \t\r\n"))
		if solid > 0 {
			p.solid = p.given + int64(solid)
		}
		if coming := p.solid > p.taken; solid > 0 || n > 0 && !coming { // empty lines don't bring the rest
			p.rearm()
		}
		if err != nil || p.solid > p.taken {
			p.given += int64(n)
			return n, err
		}
	}
}

// rearm gives what comes next its time.
func (p *watchBody) rearm() {
	if p.solid > p.taken {
		p.silence.bound(objectStall)
	} else {
		p.silence.bound(watchSilence)
	}
}

// quiet ends a call on which nothing comes for a time, and knows for how long that was.
type silenceTimer struct {
	timer *time.Timer
	wait  atomic.Int64 // nanoseconds
	over  atomic.Bool
}

func newQuiet(wait time.Duration, end func()) *silenceTimer {
	q := &silenceTimer{}
	q.wait.Store(int64(wait))
	q.timer = time.AfterFunc(wait, func() { q.over.Store(true); end() })
	return q
}

// bound gives what comes next a time from now on.
func (q *silenceTimer) bound(wait time.Duration) {
	q.wait.Store(int64(wait))
	q.timer.Reset(wait)
}
