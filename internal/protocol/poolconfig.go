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

	"dunestep/decide"
)

// PoolConfig is discovery's list of booking servers, or the changes since the list before it.
type PoolConfig struct {
	Version int64
	Full    bool
	Servers []PoolServer
}

// PoolServer is an entry of the list: what the module sees, and where the server listens.
type PoolServer struct {
	decide.Server
	Addr netip.AddrPort
}

// DecodePoolConfig decodes one of discovery's objects. An entry that is malformed is dropped and told of, and
// the others hold: a drain in the same object must be heeded.
func DecodePoolConfig(raw []byte, dropped func(error)) (PoolConfig, error) {
	var f struct {
		Version *int64            `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return PoolConfig{}, fmt.Errorf("pool config: %w", err)
	}
	if f.Version == nil {
		return PoolConfig{}, errors.New("pool config: no version")
	}
	p := PoolConfig{Version: *f.Version, Full: f.Full, Servers: make([]PoolServer, 0, len(f.Servers))}
	for _, raw := range f.Servers {
		s, err := decodeServer(raw)
		if err != nil {
			dropped(err)
			continue
		}
		p.Servers = append(p.Servers, s)
	}
	return p, nil
}

var states = map[string]decide.ServerState{
	"active": decide.Ready, "leaving": decide.Draining, "left": decide.Gone,
}

func decodeServer(raw []byte) (PoolServer, error) {
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
		return PoolServer{}, fmt.Errorf("server: %w", err)
	}
	s := PoolServer{Server: decide.Server{ID: f.ID, Zone: f.Zone, Kind: f.Kind, Cell: f.Cell, Weight: 1}}
	var known bool
	if s.State, known = states[f.State]; !known || f.ID == "" {
		return PoolServer{}, fmt.Errorf("server %q: no id, or unknown state %q", f.ID, f.State)
	}
	// Only one that is sent to needs an address.
	addr, err := netip.ParseAddrPort(f.Addr)
	if s.State == decide.Ready && (err != nil || addr.Port() == 0) {
		return PoolServer{}, fmt.Errorf("server %q: bad address %q", f.ID, f.Addr)
	}
	if f.Weight != nil {
		s.Weight = *f.Weight
	}
	if s.Weight < 0 || f.StartedMS < 0 || f.StartedMS > maxUnixMS {
		return PoolServer{}, fmt.Errorf("server %q: bad weight or start", f.ID)
	}
	s.Addr, s.Started = addr, time.Duration(f.StartedMS)*time.Millisecond
	return s, nil
}

const maxUnixMS = math.MaxInt64 / int64(time.Millisecond)

// ListCall is a call to discovery.
type ListCall struct {
	Watch bool  // a watch, else the whole list once
	From  int64 // of a watch: the version that the agent has
}

// AppendListCall writes the call as an HTTP request.
func AppendListCall(b []byte, host string, c ListCall) []byte {
	b = append(b, "GET /registry/instances"...)
	if c.Watch {
		b = strconv.AppendInt(append(b, "?watch=1&from="...), c.From, 10)
	}
	return append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// ReadListHead reads the head of discovery's answer; its body holds the objects.
func ReadListHead(r *bufio.Reader) (io.ReadCloser, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}
