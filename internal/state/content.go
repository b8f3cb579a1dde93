// Package state keeps what an agent learned over its restarts: one small file, replaced as a whole, in a
// folder that lasts. It never holds half of anything: a reader finds a whole file that this agent wrote, or
// none.
//
// Encode and Decode know how a file is laid out, package folder where it lies. Begin puts together what an
// agent starts from, and a Session what of a running one is kept. Nothing here does input or output.
package state

import (
	"fmt"
	"net/netip"
	"time"

	"dunestep/decide"
	"dunestep/internal/core"
	"dunestep/internal/protocol"
	"dunestep/storm"
)

// Content is what is kept. A part that is not there is nil.
type Content struct {
	List   *List            `json:"list,omitempty"`
	Module *decide.Memory   `json:"module,omitempty"`
	Idle   *core.IdleMemory `json:"idle,omitempty"`
	Storm  *storm.Memory    `json:"storm,omitempty"`
}

// List is discovery's list as it was last had.
type List struct {
	Version int64 `cbor:"1,keyasint" json:"version"`
	// Confirmed is when discovery last said that this is the list, in Unix milliseconds; zero: it never did.
	Confirmed int64    `cbor:"2,keyasint,omitempty" json:"confirmed_ms"`
	Servers   []Server `cbor:"3,keyasint,omitempty" json:"servers"`
}

// Server is an entry of the list.
type Server struct {
	ID      string             `cbor:"1,keyasint" json:"id"`
	Addr    string             `cbor:"2,keyasint,omitempty" json:"addr"`
	Zone    string             `cbor:"3,keyasint,omitempty" json:"zone"`
	Kind    string             `cbor:"4,keyasint,omitempty" json:"kind"`
	Cell    int                `cbor:"5,keyasint,omitempty" json:"cell"`
	State   decide.ServerState `cbor:"6,keyasint,omitempty" json:"state"`
	Weight  float64            `cbor:"7,keyasint,omitempty" json:"weight"`
	Started time.Duration      `cbor:"8,keyasint,omitempty" json:"started_ns"` // Unix time; zero: long ago
}

// NewList returns a pool config in the form that is kept.
func NewList(c protocol.PoolConfig, confirmed int64) *List {
	l := &List{Version: c.Version, Confirmed: confirmed, Servers: make([]Server, 0, len(c.Servers))}
	for _, s := range c.Servers {
		addr := ""
		if s.Addr.IsValid() {
			addr = s.Addr.String()
		}
		l.Servers = append(l.Servers, Server{
			ID: s.ID, Addr: addr, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell,
			State: s.State, Weight: s.Weight, Started: s.Started,
		})
	}
	return l
}

// Config returns the list as the pool config that it was. The error tells of the first entry that can't be
// one.
func (l *List) Config() (protocol.PoolConfig, error) {
	c := protocol.PoolConfig{Version: l.Version, Full: true}
	for _, s := range l.Servers {
		entry := protocol.PoolServer{Server: decide.Server{
			ID: s.ID, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell,
			State: s.State, Weight: s.Weight, Started: s.Started,
		}}
		addr, err := netip.ParseAddrPort(s.Addr)
		switch {
		case s.ID == "" || s.State > decide.Draining || !(s.Weight >= 0) || s.Started < 0,
			s.State == decide.Ready && (err != nil || addr.Port() == 0):
			return protocol.PoolConfig{}, fmt.Errorf("state: no list has such a server: %q at %q", s.ID, s.Addr)
		}
		entry.Addr = addr
		c.Servers = append(c.Servers, entry)
	}
	return c, nil
}
