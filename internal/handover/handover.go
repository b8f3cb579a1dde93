// Package handover passes state between processes of one agent through a shared folder, $TMPDIR.
//
// It creates two kinds of files there. Their names are derived from the agent's name and address, so that
// several agents can share a folder. The settings file (settingsfile.go) contains the manual settings of
// operators and outlives the process. The other file is a Unix socket, on which a starting process connects
// to the running one (peer.go, listener.go) and receives an Offer with listening sockets and state. Both
// notify each other while they run. Frames are JSON preceded by its length (frame.go).
//
// A SettingsFile locks its file against other processes; Peer.Notify and Claimant are safe for concurrent
// use. Everything else is not safe for concurrent use. The package starts no goroutine but a Claimant's.
package handover

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"path/filepath"
)

// Suffixes of the names of the two kinds of files.
const (
	settingsSuffix = "json"
	socketSuffix   = "sock"
)

// maxSocketPathBytes is the maximum length of the agent's socket path in bytes: the system's limit for Unix
// sockets, minus the space for the process id that Listener.bind appends.
const maxSocketPathBytes = 100

// filePath returns the path of the file with this suffix of the agent whose clients connect at listen.
func filePath(folder, agent string, listen netip.AddrPort, suffix string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, agent+" "+listen.String()) // writing to a hash does not fail
	return filepath.Join(folder, fmt.Sprintf("dunestep-%016x.%s", sum.Sum64(), suffix))
}

// socketPath returns the path of the agent's socket, or an error if it is too long for a Unix socket.
func socketPath(folder, agent string, listen netip.AddrPort) (string, error) {
	path := filePath(folder, agent, listen, socketSuffix)
	if len(path) > maxSocketPathBytes {
		return "", fmt.Errorf("handover: the path is too long for a Unix socket: %s", path)
	}
	return path, nil
}
