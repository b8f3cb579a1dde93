package transport

import (
	"errors"
	"syscall"
)

// localFaults are the errors of opening a connection that are this machine's: it lacks something, or has no
// route to any server. They say nothing of the server.
var localFaults = []error{
	ErrNoDescriptor, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES,
}

// IsLocalFault reports whether DialUpstream failed for a fault of this machine.
func IsLocalFault(err error) bool {
	for _, fault := range localFaults {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}
