package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/timeline"
	"dunestep/internal/standin"
	"dunestep/internal/standin/program"
)

// Processes is the lane of what becomes of the agents' processes.
const Processes = "processes"

// Agent is one of the lab's agents, as processes one after another, with its stand-ins.
type Agent struct {
	Number int
	Name   string
	Addr   string // of its front socket and of its datagrams
	Ops    string // of its operators' door; empty: it has none
	Folder string // its $TMPDIR, unless its Config has another

	lab       *Lab
	round     string // the IP address of what stands round it
	program   *program.Agent
	discovery *standin.Discovery
	servers   []*standin.Server

	mu    sync.Mutex
	runs  int
	lines []string // of its log, of all runs
	cut   int      // that were forgotten
	steps int
	calls map[*standin.Call]bool // watches that are open
}

// keptLines bounds the log lines kept of an agent; past it the older half is forgotten.
const keptLines = 20_000

func newAgent(l *Lab, n int) (*Agent, error) {
	a := &Agent{Number: n, Name: fmt.Sprint("n", n), lab: l, calls: map[*standin.Call]bool{}}
	a.Folder = filepath.Join(l.folder, a.Name)
	a.program = &program.Agent{Name: a.Name, Spawn: l.spawn, Log: a.took}
	own := int(agentsSoFar.Add(1) - 1)
	ip := program.OwnIP(os.Getpid(), own)
	a.round = program.RoundIP(os.Getpid(), own)
	var err error
	if a.Addr, err = program.FreeAddr(ip); err != nil {
		return a, err
	}
	a.program.Addr = a.Addr
	for l.o.Ops && (a.Ops == "" || a.Ops == a.Addr) { // both are free until the program takes them
		if a.Ops, err = program.FreeAddr(ip); err != nil {
			return a, err
		}
	}
	if err := os.Mkdir(a.Folder, 0o700); err != nil {
		return a, err
	}
	if a.discovery, err = standin.ListenDiscovery(a.round+":0", emptyLines, a.called, a.uncalled); err != nil {
		return a, err
	}
	for s := range l.o.Servers {
		server, err := standin.Listen(a.round+":0", standin.Events{
			Came: func(c *standin.Conn, r *http.Request, body []byte) { a.came(c, Step{n, s, r, body}) },
		})
		if err != nil {
			return a, err
		}
		a.servers = append(a.servers, server)
	}
	return a, nil
}

func (a *Agent) close() {
	if a.discovery != nil {
		a.discovery.Close()
	}
	for _, s := range a.servers {
		s.Close()
	}
}

// Launch starts the agent's program, and waits for nothing but the end of the process before.
func (a *Agent) Launch() error {
	a.mu.Lock()
	a.runs++
	run := a.runs
	a.mu.Unlock()
	c := a.config(run)
	if a.lab.o.Shape != nil {
		a.lab.o.Shape(c)
	}
	p := a.program
	p.Program, p.Env, p.Args, p.Operator, p.Folder = c.Program, c.Env, c.Args, c.Operator, c.Folder
	if a.Ops != "" {
		p.Env = append([]string{"LB_OPS=" + a.Ops}, p.Env...)
	}
	_, err := p.Start(program.Line(c.File), a.discovery.Addr, func(unasked bool) {
		text := "ended"
		if unasked {
			text = "ended by itself"
		}
		a.lab.Mark(Processes, a.Name, text)
	})
	if err != nil {
		return fmt.Errorf("lab: agent %s: %w", a.Name, err)
	}
	a.lab.Mark(Processes, a.Name, fmt.Sprintf("run %d starts", run))
	return nil
}

// Start launches the agent, unless it runs, and waits until it says that it is ready.
func (a *Agent) Start(ctx context.Context) error {
	if a.program.Running() == nil {
		if err := a.Launch(); err != nil {
			return err
		}
	}
	return a.Ready(ctx)
}

// Ready waits until the agent says that it is ready. The error has its last words.
func (a *Agent) Ready(ctx context.Context) error {
	ctx, cancel := a.lab.patient(ctx)
	defer cancel()
	for !a.IsReady() { // not by Wait: each event would have every agent that starts asked
		var err error
		if !a.Runs() {
			err = errors.New("it ended before it was ready")
		} else if err = sleep(ctx, lookAgain); err == nil {
			continue
		}
		return fmt.Errorf("lab: agent %s is not ready: %w\n%s", a.Name, err, a.program.LastWords())
	}
	a.lab.Mark(Processes, a.Name, "ready")
	return nil
}

// asks is for how agents are, each time on a connection of its own: the process may be another one by then.
var asks = http.Client{Timeout: askWait, Transport: &http.Transport{DisableKeepAlives: true}}

// IsReady tells whether the agent says now that it is ready.
func (a *Agent) IsReady() bool {
	resp, err := asks.Get("http://" + a.Addr + "/health/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Ask sends a request of a class that is safe to repeat, and returns the answer's status and body. It is the
// first clinic group's of the settings, where there is any.
func (a *Agent) Ask(ctx context.Context, class, key string) (status int, body string, err error) {
	tenant := ""
	if tenants := a.lab.o.Settings.Tenants; len(tenants) > 0 {
		tenant = tenants[0].Name
	}
	return a.AskFor(ctx, tenant, class, key)
}

// AskFor is Ask for a clinic group; empty: of none. Booking servers are not told whose a request is, so its
// target says it too: ?clinic=NAME.
func (a *Agent) AskFor(ctx context.Context, tenant, class, key string) (status int, body string, err error) {
	target := "http://" + a.Addr + "/" + class + "/book?clinic=" + url.QueryEscape(tenant)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "backend.local"
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", a.lab.ids.Add(1)))
	r.Header.Set("X-Time-Left-Ms", "2000")
	if tenant != "" {
		r.Header.Set("X-Account", tenant)
	}
	if key != "" {
		r.Header.Set("Cookie", "sid="+key)
	}
	resp, err := a.lab.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, string(text), err
}

// Serves asks once whether the agent serves a request.
func (a *Agent) Serves(ctx context.Context) bool {
	status, _, err := a.Ask(ctx, a.lab.o.Settings.Classes[0].Name, "")
	return err == nil && status == http.StatusOK
}

// Pid is the number of the process that runs; 0: none does.
func (a *Agent) Pid() int {
	if p := a.program.Running(); p != nil {
		return p.Pid()
	}
	return 0
}

// Pause has the process stand still, and returns when it does; it goes on when it was resumed as often.
func (a *Agent) Pause() { a.pause() }

// pause pauses the process that runs now; what it returns resumes the same.
func (a *Agent) pause() (resume func()) {
	p := a.program.Running()
	if p == nil {
		return func() {}
	}
	p.Pause()
	p.Stands()
	a.lab.Mark(timeline.Faults, a.Name, "paused")
	return func() { a.resume(p) }
}

// Resume undoes a Pause.
func (a *Agent) Resume() {
	if p := a.program.Running(); p != nil {
		a.resume(p)
	}
}

func (a *Agent) resume(p *program.Process) {
	a.lab.Mark(timeline.Faults, a.Name, "resumed")
	p.Resume()
}

// Slow has the process run for that share of the time; 1: always again.
func (a *Agent) Slow(share float64) {
	if p := a.program.Running(); p != nil {
		a.lab.Mark(timeline.Faults, a.Name, fmt.Sprintf("runs for %.3g of the time", share))
		p.Slow(share, scenario.SlowSlice)
	}
}

// Kill ends the process at once, and returns when it has ended.
func (a *Agent) Kill() {
	if p := a.program.Running(); p != nil {
		a.lab.Mark(timeline.Faults, a.Name, "killed")
		p.Kill()
		<-p.Ended()
	}
}

// Drain tells the process to end in good order, and returns at once.
func (a *Agent) Drain() {
	if p := a.program.Running(); p != nil {
		a.lab.Mark(timeline.Faults, a.Name, "told to end")
		p.Drain()
	}
}

// Runs tells whether a process runs.
func (a *Agent) Runs() bool { return a.program.Running() != nil }

// Empty removes all that lies in the agent's Folder, as a machine that is new has it.
func (a *Agent) Empty() error {
	entries, err := os.ReadDir(a.Folder)
	for _, e := range entries {
		err = errors.Join(err, os.RemoveAll(filepath.Join(a.Folder, e.Name())))
	}
	return err
}

// Hinder has the agent's streams to discovery, to the booking servers or to both ("discovery", "servers",
// "both") have a fault of scenario.StreamFaults, until end is called.
func (a *Agent) Hinder(stream string, fault scenario.Fault) (end func()) {
	words := "streams to " + stream + ": " + string(fault)
	a.lab.Mark(timeline.Faults, a.Name, words)
	var ways []*standin.Strait
	if stream != "servers" {
		ways = append(ways, a.discovery.Way())
	}
	if stream != "discovery" {
		for _, s := range a.servers {
			ways = append(ways, s.Way())
		}
	}
	for _, w := range ways {
		w.Begin(fault)
	}
	var once sync.Once
	return func() {
		once.Do(func() {
			for _, w := range ways {
				w.End(fault)
			}
			a.lab.Mark(timeline.Faults, a.Name, "over: "+words)
		})
	}
}

// Server is the stand-in for a booking server as this agent sees it.
func (a *Agent) Server(n int) *standin.Server { return a.servers[n] }

// Steps counts the route steps that booking servers had from the agent.
func (a *Agent) Steps() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.steps
}

func (a *Agent) came(c *standin.Conn, s Step) {
	reply := standin.Reply{Status: http.StatusOK, Body: fmt.Sprintf("booked by s-%d\n", s.Server)}
	if a.lab.o.Answer != nil {
		reply = a.lab.o.Answer(s)
	}
	a.mu.Lock()
	a.steps++
	a.mu.Unlock()
	a.lab.happened()
	c.Reply(reply, "")
}

func (a *Agent) took(_, line string) {
	a.mu.Lock()
	if len(a.lines) >= keptLines {
		a.cut += keptLines / 2
		a.lines = append([]string(nil), a.lines[keptLines/2:]...)
	}
	a.lines = append(a.lines, line)
	a.mu.Unlock()
	a.lab.Timeline.Read(a.lab.o.Lanes, a.lab.Now(), a.Name, line)
	if a.lab.o.Log != nil {
		a.lab.o.Log(a.Name, line)
	}
	a.lab.happened()
}

// Logged is how many lines the agent has written so far, over all its runs: what SaidSince counts from.
func (a *Agent) Logged() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cut + len(a.lines)
}

// Said tells whether a line of the agent's log has a text in it.
func (a *Agent) Said(text string) bool { return a.SaidSince(0, text) }

// SaidSince tells the same of the lines after the first so many.
func (a *Agent) SaidSince(line int, text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.lines[min(max(line-a.cut, 0), len(a.lines)):] {
		if strings.Contains(l, text) {
			return true
		}
	}
	return false
}
