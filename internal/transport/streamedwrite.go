package transport

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/routing"
)

const (
	lineEnd   = "\r\n"
	lastChunk = "0\r\n\r\n"
)

// streamedWrite writes one request whose body is still being received.
type streamedWrite struct {
	conn    *UpstreamConn
	request *UpstreamRequest
	result  chan error // receives how the write ended; capacity 1
	// isEnding is set right before the last bytes are handed to the system. Until then no server can have the
	// whole request.
	isEnding atomic.Bool
}

func newStreamedWrite(u *UpstreamConn, request *UpstreamRequest) *streamedWrite {
	return &streamedWrite{conn: u, request: request, result: make(chan error, 1)}
}

// run writes the request and reports the result.
func (w *streamedWrite) run() { w.result <- w.write() }

// write writes the request. A body whose length is known is written once its last byte is, whatever becomes
// of the stream then: the server may execute the request.
func (w *streamedWrite) write() error {
	rest, isChunked := w.request.Rest, w.request.Chunked
	if err := w.conn.writeParts(net.Buffers{w.request.Head}); err != nil {
		return err
	}
	left := rest.Length()
	if err := w.writeBodyPart(w.request.Body, left); err != nil {
		return err
	}
	for isChunked || left > 0 {
		b, err := rest.ReadBuffer()
		switch {
		case errors.Is(err, io.EOF) && isChunked:
			w.isEnding.Store(true)
			return w.conn.writeParts(net.Buffers{[]byte(lastChunk)})
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Join(ErrClientStopped, err)
		}
		left -= int64(len(b))
		if err := w.writeBodyPart(b, left); err != nil {
			return err
		}
		rest.Consume(len(b))
	}
	return nil
}

// writeBodyPart writes a part of a body, as a chunk if the body is chunked. left is the length of what
// follows; it means nothing for a chunked body.
func (w *streamedWrite) writeBodyPart(b []byte, left int64) error {
	if !w.request.Chunked {
		w.isEnding.Store(left <= 0)
		return w.conn.writeParts(net.Buffers{b})
	}
	size := strconv.AppendInt(nil, int64(len(b)), 16)
	return w.conn.writeParts(net.Buffers{append(size, lineEnd...), b, []byte(lineEnd)})
}

// resolveEarlyResponse handles a response that arrived while its request was being written, and reports
// whether the request was written completely, which may be known late. The response is not put back into the
// channel: its end may be there already, and nothing would receive either.
func (w *streamedWrite) resolveEarlyResponse(event responseEvent) (early *responseEvent, isWritten bool) {
	hasEnded, err := w.waitWhileEnding()
	if hasEnded && err == nil {
		return &event, true
	}
	if !hasEnded {
		w.request.Rest.Abort(bodystream.ErrAbandoned)
		w.conn.Close()
		if err = <-w.result; err == nil { // it may have been executed, whatever happens to the response
			event.Close = true
			return &event, true
		}
	}
	if event.isStart {
		event.BodyStream.CloseRead()
		event = <-w.conn.responses
	}
	if event.err == nil && event.Outcome == balancer.Rejected { // the only response valid this early
		return &event, false
	}
	if event.BodyStream != nil {
		event.BodyStream.CloseRead()
	}
	return &responseEvent{err: errors.Join(ErrNotWritten, ErrInvalidResponse, event.err)}, false
}

// writableCheckInterval is the interval at which a write that is about to end is checked.
const writableCheckInterval = 5 * time.Millisecond

// waitWhileEnding waits for the result of a write whose last bytes are being handed to the system, however
// late its goroutine is scheduled. hasEnded is false if bytes are missing that were not handed over, or the
// system takes none: a server that has the whole request has made room for them. The end of the attempt ends
// the wait, as it closes the connection.
func (w *streamedWrite) waitWhileEnding() (hasEnded bool, err error) {
	select {
	case err = <-w.result:
		return true, err
	default:
	}
	check := time.NewTicker(writableCheckInterval)
	defer check.Stop()
	for w.isEnding.Load() && w.conn.isWritable() {
		select {
		case err = <-w.result:
			return true, err
		case <-check.C:
		}
	}
	return false, nil
}

// writeParts writes parts of a request.
func (u *UpstreamConn) writeParts(parts net.Buffers) error {
	u.isWriting.Store(true)
	defer u.isWriting.Store(false)
	return connWriter{u.conn}.writeBuffers(parts)
}

// isWritable reports whether the system takes bytes of a connection now, or the connection has ended.
func (u *UpstreamConn) isWritable() (isWritable bool) {
	err := u.rawConn.Control(func(fd uintptr) { isWritable = isWritableSocket(fd) })
	return err != nil || isWritable
}

// Uptake returns what the server's machine has taken of what was written; false where the system does not
// tell. Whether the request's last byte was written, the caller knows.
func (u *UpstreamConn) Uptake() (sample routing.UptakeSample, isKnown bool) {
	// Asked first: what a write that has ended has handed over is pending, or acknowledged.
	isWriting := u.isWriting.Load()
	err := u.rawConn.Control(func(fd uintptr) {
		sample.Acknowledged, sample.HasPending, isKnown = sentBytes(fd)
	})
	sample.HasPending = sample.HasPending || isWriting
	return sample, isKnown && err == nil
}
