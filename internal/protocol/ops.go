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

// OpsKind names a call of the operators'.
type OpsKind uint8

// The calls.
const (
	OpsReadiness OpsKind = iota
	OpsStats
	OpsDisable // OpsCall.ID
	OpsEnable  // OpsCall.ID
	OpsDrainStart
	OpsDrainStop
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

// OpsCall is a call at the ops socket, decoded.
type OpsCall struct {
	Kind   OpsKind
	ID     string // of a booking server
	Ticket uint64 // of what was proposed to the fleet
	// Document is a policy, to take hold EffectiveIn; Version is one's number.
	Document    []byte
	EffectiveIn time.Duration
	Version     uint64
	// Window is what is asked for servers' maintenance.
	Window WindowRequest
}

// MaxPolicyBytes is how many bytes a policy's document has at most.
const MaxPolicyBytes = 14 << 10

// MaxOpsBodyBytes is how many bytes the body of a call at a path may have.
func MaxOpsBodyBytes(path string) int64 {
	switch opsCalls[path].kind {
	case OpsPolicyPropose:
		return MaxPolicyBytes + 1
	case OpsWindowRequest, OpsWindowCheck:
		return maxWindowAsk + 1
	}
	return MaxEndpointID + 4
}

// IsFleetCall tells whether the call is about what the agents of a fleet agree on: there are such paths only
// where an agent takes part.
func (c OpsCall) IsFleetCall() bool { return c.Kind >= OpsFleetStatus }

// FleetProposal answers a call that was proposed to the fleet, and one that asks what became of it.
type FleetProposal struct {
	Ticket uint64 `json:"ticket"`
	// Result is waiting, taken, not taken or ask again.
	Result string `json:"result"`
	// InForce: no agent acts any more without it.
	InForce bool `json:"in_force"`
}

// MaxEndpointID is how many bytes the id of a booking server has at most.
const MaxEndpointID = 256

// opsCalls are the calls by their paths.
var opsCalls = map[string]struct {
	method string
	kind   OpsKind
}{
	"/ops/readiness":            {http.MethodGet, OpsReadiness},
	"/ops/stats":                {http.MethodGet, OpsStats},
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

// DecodeOpsCall decodes a call. A status other than 200 says why it is none.
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
	// A line's end beyond the longest id, and one byte that shows that there is more.
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
	case !call.Kind.namesServer():
		return call, http.StatusOK
	}
	call.ID = strings.TrimSpace(string(body))
	if !readableID(call.ID) {
		return call, http.StatusBadRequest
	}
	return call, http.StatusOK
}

// mostID and mostWithin bound what a call about a policy may say.
const (
	mostID     = 64
	mostWithin = time.Hour
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
		ms, bad := strconv.ParseInt(q.Get("within_ms"), 10, 32)
		call.EffectiveIn = time.Duration(ms) * time.Millisecond
		if bad != nil || call.EffectiveIn < 0 || call.EffectiveIn > mostWithin {
			return call, http.StatusBadRequest
		}
		if call.Document, err = io.ReadAll(io.LimitReader(r.Body, MaxPolicyBytes+1)); err != nil {
			return call, http.StatusBadRequest
		} else if len(call.Document) > MaxPolicyBytes {
			return call, http.StatusRequestEntityTooLarge
		}
	}
	if !readableID(call.ID) || len(call.ID) > mostID {
		return call, http.StatusBadRequest
	}
	return call, http.StatusOK
}

func (k OpsKind) namesServer() bool {
	return k == OpsDisable || k == OpsEnable || k == OpsFleetDisable || k == OpsFleetEnable
}

func readableID(id string) bool {
	unreadable := func(c rune) bool { return !unicode.IsPrint(c) || unicode.IsSpace(c) }
	return id != "" && utf8.ValidString(id) && !strings.ContainsFunc(id, unreadable)
}

type classCounts struct {
	OK     int64 `json:"ok"`
	Shed   int64 `json:"shed"`
	Errors int64 `json:"errors"`
}

// EncodeOpsStats writes the figures as JSON.
func EncodeOpsStats(r metrics.Reading) ([]byte, error) {
	out := struct {
		Responses   map[string]classCounts `json:"responses"`
		Tries       int64                  `json:"tries"`
		Active      int64                  `json:"active"`
		PoolSize    int64                  `json:"pool_size"`
		PoolEjected int64                  `json:"pool_ejected"`
	}{map[string]classCounts{}, r.Tries, r.Active, r.Listed, r.Ejected}
	for name, c := range r.Responses {
		out.Responses[name] = classCounts{c.OK, c.Shed, c.Errors}
	}
	return json.Marshal(out)
}
