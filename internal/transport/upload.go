package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
)

const (
	// bodyStallTimeout is how long a request's body may make no progress.
	bodyStallTimeout = time.Second
	// minBodyBytesPerSecond is the minimum rate of a body after requestTimeout.
	minBodyBytesPerSecond = 32 << 10
	// uploadMemoryTimeout is how long a body that may be streamed may wait for its first memory, if the client's
	// time has not begun.
	uploadMemoryTimeout = 2 * time.Second
)

// errSlowBody means that a request's body was received too slowly, or not at all. Its text is sent to
// clients.
var errSlowBody = errors.New("the body does not come")

// pacedBody reads a request's body as long as the client makes progress in sending it: a stalled body is cut
// off, one that is merely slow is not.
type pacedBody struct {
	io.ReadCloser
	control  *http.ResponseController
	deadline time.Time // extended with each byte received
}

func (p *pacedBody) Read(b []byte) (int, error) {
	deadline := time.Now().Add(bodyStallTimeout)
	if p.deadline.Before(deadline) {
		deadline = p.deadline
	}
	_ = p.control.SetReadDeadline(deadline) // the read itself fails on a closed connection
	n, err := p.ReadCloser.Read(b)
	p.deadline = p.deadline.Add(time.Duration(n) * time.Second / minBodyBytesPerSecond)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errSlowBody
	}
	return n, err
}

// extend moves the deadline by a time in which this agent did not read.
func (p *pacedBody) extend(d time.Duration) { p.deadline = p.deadline.Add(d) }

// upload is the rest of a request's body, streamed by a goroutine of its own until stop.
type upload struct {
	body           *pacedBody
	rest           *bodystream.Stream
	requestMetrics *metrics.Request
	conn           *downstreamConn
	cancelRequest  context.CancelFunc // called if the client does not send the rest
	complete       chan time.Time     // receives when the last byte arrived, read or not; capacity 1
	done           chan struct{}      // closed when the goroutine has ended
	arrival        arrivalWatch       // reports to complete while nothing is read

	mu          sync.Mutex
	isAbandoned bool  // the rest is not needed
	err         error // why the body is incomplete
	isComplete  bool
}

// startUpload starts to read the rest of a request's body into memory that was reserved by Decode.
func startUpload(op *protocol.Request, body *pacedBody, grant bytebudget.Grant, conn *downstreamConn,
	requestMetrics *metrics.Request, cancelRequest context.CancelFunc,
) *upload {
	length := int64(-1)
	if op.Length > 0 {
		length = op.Length - int64(len(op.Body))
	}
	u := &upload{
		body: body, rest: bodystream.New(length, grant, maxReadAhead), conn: conn, requestMetrics: requestMetrics,
		cancelRequest: cancelRequest, complete: make(chan time.Time, 1), done: make(chan struct{}),
	}
	u.arrival.conn, u.arrival.timeLeft, u.arrival.onBegun = conn, op.TimeLeft, u.reportComplete
	op.Rest, op.BodyComplete, op.ClientWaited = u.rest, u.complete, u.arrival.clientWaited
	release := op.Release
	op.Release = func() { u.rest.CloseRead(); release() }
	u.arrival.checkNow()
	go u.read()
	return u
}

// read reads the body to its end, or until it is abandoned.
func (u *upload) read() {
	defer close(u.done)
	err := u.readRest()
	if err == nil || errors.Is(err, io.EOF) {
		u.requestMetrics.Start()
		completedAt := u.conn.requestComplete()
		u.rest.CloseWrite(io.EOF)
		u.mu.Lock()
		u.isComplete = true
		u.mu.Unlock()
		u.reportComplete(completedAt)
		return
	}
	u.rest.CloseWrite(err)
	u.mu.Lock()
	u.err = err
	isWanted := !u.isAbandoned && !errors.Is(err, bodystream.ErrAbandoned)
	u.mu.Unlock()
	if isWanted {
		u.cancelRequest()
	}
}

// reportComplete reports when the last byte arrived. Only the first report counts: a body that arrived while
// nothing was read is reported before it is read.
func (u *upload) reportComplete(at time.Time) {
	select {
	case u.complete <- at:
	default:
	}
}

// readRest copies the body to the stream; nil or io.EOF mean that it is complete.
func (u *upload) readRest() error {
	length := u.rest.Length()
	for received := int64(0); received != length; {
		buffer, err := u.waitForBuffer()
		if err != nil {
			return err
		}
		n, err := u.body.Read(buffer)
		u.rest.CommitWrite(n)
		received += int64(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// waitForBuffer waits for memory for the next bytes of the body. That time does not count as the client's
// delay in sending it.
func (u *upload) waitForBuffer() ([]byte, error) {
	waitedSince := time.Now()
	u.conn.pauseReading()
	u.conn.watchClose()
	u.arrival.start()
	buffer, err := u.rest.WriteBuffer()
	u.arrival.stop()
	u.conn.resumeReading()
	u.body.extend(time.Since(waitedSince))
	return buffer, err
}

// stop ends the reading and waits for the goroutine. It reports whether the body is complete, else why not.
func (u *upload) stop() (isComplete bool, err error) {
	u.mu.Lock()
	u.isAbandoned = true
	u.mu.Unlock()
	u.rest.Abort(bodystream.ErrAbandoned)
	u.conn.abandonBody()
	<-u.done
	return u.isComplete, u.err
}
