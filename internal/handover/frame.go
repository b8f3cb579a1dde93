package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

const (
	// frameHeaderBytes is the size of a frame's header, which is the length of the JSON that follows.
	frameHeaderBytes = 4
	// maxFrameBytes limits the memory that one process can make the other use for a frame.
	maxFrameBytes = 8 << 20
	// maxSockets is the maximum number of sockets in a frame.
	maxSockets = 16
	// descriptorBytes is the size of a descriptor in a control message.
	descriptorBytes = 4
)

// writeFrame sends a value as JSON preceded by its length, and passes the descriptors along with the header.
func writeFrame(conn *net.UnixConn, value any, fds []int) error {
	c := patientConn{conn}
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("cannot encode a %T: %w", value, err)
	}
	if len(raw) > maxFrameBytes {
		return fmt.Errorf("cannot send a %T: %d bytes exceed the maximum frame length", value, len(raw))
	}
	header := binary.BigEndian.AppendUint32(nil, uint32(len(raw)))
	var rights []byte
	if len(fds) > 0 {
		rights = syscall.UnixRights(fds...)
	}
	if err = c.writeMessage(header, rights); err != nil {
		return fmt.Errorf("cannot send the header of a %T: %w", value, err)
	}
	if _, err = c.Write(raw); err != nil {
		return fmt.Errorf("cannot send a %T: %w", value, err)
	}
	return nil
}

// readFrame reads a value. It closes descriptors passed with it, since none are expected.
func readFrame(c *net.UnixConn, into any) error {
	files, err := readFrameWithFiles(c, into)
	closeAll(files)
	return err
}

// readFrameWithFiles reads a value and returns the descriptors passed with it as files. The caller must close
// them, also after an error.
func readFrameWithFiles(conn *net.UnixConn, into any) ([]*os.File, error) {
	c := patientConn{conn}
	header, rights := make([]byte, frameHeaderBytes), make([]byte, syscall.CmsgSpace(descriptorBytes*maxSockets))
	n, m, flags, err := c.readMessage(header, rights)
	if err != nil {
		return nil, err
	}
	files, err := filesFromRights(rights[:m])
	if err != nil {
		return files, fmt.Errorf("cannot read the descriptors of a frame: %w", err)
	}
	if n == 0 || flags&syscall.MSG_CTRUNC != 0 {
		return files, io.ErrUnexpectedEOF
	}
	if _, err = io.ReadFull(c, header[n:]); err != nil {
		return files, err
	}
	length := binary.BigEndian.Uint32(header)
	if length > maxFrameBytes {
		return files, fmt.Errorf("a frame of %d bytes is too long", length)
	}
	// Reads incrementally, so that the memory used depends on the bytes received, not on the announced length.
	raw, err := io.ReadAll(io.LimitReader(c, int64(length)))
	if err == nil && len(raw) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return files, err
	}
	return files, json.Unmarshal(raw, into)
}

// filesFromRights returns the descriptors in a frame's control messages as files. The caller must close them,
// also after an error.
func filesFromRights(rights []byte) (files []*os.File, err error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close() // nothing was written to the descriptor
	}
}

// duplicate returns a second descriptor of a socket and leaves the socket in non-blocking mode. The File
// methods of package net would switch it to blocking mode.
func duplicate(s syscall.Conn) (fd int, err error) {
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(from uintptr) {
		fd, err = duplicateDescriptor(from)
	})
	return fd, errors.Join(controlErr, err)
}

func duplicateDescriptor(from uintptr) (int, error) {
	fd, _, errno := syscall.Syscall(syscall.SYS_FCNTL, from, syscall.F_DUPFD_CLOEXEC, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(fd), nil
}

// checkSameUser returns an error unless the peer process runs as the same user.
func checkSameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	controlErr := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(controlErr, err); err != nil {
		return fmt.Errorf("cannot determine the user of the peer process: %w", err)
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("the peer process belongs to user %d", cred.Uid)
	}
	return nil
}
