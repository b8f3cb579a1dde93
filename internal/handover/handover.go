// Package handover passes state between processes of one agent through a folder that they share, $TMPDIR.
//
// It owns two kinds of files there, whose names come from the agent's name and address, so that agents can
// share a folder: the settings file (settingsfile.go) with what operators have set by hand, which outlives
// the process, and a Unix socket. On the socket a starting process connects to the running one (peer.go,
// listener.go), is given an Offer with listening sockets and state, and both notify each other while they
// run. Frames are JSON with their length before (frame.go).
//
// A SettingsFile locks its file against other processes; a Peer's Notify may be called from several
// goroutines. All else is not safe for concurrent use. No goroutine is started here.
package handover

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"path/filepath"
)

// The kinds of files, by the ends of their names.
const (
	settingsSuffix = "json"
	socketSuffix   = "sock"
)

// maxSocketPath is the longest name of a Unix socket, in bytes, less some for the part that pathOf's caller
// adds.
const maxSocketPath = 100

// pathOf returns the path of a file of the agent whose clients connect at listen.
func pathOf(folder, agent string, listen netip.AddrPort, suffix string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, agent+" "+listen.String()) // a hash's Write does not fail
	return filepath.Join(folder, fmt.Sprintf("dunestep-%016x.%s", sum.Sum64(), suffix))
}

// socketPathOf returns the path of the agent's socket, or an error where the system takes no such name.
func socketPathOf(folder, agent string, listen netip.AddrPort) (string, error) {
	path := pathOf(folder, agent, listen, socketSuffix)
	if len(path) > maxSocketPath {
		return "", fmt.Errorf("handover: the path is too long for a Unix socket: %s", path)
	}
	return path, nil
}
