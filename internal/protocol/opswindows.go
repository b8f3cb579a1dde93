package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"
)

// WindowRequest is what staff ask for servers' maintenance, in JSON.
type WindowRequest struct {
	// Nodes are servers by id, or Zone names one of which all are meant.
	Nodes []string `json:"nodes,omitempty"`
	Zone  string   `json:"zone,omitempty"`
	// Tenants are clinic groups by name; "*": all, those of no group of the settings included.
	Tenants []string  `json:"tenants"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	// Pace is the part of a server's keys that moves in a second at the most; 0: the usual one.
	Pace float64 `json:"pace,omitempty"`
}

// The bounds of what is asked for. MaxWindowNames is of servers and of tenants each.
const (
	maxWindowAsk   = 48 << 10
	MaxWindowNames = 64
)

// errAsk: what is asked for makes no sense in itself.
var errAsk = errors.New("protocol: not a window")

// decodeWindowCall decodes the rest of a call about maintenance windows.
func decodeWindowCall(r *http.Request, call OpsCall) (OpsCall, int) {
	if call.Kind != OpsWindowCheck {
		call.ID = r.URL.Query().Get("id")
		if !readableID(call.ID) || len(call.ID) > mostID {
			return call, http.StatusBadRequest
		}
	}
	if call.Kind != OpsWindowRequest && call.Kind != OpsWindowCheck {
		return call, http.StatusOK
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWindowAsk+1))
	switch {
	case err != nil:
		return call, http.StatusBadRequest
	case len(body) > maxWindowAsk:
		return call, http.StatusRequestEntityTooLarge
	}
	if call.Window, err = decodeWindowAsk(body); err != nil {
		return call, http.StatusBadRequest
	}
	return call, http.StatusOK
}

// decodeWindowAsk reads what is asked for, and nothing beside it.
func decodeWindowAsk(body []byte) (a WindowRequest, err error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err = d.Decode(&a); err != nil {
		return a, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) || !a.sound() {
		return a, errAsk
	}
	return a, nil
}

// farthest bounds the times that can be named: what is outside is a slip, and overflows nothing later.
const farthest = 400 * 24 * time.Hour

func (a WindowRequest) sound() bool {
	if len(a.Nodes) > 0 == (a.Zone != "") || len(a.Tenants) == 0 {
		return false
	}
	if a.Zone != "" && !soundName(a.Zone) || !soundNames(a.Nodes) || !soundNames(a.Tenants) {
		return false
	}
	now := time.Now()
	for _, at := range []time.Time{a.From, a.To} {
		if off := at.Sub(now); off < -farthest || off > farthest {
			return false
		}
	}
	return a.From.Before(a.To) && a.Pace >= 0 && a.Pace <= 1
}

// soundNames tells whether there are at most so many, each once.
func soundNames(names []string) bool {
	if len(names) > MaxWindowNames {
		return false
	}
	for i, n := range names {
		if !soundName(n) || slices.Contains(names[:i], n) {
			return false
		}
	}
	return true
}

func soundName(n string) bool { return len(n) <= MaxEndpointID && readableID(n) }
