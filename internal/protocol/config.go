package protocol

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
)

// Config is the agent's configuration file, decoded and checked.
type Config struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Ops       netip.AddrPort // the operators' door; not valid: there is none
	Seed      uint64
	Limits    Limits
	// PeerListen, Peers and PeersAll are set if the settings permit datagrams between agents.
	PeerListen     netip.AddrPort
	Peers          []netip.AddrPort // by the agents' numbers, including this one's
	PeersAll       netip.AddrPort
	KnownEndpoints EndpointList // an earlier endpoint list; may be old
	Settings       Settings
}

// Limits are the agent's shares of its machine.
type Limits struct {
	Cores    float64
	MemoryMB int64
	Sockets  int
}

// configForm is the configuration file on the wire.
type configForm struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Ops       string `json:"ops"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// DecodeConfig decodes the configuration file. The error is one line: the first problem.
func DecodeConfig(raw []byte) (Config, error) {
	c, errs, err := decodeConfig(raw)
	if err != nil {
		return Config{}, err
	}
	if len(errs) > 0 {
		return Config{}, errs[0].err
	}
	return c, nil
}

// decodeConfig decodes the configuration file and collects every problem with its values; the error says that
// the file could not be read.
func decodeConfig(raw []byte) (Config, []configError, error) {
	var f configForm
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, nil, fmt.Errorf("config: %w", err)
	}
	c := Config{Name: f.Name, Limits: Limits(f.Limits)}
	var errs []configError
	note := func(path, format string, args ...any) {
		errs = append(errs, configError{path, fmt.Errorf("config: "+format, args...)})
	}
	addr := func(key, text string) (a netip.AddrPort) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			note(key, "%s: %q is not an address with a port", key, text)
		}
		return a
	}
	optionalAddr := func(key, text string) (a netip.AddrPort) {
		if text == "" {
			return a
		}
		return addr(key, text)
	}
	c.Listen, c.Discovery = addr("listen", f.Listen), addr("discovery", f.Discovery)
	c.Ops = optionalAddr("ops", f.Ops)
	c.PeerListen, c.PeersAll = optionalAddr("peer_listen", f.PeerListen), optionalAddr("peers_all", f.PeersAll)
	for i, p := range f.Peers {
		c.Peers = append(c.Peers, addr("peers["+strconv.Itoa(i)+"]", p))
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		note("seed", "seed: %q is not a hexadecimal number", f.Seed)
	}
	c.Seed = seed
	if l := c.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets <= 0 {
		note("limits", "limits: cores, memory_mb and sockets must be above zero")
	}
	noteKnown := func(err error) { note("known", "known: %w", err) }
	if len(f.Known) > 0 {
		if c.KnownEndpoints, err = DecodeEndpointList(f.Known, noteKnown); err != nil {
			noteKnown(err)
		}
	}
	if len(f.Settings) == 0 || string(f.Settings) == "null" {
		note("settings", "no settings")
	} else if c.Settings, err = DecodeSettings(f.Settings); err != nil {
		note("settings", "%w", err)
	} else if s := c.Settings; s.ConnIdleTimeout <= 0 || s.ConnectTimeout <= 0 {
		note("settings.bounds", "settings: bounds: connIdle and connectTimeout must be above zero")
	}
	return c, errs, nil
}
