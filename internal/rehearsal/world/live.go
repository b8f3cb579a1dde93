package world

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Wire connects a run in real time to real agents over sockets. Its methods are called from the
// goroutine that runs the simulation and must not block; results are reported to LiveRun.
type Wire interface {
	// Server makes an upstream server's address reachable for every agent. A repeated call has no
	// effect.
	Server(addr netip.AddrPort) error
	// Gate sets how an agent's connection requests to an address are handled.
	Gate(agent int, addr netip.AddrPort, g Gate)
	// Send sends a client's try to an agent, on a kept connection or a new one.
	Send(f *ClientConn, q *ClientRequest)
	// CloseConn closes a client's connection.
	CloseConn(f *ClientConn)
	// Datagram delivers a datagram from one agent to another.
	Datagram(from, to int, data []byte)
	// Start starts an agent's program as run number run; Kill kills it, Drain starts its shutdown.
	Start(agent, run int, known protocol.EndpointList)
	Kill(agent int)
	Drain(agent int)
	// Pause stops an agent's process, Resume continues it.
	Pause(agent int)
	Resume(agent int)
	// SetStreamFault turns a stream fault of an agent's connections to discovery on or off.
	SetStreamFault(agent int, fault scenario.ConnFault, on bool)
}

// Gate is how a connection request is handled.
type Gate uint8

// The gates: a connection request is accepted, refused or left unanswered.
const (
	Accept Gate = iota
	Refuse
	Ignore
)

// An AttemptConn is the wire's side of an agent's connection to an upstream server.
type AttemptConn interface {
	Answer(a Answer) // writes an answer
	Reset()          // breaks the connection
	Close()          // closes it in an orderly way
}

// Answer is an upstream server's answer.
type Answer struct {
	Op      uint32
	Attempt int
	Kind    AnswerKind
	Fault   scenario.ConnFault // fault on the wire that replaces a valid answer
}

// AnswerKind is the kind of an answer.
type AnswerKind uint8

// The kinds of answers.
const (
	AnswerServed AnswerKind = iota
	AnswerError
	AnswerUnprocessed
	AnswerUnreadable
)

// A CallConn is the wire's side of an agent's call to discovery.
type CallConn interface {
	Accept()                           // the call is accepted
	Send(config protocol.EndpointList) // sends a full list or changes
	End(ok bool)                       // ends the call; false: it has failed
	Silence()                          // sends nothing more and keeps the call open
}

// ClientRequest is a client's try in the form that the wire sends.
type ClientRequest struct {
	Agent     int
	RequestID uint32
	Class     string
	Tenant    string
	Key       string
	IsRetry   bool // marked as a retry
	IsUpdate  bool // sent as a POST
	TimeLeft  time.Duration
	SendAt    time.Duration // when it is to be sent
	try       *try
}

// FinalAnswer is an agent's final answer.
type FinalAnswer struct {
	Answer     record.Answer
	RetryAfter time.Duration // Retry-After; zero: none
	Attempt    int           // the attempt that produced the body; negative: none did
	Closes     bool          // the connection cannot carry another try
}

// ClientConn is a client's connection to an agent. The wire keeps its own state of it in Handle.
type ClientConn = clientConn

// ClientConnHandle is the wire's state of a client's connection.
type ClientConnHandle any

// Lateness is how late the rehearsal kit itself fired its events.
type Lateness struct {
	Events *hdrhistogram.Histogram // of all events, in microseconds
	Max    time.Duration
	MaxAt  time.Duration // virtual time of the maximum
}

// LiveRun is a run in real time. Its methods may be called from any goroutine.
type LiveRun struct {
	w       *world
	ready   []bool // by agent, before the start
	started bool   // all agents are ready and time zero is set

	mu       sync.Mutex
	inbox    []inboxItem
	zero     time.Time // time zero of the run
	sleeping atomic.Bool
	eventFD  int // eventfd
	late     Lateness
}

// inboxItem is an event from the wire.
type inboxItem struct {
	at    time.Duration
	event event
}

// eventFunc is an event that calls a function.
type eventFunc func()

func (c eventFunc) fire() { c() }

const (
	// maxSetup is the time in which the agents must become ready, before time zero.
	maxSetup = 60 * time.Second
	// startDelay is the time from when all agents are ready to time zero.
	startDelay = 500 * time.Millisecond
	// gateInterval is the time between two updates of the gates.
	gateInterval = 10 * time.Millisecond
	// tryRetention is how long after a try's deadline upstream servers still accept attempts of it.
	tryRetention = 2 * time.Second
)

// errNotReady ends a run whose agents do not get ready within maxSetup.
var errNotReady = errors.New("the agents did not get ready within a minute")

// NewLiveRun prepares a run in real time.
func NewLiveRun(sc *scenario.Scenario, seed uint64, sink record.Sink, o Options) (*LiveRun, error) {
	w := &world{
		seed: seed, scenario: sc, sink: sink, options: o, byAddr: map[netip.AddrPort]*server{},
		slowdown: 1, trafficKept: 1,
		tries: map[uint32]*try{},
	}
	w.record.w = w
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, err
	}
	v := &LiveRun{w: w, eventFD: fd, ready: make([]bool, sc.Agents.Count)}
	v.late.Events = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	w.live = v
	return v, nil
}

// Close releases the system resources of the run, which must have ended.
func (v *LiveRun) Close() { _ = unix.Close(v.eventFD) }

// Deployment returns an agent's settings, for its configuration file.
func (v *LiveRun) Deployment(agent int) protocol.Settings {
	c := &v.w.scenario.Connections
	return protocol.Settings{
		Settings: v.w.deployment(v.w.agents[agent]), ConnIdleTimeout: c.Idle,
		ConnectTimeout: c.ConnectTimeout,
	}
}

// Zero returns the run's time zero on the machine's clock. It may move until all agents are ready.
func (v *LiveRun) Zero() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.zero
}

// StartedMS converts a process start on the list to the machine's clock, in Unix milliseconds; zero:
// before the run.
func (v *LiveRun) StartedMS(started time.Duration) int64 {
	if started == 0 {
		return 0
	}
	return v.Zero().Add(started - clockStart).UnixMilli()
}

// Lateness returns how late the kit was, once the run has ended.
func (v *LiveRun) Lateness() Lateness { return v.late }

// Play runs the scenario in real time. It returns an error if the agents do not get ready, the wire
// fails or the context ends.
func (v *LiveRun) Play(ctx context.Context, wire Wire) error {
	w := v.w
	w.wire = wire
	v.zero = time.Now().Add(maxSetup)
	w.now = -maxSetup
	w.build()
	if w.scenario.Clients.GraphQL > 0 { // clients name the class that a classifier would choose
		if err := w.buildGraphQL(); err != nil {
			return err
		}
	}
	for _, s := range w.servers {
		if err := wire.Server(s.addr); err != nil {
			return err
		}
	}
	(*gateUpdate)(w).fire()
	for _, a := range w.agents {
		_ = a.start()
	}
	w.schedule(time.Second, rankSample, &sampling{w: w})
	defer context.AfterFunc(ctx, v.wakeUp)()
	return v.run(ctx)
}

// run fires events when they are due, until the last request has ended and the servers have finished
// their work.
func (v *LiveRun) run(ctx context.Context) error {
	w := v.w
	last := w.scenario.Run.Length
	for i := range w.scenario.Classes {
		last = max(last, w.scenario.Run.Length+w.scenario.Classes[i].Deadline)
	}
	reported := time.Duration(0)
	for {
		v.drainInbox()
		wall := v.clock()
		for n := 0; n < cancelCheckEvents; n++ {
			ev, ok := w.next(wall)
			if !ok {
				break
			}
			v.recordLateness(wall)
			ev.fire()
		}
		switch {
		case w.failed != nil || ctx.Err() != nil:
			w.sink.End(max(w.now, 0))
			if w.failed != nil {
				return w.failed
			}
			return ctx.Err()
		case !v.started && v.allReady():
			v.setZero()
		case !v.started && wall >= -time.Second:
			w.sink.End(0)
			return errNotReady
		case w.now >= last+maxOverrun || w.now >= w.scenario.Run.Length && w.pending == 0 && w.idle():
			v.finish()
			return nil
		}
		if second := w.now.Truncate(time.Second); w.options.Progress != nil && second > reported {
			reported = second
			w.options.Progress(second)
		}
		v.sleep()
	}
}

// recordLateness records how late an event fires. Events before time zero do not count.
func (v *LiveRun) recordLateness(wall time.Duration) {
	late := wall - v.w.now
	if v.w.now <= 0 {
		return
	}
	_ = v.late.Events.RecordValue(max(late.Microseconds(), 1))
	if late > v.late.Max {
		v.late.Max, v.late.MaxAt = late, v.w.now
	}
}

// finish ends the run.
func (v *LiveRun) finish() {
	for _, s := range v.w.servers {
		if s.process.state != processDown {
			s.process.terminate()
		}
	}
	v.w.sink.End(v.w.now)
}

func (v *LiveRun) allReady() bool {
	for _, ready := range v.ready {
		if !ready {
			return false
		}
	}
	return true
}

// setZero sets the run's time zero when all agents are ready.
func (v *LiveRun) setZero() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.zero, v.started = time.Now().Add(startDelay), true
}

// clock returns the run's time by the machine's clock.
func (v *LiveRun) clock() time.Duration { return time.Since(v.Zero()) }

// post schedules an event from the wire for now.
func (v *LiveRun) post(ev event) {
	v.mu.Lock()
	v.inbox = append(v.inbox, inboxItem{time.Since(v.zero), ev})
	v.mu.Unlock()
	if v.sleeping.CompareAndSwap(true, false) {
		v.wakeUp()
	}
}

func (v *LiveRun) wakeUp() {
	one := [8]byte{0: 1}
	_, _ = unix.Write(v.eventFD, one[:])
}

// drainInbox schedules the events that have arrived from the wire.
func (v *LiveRun) drainInbox() {
	v.mu.Lock()
	items := v.inbox
	v.inbox = nil
	v.mu.Unlock()
	for _, p := range items {
		v.w.schedule(p.at, rankArrival, p.event)
	}
}

// sleep waits until an event is due or has arrived. It uses ppoll because the Go runtime's timers fire
// up to a millisecond late on an idle machine.
func (v *LiveRun) sleep() {
	wait := 100 * time.Millisecond
	if at, ok := v.w.NextAt(); ok {
		wait = min(wait, at-v.clock())
	}
	if wait <= 0 {
		return
	}
	v.sleeping.Store(true)
	v.mu.Lock()
	nonEmpty := len(v.inbox) > 0
	v.mu.Unlock()
	if !nonEmpty {
		timeout := unix.NsecToTimespec(int64(wait))
		fds := []unix.PollFd{{Fd: int32(v.eventFD), Events: unix.POLLIN}}
		if n, err := unix.Ppoll(fds, &timeout, nil); err == nil && n > 0 {
			var count [8]byte
			_, _ = unix.Read(v.eventFD, count[:])
		}
	}
	v.sleeping.Store(false)
}
