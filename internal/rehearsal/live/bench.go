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

// BenchOptions is what the agent's own cost is measured with.
type BenchOptions struct {
	Programs []string      // the agents'
	Rounds   int           // that each is measured in, one after another
	Self     []string      // starts this kit's Part: its program and arguments, to which the part's are added
	Conns    int           // kept connections
	Servers  int           // stand-ins that answer at once
	Length   time.Duration // of each measurement
	Rates    []float64     // a second; empty: a quarter, a half and three quarters of the first agent's
}

// Cost is what one of those that stand between a client and the servers costs.
type Cost struct {
	Name    string
	Flat    *Load   // as much as it can do
	CPUS    float64 // processor seconds in that measurement
	AtRates []*Load
}

// add takes a further round in.
func (c *Cost) add(d Cost) {
	c.Name = d.Name
	c.CPUS += d.CPUS
	if c.Flat == nil {
		c.Flat, c.AtRates = d.Flat, d.AtRates
		return
	}
	c.Flat.add(d.Flat)
	for i := range c.AtRates {
		c.AtRates[i].add(d.AtRates[i])
	}
}

// Bench is what was measured.
type Bench struct {
	Rates []float64
	Costs []Cost
}

// The parts that the kit itself plays beside the agent.
const (
	PartProxy  = "proxy"  // net/http/httputil's ReverseProxy
	PartCopier = "copier" // a bare copier of bytes
)

var errOneCore = errors.New("a core for the measured program and one for the rest are needed")

// RunBench measures agents, the library's reverse proxy and a copier of bytes in turn, each on one core by
// itself, with load and stand-ins on the others; and the load on a stand-in with nothing between. Who is
// first changes with each round.
func RunBench(ctx context.Context, o BenchOptions) (*Bench, error) {
	subject, rest, err := splitCores()
	if err != nil {
		return nil, err
	}
	if err := pinSelf(rest); err != nil {
		return nil, err
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(rest.Count()))
	spawn := program.NewSpawner()
	defer spawn.Close()
	var servers []string
	for range o.Servers {
		q, err := standin.ListenQuick("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer q.Close()
		servers = append(servers, q.Addr())
	}
	var subjects []benchSubject
	for _, name := range o.Programs {
		path, err := program.Find(name)
		if err != nil {
			return nil, err
		}
		subjects = append(subjects, benchSubject{name, func(addr string) (*exec.Cmd, io.Closer, error) {
			return benchAgent(path, addr, servers)
		}})
	}
	subjects = append(subjects, []benchSubject{
		{"reverse proxy", func(addr string) (*exec.Cmd, io.Closer, error) {
			return benchPart(o.Self, PartProxy, addr, servers), nil, nil
		}},
		{"copier", func(addr string) (*exec.Cmd, io.Closer, error) {
			return benchPart(o.Self, PartCopier, addr, servers), nil, nil
		}},
		{"nothing between", nil},
	}...)
	b := &Bench{Rates: o.Rates, Costs: make([]Cost, len(subjects))}
	for round := range o.Rounds {
		for turn := range subjects {
			which := (round + turn) % len(subjects)
			s := subjects[which]
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			cost, err := s.measure(ctx, o, b, spawn, subject, servers[0])
			if err != nil {
				return nil, fmt.Errorf("%s: %w", s.name, err)
			}
			b.Costs[which].add(cost)
		}
	}
	return b, nil
}

// benchSubject is something that is measured.
type benchSubject struct {
	name    string
	command func(addr string) (*exec.Cmd, io.Closer, error) // nil: nothing is started
}

const (
	lookAgain  = 20 * time.Millisecond // whether it listens
	warmUp     = time.Second
	benchReady = 10 * time.Second
)

func (s benchSubject) measure(ctx context.Context, o BenchOptions, b *Bench, spawn *program.Spawner,
	core unix.CPUSet, direct string,
) (c Cost, err error) {
	c.Name = s.name
	addr := direct
	var cmd *exec.Cmd
	if s.command != nil {
		if addr, err = program.FreeAddr(addresses{os.Getpid()}.of(0)); err != nil {
			return c, err
		}
		var beside io.Closer
		if cmd, beside, err = s.command(addr); err != nil {
			return c, err
		}
		if beside != nil {
			defer beside.Close()
		}
		var words strings.Builder
		cmd.Stderr = &words
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := startOn(spawn, cmd, core); err != nil {
			return c, err
		}
		defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
		if err := awaitSocket(ctx, addr); err != nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait() // all that it said is there then
			return c, fmt.Errorf("%w: %s", err, words.String())
		}
	}
	l, err := newLoader(addr, o.Conns, benchRequest)
	if err != nil {
		return c, err
	}
	defer l.close()
	defer context.AfterFunc(ctx, l.close)()
	if _, err := l.flatOut(warmUp); err != nil {
		return c, err
	}
	before := cpuOf(cmd)
	if c.Flat, err = l.flatOut(o.Length); err != nil {
		return c, err
	}
	c.CPUS = cpuOf(cmd) - before
	if len(b.Rates) == 0 {
		b.Rates = []float64{c.Flat.PerS() / 4, c.Flat.PerS() / 2, c.Flat.PerS() * 3 / 4}
	}
	for i, rate := range b.Rates {
		load, err := l.onTime(Schedule(uint64(i+1), rate, o.Length))
		if err != nil {
			return c, err
		}
		c.AtRates = append(c.AtRates, load)
	}
	return c, nil
}

// benchRequest is the nth request, without a body.
func benchRequest(n int) []byte {
	return fmt.Appendf(nil, "GET /any/book HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %016x\r\n"+
		"X-Time-Left-Ms: 2000\r\nCookie: sid=k%05d\r\n\r\n", n, n%1000)
}

// benchAgent is the agent with a deployment of its own: one class, and servers on a list that never changes.
func benchAgent(path, addr string, servers []string) (*exec.Cmd, io.Closer, error) {
	d, err := standin.ListenDiscovery("127.0.0.1:0", emptyLines, func(c *standin.Call) { c.Begin(200) },
		func(*standin.Call) {})
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
	set := protocol.Settings{
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
	config := program.Line(program.Object{
		"name": "n0", "listen": addr, "discovery": d.Addr,
		"seed":     "8c1f30d27a5be964",
		"limits":   program.Object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    program.Object{"version": 1, "full": true, "servers": entries},
		"settings": program.SettingsObject(set),
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

// awaitSocket waits until something listens at an address.
func awaitSocket(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, benchReady)
	defer cancel()
	for {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err == nil {
			return c.Close()
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(lookAgain)
	}
}

// cpuOf is the processor time that a process has used, in seconds.
func cpuOf(cmd *exec.Cmd) float64 {
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
	return (user + system) / 100 // the system's ticks
}

// splitCores takes one of the cores that this process may use for what is measured.
func splitCores() (one, rest unix.CPUSet, err error) {
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
	return one, rest, errOneCore
}

// pinSelf keeps this process on cores, with all its threads; those to come are begun by these.
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

// startOn starts a process on cores: it takes over those of the thread that starts it.
func startOn(s *program.Spawner, cmd *exec.Cmd, cores unix.CPUSet) error {
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

// Text writes what was measured for a terminal.
func (b *Bench) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "on one core\tflat out\tprocessor time of a request")
	for _, r := range b.Rates {
		fmt.Fprintf(t, "\tat %.0f/s: p50\tp99\tp99.9\tload late p99", r)
	}
	fmt.Fprintln(t)
	for _, c := range b.Costs {
		fmt.Fprintf(t, "%s\t%.0f/s\t", c.Name, c.Flat.PerS())
		if c.CPUS > 0 {
			fmt.Fprintf(t, "%.1f us", c.CPUS/float64(c.Flat.Asked)*1e6)
		}
		for _, l := range c.AtRates {
			h := l.Latency
			fmt.Fprintf(t, "\t%s\t%s\t%s\t%s", micros(h.ValueAtQuantile(50)), micros(h.ValueAtQuantile(99)),
				micros(h.ValueAtQuantile(99.9)), micros(l.Lateness.ValueAtQuantile(99)))
			if l.Errors > 0 {
				fmt.Fprintf(t, " (%d errors)", l.Errors)
			}
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func micros(us int64) string { return fmt.Sprintf("%.2f ms", float64(us)/1000) }
