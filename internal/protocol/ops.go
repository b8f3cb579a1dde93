package protocol

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"dunestep/internal/metrics"
)

// OpsKind is a kind of call to the operators' interface.
type OpsKind uint8

// The kinds of calls. Comments name the fields of OpsCall that a call sets.
const (
	OpsReadiness OpsKind = iota
	OpsStats
	OpsDisable // OpsCall.ID
	OpsEnable  // OpsCall.ID
	OpsDrainStart
	OpsDrainStop
	OpsDelays
	OpsDiscovery
	OpsFleetStatus
	OpsFleetDisable // OpsCall.ID
	OpsFleetEnable  // OpsCall.ID
	OpsFleetTicket  // OpsCall.Ticket
	OpsPolicy
	OpsPolicyPropose  // OpsCall.ID, EffectiveIn, Document
	OpsPolicyOutcome  // OpsCall.ID
	OpsPolicyDocument // OpsCall.Version
	OpsWindows
	OpsWindowRequest // OpsCall.ID, Window
	OpsWindowCheck   // OpsCall.Window
	OpsWindowStop    // OpsCall.ID
	OpsWindowOutcome // OpsCall.ID
)

// OpsCall is a decoded call to the operators' interface.
type OpsCall struct {
	Kind   OpsKind
	ID     string // id of an endpoint, a policy or a window
	Ticket uint64 // number of a proposal to the fleet
	// Document is a policy that takes effect after EffectiveIn. Version is the version number of a policy.
	Document    []byte
	EffectiveIn time.Duration
	Version     uint64
	// Window is the request for a maintenance window.
	Window WindowRequest
}

// MaxPolicyBytes is the maximum length of a policy's document, in bytes.
const MaxPolicyBytes = 14 << 10

// MaxOpsBodyBytes returns how many bytes are read at most of the body of a call to a path. It is above the
// length of a valid body, so that DecodeOpsCall recognises one that is too long.
func MaxOpsBodyBytes(path string) int64 {
	switch opsCalls[path].kind {
	case OpsPolicyPropose:
		return MaxPolicyBytes + 1
	case OpsWindowRequest, OpsWindowCheck:
		return maxWindowBytes + 1
	}
	return MaxEndpointID + 4
}

// IsFleetCall reports whether the call concerns something that the agents of a fleet agree on. Its path
// exists only if the agent takes part in that.
func (c OpsCall) IsFleetCall() bool { return c.Kind >= OpsFleetStatus }

// FleetProposal is the response to a call that was proposed to the fleet, and to a query for its result.
type FleetProposal struct {
	Ticket uint64 `json:"ticket"`
	// Result is "waiting", "taken", "not taken" or "ask again".
	Result string `json:"result"`
	// InForce reports that no agent acts without the accepted proposal any more.
	InForce bool `json:"in_force"`
}

// MaxEndpointID is the maximum length of an endpoint's id, in bytes.
const MaxEndpointID = 256

// opsCalls maps paths on the wire to calls.
var opsCalls = map[string]struct {
	method string
	kind   OpsKind
}{
	"/ops/readiness":            {http.MethodGet, OpsReadiness},
	"/ops/stats":                {http.MethodGet, OpsStats},
	"/ops/delays":               {http.MethodGet, OpsDelays},
	"/ops/discovery":            {http.MethodGet, OpsDiscovery},
	"/ops/booking-servers/down": {http.MethodPost, OpsDisable},
	"/ops/booking-servers/up":   {http.MethodPost, OpsEnable},
	"/ops/drain/start":          {http.MethodPost, OpsDrainStart},
	"/ops/drain/stop":           {http.MethodPost, OpsDrainStop},

	"/ops/fleet/status":               {http.MethodGet, OpsFleetStatus},
	"/ops/fleet/ticket":               {http.MethodGet, OpsFleetTicket},
	"/ops/fleet/policy":               {http.MethodGet, OpsPolicy},
	"/ops/fleet/policy/propose":       {http.MethodPost, OpsPolicyPropose},
	"/ops/fleet/policy/outcome":       {http.MethodGet, OpsPolicyOutcome},
	"/ops/fleet/policy/document":      {http.MethodGet, OpsPolicyDocument},
	"/ops/fleet/windows":              {http.MethodGet, OpsWindows},
	"/ops/fleet/windows/ask":          {http.MethodPost, OpsWindowRequest},
	"/ops/fleet/windows/check":        {http.MethodPost, OpsWindowCheck},
	"/ops/fleet/windows/stop":         {http.MethodPost, OpsWindowStop},
	"/ops/fleet/windows/outcome":      {http.MethodGet, OpsWindowOutcome},
	"/ops/fleet/booking-servers/down": {http.MethodPost, OpsFleetDisable},
	"/ops/fleet/booking-servers/up":   {http.MethodPost, OpsFleetEnable},
}

// DecodeOpsCall decodes a call. A status other than 200 means that the call is malformed, and is the
// status of the response.
func DecodeOpsCall(r *http.Request) (call OpsCall, status int) {
	known, is := opsCalls[r.URL.Path]
	switch {
	case !is:
		return call, http.StatusNotFound
	case r.Method != known.method:
		return call, http.StatusMethodNotAllowed
	}
	call.Kind = known.kind
	if call.Kind > OpsWindows {
		return decodeWindowCall(r, call)
	}
	if call.Kind > OpsPolicy && call.Kind < OpsWindows {
		return decodePolicyCall(r, call)
	}
	// The longest id with its line end, and one more byte to recognise a longer body.
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxEndpointID+3))
	switch {
	case err != nil:
		return call, http.StatusBadRequest
	case len(body) > MaxEndpointID+2:
		return call, http.StatusRequestEntityTooLarge
	case call.Kind == OpsFleetTicket:
		if call.Ticket, err = strconv.ParseUint(r.URL.Query().Get("n"), 10, 64); err != nil {
			return call, http.StatusBadRequest
		}
		return call, http.StatusOK
	case !call.Kind.namesEndpoint():
		return call, http.StatusOK
	}
	call.ID = strings.TrimSpace(string(body))
	if !isReadableID(call.ID) {
		return call, http.StatusBadRequest
	}
	return call, http.StatusOK
}

// Limits for a call about a policy or a window.
const (
	maxNameBytes   = 64
	maxEffectiveIn = time.Hour
)

// decodePolicyCall decodes the rest of a call about a policy.
func decodePolicyCall(r *http.Request, call OpsCall) (OpsCall, int) {
	q := r.URL.Query()
	call.ID = q.Get("id")
	var err error
	switch call.Kind {
	case OpsPolicyDocument:
		call.Version, err = strconv.ParseUint(q.Get("version"), 10, 64)
		if err != nil {
			return call, http.StatusBadRequest
		}
		return call, http.StatusOK
	case OpsPolicyPropose:
		ms, parseErr := strconv.ParseInt(q.Get("within_ms"), 10, 32)
		call.EffectiveIn = time.Duration(ms) * time.Millisecond
		if parseErr != nil || call.EffectiveIn < 0 || call.EffectiveIn > maxEffectiveIn {
			return call, http.StatusBadRequest
		}
		if call.Document, err = io.ReadAll(io.LimitReader(r.Body, MaxPolicyBytes+1)); err != nil {
			return call, http.StatusBadRequest
		} else if len(call.Document) > MaxPolicyBytes {
			return call, http.StatusRequestEntityTooLarge
		}
	}
	if !isReadableID(call.ID) || len(call.ID) > maxNameBytes {
		return call, http.StatusBadRequest
	}
	return call, http.StatusOK
}

// namesEndpoint reports whether the body of the call is an endpoint's id.
func (k OpsKind) namesEndpoint() bool {
	return k == OpsDisable || k == OpsEnable || k == OpsFleetDisable || k == OpsFleetEnable
}

// isReadableID reports whether an id can be written to a log line.
func isReadableID(id string) bool {
	unreadable := func(c rune) bool { return !unicode.IsPrint(c) || unicode.IsSpace(c) }
	return id != "" && utf8.ValidString(id) && !strings.ContainsFunc(id, unreadable)
}

// classCounts are the numbers of final answers of one class, under their names in the statistics.
type classCounts struct {
	OK     int64 `json:"ok"`
	Shed   int64 `json:"shed"`
	Errors int64 `json:"errors"`
}

// EncodeOpsStats encodes the metrics as JSON.
func EncodeOpsStats(r metrics.Reading) ([]byte, error) {
	out := struct {
		Responses   map[string]classCounts `json:"responses"`
		Tries       int64                  `json:"tries"`
		Active      int64                  `json:"active"`
		PoolSize    int64                  `json:"pool_size"`
		PoolEjected int64                  `json:"pool_ejected"`
	}{map[string]classCounts{}, r.Attempts, r.Active, r.Listed, r.Ejected}
	for name, c := range r.Responses {
		out.Responses[name] = classCounts{c.OK, c.Rejected, c.Errors}
	}
	return json.Marshal(out)
}

// messageDelays are the delays of one kind of message, under their names in the delays' JSON.
type messageDelays struct {
	Messages          int64   `json:"messages"`
	LongestWaitMS     float64 `json:"longest_wait_ms"`
	LongestHandlingMS float64 `json:"longest_handling_ms"`
	TotalHandlingMS   float64 `json:"total_handling_ms"`
}

// EncodeOpsDelays encodes the delays of the decisions' messages as JSON.
func EncodeOpsDelays(delays map[string]metrics.Delays) ([]byte, error) {
	out := make(map[string]messageDelays, len(delays))
	for kind, d := range delays {
		out[kind] = messageDelays{
			Messages: d.Messages, LongestWaitMS: milliseconds(d.LongestWait),
			LongestHandlingMS: milliseconds(d.LongestHandling), TotalHandlingMS: milliseconds(d.TotalHandling),
		}
	}
	return json.Marshal(out)
}

// EncodeOpsDiscovery encodes the state of the calls to discovery at a time as JSON.
func EncodeOpsDiscovery(d metrics.Discovery, now time.Time) ([]byte, error) {
	out := struct {
		Address       string   `json:"address"`
		Watches       int      `json:"watches"`
		CallsUnderWay int      `json:"calls_under_way"`
		SilentMS      *float64 `json:"silent_ms"` // null: nothing was received on a call under way
	}{d.Address.String(), d.Watches, d.CallsUnderWay, nil}
	if !d.ReceivedAt.IsZero() {
		silent := milliseconds(now.Sub(d.ReceivedAt))
		out.SilentMS = &silent
	}
	return json.Marshal(out)
}

// milliseconds returns a duration in milliseconds, to the microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
