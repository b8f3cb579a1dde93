package program

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// suspension is the state of pausing and slowing a process: it is stopped while a Pause is not undone, and
// during the rest of each slice while it is slowed.
type suspension struct {
	mu          sync.Mutex
	pauses      int
	inRest      bool          // a slowed process has used its share of the slice
	stopSlowing chan struct{} // closed to end the slowing; nil: not slowed
	wait        sync.WaitGroup
	ended       bool // no more signals are sent
}

// Pause stops the process by SIGSTOP; it continues when it was resumed as often as paused. The kernel still
// establishes its connections and receives bytes for it. Pause does not wait until the process is stopped.
func (p *Process) Pause() { p.updateSuspension(func() { p.suspension.pauses++ }) }

// Resume undoes a Pause, by SIGCONT.
func (p *Process) Resume() {
	p.updateSuspension(func() { p.suspension.pauses = max(p.suspension.pauses-1, 0) })
}

// updateSuspension changes the state of suspension and sends the signal that this requires, if any.
func (p *Process) updateSuspension(change func()) {
	p.suspension.mu.Lock()
	defer p.suspension.mu.Unlock()
	wasStopped := p.suspension.pauses > 0 || p.suspension.inRest
	change()
	if stopped := p.suspension.pauses > 0 || p.suspension.inRest; stopped == wasStopped || p.suspension.ended {
		return
	} else if stopped {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// WaitStopped waits until all threads of the process are stopped after a Pause. It returns false if the
// process has ended.
func (p *Process) WaitStopped() bool {
	for {
		err := unix.Waitid(unix.P_PID, p.Pid(), nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if err != unix.EINTR {
			return err == nil
		}
	}
}

// SetCPUShare lets the process run for a share of each slice of time and stops it for the rest. A share of
// 1 or more ends the slowing. Each call replaces the former one.
func (p *Process) SetCPUShare(share float64, slice time.Duration) {
	p.suspension.stopSlow()
	p.updateSuspension(func() { p.suspension.inRest = false })
	if share >= 1 {
		return
	}
	p.suspension.mu.Lock()
	defer p.suspension.mu.Unlock()
	if p.suspension.ended {
		return
	}
	stop := make(chan struct{})
	p.suspension.stopSlowing = stop
	p.suspension.wait.Go(func() { p.alternate(share, slice, stop) })
}

func (p *Process) alternate(share float64, slice time.Duration, stop chan struct{}) {
	runTime := time.Duration(share * float64(slice))
	for inRest := true; ; inRest = !inRest {
		p.updateSuspension(func() { p.suspension.inRest = inRest })
		wait := runTime
		if inRest {
			wait = slice - runTime
		}
		select {
		case <-stop:
			p.updateSuspension(func() { p.suspension.inRest = false })
			return
		case <-time.After(wait):
		}
	}
}

func (c *suspension) stopSlow() {
	c.mu.Lock()
	stop := c.stopSlowing
	c.stopSlowing = nil
	c.mu.Unlock()
	if stop != nil {
		close(stop)
	}
	c.wait.Wait()
}

// isSuspended reports whether the last signal sent was SIGSTOP.
func (c *suspension) isSuspended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pauses > 0 || c.inRest
}

// end ends the slowing and prevents further signals, as the process id may be reused.
func (c *suspension) end() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.stopSlow()
}
