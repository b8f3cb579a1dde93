package maintenance

import (
	"time"

	farm "github.com/dgryski/go-farm"
)

// Turns parts all servers into so many, by their zones: each has one day in so many on which windows may hold
// it. An agent that has held no lease for so long that windows may have begun which it does not know keeps
// off the servers whose turn it is. Zero: no turns; such an agent may use a node that is free.
//
// The zone has the turn, as staff ask for a whole zone at once; a server without one has its own.
type Turns int

const (
	day = 24 * time.Hour
	// noon is when turns begin, UTC: an hour at which few nights' windows would be cut.
	noon = 12 * time.Hour
	// TurnMargin is left at both ends of a turn, for clocks that differ.
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

// At is whose turn it is at a time (Unix time), and until when.
func (t Turns) At(at time.Duration) (turn int, until time.Duration) {
	if t < 1 {
		return -1, at + day
	}
	days := (at - noon) / day
	return int(days % time.Duration(t)), (days+1)*day + noon
}

// Covers tells whether a server may be in a window all the time from one moment to another: PlanInput.IsInTurn.
func (t Turns) Covers(id, zone string, from, to time.Duration) bool {
	if t < 1 {
		return true
	}
	turn, until := t.At(from - TurnMargin)
	return turn == t.Of(id, zone) && to+TurnMargin <= until
}
