package transport

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	lineEnd   = "\r\n"
	lastChunk = "0\r\n\r\n"
)

// writeStreamed writes a request whose body is still being received. A body whose length is known is written
// once its last byte is, whatever becomes of the stream then: the server may execute the request.
func (u *UpstreamConn) writeStreamed(request *UpstreamRequest) error {
	if err := u.writeParts(net.Buffers{request.Head}); err != nil {
		return err
	}
	if err := u.writeBodyPart(request, request.Body); err != nil {
		return err
	}
	for left := request.Rest.Length(); request.Chunked || left > 0; {
		b, err := request.Rest.ReadBuffer()
		switch {
		case errors.Is(err, io.EOF) && request.Chunked:
			return u.writeParts(net.Buffers{[]byte(lastChunk)})
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Join(ErrClientStopped, err)
		}
		if err := u.writeBodyPart(request, b); err != nil {
			return err
		}
		left -= int64(len(b))
		request.Rest.Consume(len(b))
	}
	return nil
}

// writeBodyPart writes a part of a body, as a chunk if the body is chunked.
func (u *UpstreamConn) writeBodyPart(request *UpstreamRequest, b []byte) error {
	if !request.Chunked {
		return u.writeParts(net.Buffers{b})
	}
	size := strconv.AppendInt(nil, int64(len(b)), 16)
	return u.writeParts(net.Buffers{append(size, lineEnd...), b, []byte(lineEnd)})
}

// writeParts writes parts of a request, and records for how long the server takes nothing of them.
func (u *UpstreamConn) writeParts(parts net.Buffers) error {
	u.writeStall.begin()
	defer u.writeStall.end()
	return connWriter{u.conn}.writeBuffers(parts)
}

// WriteStalledFor returns for how long the server has taken nothing of a streamed request although there was
// something to write; zero while nothing is being written.
func (u *UpstreamConn) WriteStalledFor() time.Duration { return u.writeStall.duration() }

// writeStall measures a write that is under way. It is safe for concurrent use.
type writeStall struct {
	since atomic.Pointer[time.Time] // start of the write; nil: none is under way
}

func (w *writeStall) begin() {
	now := time.Now()
	w.since.Store(&now)
}

func (w *writeStall) end() { w.since.Store(nil) }

func (w *writeStall) duration() time.Duration {
	if since := w.since.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
}
