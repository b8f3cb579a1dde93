package standin

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// Connecting counts a process's TCP connections over IPv4 that have been asked for and have not come up. Only
// on Linux.
func Connecting(pid int) (n int, err error) {
	waiting, err := synSent()
	if err != nil {
		return 0, fmt.Errorf("connections that have not come up: %w", err)
	}
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return 0, err
	}
	for _, d := range descriptors {
		if to, err := os.Readlink(d); err == nil && waiting[to] { // else it was closed just now
			n++
		}
	}
	return n, nil
}

// Where fields stand in the structures of sock_diag(7), and how long they are.
const (
	diagRequestLength = 56
	diagStatesAt      = 4  // in inet_diag_req_v2
	diagInodeAt       = 68 // in inet_diag_msg
	diagReplyLength   = 72
)

// synSent is the set of the system's sockets in the state SYN_SENT, as links of descriptors name them. Guards
// against reading the system's table of all, which has those that ended in the last minute, too: with a
// hundred thousand of them that takes longer than some connections are waited for.
func synSent() (map[string]bool, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return nil, err
	}
	defer unix.Close(fd)
	if err := unix.Sendto(fd, synSentRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, err
	}
	found := map[string]bool{}
	for room := make([]byte, 1<<16); ; {
		n, _, err := unix.Recvfrom(fd, room, 0)
		if err != nil {
			return nil, err
		}
		messages, err := syscall.ParseNetlinkMessage(room[:n])
		if err != nil {
			return nil, err
		}
		for _, m := range messages {
			switch {
			case m.Header.Type == unix.NLMSG_DONE:
				return found, nil
			case m.Header.Type == unix.SOCK_DIAG_BY_FAMILY && len(m.Data) >= diagReplyLength:
				inode := binary.NativeEndian.Uint32(m.Data[diagInodeAt:])
				found[fmt.Sprintf("socket:[%d]", inode)] = true
			default:
				return nil, fmt.Errorf("sock_diag: a message of type %d", m.Header.Type)
			}
		}
	}
}

// synSentRequest asks for all TCP sockets over IPv4 in the state SYN_SENT.
func synSentRequest() []byte {
	b := make([]byte, unix.NLMSG_HDRLEN+diagRequestLength)
	binary.NativeEndian.PutUint32(b, uint32(len(b)))
	binary.NativeEndian.PutUint16(b[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	request := b[unix.NLMSG_HDRLEN:]
	request[0], request[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[diagStatesAt:], 1<<unix.BPF_TCP_SYN_SENT)
	return b
}
