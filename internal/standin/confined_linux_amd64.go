package standin

import (
	"fmt"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// refusedCalls are the system calls that a platform of the operators' refuses: those that start other
// programs, and those that move data past the process.
var refusedCalls = []uint32{
	unix.SYS_FORK, unix.SYS_VFORK,
	unix.SYS_IO_URING_SETUP, unix.SYS_IO_URING_ENTER,
	unix.SYS_IO_URING_REGISTER, unix.SYS_SPLICE, unix.SYS_TEE, unix.SYS_VMSPLICE, unix.SYS_SENDFILE,
}

// Confined puts a program in the place of this process, where each of the refused calls ends it by SIGSYS,
// and so does a clone that is no thread. It needs no rights. It returns only what kept it from doing so.
func Confined(path string, args, env []string) error {
	runtime.LockOSThread()
	filter := confinement()
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_TSYNC, uintptr(unsafe.Pointer(&program))); errno != 0 {
		return fmt.Errorf("filter of system calls: %w", errno)
	}
	return fmt.Errorf("exec of %s: %w", path, syscall.Exec(path, args, env))
}

// confinement is the filter, in the kernel's form. Its input is the call's number, then the architecture, the
// place it came from, and its arguments.
func confinement() []unix.SockFilter {
	const number, flags = 0, 16
	load := func(at uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: at}
	}
	ret := func(what uint32) unix.SockFilter { return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: what} }
	unless := func(code uint16, k uint32, skip uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_K | code, K: k, Jf: skip}
	}
	f := []unix.SockFilter{load(number)}
	for _, call := range refusedCalls {
		f = append(f, unless(unix.BPF_JEQ, call, 1), ret(unix.SECCOMP_RET_KILL_PROCESS))
	}
	// The C library goes back to clone, whose flags a filter can see, where there is no clone3.
	f = append(f, unless(unix.BPF_JEQ, unix.SYS_CLONE3, 1), ret(unix.SECCOMP_RET_ERRNO|uint32(unix.ENOSYS)))
	return append(f, unless(unix.BPF_JEQ, unix.SYS_CLONE, 3), load(flags),
		unless(unix.BPF_JSET, unix.CLONE_THREAD, 2), ret(unix.SECCOMP_RET_ALLOW),
		ret(unix.SECCOMP_RET_ALLOW), ret(unix.SECCOMP_RET_KILL_PROCESS))
}
