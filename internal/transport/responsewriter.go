package transport

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
)

// writeResponse writes a response, and counts how the request ended. ctx ends if the client closes the
// connection. It aborts the connection if the response can't be written completely: the part that was written
// could look complete. What came of it is written before: a client that gets no byte may take its request for
// one that was never read.
func (f *Listener) writeResponse(
	ctx context.Context,
	w http.ResponseWriter,
	r *http.Request,
	x protocol.Exchange,
	response protocol.Response,
	requestMetrics *metrics.Request,
) {
	if response.Kind == protocol.Malformed || response.Kind == protocol.TooLong {
		w.Header().Set("Connection", "close") // do not wait for the rest of the request
	}
	out := &responseWriter{
		ResponseWriter: w, control: http.NewResponseController(w), isStreaming: response.Streaming,
		writeTimeout: f.bodies.Rules().ClientStallTimeout,
	}
	out.extendDeadline()
	err := x.Encode(out, response)
	if response.BodyStream != nil {
		defer response.BodyStream.CloseRead()
		if err == nil {
			if err = out.copyBody(ctx, response.BodyStream); err != nil && !out.isClientLost {
				out.extendDeadline()
				_ = out.flush()
			}
		}
	}
	requestMetrics.End(outcomeOf(response.Kind, err, out.isClientLost || ctx.Err() != nil))
	if err != nil {
		// HTTP/1.0 has no chunks: only a reset shows that the response is incomplete.
		if errors.Is(err, os.ErrDeadlineExceeded) || !r.ProtoAtLeast(1, 1) {
			connOf(r).discardUnsent()
		}
		slog.Debug("response not delivered", "error", err)
		panic(http.ErrAbortHandler)
	}
}

// outcomeOf returns how a request ended, by its response and the error of writing it. isClientLost reports
// that the client does not read the rest of the response.
func outcomeOf(kind protocol.ResponseKind, err error, isClientLost bool) metrics.Ending {
	switch {
	case err != nil && isClientLost:
		return metrics.Abandoned
	case err != nil:
		return metrics.Error
	case kind == protocol.Served:
		return metrics.OK
	case kind == protocol.Rejected:
		return metrics.Rejected
	}
	return metrics.Error
}

// responseWriter writes a response, as long as the client makes progress in reading it.
type responseWriter struct {
	http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration // timeout of one write
	isStreaming  bool          // the body is not complete yet when its first bytes are written
	extendedAt   time.Time
	isClientLost bool // a write has failed
}

// Write records whether it failed.
func (w *responseWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.isClientLost = w.isClientLost || err != nil
	return n, err
}

func (w *responseWriter) flush() error {
	err := w.control.Flush()
	w.isClientLost = w.isClientLost || err != nil
	return err
}

// deadlineSlack is by how much a write's deadline may be too early. Moving the deadline costs as much as a
// small write.
const deadlineSlack = 10 * time.Millisecond

// extendDeadline sets the deadline of the next write.
func (w *responseWriter) extendDeadline() {
	now := time.Now()
	if now.Sub(w.extendedAt) < deadlineSlack {
		return
	}
	w.extendedAt = now
	_ = w.control.SetWriteDeadline(now.Add(w.writeTimeout)) // the write itself fails on a closed connection
}

// copyBody writes a body while it is received, and returns when the kernel has all of it.
func (w *responseWriter) copyBody(ctx context.Context, body *bodystream.Stream) error {
	hasFlushed := false // the client has a part of the response and waits for more
	for {
		if !body.IsReady() {
			if !hasFlushed {
				hasFlushed = true
				defer context.AfterFunc(ctx, func() { body.Abort(bodystream.ErrAbandoned) })()
			}
			if err := w.flush(); err != nil {
				return err
			}
		}
		b, err := body.ReadBuffer()
		if errors.Is(err, io.EOF) && w.isStreaming {
			err = cmp.Or(w.flush(), err)
		}
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		w.extendDeadline()
		n, err := w.Write(b)
		if err != nil {
			return err
		}
		body.Consume(n)
	}
}
