package handover

import (
	"flag"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/routing"
)

var updateGolden = flag.Bool("update", false, "write the golden files anew")

// golden returns a file of testdata/golden, after writing it if that was asked for.
func golden(t *testing.T, name string, made []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata/golden", name)
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, made, 0o600))
	}
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	return raw
}

func goldenSettings() ManualSettings {
	return ManualSettings{
		Disabled: []routing.DisabledEndpoint{{ID: "s-0", StartedAt: 5, DisabledAt: 6}, {ID: "s-1", StartedAt: 7, DisabledAt: 8, EnabledAt: 9}},
		Draining: true, DrainSetAt: 10,
	}
}

// The file in testdata/golden was written by the build of commit 3bec2d9, under the name that it has there.
func TestGoldenSettingsFile(t *testing.T) {
	folder := t.TempDir()
	b := NewSettingsFile(folder, "n0", listenAt)
	require.Equal(t, "dunestep-a9bba507c866b909.json", filepath.Base(b.path))
	_, err := b.Update(goldenSettings(), 11)
	require.NoError(t, err)
	made, err := os.ReadFile(b.path)
	require.NoError(t, err)
	want := golden(t, "bans.json", made)
	require.Equal(t, string(want), string(made))
	require.FileExists(t, b.path+".lock")

	require.NoError(t, os.WriteFile(b.path, want, 0o600))
	h, err := b.Read()
	require.NoError(t, err)
	require.Equal(t, goldenSettings(), h)
}

// socketPair is two ends of a connection.
func socketPair(t *testing.T) (one, other *net.UnixConn) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	ends := [2]*net.UnixConn{}
	for i, fd := range pair {
		file := os.NewFile(uintptr(fd), "pair")
		c, err := net.FileConn(file)
		require.NoError(t, err)
		require.NoError(t, file.Close())
		ends[i] = c.(*net.UnixConn)
		t.Cleanup(func() { _ = ends[i].Close() })
	}
	return ends[0], ends[1]
}

// checkGoldenFrame checks that a value is sent as the bytes of a file, and that these are read as the value.
func checkGoldenFrame[T any](t *testing.T, name string, value T) {
	t.Helper()
	out, in := socketPair(t)
	require.NoError(t, writeFrame(out, value, nil))
	require.NoError(t, out.CloseWrite())
	sent, err := io.ReadAll(in)
	require.NoError(t, err)
	want := golden(t, name, sent)
	require.Equal(t, string(want), string(sent))

	out, in = socketPair(t)
	_, err = out.Write(want)
	require.NoError(t, err)
	var read T
	require.NoError(t, readFrame(in, &read))
	require.Equal(t, value, read)
}

// The frames in testdata/golden were sent by the build of commit 3bec2d9.
func TestGoldenFrames(t *testing.T) {
	settings := goldenSettings()
	require.Equal(t, "dunestep-a9bba507c866b909.sock", filepath.Base(pathOf("", "n0", listenAt, socketSuffix)))
	checkGoldenFrame(t, "hello.frame", hello{Format: protocolFormat, Agent: "n0"})
	checkGoldenFrame(t, "offer.frame", Offer{
		Manual: settings, Descriptors: 9, MemoryMB: 8, State: []byte("learned"), FleetState: []byte("agreed"),
		SocketNames: []string{"tcp 127.0.0.1:9000", "udp 127.0.0.1:9000"},
	})
	checkGoldenFrame(t, "offer-without-fleet.frame", Offer{Descriptors: 9, MemoryMB: 8, State: []byte{}, SocketNames: []string{}})
	checkGoldenFrame(t, "note-ready.frame", Notification{Ready: true})
	checkGoldenFrame(t, "note-hand.frame", Notification{Manual: &settings})
	checkGoldenFrame(t, "note-sockets.frame", Notification{Descriptors: 7})
	checkGoldenFrame(t, "note-empty.frame", Notification{})
}
