package policy

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Version is a numbered policy: one that is in force, was in force, or is proposed in a Change.
type Version struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	EffectiveAt time.Duration // Unix time at which it takes effect
	ProposalID  string
	ProposedBy  int    // the agent
	Document    []byte // empty for version 0, which is the settings alone
	Floor       []byte // an encoded Floor, which may come from a later build
}

// Change is the open change: it was proposed and is neither activated nor abandoned.
type Change struct {
	_ struct{} `cbor:",toarray"`
	Version
	BaseVersion    uint64
	PromisedVoters []int // voters that have reported the promises of all their lease holders; ascending
}

// FormerFloor is a replaced floor within which an agent that is cut off may still act.
type FormerFloor struct {
	_          struct{} `cbor:",toarray"`
	Floor      []byte
	ReplacedBy uint64        // number of the version that replaced it
	ReplacedAt time.Duration // Unix time at which that version takes effect
}

// State is the agreed state, the result of all applied records. Readers must not modify it.
type State struct {
	_           struct{}  `cbor:",toarray"`
	LastNumber  uint64    // number of the newest change
	InForce     Version   // the last activated version; it takes effect at its EffectiveAt
	Past        []Version // the versions before it, newest first
	OpenChange  *Change   // nil if no change is open
	FormerFloor *FormerFloor
	Outcomes    []Outcome // newest last
}

// Limits of the state's size, so that it fits the log's snapshot.
const (
	maxPast           = 8                   // versions
	maxPastSize       = 2 * MaxDocumentSize // bytes of documents in InForce and Past; the newest is always kept
	maxOutcomes       = 32
	maxFloorSize      = 64 // bytes
	maxPromisedVoters = 32
)

// StateMachine applies the records of the agreed log to the state. It depends on the records alone and never
// parses a document, because agents of different builds have to reach the same state.
type StateMachine struct {
	state      State
	unreadable uint64
}

// NewStateMachine returns a StateMachine at version 0.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: State{InForce: Version{Floor: InitialFloor().encode()}}}
}

// State returns the current state. The caller must not modify it.
func (m *StateMachine) State() State { return m.state }

// UnreadableRecords returns the number of records that this build could not decode.
func (m *StateMachine) UnreadableRecords() uint64 { return m.unreadable }

// Apply applies the next record. A record that does not fit the state, because it is late or a duplicate, has
// no effect.
func (m *StateMachine) Apply(_ uint64, data []byte) {
	var r record
	if decoding.Unmarshal(data, &r) != nil {
		m.unreadable++
		return
	}
	switch r.Kind {
	case kindProposed:
		m.applyProposal(r)
		return
	case kindFloorReleased:
		if m.state.FormerFloor != nil && m.state.FormerFloor.ReplacedBy == r.Version {
			m.state.FormerFloor = nil
		}
		return
	}
	if m.state.OpenChange == nil || m.state.OpenChange.Number != r.Version {
		return
	}
	switch r.Kind {
	case kindPromised:
		m.applyPromises(r.Agent)
	case kindPostponed:
		m.postpone(r.EffectiveAt)
	case kindAbandoned:
		m.abandon(r)
	case kindActivated:
		m.activate()
	}
}

// applyProposal opens a change, or records why the proposal is rejected. A proposal whose ID is known is
// ignored. One whose outcome is no longer stored cannot be accepted twice, because its base version is not in
// force any more.
func (m *StateMachine) applyProposal(r record) {
	if r.ID == "" || len(r.ID) > maxIDSize || m.outcome(r.ID) != nil {
		return
	}
	o := Outcome{ID: r.ID, Agent: r.Agent}
	if o.Cause, o.BlockingVersion = m.rejectionCause(r); o.Cause != NotRejected {
		o.Status = StatusRejected
	} else {
		m.state.LastNumber++
		o.Version = m.state.LastNumber
		m.state.OpenChange = &Change{BaseVersion: r.BaseVersion, Version: Version{
			Number: m.state.LastNumber, EffectiveAt: r.EffectiveAt, ProposalID: r.ID, ProposedBy: r.Agent,
			Document: r.Document, Floor: r.Floor,
		}}
	}
	all := m.state.Outcomes
	m.state.Outcomes = append(slices.Clone(all[max(len(all)-maxOutcomes+1, 0):]), o)
}

// rejectionCause returns the first reason to reject a proposal, or NotRejected, and the version that the
// reason refers to.
func (m *StateMachine) rejectionCause(r record) (cause RejectionCause, blockingVersion uint64) {
	st := &m.state
	switch {
	case len(r.Document) == 0 || len(r.Document) > MaxDocumentSize || len(r.Floor) > maxFloorSize:
		return Malformed, 0
	case r.EffectiveAt < r.Now || r.EffectiveAt > r.Now+maxLeadTime:
		return Malformed, 0
	case st.OpenChange != nil:
		return OtherChangeOpen, st.OpenChange.Number
	case r.BaseVersion != st.InForce.Number:
		return StaleBase, st.InForce.Number
	case r.Now < st.InForce.EffectiveAt:
		return VersionNotEffective, st.InForce.Number
	case st.FormerFloor != nil && !bytes.Equal(r.Floor, st.InForce.Floor):
		return FormerFloorInUse, st.FormerFloor.ReplacedBy
	}
	return NotRejected, 0
}

// applyPromises records that all lease holders of a voter have promised.
func (m *StateMachine) applyPromises(voter int) {
	open := *m.state.OpenChange
	i, reported := slices.BinarySearch(open.PromisedVoters, voter)
	if !reported && len(open.PromisedVoters) < maxPromisedVoters {
		open.PromisedVoters = slices.Insert(slices.Clone(open.PromisedVoters), i, voter)
		m.state.OpenChange = &open
	}
}

// postpone moves the effective time of the open change to a later one. It ignores a time that is earlier, or
// more than maxLeadTime later.
func (m *StateMachine) postpone(effectiveAt time.Duration) {
	open := *m.state.OpenChange
	if effectiveAt > open.EffectiveAt && effectiveAt <= open.EffectiveAt+maxLeadTime {
		open.EffectiveAt = effectiveAt
		m.state.OpenChange = &open
	}
}

// abandon closes the open change as rejected. A record without a rejecting answer is from a leader that found
// the effective time implausible.
func (m *StateMachine) abandon(r record) {
	o := m.outcome(m.state.OpenChange.ProposalID)
	o.Status, o.Agent, o.Code, o.Text = StatusRejected, r.Agent, r.Code, truncate(r.Text, maxTextSize)
	o.Cause = RejectedByAgent
	if r.Code == Accepted {
		o.Cause = ImplausibleTime
	}
	m.state.OpenChange = nil
}

// activate makes the open change the version in force.
func (m *StateMachine) activate() {
	st, v := &m.state, m.state.OpenChange.Version
	if !bytes.Equal(v.Floor, st.InForce.Floor) {
		st.FormerFloor = &FormerFloor{Floor: st.InForce.Floor, ReplacedBy: v.Number, ReplacedAt: v.EffectiveAt}
	}
	o := m.outcome(v.ProposalID)
	o.Status, o.EffectiveAt = StatusAccepted, v.EffectiveAt
	past, size := []Version{st.InForce}, len(v.Document)+len(st.InForce.Document)
	for _, p := range st.Past {
		if size += len(p.Document); size > maxPastSize || len(past) == maxPast {
			break
		}
		past = append(past, p)
	}
	st.InForce, st.Past, st.OpenChange = v, past, nil
}

// outcome returns the stored outcome of a proposal for modification, or nil if there is none. It copies the
// outcomes first, so that a State that was returned earlier does not change.
func (m *StateMachine) outcome(id string) *Outcome {
	i := slices.IndexFunc(m.state.Outcomes, func(o Outcome) bool { return o.ID == id })
	if i < 0 {
		return nil
	}
	m.state.Outcomes = slices.Clone(m.state.Outcomes)
	return &m.state.Outcomes[i]
}

// Outcome returns the outcome of a proposal. Its status is StatusUnknown if the proposal is not known here.
func (m *StateMachine) Outcome(id string) Outcome {
	for _, o := range m.state.Outcomes {
		if o.ID == id {
			return o
		}
	}
	return Outcome{ID: id}
}

// Document returns the document of a version. It returns false if the version has none or is no longer
// stored.
func (m *StateMachine) Document(version uint64) (data []byte, ok bool) {
	for _, v := range append([]Version{m.state.InForce}, m.state.Past...) {
		if v.Number == version {
			return v.Document, version > 0
		}
	}
	return nil, false
}

// Snapshot returns the encoded state. The same records give the same bytes.
func (m *StateMachine) Snapshot() []byte { return marshal(m.state) }

// ErrSnapshot is wrapped by the error for a snapshot that this build cannot read.
var ErrSnapshot = errors.New("policy: cannot read the snapshot")

// Restore replaces the state with that of a snapshot; an empty snapshot is version 0. On an error, which
// wraps ErrSnapshot, the state does not change.
func (m *StateMachine) Restore(data []byte) error {
	if len(data) == 0 {
		m.state = NewStateMachine().state
		return nil
	}
	var st State
	if err := decoding.Unmarshal(data, &st); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if len(st.Past) > maxPast || len(st.Outcomes) > maxOutcomes || st.InForce.Number > 0 && len(st.Past) == 0 {
		return fmt.Errorf("%w: %d past versions and %d outcomes", ErrSnapshot, len(st.Past), len(st.Outcomes))
	}
	m.state = st
	return nil
}
