package judge

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/policy"
)

// moveAccountKey is a tenant's keys at a server, as one agent moves them.
type moveAccountKey struct {
	agent        int
	tenant, node string
}

// moveAccount is how fast keys leave or come back. It fills up with the move rate as time passes, and each
// key that is moved takes one from it. An agent without a lease may learn late that a window returns, and
// then has its keys come back at once; keys that leave follow the rate there too.
type moveAccount struct {
	incarnation int
	mode        policy.Mode
	version     uint64
	at          time.Duration
	fresh       bool // what an agent moves at once when it starts, wakes up, or gets or loses a lease
	remaining   float64
	keys        map[uint32]bool // whether the key was moved, by hash
}

// maxGap is how long an agent may send nothing before it counts as one that was paused.
const maxGap = 3 * time.Second

// keyPlace is where a request of a key went.
type keyPlace uint8

const (
	atServer keyPlace = iota // to the window's server
	movedOff                 // kept off it
)

// checkMoves counts keys that were moved, or back, since they were seen last. Keys that another window has
// off the same server meanwhile count for that one.
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
func (j *Judge) checkMove(w *acceptedWindow, r Request, server string, place keyPlace) {
	account := j.account(w, r, server)
	if r.At > account.at {
		account.fresh = false
		filled := account.remaining + w.moveRate*float64(j.settings.Keys)*(r.At-account.at).Seconds()
		account.remaining = min(filled, j.maxMovesAtOnce(w))
		account.at = r.At
	}
	moved := place == movedOff
	before, known := account.keys[r.Hash]
	account.keys[r.Hash] = moved
	if !known || before == moved || account.fresh || r.Mode != policy.ModeFull && !moved {
		return
	}
	if account.remaining--; account.remaining < 0 {
		j.addViolation(r, fmt.Sprintf("%s moves keys faster than %.3f a second", w.ID, w.moveRate))
	}
}

// account is the account of a request's keys, a new one where the agent has just begun to act as it does.
func (j *Judge) account(w *acceptedWindow, r Request, server string) *moveAccount {
	key := moveAccountKey{r.Agent, r.Tenant, server}
	a := j.moveAccounts[key]
	if a != nil && a.incarnation == r.Incarnation && a.mode == r.Mode && a.version == r.Version &&
		r.At-a.at <= maxGap {
		return a
	}
	keys := map[uint32]bool{}
	if a != nil {
		keys = a.keys
	}
	a = &moveAccount{
		incarnation: r.Incarnation, mode: r.Mode, version: r.Version, at: r.At, fresh: true,
		remaining: j.maxMovesAtOnce(w), keys: keys,
	}
	j.moveAccounts[key] = a
	return a
}

// maxMovesAtOnce is how many keys may be moved at once: a step, what is learnt late, and chance on both.
func (j *Judge) maxMovesAtOnce(w *acceptedWindow) float64 {
	n := float64(j.settings.Keys) * (w.moveRate*j.settings.LearnDelay.Seconds() + 1/float64(w.Steps))
	return n + 3*max(n, 1)/2
}
