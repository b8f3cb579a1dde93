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

// DecodePoolConfig decodes one of discovery's objects. What is not whole is refused: a list that is applied
// in part would leave the agent with a fleet that never was.
func DecodePoolConfig(raw []byte) (PoolConfig, error) {
	var f struct {
		Version *int64
		Full    bool
		Servers []struct {
			ID, Addr, Zone, Kind, State string
			Cell                        int
			Weight                      *float64
			StartedMS                   int64 `json:"started_ms"`
		}
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return PoolConfig{}, fmt.Errorf("pool config: %w", err)
	}
	if f.Version == nil {
		return PoolConfig{}, errors.New("pool config: no version")
	}
	p := PoolConfig{Version: *f.Version, Full: f.Full, Servers: make([]PoolServer, 0, len(f.Servers))}
	for _, e := range f.Servers {
		s := PoolServer{Server: decide.Server{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: 1}}
		switch e.State {
		case "active":
			s.State = decide.Ready
		case "leaving":
			s.State = decide.Draining
		case "left":
			s.State = decide.Gone
		default:
			return PoolConfig{}, fmt.Errorf("pool config: server %q: unknown state %q", e.ID, e.State)
		}
		addr, err := netip.ParseAddrPort(e.Addr)
		// one that has left may come without an address
		if e.ID == "" || (err != nil || addr.Port() == 0) && s.State != decide.Gone {
			return PoolConfig{}, fmt.Errorf("pool config: server %q: bad id or address %q", e.ID, e.Addr)
		}
		if e.Weight != nil {
			s.Weight = *e.Weight
		}
		if s.Weight < 0 || e.StartedMS < 0 || e.StartedMS > math.MaxInt64/int64(time.Millisecond) {
			return PoolConfig{}, fmt.Errorf("pool config: server %q: bad weight or start", e.ID)
		}
		s.Addr, s.Started = addr, time.Duration(e.StartedMS)*time.Millisecond
		p.Servers = append(p.Servers, s)
	}
	return p, nil
}

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

// ReadListHead reads the head of discovery's answer; the objects are the lines of its body.
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
