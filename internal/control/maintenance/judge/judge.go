// Package judge checks whether a fleet follows the rules of package maintenance. Its input is the requests
// that the agents sent, the windows that were accepted, and the contracts by policy version; it is
// independent of how agents decide.
//
// The package reads no clock and does no I/O. All times are true Unix times, which the caller passes. Its
// types are not safe for concurrent use.
package judge

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
)

// Request is a request for which an agent chose a server. Requests are passed in the order of At.
type Request struct {
	At                  time.Duration // time of the decision
	ArrivesAt           time.Duration // time of arrival at the server
	Agent               int
	Incarnation         int // of the agent's process
	Tenant              string
	Hash                uint32
	Server              string   // chosen server; empty: none
	Excluded            []string // servers that were preferred to Server, but excluded
	OverridesExclusions bool     // Server was excluded, but no other server was left
	Listed              int      // number of servers on the agent's endpoint list
	Mode                policy.Mode
	Version             uint64
}

// Violation is a request that must not be sent, or not to its server.
type Violation struct {
	Request
	Reason string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v: agent %d, %v of version %d, tenant %s, server %q, excluded %v: %s", formatTime(b.At),
		b.Agent, b.Mode, b.Version, b.Tenant, b.Server, b.Excluded, b.Reason)
}

// formatTime formats a Unix time in UTC.
func formatTime(at time.Duration) string {
	return time.Unix(0, int64(at)).UTC().Format("Mon 02.01. 15:04:05.000")
}

// Settings are the parameters of the checks.
type Settings struct {
	ClockError   time.Duration     // maximum error of a Unix clock
	Turns        maintenance.Turns // turns of servers, which agents at policy.ModeBottom use
	LearnDelay   time.Duration     // maximum delay until an agent knows a window's state: the fence
	Keys         int               // number of a tenant's keys that are sent repeatedly
	ReportPeriod time.Duration     // time within which overridden exclusions are reported to the leader
}

// Judge checks the requests of one fleet.
type Judge struct {
	// Violations holds the first maxViolations violations; Count is the number of all of them.
	Violations []Violation
	Count      int
	// ExcludedRequests is the number of exclusions of servers over all requests, RequestsWhileFree the number of
	// requests that arrived at any server while the servers of a window of their tenant were free.
	ExcludedRequests, RequestsWhileFree int

	settings    Settings
	windows     []*acceptedWindow
	contracts   map[uint64]map[string]*contract.Contract // by version and tenant
	moveBudgets map[moveBudgetKey]*moveBudget
}

// acceptedWindow is an accepted window, and what was observed of it.
type acceptedWindow struct {
	*maintenance.Window
	moveRate    float64       // maximum fraction of a server's keys moved per second
	freeAt      time.Duration // time at which it was declared free; zero: never
	withdrawnAt time.Duration // time at which it stopped being free; zero: never
	overriding  map[int]bool  // agents whose last request before freeAt overrode exclusions
	sending     map[int]bool  // agents that sent requests before freeAt
	// majorityOverridesSince is the time since which most of the sending agents override exclusions.
	majorityOverridesSince time.Duration
	inFlight               []Request // requests with a long flight time, sent before freeAt
}

// maxViolations is the number of violations that are kept; all are counted.
const maxViolations = 20

// New returns a Judge of a fleet without windows.
func New(settings Settings) *Judge {
	return &Judge{
		settings: settings, contracts: map[uint64]map[string]*contract.Contract{},
		moveBudgets: map[moveBudgetKey]*moveBudget{},
	}
}

// WindowAccepted adds a window. moveRate is the fraction of a server's keys that may be moved per second.
func (j *Judge) WindowAccepted(w *maintenance.Window, moveRate float64) {
	j.windows = append(j.windows, &acceptedWindow{
		Window: w, moveRate: moveRate, overriding: map[int]bool{}, sending: map[int]bool{},
	})
}

// SetContracts sets the contracts of a policy version by tenant. It must be called before any request under
// the version.
func (j *Judge) SetContracts(version uint64, contracts map[string]*contract.Contract) {
	j.contracts[version] = contracts
}

// SetFree records that a window's servers were reported free to operators, or no longer are.
//
//nolint:revive // flag-parameter: free is a state
func (j *Judge) SetFree(at time.Duration, id string, free bool) {
	for _, w := range j.windows {
		switch {
		case w.ID != id:
		case free && w.freeAt == 0:
			w.freeAt = at
			for _, r := range w.inFlight {
				j.checkWhileFree(w, r)
			}
			if w.isOverriddenByMajority() && at-w.majorityOverridesSince > j.settings.ReportPeriod {
				j.addViolation(Request{At: at},
					fmt.Sprintf("%s is declared free while most agents override its exclusions", id))
			}
		case !free && w.withdrawnAt == 0:
			w.withdrawnAt = at
		}
	}
}

// isOverriddenByMajority reports whether most of the sending agents override exclusions.
func (w *acceptedWindow) isOverriddenByMajority() bool { return 2*len(w.overriding) > len(w.sending) }

func (j *Judge) addViolation(r Request, reason string) {
	if j.Count++; len(j.Violations) < maxViolations {
		j.Violations = append(j.Violations, Violation{r, reason})
	}
}

// RequestSent checks a request.
func (j *Judge) RequestSent(r Request) {
	if r.Server == "" && r.Listed > 0 {
		j.addViolation(r, "no server was chosen, although one is listed")
	}
	for _, server := range r.Excluded {
		j.ExcludedRequests++
		if reason := j.exclusionViolation(r, server); reason != "" {
			j.addViolation(r, reason)
		}
	}
	for _, w := range j.windows {
		if slices.Contains(w.Tenants, r.Tenant) {
			j.checkArrival(w, r)
			j.checkMoves(w, r)
		}
	}
}

// exclusionViolation returns why a server must not be excluded for a request, or an empty string if it may
// be.
func (j *Judge) exclusionViolation(r Request, server string) string {
	reason := "excluded server is in no window of the tenant"
	for _, w := range j.windows {
		if !slices.Contains(w.Nodes, server) || !slices.Contains(w.Tenants, r.Tenant) ||
			r.At < w.From-j.settings.ClockError || r.At >= w.To+j.settings.ClockError {
			continue
		}
		version := r.Version
		if r.Mode == policy.ModeBottom {
			version = w.PolicyVersion
		}
		if j.isAllowed(version, r.Tenant, r.At) {
			return ""
		}
		reason = "excluded outside the hours of the contract"
	}
	if r.Mode == policy.ModeBottom && j.settings.Turns > 0 && j.isInTurn(r.At, server) {
		return ""
	}
	return reason
}

// isInTurn reports whether it may be a server's turn, within the clock error.
func (j *Judge) isInTurn(at time.Duration, server string) bool {
	serverTurn := j.settings.Turns.Of(server, "")
	for _, clockError := range []time.Duration{0, -j.settings.ClockError, j.settings.ClockError} {
		if turn, _ := j.settings.Turns.At(at + clockError); turn == serverTurn {
			return true
		}
	}
	return false
}

// isAllowed reports whether a version's contract may allow a tenant to be moved, within the clock error.
func (j *Judge) isAllowed(version uint64, tenant string, at time.Duration) bool {
	c := j.contracts[version][tenant]
	return c != nil && (c.Allows(at) || c.Allows(at-j.settings.ClockError) || c.Allows(at+j.settings.ClockError))
}

// minLongFlight is the minimum flight time of requests that are kept until a window is free, to check their
// arrival then.
const minLongFlight = time.Second

// checkArrival checks a request against the window's state. Before the window is free it records which agents
// override exclusions, which the leader knows from reports, and which requests are in flight.
func (j *Judge) checkArrival(w *acceptedWindow, r Request) {
	toWindow := slices.Contains(w.Nodes, r.Server)
	if w.freeAt == 0 && r.At >= w.DrainedAt {
		w.sending[r.Agent] = true
		if r.OverridesExclusions && toWindow {
			w.overriding[r.Agent] = true
		} else {
			delete(w.overriding, r.Agent)
		}
		if !w.isOverriddenByMajority() {
			w.majorityOverridesSince = r.At
		}
	}
	if w.freeAt > 0 {
		j.checkWhileFree(w, r)
	} else if r.ArrivesAt > r.At+minLongFlight && toWindow {
		w.inFlight = slices.DeleteFunc(w.inFlight, func(earlier Request) bool { return earlier.ArrivesAt < r.At })
		w.inFlight = append(w.inFlight, r)
	}
}

// checkWhileFree adds a violation if a request arrives at a window's servers while they are free. Requests
// that override exclusions are allowed.
func (j *Judge) checkWhileFree(w *acceptedWindow, r Request) {
	if w.freeAt == 0 || r.ArrivesAt < w.freeAt || r.ArrivesAt >= w.ReturnFrom-j.settings.ClockError ||
		w.withdrawnAt > 0 && r.ArrivesAt >= w.withdrawnAt {
		return
	}
	j.RequestsWhileFree++
	if !slices.Contains(w.Nodes, r.Server) || r.OverridesExclusions {
		return
	}
	if r.Mode != policy.ModeBottom && !j.isAllowed(r.Version, r.Tenant, r.At) {
		return // a changed contract applies at once
	}
	j.addViolation(r, fmt.Sprintf("arrives at %v, after %s was declared free at %v",
		formatTime(r.ArrivesAt), w.ID, formatTime(w.freeAt)))
}
