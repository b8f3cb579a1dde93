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
	// bodyStall is how long a body may stand still.
	bodyStall = time.Second
	// leastPace is how many bytes a second of a body a client must send, once requestWait is over.
	leastPace = 32 << 10
	// roomWait is how long a body that is passed on as it comes may wait for memory to begin with. Its time does
	// not count yet, but its client is owed something.
	roomWait = 2 * time.Second
)

// errSlow means that a body came too slowly, or not at all.
var errSlow = errors.New("the body does not come")

// pacedBody reads a request's body from a client that gets on with sending it. Guards against one that holds
// its connection with a body that never ends, without cutting off one that is slow.
type pacedBody struct {
	io.ReadCloser
	control *http.ResponseController
	until   time.Time // with what came so far
}

func (p *pacedBody) Read(b []byte) (int, error) {
	until := time.Now().Add(bodyStall)
	if p.until.Before(until) {
		until = p.until
	}
	_ = p.control.SetReadDeadline(until)
	n, err := p.ReadCloser.Read(b)
	p.until = p.until.Add(time.Duration(n) * time.Second / leastPace)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errSlow
	}
	return n, err
}

// heldUp gives the client the time back for which it was not read.
func (p *pacedBody) heldUp(d time.Duration) { p.until = p.until.Add(d) }

// upload is the rest of a body that is passed on as it comes.
type upload struct {
	body    *pacedBody
	rest    *bodystream.Flow
	counted *metrics.Operation
	conn    *downstreamConn
	failed  context.CancelFunc // ends the operation: its client sends no more
	whole   chan struct{}
	done    chan struct{}

	mu   sync.Mutex
	cut  bool  // nobody wants more
	err  error // why it did not come whole
	came bool  // whole
}

// startUpload begins to read the rest of an operation's body, in memory that was asked for with the
// beginning's.
func startUpload(op *protocol.Request, body *pacedBody, grant bytebudget.Grant, conn *downstreamConn,
	counted *metrics.Operation, failed context.CancelFunc,
) *upload {
	length := int64(-1)
	if op.Length > 0 {
		length = op.Length - int64(len(op.Body))
	}
	u := &upload{
		body: body, rest: bodystream.New(length, grant, mostAhead), conn: conn, counted: counted,
		failed: failed, whole: make(chan struct{}), done: make(chan struct{}),
	}
	op.Rest, op.BodyComplete = u.rest, u.whole
	release := op.Release
	op.Release = func() { u.rest.Close(); release() }
	go u.read()
	return u
}

// read brings the body to its end, or to where nobody wants it.
func (u *upload) read() {
	defer close(u.done)
	var err error
	length := u.rest.Length()
	for came := int64(0); err == nil && came != length; {
		var room []byte
		asked := time.Now()
		u.conn.hold(true)
		room, err = u.rest.Room()
		u.conn.hold(false)
		if err != nil {
			break
		}
		u.body.heldUp(time.Since(asked))
		var n int
		n, err = u.body.Read(room)
		u.rest.Came(n)
		came += int64(n)
	}
	if err == nil || errors.Is(err, io.EOF) {
		u.counted.Taken()
		u.conn.taken()
		u.rest.End(io.EOF)
		u.mu.Lock()
		u.came = true
		u.mu.Unlock()
		close(u.whole)
		return
	}
	u.rest.End(err)
	u.mu.Lock()
	u.err = err
	wanted := !u.cut && !errors.Is(err, bodystream.ErrLeft)
	u.mu.Unlock()
	if wanted {
		u.failed()
	}
}

// stop ends the reading, and tells whether the body has come whole, or what the client did wrong.
func (u *upload) stop() (whole bool, err error) {
	u.mu.Lock()
	u.cut = true
	u.mu.Unlock()
	u.rest.Cut(bodystream.ErrLeft)
	u.conn.cutBody()
	<-u.done
	return u.came, u.err
}
