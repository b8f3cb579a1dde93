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

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// golden returns the content of a file in testdata/golden. With -update it writes the file first.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata/golden", name)
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, got, 0o600))
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

// The file in testdata/golden was written by the build of commit 3bec2d9. Its content and the path of the settings
// file stay the same.
func TestGoldenSettingsFile(t *testing.T) {
	folder := t.TempDir()
	file := NewSettingsFile(folder, "n0", listenAddr)
	require.Equal(t, "dunestep-a9bba507c866b909.json", filepath.Base(file.path))
	_, err := file.Update(goldenSettings(), 11)
	require.NoError(t, err)
	got, err := os.ReadFile(file.path)
	require.NoError(t, err)
	want := golden(t, "bans.json", got)
	require.Equal(t, string(want), string(got))
	require.FileExists(t, file.path+".lock")

	require.NoError(t, os.WriteFile(file.path, want, 0o600))
	settings, err := file.Read()
	require.NoError(t, err)
	require.Equal(t, goldenSettings(), settings)
}

// socketPair returns the two ends of a connection.
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

// checkGoldenFrame checks that a value is sent as the bytes of a golden file, and that these bytes are received as
// the value.
func checkGoldenFrame[T any](t *testing.T, name string, value T) {
	t.Helper()
	sender, receiver := socketPair(t)
	require.NoError(t, writeFrame(sender, value, nil))
	require.NoError(t, sender.CloseWrite())
	sent, err := io.ReadAll(receiver)
	require.NoError(t, err)
	want := golden(t, name, sent)
	require.Equal(t, string(want), string(sent))

	sender, receiver = socketPair(t)
	_, err = sender.Write(want)
	require.NoError(t, err)
	var read T
	require.NoError(t, readFrame(receiver, &read))
	require.Equal(t, value, read)
}

// The frames in testdata/golden were sent by the build of commit 3bec2d9.
func TestGoldenFrames(t *testing.T) {
	settings := goldenSettings()
	require.Equal(t, "dunestep-a9bba507c866b909.sock", filepath.Base(filePath("", "n0", listenAddr, socketSuffix)))
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
