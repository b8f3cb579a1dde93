package handover

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// memoryRetryWait is the wait before a call is tried again that failed for want of memory.
const memoryRetryWait = 5 * time.Millisecond

// patientConn tries again what the system refuses for want of memory: that says nothing of the other process,
// which would count as ended if the connection were closed.
type patientConn struct{ *net.UnixConn }

// untilMemory calls operate until it does not fail for want of memory.
func untilMemory(operate func() error) error {
	for {
		err := operate()
		if !errors.Is(err, syscall.ENOMEM) && !errors.Is(err, syscall.ENOBUFS) {
			return err
		}
		time.Sleep(memoryRetryWait)
	}
}

// Read reads what has arrived.
func (c patientConn) Read(b []byte) (n int, err error) {
	err = untilMemory(func() error {
		n, err = c.UnixConn.Read(b)
		return err
	})
	return n, err
}

// Write writes b.
func (c patientConn) Write(b []byte) (written int, err error) {
	err = untilMemory(func() error {
		n, writeErr := c.UnixConn.Write(b[written:])
		written += n
		return writeErr
	})
	return written, err
}

// readMessage reads bytes, and the control messages that arrived with them.
func (c patientConn) readMessage(b, control []byte) (n, controlBytes, flags int, err error) {
	err = untilMemory(func() error {
		n, controlBytes, flags, _, err = c.ReadMsgUnix(b, control)
		return err
	})
	return n, controlBytes, flags, err
}

// writeMessage writes bytes with control messages.
func (c patientConn) writeMessage(b, control []byte) error {
	return untilMemory(func() error {
		_, _, err := c.WriteMsgUnix(b, control, nil)
		return err
	})
}
