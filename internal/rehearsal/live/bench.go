package live

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"golang.org/x/sys/unix"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
	"dunestep/internal/standin"
	"dunestep/internal/standin/program"
)

// BenchOptions configures a benchmark of the agent's own cost.
type BenchOptions struct {
	Programs    []string      // paths of the agent programs to measure
	Rounds      int           // number of measurements of each subject
	PartCommand []string      // command line that runs RunPart; RunPart's arguments are appended
	Conns       int           // number of persistent client connections
	Servers     int           // number of upstream servers, stand-ins that answer immediately
	Duration    time.Duration // duration of each measurement
	Rates       []float64     // in requests per second; empty: 1/4, 1/2 and 3/4 of the first subject's maximum
}

// Cost is the measured cost of one subject between the client and the upstream servers.
type Cost struct {
	Name       string
	Saturated  *Load   // at the highest rate the subject sustains
	CPUSeconds float64 // CPU time during the saturated measurement, in seconds
	AtRates    []*Load // one for each of Bench.Rates
}

// add merges the results of a further round.
func (c *Cost) add(round Cost) {
	c.Name = round.Name
	c.CPUSeconds += round.CPUSeconds
	if c.Saturated == nil {
		c.Saturated, c.AtRates = round.Saturated, round.AtRates
		return
	}
	c.Saturated.add(round.Saturated)
	for i := range c.AtRates {
		c.AtRates[i].add(round.AtRates[i])
	}
}

// Bench is the result of a benchmark.
type Bench struct {
	Rates []float64 // requests per second
	Costs []Cost
}

// The kit's own programs that the agent is compared with.
const (
	PartProxy  = "proxy"  // net/http/httputil's ReverseProxy
	PartCopier = "copier" // a TCP proxy that copies bytes unread
)

var errTooFewCores = errors.New("the benchmark needs a core for the measured program and one for the load")

// RunBench measures the agents, the standard library's reverse proxy, a byte copier and direct requests to an
// upstream server. Each measured process runs on a core of its own; the load and the upstream servers run on
// the other cores. The order of the subjects rotates with each round.
func RunBench(ctx context.Context, o BenchOptions) (*Bench, error) {
	benchCore, loadCores, err := reserveCore()
	if err != nil {
		return nil, err
	}
	if err := pinSelf(loadCores); err != nil {
		return nil, err
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(loadCores.Count()))
	spawn := program.NewSpawner()
	defer spawn.Close()
	var servers []string
	for range o.Servers {
		server, err := standin.ListenInstantServer("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer server.Close()
		servers = append(servers, server.Addr())
	}
	var subjects []benchSubject
	for _, name := range o.Programs {
		path, err := program.FindAgent(name)
		if err != nil {
			return nil, err
		}
		subjects = append(subjects, benchSubject{name, func(addr string) (*exec.Cmd, io.Closer, error) {
			return benchAgent(path, addr, servers)
		}})
	}
	subjects = append(subjects, []benchSubject{
		{"reverse proxy", func(addr string) (*exec.Cmd, io.Closer, error) {
			return benchPart(o.PartCommand, PartProxy, addr, servers), nil, nil
		}},
		{"copier", func(addr string) (*exec.Cmd, io.Closer, error) {
			return benchPart(o.PartCommand, PartCopier, addr, servers), nil, nil
		}},
		{"nothing between", nil},
	}...)
	bench := &Bench{Rates: o.Rates, Costs: make([]Cost, len(subjects))}
	for round := range o.Rounds {
		for position := range subjects {
			i := (round + position) % len(subjects)
			subject := subjects[i]
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			cost, err := subject.measure(ctx, o, bench, spawn, benchCore, servers[0])
			if err != nil {
				return nil, fmt.Errorf("%s: %w", subject.name, err)
			}
			bench.Costs[i].add(cost)
		}
	}
	return bench, nil
}

// benchSubject is a program that is measured, or the direct connection.
type benchSubject struct {
	name    string
	command func(addr string) (*exec.Cmd, io.Closer, error) // nil: direct requests to an upstream server
}

const (
	dialRetryPeriod = 20 * time.Millisecond
	warmUpTime      = time.Second
	listenTimeout   = 10 * time.Second
)

func (s benchSubject) measure(ctx context.Context, o BenchOptions, bench *Bench, spawn *program.Spawner,
	core unix.CPUSet, direct string,
) (c Cost, err error) {
	c.Name = s.name
	addr := direct
	var cmd *exec.Cmd
	if s.command != nil {
		if addr, err = program.FreeAddr(addresses{os.Getpid()}.agent(0)); err != nil {
			return c, err
		}
		var companion io.Closer
		if cmd, companion, err = s.command(addr); err != nil {
			return c, err
		}
		if companion != nil {
			defer companion.Close()
		}
		var stderr strings.Builder
		cmd.Stderr = &stderr
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := startOnCores(spawn, cmd, core); err != nil {
			return c, err
		}
		defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
		if err := waitForListener(ctx, addr); err != nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait() // afterwards all of its standard error has been read
			return c, fmt.Errorf("%w: %s", err, stderr.String())
		}
	}
	l, err := newLoader(addr, o.Conns, benchRequest)
	if err != nil {
		return c, err
	}
	defer l.close()
	defer context.AfterFunc(ctx, l.close)()
	if _, err := l.saturate(warmUpTime); err != nil {
		return c, err
	}
	before := cpuSeconds(cmd)
	if c.Saturated, err = l.saturate(o.Duration); err != nil {
		return c, err
	}
	c.CPUSeconds = cpuSeconds(cmd) - before
	if len(bench.Rates) == 0 {
		bench.Rates = []float64{
			c.Saturated.PerSecond() / 4, c.Saturated.PerSecond() / 2,
			c.Saturated.PerSecond() * 3 / 4,
		}
	}
	for i, rate := range bench.Rates {
		load, err := l.runSchedule(Schedule(uint64(i+1), rate, o.Duration))
		if err != nil {
			return c, err
		}
		c.AtRates = append(c.AtRates, load)
	}
	return c, nil
}

// benchRequest returns the nth request, which has no body.
func benchRequest(n int) []byte {
	return fmt.Appendf(nil, "GET /any/book HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %016x\r\n"+
		"X-Time-Left-Ms: 2000\r\nCookie: sid=k%05d\r\n\r\n", n, n%1000)
}

// benchAgent returns the command of an agent with one request class and an endpoint list that never changes.
// The closer ends its discovery stand-in and releases the configuration file.
func benchAgent(path, addr string, servers []string) (*exec.Cmd, io.Closer, error) {
	d, err := standin.ListenDiscovery("127.0.0.1:0", watchKeepalive,
		func(c *standin.Call) { c.WriteStatus(200) }, func(*standin.Call) {})
	if err != nil {
		return nil, nil, err
	}
	var entries []program.Object
	for i, s := range servers {
		entries = append(entries, program.Object{
			"id": fmt.Sprint("s-", i), "addr": s, "zone": "a", "kind": "quick",
			"state": "active", "weight": 1.0,
		})
	}
	settings := protocol.Settings{
		ConnIdleTimeout: 15 * time.Second, ConnectTimeout: 250 * time.Millisecond,
		Settings: balancer.Settings{
			Balancers: 1, Zone: "a", Tick: 5 * time.Millisecond,
			Classes: []balancer.Class{{
				Name: "any", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1,
				Idempotency: balancer.Idempotent,
			}},
			Limits: balancer.Limits{
				MaxAttempts: 3, Hedging: true, Cancel: true, RetryAfter: true,
				MaxRetryAfter: 2 * time.Second,
			},
			Rules: balancer.Rules{
				DrainGrace: 3 * time.Second, MaxPollInterval: 10 * time.Second, SlowStartCapacity: 0.31,
				SlowStartDuration: 9 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
			},
		},
	}
	config := program.JSON(program.Object{
		"name": "n0", "listen": addr, "discovery": d.Addr,
		"seed":     "8c1f30d27a5be964",
		"limits":   program.Object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    program.Object{"version": 1, "full": true, "servers": entries},
		"settings": program.ConfigObject(settings),
	})
	file, err := program.MemoryFile("config", config)
	if err != nil {
		d.Close()
		return nil, nil, err
	}
	cmd := exec.Command(path)
	cmd.ExtraFiles = []*os.File{file}
	cmd.Env = []string{
		"LB_NAME=n0", "LB_LISTEN=" + addr, "LB_DISCOVERY=" + d.Addr,
		"LB_CONFIG=/proc/self/fd/3",
	}
	return cmd, closers{func() { d.Close() }, func() { _ = file.Close() }}, nil
}

type closers []func()

// Close implements io.Closer.
func (c closers) Close() error {
	for _, f := range c {
		f()
	}
	return nil
}

func benchPart(self []string, part, addr string, servers []string) *exec.Cmd {
	args := append(append([]string{}, self[1:]...), part, addr)
	cmd := exec.Command(self[0], append(args, servers...)...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	return cmd
}

// waitForListener waits until a connection to addr succeeds, up to listenTimeout.
func waitForListener(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	for {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err == nil {
			return c.Close()
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(dialRetryPeriod)
	}
}

// cpuSeconds returns the CPU time that a process has used, in seconds; zero for a nil cmd.
func cpuSeconds(cmd *exec.Cmd) float64 {
	if cmd == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	var user, system float64
	if len(fields) > 13 {
		_, _ = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	}
	return (user + system) / 100 // 100 clock ticks per second
}

// reserveCore splits the cores that this process may use into one for the measured program and the rest.
func reserveCore() (one, rest unix.CPUSet, err error) {
	if err := unix.SchedGetaffinity(0, &rest); err != nil {
		return one, rest, err
	}
	for i := range len(rest) * 64 {
		if rest.IsSet(i) && rest.Count() > 1 {
			one.Set(i)
			rest.Clear(i)
			return one, rest, nil
		}
	}
	return one, rest, errTooFewCores
}

// pinSelf restricts all threads of this process to cores. Later threads inherit the restriction.
func pinSelf(cores unix.CPUSet) error {
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, t := range tasks {
		var id int
		_, _ = fmt.Sscan(t.Name(), &id)
		if err := unix.SchedSetaffinity(id, &cores); err != nil && !errors.Is(err, unix.ESRCH) {
			return err
		}
	}
	return nil
}

// startOnCores starts a process on cores. The process inherits the CPU affinity of the thread that starts it.
func startOnCores(s *program.Spawner, cmd *exec.Cmd, cores unix.CPUSet) error {
	return s.Do(func() error {
		var before unix.CPUSet
		err := unix.SchedGetaffinity(0, &before)
		if err == nil {
			err = unix.SchedSetaffinity(0, &cores)
		}
		if err == nil {
			err = cmd.Start()
		}
		return errors.Join(err, unix.SchedSetaffinity(0, &before))
	})
}

// Text writes the results as a text table.
func (b *Bench) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "on one core\tflat out\tprocessor time of a request")
	for _, r := range b.Rates {
		fmt.Fprintf(t, "\tat %.0f/s: p50\tp99\tp99.9\tload late p99", r)
	}
	fmt.Fprintln(t)
	for _, c := range b.Costs {
		fmt.Fprintf(t, "%s\t%.0f/s\t", c.Name, c.Saturated.PerSecond())
		if c.CPUSeconds > 0 {
			fmt.Fprintf(t, "%.1f us", c.CPUSeconds/float64(c.Saturated.Requests)*1e6)
		}
		for _, l := range c.AtRates {
			h := l.Latency
			fmt.Fprintf(t, "\t%s\t%s\t%s\t%s", formatMicros(h.ValueAtQuantile(50)),
				formatMicros(h.ValueAtQuantile(99)),
				formatMicros(h.ValueAtQuantile(99.9)), formatMicros(l.Lateness.ValueAtQuantile(99)))
			if l.Errors > 0 {
				fmt.Fprintf(t, " (%d errors)", l.Errors)
			}
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func formatMicros(us int64) string { return fmt.Sprintf("%.2f ms", float64(us)/1000) }
