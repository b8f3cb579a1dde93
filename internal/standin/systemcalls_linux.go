package standin

import (
	"fmt"
	"maps"
	"runtime"
	"slices"

	"golang.org/x/sys/unix"
)

// fileCalls are the system calls of all architectures that write files or change folders.
var fileCalls = map[uint32]string{
	unix.SYS_PWRITE64:  "pwrite64",
	unix.SYS_FSYNC:     "fsync",
	unix.SYS_FDATASYNC: "fdatasync",
	unix.SYS_RENAMEAT:  "renameat",
	unix.SYS_RENAMEAT2: "renameat2",
	unix.SYS_FTRUNCATE: "ftruncate",
	unix.SYS_MKDIRAT:   "mkdirat",
	unix.SYS_LINKAT:    "linkat",
	unix.SYS_FALLOCATE: "fallocate",
}

// descriptorCalls are the system calls of all architectures on sockets, and on any descriptor.
var descriptorCalls = map[uint32]string{
	unix.SYS_ACCEPT4:     "accept4",
	unix.SYS_CONNECT:     "connect",
	unix.SYS_EPOLL_PWAIT: "epoll_pwait",
	unix.SYS_OPENAT:      "openat",
	unix.SYS_READ:        "read",
	unix.SYS_RECVFROM:    "recvfrom",
	unix.SYS_RECVMSG:     "recvmsg",
	unix.SYS_SENDTO:      "sendto",
	unix.SYS_SOCKET:      "socket",
	unix.SYS_WRITE:       "write",
	unix.SYS_WRITEV:      "writev",
}

// FileCalls returns the numbers of the system calls that write files or change folders, and of no others.
func FileCalls() []uint32 {
	return slices.Concat(slices.Sorted(maps.Keys(fileCalls)), slices.Sorted(maps.Keys(architectureFileCalls)))
}

// SystemCallName returns the name of a system call that SyscallFaults can make fail on this architecture.
func SystemCallName(call uint32) (string, error) {
	for _, calls := range []map[uint32]string{descriptorCalls, fileCalls, architectureFileCalls} {
		if name, ok := calls[call]; ok {
			return name, nil
		}
	}
	return "", UnknownCallError{call}
}

// UnknownCallError reports a system call number that SyscallFaults does not know on this architecture.
type UnknownCallError struct{ Call uint32 }

func (e UnknownCallError) Error() string {
	return fmt.Sprintf("system call %d is not known on %s/%s", e.Call, runtime.GOOS, runtime.GOARCH)
}
