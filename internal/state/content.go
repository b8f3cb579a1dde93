// Package state keeps what an agent learned over its restarts: one small file, replaced as a whole, in a
// folder that lasts. It never holds half of anything: a reader finds a whole file that this agent wrote, or
// none.
//
// Encode and Decode know how a file is laid out, package folder where it lies. NewInitial puts together what an
// agent starts from, and a Recorder what of a running one is kept. Nothing here does input or output.
package state

import (
	"fmt"
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// Content is what is kept. A part that is not there is nil.
type Content struct {
	List            *StoredList           `json:"list,omitempty"`
	Balancer        *balancer.Snapshot    `json:"module,omitempty"`
	IdleConnections *routing.IdleSnapshot `json:"idle,omitempty"`
	Overload        *overload.Snapshot    `json:"storm,omitempty"`
}

// StoredList is discovery's list as it was last had.
type StoredList struct {
	Version int64 `cbor:"1,keyasint" json:"version"`
	// ConfirmedAt is when discovery last said that this is the list, in Unix milliseconds; zero: it never did.
	ConfirmedMS int64            `cbor:"2,keyasint,omitempty" json:"confirmed_ms"`
	Endpoints   []StoredEndpoint `cbor:"3,keyasint,omitempty" json:"servers"`
}

// StoredEndpoint is an entry of the list.
type StoredEndpoint struct {
	ID        string               `cbor:"1,keyasint" json:"id"`
	Addr      string               `cbor:"2,keyasint,omitempty" json:"addr"`
	Zone      string               `cbor:"3,keyasint,omitempty" json:"zone"`
	Kind      string               `cbor:"4,keyasint,omitempty" json:"kind"`
	Cell      int                  `cbor:"5,keyasint,omitempty" json:"cell"`
	State     balancer.ServerState `cbor:"6,keyasint,omitempty" json:"state"`
	Weight    float64              `cbor:"7,keyasint,omitempty" json:"weight"`
	StartedAt time.Duration        `cbor:"8,keyasint,omitempty" json:"started_ns"` // Unix time; zero: long ago
}

// NewStoredList returns a pool config in the form that is kept.
func NewStoredList(c protocol.EndpointList, confirmed int64) *StoredList {
	l := &StoredList{Version: c.Version, ConfirmedMS: confirmed, Endpoints: make([]StoredEndpoint, 0, len(c.Endpoints))}
	for _, s := range c.Endpoints {
		addr := ""
		if s.Addr.IsValid() {
			addr = s.Addr.String()
		}
		l.Endpoints = append(l.Endpoints, StoredEndpoint{
			ID: s.ID, Addr: addr, Zone: s.Zone, Kind: s.MachineKind, Cell: s.Cell,
			State: s.State, Weight: s.Weight, StartedAt: s.StartedAt,
		})
	}
	return l
}

// EndpointList returns the list as the pool config that it was. The error tells of the first entry that can't be
// one.
func (l *StoredList) EndpointList() (protocol.EndpointList, error) {
	c := protocol.EndpointList{Version: l.Version, Full: true}
	for _, s := range l.Endpoints {
		entry := protocol.Endpoint{Server: balancer.Server{
			ID: s.ID, Zone: s.Zone, MachineKind: s.Kind, Cell: s.Cell,
			State: s.State, Weight: s.Weight, StartedAt: s.StartedAt,
		}}
		addr, err := netip.ParseAddrPort(s.Addr)
		switch {
		case s.ID == "" || s.State > balancer.Draining || !(s.Weight >= 0) || s.StartedAt < 0,
			s.State == balancer.Ready && (err != nil || addr.Port() == 0):
			return protocol.EndpointList{}, fmt.Errorf("state: no list has such a server: %q at %q", s.ID, s.Addr)
		}
		entry.Addr = addr
		c.Endpoints = append(c.Endpoints, entry)
	}
	return c, nil
}
