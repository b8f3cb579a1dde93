package transport

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// The system may lack memory for a moment when a socket is read or written. That says nothing of the peer,
// and the connection is as good as before: the functions of this file try again until its deadline or close.

// The wait before trying again doubles from the first to the second.
const minMemoryWait, maxMemoryWait = time.Millisecond, 20 * time.Millisecond

// memoryLog logs reads and writes that were tried again.
var memoryLog rateLimitedLog

func lacksMemory(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
}

// untilMemory calls operate until it does not fail for want of memory.
func untilMemory(operate func() error) error {
	for wait := minMemoryWait; ; wait = min(2*wait, maxMemoryWait) {
		err := operate()
		if !lacksMemory(err) {
			return err
		}
		memoryLog.warn("the system lacks memory for a socket, trying again", "error", err)
		time.Sleep(wait)
	}
}

// readConn reads from a connection.
func readConn(conn net.Conn, b []byte) (n int, err error) {
	if n, err = conn.Read(b); n > 0 || !lacksMemory(err) {
		return n, err
	}
	err = untilMemory(func() error {
		n, err = conn.Read(b)
		return err
	})
	return n, err
}

// connWriter writes to a connection.
type connWriter struct{ net.Conn }

func (w connWriter) Write(b []byte) (written int, err error) {
	if written, err = w.Conn.Write(b); !lacksMemory(err) {
		return written, err
	}
	err = untilMemory(func() error {
		n, writeErr := w.Conn.Write(b[written:])
		written += n
		return writeErr
	})
	return written, err
}

// writeBuffers writes the buffers, with one system call where possible.
func (w connWriter) writeBuffers(buffers net.Buffers) error {
	return untilMemory(func() error {
		_, err := buffers.WriteTo(w.Conn) // takes off what it has written
		return err
	})
}
