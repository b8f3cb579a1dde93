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
	Full      bool // whether the list is complete: an endpoint missing from it is gone
	Endpoints []Endpoint
}

// Endpoint is an entry of the list: the balancer's description of the server, and the server's address.
type Endpoint struct {
	balancer.Server
	Addr netip.AddrPort
}

// DecodeEndpointList decodes one object sent by discovery. A malformed entry is left out and its error passed
// to dropped; the other entries are used, since one of them may be a drain.
func DecodeEndpointList(raw []byte, dropped func(error)) (EndpointList, error) {
	var usual endpointListForm[endpointForm]
	if err := unmarshalListForm(raw, &usual); err == nil {
		return endpointListOf(&usual, dropped, (*endpointForm).endpoint)
	}
	var form endpointListForm[json.RawMessage] // a single entry of another form must not cost the others
	if err := json.Unmarshal(raw, &form); err != nil {
		return EndpointList{}, fmt.Errorf("endpoint list: %w", err)
	}
	return endpointListOf(&form, dropped, decodeEndpoint)
}

// endpointListOf converts a list whose entries have the form E.
func endpointListOf[E any](
	form *endpointListForm[E], dropped func(error), endpointOf func(*E) (Endpoint, error),
) (EndpointList, error) {
	if form.Version == nil {
		return EndpointList{}, errors.New("endpoint list: no version")
	}
	list := EndpointList{
		Version: *form.Version, Full: form.Full,
		Endpoints: make([]Endpoint, 0, len(form.Servers)),
	}
	for i := range form.Servers {
		endpoint, err := endpointOf(&form.Servers[i])
		if err != nil {
			dropped(err)
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// endpointStates maps the names on the wire to states.
var endpointStates = map[string]balancer.ServerState{
	"active": balancer.Ready, "leaving": balancer.Draining, "left": balancer.Gone,
}

// decodeEndpoint decodes an entry by itself.
func decodeEndpoint(raw *json.RawMessage) (Endpoint, error) {
	var form endpointForm
	if err := json.Unmarshal(*raw, &form); err != nil {
		return Endpoint{}, fmt.Errorf("server: %w", err)
	}
	return form.endpoint()
}

// endpoint converts an entry. Only a ready endpoint needs an address.
func (form *endpointForm) endpoint() (Endpoint, error) {
	endpoint := Endpoint{Server: balancer.Server{
		ID: form.ID, Zone: form.Zone, MachineKind: form.Kind,
		Cell: form.Cell, Weight: 1,
	}}
	var known bool
	if endpoint.State, known = endpointStates[form.State]; !known || form.ID == "" {
		return Endpoint{}, fmt.Errorf("server %q: no id, or unknown state %q", form.ID, form.State)
	}
	addr, err := netip.ParseAddrPort(form.Addr)
	if endpoint.State == balancer.Ready && (err != nil || addr.Port() == 0) {
		return Endpoint{}, fmt.Errorf("server %q: bad address %q", form.ID, form.Addr)
	}
	if form.Weight != nil {
		endpoint.Weight = *form.Weight
	}
	if endpoint.Weight < 0 || form.StartedMS < 0 || form.StartedMS > maxUnixMS {
		return Endpoint{}, fmt.Errorf("server %q: bad weight or start", form.ID)
	}
	endpoint.Addr, endpoint.StartedAt = addr, time.Duration(form.StartedMS)*time.Millisecond
	return endpoint, nil
}

// maxUnixMS is the latest start time, in Unix milliseconds, that a time.Duration can represent.
const maxUnixMS = math.MaxInt64 / int64(time.Millisecond)

// ListRequest is a call to discovery.
type ListRequest struct {
	Watch       bool  // true for a watch, false for the complete list once
	FromVersion int64 // for a watch, the list version that the agent has
}

// AppendListRequest appends the call as an HTTP request.
func AppendListRequest(b []byte, host string, c ListRequest) []byte {
	b = append(b, "GET /registry/instances"...)
	if c.Watch {
		b = strconv.AppendInt(append(b, "?watch=1&from="...), c.FromVersion, 10)
	}
	return append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// ReadListHeader reads the header of discovery's response and returns its body, which has the objects. The
// body is not to be closed: that would read the rest of it, which may never come.
func ReadListHeader(r *bufio.Reader) (io.Reader, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}
