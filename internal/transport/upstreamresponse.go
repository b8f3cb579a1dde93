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

// maxResponseOverhead bounds the bytes that are read for one response beside the body of a 200.
const maxResponseOverhead = 80 << 10

// readResponse reads a response, and tells one that ended with its connection from an invalid one.
func (u *UpstreamConn) readResponse(s *UpstreamRequest) (protocol.UpstreamResponse, error) {
	u.limited.N = maxResponseOverhead
	rules := u.bodies.Rules()
	r, body, err := protocol.ReadUpstreamResponse(u.reader, rules.MaxBytes, s.IsGraphQL)
	if err == nil && u.limited.N <= 0 && u.reader.Buffered() == 0 { // what ends at the limit may not have ended
		err = ErrInvalidResponse
	}
	if err == nil && body.Reader != nil {
		u.limited.N = math.MaxInt64 // the body's bytes are counted by readBody
		err = u.readBody(s, &r, body, rules)
	}
	if err != nil {
		return protocol.UpstreamResponse{}, u.classifyReadError(err)
	}
	// More than the response: the next request must not take it for its own.
	r.Close = r.Close || u.reader.Buffered() > 0
	return r, nil
}

// classifyReadError distinguishes a response that ended with its connection, or is not wanted, from an
// invalid one.
func (u *UpstreamConn) classifyReadError(err error) error {
	switch {
	case errors.Is(err, bytebudget.ErrFull), errors.Is(err, bodystream.ErrAbandoned):
		return err
	case u.limited.N > 0 && u.source.err != nil:
		return err
	}
	return errors.Join(ErrInvalidResponse, err)
}

// readBody reads the body of a response to its end, in memory that it waits for first. A response that comes
// in time is buffered until it is complete. One that is longer than what may be buffered, or takes longer and
// is not known to be short, is started as a stream.
func (u *UpstreamConn) readBody(s *UpstreamRequest, r *protocol.UpstreamResponse, body protocol.UnreadBody,
	rules BodyRules,
) error {
	minBytes, maxBytes := u.bodies.memoryWindow(body.Length, rules)
	waitedSince := time.Now()
	grant, err := u.bodies.Memory.Reserve(s.ctx, bytebudget.Holder{Name: u.server}, minBytes)
	if err != nil {
		return err
	}
	flow := bodystream.New(body.Length, grant, maxBytes)
	flow.SetDelayedBefore(time.Since(waitedSince))
	r.BodyStream = flow
	start := responseStart{start: func() {
		flow.ForwardingStarted()
		u.responses <- responseEvent{UpstreamResponse: protocol.UpstreamResponse{
			Outcome: r.Outcome, ContentType: r.ContentType, Status: r.Status,
			BodyStream: flow,
		}, isStart: true}
	}}
	err = copyResponseBody(flow, body, rules, s.Streamed, &start)
	isStarted := start.finish()
	if err == nil || err == io.EOF { //nolint:errorlint // only the reader's own end is complete, no wrapped one
		flow.CloseWrite(io.EOF)
		return nil
	}
	if flow.IsStopped() { // it was started, and the rest is not wanted
		flow.CloseWrite(err)
		return err
	}
	flow.CloseWrite(u.classifyReadError(err))
	if !isStarted {
		flow.CloseRead()
	}
	return err
}

// copyResponseBody moves a body into its flow, and starts the response as a stream if it may not be buffered.
func copyResponseBody(flow *bodystream.Stream, body protocol.UnreadBody, rules BodyRules, isStreamed bool,
	start *responseStart,
) error {
	isKnownShort := body.Length >= 0 && body.Length <= rules.BufferedBytes
	for received := int64(0); received != body.Length; {
		buffer, err := flow.WriteBuffer()
		if err != nil { // only after it was started
			return err
		}
		n, err := body.Read(buffer[:min(int64(len(buffer)), rules.MaxBytes+1-received)])
		if received += int64(n); received > rules.MaxBytes { // also if it ends just there
			return protocol.ErrResponseTooLong
		}
		flow.Wrote(n)
		switch {
		case err != nil:
			return err
		case received == body.Length:
		case isStreamed || received > rules.BufferedBytes:
			start.startNow()
		case !isKnownShort:
			start.startWithin(rules.MaxBuffering)
		}
	}
	return nil
}

// responseStart starts a response as a stream: once, and not after its end. A server that writes a long
// response in small pieces would else have its first bytes wait for others, and clients time the first bytes.
type responseStart struct {
	start func()

	mu        sync.Mutex
	isStarted bool
	isEnded   bool
	timer     *time.Timer // of the goroutine that reads
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

// startWithin starts the response that long after the first call.
func (s *responseStart) startWithin(delay time.Duration) {
	if s.timer == nil {
		s.timer = time.AfterFunc(delay, s.startNow)
	}
}

// finish reports whether the response was started; from now on it will not be.
func (s *responseStart) finish() (isStarted bool) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isEnded = true
	return s.isStarted
}
