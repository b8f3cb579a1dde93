// Package program runs agents: processes of the program that ships, started, paused, slowed, ended and
// started again, with nothing left behind on any way out. What they talk to are the stand-ins of package
// standin.
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
	readyEvery = 20 * time.Millisecond
	// SpareDescriptors are what a process has beside the sockets that it may hold: its log, the poller and such.
	SpareDescriptors = 64
	// endsWithin is how long an agent that was told to end may take: the longest wait of a client, the grace
	// until SIGKILL could come, and what a busy machine adds.
	endsWithin = 3*time.Second + 700*time.Millisecond + 1300*time.Millisecond
	keptLines  = 12 // of a log
)

// Agent is an agent by its name, as processes one after another. The exported fields are set before the first
// start, or between two.
type Agent struct {
	Name    string
	Program string   // its path
	Addr    string   // where it listens
	Env     []string // beside what an agent is always told
	Args    []string
	// Operator is the text of its operator file; empty: there is none.
	Operator string
	// Folder is its $TMPDIR; empty: it is told of none.
	Folder  string
	Sockets int           // that it may hold, beside SpareDescriptors; 0: as many as this process
	Look    time.Duration // how often it is looked what its process takes; 0: never
	Log     func(name, line string)
	Spawn   *Spawner

	mu    sync.Mutex
	now   *Process // nil: none runs
	over  bool     // none is to be started any more
	use   Use
	lines []string // the last of its log
}

// Use is what an agent's processes took, and what they did that they must not.
type Use struct {
	Starts      int
	PeakMB      float64
	Descriptors int
	CPUS        float64
	Problems    []string
}

// Process is one run of an agent's program.
type Process struct {
	agent  *Agent
	cmd    *exec.Cmd
	ended  chan struct{}
	told   bool // to end
	killed bool
	pace   pace
}

// Spawner starts processes from one thread that lives as long as it does: the system ends those processes
// when that thread ends, so that even a kill of this program leaves none behind.
type Spawner struct {
	work chan func()
	wait sync.WaitGroup
}

// NewSpawner begins the thread; Close ends it, and with it what it has started.
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

// Do carries something out on the thread.
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

// MemoryFile is a file that is in memory only, and gone with the last process that has it open.
func MemoryFile(name, text string) (*os.File, error) {
	fd, err := unix.MemfdCreate(name, unix.MFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), name)
	_, err = io.WriteString(f, text)
	return f, err
}

// errOver is that an agent is not to be started any more.
var errOver = errors.New("program: the agent has been ended for good")

// Start starts the agent's program with a configuration, once the process before has ended. Ended is called,
// once, when it has ended; unasked: it was not told to.
func (a *Agent) Start(config, discovery string, ended func(unasked bool)) (*Process, error) {
	if old := a.Running(); old != nil { // it has been killed
		<-old.ended
	}
	cmd := exec.Command(a.Program, a.Args...)
	cmd.Env = append([]string{
		"LB_NAME=" + a.Name, "LB_LISTEN=" + a.Addr, "LB_DISCOVERY=" + discovery,
		"LB_CONFIG=/proc/self/fd/3",
	}, a.Env...)
	if a.Folder != "" {
		cmd.Env = append(cmd.Env, "TMPDIR="+a.Folder)
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
	over := a.over
	a.mu.Unlock()
	if over {
		return nil, errOver
	}
	if err := a.Spawn.Start(cmd); err != nil {
		return nil, err
	}
	if a.Sockets > 0 {
		limit := uint64(a.Sockets + SpareDescriptors)
		_ = unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil)
	}
	a.mu.Lock()
	a.now = p
	a.use.Starts++
	over = a.over
	a.mu.Unlock()
	go p.wait(out, ended)
	if a.Look > 0 {
		go p.look()
	}
	if over { // meanwhile
		p.Kill()
	}
	return p, nil
}

// Running is the process that runs now; nil: none does.
func (a *Agent) Running() *Process {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now
}

func (p *Process) wait(out io.Reader, ended func(bool)) {
	a := p.agent
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		a.took(lines.Text())
	}
	_, _ = io.Copy(io.Discard, out) // a line that is too long for the scanner
	err := p.cmd.Wait()
	p.pace.end()
	a.mu.Lock()
	unasked := !p.told && !p.killed
	state := p.cmd.ProcessState
	a.use.CPUS += (state.UserTime() + state.SystemTime()).Seconds()
	if err != nil && !p.killed {
		a.use.Problems = append(a.use.Problems, "ended with "+err.Error())
	} else if unasked {
		a.use.Problems = append(a.use.Problems, "ended by itself")
	}
	if a.now == p {
		a.now = nil
	}
	a.mu.Unlock()
	close(p.ended)
	ended(unasked)
}

// took keeps the last lines of the log.
func (a *Agent) took(line string) {
	a.mu.Lock()
	a.lines = append(a.lines, line)
	if len(a.lines) > keptLines {
		a.lines = a.lines[1:]
	}
	a.mu.Unlock()
	if a.Log != nil {
		a.Log(a.Name, line)
	}
}

// LastWords are the last lines of the agent's log.
func (a *Agent) LastWords() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Join(a.lines, "\n")
}

// look looks at what the process takes, until it ends.
func (p *Process) look() {
	tick := time.NewTicker(p.agent.Look)
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
	a.use.PeakMB = max(a.use.PeakMB, kb/1024)
	a.use.Descriptors = max(a.use.Descriptors, len(open))
}

// Ready waits until the process says that it is ready; false: it has ended before.
func (p *Process) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-p.ended:
			return false
		case <-time.After(readyEvery):
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

// Pid is the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Drain tells the process to end; one that stands still does so when it goes on.
func (p *Process) Drain() {
	p.measure()
	p.agent.mu.Lock()
	p.told = true
	p.agent.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// Kill ends it at once.
func (p *Process) Kill() {
	p.agent.mu.Lock()
	p.killed = true
	p.agent.mu.Unlock()
	_ = p.cmd.Process.Kill()
}

// End has the agent's process end in good order, or by force where it takes too long, and starts none any
// more.
func (a *Agent) End(gently bool) {
	a.mu.Lock()
	a.over = true
	a.mu.Unlock()
	p := a.Running()
	if p == nil {
		return
	}
	if gently {
		p.Drain()
		p.pace.end()
		if p.pace.stood() { // or it would not hear
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
		select {
		case <-p.ended:
			return
		case <-time.After(endsWithin):
			a.mu.Lock()
			a.use.Problems = append(a.use.Problems, fmt.Sprintf("did not end within %v of SIGTERM", endsWithin))
			a.mu.Unlock()
		}
	}
	p.Kill()
	<-p.ended
}

// EndAll ends the agents' processes, all at once.
func EndAll(agents []*Agent, gently bool) {
	var wait sync.WaitGroup
	for _, a := range agents {
		wait.Go(func() { a.End(gently) })
	}
	wait.Wait()
}

// Used is what the agent took in all, with what was wrong.
func (a *Agent) Used() Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.use
	u.Problems = append([]string{}, u.Problems...)
	return u
}

// FreeAddr finds a port that the system picks, by TCP and by UDP, at an IP address that is this kit's alone.
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

// OwnIP is a loopback address of this process's own for an agent. Nothing else may listen there: a port that
// the system picks for a stand-in might be the agent's, which is free until its program takes it.
func OwnIP(pid, agent int) string { return ownIP(pid, 2*(agent%ownAgents)) }

// RoundIP is a loopback address of this process's own for what stands round an agent.
func RoundIP(pid, agent int) string { return ownIP(pid, 2*(agent%ownAgents)+1) }

// ownAgents is how many agents have addresses that differ; of more, some share theirs.
const ownAgents = 125

func ownIP(pid, last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+pid/128%250, 1+last)
}

// Find finds the agent's program.
func Find(name string) (string, error) {
	path, err := exec.LookPath(cmp.Or(name, "bin/dunestep"))
	if err != nil {
		return "", fmt.Errorf("the agent's program: %w", err)
	}
	return path, nil
}
