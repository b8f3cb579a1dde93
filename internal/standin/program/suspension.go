package program

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pace is how a process is held up: it stands still as long as anybody has it paused, or while a slice of a
// slowed one is used up.
type pace struct {
	mu     sync.Mutex
	pauses int
	rests  bool          // of a slowed one: the rest of its slice
	slow   chan struct{} // closed to end the slowing; nil: it is not slowed
	wait   sync.WaitGroup
	over   bool
}

// Pause has the process stand still, by SIGSTOP; it goes on when it is resumed as often as it was paused. Its
// machine goes on: connections come up and bytes are taken in. The call does not wait until it stands.
func (p *Process) Pause() { p.hold(func() { p.pace.pauses++ }) }

// Resume undoes a Pause, by SIGCONT.
func (p *Process) Resume() { p.hold(func() { p.pace.pauses = max(p.pace.pauses-1, 0) }) }

// hold changes why the process stands still, and tells it so where that makes a difference.
func (p *Process) hold(change func()) {
	p.pace.mu.Lock()
	defer p.pace.mu.Unlock()
	stood := p.pace.pauses > 0 || p.pace.rests
	change()
	if stands := p.pace.pauses > 0 || p.pace.rests; stands == stood || p.pace.over {
		return
	} else if stands {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// Stands waits until the system has the process, or all of its threads, stopped after a Pause; false: it has
// ended.
func (p *Process) Stands() bool {
	for {
		err := unix.Waitid(unix.P_PID, p.Pid(), nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if err != unix.EINTR {
			return err == nil
		}
	}
}

// Slow has the process run for a share of each slice of time and stand still for the rest; 1 or more: always
// run, as before. Each call takes the place of the one before.
func (p *Process) Slow(share float64, slice time.Duration) {
	p.pace.stopSlow()
	p.hold(func() { p.pace.rests = false })
	if share >= 1 {
		return
	}
	p.pace.mu.Lock()
	defer p.pace.mu.Unlock()
	if p.pace.over {
		return
	}
	stop := make(chan struct{})
	p.pace.slow = stop
	p.pace.wait.Go(func() { p.slowly(share, slice, stop) })
}

func (p *Process) slowly(share float64, slice time.Duration, stop chan struct{}) {
	runs := time.Duration(share * float64(slice))
	for rests := true; ; rests = !rests {
		p.hold(func() { p.pace.rests = rests })
		wait := runs
		if rests {
			wait = slice - runs
		}
		select {
		case <-stop:
			p.hold(func() { p.pace.rests = false })
			return
		case <-time.After(wait):
		}
	}
}

func (c *pace) stopSlow() {
	c.mu.Lock()
	stop := c.slow
	c.slow = nil
	c.mu.Unlock()
	if stop != nil {
		close(stop)
	}
	c.wait.Wait()
}

// stood tells whether the process was last told to stand still.
func (c *pace) stood() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pauses > 0 || c.rests
}

// end ends the slowing, and has no signal sent any more: the number may be another process's.
func (c *pace) end() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	c.stopSlow()
}
