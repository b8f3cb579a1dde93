package standin

import "golang.org/x/sys/unix"

// auditArchitecture is the architecture that the kernel tells a system call filter of each call.
const auditArchitecture = unix.AUDIT_ARCH_X86_64

// processCalls are the system calls, beside clone and clone3, that start a process.
var processCalls = []uint32{unix.SYS_FORK, unix.SYS_VFORK}

// architectureFileCalls are the system calls that change folders and exist on this architecture, beside those
// that exist on all.
var architectureFileCalls = map[uint32]string{
	unix.SYS_MKDIR:  "mkdir",
	unix.SYS_RENAME: "rename",
}
