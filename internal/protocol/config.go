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
	Ops       netip.AddrPort // address of the operators' interface; invalid if there is none
	Seed      uint64
	Limits    Limits
	// PeerListen, Peers and PeersAll are set if the settings permit datagrams between agents.
	PeerListen     netip.AddrPort
	Peers          []netip.AddrPort // indexed by agent number, including this agent's
	PeersAll       netip.AddrPort
	KnownEndpoints EndpointList // earlier endpoint list, possibly outdated
	Settings       Settings
}

// Limits are the resources of its machine that the agent may use.
type Limits struct {
	Cores    float64
	MemoryMB int64
	Sockets  int
}

// configForm is the configuration file as encoded.
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

// decodeConfig decodes the configuration file and returns every problem with its values. An error means that
// the file itself could not be decoded.
func decodeConfig(raw []byte) (Config, []configError, error) {
	var form configForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return Config{}, nil, fmt.Errorf("config: %w", err)
	}
	config := Config{Name: form.Name, Limits: Limits(form.Limits)}
	var errs []configError
	addError := func(path, format string, args ...any) {
		errs = append(errs, configError{path, fmt.Errorf("config: "+format, args...)})
	}
	addr := func(key, text string) (a netip.AddrPort) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			addError(key, "%s: %q is not an address with a port", key, text)
		}
		return a
	}
	optionalAddr := func(key, text string) (a netip.AddrPort) {
		if text == "" {
			return a
		}
		return addr(key, text)
	}
	config.Listen, config.Discovery = addr("listen", form.Listen), addr("discovery", form.Discovery)
	config.Ops = optionalAddr("ops", form.Ops)
	config.PeerListen, config.PeersAll = optionalAddr("peer_listen", form.PeerListen),
		optionalAddr("peers_all", form.PeersAll)
	for i, p := range form.Peers {
		config.Peers = append(config.Peers, addr("peers["+strconv.Itoa(i)+"]", p))
	}
	seed, err := strconv.ParseUint(form.Seed, 16, 64)
	if err != nil {
		addError("seed", "seed: %q is not a hexadecimal number", form.Seed)
	}
	config.Seed = seed
	if l := config.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets <= 0 {
		addError("limits", "limits: cores, memory_mb and sockets must be above zero")
	}
	addKnownError := func(err error) { addError("known", "known: %w", err) }
	if len(form.Known) > 0 {
		if config.KnownEndpoints, err = DecodeEndpointList(form.Known, addKnownError); err != nil {
			addKnownError(err)
		}
	}
	if len(form.Settings) == 0 || string(form.Settings) == "null" {
		addError("settings", "no settings")
	} else if config.Settings, err = DecodeSettings(form.Settings); err != nil {
		addError("settings", "%w", err)
	} else if s := config.Settings; s.ConnIdleTimeout <= 0 || s.ConnectTimeout <= 0 {
		addError("settings.bounds", "settings: bounds: connIdle and connectTimeout must be above zero")
	}
	return config, errs, nil
}
