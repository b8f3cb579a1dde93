package maintenance

import (
	"time"

	farm "github.com/dgryski/go-farm"
)

// Turns is the number of groups into which all servers are divided by their zones. The groups take turns of
// one day each, and a server may be in a window only during its group's turn. An agent at policy.ModeBottom,
// which may not know of the latest windows, keeps off the servers whose turn it is. Zero disables turns; such
// an agent may then use a server that was declared free.
//
// Groups are made of whole zones because operators request windows for a whole zone at once. A server without
// a zone is assigned to a group by its id.
type Turns int

const (
	day = 24 * time.Hour
	// turnStart is the time of day at which turns begin, 12:00 UTC: windows are mostly at night, so few cross
	// it.
	turnStart = 12 * time.Hour
	// TurnMargin is the time left free at both ends of a turn, because clocks differ.
	TurnMargin = 10 * time.Second
)

// Of returns a server's turn, from 0 to t-1; 0 without turns.
func (t Turns) Of(id, zone string) int {
	if t < 1 {
		return 0
	}
	name := zone
	if name == "" {
		name = id
	}
	return int(farm.Hash32([]byte(name)) % uint32(t))
}

// At returns the turn at a Unix time and when that turn ends. Without turns it returns -1 and at plus a day.
func (t Turns) At(at time.Duration) (turn int, until time.Duration) {
	if t < 1 {
		return -1, at + day
	}
	days := (at - turnStart) / day
	return int(days % time.Duration(t)), (days+1)*day + turnStart
}

// Covers reports whether a server may be in a window during [from, to): the interval must lie within the
// server's turn less the margin at both ends. See PlanInput.IsInTurn.
func (t Turns) Covers(id, zone string, from, to time.Duration) bool {
	if t < 1 {
		return true
	}
	turn, until := t.At(from - TurnMargin)
	return turn == t.Of(id, zone) && to+TurnMargin <= until
}
