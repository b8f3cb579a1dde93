package judge

import (
	"maps"
	"time"

	"github.com/anishathalye/porcupine"
)

// History is what callers and readers at any agents saw of one fleet's policies, to be held against one
// register that each taken call changes once: some order of all that was seen has to explain it, in which no
// two are the other way round that did not overlap. It is not safe for concurrent use.
type History struct {
	slack time.Duration
	calls map[string]time.Duration // when each was first made, by its name
	reads map[uint64]*seenReads    // by version
	ops   []porcupine.Operation
}

// seenReads are the read of a version that ended first and the one that began last. A version holds from one
// moment to another, so what these two allow all others between them do: and in hundreds of reads that
// overlap a search would not come to an end.
type seenReads struct{ first, last seenRead }

type seenRead struct{ from, to time.Duration }

// NewHistory returns one. Slack is how far two agents' clocks may be apart: what takes hold by them does so
// at each within this of the others.
func NewHistory(slack time.Duration) *History {
	return &History{slack: slack, calls: map[string]time.Duration{}, reads: map[uint64]*seenReads{}}
}

// Called tells that somebody has proposed, by a name; again and again if need be.
func (h *History) Called(at time.Duration, id string) {
	if _, is := h.calls[id]; !is {
		h.calls[id] = at
	}
}

// Answered tells what a caller was told: that its call was taken as a version that takes hold at a time, or,
// with version 0, that it was not taken. A call of which nobody was told has to be asked about again first:
// what it was taken as explains nothing else.
func (h *History) Answered(at time.Duration, id string, version uint64, by time.Duration) {
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: len(h.ops), Input: call{id: id}, Output: version,
		Call: int64(h.calls[id]), Return: int64(max(at, by) + h.slack),
	})
}

// Read tells that some agent acted on a version at some moment between two.
func (h *History) Read(from, to time.Duration, version uint64) {
	r := seenRead{from - h.slack, to + h.slack}
	all := h.reads[version]
	if all == nil {
		h.reads[version] = &seenReads{r, r}
		return
	}
	if r.to < all.first.to {
		all.first = r
	}
	if r.from > all.last.from {
		all.last = r
	}
}

// IsLinearizable tells whether one register explains all that was seen.
func (h *History) IsLinearizable() bool {
	ops := append([]porcupine.Operation{}, h.ops...)
	for version, all := range h.reads {
		for _, r := range []seenRead{all.first, all.last} {
			ops = append(ops, porcupine.Operation{
				ClientId: len(ops), Input: call{}, Output: version,
				Call: int64(r.from), Return: int64(r.to),
			})
		}
	}
	return porcupine.CheckOperationsTimeout(register, ops, time.Minute) == porcupine.Ok
}

// call is a proposal by its name, or a read.
type call struct{ id string }

// held is the register: the version, and which one each call was taken as.
type held struct {
	version uint64
	taken   map[string]uint64
}

// register is what all agents act on. Numbers rise; versions that were taken and never told of may lie
// between two.
var register = porcupine.Model{
	Init: func() any { return held{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, version := state.(held), input.(call), output.(uint64)
		switch before, is := s.taken[in.id]; {
		case in.id == "":
			return version == s.version, s
		case is:
			return version == before, s
		case version == 0:
			return true, s
		case version <= s.version:
			return false, s
		}
		taken := maps.Clone(s.taken)
		if taken == nil {
			taken = map[string]uint64{}
		}
		taken[in.id] = version
		return true, held{version, taken}
	},
	Equal: func(a, b any) bool {
		x, y := a.(held), b.(held)
		return x.version == y.version && maps.Equal(x.taken, y.taken)
	},
}
