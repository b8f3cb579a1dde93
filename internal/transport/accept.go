package transport

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// The wait before accepting again after an error doubles from the first to the second.
const minAcceptWait, maxAcceptWait = time.Millisecond, 50 * time.Millisecond

// acceptErrors are the errors after which a listening socket accepts no more. All others concern one
// connection, or something that this machine lacks for a moment.
var acceptErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// acceptLog logs errors of accepting.
var acceptLog rateLimitedLog

// acceptNext accepts a connection, however often that fails before. It returns an error only if the socket
// accepts no more.
func acceptNext(l net.Listener) (net.Conn, error) {
	for wait := minAcceptWait; ; wait = min(2*wait, maxAcceptWait) {
		conn, err := l.Accept()
		if err == nil {
			return conn, nil
		}
		for _, final := range acceptErrors {
			if errors.Is(err, final) {
				return nil, err
			}
		}
		acceptLog.warn("accepting a connection failed, trying again", "listen", l.Addr(), "error", err)
		time.Sleep(wait)
	}
}
