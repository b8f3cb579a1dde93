package standin

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// refusedCalls are the system calls that one of the operators' platforms refuses: those that start other
// programs, and those that move data without passing it through the process.
var refusedCalls = slices.Concat(processCalls, []uint32{
	unix.SYS_IO_URING_SETUP, unix.SYS_IO_URING_ENTER, unix.SYS_IO_URING_REGISTER,
	unix.SYS_SPLICE, unix.SYS_TEE, unix.SYS_VMSPLICE, unix.SYS_SENDFILE,
})

// ExecConfined replaces this process with a program, by exec, under a seccomp filter: each of the refused
// calls kills it by SIGSYS, and so does a clone that does not create a thread. It needs no privileges. It
// returns only on an error.
func ExecConfined(path string, args, env []string) error {
	runtime.LockOSThread()
	if _, err := installFilter(confinementFilter(), unix.SECCOMP_FILTER_FLAG_TSYNC); err != nil {
		return err
	}
	return fmt.Errorf("exec of %s: %w", path, syscall.Exec(path, args, env))
}

// confinementFilter returns the filter as a BPF program.
func confinementFilter() []unix.SockFilter {
	f := append(killOtherArchitectures(), loadInput(callOffset))
	for _, call := range refusedCalls {
		f = append(f, skipUnless(unix.BPF_JEQ, call, 1), returnAction(unix.SECCOMP_RET_KILL_PROCESS))
	}
	// Without clone3, the C library falls back to clone, whose flags a filter can read.
	f = append(f, skipUnless(unix.BPF_JEQ, unix.SYS_CLONE3, 1),
		returnAction(unix.SECCOMP_RET_ERRNO|uint32(unix.ENOSYS)))
	return append(f, skipUnless(unix.BPF_JEQ, unix.SYS_CLONE, 3), loadInput(firstArgumentOffset),
		skipUnless(unix.BPF_JSET, unix.CLONE_THREAD, 2), returnAction(unix.SECCOMP_RET_ALLOW),
		returnAction(unix.SECCOMP_RET_ALLOW), returnAction(unix.SECCOMP_RET_KILL_PROCESS))
}
