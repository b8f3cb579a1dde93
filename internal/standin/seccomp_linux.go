package standin

import (
	"fmt"
	"runtime"
	"sync"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Offsets in the input of a system call filter, the kernel's struct seccomp_data.
const (
	callOffset          = 0
	architectureOffset  = 4
	firstArgumentOffset = 16 // the lower half of the first argument on a little-endian machine
)

// loadInput returns the instruction that loads a word of a filter's input.
func loadInput(offset uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
}

// returnAction returns the instruction that ends a filter with an action.
func returnAction(action uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
}

// skipUnless returns the instruction that skips some others unless a comparison of the loaded word holds.
func skipUnless(comparison uint16, k uint32, skipped uint8) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_K | comparison, K: k, Jf: skipped}
}

// killOtherArchitectures begins a filter: call numbers mean something only on one architecture.
func killOtherArchitectures() []unix.SockFilter {
	return []unix.SockFilter{
		loadInput(architectureOffset),
		{Code: unix.BPF_JMP | unix.BPF_K | unix.BPF_JEQ, K: auditArchitecture, Jt: 1},
		returnAction(unix.SECCOMP_RET_KILL_PROCESS),
	}
}

// installFilter puts the calling thread under a filter, which it can never leave, and returns what the kernel
// does: a descriptor if the flags ask for a listener. It needs no privileges.
func installFilter(filter []unix.SockFilter, flags uintptr) (uintptr, error) {
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("setting no_new_privs: %w", err)
	}
	result, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags,
		uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return 0, fmt.Errorf("installing the system call filter: %w", errno)
	}
	return result, nil
}

// ListenerRefusal returns why this machine refuses a filter that reports system calls to a listener, on which
// SyscallFaults relies; nil if it allows one.
var ListenerRefusal = sync.OnceValue(func() error {
	return refusalOf(unix.SECCOMP_FILTER_FLAG_NEW_LISTENER)
})

// FilterRefusal returns why this machine refuses a system call filter, on which ExecConfined relies; nil if
// it allows one.
var FilterRefusal = sync.OnceValue(func() error { return refusalOf(0) })

// refusalOf returns why this machine refuses a filter with these flags; nil if it allows one.
func refusalOf(flags uintptr) error {
	allowAll := []unix.SockFilter{returnAction(unix.SECCOMP_RET_ALLOW)}
	return onThreadOfItsOwn(func() error {
		result, err := installFilter(allowAll, flags)
		if err != nil || flags&unix.SECCOMP_FILTER_FLAG_NEW_LISTENER == 0 {
			return err
		}
		return unix.Close(int(result))
	})
}

// onThreadOfItsOwn calls f on a thread that ends after it.
func onThreadOfItsOwn(f func() error) error {
	result := make(chan error)
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		result <- f()
	}()
	return <-result
}
