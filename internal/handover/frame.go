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
	// frameHeaderBytes have the length of the JSON that follows.
	frameHeaderBytes = 4
	// maxFrameBytes bounds how much memory one process makes the other use.
	maxFrameBytes = 8 << 20
	// maxSockets is how many sockets a frame carries.
	maxSockets = 16
	// descriptorBytes is the length of a descriptor in a control message.
	descriptorBytes = 4
)

// writeFrame writes a value with its length before it, and descriptors beside that.
func writeFrame(c *net.UnixConn, value any, fds []int) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("cannot encode a %T: %w", value, err)
	}
	if len(raw) > maxFrameBytes {
		return fmt.Errorf("cannot send a %T: %d bytes are too long", value, len(raw))
	}
	header := binary.BigEndian.AppendUint32(nil, uint32(len(raw)))
	var rights []byte
	if len(fds) > 0 {
		rights = syscall.UnixRights(fds...)
	}
	if _, _, err = c.WriteMsgUnix(header, rights, nil); err != nil {
		return fmt.Errorf("cannot send the header of a %T: %w", value, err)
	}
	if _, err = c.Write(raw); err != nil {
		return fmt.Errorf("cannot send a %T: %w", value, err)
	}
	return nil
}

// readFrame reads a value. Descriptors that come with it are closed: none are expected.
func readFrame(c *net.UnixConn, into any) error {
	files, err := readFrameWithFiles(c, into)
	closeAll(files)
	return err
}

// readFrameWithFiles reads a value and the descriptors that come with it, which are the caller's to close
// also where there is an error.
func readFrameWithFiles(c *net.UnixConn, into any) ([]*os.File, error) {
	header, rights := make([]byte, frameHeaderBytes), make([]byte, syscall.CmsgSpace(descriptorBytes*maxSockets))
	n, m, flags, _, err := c.ReadMsgUnix(header, rights)
	if err != nil {
		return nil, err
	}
	files, err := filesOf(rights[:m])
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
	// memory grows with what comes, not with the length alone
	raw, err := io.ReadAll(io.LimitReader(c, int64(length)))
	if err == nil && len(raw) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return files, err
	}
	return files, json.Unmarshal(raw, into)
}

// filesOf returns the descriptors of a frame's control messages.
func filesOf(rights []byte) (files []*os.File, err error) {
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
		_ = f.Close() // nothing was written to it
	}
}

// duplicate returns another descriptor of a socket, which stays in non-blocking mode: the library's File
// would make the socket itself a blocking one.
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

// checkSameUser returns an error where the process at the other end is another user's.
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
		return fmt.Errorf("cannot tell whose process it is: %w", err)
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("the process is of user %d", cred.Uid)
	}
	return nil
}
