package state

import (
	"fmt"
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// StoredList is the endpoint list in its stored form.
type StoredList struct {
	Version int64 `cbor:"1,keyasint" json:"version"`
	// ConfirmedMS is when discovery last confirmed the list, in Unix milliseconds; zero: never.
	ConfirmedMS int64            `cbor:"2,keyasint,omitempty" json:"confirmed_ms"`
	Endpoints   []StoredEndpoint `cbor:"3,keyasint,omitempty" json:"servers"`
}

// StoredEndpoint is an endpoint in its stored form.
type StoredEndpoint struct {
	ID          string               `cbor:"1,keyasint" json:"id"`
	Addr        string               `cbor:"2,keyasint,omitempty" json:"addr"`
	Zone        string               `cbor:"3,keyasint,omitempty" json:"zone"`
	MachineKind string               `cbor:"4,keyasint,omitempty" json:"kind"`
	Cell        int                  `cbor:"5,keyasint,omitempty" json:"cell"`
	State       balancer.ServerState `cbor:"6,keyasint,omitempty" json:"state"`
	Weight      float64              `cbor:"7,keyasint,omitempty" json:"weight"`
	// StartedAt is the server's start in Unix time; zero: long ago.
	StartedAt time.Duration `cbor:"8,keyasint,omitempty" json:"started_ns"`
}

// NewStoredList returns the stored form of a list. confirmedMS is when discovery last confirmed it, in Unix
// milliseconds.
func NewStoredList(list protocol.EndpointList, confirmedMS int64) *StoredList {
	stored := &StoredList{
		Version: list.Version, ConfirmedMS: confirmedMS,
		Endpoints: make([]StoredEndpoint, 0, len(list.Endpoints)),
	}
	for _, e := range list.Endpoints {
		addr := ""
		if e.Addr.IsValid() {
			addr = e.Addr.String()
		}
		stored.Endpoints = append(stored.Endpoints, StoredEndpoint{
			ID: e.ID, Addr: addr, Zone: e.Zone, MachineKind: e.MachineKind, Cell: e.Cell,
			State: e.State, Weight: e.Weight, StartedAt: e.StartedAt,
		})
	}
	return stored
}

// EndpointList returns the stored list, or an error that names its first invalid endpoint.
func (l *StoredList) EndpointList() (protocol.EndpointList, error) {
	list := protocol.EndpointList{Version: l.Version, Full: true}
	for _, stored := range l.Endpoints {
		e, err := stored.endpoint()
		if err != nil {
			return protocol.EndpointList{}, err
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	return list, nil
}

// endpoint returns the stored endpoint, or an error if it is invalid. Only a ready one needs an address.
func (e StoredEndpoint) endpoint() (protocol.Endpoint, error) {
	addr, err := netip.ParseAddrPort(e.Addr)
	hasAddr := err == nil && addr.Port() != 0
	validWeight := e.Weight >= 0 // false for NaN
	if e.ID == "" || e.State > balancer.Draining || !validWeight || e.StartedAt < 0 ||
		e.State == balancer.Ready && !hasAddr {
		return protocol.Endpoint{}, fmt.Errorf(
			"state: the stored list has an invalid endpoint %q at %q",
			e.ID,
			e.Addr,
		)
	}
	return protocol.Endpoint{Addr: addr, Server: balancer.Server{
		ID: e.ID, Zone: e.Zone, MachineKind: e.MachineKind, Cell: e.Cell,
		State: e.State, Weight: e.Weight, StartedAt: e.StartedAt,
	}}, nil
}
