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

// Wire carries out on real sockets, with real agents, what a model carries out by their code. It is called
// from the goroutine that plays the day and must not wait for anything; what comes of it is told to Live.
type Wire interface {
	// Server has every agent find something at a booking server's address; a further call does nothing.
	Server(addr netip.AddrPort) error
	// Gate says what becomes of an agent's wish to connect to an address.
	Gate(agent int, addr netip.AddrPort, g Gate)
	// Ask sends a client's try to an agent, on a connection that is kept or on a new one.
	Ask(f *FrontConn, q *Query)
	// HangUp closes a client's connection.
	HangUp(f *FrontConn)
	// Datagram hands an agent what another has sent.
	Datagram(from, to int, data []byte)
	// Start starts an agent's program, for the run of a number; Kill ends it at once, Drain tells it to end.
	Start(agent, run int, known protocol.EndpointList)
	Kill(agent int)
	Drain(agent int)
	// Pause has an agent's process stand still, Resume go on.
	Pause(agent int)
	Resume(agent int)
	// Hinder has an agent's streams to discovery have a fault of streams, or no longer.
	Hinder(agent int, fault scenario.Fault, on bool)
}

// Gate is what becomes of a wish to connect.
type Gate uint8

// The gates: it is accepted, refused, or not answered at all.
const (
	Open Gate = iota
	Shut
	Mute
)

// A StepConn is an agent's connection to a booking server, as the wire has it.
type StepConn interface {
	Answer(a Answer) // writes an answer
	Reset()          // breaks the connection
	Close()          // ends it in good order
}

// Answer is what a booking server answers.
type Answer struct {
	Op      uint32
	Attempt int
	Kind    AnswerKind
	Fault   scenario.Fault // of the wire, in place of a sound answer
}

// AnswerKind is what is said in an answer.
type AnswerKind uint8

// The kinds of answer.
const (
	AnswerServed AnswerKind = iota
	AnswerError
	AnswerUnprocessed
	AnswerSpoilt
)

// A ListConn is an agent's call to discovery, as the wire has it.
type ListConn interface {
	Begin()                           // the call is accepted
	Say(config protocol.EndpointList) // an object of the list
	End(ok bool)                      // the call is over; false: it has failed
	Silence()                         // nothing more comes on it, and it stays open
}

// Query is a client's try, for the wire.
type Query struct {
	Agent    int
	Op       uint32
	Class    string
	Tenant   string
	Key      string
	Repeat   bool
	Update   bool // by POST
	TimeLeft time.Duration
	Due      time.Duration // when it should go out
	try      *try
}

// Final is an agent's final answer.
type Final struct {
	Answer  record.Answer
	After   time.Duration
	Attempt int  // whose body it is; below zero: no booking server's
	Closes  bool // the connection carries no further try
}

// FrontConn is a client's connection to an agent. The wire keeps what it needs of it in Handle.
type FrontConn = frontConn

// FrontHandle is the wire's part of a client's connection.
type FrontHandle any

// Lateness is how late the kit itself was.
type Lateness struct {
	Happenings *hdrhistogram.Histogram // of everything that it had to do at a time, in microseconds
	Most       time.Duration
	MostAt     time.Duration // of the day
}

// Live is a day that is played in real time. Its methods may be called from any goroutine.
type Live struct {
	w     *world
	ready []bool // of the agents, before the day begins
	set   bool   // they all are, and time zero is set

	mu     sync.Mutex
	inbox  []posted
	began  time.Time // the day's time zero
	asleep atomic.Bool
	wake   int // an event descriptor
	late   Lateness
}

// posted is something that came from the wire.
type posted struct {
	at   time.Duration
	what happening
}

// called is a happening that is a call.
type called func()

func (c called) happen() { c() }

const (
	// setUp is how long before its time zero a day may begin, for its agents to get ready.
	setUp = 60 * time.Second
	// settles is what ready agents are given until the first request.
	settles = 500 * time.Millisecond
	// gateStep is how often it is looked who may connect where.
	gateStep = 10 * time.Millisecond
	// remembers is how long past its time a try is known to the booking servers.
	remembers = 2 * time.Second
)

// errNotReady ends a day whose agents do not get ready.
var errNotReady = errors.New("the agents did not get ready within a minute")

// NewLive draws a day that is to be played in real time.
func NewLive(set *scenario.Scenario, seed uint64, sink record.Sink, o Options) (*Live, error) {
	w := &world{
		seed: seed, set: set, sink: sink, o: o, at: map[netip.AddrPort]*server{}, slow: 1, keeps: 1,
		tries: map[uint32]*try{},
	}
	w.record.w = w
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, err
	}
	v := &Live{w: w, wake: fd, ready: make([]bool, set.Agents.Count)}
	v.late.Happenings = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	w.live = v
	return v, nil
}

// Close gives back what the day holds of the system; it must not be played any more.
func (v *Live) Close() { _ = unix.Close(v.wake) }

// Deployment is the agents' settings, for their configuration files.
func (v *Live) Deployment(agent int) protocol.Settings {
	c := &v.w.set.Connections
	return protocol.Settings{
		Settings: v.w.deployment(v.w.agents[agent]), ConnIdleTimeout: c.Idle,
		ConnectTimeout: c.ConnectTimeout,
	}
}

// Zero is the day's time zero on the clock of the machine, as far as it is known.
func (v *Live) Zero() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.began
}

// StartedMS is a start on the list in the clock of the machine; zero where it was long ago.
func (v *Live) StartedMS(started time.Duration) int64 {
	if started == 0 {
		return 0
	}
	return v.Zero().Add(started - clockStart).UnixMilli()
}

// Late is how late the kit was, once the day is over.
func (v *Live) Late() Lateness { return v.late }

// Play plays the day.
func (v *Live) Play(ctx context.Context, wire Wire) error {
	w := v.w
	w.wire = wire
	v.began = time.Now().Add(setUp)
	w.now = -setUp
	w.build()
	if w.set.Clients.GraphQL > 0 { // its clients ask by the class that a front would tell
		if err := w.buildGraphQL(); err != nil {
			return err
		}
	}
	for _, s := range w.servers {
		if err := wire.Server(s.addr); err != nil {
			return err
		}
	}
	(*gatesLook)(w).happen()
	for _, a := range w.agents {
		_ = a.begin()
	}
	w.enter(time.Second, rankSample, &sampling{w: w})
	defer context.AfterFunc(ctx, v.nudge)()
	return v.run(ctx)
}

// run has everything happen when it is due, until the last request is over and the servers have done their
// work.
func (v *Live) run(ctx context.Context) error {
	w := v.w
	last := w.set.Day.Length
	for i := range w.set.Classes {
		last = max(last, w.set.Day.Length+w.set.Classes[i].Deadline)
	}
	shown := time.Duration(0)
	for {
		v.take()
		wall := v.clock()
		for n := 0; n < lookEvery; n++ {
			what, is := w.next(wall)
			if !is {
				break
			}
			v.note(wall)
			what.happen()
		}
		switch {
		case w.failed != nil || ctx.Err() != nil:
			w.sink.End(max(w.now, 0))
			if w.failed != nil {
				return w.failed
			}
			return ctx.Err()
		case !v.set && v.allReady():
			v.begin()
		case !v.set && wall >= -time.Second:
			w.sink.End(0)
			return errNotReady
		case w.now >= last+lingers || w.now >= w.set.Day.Length && w.open == 0 && w.quiet():
			v.finish()
			return nil
		}
		if second := w.now.Truncate(time.Second); w.o.Progress != nil && second > shown {
			shown = second
			w.o.Progress(second)
		}
		v.sleep()
	}
}

// note counts how late something happens. Before the day begins nothing depends on it.
func (v *Live) note(wall time.Duration) {
	late := wall - v.w.now
	if v.w.now <= 0 {
		return
	}
	_ = v.late.Happenings.RecordValue(max(late.Microseconds(), 1))
	if late > v.late.Most {
		v.late.Most, v.late.MostAt = late, v.w.now
	}
}

// finish ends the day.
func (v *Live) finish() {
	for _, s := range v.w.servers {
		if s.process.state != processDown {
			s.process.die()
		}
	}
	v.w.sink.End(v.w.now)
}

func (v *Live) allReady() bool {
	for _, ready := range v.ready {
		if !ready {
			return false
		}
	}
	return true
}

// begin sets the day's time zero, now that all agents are ready.
func (v *Live) begin() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.began, v.set = time.Now().Add(settles), true
}

// clock is the day's time on the machine's clock.
func (v *Live) clock() time.Duration { return time.Since(v.Zero()) }

// post has something that came from the wire happen, as of now.
func (v *Live) post(what happening) {
	v.mu.Lock()
	v.inbox = append(v.inbox, posted{time.Since(v.began), what})
	v.mu.Unlock()
	if v.asleep.CompareAndSwap(true, false) {
		v.nudge()
	}
}

func (v *Live) nudge() {
	one := [8]byte{0: 1}
	_, _ = unix.Write(v.wake, one[:])
}

// take enters what has come from the wire.
func (v *Live) take() {
	v.mu.Lock()
	came := v.inbox
	v.inbox = nil
	v.mu.Unlock()
	for _, p := range came {
		v.w.enter(p.at, rankArrival, p.what)
	}
}

// sleep waits until something is due or has come. It waits in the kernel itself: the library's timers come up
// to a millisecond late on an idle machine.
func (v *Live) sleep() {
	wait := 100 * time.Millisecond
	if at, is := v.w.NextAt(); is {
		wait = min(wait, at-v.clock())
	}
	if wait <= 0 {
		return
	}
	v.asleep.Store(true)
	v.mu.Lock()
	any := len(v.inbox) > 0
	v.mu.Unlock()
	if !any {
		timeout := unix.NsecToTimespec(int64(wait))
		fds := []unix.PollFd{{Fd: int32(v.wake), Events: unix.POLLIN}}
		if n, err := unix.Ppoll(fds, &timeout, nil); err == nil && n > 0 {
			var count [8]byte
			_, _ = unix.Read(v.wake, count[:])
		}
	}
	v.asleep.Store(false)
}
