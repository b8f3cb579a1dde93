package policy

import (
	"bytes"
	"errors"
	"time"

	"dunestep/internal/fleet/lease"
)

// Agent is the part of every agent, voter or not: it checks changes and answers them, and says by which
// policy the agent may act at a moment.
type Agent struct {
	local  LocalSettings
	times  Times
	state  State
	recent []resolvedVersion // the version in force and the one before it
	// checked is the change that was answered last, so that it is not evaluated again once it is in force.
	checked resolvedVersion
	bottom  *Effect // of the lowest floor

	lastAnswer     Answer
	acknowledgedBy []int         // voters that have acknowledged lastAnswer
	notifyAt       time.Duration // when voters are to be notified next, by the monotonic clock
	notifications  int           // how often voters were notified of lastAnswer
	// newestEffective is the newest version whose time has come. It stays so where the clock is set back.
	newestEffective uint64
	hadLease        bool
	lastLeased      lease.ClockReading // valid if hadLease
}

// resolvedVersion is a version with what it means for this agent.
type resolvedVersion struct {
	version Version
	effect  *Effect // nil: it cannot be used with the local settings
	floor   *Effect // nil: this build cannot read its floor
}

// NewAgent returns an Agent at version 0. A log that is started anew needs a new Agent, as it needs a new
// Voter and Proposer: its versions are numbered from the start.
func NewAgent(own LocalSettings, times Times) *Agent {
	a := &Agent{times: times.WithDefaults()}
	a.SetLocalSettings(own)
	return a
}

// SetLocalSettings replaces the settings that documents are checked against. An answer that was given stays.
func (a *Agent) SetLocalSettings(own LocalSettings) {
	a.local, a.bottom, a.recent, a.checked = own, lowestFloor().Effect(own), nil, resolvedVersion{}
	a.Learn(&StateMachine{state: a.state})
}

// Learn takes the present state. It is called after records or a snapshot were applied. An open change is
// checked and answered once.
func (a *Agent) Learn(m *StateMachine) {
	a.state = m.State()
	recent := []resolvedVersion{a.resolve(a.state.InForce)}
	if len(a.state.Past) > 0 {
		recent = append(recent, a.resolve(a.state.Past[0]))
	}
	a.recent = recent
	if open := a.state.OpenChange; open != nil && open.Number != a.lastAnswer.Version {
		a.lastAnswer, a.acknowledgedBy, a.notifyAt, a.notifications = a.checkChange(open), nil, 0, 0
	}
}

// resolve returns the earlier evaluation of a version where there is one, so that its effects stay the same
// pointers.
func (a *Agent) resolve(v Version) resolvedVersion {
	for _, known := range append([]resolvedVersion{a.checked}, a.recent...) {
		if known.floor != nil && known.version.Number == v.Number &&
			bytes.Equal(known.version.Document, v.Document) {
			known.version = v
			return known
		}
	}
	resolved, document := resolvedVersion{version: v, effect: a.local.unrestricted()}, (*Document)(nil)
	if v.Number > 0 {
		// Where the document is rejected there is no effect: IsUsable tells.
		document, resolved.effect, _ = checkDocument(v.Document, a.local, nil)
	}
	if floor, ok := decodeFloor(v.Floor); ok {
		resolved.floor = floor.withDocument(document, a.local)
	}
	return resolved
}

// checkChange is the agent's answer to a change.
func (a *Agent) checkChange(open *Change) Answer {
	answer := Answer{Version: open.Number}
	a.checked = resolvedVersion{version: open.Version}
	document, effect, err := a.checkOpenDocument(open)
	if err == nil {
		a.checked.effect, a.checked.floor = effect, document.file.Floor.withDocument(document, a.local)
		return answer
	}
	answer.Code, answer.Text = UnreadableDocument, err.Error()
	if r := (Rejection{}); errors.As(err, &r) {
		answer.Code, answer.Text = r.Code, r.Text
	}
	return answer
}

func (a *Agent) checkOpenDocument(open *Change) (*Document, *Effect, error) {
	var floors []Floor
	for _, data := range a.Floors() {
		floor, ok := decodeFloor(data)
		if !ok {
			return nil, nil, Rejection{UnreadableDocument, "the floor in force is of a later build"}
		}
		floors = append(floors, floor)
	}
	document, effect, err := checkDocument(open.Document, a.local, floors)
	if err == nil && !bytes.Equal(document.file.Floor.encode(), open.Floor) {
		err = Rejection{FloorMismatch, "the floor in the record is not the document's"}
	}
	return document, effect, err
}

// Floors are the encoded floors that a document has to allow now: the one in force, and a former one that may
// still be in use.
func (a *Agent) Floors() [][]byte {
	floors := [][]byte{a.state.InForce.Floor}
	if a.state.FormerFloor != nil {
		floors = append(floors, a.state.FormerFloor.Floor)
	}
	return floors
}

// IsUsable tells whether the version in force can be used with the local settings. If not, the agent acts
// within its floor, which operators are to be told of.
func (a *Agent) IsUsable() bool { return a.recent[0].effect != nil }

// EncodedAnswer is the last answer. It goes with each request for a lease.
func (a *Agent) EncodedAnswer() []byte { return a.lastAnswer.Encode() }
