package handover

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dunestep/internal/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var listenAt = netip.MustParseAddrPort("127.0.0.1:9000")

// What Update writes is read again, and merged with what is in the file.
func TestSettingsFile(t *testing.T) {
	b := NewSettingsFile(t.TempDir(), "n0", listenAt)
	h, err := b.Read()
	require.NoError(t, err)
	require.Empty(t, h)
	want := ManualSettings{Draining: true, Disabled: []routing.DisabledEndpoint{{ID: "s-0", StartedAt: 5}, {ID: "s-1", EnabledAt: 7}}}
	h, err = b.Update(want, 8)
	require.NoError(t, err)
	require.Equal(t, want, h)
	h, err = b.Read()
	require.NoError(t, err)
	require.Equal(t, want, h)
	h, err = b.Update(ManualSettings{Disabled: []routing.DisabledEndpoint{{ID: "s-0", EnabledAt: 9}}}, 9+enabledRetention)
	require.NoError(t, err)
	require.Equal(t, ManualSettings{Disabled: []routing.DisabledEndpoint{{ID: "s-0", EnabledAt: 9}}}, h, "an endpoint that was enabled is forgotten in time, and a drain is not taken over")
	require.NoError(t, os.WriteFile(b.path, []byte("{"), 0o600))
	h, err = b.Update(want, 8)
	require.NoError(t, err, "a file that can't be read is replaced")
	require.Equal(t, want, h)
	other := &SettingsFile{path: b.path, agent: "n1"}
	_, err = other.Read()
	require.ErrorContains(t, err, `the file is of agent "n0"`)
}

// Two processes of an agent disable endpoints at the same time: the file has them all.
func TestSettingsFileOfTwoProcesses(t *testing.T) {
	folder := t.TempDir()
	var updates sync.WaitGroup
	const each = 40
	for process := range 2 {
		updates.Go(func() {
			b, set := NewSettingsFile(folder, "n0", listenAt), ManualSettings{}
			for i := range each {
				set.Disabled = routing.MergeDisabled(set.Disabled, []routing.DisabledEndpoint{{ID: fmt.Sprint(process, "-", i), DisabledAt: 1}})
				_, err := b.Update(set, 2)
				require.NoError(t, err)
			}
		})
	}
	updates.Wait()
	h, err := NewSettingsFile(folder, "n0", listenAt).Read()
	require.NoError(t, err)
	require.Len(t, h.Disabled, 2*each)
}

// A notification that is sent before the offer arrives after it.
func TestNotificationsWaitForTheOffer(t *testing.T) {
	folder := t.TempDir()
	m, err := Listen(folder, "n0", listenAt)
	require.NoError(t, err)
	go m.Serve(func(error) {}, func(p *Peer) bool {
		p.Notify(Notification{Descriptors: 7})
		_ = p.SendOffer(Offer{Descriptors: 9, MemoryMB: 8}, nil)
		p.Notify(Notification{Descriptors: 6})
		p.Receive(func(Notification) {})
		return false
	})
	p, offer, _, err := Connect(folder, "n0", listenAt)
	require.NoError(t, err)
	require.Equal(t, 9, offer.Descriptors)
	var received []int
	p.Receive(func(n Notification) {
		if received = append(received, n.Descriptors); len(received) == 2 {
			p.Close()
		}
	})
	require.Equal(t, []int{7, 6}, received)
}

// Two processes meet: the offer comes with its sockets, which both listen listenAt, and notes go both ways.
func TestMeeting(t *testing.T) {
	folder := t.TempDir()
	_, _, _, err := Connect(folder, "n0", listenAt)
	require.ErrorIs(t, err, ErrNoPeer)
	m, err := Listen(folder, "n0", listenAt)
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	offer := Offer{
		Manual: ManualSettings{Disabled: []routing.DisabledEndpoint{{ID: "s-0"}}}, Descriptors: 9, MemoryMB: 8, State: []byte("learned"),
		SocketNames: []string{"tcp x"},
	}
	rejected, received, served := make(chan error, 1), make(chan Notification, 1), make(chan struct{})
	go func() {
		defer close(served)
		first := true
		m.Serve(func(err error) { rejected <- err }, func(p *Peer) bool {
			if !first {
				_ = p.SendOffer(Offer{Descriptors: 9, MemoryMB: 8}, nil)
				return false
			}
			first = false
			_ = p.SendOffer(offer, []syscall.Conn{l.(*net.TCPListener)})
			p.Receive(func(n Notification) {
				received <- n
				p.Notify(Notification{Descriptors: 7})
			})
			return true
		})
	}()
	stranger, err := net.Dial("unix", pathOf(folder, "n0", listenAt, socketSuffix))
	require.NoError(t, err)
	_, _ = stranger.Write([]byte("\xff\xff\xff\xff"))
	require.Error(t, <-rejected)
	_ = stranger.Close()
	p, got, sockets, err := Connect(folder, "n0", listenAt)
	require.NoError(t, err)
	require.Equal(t, offer, got)
	inherited, err := net.FileListener(sockets["tcp x"])
	require.NoError(t, err)
	require.NoError(t, sockets["tcp x"].Close())
	require.Equal(t, l.Addr().String(), inherited.Addr().String())
	require.NoError(t, l.Close(), "the duplicate is still listening")
	c, err := net.Dial("tcp", inherited.Addr().String())
	require.NoError(t, err)
	_ = c.Close()
	_ = inherited.Close()
	p.Notify(Notification{Ready: true})
	require.Equal(t, Notification{Ready: true}, <-received)
	// The one that took over took the path too, and died: it becomes the first one's again.
	dead := &Listener{path: m.path, agent: "n0"}
	require.NoError(t, dead.bind())
	_ = dead.listener.Close()
	p.Receive(func(n Notification) {
		require.Equal(t, Notification{Descriptors: 7}, n)
		p.Close()
	})
	require.Eventually(t, func() bool {
		p, _, sockets, err := Connect(folder, "n0", listenAt)
		if err == nil {
			require.Empty(t, sockets)
			p.Close()
		}
		return err == nil
	}, 10*time.Second, time.Millisecond)
	<-served
}

// FuzzSettings holds what is read of the file to its bounds.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"format":1,"agent":"n0","bans":[{"id":"s-0","started_ns":5}],"drained":true}`))
	f.Add([]byte(`{"format":1,"agent":"n0","bans":[{"id":""}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if h, err := decodeSettings(raw, "n0"); err == nil {
			require.NoError(t, h.validate())
		}
	})
}

// FuzzFrame has a process read any frame: it returns an offer that can be used, or an error, in time.
func FuzzFrame(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x1e{\"sockets\":9,\"memory_mb\":8}    "))
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		require.NoError(t, err)
		ends := make([]*net.UnixConn, 2)
		for i, fd := range pair {
			file := os.NewFile(uintptr(fd), "pair")
			c, err := net.FileConn(file)
			require.NoError(t, err)
			_ = file.Close()
			ends[i] = c.(*net.UnixConn)
			t.Cleanup(func() { _ = c.Close() })
		}
		_, _ = ends[0].Write(raw[:min(len(raw), 64<<10)])
		_ = ends[0].CloseWrite()
		_ = ends[1].SetDeadline(time.Now().Add(time.Second))
		p := &Peer{conn: ends[1]}
		if offer, sockets, err := p.receiveOffer("n0"); err == nil {
			require.Positive(t, offer.Descriptors)
			require.Empty(t, sockets)
		}
	})
}

// A path that is too long for a socket is an error.
func TestFolderTooLongForASocket(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "a-folder-whose-name-is-far-too-long-for-the-name-of-a-socket-in-any-system-that-we-know-of")
	_, err := Listen(folder, "n0", listenAt)
	require.ErrorContains(t, err, "too long")
	_, _, _, err = Connect(folder, "n0", listenAt)
	require.ErrorContains(t, err, "too long")
}
