// Package lab runs a fleet of agents on loopback: processes of the released program, with stand-ins for
// each and a network between them that injects faults. A fault script is a list of a scenario's troubles,
// from a file or from code, with values drawn from a seed. Tests wait for events, not for fixed times. The
// agents end with the lab, even if the process that runs it panics, times out or is killed.
//
// A live rehearsal runs a scenario under load and judges it; a lab has neither load nor judge. It tests what
// agents know and do while some of them are paused, killed or partitioned.
//
//	l := lab.Open(t, lab.Options{Agents: 5, Program: path})
//	l.StartAll(ctx)
//	end, _ := l.InjectNetworkFault(mishap.Fault{From: []int{0}, Impairment: mishap.Impairment{Cut: true}})
//	l.Agent(1).Pause()
//	l.Wait(ctx, "n2 has noticed", func() bool { return l.Agent(2).LogContains("noticed") })
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

// Options configures a lab.
type Options struct {
	Agents  int
	Servers int // number of upstream servers, each with a separate address for each agent; 0: two
	// Zones and Kinds of the upstream servers, by number; a server without an entry is in zone "a" and of kind
	// "rapid".
	Zones, Kinds     []string
	Seed             uint64 // for the datagrams' faults and the values drawn for scripts
	Program          string // path of the agent program; empty: bin/dunestep
	OperatorListener bool   // whether agents have an operator listener, at Agent.OperatorAddr
	// Settings of the deployment, except for Self and Balancers; nil: DefaultSettings().
	Settings *protocol.Settings
	// Configure may change an agent's configuration before each start; may be nil.
	Configure func(*Config)
	// Respond returns an upstream server's reply to an attempt. It is called from the connection's goroutine;
	// nil: status 200 with the server's name.
	Respond func(Attempt) standin.Reply
	// HandleDiscovery may answer an agent's poll or watch of discovery instead of the lab, and reports whether
	// it does; may be nil.
	HandleDiscovery func(agent int, c *standin.Call) bool
	// Log receives the agents' log lines; may be nil.
	Log func(agent, line string)
	// Lanes selects log lines for the timeline; nil: none.
	Lanes timeline.Reader
	// WaitTimeout is the timeout of Wait if its context has no deadline; 0: a minute.
	WaitTimeout time.Duration
}

// Config is the configuration of one start of an agent.
type Config struct {
	Agent, Run int    // agent number from 0; run number from 1
	Program    string // path of the agent program, which may differ between agents
	Env, Args  []string
	// OperatorFile is the text of the operator file; empty: no file.
	OperatorFile string
	// TempDir is $TMPDIR, which is kept across restarts. The default is removed with the lab.
	TempDir string
	// ConfigFile is the configuration file.
	ConfigFile program.Object
}

// Attempt is an attempt that an upstream server received.
type Attempt struct {
	Agent, Server int
	Request       *http.Request
	Body          []byte
}

// Lab is a fleet of agents. Create it with New or Open. Its methods are safe for concurrent use.
type Lab struct {
	// Timeline records faults, process starts and ends, and the entries added by RecordEvent.
	Timeline *timeline.Timeline

	options       Options
	agents        []*Agent
	network       *standin.Network
	spawn         *program.Spawner
	folder        string
	began         time.Time
	lastRequestID atomic.Uint64
	client        http.Client // sends requests over persistent connections

	mu            sync.Mutex
	changed       chan struct{} // closed at the next event
	list          endpointList
	scriptsPlayed int // number of scripts played, part of each script's random seed
	closed        bool
}

const (
	defaultServers     = 2
	defaultWaitTimeout = time.Minute
	watchKeepalive     = 500 * time.Millisecond // between empty lines on an idle watch
	pollInterval       = 20 * time.Millisecond  // for conditions that no event of the lab announces
	// minCheckInterval is the minimum time between two checks of a condition: under load there are hundreds of
	// events per second, and a check may send a request to an agent.
	minCheckInterval = 10 * time.Millisecond

	requestTimeout = 5 * time.Second
	maxIdleConns   = 16 // from the lab's client to each agent
)

// agentsCreated counts the agents of all labs of this process. Each agent has its own IP address; otherwise
// two labs could take each other's ports.
var agentsCreated atomic.Int64

// New opens a lab with its stand-ins and network, without starting an agent. The caller must Close it.
func New(o Options) (*Lab, error) {
	if o.Agents < 1 {
		return nil, fmt.Errorf("lab: %d agents; at least 1 is needed", o.Agents)
	}
	path, err := program.FindAgent(o.Program)
	if err != nil {
		return nil, err
	}
	o.Program = path
	if o.Servers == 0 {
		o.Servers = defaultServers
	}
	if o.WaitTimeout == 0 {
		o.WaitTimeout = defaultWaitTimeout
	}
	if o.Settings == nil {
		o.Settings = DefaultSettings()
	}
	l := &Lab{
		Timeline: &timeline.Timeline{}, options: o, began: time.Now(), changed: make(chan struct{}),
		spawn: program.NewSpawner(), list: newEndpointList(o.Servers),
		client: http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
	}
	l.lastRequestID.Store(uint64(l.began.UnixNano()))
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
	for i := range l.options.Agents {
		a, err := newAgent(l, i)
		l.agents = append(l.agents, a)
		if err != nil {
			return err
		}
		addrs = append(addrs, netip.MustParseAddrPort(a.Addr))
	}
	l.network, err = standin.ListenNetwork(l.agents[0].standinIP, addrs, l.options.Seed)
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

// Open is New for a test: the lab is closed at the end of the test, and a failed test logs the timeline and
// the agents' last log lines.
func Open(t TB, o Options) *Lab {
	t.Helper()
	if err := program.DependOnSources(); err != nil {
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

// Close kills the running agents, ends the stand-ins and removes the lab's folder. A second call does
// nothing.
func (l *Lab) Close() {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if closed {
		return
	}
	l.endAgents(false)
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

// EndAll shuts all agents down gracefully, as SIGTERM does. It returns the problems of their processes over
// all runs: an unexpected exit, an exit with an error, or no exit in time.
func (l *Lab) EndAll() (problems []string) {
	l.endAgents(true)
	for _, a := range l.agents {
		for _, p := range a.program.TotalUsage().Problems {
			problems = append(problems, a.Name+" "+p)
		}
	}
	return problems
}

func (l *Lab) endAgents(gently bool) {
	var all []*program.Agent
	for _, a := range l.agents {
		all = append(all, a.program)
	}
	program.EndAll(all, gently)
}

// Agents returns all agents.
func (l *Lab) Agents() []*Agent { return l.agents }

// Agent returns the agent with number n, from 0.
func (l *Lab) Agent(n int) *Agent { return l.agents[n] }

// StartAll starts all agents that are not running, and waits until all are ready.
func (l *Lab) StartAll(ctx context.Context) error {
	errs := make([]error, len(l.agents))
	var wait sync.WaitGroup
	for i, a := range l.agents {
		wait.Go(func() { errs[i] = a.Start(ctx) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// InjectNetworkFault applies a fault to the network between the agents until end is called.
func (l *Lab) InjectNetworkFault(f mishap.Fault) (end func(), err error) {
	id, err := l.network.BeginFault(f)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("datagrams from %v to %v: %v", f.From, f.To, f.Impairment)
	l.RecordEvent(timeline.Faults, "", text)
	var once sync.Once
	return func() {
		once.Do(func() {
			l.network.EndFault(id)
			l.RecordEvent(timeline.Faults, "", "over: "+text)
		})
	}, nil
}

// NetworkCounts returns the traffic counts of the network between the agents.
func (l *Lab) NetworkCounts() standin.NetworkStats { return l.network.Stats() }

// Now returns the time since the lab was opened, the time base of its timeline.
func (l *Lab) Now() time.Duration { return time.Since(l.began) }

// RecordEvent adds an entry to the timeline at the current time and wakes the callers of Wait.
func (l *Lab) RecordEvent(lane, agent, text string) {
	l.Timeline.Add(l.Now(), lane, agent, text)
	l.signalEvent()
}

// signalEvent wakes the goroutines that wait for an event.
func (l *Lab) signalEvent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Lab) nextEvent() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// withWaitTimeout adds the lab's timeout to a context without a deadline.
func (l *Lab) withWaitTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, l.options.WaitTimeout)
}

// Wait waits until met returns true. It calls met after each event (a log line, an attempt, a call to
// discovery, the start or end of a process, a timeline entry) and every pollInterval. The function may call
// any method of the lab. The error names the condition, what, that was not met before the context ended.
func (l *Lab) Wait(ctx context.Context, what string, met func() bool) error {
	ctx, cancel := l.withWaitTimeout(ctx)
	defer cancel()
	for {
		next, checkedAt := l.nextEvent(), time.Now()
		if met() {
			return nil
		}
		select {
		case <-next:
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
		if err := sleep(ctx, minCheckInterval-time.Since(checkedAt)); err != nil {
			return fmt.Errorf("lab: condition not met: %s: %w", what, err)
		}
	}
}

// maxShownEntries is the number of most recent timeline entries in String.
const maxShownEntries = 100

// String returns the most recent entries of the timeline and the agents' last log lines.
func (l *Lab) String() string {
	var b strings.Builder
	entries, _ := l.Timeline.Entries()
	for _, m := range entries[max(len(entries)-maxShownEntries, 0):] {
		fmt.Fprintf(&b, "%9.3f  %-10s %-4s %s\n", m.At.Seconds(), m.Lane, m.Agent, m.Text)
	}
	for _, a := range l.agents {
		fmt.Fprintf(&b, "last log lines of %s:\n%s\n", a.Name, a.program.LastLogLines())
	}
	return b.String()
}
