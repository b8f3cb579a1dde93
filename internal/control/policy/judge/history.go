package judge

import (
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// History records the operations on one fleet's policy versions that proposers and readers observed at any
// agents. It checks them for linearizability against a single register, which each accepted proposal changes
// once. It is not safe for concurrent use.
type History struct {
	clockError time.Duration
	proposedAt map[string]time.Duration // time at which each proposal was first made, by its ID
	reads      map[uint64]*versionReads // by version
	operations []porcupine.Operation
}

// versionReads keeps two reads of a version: the one that ended first and the one that began last. A version
// is in force during one interval, so any order that explains these two explains all other reads of it. With
// hundreds of overlapping reads the linearizability check would not terminate.
type versionReads struct{ first, last readInterval }

type readInterval struct{ from, to time.Duration }

// NewHistory returns an empty History. clockError is the maximum difference between two agents' clocks, and
// so between the times at which a version takes effect at two agents.
func NewHistory(clockError time.Duration) *History {
	return &History{
		clockError: clockError, proposedAt: map[string]time.Duration{},
		reads: map[uint64]*versionReads{},
	}
}

// ProposalMade records that a proposal with an ID was made. For a repeated ID the first time counts.
func (h *History) ProposalMade(at time.Duration, id string) {
	if _, known := h.proposedAt[id]; !known {
		h.proposedAt[id] = at
	}
}

// ProposalAnswered records the answer to a proposal: it was accepted as a version that takes effect at
// effectiveAt, or rejected if version is 0. The caller must repeat a proposal that got no answer until it
// gets one, because otherwise no operation explains the version as which it may have been accepted.
func (h *History) ProposalAnswered(at time.Duration, id string, version uint64, effectiveAt time.Duration) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations), Input: operationInput{proposalID: id}, Output: version,
		Call: int64(h.proposedAt[id]), Return: int64(max(at, effectiveAt) + h.clockError),
	})
}

// VersionRead records that an agent acted on a version at some moment between from and to.
func (h *History) VersionRead(from, to time.Duration, version uint64) {
	r := readInterval{from - h.clockError, to + h.clockError}
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

// IsLinearizable reports whether all recorded operations are linearizable. It returns false if the check does
// not finish within a minute.
func (h *History) IsLinearizable() bool {
	operations := slices.Clone(h.operations)
	for version, reads := range h.reads {
		for _, r := range []readInterval{reads.first, reads.last} {
			operations = append(operations, porcupine.Operation{
				ClientId: len(operations), Input: operationInput{}, Output: version,
				Call: int64(r.from), Return: int64(r.to),
			})
		}
	}
	return porcupine.CheckOperationsTimeout(registerModel, operations, time.Minute) == porcupine.Ok
}

// operationInput is the ID of a proposal; it is empty for a read.
type operationInput struct{ proposalID string }

// registerState is the current version, and the version as which each proposal was accepted.
type registerState struct {
	version  uint64
	accepted map[string]uint64
}

// registerModel is the model of the register; it is not modified. Version numbers increase, but with gaps for
// accepted versions whose proposer never received the answer.
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
