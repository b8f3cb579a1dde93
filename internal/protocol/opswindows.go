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
	// Nodes are the ids of endpoints. Alternatively, Zone selects all endpoints of one zone.
	Nodes []string `json:"nodes,omitempty"`
	Zone  string   `json:"zone,omitempty"`
	// Tenants are the names of tenants whose traffic migrates; "*" selects all traffic, including requests
	// without a known tenant.
	Tenants []string  `json:"tenants"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	// Pace is the maximum fraction of an endpoint's keys that migrates per second; 0 selects the default.
	Pace float64 `json:"pace,omitempty"`
}

// Limits for a request for a window. MaxWindowNames applies to endpoints and to tenants separately.
const (
	maxWindowBytes = 48 << 10
	MaxWindowNames = 64
)

// errInvalidWindow means that a request for a window is malformed or contradicts itself.
var errInvalidWindow = errors.New("protocol: invalid request for a maintenance window")

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

// decodeWindowRequest decodes a request; unknown keys and trailing bytes are errors.
func decodeWindowRequest(body []byte) (request WindowRequest, err error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err = d.Decode(&request); err != nil {
		return request, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) || !request.isValid() {
		return request, errInvalidWindow
	}
	return request, nil
}

// maxTimeDistance is how far from now the times of a window may be. A time outside of that is a mistake, and
// could overflow later calculations.
const maxTimeDistance = 400 * 24 * time.Hour

// isValid reports whether the names, times and pace of a request are valid in themselves.
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

// isValidName reports whether a name is neither empty nor too long, and can be written to a log line.
func isValidName(n string) bool { return len(n) <= MaxEndpointID && isReadableID(n) }
