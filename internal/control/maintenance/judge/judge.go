// Package judge checks from the outside whether a fleet keeps what package maintenance promises: from the
// requests that its agents sent, the windows that were accepted, and the contracts by their versions. It
// knows nothing of how agents decide.
//
// It reads no clock and does no input or output; all times are true Unix times that the caller passes. Its
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

// Request is one that an agent decided on. Requests are passed in the order of their times.
type Request struct {
	At                  time.Duration // of the decision
	ArrivesAt           time.Duration // at the server
	Agent               int
	Incarnation         int // of the agent's process
	Tenant              string
	Hash                uint32
	Server              string   // empty: none
	Excluded            []string // servers that it would have gone to before, and was kept off
	OverridesExclusions bool     // it should have kept off the server, but no other was left
	Listed              int      // servers on the agent's endpoint list
	Mode                policy.Mode
	Version             uint64
}

// Violation is a request that should not have been sent, or not to its server.
type Violation struct {
	Request
	Reason string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v: agent %d, %v of version %d, tenant %s, server %q, kept off %v: %s", clock(b.At),
		b.Agent, b.Mode, b.Version, b.Tenant, b.Server, b.Excluded, b.Reason)
}

func clock(at time.Duration) string {
	return time.Unix(0, int64(at)).UTC().Format("Mon 02.01. 15:04:05.000")
}

// Settings are what the promises are checked with.
type Settings struct {
	ClockError   time.Duration     // how far a Unix clock may be off
	Turns        maintenance.Turns // of agents at policy.ModeBottom
	LearnDelay   time.Duration     // with which an agent may learn of a window's state: the fence
	Keys         int               // how many keys of a tenant are sent again and again
	ReportPeriod time.Duration     // after which overridden exclusions have been reported to the leader
}

// Judge checks the requests of one fleet.
type Judge struct {
	// Violations are the first ones, Count is how many there were.
	Violations []Violation
	Count      int
	// ExcludedRequests counts requests that were kept off a server, RequestsWhileFree those that arrived
	// anywhere while a window of their tenant was free.
	ExcludedRequests, RequestsWhileFree int

	settings     Settings
	windows      []*acceptedWindow
	contracts    map[uint64]map[string]*contract.Contract // by version and tenant
	moveAccounts map[moveAccountKey]*moveAccount
}

// acceptedWindow is a window, and what was seen of it.
type acceptedWindow struct {
	*maintenance.Window
	moveRate    float64
	freeAt      time.Duration // zero: never
	withdrawnAt time.Duration // when it stopped being free; zero: never
	overriding  map[int]bool  // agents whose last request before that overrode exclusions
	sending     map[int]bool  // agents that sent requests before that
	// mostOverrideSince is since when most agents that send override exclusions.
	mostOverrideSince time.Duration
	inFlight          []Request // that arrive long after they were sent, before the window is free
}

// maxViolations is how many violations are kept; all are counted.
const maxViolations = 20

// New returns a Judge of a fleet without windows.
func New(settings Settings) *Judge {
	return &Judge{
		settings: settings, contracts: map[uint64]map[string]*contract.Contract{},
		moveAccounts: map[moveAccountKey]*moveAccount{},
	}
}

// WindowAccepted takes a window, and the fraction of a server's keys that may be moved in a second.
func (j *Judge) WindowAccepted(w *maintenance.Window, moveRate float64) {
	j.windows = append(j.windows, &acceptedWindow{
		Window: w, moveRate: moveRate, overriding: map[int]bool{}, sending: map[int]bool{},
	})
}

// SetContracts takes the contracts of a version, before any request that is made under it.
func (j *Judge) SetContracts(version uint64, contracts map[string]*contract.Contract) {
	j.contracts[version] = contracts
}

// SetFree takes that operators were told a window's servers are free, or that they are not any more.
//
//nolint:revive // flag-parameter: it is a state
func (j *Judge) SetFree(at time.Duration, id string, free bool) {
	for _, w := range j.windows {
		switch {
		case w.ID != id:
		case free && w.freeAt == 0:
			w.freeAt = at
			for _, r := range w.inFlight {
				j.checkWhileFree(w, r)
			}
			if w.isMostlyOverridden() && at-w.mostOverrideSince > j.settings.ReportPeriod {
				j.addViolation(Request{At: at}, fmt.Sprintf("%s is told to be free while serving goes first", id))
			}
		case !free && w.withdrawnAt == 0:
			w.withdrawnAt = at
		}
	}
}

// isMostlyOverridden tells whether most agents that send override exclusions.
func (w *acceptedWindow) isMostlyOverridden() bool { return 2*len(w.overriding) > len(w.sending) }

func (j *Judge) addViolation(r Request, reason string) {
	if j.Count++; len(j.Violations) < maxViolations {
		j.Violations = append(j.Violations, Violation{r, reason})
	}
}

// RequestSent checks a request.
func (j *Judge) RequestSent(r Request) {
	if r.Server == "" && r.Listed > 0 {
		j.addViolation(r, "no server, while one is listed")
	}
	for _, server := range r.Excluded {
		j.ExcludedRequests++
		if reason := j.exclusionFault(r, server); reason != "" {
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

// exclusionFault says why a request may not be kept off a server; empty: it may.
func (j *Judge) exclusionFault(r Request, server string) string {
	reason := "kept off a node that no window holds"
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
		reason = "outside the hours of its contract"
	}
	if r.Mode == policy.ModeBottom && j.settings.Turns > 0 && j.isInTurn(r.At, server) {
		return ""
	}
	return reason
}

// isInTurn tells whether it is a server's turn, by any clock that is right.
func (j *Judge) isInTurn(at time.Duration, server string) bool {
	of := j.settings.Turns.Of(server, "")
	for _, clockError := range []time.Duration{0, -j.settings.ClockError, j.settings.ClockError} {
		if turn, _ := j.settings.Turns.At(at + clockError); turn == of {
			return true
		}
	}
	return false
}

// isAllowed tells whether a version's contract allows a tenant to be moved, by any clock that is right.
func (j *Judge) isAllowed(version uint64, tenant string, at time.Duration) bool {
	c := j.contracts[version][tenant]
	return c != nil && (c.Allows(at) || c.Allows(at-j.settings.ClockError) || c.Allows(at+j.settings.ClockError))
}

// longFlight is from when on a request that was sent before a window is free may arrive after it.
const longFlight = time.Second

// checkArrival checks a request against the window's state. Before the window is free it notes which agents
// override exclusions, as the leader has reports of that, and which requests are in flight.
func (j *Judge) checkArrival(w *acceptedWindow, r Request) {
	toWindow := slices.Contains(w.Nodes, r.Server)
	if w.freeAt == 0 && r.At >= w.DrainedAt {
		w.sending[r.Agent] = true
		if r.OverridesExclusions && toWindow {
			w.overriding[r.Agent] = true
		} else {
			delete(w.overriding, r.Agent)
		}
		if !w.isMostlyOverridden() {
			w.mostOverrideSince = r.At
		}
	}
	if w.freeAt > 0 {
		j.checkWhileFree(w, r)
	} else if r.ArrivesAt > r.At+longFlight && toWindow {
		w.inFlight = slices.DeleteFunc(w.inFlight, func(earlier Request) bool { return earlier.ArrivesAt < r.At })
		w.inFlight = append(w.inFlight, r)
	}
}

// checkWhileFree checks that a request does not arrive at a window's servers while they are free.
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
		return // the contract was changed, which applies at once
	}
	j.addViolation(r,
		fmt.Sprintf("arrives at %v, after %s was free at %v", clock(r.ArrivesAt), w.ID, clock(w.freeAt)))
}
