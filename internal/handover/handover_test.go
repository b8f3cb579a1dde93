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

var listenAddr = netip.MustParseAddrPort("127.0.0.1:9000")

// Read returns what Update wrote, and Update merges its settings into the file.
func TestSettingsFile(t *testing.T) {
	file := NewSettingsFile(t.TempDir(), "n0", listenAddr)
	got, err := file.Read()
	require.NoError(t, err)
	require.Empty(t, got)
	want := ManualSettings{Draining: true, Disabled: []routing.DisabledEndpoint{{ID: "s-0", StartedAt: 5}, {ID: "s-1", EnabledAt: 7}}}
	got, err = file.Update(want, 8)
	require.NoError(t, err)
	require.Equal(t, want, got)
	got, err = file.Read()
	require.NoError(t, err)
	require.Equal(t, want, got)
	got, err = file.Update(ManualSettings{Disabled: []routing.DisabledEndpoint{{ID: "s-0", EnabledAt: 9}}}, 9+enabledRetention)
	require.NoError(t, err)
	require.Equal(t, ManualSettings{Disabled: []routing.DisabledEndpoint{{ID: "s-0", EnabledAt: 9}}}, got, "Update must drop endpoints enabled longer ago than enabledRetention, and must not inherit a drain")
	require.NoError(t, os.WriteFile(file.path, []byte("{"), 0o600))
	got, err = file.Update(want, 8)
	require.NoError(t, err, "Update must replace an unreadable file")
	require.Equal(t, want, got)
	other := &SettingsFile{path: file.path, agent: "n1"}
	_, err = other.Read()
	require.ErrorContains(t, err, `the file belongs to agent "n0"`)
}

// When two processes of an agent disable endpoints concurrently, the file contains all of them.
func TestSettingsFileOfTwoProcesses(t *testing.T) {
	folder := t.TempDir()
	var updates sync.WaitGroup
	const each = 40
	for process := range 2 {
		updates.Go(func() {
			file, settings := NewSettingsFile(folder, "n0", listenAddr), ManualSettings{}
			for i := range each {
				settings.Disabled = routing.MergeDisabled(settings.Disabled, []routing.DisabledEndpoint{{ID: fmt.Sprint(process, "-", i), DisabledAt: 1}})
				_, err := file.Update(settings, 2)
				require.NoError(t, err)
			}
		})
	}
	updates.Wait()
	got, err := NewSettingsFile(folder, "n0", listenAddr).Read()
	require.NoError(t, err)
	require.Len(t, got.Disabled, 2*each)
}

// After a new process has gone, the folder of the socket fails for a moment. The next new process reaches the running one
// all the same.
func TestSocketThatCannotBeBoundForAMoment(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "f")
	away := folder + "-away"
	require.NoError(t, os.Mkdir(folder, 0o700))
	listener, err := Listen(folder, "n0", listenAddr)
	require.NoError(t, err)
	served, failed := make(chan struct{}), make(chan error, 100)
	handled := 0
	go func() {
		defer close(served)
		listener.Serve(func(err error) { failed <- err }, func(p *Peer) bool {
			_ = p.SendOffer(Offer{Descriptors: 9, MemoryMB: 8}, nil)
			p.Receive(func(Notification) {})
			if handled++; handled > 1 {
				return false
			}
			_ = os.Rename(folder, away)
			return true
		})
	}()
	first, _, _, err := Connect(folder, "n0", listenAddr)
	require.NoError(t, err)
	first.Close()
	require.Error(t, <-failed)
	require.NoError(t, os.Rename(away, folder))
	require.NoError(t, os.Remove(listener.path)) // that of the process that has gone
	var second *Peer
	require.Eventually(t, func() bool {
		second, _, _, err = Connect(folder, "n0", listenAddr)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	second.Close()
	<-served
}

// A notification sent before the offer arrives after it.
func TestNotificationsWaitForTheOffer(t *testing.T) {
	folder := t.TempDir()
	listener, err := Listen(folder, "n0", listenAddr)
	require.NoError(t, err)
	go listener.Serve(func(error) {}, func(p *Peer) bool {
		p.Notify(Notification{Descriptors: 7})
		_ = p.SendOffer(Offer{Descriptors: 9, MemoryMB: 8}, nil)
		p.Notify(Notification{Descriptors: 6})
		p.Receive(func(Notification) {})
		return false
	})
	p, offer, _, err := Connect(folder, "n0", listenAddr)
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

// A new process receives the offer with a listening socket that both processes can accept on, and notifications pass
// in both directions.
func TestConnectReceivesOfferSocketsAndNotifications(t *testing.T) {
	folder := t.TempDir()
	_, _, _, err := Connect(folder, "n0", listenAddr)
	require.ErrorIs(t, err, ErrNoPeer)
	listener, err := Listen(folder, "n0", listenAddr)
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
		listener.Serve(func(err error) { rejected <- err }, func(p *Peer) bool {
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
	stranger, err := net.Dial("unix", filePath(folder, "n0", listenAddr, socketSuffix))
	require.NoError(t, err)
	_, _ = stranger.Write([]byte("\xff\xff\xff\xff"))
	require.Error(t, <-rejected)
	_ = stranger.Close()
	p, got, sockets, err := Connect(folder, "n0", listenAddr)
	require.NoError(t, err)
	require.Equal(t, offer, got)
	inherited, err := net.FileListener(sockets["tcp x"])
	require.NoError(t, err)
	require.NoError(t, sockets["tcp x"].Close())
	require.Equal(t, l.Addr().String(), inherited.Addr().String())
	require.NoError(t, l.Close(), "the inherited duplicate must stay open")
	c, err := net.Dial("tcp", inherited.Addr().String())
	require.NoError(t, err)
	_ = c.Close()
	_ = inherited.Close()
	p.Notify(Notification{Ready: true})
	require.Equal(t, Notification{Ready: true}, <-received)
	// The new process also took over the socket's path and then ended: the first process binds the path again.
	dead := &Listener{path: listener.path, agent: "n0"}
	require.NoError(t, dead.bind())
	_ = dead.listener.Close()
	p.Receive(func(n Notification) {
		require.Equal(t, Notification{Descriptors: 7}, n)
		p.Close()
	})
	require.Eventually(t, func() bool {
		p, _, sockets, err := Connect(folder, "n0", listenAddr)
		if err == nil {
			require.Empty(t, sockets)
			p.Close()
		}
		return err == nil
	}, 10*time.Second, time.Millisecond)
	<-served
}

// FuzzSettings checks that settings decoded without an error are valid.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"format":1,"agent":"n0","bans":[{"id":"s-0","started_ns":5}],"drained":true}`))
	f.Add([]byte(`{"format":1,"agent":"n0","bans":[{"id":""}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if settings, err := decodeSettings(raw, "n0"); err == nil {
			require.NoError(t, settings.validate())
		}
	})
}

// FuzzFrame checks that receiving an arbitrary frame returns a valid offer or an error, and does not hang.
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

// Listen and Connect return an error if the folder's path is too long for a Unix socket.
func TestFolderTooLongForASocket(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "a-folder-whose-name-is-far-too-long-for-the-name-of-a-socket-in-any-system-that-we-know-of")
	_, err := Listen(folder, "n0", listenAddr)
	require.ErrorContains(t, err, "too long")
	_, _, _, err = Connect(folder, "n0", listenAddr)
	require.ErrorContains(t, err, "too long")
}

// Guards against a ban that was confirmed and is lost: one process updates the settings for longer than the other waits, as
// on a disk that stands still. Neither overwrites what the other has stored.
func TestSettingsFileWhileAnotherUpdateTakesLong(t *testing.T) {
	folder := t.TempDir()
	disabled := func(id string) ManualSettings {
		return ManualSettings{Disabled: []routing.DisabledEndpoint{{ID: id, DisabledAt: 1}}}
	}
	file := NewSettingsFile(folder, "n0", listenAddr)
	_, err := file.Update(disabled("before"), 2)
	require.NoError(t, err)

	slow := NewSettingsFile(folder, "n0", listenAddr)
	unlock, isLocked := slow.lock()
	require.True(t, isLocked)
	read, err := slow.Read()
	require.NoError(t, err)
	began := time.Now()
	merged, err := file.Update(disabled("meanwhile"), 2)
	require.NoError(t, err)
	require.Len(t, merged.Disabled, 2)
	require.Less(t, time.Since(began), time.Second, "operators get a response")
	requireDisabled := func(ids ...string) {
		t.Helper()
		got, readErr := NewSettingsFile(folder, "n0", listenAddr).Read()
		require.NoError(t, readErr)
		var found []string
		for _, e := range got.Disabled {
			found = append(found, e.ID)
		}
		require.ElementsMatch(t, ids, found)
	}
	requireDisabled("before", "meanwhile")
	require.NoError(t, slow.write(slow.path, Merge(read, disabled("slow"), 2)))
	unlock()
	requireDisabled("before", "meanwhile", "slow")

	_, err = file.Update(disabled("after"), 2)
	require.NoError(t, err)
	requireDisabled("before", "meanwhile", "slow", "after")
	require.Empty(t, file.pendingPaths(), "they are merged once the lock is free")
}
