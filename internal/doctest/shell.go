package doctest

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	// commandTimeout bounds the run of a block, and allows for a heavily loaded machine.
	commandTimeout = 90 * time.Second
	// stopTimeout is the time between SIGTERM and SIGKILL for a background command.
	stopTimeout = 15 * time.Second
	// guardScript runs commands in a process group that ends with the process that started it, even if
	// that is killed: descriptor 3 is a pipe whose write end only that process holds open.
	guardScript = `trap : TERM
(trap '' TERM; read -u 3; kill -KILL 0) &
bash -c "$1" </dev/null 3<&- &
child=$!
while kill -0 $child 2>/dev/null; do wait $child; code=$?; done
exit $code`
)

// shell is a bash that runs commands in a process group of its own and collects their output.
type shell struct {
	cmd       *exec.Cmd
	keepAlive *os.File      // write end of the guard's pipe; closing it kills the group
	done      chan struct{} // closed after the whole group has ended and all output is read
	code      int

	mu            sync.Mutex
	output        []byte
	outputChanged chan struct{} // closed and replaced on more output, and at the end
}

// startShell starts commands in a folder, with an environment.
func startShell(commands, folder string, env []string) (*shell, error) {
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	guardEnd, keepAlive, err := os.Pipe()
	if err != nil {
		return nil, errors.Join(err, out.Close(), in.Close())
	}
	s := &shell{
		cmd: exec.Command("bash", "-c", guardScript, "bash", commands), keepAlive: keepAlive,
		done: make(chan struct{}), outputChanged: make(chan struct{}),
	}
	s.cmd.Dir, s.cmd.Env, s.cmd.Stdout, s.cmd.Stderr = folder, env, in, in
	s.cmd.ExtraFiles = []*os.File{guardEnd}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	err = s.cmd.Start()
	err = errors.Join(err, in.Close(), guardEnd.Close())
	if err != nil {
		return nil, errors.Join(err, out.Close(), keepAlive.Close())
	}
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		defer out.Close()
		s.read(out)
	}()
	go func() {
		_ = s.cmd.Wait() // the exit code is read below
		s.signal(syscall.SIGKILL)
		<-readDone
		_ = keepAlive.Close()
		s.code = s.cmd.ProcessState.ExitCode()
		close(s.done)
		s.appendOutput(nil)
	}()
	return s, nil
}

func (s *shell) read(out io.Reader) {
	for buf := make([]byte, 4096); ; {
		n, err := out.Read(buf)
		s.appendOutput(buf[:n])
		if err != nil {
			return
		}
	}
}

// appendOutput adds output and wakes those who wait for it.
func (s *shell) appendOutput(more []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.output = append(s.output, more...)
	close(s.outputChanged)
	s.outputChanged = make(chan struct{})
}

// currentOutput returns the output so far and a channel that is closed when there is more.
func (s *shell) currentOutput() (string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.output), s.outputChanged
}

// signal sends a signal to the whole group. It ignores the only possible error, that the group has ended.
func (s *shell) signal(which syscall.Signal) { _ = syscall.Kill(-s.cmd.Process.Pid, which) }

// waitForOutput waits until the output satisfies a condition. It returns an error if the commands end or
// commandTimeout expires before.
func (s *shell) waitForOutput(accept func(output string) bool) error {
	timeout := time.NewTimer(commandTimeout)
	defer timeout.Stop()
	for {
		output, changed := s.currentOutput()
		if accept(output) {
			return nil
		}
		select {
		case <-s.done:
			if output, _ = s.currentOutput(); accept(output) {
				return nil
			}
			return fmt.Errorf("the command ended with exit code %d", s.code)
		case <-changed:
		case <-timeout.C:
			return fmt.Errorf("expected output missing after %v", commandTimeout)
		}
	}
}

// wait waits until the commands have ended by themselves. After commandTimeout, it kills them and returns
// an error.
func (s *shell) wait() error {
	select {
	case <-s.done:
		return nil
	case <-time.After(commandTimeout):
		s.signal(syscall.SIGKILL)
		<-s.done
		return fmt.Errorf("still running after %v", commandTimeout)
	}
}

// stop sends SIGTERM to the whole group, and kills it after stopTimeout. It returns an error if it had to.
func (s *shell) stop() error {
	s.signal(syscall.SIGTERM)
	select {
	case <-s.done:
		return nil
	case <-time.After(stopTimeout):
		s.signal(syscall.SIGKILL)
		<-s.done
		return fmt.Errorf("killed: still running %v after SIGTERM", stopTimeout)
	}
}
