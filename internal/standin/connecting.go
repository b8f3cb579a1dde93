package standin

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// CountConnecting returns the number of a process's outgoing TCP connections over IPv4 that are not
// established yet. It works on Linux only.
func CountConnecting(pid int) (n int, err error) {
	connecting, err := synSentSockets()
	if err != nil {
		return 0, fmt.Errorf("listing connections in SYN_SENT: %w", err)
	}
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return 0, err
	}
	for _, d := range descriptors {
		if target, err := os.Readlink(d); err == nil && connecting[target] { // an error: closed meanwhile
			n++
		}
	}
	return n, nil
}

// Offsets and lengths in the structures of sock_diag(7), in bytes.
const (
	diagRequestLength = 56
	diagStatesOffset  = 4  // in inet_diag_req_v2
	diagInodeOffset   = 68 // in inet_diag_msg
	diagReplyLength   = 72
)

// synSentSockets returns the system's sockets in the state SYN_SENT, named as in the links of /proc/PID/fd.
// It asks the kernel for these alone, as the table of all sockets also has those closed in the last minute:
// with a hundred thousand of them, reading it takes longer than the timeout of some connections.
func synSentSockets() (map[string]bool, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return nil, err
	}
	defer unix.Close(fd)
	if err := unix.Sendto(fd, synSentRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, err
	}
	found := map[string]bool{}
	for buf := make([]byte, 1<<16); ; {
		n, _, err := unix.Recvfrom(fd, buf, 0)
		if err != nil {
			return nil, err
		}
		messages, err := syscall.ParseNetlinkMessage(buf[:n])
		if err != nil {
			return nil, err
		}
		for _, m := range messages {
			switch {
			case m.Header.Type == unix.NLMSG_DONE:
				return found, nil
			case m.Header.Type == unix.SOCK_DIAG_BY_FAMILY && len(m.Data) >= diagReplyLength:
				inode := binary.NativeEndian.Uint32(m.Data[diagInodeOffset:])
				found[fmt.Sprintf("socket:[%d]", inode)] = true
			default:
				return nil, fmt.Errorf("sock_diag: unexpected message of type %d", m.Header.Type)
			}
		}
	}
}

// synSentRequest returns the netlink request for all TCP sockets over IPv4 in the state SYN_SENT.
func synSentRequest() []byte {
	b := make([]byte, unix.NLMSG_HDRLEN+diagRequestLength)
	binary.NativeEndian.PutUint32(b, uint32(len(b)))
	binary.NativeEndian.PutUint16(b[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	request := b[unix.NLMSG_HDRLEN:]
	request[0], request[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[diagStatesOffset:], 1<<unix.BPF_TCP_SYN_SENT)
	return b
}
