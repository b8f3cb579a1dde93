package operatorcommand

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxBytes bounds the commands, each counted by its server's ID and OverheadBytes, as the log's snapshot is
	// bounded. Commands that put servers back are evicted first.
	MaxBytes = 32 << 10
	// OverheadBytes is counted for each command beside its server's ID.
	OverheadBytes = 32

	stateFormat = 1
)

// wireState is the state in a snapshot.
type wireState struct {
	Format   int           `cbor:"1,keyasint"`
	Commands []wireCommand `cbor:"2,keyasint"`
}

// List is the state machine. Its zero value has no commands.
type List struct {
	byServer   map[string]Command
	usedBytes  int
	unreadable uint64
}

// Apply implements fleet.StateMachine. The order of the log counts: a later record replaces an earlier one,
// whatever its time. If there is no capacity for a further server, the command is ignored, at all agents
// alike.
func (l *List) Apply(_ uint64, data []byte) {
	c, isValid := decodeCommand(data)
	if !isValid {
		l.unreadable++
		return
	}
	if l.byServer == nil {
		l.byServer = map[string]Command{}
	}
	if former, isKnown := l.byServer[c.Server]; isKnown {
		// Later than the one that it replaces, even if the clocks of two agents differ.
		c.IssuedAt = max(c.IssuedAt, former.IssuedAt+1)
	} else {
		for l.usedBytes+costBytes(c) > MaxBytes {
			if !l.evictOldestUp() {
				return
			}
		}
		l.usedBytes += costBytes(c)
	}
	l.byServer[c.Server] = c
}

func costBytes(c Command) int { return len(c.Server) + OverheadBytes }

// evictOldestUp removes the oldest command that put a server back, and reports whether there was one.
func (l *List) evictOldestUp() bool {
	var oldest *Command
	for _, c := range l.All() {
		if !c.Down && (oldest == nil || c.IssuedAt < oldest.IssuedAt) {
			oldest = &c
		}
	}
	if oldest == nil {
		return false
	}
	l.usedBytes -= costBytes(*oldest)
	delete(l.byServer, oldest.Server)
	return true
}

// All returns the commands, ordered by their servers.
func (l *List) All() []Command {
	byServer := func(a, b Command) int { return cmp.Compare(a.Server, b.Server) }
	return slices.SortedFunc(maps.Values(l.byServer), byServer)
}

// Unreadable returns how many records could not be decoded.
func (l *List) Unreadable() uint64 { return l.unreadable }

// Snapshot implements fleet.StateMachine.
func (l *List) Snapshot() []byte {
	s := wireState{Format: stateFormat}
	for _, c := range l.All() {
		s.Commands = append(s.Commands, c.wire())
	}
	b, _ := cbor.Marshal(s) // no error: strings and numbers only
	return b
}

// Restore implements fleet.StateMachine. It returns ErrFormat, and leaves the list unchanged, for data that
// is no state.
func (l *List) Restore(data []byte) error {
	byServer, usedBytes := map[string]Command{}, 0
	if data != nil {
		var s wireState
		if err := cbor.Unmarshal(data, &s); err != nil || s.Format != stateFormat {
			return ErrFormat
		}
		for _, w := range s.Commands {
			c := w.command()
			if !c.isValid() {
				return ErrFormat
			}
			byServer[c.Server] = c
			usedBytes += costBytes(c)
		}
	}
	if usedBytes > MaxBytes {
		return ErrFormat
	}
	l.byServer, l.usedBytes = byServer, usedBytes
	return nil
}
