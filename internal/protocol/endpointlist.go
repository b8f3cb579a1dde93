package protocol

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"dunestep/internal/balancer"
)

// EndpointList is discovery's list of upstream servers, or the changes to an earlier one.
type EndpointList struct {
	Version   int64
	Full      bool // it is complete: an endpoint that it does not name is gone
	Endpoints []Endpoint
}

// Endpoint is an entry of the list: what the balancer gets, and where the server listens.
type Endpoint struct {
	balancer.Server
	Addr netip.AddrPort
}

// DecodeEndpointList decodes one of discovery's objects. A malformed entry is dropped and reported; the
// others hold, since there may be a drain among them.
func DecodeEndpointList(raw []byte, dropped func(error)) (EndpointList, error) {
	var f struct {
		Version *int64            `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return EndpointList{}, fmt.Errorf("endpoint list: %w", err)
	}
	if f.Version == nil {
		return EndpointList{}, errors.New("endpoint list: no version")
	}
	p := EndpointList{Version: *f.Version, Full: f.Full, Endpoints: make([]Endpoint, 0, len(f.Servers))}
	for _, raw := range f.Servers {
		s, err := decodeEndpoint(raw)
		if err != nil {
			dropped(err)
			continue
		}
		p.Endpoints = append(p.Endpoints, s)
	}
	return p, nil
}

// endpointStates are the states by their names on the wire.
var endpointStates = map[string]balancer.ServerState{
	"active": balancer.Ready, "leaving": balancer.Draining, "left": balancer.Gone,
}

// decodeEndpoint decodes an entry. Only one that is ready needs an address.
func decodeEndpoint(raw []byte) (Endpoint, error) {
	var f struct {
		ID        string   `json:"id"`
		Addr      string   `json:"addr"`
		Zone      string   `json:"zone"`
		Kind      string   `json:"kind"`
		State     string   `json:"state"`
		Cell      int      `json:"cell"`
		Weight    *float64 `json:"weight"`
		StartedMS int64    `json:"started_ms"`
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return Endpoint{}, fmt.Errorf("server: %w", err)
	}
	s := Endpoint{Server: balancer.Server{ID: f.ID, Zone: f.Zone, MachineKind: f.Kind, Cell: f.Cell, Weight: 1}}
	var known bool
	if s.State, known = endpointStates[f.State]; !known || f.ID == "" {
		return Endpoint{}, fmt.Errorf("server %q: no id, or unknown state %q", f.ID, f.State)
	}
	addr, err := netip.ParseAddrPort(f.Addr)
	if s.State == balancer.Ready && (err != nil || addr.Port() == 0) {
		return Endpoint{}, fmt.Errorf("server %q: bad address %q", f.ID, f.Addr)
	}
	if f.Weight != nil {
		s.Weight = *f.Weight
	}
	if s.Weight < 0 || f.StartedMS < 0 || f.StartedMS > maxUnixMS {
		return Endpoint{}, fmt.Errorf("server %q: bad weight or start", f.ID)
	}
	s.Addr, s.StartedAt = addr, time.Duration(f.StartedMS)*time.Millisecond
	return s, nil
}

// maxUnixMS is the latest start, in Unix milliseconds, that a time.Duration can hold.
const maxUnixMS = math.MaxInt64 / int64(time.Millisecond)

// ListRequest is a call to discovery.
type ListRequest struct {
	Watch       bool  // a watch, else the complete list once
	FromVersion int64 // of a watch: the version that the agent has
}

// AppendListRequest appends the call as an HTTP request.
func AppendListRequest(b []byte, host string, c ListRequest) []byte {
	b = append(b, "GET /registry/instances"...)
	if c.Watch {
		b = strconv.AppendInt(append(b, "?watch=1&from="...), c.FromVersion, 10)
	}
	return append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// ReadListHeader reads the header of discovery's response; the objects are in its body.
func ReadListHeader(r *bufio.Reader) (io.ReadCloser, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}
