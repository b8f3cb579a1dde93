package standin

import (
	"fmt"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// refusedCalls are the system calls that one of the operators' platforms refuses: those that start other
// programs, and those that move data without passing it through the process.
var refusedCalls = []uint32{
	unix.SYS_FORK, unix.SYS_VFORK,
	unix.SYS_IO_URING_SETUP, unix.SYS_IO_URING_ENTER,
	unix.SYS_IO_URING_REGISTER, unix.SYS_SPLICE, unix.SYS_TEE, unix.SYS_VMSPLICE, unix.SYS_SENDFILE,
}

// ExecConfined replaces this process with a program, by exec, under a seccomp filter: each of the refused
// calls kills it by SIGSYS, and so does a clone that does not create a thread. It needs no privileges. It
// returns only on an error.
func ExecConfined(path string, args, env []string) error {
	runtime.LockOSThread()
	filter := confinementFilter()
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("setting no_new_privs: %w", err)
	}
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_TSYNC, uintptr(unsafe.Pointer(&program))); errno != 0 {
		return fmt.Errorf("installing the system call filter: %w", errno)
	}
	return fmt.Errorf("exec of %s: %w", path, syscall.Exec(path, args, env))
}

// confinementFilter returns the filter as a BPF program. Its input is a seccomp_data: the call's number, the
// architecture, the instruction pointer and the call's arguments.
func confinementFilter() []unix.SockFilter {
	const number, flags = 0, 16
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	ret := func(k uint32) unix.SockFilter { return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: k} }
	unless := func(code uint16, k uint32, skip uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_K | code, K: k, Jf: skip}
	}
	f := []unix.SockFilter{load(number)}
	for _, call := range refusedCalls {
		f = append(f, unless(unix.BPF_JEQ, call, 1), ret(unix.SECCOMP_RET_KILL_PROCESS))
	}
	// Without clone3, the C library falls back to clone, whose flags a filter can read.
	f = append(f, unless(unix.BPF_JEQ, unix.SYS_CLONE3, 1), ret(unix.SECCOMP_RET_ERRNO|uint32(unix.ENOSYS)))
	return append(f, unless(unix.BPF_JEQ, unix.SYS_CLONE, 3), load(flags),
		unless(unix.BPF_JSET, unix.CLONE_THREAD, 2), ret(unix.SECCOMP_RET_ALLOW),
		ret(unix.SECCOMP_RET_ALLOW), ret(unix.SECCOMP_RET_KILL_PROCESS))
}
