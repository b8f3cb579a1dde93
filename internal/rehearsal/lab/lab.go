// Package lab runs a fleet of agents, processes of the program that ships, on loopback, with stand-ins round
// each of them and a network between every pair that fails on purpose. A script of faults is a list of a
// scenario's troubles, from a file or from a program, drawn by a seed; what is waited for is an event, never
// a time. However the lab ends, also by a panic, a time-out or a kill of the program that has it, no process
// of its is left.
//
// A live rehearsal plays a day and judges it; a lab has neither load nor judge of its own. It is for what is
// asked of processes: who knows what when which of them is paused, killed or cut off.
//
//	l := lab.Open(t, lab.Options{Agents: 5, Program: path})
//	l.StartAll(ctx)
//	end, _ := l.Spoil(mishap.Fault{From: []int{0}, Way: mishap.Way{Cut: true}})
//	l.Agent(1).Pause()
//	l.Wait(ctx, "n2 has noticed", func() bool { return l.Agent(2).Said("noticed") })
//	end()
package lab

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/timeline"
	"dunestep/internal/standin"
	"dunestep/internal/standin/program"
)

// Options is what a lab is made of.
type Options struct {
	Agents  int
	Servers int // booking servers, each of which every agent finds at an address of its own; 0: two
	// Zones and Kinds are the booking servers', one after the other; the others are in zone "a", and "rapid".
	Zones, Kinds []string
	Seed         uint64 // of the datagrams' fates, and of what a script draws
	Program      string // the agents'; empty: bin/dunestep
	Ops          bool   // agents have their operators' door, at Agent.Ops
	// Settings are the deployment's but for Self and Balancers; nil: Deployment.
	Settings *protocol.Settings
	// Shape may change what an agent is started with, before each of its starts; nil: nobody does.
	Shape func(*Config)
	// Answer is what a booking server answers to a route step, from a goroutine of its connection; nil: a 200
	// with the server's name.
	Answer func(Step) standin.Reply
	// Call may answer an agent's call to discovery in the lab's place, and tells whether it does; nil: nobody
	// does.
	Call func(agent int, c *standin.Call) bool
	// Log is told the agents' logs; nil: nobody is.
	Log func(agent, line string)
	// Lanes is what of the agents' logs goes to the timeline; nil: nothing.
	Lanes timeline.Reader
	// Patience is how long Wait waits where its context has no deadline; 0: a minute.
	Patience time.Duration
}

// Config is what an agent is started with.
type Config struct {
	Agent, Run int    // by number, from 0; the run counts from 1
	Program    string // another build than the others', say
	Env, Args  []string
	// Operator is the text of the operator file; empty: there is none.
	Operator string
	// Folder is $TMPDIR, which lasts over restarts; the lab's own is gone with the lab.
	Folder string
	// File is the configuration file.
	File program.Object
}

// Step is a route step that a booking server has.
type Step struct {
	Agent, Server int
	Request       *http.Request
	Body          []byte
}

// Lab is a fleet. Use New or Open; its methods may be called from any goroutine.
type Lab struct {
	// Timeline has what happened: the faults, the processes, and what whoever uses the lab marks beside them.
	Timeline *timeline.Timeline

	o       Options
	agents  []*Agent
	network *standin.Network
	spawn   *program.Spawner
	folder  string
	began   time.Time
	ids     atomic.Uint64 // of requests
	client  http.Client   // sends requests, and keeps its connections as applications do

	mu      sync.Mutex
	changed chan struct{} // closed at the next event
	list    list
	script  int // scripts so far, for their chances
	closed  bool
}

const (
	defaultServers  = 2
	defaultPatience = time.Minute
	emptyLines      = 500 * time.Millisecond // between those on a watch
	lookAgain       = 20 * time.Millisecond  // at what is no event of the lab's
	// restBetweenLooks is the least time between the beginnings of two: under load there are hundreds of
	// events a second, and a look may ask an agent.
	restBetweenLooks = 10 * time.Millisecond

	askWait         = 5 * time.Second // for an agent's answer
	keptConnections = 16              // of the lab's client to each agent
)

// agentsSoFar counts the agents of all labs of this process: each has an IP address of its own, or two labs
// could take each other's ports.
var agentsSoFar atomic.Int64

// New opens a lab: stand-ins and the network. No agent runs yet. Close it.
func New(o Options) (*Lab, error) {
	if o.Agents < 1 {
		return nil, fmt.Errorf("lab: %d agents", o.Agents)
	}
	path, err := program.Find(o.Program)
	if err != nil {
		return nil, err
	}
	o.Program = path
	if o.Servers == 0 {
		o.Servers = defaultServers
	}
	if o.Patience == 0 {
		o.Patience = defaultPatience
	}
	if o.Settings == nil {
		o.Settings = Deployment()
	}
	l := &Lab{
		Timeline: &timeline.Timeline{}, o: o, began: time.Now(), changed: make(chan struct{}),
		spawn: program.NewSpawner(), list: newList(o.Servers),
		client: http.Client{Timeout: askWait, Transport: &http.Transport{MaxIdleConnsPerHost: keptConnections}},
	}
	l.ids.Store(uint64(l.began.UnixNano()))
	if err := l.open(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Lab) open() (err error) {
	if l.folder, err = os.MkdirTemp("", "lab"); err != nil {
		return err
	}
	var addrs []netip.AddrPort
	for i := range l.o.Agents {
		a, err := newAgent(l, i)
		l.agents = append(l.agents, a)
		if err != nil {
			return err
		}
		addrs = append(addrs, netip.MustParseAddrPort(a.Addr))
	}
	l.network, err = standin.ListenNetwork(l.agents[0].round, addrs, l.o.Seed)
	return err
}

// TB is the part of testing.TB that Open needs.
type TB interface {
	Helper()
	Cleanup(func())
	Fatal(args ...any)
	Failed() bool
	Log(args ...any)
}

// Open is New for a test: the lab ends with it, and a test that fails has the timeline and the agents' last
// words.
func Open(t TB, o Options) *Lab {
	t.Helper()
	if err := program.Sources(); err != nil {
		t.Fatal(err)
	}
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
		if t.Failed() {
			t.Log(l.String())
		}
	})
	return l
}

// Close kills what runs, ends the stand-ins and removes the lab's folder. A second call does nothing.
func (l *Lab) Close() {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if closed {
		return
	}
	l.end(false)
	l.client.CloseIdleConnections()
	l.spawn.Close()
	if l.network != nil {
		l.network.Close()
	}
	for _, a := range l.agents {
		a.close()
	}
	if l.folder != "" {
		_ = os.RemoveAll(l.folder)
	}
}

// EndAll ends all agents in good order, as SIGTERM does, and returns what any of their processes did that it
// must not: end by itself or with an error, or not end in time.
func (l *Lab) EndAll() (problems []string) {
	l.end(true)
	for _, a := range l.agents {
		for _, p := range a.program.Used().Problems {
			problems = append(problems, a.Name+" "+p)
		}
	}
	return problems
}

func (l *Lab) end(gently bool) {
	var all []*program.Agent
	for _, a := range l.agents {
		all = append(all, a.program)
	}
	program.EndAll(all, gently)
}

// Agents are all agents, Agent the one of a number.
func (l *Lab) Agents() []*Agent { return l.agents }

// Agent is the agent of a number, from 0.
func (l *Lab) Agent(n int) *Agent { return l.agents[n] }

// StartAll starts all agents that do not run, and waits until they are ready.
func (l *Lab) StartAll(ctx context.Context) error {
	errs := make([]error, len(l.agents))
	var wait sync.WaitGroup
	for i, a := range l.agents {
		wait.Go(func() { errs[i] = a.Start(ctx) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// Spoil has a fault come over the network between the agents, until end is called.
func (l *Lab) Spoil(f mishap.Fault) (end func(), err error) {
	id, err := l.network.Begin(f)
	if err != nil {
		return nil, err
	}
	words := fmt.Sprintf("datagrams from %v to %v: %v", f.From, f.To, f.Way)
	l.Mark(timeline.Faults, "", words)
	var once sync.Once
	return func() {
		once.Do(func() {
			l.network.End(id)
			l.Mark(timeline.Faults, "", "over: "+words)
		})
	}, nil
}

// Network is what the network between the agents has carried.
func (l *Lab) Network() standin.Figures { return l.network.Figures() }

// Now is the time since the lab was opened, as its timeline has it.
func (l *Lab) Now() time.Duration { return time.Since(l.began) }

// Mark puts something on the timeline, as of now, and is an event.
func (l *Lab) Mark(lane, agent, text string) {
	l.Timeline.Mark(l.Now(), lane, agent, text)
	l.happened()
}

// happened wakes those who wait for an event.
func (l *Lab) happened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Lab) event() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// patient gives a context without a deadline one.
func (l *Lab) patient(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, any := ctx.Deadline(); any {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, l.o.Patience)
}

// Wait waits until something is so, which is looked at after each event: a line of a log, a route step, a
// call to discovery, a process's start or end, a mark; and now and then beside. It may call what it likes of
// the lab. The error says what was waited for in vain.
func (l *Lab) Wait(ctx context.Context, what string, is func() bool) error {
	ctx, cancel := l.patient(ctx)
	defer cancel()
	for {
		next, looked := l.event(), time.Now()
		if is() {
			return nil
		}
		select {
		case <-next:
		case <-time.After(lookAgain):
		case <-ctx.Done():
		}
		if err := sleep(ctx, restBetweenLooks-time.Since(looked)); err != nil {
			return fmt.Errorf("lab: waited in vain: %s: %w", what, err)
		}
	}
}

// mostShown is how many of the last marks String has.
const mostShown = 100

// String is the end of the timeline and the agents' last words.
func (l *Lab) String() string {
	var b strings.Builder
	marks, _ := l.Timeline.Marks()
	for _, m := range marks[max(len(marks)-mostShown, 0):] {
		fmt.Fprintf(&b, "%9.3f  %-10s %-4s %s\n", m.At.Seconds(), m.Lane, m.Agent, m.Text)
	}
	for _, a := range l.agents {
		fmt.Fprintf(&b, "%s said last:\n%s\n", a.Name, a.program.LastWords())
	}
	return b.String()
}
