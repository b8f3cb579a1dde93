package transport

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A process that is not scheduled finds requests in its sockets that are as old as its pause, or whose
// clients have left meanwhile. What the system knows of a socket tells, however late the process asks.

// minDataAge is the age below which data counts as just arrived: the system's clock ticks every few
// milliseconds.
const minDataAge = 10 * time.Millisecond

// timeSinceData returns the time since the latest data of a connection arrived. It is false where the system
// does not tell.
func timeSinceData(fd uintptr) (time.Duration, bool) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.Rcv_mss == 0 { // a real connection has a segment size
		return 0, false
	}
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	if age < minDataAge {
		age = 0
	}
	return age, true
}

// sentBytes returns how many bytes of a connection its peer's machine has acknowledged, and whether it has
// yet to acknowledge others. It is false where the system does not tell.
func sentBytes(fd uintptr) (acknowledged uint64, hasPending, isKnown bool) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.Rcv_mss == 0 {
		return 0, false, false
	}
	return info.Bytes_acked, info.Unacked > 0 || info.Notsent_bytes > 0, true
}

// acceptQueueLength returns how many connections wait to be accepted on a listening socket.
func acceptQueueLength(fd uintptr) int {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return int(info.Unacked) // of a listening socket
}

// closedEvents are the events that a peer's close or reset leaves on a socket.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL

// isClosedByPeer reports whether a socket's peer has closed or reset the connection. Bytes that it sent
// before may be unread: they hide the end from a reader, but not from the system.
func isClosedByPeer(fd uintptr) bool {
	events, err := pollNow(fd, unix.POLLRDHUP)
	return err == nil && events&closedEvents != 0
}

// isWritableSocket reports whether a socket takes bytes now, or has failed. Where the system does not tell,
// it does.
func isWritableSocket(fd uintptr) bool {
	events, err := pollNow(fd, unix.POLLOUT)
	return err != nil || events != 0
}

// pollNow returns which of some events, and of those of a failed socket, are there now.
func pollNow(fd uintptr, wanted int16) (events int16, err error) {
	sockets := []unix.PollFd{{Fd: int32(fd), Events: wanted}}
	for {
		_, err = unix.Poll(sockets, 0)
		if !errors.Is(err, syscall.EINTR) {
			return sockets[0].Revents, err
		}
	}
}

// maxPeekTries is how often peek tries while the system lacks memory.
const maxPeekTries = 8

// peek reads a byte without removing it, and returns the number of bytes read.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	for tries := 1; ; {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
		case lacksMemory(err) && tries < maxPeekTries:
			tries++
			time.Sleep(minMemoryWait)
		default:
			return n, err
		}
	}
}

// hasInput reports whether a socket has something to read, including its end or an error, without reading it.
func hasInput(fd uintptr) bool {
	_, err := peek(fd)
	return !errors.Is(err, syscall.EAGAIN)
}

// pauseMonitor notices when this process was not scheduled, by a timer that fires late. It is used where the
// system does not tell the age of data. It is safe for concurrent use.
type pauseMonitor struct {
	start     sync.Once
	startedAt time.Time
	tickedAt  atomic.Int64 // time of the last tick, in nanoseconds since startedAt
	pausedAt  atomic.Int64 // begin of the last pause
	resumedAt atomic.Int64 // its end; zero: there was none
}

// pauseTick is the interval of the monitor's timer. A tick that is later than twice the interval is a pause.
const pauseTick = 20 * time.Millisecond

// earliestArrival returns the earliest time at which data that is read now can have arrived, as far as pauses
// of this process tell. The first call starts the monitor.
func (m *pauseMonitor) earliestArrival() time.Time {
	m.start.Do(func() {
		m.startedAt = time.Now()
		time.AfterFunc(pauseTick, m.tick)
	})
	now := time.Since(m.startedAt)
	tickedAt, pausedAt := time.Duration(m.tickedAt.Load()), time.Duration(m.pausedAt.Load())
	resumedAt := time.Duration(m.resumedAt.Load())
	switch {
	case now-tickedAt > 2*pauseTick:
		return m.startedAt.Add(tickedAt)
	case resumedAt > 0 && now-resumedAt < pauseTick:
		return m.startedAt.Add(pausedAt)
	}
	return m.startedAt.Add(now)
}

func (m *pauseMonitor) tick() {
	now := time.Since(m.startedAt)
	if last := time.Duration(m.tickedAt.Load()); now-last > 2*pauseTick {
		m.pausedAt.Store(int64(last))
		m.resumedAt.Store(int64(now))
	}
	m.tickedAt.Store(int64(now))
	time.AfterFunc(pauseTick, m.tick)
}
