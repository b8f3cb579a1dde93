// Package judge tells from the outside whether a fleet has kept what package window promises: from the
// requests that its agents sent, the windows that were accepted, and the contracts by their versions. It
// knows nothing of how agents decide.
package judge

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
)

// Request is one that an agent decided on. They are to be told in the order of their times.
type Request struct {
	At      time.Duration // true time of the decision, Unix
	Arrives time.Duration // at the server
	Agent   int
	Life    int // of the agent's process
	Tenant  string
	Hash    uint32
	Server  string   // empty: none
	Kept    []string // servers that it would have gone to before, and was kept off
	First   bool     // serving went first: it should have kept off the server
	Listed  int      // servers that the agent's list has
	How     policy.Mode
	Version uint64
}

// Violation is a request that should not have been.
type Violation struct {
	Request
	Reason string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v: agent %d, %v of version %d, tenant %s, server %q, kept off %v: %s", clock(b.At),
		b.Agent, b.How, b.Version, b.Tenant, b.Server, b.Kept, b.Reason)
}

func clock(at time.Duration) string {
	return time.Unix(0, int64(at)).UTC().Format("Mon 02.01. 15:04:05.000")
}

// Settings are what the promises are held to.
type Settings struct {
	Slack  time.Duration     // how far a Unix clock may be off
	Turns  maintenance.Turns // of agents at the bottom
	Late   time.Duration     // by how much an agent may learn later what has become of a window: the fence
	Keys   int               // how many keys of a tenant are told of again and again
	Report time.Duration     // for how long before a `free` those who serve first count as having told so
}

// Judge hears of one fleet.
type Judge struct {
	// Violations are the first ones, Count is how many there were.
	Violations []Violation
	Count      int
	// Moved counts requests that were kept off a node, Freed those that arrived anywhere while one was free.
	Moved, Freed int

	set       Settings
	windows   []*accepted
	contracts map[uint64]map[string]*contract.Contract
	pace      map[place]*pace
}

type accepted struct {
	*maintenance.Window
	pace      float64
	free      time.Duration // zero: never
	withdrawn time.Duration // zero: never
	first     map[int]bool  // agents that served first in the time before
	asked     map[int]bool  // and those that sent anything
	since     time.Duration
	under     []Request // that arrive later than it was known that the window is free
}

const maxViolations = 20

// New returns a Judge.
func New(set Settings) *Judge {
	return &Judge{set: set, contracts: map[uint64]map[string]*contract.Contract{}, pace: map[place]*pace{}}
}

// Accepted tells of a window, and the part of a node's keys that was to be moved in a second at most.
func (j *Judge) Accepted(w *maintenance.Window, pace float64) {
	j.windows = append(j.windows, &accepted{Window: w, pace: pace, first: map[int]bool{}, asked: map[int]bool{}})
}

// Contracts tells those of a version, before any request is told that was made under it.
func (j *Judge) Contracts(version uint64, all map[string]*contract.Contract) {
	j.contracts[version] = all
}

// Free tells that staff were told so; not Free that they were told it is no more, or that it is over.
func (j *Judge) Free(at time.Duration, id string, free bool) {
	for _, w := range j.windows {
		switch {
		case w.ID != id:
		case free && w.free == 0:
			w.free = at
			for _, r := range w.under {
				j.freed(w, r)
			}
			if n := len(w.first); n > 0 && 2*n > len(w.asked) && at-w.since > j.set.Report {
				j.breach(Request{At: at}, fmt.Sprintf("%s is told to be free while serving goes first", id))
			}
		case !free && w.withdrawn == 0:
			w.withdrawn = at
		}
	}
}

func (j *Judge) breach(r Request, text string) {
	if j.Count++; len(j.Violations) < maxViolations {
		j.Violations = append(j.Violations, Violation{r, text})
	}
}

// Sent hears of a request.
func (j *Judge) Sent(r Request) {
	if r.Server == "" && r.Listed > 0 {
		j.breach(r, "no server, while one is listed")
	}
	for _, node := range r.Kept {
		j.Moved++
		if text := j.mayMove(r, node); text != "" {
			j.breach(r, text)
		}
	}
	for _, w := range j.windows {
		if slices.Contains(w.Tenants, r.Tenant) {
			j.arrives(w, r)
			j.moves(w, r)
		}
	}
}

// mayMove tells why a request may not be kept off a node; empty: it may.
func (j *Judge) mayMove(r Request, node string) string {
	text := "kept off a node that no window holds"
	for _, w := range j.windows {
		if !slices.Contains(w.Nodes, node) || !slices.Contains(w.Tenants, r.Tenant) ||
			r.At < w.From-j.set.Slack || r.At >= w.To+j.set.Slack {
			continue
		}
		version := r.Version
		if r.How == policy.ModeBottom {
			version = w.PolicyVersion
		}
		if j.allowed(version, r.Tenant, r.At) {
			return ""
		}
		text = "outside the hours of its contract"
	}
	if turn, _ := j.set.Turns.At(r.At); r.How == policy.ModeBottom && j.set.Turns > 0 {
		before, _ := j.set.Turns.At(r.At - j.set.Slack)
		after, _ := j.set.Turns.At(r.At + j.set.Slack)
		if of := j.set.Turns.Of(node, ""); of == turn || of == before || of == after {
			return ""
		}
	}
	return text
}

// allowed tells whether a version's contract allows a tenant to be moved, by any clock that is right.
func (j *Judge) allowed(version uint64, tenant string, at time.Duration) bool {
	c := j.contracts[version][tenant]
	return c != nil && (c.Allows(at) || c.Allows(at-j.set.Slack) || c.Allows(at+j.set.Slack))
}

// arrives holds a request against `free`.
func (j *Judge) arrives(w *accepted, r Request) {
	if at := slices.Contains(w.Nodes, r.Server); w.free == 0 && r.At >= w.DrainedAt {
		// Who serves first now has told so when this is over.
		if !r.First || !at {
			w.asked[r.Agent] = true
			delete(w.first, r.Agent)
		} else {
			w.asked[r.Agent] = true
			w.first[r.Agent] = true
		}
		if 2*len(w.first) <= len(w.asked) {
			w.since = r.At
		}
	}
	if w.free > 0 {
		j.freed(w, r)
	} else if r.Arrives > r.At+time.Second && slices.Contains(w.Nodes, r.Server) {
		w.under = slices.DeleteFunc(w.under, func(u Request) bool { return u.Arrives < r.At })
		w.under = append(w.under, r)
	}
}

func (j *Judge) freed(w *accepted, r Request) {
	if w.free == 0 || r.Arrives < w.free || r.Arrives >= w.ReturnFrom-j.set.Slack ||
		w.withdrawn > 0 && r.Arrives >= w.withdrawn {
		return
	}
	j.Freed++
	if !slices.Contains(w.Nodes, r.Server) || r.First {
		return
	}
	if r.How != policy.ModeBottom && !j.allowed(r.Version, r.Tenant, r.At) {
		return // the contract was changed, which binds at once
	}
	j.breach(r, fmt.Sprintf("arrives at %v, after %s was free at %v", clock(r.Arrives), w.ID, clock(w.free)))
}
