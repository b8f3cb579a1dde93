package policy

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Version is one that was in force once, or is.
type Version struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	EffectiveAt time.Duration // Unix time at which it takes hold
	ProposalID  string
	ProposedBy  int
	Document    []byte // version 0 has none: it is the settings as they are
	Floor       []byte
}

// SetLocalSettings is an open one.
type Change struct {
	_ struct{} `cbor:",toarray"`
	Version
	BaseVersion    uint64
	PromisedVoters []int // voters that have reported that all their holders have promised
}

// FormerFloor is a floor that was replaced, and that a cut-off agent may still go by.
type FormerFloor struct {
	_          struct{} `cbor:",toarray"`
	Floor      []byte
	ReplacedBy uint64        // the version that has replaced it
	ReplacedAt time.Duration // its EffectiveAt
}

// ProposalStatus is what has become of a proposal.
type ProposalStatus uint8

// The ends. StatusUnknown: it is open, or this agent does not know of it.
const (
	StatusUnknown ProposalStatus = iota
	StatusAccepted
	StatusRejected
)

func (e ProposalStatus) String() string {
	return [...]string{"ask again", "taken", "not taken"}[min(e, StatusRejected)]
}

// RejectionCause is why a proposal was not taken.
type RejectionCause uint8

// The reasons. Their numbers are part of the state that all agents share.
const (
	NotRejected         RejectionCause = iota
	OtherChangeOpen                    // another change is open
	StaleBase                          // made from a version that is not in force
	VersionNotEffective                // the version in force has not taken hold yet
	FormerFloorInUse                   // the floor changes, and the former one may still be gone by
	Malformed                          // too long, or its time makes no sense
	RejectedByAgent                    // an agent cannot use it
	ImplausibleTime                    // its time is so far off that a clock must have been wrong
)

// Outcome is what is known of a proposal.
type Outcome struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Status          ProposalStatus
	Version         uint64 // its number, where it was ever open
	EffectiveAt     time.Duration
	Cause           RejectionCause
	BlockingVersion uint64 // the version that stood in the way
	Agent           int    // the agent that cannot use it
	Code            AnswerCode
	Text            string
}

// Reason tells staff why it was not taken.
func (o Outcome) Reason() string {
	switch o.Cause {
	case OtherChangeOpen:
		return fmt.Sprintf("another change, version %d, is open", o.BlockingVersion)
	case StaleBase:
		return fmt.Sprintf("version %d is in force, not the one that it was made from", o.BlockingVersion)
	case VersionNotEffective:
		return fmt.Sprintf("version %d has not taken hold yet", o.BlockingVersion)
	case FormerFloorInUse:
		return fmt.Sprintf("agents that are cut off may still go by the floor that version %d replaced", o.BlockingVersion)
	case Malformed:
		return "too long, or its time makes no sense"
	case RejectedByAgent:
		return fmt.Sprintf("agent %d cannot use it: %s", o.Agent, o.Text)
	case ImplausibleTime:
		return "its time is too far off: look at the clock of the machine that proposed it"
	}
	return ""
}

// State is what all records together have made. It is not to be changed.
type State struct {
	_           struct{} `cbor:",toarray"`
	LastNumber  uint64   // the newest number given to a change
	InForce     Version  // activated; it takes hold at its EffectiveAt
	Past        []Version
	OpenChange  *Change
	FormerFloor *FormerFloor
	Outcomes    []Outcome // the newest last
}

const (
	maxPast           = 8
	maxPastSize       = 2 * MaxDocumentSize // bytes of documents in Past and InForce; the last one in force is always kept
	maxOutcomes       = 32
	maxFloorSize      = 64
	maxPromisedVoters = 32
)

// StateMachine makes the state out of records. It goes by the records alone, and never reads a document: agents of
// several builds have to come to the same state.
type StateMachine struct {
	state      State
	unreadable uint64
}

// NewStateMachine returns a StateMachine at version 0.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: State{InForce: Version{Floor: InitialFloor().encode()}}}
}

// State is the present one.
func (m *StateMachine) State() State { return m.state }

// UnreadableRecords counts records that could not be read.
func (m *StateMachine) UnreadableRecords() uint64 { return m.unreadable }

// Apply takes the next record. What does not fit the state changes nothing: it came too late, or twice.
func (m *StateMachine) Apply(_ uint64, data []byte) {
	var r record
	if decoding.Unmarshal(data, &r) != nil {
		m.unreadable++
		return
	}
	if r.Kind == kindProposed {
		m.applyProposal(r)
		return
	}
	if r.Kind == kindFloorReleased && m.state.FormerFloor != nil && m.state.FormerFloor.ReplacedBy == r.Version {
		m.state.FormerFloor = nil
	}
	if m.state.OpenChange == nil || m.state.OpenChange.Number != r.Version {
		return
	}
	switch r.Kind {
	case kindPromised:
		m.applyPromises(r.Agent)
	case kindPostponed:
		if open := *m.state.OpenChange; r.EffectiveAt > open.EffectiveAt && r.EffectiveAt <= open.EffectiveAt+maxLeadTime {
			open.EffectiveAt = r.EffectiveAt
			m.state.OpenChange = &open
		}
	case kindAbandoned:
		o := m.outcome(m.state.OpenChange.ProposalID)
		o.Status, o.Agent, o.Code, o.Text, o.Cause = StatusRejected, r.Agent, r.Code, truncate(r.Text, maxTextSize), RejectedByAgent
		if r.Code == Accepted {
			o.Cause = ImplausibleTime
		}
		m.state.OpenChange = nil
	case kindActivated:
		m.activate()
	}
}

func (m *StateMachine) applyPromises(voter int) {
	open := *m.state.OpenChange
	if i, is := slices.BinarySearch(open.PromisedVoters, voter); !is && len(open.PromisedVoters) < maxPromisedVoters {
		open.PromisedVoters = slices.Insert(slices.Clone(open.PromisedVoters), i, voter)
		m.state.OpenChange = &open
	}
}

// propose opens a change, or notes why not. One that is known by its name is passed over. One that is
// forgotten is never taken twice: what it was made from is not in force any more.
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

func (m *StateMachine) rejectionCause(r record) (why RejectionCause, other uint64) {
	st := &m.state
	switch {
	case len(r.Document) == 0 || len(r.Document) > MaxDocumentSize || len(r.Floor) > maxFloorSize || r.EffectiveAt < r.Now ||
		r.EffectiveAt > r.Now+maxLeadTime:
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

// activate has the open change be the version in force.
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

// outcome is the entry of a proposal, made anew so that a State given out does not change; nil: none.
func (m *StateMachine) outcome(id string) *Outcome {
	i := slices.IndexFunc(m.state.Outcomes, func(o Outcome) bool { return o.ID == id })
	if i < 0 {
		return nil
	}
	m.state.Outcomes = slices.Clone(m.state.Outcomes)
	return &m.state.Outcomes[i]
}

// Outcome is what is known here of a proposal.
func (m *StateMachine) Outcome(id string) Outcome {
	for _, o := range m.state.Outcomes {
		if o.ID == id {
			return o
		}
	}
	return Outcome{ID: id}
}

// Document returns the document of a version that is kept; ok is false where it is not, or no longer.
func (m *StateMachine) Document(version uint64) (data []byte, ok bool) {
	for _, v := range append([]Version{m.state.InForce}, m.state.Past...) {
		if v.Number == version {
			return v.Document, version > 0
		}
	}
	return nil, false
}

// Snapshot returns all of the state; the same records give the same bytes.
func (m *StateMachine) Snapshot() []byte { return marshal(m.state) }

// ErrSnapshot: it is none of this build's.
var ErrSnapshot = errors.New("policy: a snapshot that cannot be read")

// Restore goes on from a snapshot; none is version 0. With an error nothing has changed.
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
		return ErrSnapshot
	}
	m.state = st
	return nil
}
