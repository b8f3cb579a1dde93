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
	// longest is how long a block may take, on a machine with much else to do.
	longest = 90 * time.Second
	// endsWithin is how long what goes on may take to end once told to, before it is killed.
	endsWithin = 15 * time.Second
	// guard runs commands in a group of processes that ends with the program that runs the pages, however that
	// ends: descriptor 3 is a pipe that it alone holds open.
	guard = `trap : TERM
(trap '' TERM; read -u 3; kill -KILL 0) &
bash -c "$1" </dev/null 3<&- &
child=$!
while kill -0 $child 2>/dev/null; do wait $child; code=$?; done
exit $code`
)

// shell is a bash that runs commands as a group of processes of its own, its output held as it comes.
type shell struct {
	cmd   *exec.Cmd
	hold  *os.File      // once closed, the group is killed
	ended chan struct{} // the guard, then all of the group, and all output has come
	code  int

	mu     sync.Mutex
	output []byte
	grown  chan struct{} // closed when more has come, and at the end
}

// run starts commands in a folder, with an environment.
func run(commands, folder string, env []string) (*shell, error) {
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	held, hold, err := os.Pipe()
	if err != nil {
		return nil, errors.Join(err, out.Close(), in.Close())
	}
	s := &shell{
		cmd: exec.Command("bash", "-c", guard, "bash", commands), hold: hold,
		ended: make(chan struct{}), grown: make(chan struct{}),
	}
	s.cmd.Dir, s.cmd.Env, s.cmd.Stdout, s.cmd.Stderr = folder, env, in, in
	s.cmd.ExtraFiles = []*os.File{held}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	err = s.cmd.Start()
	err = errors.Join(err, in.Close(), held.Close())
	if err != nil {
		return nil, errors.Join(err, out.Close(), hold.Close())
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		defer out.Close()
		s.read(out)
	}()
	go func() {
		_ = s.cmd.Wait() // the code says it
		s.signal(syscall.SIGKILL)
		<-read
		_ = hold.Close()
		s.code = s.cmd.ProcessState.ExitCode()
		close(s.ended)
		s.tell(nil)
	}()
	return s, nil
}

func (s *shell) read(out io.Reader) {
	for buf := make([]byte, 4096); ; {
		n, err := out.Read(buf)
		s.tell(buf[:n])
		if err != nil {
			return
		}
	}
}

// tell holds more output, and wakes who waits for it.
func (s *shell) tell(more []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.output = append(s.output, more...)
	close(s.grown)
	s.grown = make(chan struct{})
}

// said is the output so far, and what is closed when there is more.
func (s *shell) said() (string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.output), s.grown
}

// signal sends a signal to all of the group. The error is that there is none any more.
func (s *shell) signal(which syscall.Signal) { _ = syscall.Kill(-s.cmd.Process.Pid, which) }

// until waits until the output is as asked for.
func (s *shell) until(is func(output string) bool) error {
	over := time.NewTimer(longest)
	defer over.Stop()
	for {
		output, grown := s.said()
		if is(output) {
			return nil
		}
		select {
		case <-s.ended:
			if output, _ = s.said(); is(output) {
				return nil
			}
			return fmt.Errorf("it ended with exit code %d", s.code)
		case <-grown:
		case <-over.C:
			return fmt.Errorf("not so within %v", longest)
		}
	}
}

// wait waits until the commands have ended by themselves.
func (s *shell) wait() error {
	select {
	case <-s.ended:
		return nil
	case <-time.After(longest):
		s.signal(syscall.SIGKILL)
		<-s.ended
		return fmt.Errorf("not ended within %v", longest)
	}
}

// end tells all of the group to end, and kills it where it does not.
func (s *shell) end() error {
	s.signal(syscall.SIGTERM)
	select {
	case <-s.ended:
		return nil
	case <-time.After(endsWithin):
		s.signal(syscall.SIGKILL)
		<-s.ended
		return fmt.Errorf("had to be killed: told to end, it had not within %v", endsWithin)
	}
}
