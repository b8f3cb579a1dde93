package judge

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/policy"
)

// moveBudgetKey identifies the budget for the moves of a tenant's keys at a server by one agent.
type moveBudgetKey struct {
	agent        int
	tenant, node string
}

// moveBudget is a token bucket that limits how fast keys leave a server or return to it. It fills with the
// move rate, and each moved key takes one token. An agent without a lease may learn late that a window
// returns, and then returns its keys at once, so only keys that leave are limited there.
type moveBudget struct {
	incarnation int
	mode        policy.Mode
	version     uint64
	at          time.Duration   // time of the last request
	isExempt    bool            // moves cost nothing until the time advances: see budget
	remaining   float64         // tokens
	movedKeys   map[uint32]bool // whether the key was moved, by hash
}

// maxGap is the time without requests after which an agent counts as paused.
const maxGap = 3 * time.Second

// keyLocation is where a key's request was sent.
type keyLocation uint8

const (
	atServer keyLocation = iota // the window's server
	movedOff                    // another server, because the window's server was excluded
)

// checkMoves checks a request's key for a move since its last request, at each server of a window. It
// ignores requests outside of the window's time. A key that another window has already moved off the same
// server counts for that window only.
func (j *Judge) checkMoves(w *acceptedWindow, r Request) {
	if r.At < w.From-maxGap || r.At > w.To+maxGap || r.OverridesExclusions {
		return
	}
	for _, server := range w.Nodes {
		if slices.Contains(r.Excluded, server) {
			j.checkMove(w, r, server, movedOff)
		} else if r.Server == server {
			j.checkMove(w, r, server, atServer)
		}
	}
}

// checkMove checks a key at one server of a window.
func (j *Judge) checkMove(w *acceptedWindow, r Request, server string, place keyLocation) {
	budget := j.budget(w, r, server)
	if r.At > budget.at {
		budget.isExempt = false
		filled := budget.remaining + w.moveRate*float64(j.settings.Keys)*(r.At-budget.at).Seconds()
		budget.remaining = min(filled, j.maxMovesAtOnce(w))
		budget.at = r.At
	}
	moved := place == movedOff
	wasMoved, known := budget.movedKeys[r.Hash]
	budget.movedKeys[r.Hash] = moved
	if !known || wasMoved == moved || budget.isExempt || r.Mode != policy.ModeFull && !moved {
		return
	}
	if budget.remaining--; budget.remaining < 0 {
		j.addViolation(r, fmt.Sprintf("%s moves keys faster than %.3f a second", w.ID, w.moveRate))
	}
}

// budget returns the budget for a request's key. It starts a new budget, with the known locations of the
// keys, if the agent restarted, changed its mode or version, or was paused.
func (j *Judge) budget(w *acceptedWindow, r Request, server string) *moveBudget {
	key := moveBudgetKey{r.Agent, r.Tenant, server}
	b := j.moveBudgets[key]
	if b != nil && b.incarnation == r.Incarnation && b.mode == r.Mode && b.version == r.Version &&
		r.At-b.at <= maxGap {
		return b
	}
	keys := map[uint32]bool{}
	if b != nil {
		keys = b.movedKeys
	}
	b = &moveBudget{
		incarnation: r.Incarnation, mode: r.Mode, version: r.Version, at: r.At, isExempt: true,
		remaining: j.maxMovesAtOnce(w), movedKeys: keys,
	}
	j.moveBudgets[key] = b
	return b
}

// maxMovesAtOnce returns the number of keys that may be moved at once: one step and the moves of the learning
// delay, with a margin for random variation.
func (j *Judge) maxMovesAtOnce(w *acceptedWindow) float64 {
	n := float64(j.settings.Keys) * (w.moveRate*j.settings.LearnDelay.Seconds() + 1/float64(w.Steps))
	return n + 3*max(n, 1)/2
}
