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

var at = netip.MustParseAddrPort("127.0.0.1:9000")

// What is written is read; nothing is nothing.
func TestBansFile(t *testing.T) {
	b := NewSettingsFile(t.TempDir(), "n0", at)
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
	require.Equal(t, ManualSettings{Disabled: []routing.DisabledEndpoint{{ID: "s-0", EnabledAt: 9}}}, h, "a lift is forgotten in time, and no drain is taken over")
	require.NoError(t, os.WriteFile(b.path, []byte("{"), 0o600))
	h, err = b.Update(want, 8)
	require.NoError(t, err, "what can't be read is replaced")
	require.Equal(t, want, h)
	other := &SettingsFile{path: b.path, agent: "n1"}
	_, err = other.Read()
	require.ErrorContains(t, err, `it is of agent "n0"`)
}

// Two processes of an agent are told of booking servers at the same time: the file has them all.
func TestBansFileOfTwoProcesses(t *testing.T) {
	folder := t.TempDir()
	var told sync.WaitGroup
	const each = 40
	for process := range 2 {
		told.Go(func() {
			b, set := NewSettingsFile(folder, "n0", at), ManualSettings{}
			for i := range each {
				set.Disabled = routing.MergeDisabled(set.Disabled, []routing.DisabledEndpoint{{ID: fmt.Sprint(process, "-", i), DisabledAt: 1}})
				_, err := b.Update(set, 2)
				require.NoError(t, err)
			}
		})
	}
	told.Wait()
	h, err := NewSettingsFile(folder, "n0", at).Read()
	require.NoError(t, err)
	require.Len(t, h.Disabled, 2*each)
}

// A note that is told before the offer comes after it.
func TestNotesWaitForTheOffer(t *testing.T) {
	folder := t.TempDir()
	m, err := Listen(folder, "n0", at)
	require.NoError(t, err)
	go m.Serve(func(error) {}, func(p *Peer) bool {
		p.Notify(Notification{Descriptors: 7})
		_ = p.SendOffer(Offer{Descriptors: 9, MemoryMB: 8}, nil)
		p.Notify(Notification{Descriptors: 6})
		p.Receive(func(Notification) {})
		return false
	})
	p, offer, _, err := Connect(folder, "n0", at)
	require.NoError(t, err)
	require.Equal(t, 9, offer.Descriptors)
	var notes []int
	p.Receive(func(n Notification) {
		if notes = append(notes, n.Descriptors); len(notes) == 2 {
			p.Close()
		}
	})
	require.Equal(t, []int{7, 6}, notes)
}

// Two processes meet: the offer comes with its sockets, which both listen at, and notes go both ways.
func TestMeeting(t *testing.T) {
	folder := t.TempDir()
	_, _, _, err := Connect(folder, "n0", at)
	require.ErrorIs(t, err, ErrNoPeer)
	m, err := Listen(folder, "n0", at)
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	offer := Offer{
		Manual: ManualSettings{Disabled: []routing.DisabledEndpoint{{ID: "s-0"}}}, Descriptors: 9, MemoryMB: 8, State: []byte("learned"),
		SocketNames: []string{"tcp x"},
	}
	refused, heard, served := make(chan error, 1), make(chan Notification, 1), make(chan struct{})
	go func() {
		defer close(served)
		first := true
		m.Serve(func(err error) { refused <- err }, func(p *Peer) bool {
			if !first {
				_ = p.SendOffer(Offer{Descriptors: 9, MemoryMB: 8}, nil)
				return false
			}
			first = false
			_ = p.SendOffer(offer, []syscall.Conn{l.(*net.TCPListener)})
			p.Receive(func(n Notification) {
				heard <- n
				p.Notify(Notification{Descriptors: 7})
			})
			return true
		})
	}()
	stranger, err := net.Dial("unix", pathOf(folder, "n0", at, "sock"))
	require.NoError(t, err)
	_, _ = stranger.Write([]byte("\xff\xff\xff\xff"))
	require.Error(t, <-refused)
	_ = stranger.Close()
	p, got, sockets, err := Connect(folder, "n0", at)
	require.NoError(t, err)
	require.Equal(t, offer, got)
	inherited, err := net.FileListener(sockets["tcp x"])
	require.NoError(t, err)
	require.NoError(t, sockets["tcp x"].Close())
	require.Equal(t, l.Addr().String(), inherited.Addr().String())
	require.NoError(t, l.Close(), "the other one's end is not the socket's")
	c, err := net.Dial("tcp", inherited.Addr().String())
	require.NoError(t, err)
	_ = c.Close()
	_ = inherited.Close()
	p.Notify(Notification{Ready: true})
	require.Equal(t, Notification{Ready: true}, <-heard)
	// The one that took over took the place too, and died: it is the first one's again.
	dead := &Listener{path: m.path, agent: "n0"}
	require.NoError(t, dead.bind())
	_ = dead.listener.Close()
	p.Receive(func(n Notification) {
		require.Equal(t, Notification{Descriptors: 7}, n)
		p.Close()
	})
	require.Eventually(t, func() bool {
		p, _, sockets, err := Connect(folder, "n0", at)
		if err == nil {
			require.Empty(t, sockets)
			p.Close()
		}
		return err == nil
	}, 10*time.Second, time.Millisecond)
	<-served
}

// FuzzHand holds what is read of the file to its bounds.
func FuzzHand(f *testing.F) {
	f.Add([]byte(`{"format":1,"agent":"n0","bans":[{"id":"s-0","started_ns":5}],"drained":true}`))
	f.Add([]byte(`{"format":1,"agent":"n0","bans":[{"id":""}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if h, err := decodeSettings(raw, "n0"); err == nil {
			require.NoError(t, h.check())
		}
	})
}

// FuzzFrame has a process read any frame: it gives an offer that can be used, or an error, in time.
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
			defer c.Close()
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

// A name that is too long for a socket is told, not cut.
func TestLongFolder(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "a-folder-whose-name-is-far-too-long-for-the-name-of-a-socket-in-any-system-that-we-know-of")
	_, err := Listen(folder, "n0", at)
	require.ErrorContains(t, err, "too long")
	_, _, _, err = Connect(folder, "n0", at)
	require.ErrorContains(t, err, "too long")
}
