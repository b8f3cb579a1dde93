package transport

import (
	"errors"
	"io"
	"math"
	"sync"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/protocol"
)

// maxResponseOverhead is the maximum number of bytes that are read for one response besides the body of a
// 200.
const maxResponseOverhead = 80 << 10

// readOwnResponse reads the response to a request, after second copies of the response before it.
func (u *UpstreamConn) readOwnResponse(request *UpstreamRequest) (protocol.UpstreamResponse, error) {
	for hasDropped := false; ; hasDropped = true {
		if err := u.peekResponse(); err != nil {
			return u.endOfResponses(err)
		}
		if u.held != nil {
			u.held.release()
			u.held = nil
		}
		u.isReadingResponse.Store(true)
		u.copies.begin(time.Now().Add(-u.TimeSinceData()), request)
		response, err := u.readResponse(request)
		u.isReadingResponse.Store(false)
		response.Close = response.Close || hasDropped // others may follow
		if u.held == nil && !errors.Is(err, errSecondCopy) {
			return response, err
		}
		u.copies.drop()
		if request.OnSetAside != nil {
			request.OnSetAside()
		}
	}
}

// endOfResponses returns the response that was held back, if there is one: none has followed it. The
// connection has ended, or its attempt has.
func (u *UpstreamConn) endOfResponses(err error) (protocol.UpstreamResponse, error) {
	if held := u.held; held != nil {
		u.held = nil
		u.copies.accept(held)
		held.Close = true
		return held.UpstreamResponse, nil
	}
	u.copies.connectionEnded()
	return protocol.UpstreamResponse{}, u.classifyReadError(err)
}

// peekResponse waits for the first byte of a response.
func (u *UpstreamConn) peekResponse() error {
	u.limited.N = maxResponseOverhead
	_, err := u.reader.Peek(1)
	if err == io.EOF { //nolint:errorlint // as bufio returns it
		err = io.ErrUnexpectedEOF
	}
	return err
}

// readResponse reads a response. Its error distinguishes one that was cut off with its connection from an
// invalid one.
func (u *UpstreamConn) readResponse(request *UpstreamRequest) (protocol.UpstreamResponse, error) {
	u.limited.N = maxResponseOverhead
	rules := u.bodies.Rules()
	response, body, err := protocol.ReadUpstreamResponse(u.reader, rules.MaxBytes, request.IsGraphQL)
	if err == nil && u.limited.N <= 0 && u.reader.Buffered() == 0 { // the limit may have cut it off
		err = ErrInvalidResponse
	}
	var print fingerprint
	print.begin(&response, body.Length)
	if err == nil && body.Reader != nil {
		u.limited.N = math.MaxInt64 // the body's bytes are counted by readBody
		err = u.readBody(request, &response, body, rules, &print)
	}
	if err != nil {
		return protocol.UpstreamResponse{}, u.classifyReadError(err)
	}
	if u.held != nil {
		u.held.UpstreamResponse, u.held.print = response, print
		return protocol.UpstreamResponse{}, nil
	}
	u.copies.end(&print, response.Outcome)
	// Bytes after the response must not be mistaken for the next response.
	response.Close = response.Close || u.reader.Buffered() > 0
	return response, nil
}

// classifyReadError distinguishes a response that was cut off with its connection, or is not needed any more,
// from an invalid one, to whose error it adds ErrInvalidResponse.
func (u *UpstreamConn) classifyReadError(err error) error {
	switch {
	case errors.Is(err, bytebudget.ErrFull), errors.Is(err, bodystream.ErrAbandoned),
		errors.Is(err, errSecondCopy):
		return err
	case u.limited.N > 0 && u.source.err != nil:
		return err
	}
	return errors.Join(ErrInvalidResponse, err)
}

// readBody reads the body of a response to its end. A short response is buffered until it is complete. One
// that is longer than rules.BufferedBytes, or takes longer than rules.MaxBuffering and is not known to be
// short, is started as a stream.
func (u *UpstreamConn) readBody(request *UpstreamRequest, response *protocol.UpstreamResponse,
	body protocol.UnreadBody, rules BodyRules, print *fingerprint,
) error {
	stream := bodystream.New(body.Length, bytebudget.Grant{}, 0)
	response.BodyStream = stream
	start := responseStart{start: func() {
		stream.SetForwarding()
		u.responses <- responseEvent{UpstreamResponse: protocol.UpstreamResponse{
			Outcome: response.Outcome, ContentType: response.ContentType, Status: response.Status,
			BodyStream: stream,
		}, isStart: true}
	}}
	if request.OnResponseHead != nil {
		request.OnResponseHead(ResponseHead{
			Length: body.Length, IsShort: rules.isKnownShort(body.Length), Body: stream, Start: start.startNow,
		})
	}
	awaited := bodyAwaited{report: request.OnBodyAwaited}
	err := u.waitForBody(request, stream, body, rules, &awaited)
	if err == nil {
		err = u.copyResponseBody(request, stream, body, rules, &start, print, &awaited)
	}
	return u.endBody(stream, &start, print, err)
}

// waitForBody waits for the first byte of a body, and then for the memory for it. A response that is nothing
// but a head holds no memory, however long its server takes.
func (u *UpstreamConn) waitForBody(request *UpstreamRequest, stream *bodystream.Stream,
	body protocol.UnreadBody, rules BodyRules, awaited *bodyAwaited,
) error {
	if body.Length != 0 && u.reader.Buffered() == 0 {
		awaited.begin()
		_, _ = u.reader.Peek(1) // its error comes again when the body is read
	}
	minBytes, maxBytes := u.bodies.memoryWindow(body.Length, rules)
	holder := bytebudget.Holder{Name: u.server}
	grant, isGranted := u.bodies.Memory.TryReserve(holder, minBytes)
	return stream.WaitForMemory(func() (bytebudget.Grant, error) {
		if isGranted {
			return grant, nil
		}
		awaited.begin()
		return u.bodies.Memory.Reserve(request.ctx, holder, minBytes)
	}, maxBytes)
}

// endBody ends the stream of a body that was read, or failed with an error. It returns why there is no
// response; nil if there is.
func (u *UpstreamConn) endBody(stream *bodystream.Stream, start *responseStart, print *fingerprint,
	err error,
) error {
	isStarted := start.finish()
	if !isStarted && (err == nil || err == io.EOF) && u.copies.isCopy(print) { //nolint:errorlint // as below
		if u.copies.times.isCertain() {
			err = errSecondCopy
		} else {
			u.held = &heldResponse{latency: u.copies.latency}
		}
	}
	if err == nil || err == io.EOF { //nolint:errorlint // a wrapped io.EOF does not mean complete
		stream.CloseWrite(io.EOF)
		return nil
	}
	if stream.IsStopped() { // it was started, and the rest is not needed
		stream.CloseWrite(err)
		return err
	}
	stream.CloseWrite(u.classifyReadError(err))
	if !isStarted {
		stream.CloseRead()
	}
	return err
}

// bodyAwaited reports once that a body has to be waited for.
type bodyAwaited struct {
	report func() // nil: not reported
	isDone bool
}

func (a *bodyAwaited) begin() {
	if a.report != nil && !a.isDone {
		a.isDone = true
		a.report()
	}
}

// copyResponseBody copies a body to its stream, and starts the response if it may not be buffered any longer.
func (u *UpstreamConn) copyResponseBody(request *UpstreamRequest, stream *bodystream.Stream,
	body protocol.UnreadBody, rules BodyRules, start *responseStart, print *fingerprint, awaited *bodyAwaited,
) error {
	isKnownShort := rules.isKnownShort(body.Length)
	for received := int64(0); received != body.Length; {
		buffer, err := stream.WriteBuffer()
		if err != nil { // possible only after the response was started
			return err
		}
		if u.reader.Buffered() == 0 {
			awaited.begin()
		}
		n, err := body.Read(buffer[:min(int64(len(buffer)), rules.MaxBytes+1-received)])
		if received += int64(n); received > rules.MaxBytes { // also if it ends right there
			return protocol.ErrResponseTooLong
		}
		stream.CommitWrite(n)
		if n > 0 && received == int64(n) && request.OnBodyBegun != nil {
			request.OnBodyBegun()
		}
		print.add(buffer[:n])
		switch {
		case err != nil:
			return err
		case received == body.Length:
		case received > rules.BufferedBytes && u.copies.isCopy(print):
			return ErrInvalidResponse // too long to be dropped
		case request.Streamed || received > rules.BufferedBytes:
			start.startNow()
		case !isKnownShort:
			start.startWithin(rules.MaxBuffering)
		}
	}
	return nil
}

// responseStart starts a response as a stream, once and not after its end. Otherwise the first bytes of a
// long response that a server writes in small pieces would be delayed, and clients measure the time to the
// first bytes.
type responseStart struct {
	start func()

	mu        sync.Mutex
	isStarted bool
	isEnded   bool
	timer     *time.Timer // used only by the goroutine that reads
}

// startNow starts the response.
func (s *responseStart) startNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isStarted && !s.isEnded {
		s.isStarted = true
		s.start()
	}
}

// startWithin starts the response a delay after its first call.
func (s *responseStart) startWithin(delay time.Duration) {
	if s.timer == nil {
		s.timer = time.AfterFunc(delay, s.startNow)
	}
}

// finish reports whether the response was started. It can't be started any more from now on.
func (s *responseStart) finish() (isStarted bool) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isEnded = true
	return s.isStarted
}
