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

// WindowRequest is an operator's request for a maintenance window, in JSON.
type WindowRequest struct {
	// Nodes are endpoints by id. Alternatively Zone names all endpoints of one zone.
	Nodes []string `json:"nodes,omitempty"`
	Zone  string   `json:"zone,omitempty"`
	// Tenants are the names of tenants whose traffic migrates; "*": all, including requests without a known
	// tenant.
	Tenants []string  `json:"tenants"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	// Pace is the fraction of an endpoint's keys that migrates in a second at most; 0: the default.
	Pace float64 `json:"pace,omitempty"`
}

// Bounds of a request for a window. MaxWindowNames is of endpoints and of tenants each.
const (
	maxWindowBytes = 48 << 10
	MaxWindowNames = 64
)

// errInvalidWindow says that a request for a window is malformed or contradicts itself.
var errInvalidWindow = errors.New("protocol: not a window")

// decodeWindowCall decodes the rest of a call about maintenance windows.
func decodeWindowCall(r *http.Request, call OpsCall) (OpsCall, int) {
	if call.Kind != OpsWindowCheck {
		call.ID = r.URL.Query().Get("id")
		if !isReadableID(call.ID) || len(call.ID) > maxNameBytes {
			return call, http.StatusBadRequest
		}
	}
	if call.Kind != OpsWindowRequest && call.Kind != OpsWindowCheck {
		return call, http.StatusOK
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWindowBytes+1))
	switch {
	case err != nil:
		return call, http.StatusBadRequest
	case len(body) > maxWindowBytes:
		return call, http.StatusRequestEntityTooLarge
	}
	if call.Window, err = decodeWindowRequest(body); err != nil {
		return call, http.StatusBadRequest
	}
	return call, http.StatusOK
}

// decodeWindowRequest reads a request; unknown keys and trailing bytes are errors.
func decodeWindowRequest(body []byte) (a WindowRequest, err error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err = d.Decode(&a); err != nil {
		return a, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) || !a.isValid() {
		return a, errInvalidWindow
	}
	return a, nil
}

// farthest bounds the times that can be named: what is outside is a slip, and overflows nothing later.
const maxTimeDistance = 400 * 24 * time.Hour

// isValid checks a request by itself: names, times and pace.
func (a WindowRequest) isValid() bool {
	if len(a.Nodes) > 0 == (a.Zone != "") || len(a.Tenants) == 0 {
		return false
	}
	if a.Zone != "" && !isValidName(a.Zone) || !areValidNames(a.Nodes) || !areValidNames(a.Tenants) {
		return false
	}
	now := time.Now()
	for _, at := range []time.Time{a.From, a.To} {
		if off := at.Sub(now); off < -maxTimeDistance || off > maxTimeDistance {
			return false
		}
	}
	return a.From.Before(a.To) && a.Pace >= 0 && a.Pace <= 1
}

// areValidNames reports whether the names are valid, distinct and not too many.
func areValidNames(names []string) bool {
	if len(names) > MaxWindowNames {
		return false
	}
	for i, n := range names {
		if !isValidName(n) || slices.Contains(names[:i], n) {
			return false
		}
	}
	return true
}

// isValidName reports whether a name is neither empty nor too long, and can stand in a log line.
func isValidName(n string) bool { return len(n) <= MaxEndpointID && isReadableID(n) }
