package maintenance

import (
	"time"

	farm "github.com/dgryski/go-farm"
)

// Turns divides all servers into as many groups, by their zones. Each group has one day in as many days, its
// turn, on which windows may hold its servers. An agent at policy.ModeBottom, which may not know of the
// latest windows, keeps off the servers whose turn it is. Zero: no turns, and such an agent may use a server
// that is free.
//
// The zone decides, as operators ask for a whole zone at once; a server without a zone has a turn of its own.
type Turns int

const (
	day = 24 * time.Hour
	// noon UTC is when turns begin: windows are mostly at night, and few would be cut.
	noon = 12 * time.Hour
	// TurnMargin is kept free at both ends of a turn, for clocks that differ.
	TurnMargin = 10 * time.Second
)

// Of is a server's turn, 0 up to the number of turns.
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

// At is whose turn it is at a time (Unix time), and until when; -1 without turns.
func (t Turns) At(at time.Duration) (turn int, until time.Duration) {
	if t < 1 {
		return -1, at + day
	}
	days := (at - noon) / day
	return int(days % time.Duration(t)), (days+1)*day + noon
}

// Covers tells whether a server may be in a window during all of a time; see PlanInput.IsInTurn.
func (t Turns) Covers(id, zone string, from, to time.Duration) bool {
	if t < 1 {
		return true
	}
	turn, until := t.At(from - TurnMargin)
	return turn == t.Of(id, zone) && to+TurnMargin <= until
}
