package policy

import (
	"bytes"
	"errors"
	"time"

	"dunestep/internal/fleet/lease"
)

// Agent is the part of the protocol that runs in every agent, voter or not: it checks and answers changes,
// and determines which policy the agent may act on at a given moment.
type Agent struct {
	local  LocalSettings
	times  Times
	state  State
	recent []resolvedVersion // the version in force and the one before it
	// checked is the change that was last answered, kept so that it is not evaluated again once it is in force.
	checked resolvedVersion
	bottom  *Effect // the effect of the lowest floor

	lastAnswer     Answer
	acknowledgedBy []int         // voters that have acknowledged lastAnswer
	notifyAt       time.Duration // when voters are next notified, by the monotonic clock
	notifications  int           // number of times that voters were notified of lastAnswer
	// newestEffective is the newest version that has taken effect. It does not fall when the clock is set back.
	newestEffective uint64
	hadLease        bool
	lastLeased      lease.ClockReading // valid if hadLease
}

// resolvedVersion is a version with its effects for this agent.
type resolvedVersion struct {
	version Version
	effect  *Effect // nil if the version cannot be used with the local settings
	floor   *Effect // nil if this build cannot read its floor
}

// NewAgent returns an Agent at version 0. A new log needs a new Agent, Voter and Proposer, because its
// versions are numbered from the start again.
func NewAgent(local LocalSettings, times Times) *Agent {
	a := &Agent{times: times.WithDefaults()}
	a.SetLocalSettings(local)
	return a
}

// SetLocalSettings replaces the settings that documents are checked against. It does not change an answer
// that was already given.
func (a *Agent) SetLocalSettings(local LocalSettings) {
	a.local, a.bottom, a.recent, a.checked = local, lowestFloor().Effect(local), nil, resolvedVersion{}
	a.Learn(&StateMachine{state: a.state})
}

// Learn updates the agent with the current agreed state. The caller calls it after records or a snapshot were
// applied. An open change is checked and answered once.
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

// resolve evaluates a version with the local settings. It reuses an earlier evaluation of the version, so
// that the pointers to its effects stay the same.
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
		// The effect is nil if the document is rejected; IsUsable reports that.
		document, resolved.effect, _ = checkDocument(v.Document, a.local, nil)
	}
	if floor, ok := decodeFloor(v.Floor); ok {
		resolved.floor = floor.withDocument(document, a.local)
	}
	return resolved
}

// checkChange evaluates a change with the local settings and returns the agent's answer.
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
			return nil, nil, Rejection{UnreadableDocument, "the floor in force is from a later build"}
		}
		floors = append(floors, floor)
	}
	document, effect, err := checkDocument(open.Document, a.local, floors)
	if err == nil && !bytes.Equal(document.file.Floor.encode(), open.Floor) {
		err = Rejection{FloorMismatch, "the floor in the record is not the document's"}
	}
	return document, effect, err
}

// Floors returns the encoded floors that a document has to allow now: the one in force, and a former one that
// may still be in use.
func (a *Agent) Floors() [][]byte {
	floors := [][]byte{a.state.InForce.Floor}
	if a.state.FormerFloor != nil {
		floors = append(floors, a.state.FormerFloor.Floor)
	}
	return floors
}

// IsUsable reports whether the version in force can be used with the local settings. If not, the agent acts
// within that version's floor, and the caller should report it to operators.
func (a *Agent) IsUsable() bool { return a.recent[0].effect != nil }

// EncodedAnswer returns the encoded form of the last answer, which each lease request carries.
func (a *Agent) EncodedAnswer() []byte { return a.lastAnswer.Encode() }
