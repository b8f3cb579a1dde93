// Package program runs agents as processes of the real program: it starts, pauses, slows, ends and restarts
// them, and leaves no process or file behind however the caller ends. Their peers are the stand-ins of
// package standin.
package program

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readyPollInterval = 20 * time.Millisecond
	// SpareDescriptors is the number of descriptors allowed to a process beside its sockets, such as for its log
	// and the poller.
	SpareDescriptors = 64
	// drainTimeout is how long an agent may take to end after SIGTERM: the longest wait of a client (3 s), the
	// grace before a SIGKILL (700 ms), and an allowance for a busy machine.
	drainTimeout = 3*time.Second + 700*time.Millisecond + 1300*time.Millisecond
	keptLogLines = 12 // for LastLogLines
)

// Agent is a named agent, which runs as one process after another. The exported fields are set while no
// process runs.
type Agent struct {
	Name    string
	Program string   // path of the executable
	Addr    string   // of its listener
	Env     []string // in addition to the variables that Start sets
	Args    []string
	// Operator is the content of its operator file; empty: none.
	Operator string
	// TempDir is its $TMPDIR; empty: not set.
	TempDir         string
	MaxSockets      int           // limit of its descriptors beside SpareDescriptors; 0: this process's limit
	MeasureInterval time.Duration // interval between measurements of its memory and descriptors; 0: never
	Log             func(name, line string)
	Spawner         *Spawner

	mu        sync.Mutex
	current   *Process // nil: not running
	ended     bool     // by End: no process is started any more
	usage     Usage
	lastLines []string // the last lines of its log
}

// Usage is the resource usage of an agent's processes, and their faults.
type Usage struct {
	Starts      int
	PeakMB      float64
	Descriptors int
	CPUSeconds  float64
	Problems    []string
}

// Process is one run of an agent's program.
type Process struct {
	agent      *Agent
	cmd        *exec.Cmd
	ended      chan struct{}
	drained    bool // SIGTERM was sent
	killed     bool
	suspension suspension
}

// Spawner starts processes from a thread that it keeps until Close. The kernel kills processes that were
// started with Pdeathsig when that thread ends, so that even a kill of this program leaves none behind.
type Spawner struct {
	work chan func()
	wait sync.WaitGroup
}

// NewSpawner starts the thread. Close ends it, and with it the processes that it has started.
func NewSpawner() *Spawner {
	s := &Spawner{work: make(chan func())}
	s.wait.Go(func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with the goroutine
		for f := range s.work {
			f()
		}
	})
	return s
}

// Start starts a process.
func (s *Spawner) Start(cmd *exec.Cmd) error { return s.Do(cmd.Start) }

// Do runs f on the thread and returns its error.
func (s *Spawner) Do(f func() error) error {
	done := make(chan error)
	s.work <- func() { done <- f() }
	return <-done
}

// Close ends the thread.
func (s *Spawner) Close() {
	close(s.work)
	s.wait.Wait()
}

// MemoryFile creates a file with a text in memory only. It is deleted when no process has it open any more.
func MemoryFile(name, text string) (*os.File, error) {
	fd, err := unix.MemfdCreate(name, unix.MFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), name)
	_, err = io.WriteString(f, text)
	return f, err
}

// errAgentEnded is returned by Start after End.
var errAgentEnded = errors.New("program: the agent cannot be started after End")

// Start starts the agent's program with a configuration, after its former process has ended. It calls ended
// once when the process has ended; unexpected is true if neither SIGTERM nor Kill was sent to it.
func (a *Agent) Start(config, discovery string, ended func(unexpected bool)) (*Process, error) {
	if old := a.Running(); old != nil { // it was killed and ends soon
		<-old.ended
	}
	cmd := exec.Command(a.Program, a.Args...)
	cmd.Env = append([]string{
		"LB_NAME=" + a.Name, "LB_LISTEN=" + a.Addr, "LB_DISCOVERY=" + discovery,
		"LB_CONFIG=/proc/self/fd/3",
	}, a.Env...)
	if a.TempDir != "" {
		cmd.Env = append(cmd.Env, "TMPDIR="+a.TempDir)
	}
	texts := []string{config}
	if a.Operator != "" {
		texts = append(texts, a.Operator)
		cmd.Args = append(cmd.Args, "--operator", "/proc/self/fd/4")
	}
	for _, text := range texts {
		file, err := MemoryFile("config", text)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		cmd.ExtraFiles = append(cmd.ExtraFiles, file)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	return a.launch(cmd, out, ended)
}

func (a *Agent) launch(cmd *exec.Cmd, out io.Reader, ended func(bool)) (*Process, error) {
	p := &Process{agent: a, cmd: cmd, ended: make(chan struct{})}
	a.mu.Lock()
	hasEnded := a.ended
	a.mu.Unlock()
	if hasEnded {
		return nil, errAgentEnded
	}
	if err := a.Spawner.Start(cmd); err != nil {
		return nil, err
	}
	if a.MaxSockets > 0 {
		limit := uint64(a.MaxSockets + SpareDescriptors)
		_ = unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil)
	}
	a.mu.Lock()
	a.current = p
	a.usage.Starts++
	hasEnded = a.ended
	a.mu.Unlock()
	go p.wait(out, ended)
	if a.MeasureInterval > 0 {
		go p.measureUntilEnd()
	}
	if hasEnded { // End was called meanwhile
		p.Kill()
	}
	return p, nil
}

// Running returns the running process, or nil.
func (a *Agent) Running() *Process {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

func (p *Process) wait(out io.Reader, ended func(bool)) {
	a := p.agent
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		a.keepLogLine(lines.Text())
	}
	_, _ = io.Copy(io.Discard, out) // the rest after a line too long for the scanner
	err := p.cmd.Wait()
	p.suspension.end()
	a.mu.Lock()
	unexpected := !p.drained && !p.killed
	state := p.cmd.ProcessState
	a.usage.CPUSeconds += (state.UserTime() + state.SystemTime()).Seconds()
	if err != nil && !p.killed {
		a.usage.Problems = append(a.usage.Problems, "ended with "+err.Error())
	} else if unexpected {
		a.usage.Problems = append(a.usage.Problems, "ended by itself")
	}
	if a.current == p {
		a.current = nil
	}
	a.mu.Unlock()
	close(p.ended)
	ended(unexpected)
}

// keepLogLine keeps a line among the last lines of the log and passes it to Log.
func (a *Agent) keepLogLine(line string) {
	a.mu.Lock()
	a.lastLines = append(a.lastLines, line)
	if len(a.lastLines) > keptLogLines {
		a.lastLines = a.lastLines[1:]
	}
	a.mu.Unlock()
	if a.Log != nil {
		a.Log(a.Name, line)
	}
}

// LastLogLines returns the last lines of the agent's log.
func (a *Agent) LastLogLines() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Join(a.lastLines, "\n")
}

// measureUntilEnd measures the process at each interval until it ends.
func (p *Process) measureUntilEnd() {
	tick := time.NewTicker(p.agent.MeasureInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.ended:
			return
		case <-tick.C:
			p.measure()
		}
	}
}

func (p *Process) measure() {
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	status, _ := os.ReadFile(dir + "/status")
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	first, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	kb, _ := strconv.ParseFloat(first, 64)
	open, _ := os.ReadDir(dir + "/fd")
	a := p.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.PeakMB = max(a.usage.PeakMB, kb/1024)
	a.usage.Descriptors = max(a.usage.Descriptors, len(open))
}

// WaitReady waits until the process reports that it is ready. It returns false if the process ends first.
func (p *Process) WaitReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-p.ended:
			return false
		case <-time.After(readyPollInterval):
		}
		resp, err := client.Get("http://" + p.agent.Addr + "/health/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Drain sends SIGTERM. A stopped process handles it when it continues.
func (p *Process) Drain() {
	p.measure()
	p.agent.mu.Lock()
	p.drained = true
	p.agent.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// Kill sends SIGKILL.
func (p *Process) Kill() {
	p.agent.mu.Lock()
	p.killed = true
	p.agent.mu.Unlock()
	_ = p.cmd.Process.Kill()
}

// End ends the agent's process and waits for its end; Start fails from then on. gently sends SIGTERM first,
// and SIGKILL only after drainTimeout.
func (a *Agent) End(gently bool) {
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	p := a.Running()
	if p == nil {
		return
	}
	if gently {
		p.Drain()
		p.suspension.end()
		if p.suspension.isSuspended() { // a stopped process does not handle SIGTERM
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
		select {
		case <-p.ended:
			return
		case <-time.After(drainTimeout):
			a.mu.Lock()
			a.usage.Problems = append(a.usage.Problems, fmt.Sprintf("did not end within %v of SIGTERM", drainTimeout))
			a.mu.Unlock()
		}
	}
	p.Kill()
	<-p.ended
}

// EndAll calls End of all agents at the same time and waits for them.
func EndAll(agents []*Agent, gently bool) {
	var wait sync.WaitGroup
	for _, a := range agents {
		wait.Go(func() { a.End(gently) })
	}
	wait.Wait()
}

// TotalUsage returns the usage of all the agent's processes so far.
func (a *Agent) TotalUsage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.usage
	u.Problems = append([]string{}, u.Problems...)
	return u
}

// FreeAddr returns an address with a port that is free for TCP and UDP, at an IP address that no other
// process uses.
func FreeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	u, err := net.ListenPacket("udp", l.Addr().String())
	if err == nil {
		err = u.Close()
	}
	return l.Addr().String(), errors.Join(err, l.Close())
}

// AgentIP returns a loopback address for an agent, by the process id of the caller. Nothing else may listen
// there: the system could pick the agent's port for a stand-in, as the port is free until the agent's
// program opens it.
func AgentIP(pid, agent int) string { return processIP(pid, 2*(agent%distinctAgents)) }

// StandInIP returns a loopback address for an agent's stand-ins, by the process id of the caller.
func StandInIP(pid, agent int) string { return processIP(pid, 2*(agent%distinctAgents)+1) }

// distinctAgents is the number of agents with addresses of their own; with more, some share an address.
const distinctAgents = 125

func processIP(pid, last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+pid/128%250, 1+last)
}

// FindAgent returns the path of the agent's program; an empty name: bin/dunestep.
func FindAgent(name string) (string, error) {
	path, err := exec.LookPath(cmp.Or(name, "bin/dunestep"))
	if err != nil {
		return "", fmt.Errorf("finding the agent's program: %w", err)
	}
	return path, nil
}
