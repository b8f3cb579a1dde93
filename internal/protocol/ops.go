package protocol

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"unicode"
	"unicode/utf8"

	"dunestep/internal/figures"
)

// OpsKind names a call of the operators'.
type OpsKind uint8

// The calls.
const (
	OpsReadiness OpsKind = iota
	OpsStats
	OpsDown // OpsCall.ID
	OpsUp   // OpsCall.ID
	OpsDrainStart
	OpsDrainStop
)

// OpsCall is a call at the ops socket, decoded.
type OpsCall struct {
	Kind OpsKind
	ID   string // of a booking server
}

// MaxServerID is how many bytes the id of a booking server has at most.
const MaxServerID = 256

// opsCalls are the calls by their paths.
var opsCalls = map[string]struct {
	method string
	kind   OpsKind
}{
	"/ops/readiness":            {http.MethodGet, OpsReadiness},
	"/ops/stats":                {http.MethodGet, OpsStats},
	"/ops/booking-servers/down": {http.MethodPost, OpsDown},
	"/ops/booking-servers/up":   {http.MethodPost, OpsUp},
	"/ops/drain/start":          {http.MethodPost, OpsDrainStart},
	"/ops/drain/stop":           {http.MethodPost, OpsDrainStop},
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
	// A line's end beyond the longest id, and one byte that shows that there is more.
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxServerID+3))
	switch {
	case err != nil:
		return call, http.StatusBadRequest
	case len(body) > MaxServerID+2:
		return call, http.StatusRequestEntityTooLarge
	case call.Kind != OpsDown && call.Kind != OpsUp:
		return call, http.StatusOK
	}
	call.ID = strings.TrimSpace(string(body))
	if !readableID(call.ID) {
		return call, http.StatusBadRequest
	}
	return call, http.StatusOK
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
func EncodeOpsStats(r figures.Reading) ([]byte, error) {
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
