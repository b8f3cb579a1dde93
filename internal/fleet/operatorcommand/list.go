package operatorcommand

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxBytes is the maximum size of all commands, each counted as the size of its server's ID and
	// OverheadBytes. It is needed because the size of the log's snapshot is limited. Only commands that put
	// servers back are evicted.
	MaxBytes = 32 << 10
	// OverheadBytes is counted for each command in addition to its server's ID.
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

// Apply implements fleet.StateMachine. A later record in the log replaces an earlier one about the same
// server, regardless of its time. If there is no capacity for another server, all agents ignore the command.
func (l *List) Apply(_ uint64, data []byte) {
	c, isValid := decodeCommand(data)
	if !isValid {
		l.unreadable++
		return
	}
	if l.byServer == nil {
		l.byServer = map[string]Command{}
	}
	if previous, isKnown := l.byServer[c.Server]; isKnown {
		// Later than the command that it replaces, even if the clocks of the two agents differ.
		c.IssuedAt = max(c.IssuedAt, previous.IssuedAt+1)
	} else {
		for l.usedBytes+costBytes(c) > MaxBytes {
			if !l.evictOldestUpCommand() {
				return
			}
		}
		l.usedBytes += costBytes(c)
	}
	l.byServer[c.Server] = c
}

// costBytes returns the size of a command as it is counted against MaxBytes.
func costBytes(c Command) int { return len(c.Server) + OverheadBytes }

// evictOldestUpCommand removes the oldest command that put a server back, and reports whether there was one.
func (l *List) evictOldestUpCommand() bool {
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

// All returns the commands, ordered by server ID.
func (l *List) All() []Command {
	byServer := func(a, b Command) int { return cmp.Compare(a.Server, b.Server) }
	return slices.SortedFunc(maps.Values(l.byServer), byServer)
}

// Unreadable returns the number of records that could not be decoded.
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

// Restore implements fleet.StateMachine. It returns ErrFormat, and leaves the list unchanged, if the data is
// not a valid state. Without data, the list becomes empty.
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
