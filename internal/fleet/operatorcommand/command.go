// Package operatorcommand stores the commands that operators have given to all agents of the fleet, which
// take upstream servers out of service or put them back. It is a state machine of the fleet's log; each agent
// carries out the commands by itself.
//
// A command can only exclude a server: it adds none, and no agent forwards to a server that is not in its own
// endpoint list. An agent without a lease keeps following the commands that it has.
//
// The package does no I/O and reads no clock. Its state depends on the applied records only. A List starts no
// goroutines and is not safe for concurrent use.
package operatorcommand

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxServerIDBytes is the maximum size of a server's ID.
const MaxServerIDBytes = 256

// Errors of Encode and Restore.
var (
	// ErrInvalidCommand reports that a command has no server ID of 1 to 256 bytes, or no time.
	ErrInvalidCommand = errors.New("an operator command needs a server ID of 1 to 256 bytes and a time")
	// ErrFormat reports that a state cannot be decoded.
	ErrFormat = errors.New("the state of the operator commands cannot be decoded")
)

// Command is the latest command about a server.
type Command struct {
	Server   string
	Down     bool          // true: the server is taken out; false: it is put back
	IssuedBy int           // agent at which the command was given
	IssuedAt time.Duration // Unix time by that agent's clock
}

func (c Command) isValid() bool {
	return c.Server != "" && len(c.Server) <= MaxServerIDBytes && c.IssuedAt > 0
}

// Encode returns the record of a command, or ErrInvalidCommand.
func (c Command) Encode() ([]byte, error) {
	if !c.isValid() {
		return nil, ErrInvalidCommand
	}
	b, err := cbor.Marshal(c.wire())
	if err != nil {
		return nil, fmt.Errorf("cannot encode the command about server %q: %w", c.Server, err)
	}
	return b, nil
}

// decodeCommand decodes a record. It returns false if the record is not a valid command.
func decodeCommand(data []byte) (Command, bool) {
	var w wireCommand
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Command{}, false
	}
	return w.command(), w.command().isValid()
}

// wireCommand is a command in a record and in the state.
type wireCommand struct {
	Server   string `cbor:"1,keyasint"`
	Down     bool   `cbor:"2,keyasint,omitempty"`
	IssuedBy int    `cbor:"3,keyasint"`
	IssuedAt int64  `cbor:"4,keyasint"` // Unix nanoseconds
}

func (c Command) wire() wireCommand {
	return wireCommand{c.Server, c.Down, c.IssuedBy, int64(c.IssuedAt)}
}

func (w wireCommand) command() Command {
	return Command{w.Server, w.Down, w.IssuedBy, time.Duration(w.IssuedAt)}
}
