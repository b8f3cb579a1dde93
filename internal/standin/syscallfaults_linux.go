package standin

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// SyscallFaults makes system calls of a program fail. The program runs under a seccomp filter that reports
// the chosen calls to this process, which lets each go on or fail. It needs no privileges.
type SyscallFaults struct {
	calls  []uint32
	socket *os.File // this process's end of the socket on which the program sends its listener
	wait   sync.WaitGroup

	mu      sync.Mutex
	decide  func(call uint32, args [6]uint64) syscall.Errno // nil: all calls go on
	shorten func(call uint32, args [6]uint64) int           // nil: no call is shortened
	process int                                             // id of the program's process
	failed  int                                             // calls that were made to fail, or shortened
}

// The environment of a program that is to start itself anew by ExecWithSyscallFaults.
const (
	SyscallFaultsProgramEnv = "DUNESTEP_SYSCALL_FAULTS_PROGRAM" // path of the program to become
	syscallFaultsCallsEnv   = "DUNESTEP_SYSCALL_FAULTS_CALLS"
	syscallFaultsSocket     = 3 // descriptor on which the listener is sent
)

// NewSyscallFaults returns faults of system calls, by their numbers, and the environment of a process that
// becomes the program by ExecWithSyscallFaults. The process must be started with File as its first extra
// file.
func NewSyscallFaults(program string, calls ...uint32) (f *SyscallFaults, env []string, err error) {
	for _, call := range calls {
		if _, err := SystemCallName(call); err != nil {
			return nil, nil, err
		}
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("socket pair: %w", err)
	}
	own, others := os.NewFile(uintptr(pair[0]), "faults"), os.NewFile(uintptr(pair[1]), "program")
	f = &SyscallFaults{calls: calls, socket: others}
	f.wait.Go(func() { f.serve(own) })
	list := ""
	for _, call := range calls {
		list += fmt.Sprint(call, " ")
	}
	return f, []string{SyscallFaultsProgramEnv + "=" + program, syscallFaultsCallsEnv + "=" + list}, nil
}

// Start starts the command, which must become the program by ExecWithSyscallFaults.
func (f *SyscallFaults) Start(c *exec.Cmd) error {
	c.ExtraFiles = append(c.ExtraFiles, f.socket)
	err := c.Start()
	if err == nil {
		f.mu.Lock()
		f.process = c.Process.Pid
		f.mu.Unlock()
	}
	return errors.Join(err, f.socket.Close())
}

// Set makes calls fail with the error that decide returns; zero lets a call go on, and nil all calls. decide
// may be called from another goroutine.
func (f *SyscallFaults) Set(decide func(call uint32, args [6]uint64) syscall.Errno) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decide = decide
}

// SetShort makes reads, writes and calls of writev transfer no more bytes than shorten returns; zero lets a
// call go on, and nil all calls. Their descriptors must not block.
func (f *SyscallFaults) SetShort(shorten func(call uint32, args [6]uint64) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shorten = shorten
}

// Failed returns how many calls were made to fail, or shortened, so far.
func (f *SyscallFaults) Failed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// Wait waits until the program has ended.
func (f *SyscallFaults) Wait() { f.wait.Wait() }

// notification is the kernel's struct seccomp_notif.
type notification struct {
	id           uint64
	pid, flags   uint32
	call         int32
	architecture uint32
	instruction  uint64
	args         [6]uint64
}

// notificationResponse is the kernel's struct seccomp_notif_resp.
type notificationResponse struct {
	id    uint64
	value int64
	err   int32
	flags uint32
}

// notificationPollTime is how long the wait for one notification may last, in milliseconds.
const notificationPollTime = 100

// serve decides the reported calls until the program has ended.
func (f *SyscallFaults) serve(own *os.File) {
	listener, err := receiveDescriptor(own)
	_ = own.Close()
	if err != nil {
		return // the program did not start
	}
	defer func() { _ = unix.Close(listener) }()
	for {
		poll := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(poll, notificationPollTime); err != nil && err != unix.EINTR {
			return
		}
		if poll[0].Revents&unix.POLLIN == 0 {
			if poll[0].Revents != 0 { // the last process under the filter has ended
				return
			}
			continue
		}
		f.decideOne(listener)
	}
}

// decideOne receives one call and answers it.
func (f *SyscallFaults) decideOne(listener int) {
	var call notification
	if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_RECV,
		uintptr(unsafe.Pointer(&call))); errno != 0 {
		return // the caller was interrupted, and repeats the call
	}
	response := f.responseTo(&call)
	_, _, _ = unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_SEND,
		uintptr(unsafe.Pointer(&response))) // fails only if the caller was interrupted
}

// responseTo decides a call: it goes on, fails, or is carried out here with fewer bytes.
func (f *SyscallFaults) responseTo(call *notification) notificationResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := uint32(call.call)
	if f.decide != nil {
		if errno := f.decide(number, call.args); errno != 0 {
			f.failed++
			return notificationResponse{id: call.id, err: -int32(errno)}
		}
	}
	if f.shorten == nil {
		return notificationResponse{id: call.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	}
	limit := f.shorten(number, call.args)
	if limit == 0 {
		return notificationResponse{id: call.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	}
	f.failed++
	n, err := transferShort(f.process, int(call.pid), number, call.args, limit)
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return notificationResponse{id: call.id, err: -int32(errno)}
	}
	return notificationResponse{id: call.id, value: int64(n)}
}

// receiveDescriptor receives one descriptor on a socket.
func receiveDescriptor(socket *os.File) (int, error) {
	buffer := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(int(socket.Fd()), make([]byte, 1), buffer, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, fmt.Errorf("receive descriptor: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(buffer[:n])
	if err != nil {
		return 0, fmt.Errorf("parse control message: %w", err)
	}
	if len(messages) != 1 {
		return 0, errNoDescriptor
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, fmt.Errorf("parse descriptor: %w", err)
	}
	return descriptors[0], nil
}

var errNoDescriptor = errors.New("no descriptor was received")

// ExecWithSyscallFaults replaces this process, which Start has started, with the program that its environment
// names. It returns only on an error.
func ExecWithSyscallFaults(args, env []string) error {
	runtime.LockOSThread() // the filter holds for this thread, which becomes the program
	var calls []uint32
	for list := os.Getenv(syscallFaultsCallsEnv); list != ""; {
		var call uint32
		if _, err := fmt.Sscan(list, &call); err != nil {
			break
		}
		calls = append(calls, call)
		list = list[len(fmt.Sprint(call))+1:]
	}
	listener, err := installListener(notifyingFilter(calls))
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(syscallFaultsSocket, []byte{0}, unix.UnixRights(int(listener)), nil, 0); err != nil {
		return fmt.Errorf("send listener: %w", err)
	}
	unix.CloseOnExec(int(listener))
	unix.CloseOnExec(syscallFaultsSocket)
	path := os.Getenv(SyscallFaultsProgramEnv)
	return fmt.Errorf("exec of %s: %w", path, syscall.Exec(path, args, env))
}

// installListener puts the calling thread under a filter and returns its listener. A signal does not
// interrupt a call that the listener has received: the program would repeat it, and a call that was carried
// out here would take effect twice. Linux before 5.19 does not have that.
func installListener(filter []unix.SockFilter) (uintptr, error) {
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER
	listener, err := installFilter(filter, flags|unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV)
	if errors.Is(err, unix.EINVAL) {
		return installFilter(filter, flags)
	}
	return listener, err
}

// notifyingFilter returns a filter that reports the calls to its listener.
func notifyingFilter(calls []uint32) []unix.SockFilter {
	f := append(killOtherArchitectures(), loadInput(callOffset))
	for _, call := range calls {
		f = append(f, skipUnless(unix.BPF_JEQ, call, 1), returnAction(unix.SECCOMP_RET_USER_NOTIF))
	}
	return append(f, returnAction(unix.SECCOMP_RET_ALLOW))
}
