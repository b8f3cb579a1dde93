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
	_        struct{} `cbor:",toarray"`
	Number   uint64
	By       time.Duration // Unix time at which it takes hold
	ID       string
	Who      int
	Document []byte // version 0 has none: it is the settings as they are
	Floor    []byte
}

// Change is an open one.
type Change struct {
	_ struct{} `cbor:",toarray"`
	Version
	Base uint64
	Yes  []int // voters that have reported that all their holders have promised
}

// Former is a floor that was replaced, and that a cut-off agent may still go by.
type Former struct {
	_       struct{} `cbor:",toarray"`
	Floor   []byte
	Since   uint64        // the version that has replaced it
	SinceBy time.Duration // its By
}

// End is what has become of a proposal.
type End uint8

// The ends. AskAgain: it is open, or this agent does not know of it.
const (
	AskAgain End = iota
	Taken
	NotTaken
)

func (e End) String() string { return [...]string{"ask again", "taken", "not taken"}[min(e, NotTaken)] }

// Why is why a proposal was not taken.
type Why uint8

// The reasons. Their numbers are part of the state that all agents share.
const (
	NoReason   Why = iota
	OtherOpen      // another change is open
	OldBase        // made from a version that is not in force
	TooSoon        // the version in force has not taken hold yet
	FloorOpen      // the floor changes, and the former one may still be gone by
	Unfit          // too long, or its time makes no sense
	Refused        // an agent cannot use it
	TimeIsLost     // its time is so far off that a clock must have been wrong
)

// Outcome is what is known of a proposal.
type Outcome struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	End     End
	Version uint64 // its number, where it was ever open
	By      time.Duration
	Why     Why
	Other   uint64 // the version that stood in the way
	Who     int    // the agent that cannot use it
	Code    Code
	Text    string
}

// Reason tells staff why it was not taken.
func (o Outcome) Reason() string {
	switch o.Why {
	case OtherOpen:
		return fmt.Sprintf("another change, version %d, is open", o.Other)
	case OldBase:
		return fmt.Sprintf("version %d is in force, not the one that it was made from", o.Other)
	case TooSoon:
		return fmt.Sprintf("version %d has not taken hold yet", o.Other)
	case FloorOpen:
		return fmt.Sprintf("agents that are cut off may still go by the floor that version %d replaced", o.Other)
	case Unfit:
		return "too long, or its time makes no sense"
	case Refused:
		return fmt.Sprintf("agent %d cannot use it: %s", o.Who, o.Text)
	case TimeIsLost:
		return "its time is too far off: look at the clock of the machine that proposed it"
	}
	return ""
}

// State is what all records together have made. It is not to be changed.
type State struct {
	_        struct{} `cbor:",toarray"`
	Last     uint64   // the newest number given to a change
	Now      Version  // activated; it takes hold at its By
	Past     []Version
	Open     *Change
	Former   *Former
	Outcomes []Outcome // the newest last
}

const (
	maxPast     = 8
	maxPastSize = 2 * MaxDocument // bytes of documents in Past and Now; the last one in force is always kept
	maxOutcomes = 32
	maxFloor    = 64
	maxYes      = 32
)

// Machine makes the state out of records. It goes by the records alone, and never reads a document: agents of
// several builds have to come to the same state.
type Machine struct {
	st      State
	strange uint64
}

// NewMachine returns a Machine at version 0.
func NewMachine() *Machine {
	return &Machine{st: State{Now: Version{Floor: Beginning().encode()}}}
}

// State is the present one.
func (m *Machine) State() State { return m.st }

// Strange counts records that could not be read.
func (m *Machine) Strange() uint64 { return m.strange }

// Apply takes the next record. What does not fit the state changes nothing: it came too late, or twice.
func (m *Machine) Apply(_ uint64, data []byte) {
	var r record
	if decoding.Unmarshal(data, &r) != nil {
		m.strange++
		return
	}
	if r.Kind == proposed {
		m.propose(r)
		return
	}
	if r.Kind == settled && m.st.Former != nil && m.st.Former.Since == r.Version {
		m.st.Former = nil
	}
	if m.st.Open == nil || m.st.Open.Number != r.Version {
		return
	}
	switch r.Kind {
	case answered:
		m.answered(r.Who)
	case postponed:
		if open := *m.st.Open; r.By > open.By && r.By <= open.By+furthest {
			open.By = r.By
			m.st.Open = &open
		}
	case abandoned:
		o := m.outcome(m.st.Open.ID)
		o.End, o.Who, o.Code, o.Text, o.Why = NotTaken, r.Who, r.Code, clip(r.Text, maxText), Refused
		if r.Code == Yes {
			o.Why = TimeIsLost
		}
		m.st.Open = nil
	case activated:
		m.activate()
	}
}

func (m *Machine) answered(voter int) {
	open := *m.st.Open
	if i, is := slices.BinarySearch(open.Yes, voter); !is && len(open.Yes) < maxYes {
		open.Yes = slices.Insert(slices.Clone(open.Yes), i, voter)
		m.st.Open = &open
	}
}

// propose opens a change, or notes why not. One that is known by its name is passed over. One that is
// forgotten is never taken twice: what it was made from is not in force any more.
func (m *Machine) propose(r record) {
	if r.ID == "" || len(r.ID) > maxID || m.outcome(r.ID) != nil {
		return
	}
	o := Outcome{ID: r.ID, Who: r.Who}
	if o.Why, o.Other = m.hinders(r); o.Why != NoReason {
		o.End = NotTaken
	} else {
		m.st.Last++
		o.Version = m.st.Last
		m.st.Open = &Change{Base: r.Base, Version: Version{
			Number: m.st.Last, By: r.By, ID: r.ID, Who: r.Who,
			Document: r.Document, Floor: r.Floor,
		}}
	}
	all := m.st.Outcomes
	m.st.Outcomes = append(slices.Clone(all[max(len(all)-maxOutcomes+1, 0):]), o)
}

func (m *Machine) hinders(r record) (why Why, other uint64) {
	st := &m.st
	switch {
	case len(r.Document) == 0 || len(r.Document) > MaxDocument || len(r.Floor) > maxFloor || r.By < r.Now ||
		r.By > r.Now+furthest:
		return Unfit, 0
	case st.Open != nil:
		return OtherOpen, st.Open.Number
	case r.Base != st.Now.Number:
		return OldBase, st.Now.Number
	case r.Now < st.Now.By:
		return TooSoon, st.Now.Number
	case st.Former != nil && !bytes.Equal(r.Floor, st.Now.Floor):
		return FloorOpen, st.Former.Since
	}
	return NoReason, 0
}

// activate has the open change be the version in force.
func (m *Machine) activate() {
	st, v := &m.st, m.st.Open.Version
	if !bytes.Equal(v.Floor, st.Now.Floor) {
		st.Former = &Former{Floor: st.Now.Floor, Since: v.Number, SinceBy: v.By}
	}
	o := m.outcome(v.ID)
	o.End, o.By = Taken, v.By
	past, size := []Version{st.Now}, len(v.Document)+len(st.Now.Document)
	for _, p := range st.Past {
		if size += len(p.Document); size > maxPastSize || len(past) == maxPast {
			break
		}
		past = append(past, p)
	}
	st.Now, st.Past, st.Open = v, past, nil
}

// outcome is the entry of a proposal, made anew so that a State given out does not change; nil: none.
func (m *Machine) outcome(id string) *Outcome {
	i := slices.IndexFunc(m.st.Outcomes, func(o Outcome) bool { return o.ID == id })
	if i < 0 {
		return nil
	}
	m.st.Outcomes = slices.Clone(m.st.Outcomes)
	return &m.st.Outcomes[i]
}

// Outcome is what is known here of a proposal.
func (m *Machine) Outcome(id string) Outcome {
	for _, o := range m.st.Outcomes {
		if o.ID == id {
			return o
		}
	}
	return Outcome{ID: id}
}

// Document returns the document of a version that is kept; ok is false where it is not, or no longer.
func (m *Machine) Document(version uint64) (data []byte, ok bool) {
	for _, v := range append([]Version{m.st.Now}, m.st.Past...) {
		if v.Number == version {
			return v.Document, version > 0
		}
	}
	return nil, false
}

// Snapshot returns all of the state; the same records give the same bytes.
func (m *Machine) Snapshot() []byte { return marshal(m.st) }

// ErrSnapshot: it is none of this build's.
var ErrSnapshot = errors.New("policy: a snapshot that cannot be read")

// Restore goes on from a snapshot; none is version 0. With an error nothing has changed.
func (m *Machine) Restore(data []byte) error {
	if len(data) == 0 {
		m.st = NewMachine().st
		return nil
	}
	var st State
	if err := decoding.Unmarshal(data, &st); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if len(st.Past) > maxPast || len(st.Outcomes) > maxOutcomes || st.Now.Number > 0 && len(st.Past) == 0 {
		return ErrSnapshot
	}
	m.st = st
	return nil
}
