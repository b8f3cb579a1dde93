// Package operatorcommand is what staff have told the whole fleet by hand: which booking servers are out. It is a
// machine of the fleet's log; what an agent does about an order is the agent's.
//
// An order only takes away: it makes no server known, and no agent sends where its own list does not let
// it. Without a lease an agent keeps to the orders that it has.
package operatorcommand

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxBytes is what the orders may take, each by its server's id and OverheadBytes more: the log's
	// snapshot is bounded. Of servers that were put back the order is forgotten first.
	MaxBytes      = 32 << 10
	OverheadBytes = 32
	// MaxServerIDBytes is how long a server's id may be, in bytes.
	MaxServerIDBytes = 256
	stateFormat      = 1
)

// Command is the last word on a server.
type Command struct {
	Server   string
	Down     bool
	IssuedBy int           // the agent at which it was said
	IssuedAt time.Duration // Unix time, by that agent's clock
}

// Errors of Encode and Restore.
var (
	ErrInvalidCommand = errors.New("orders: an id of 1 to 256 bytes and a time are needed")
	ErrFormat         = errors.New("orders: a state that this program can't read")
)

// wireCommand is an order in a record, and in the state.
type wireCommand struct {
	Server   string `cbor:"1,keyasint"`
	Down     bool   `cbor:"2,keyasint,omitempty"`
	IssuedBy int    `cbor:"3,keyasint"`
	IssuedAt int64  `cbor:"4,keyasint"` // nanoseconds
}

type wireState struct {
	Format   int           `cbor:"1,keyasint"`
	Commands []wireCommand `cbor:"2,keyasint"`
}

func (o Command) isValid() bool {
	return o.Server != "" && len(o.Server) <= MaxServerIDBytes && o.IssuedAt > 0
}

// Encode is the record that says an order.
func (o Command) Encode() ([]byte, error) {
	if !o.isValid() {
		return nil, ErrInvalidCommand
	}
	return cbor.Marshal(wireCommand{o.Server, o.Down, o.IssuedBy, int64(o.IssuedAt)})
}

func (w wireCommand) command() Command {
	return Command{w.Server, w.Down, w.IssuedBy, time.Duration(w.IssuedAt)}
}

// List holds them. Its zero value has none.
type List struct {
	byServer   map[string]Command
	usedBytes  int
	unreadable uint64
}

// Apply implements fleet.StateMachine. The log's order is what counts: the record that comes later is the last
// word, whatever its time. Where there is no room for a further server the order is passed over, alike at
// all agents.
func (b *List) Apply(_ uint64, data []byte) {
	var w wireCommand
	if err := cbor.Unmarshal(data, &w); err != nil || !w.command().isValid() {
		b.unreadable++
		return
	}
	if b.byServer == nil {
		b.byServer = map[string]Command{}
	}
	o := w.command()
	if before, is := b.byServer[o.Server]; is {
		o.IssuedAt = max(o.IssuedAt, before.IssuedAt+1) // later than what it replaces, also where two agents' clocks differ
	} else {
		for b.usedBytes+costBytes(o) > MaxBytes {
			if !b.evictOldestUp() {
				return
			}
		}
		b.usedBytes += costBytes(o)
	}
	b.byServer[o.Server] = o
}

func costBytes(o Command) int { return len(o.Server) + OverheadBytes }

// forget drops the order of the server that was put back longest ago.
func (b *List) evictOldestUp() bool {
	var oldest *Command
	for _, o := range b.All() {
		if !o.Down && (oldest == nil || o.IssuedAt < oldest.IssuedAt) {
			oldest = &o
		}
	}
	if oldest != nil {
		b.usedBytes -= costBytes(*oldest)
		delete(b.byServer, oldest.Server)
	}
	return oldest != nil
}

// All are the orders, by their servers.
func (b *List) All() []Command {
	byServer := func(o, p Command) int { return cmp.Compare(o.Server, p.Server) }
	return slices.SortedFunc(maps.Values(b.byServer), byServer)
}

// Unreadable is how many records could not be read.
func (b *List) Unreadable() uint64 { return b.unreadable }

// Snapshot implements fleet.StateMachine.
func (b *List) Snapshot() []byte {
	s := wireState{Format: stateFormat}
	for _, o := range b.All() {
		s.Commands = append(s.Commands, wireCommand{o.Server, o.Down, o.IssuedBy, int64(o.IssuedAt)})
	}
	raw, _ := cbor.Marshal(s) // of plain values: it can't fail
	return raw
}

// Restore implements fleet.StateMachine.
func (b *List) Restore(data []byte) error {
	latest, bytes := map[string]Command{}, 0
	if data != nil {
		var s wireState
		if err := cbor.Unmarshal(data, &s); err != nil || s.Format != stateFormat {
			return ErrFormat
		}
		for _, w := range s.Commands {
			if !w.command().isValid() {
				return ErrFormat
			}
			latest[w.Server] = w.command()
			bytes += costBytes(w.command())
		}
	}
	if bytes > MaxBytes {
		return ErrFormat
	}
	b.byServer, b.usedBytes = latest, bytes
	return nil
}
