package judge

import (
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// History is what proposers and readers at any agents saw of one fleet's policies. It is checked against one
// register that each accepted proposal changes once: some order of all operations has to explain what was
// seen, in which operations that did not overlap keep their order. It is not safe for concurrent use.
type History struct {
	clockError time.Duration
	proposedAt map[string]time.Duration // when each proposal was first made, by its ID
	reads      map[uint64]*versionReads // by version
	operations []porcupine.Operation
}

// versionReads are the read of a version that ended first and the one that began last. A version is in force
// from one moment to another, so whatever order these two allow, all reads between them do; with hundreds of
// reads that overlap, a search would not come to an end.
type versionReads struct{ first, last readTime }

type readTime struct{ from, to time.Duration }

// NewHistory returns an empty History. ClockError is how far two agents' clocks may be apart: a version that
// takes effect at a time does so at each agent within this of the others.
func NewHistory(clockError time.Duration) *History {
	return &History{
		clockError: clockError, proposedAt: map[string]time.Duration{},
		reads: map[uint64]*versionReads{},
	}
}

// ProposalMade takes that somebody has proposed, under an ID; the same one may come again.
func (h *History) ProposalMade(at time.Duration, id string) {
	if _, known := h.proposedAt[id]; !known {
		h.proposedAt[id] = at
	}
}

// ProposalAnswered takes what a proposer was answered: that its proposal was accepted as a version that takes
// effect at a time, or, with version 0, that it was rejected. A proposal without an answer has to be asked
// about again first: nothing else explains the version that it was accepted as.
func (h *History) ProposalAnswered(at time.Duration, id string, version uint64, effectiveAt time.Duration) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations), Input: operationInput{proposalID: id}, Output: version,
		Call: int64(h.proposedAt[id]), Return: int64(max(at, effectiveAt) + h.clockError),
	})
}

// VersionRead takes that some agent acted on a version at some moment between two.
func (h *History) VersionRead(from, to time.Duration, version uint64) {
	r := readTime{from - h.clockError, to + h.clockError}
	reads := h.reads[version]
	if reads == nil {
		h.reads[version] = &versionReads{r, r}
		return
	}
	if r.to < reads.first.to {
		reads.first = r
	}
	if r.from > reads.last.from {
		reads.last = r
	}
}

// IsLinearizable tells whether one register explains all that was seen.
func (h *History) IsLinearizable() bool {
	operations := slices.Clone(h.operations)
	for version, reads := range h.reads {
		for _, r := range []readTime{reads.first, reads.last} {
			operations = append(operations, porcupine.Operation{
				ClientId: len(operations), Input: operationInput{}, Output: version,
				Call: int64(r.from), Return: int64(r.to),
			})
		}
	}
	return porcupine.CheckOperationsTimeout(registerModel, operations, time.Minute) == porcupine.Ok
}

// operationInput is a proposal by its ID, or a read where that is empty.
type operationInput struct{ proposalID string }

// registerState is the version, and which one each proposal was accepted as.
type registerState struct {
	version  uint64
	accepted map[string]uint64
}

// registerModel is what all agents act on; nobody changes it. Numbers rise; versions that were accepted and
// whose proposer never learnt it may lie between two.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, version := state.(registerState), input.(operationInput), output.(uint64)
		switch before, known := s.accepted[in.proposalID]; {
		case in.proposalID == "":
			return version == s.version, s
		case known:
			return version == before, s
		case version == 0:
			return true, s
		case version <= s.version:
			return false, s
		}
		accepted := maps.Clone(s.accepted)
		if accepted == nil {
			accepted = map[string]uint64{}
		}
		accepted[in.proposalID] = version
		return true, registerState{version, accepted}
	},
	Equal: func(a, b any) bool {
		x, y := a.(registerState), b.(registerState)
		return x.version == y.version && maps.Equal(x.accepted, y.accepted)
	},
}
