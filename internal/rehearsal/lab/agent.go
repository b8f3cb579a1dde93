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

// Processes is the timeline lane of process starts and ends.
const Processes = "processes"

// Agent is one of the lab's agents with its stand-ins. Its process may be restarted.
type Agent struct {
	Number       int
	Name         string
	Addr         string // of its listener (TCP) and its gossip (UDP)
	OperatorAddr string // of its operator listener; empty: it has none
	TempDir      string // its $TMPDIR, unless Config.TempDir replaces it

	lab       *Lab
	standinIP string // IP address of its stand-ins
	program   *program.Agent
	discovery *standin.Discovery
	servers   []*standin.Server

	mu           sync.Mutex
	runs         int
	lines        []string // last log lines, of all runs
	droppedLines int      // number of older log lines that were dropped
	attempts     int
	watches      map[*standin.Call]bool // open watches of discovery
}

// maxLogLines limits the log lines kept of an agent. At the limit the older half is dropped.
const maxLogLines = 20_000

func newAgent(l *Lab, n int) (*Agent, error) {
	a := &Agent{Number: n, Name: fmt.Sprint("n", n), lab: l, watches: map[*standin.Call]bool{}}
	a.TempDir = filepath.Join(l.folder, a.Name)
	a.program = &program.Agent{Name: a.Name, Spawner: l.spawn, Log: a.logReceived}
	number := int(agentsCreated.Add(1) - 1)
	ip := program.AgentIP(os.Getpid(), number)
	a.standinIP = program.StandInIP(os.Getpid(), number)
	var err error
	if a.Addr, err = program.FreeAddr(ip); err != nil {
		return a, err
	}
	a.program.Addr = a.Addr
	// FreeAddr may repeat an unused port.
	for l.options.OperatorListener && (a.OperatorAddr == "" || a.OperatorAddr == a.Addr) {
		if a.OperatorAddr, err = program.FreeAddr(ip); err != nil {
			return a, err
		}
	}
	if err := os.Mkdir(a.TempDir, 0o700); err != nil {
		return a, err
	}
	if a.discovery, err = standin.ListenDiscovery(a.standinIP+":0", watchKeepalive, a.discoveryCalled,
		a.discoveryEnded); err != nil {
		return a, err
	}
	for s := range l.options.Servers {
		server, err := standin.Listen(a.standinIP+":0", standin.Events{
			RequestReceived: func(c *standin.Conn, r *http.Request, body []byte) {
				a.attemptReceived(c, Attempt{n, s, r, body})
			},
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

// Launch starts the agent's program after its previous process has ended. It does not wait until the agent is
// ready.
func (a *Agent) Launch() error {
	a.mu.Lock()
	a.runs++
	run := a.runs
	a.mu.Unlock()
	config := a.config(run)
	if a.lab.options.Configure != nil {
		a.lab.options.Configure(config)
	}
	p := a.program
	p.Program, p.Env, p.Args, p.Operator, p.TempDir =
		config.Program, config.Env, config.Args, config.OperatorFile, config.TempDir
	if a.OperatorAddr != "" {
		p.Env = append([]string{"LB_OPS=" + a.OperatorAddr}, p.Env...)
	}
	_, err := p.Start(program.JSON(config.ConfigFile), a.discovery.Addr, func(unexpected bool) {
		text := "exited"
		if unexpected {
			text = "exited unexpectedly"
		}
		a.lab.RecordEvent(Processes, a.Name, text)
	})
	if err != nil {
		return fmt.Errorf("lab: agent %s: %w", a.Name, err)
	}
	a.lab.RecordEvent(Processes, a.Name, fmt.Sprintf("run %d starts", run))
	return nil
}

// Start launches the agent unless it is running, and waits until it is ready.
func (a *Agent) Start(ctx context.Context) error {
	if a.program.Running() == nil {
		if err := a.Launch(); err != nil {
			return err
		}
	}
	return a.Ready(ctx)
}

// Ready waits until the agent reports that it is ready. The error includes its last log lines.
func (a *Agent) Ready(ctx context.Context) error {
	ctx, cancel := a.lab.withWaitTimeout(ctx)
	defer cancel()
	for !a.IsReady() { // Wait would poll every starting agent at each event
		var err error
		if !a.IsRunning() {
			err = errors.New("it ended before it was ready")
		} else if err = sleep(ctx, pollInterval); err == nil {
			continue
		}
		return fmt.Errorf("lab: agent %s is not ready: %w\n%s", a.Name, err, a.program.LastLogLines())
	}
	a.lab.RecordEvent(Processes, a.Name, "ready")
	return nil
}

// healthClient polls the agents' health. It opens a connection for each request, because the process may have
// been replaced since the last one.
var healthClient = http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// IsReady reports whether the agent's readiness check succeeds.
func (a *Agent) IsReady() bool {
	resp, err := healthClient.Get("http://" + a.Addr + "/health/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Request sends a request of an idempotent class and returns the status and body of the answer. The request
// is of the first tenant of the settings, if there is one.
func (a *Agent) Request(ctx context.Context, class, key string) (status int, body string, err error) {
	tenant := ""
	if tenants := a.lab.options.Settings.Tenants; len(tenants) > 0 {
		tenant = tenants[0].Name
	}
	return a.RequestForTenant(ctx, tenant, class, key)
}

// RequestForTenant is like Request for a given tenant; empty: none. The agent does not forward the tenant
// to upstream servers, so the request's target repeats it as ?clinic=NAME.
func (a *Agent) RequestForTenant(ctx context.Context, tenant, class, key string) (
	status int, body string, err error,
) {
	target := "http://" + a.Addr + "/" + class + "/book?clinic=" + url.QueryEscape(tenant)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "backend.local"
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", a.lab.lastRequestID.Add(1)))
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

// Serves sends one request and reports whether the agent answers with status 200.
func (a *Agent) Serves(ctx context.Context) bool {
	status, _, err := a.Request(ctx, a.lab.options.Settings.Classes[0].Name, "")
	return err == nil && status == http.StatusOK
}

// Pid returns the process ID of the running process, or 0 if none is running.
func (a *Agent) Pid() int {
	if p := a.program.Running(); p != nil {
		return p.Pid()
	}
	return 0
}

// Pause stops the process and returns once it has stopped. It continues after as many calls of Resume.
func (a *Agent) Pause() { a.pause() }

// pause pauses the running process. The returned function resumes that same process.
func (a *Agent) pause() (resume func()) {
	p := a.program.Running()
	if p == nil {
		return func() {}
	}
	p.Pause()
	p.WaitStopped()
	a.lab.RecordEvent(timeline.Faults, a.Name, "paused")
	return func() { a.resume(p) }
}

// Resume undoes a Pause.
func (a *Agent) Resume() {
	if p := a.program.Running(); p != nil {
		a.resume(p)
	}
}

func (a *Agent) resume(p *program.Process) {
	a.lab.RecordEvent(timeline.Faults, a.Name, "resumed")
	p.Resume()
}

// SetCPUShare lets the process run for a share of the time, from 0 to 1; 1 removes the limit.
func (a *Agent) SetCPUShare(share float64) {
	if p := a.program.Running(); p != nil {
		a.lab.RecordEvent(timeline.Faults, a.Name, fmt.Sprintf("CPU share set to %.3g", share))
		p.SetCPUShare(share, scenario.SlowSlice)
	}
}

// Kill kills the process and returns once it has ended.
func (a *Agent) Kill() {
	if p := a.program.Running(); p != nil {
		a.lab.RecordEvent(timeline.Faults, a.Name, "killed")
		p.Kill()
		<-p.Ended()
	}
}

// Drain requests a graceful shutdown of the process. It does not wait for the end.
func (a *Agent) Drain() {
	if p := a.program.Running(); p != nil {
		a.lab.RecordEvent(timeline.Faults, a.Name, "drain requested")
		p.Drain()
	}
}

// IsRunning reports whether a process is running.
func (a *Agent) IsRunning() bool { return a.program.Running() != nil }

// ClearTempDir removes everything in the agent's TempDir, as on a new machine.
func (a *Agent) ClearTempDir() error {
	entries, err := os.ReadDir(a.TempDir)
	for _, e := range entries {
		err = errors.Join(err, os.RemoveAll(filepath.Join(a.TempDir, e.Name())))
	}
	return err
}

// InjectStreamFault applies a fault of scenario.StreamFaults to the agent's connections to discovery, to
// the upstream servers or to both ("discovery", "servers", "both"), until end is called.
func (a *Agent) InjectStreamFault(stream string, fault scenario.ConnFault) (end func()) {
	text := "streams to " + stream + ": " + string(fault)
	a.lab.RecordEvent(timeline.Faults, a.Name, text)
	var streams []*standin.StreamLink
	if stream != "servers" {
		streams = append(streams, a.discovery.Link())
	}
	if stream != "discovery" {
		for _, s := range a.servers {
			streams = append(streams, s.Link())
		}
	}
	for _, w := range streams {
		w.BeginFault(fault)
	}
	var once sync.Once
	return func() {
		once.Do(func() {
			for _, w := range streams {
				w.EndFault(fault)
			}
			a.lab.RecordEvent(timeline.Faults, a.Name, "over: "+text)
		})
	}
}

// Server returns the stand-in of an upstream server for this agent.
func (a *Agent) Server(n int) *standin.Server { return a.servers[n] }

// Attempts returns the number of attempts that upstream servers received from the agent.
func (a *Agent) Attempts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempts
}

func (a *Agent) attemptReceived(c *standin.Conn, s Attempt) {
	reply := standin.Reply{Status: http.StatusOK, Body: fmt.Sprintf("booked by s-%d\n", s.Server)}
	if a.lab.options.Respond != nil {
		reply = a.lab.options.Respond(s)
	}
	a.mu.Lock()
	a.attempts++
	a.mu.Unlock()
	a.lab.signalEvent()
	c.Reply(reply, "")
}

func (a *Agent) logReceived(_, line string) {
	a.mu.Lock()
	if len(a.lines) >= maxLogLines {
		a.droppedLines += maxLogLines / 2
		a.lines = append([]string(nil), a.lines[maxLogLines/2:]...)
	}
	a.lines = append(a.lines, line)
	a.mu.Unlock()
	a.lab.Timeline.AddLine(a.lab.options.Lanes, a.lab.Now(), a.Name, line)
	if a.lab.options.Log != nil {
		a.lab.options.Log(a.Name, line)
	}
	a.lab.signalEvent()
}

// LogLines returns the number of lines that the agent has logged over all its runs, for use with
// LogContainsSince.
func (a *Agent) LogLines() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.droppedLines + len(a.lines)
}

// LogContains reports whether a line of the agent's log contains text.
func (a *Agent) LogContains(text string) bool { return a.LogContainsSince(0, text) }

// LogContainsSince is like LogContains but ignores the first skip lines, a count returned by LogLines.
func (a *Agent) LogContainsSince(skip int, text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.lines[min(max(skip-a.droppedLines, 0), len(a.lines)):] {
		if strings.Contains(l, text) {
			return true
		}
	}
	return false
}
