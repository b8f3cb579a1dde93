package live

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

	"dunestep/internal/rehearsal/report"
)

const (
	lookEvery    = 100 * time.Millisecond // at what a process takes, where they are few,
	looksAtATime = 16                     // and of more at so many in that time
	readyEvery   = 20 * time.Millisecond
	// spareDescriptors are what a process has beside the sockets that it may hold: its log, the poller and such.
	spareDescriptors = 64
	// endsWithin is how long an agent that was told to end may take: the longest wait of a client, the grace
	// until SIGKILL could come, and what a busy machine adds.
	endsWithin = 3*time.Second + 700*time.Millisecond + 1300*time.Millisecond
	keptLines  = 12 // of a log
)

// An agent is one of the day's agents, as processes one after another.
type agent struct {
	name    string
	program string
	addr    string
	memory  int // MB
	sockets int
	spawn   *spawner
	look    time.Duration // how often it is looked what a process takes
	log     func(name, line string)

	mu    sync.Mutex
	now   *process // nil: none runs
	over  bool     // none is to be started any more
	use   report.AgentUse
	lines []string // the last of its log
}

// A process is one run of an agent's program.
type process struct {
	agent  *agent
	cmd    *exec.Cmd
	ended  chan struct{}
	told   bool // to end
	killed bool
}

// A spawner starts processes from one thread that lives as long as it does: the system ends those processes
// when that thread ends, so that even a kill of the kit leaves none behind.
type spawner struct {
	work chan func()
	wait sync.WaitGroup
}

func newSpawner() *spawner {
	s := &spawner{work: make(chan func())}
	s.wait.Go(func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for f := range s.work {
			f()
		}
	})
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	done := make(chan error)
	s.work <- func() { done <- cmd.Start() }
	return <-done
}

func (s *spawner) close() {
	close(s.work)
	s.wait.Wait()
}

// memoryFile is a file that is in memory only, and gone with the last process that has it open.
func memoryFile(name, text string) (*os.File, error) {
	fd, err := unix.MemfdCreate(name, unix.MFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), name)
	_, err = io.WriteString(f, text)
	return f, err
}

// start starts the agent's program with a configuration. Ended is called, once, when it has ended; unasked:
// it was not told to.
func (a *agent) start(config, discovery string, ended func(unasked bool)) (*process, error) {
	if old := a.running(); old != nil { // it has been killed
		<-old.ended
	}
	file, err := memoryFile("config", config)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	cmd := exec.Command(a.program)
	cmd.ExtraFiles = []*os.File{file}
	cmd.Env = []string{"LB_NAME=" + a.name, "LB_LISTEN=" + a.addr, "LB_DISCOVERY=" + discovery,
		"LB_CONFIG=/proc/self/fd/3"}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	p := &process{agent: a, cmd: cmd, ended: make(chan struct{})}
	if err := a.spawn.start(cmd); err != nil {
		return nil, err
	}
	limit := uint64(a.sockets + spareDescriptors)
	_ = unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil)
	a.mu.Lock()
	a.now = p
	a.use.Starts++
	over := a.over
	a.mu.Unlock()
	go p.wait(out, ended)
	go p.look()
	if over { // meanwhile
		p.kill()
	}
	return p, nil
}

func (a *agent) running() *process {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now
}

func (p *process) wait(out io.Reader, ended func(bool)) {
	a := p.agent
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		a.took(lines.Text())
	}
	_, _ = io.Copy(io.Discard, out) // a line that is too long for the scanner
	err := p.cmd.Wait()
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
func (a *agent) took(line string) {
	a.mu.Lock()
	a.lines = append(a.lines, line)
	if len(a.lines) > keptLines {
		a.lines = a.lines[1:]
	}
	a.mu.Unlock()
	if a.log != nil {
		a.log(a.name, line)
	}
}

// lastWords are the last lines of the agent's log.
func (a *agent) lastWords() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Join(a.lines, "\n")
}

// look looks at what the process takes, until it ends.
func (p *process) look() {
	tick := time.NewTicker(p.agent.look)
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

func (p *process) measure() {
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

// ready waits until the process says that it is ready; false: it has ended before.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-p.ended:
			return false
		case <-time.After(readyEvery):
		}
		resp, err := client.Get("http://" + p.agent.addr + "/health/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
}

// drain tells the process to end, kill ends it.
func (p *process) drain() {
	p.measure()
	p.agent.mu.Lock()
	p.told = true
	p.agent.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

func (p *process) kill() {
	p.agent.mu.Lock()
	p.killed = true
	p.agent.mu.Unlock()
	_ = p.cmd.Process.Kill()
}

// end has the agent's process end in good order, or by force where it takes too long.
func (a *agent) end(gently bool) {
	a.mu.Lock()
	a.over = true
	a.mu.Unlock()
	p := a.running()
	if p == nil {
		return
	}
	if gently {
		p.drain()
		select {
		case <-p.ended:
			return
		case <-time.After(endsWithin):
			a.mu.Lock()
			a.use.Problems = append(a.use.Problems, fmt.Sprintf("did not end within %v of SIGTERM", endsWithin))
			a.mu.Unlock()
		}
	}
	p.kill()
	<-p.ended
}

// used is what the agent took in all, with what was wrong.
func (a *agent) used() report.AgentUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.use
	u.Name, u.LimitMB, u.Limit = a.name, a.memory, a.sockets+spareDescriptors
	if u.PeakMB > float64(a.memory) {
		u.Problems = append(u.Problems, fmt.Sprintf("took %.1f MB of %d", u.PeakMB, a.memory))
	}
	u.Problems = append([]string{}, u.Problems...)
	return u
}

// freeAddr finds a port that the system picks, at an address that is this kit's alone.
func freeAddr(ip string) (string, error) {
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

// findProgram finds the agent's program.
func findProgram(name string) (string, error) {
	path, err := exec.LookPath(cmp.Or(name, "bin/dunestep"))
	if err != nil {
		return "", fmt.Errorf("the agent's program: %w", err)
	}
	return path, nil
}
