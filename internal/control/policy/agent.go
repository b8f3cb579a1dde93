package policy

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Mode is what an agent goes by.
type Mode uint8

const (
	// ModeBottom: what no version can forbid. It has never held a lease, or not for so long that no floor that it
	// knows is sure to be one still.
	ModeBottom Mode = iota
	// ModeFloor: the floor of a version.
	ModeFloor
	// ModeFull: a version.
	ModeFull
)

func (h Mode) String() string { return [...]string{"bottom", "floor", "full"}[min(h, ModeFull)] }

// Active is how one decision is to be made.
type Active struct {
	Mode    Mode
	Version uint64  // acted on, or whose floor it is
	Effect  *Effect // the same one as long as nothing changes
}

// Agent is what each agent has: its answers, and how it may act.
type Agent struct {
	local   LocalSettings
	times   Times
	state   State
	recent  []resolvedVersion // of InForce and the version before it
	checked resolvedVersion   // of the change that was last answered
	bottom  *Effect

	lastAnswer      Answer
	acknowledgedBy  []int // voters that have heard the present note
	notifyAt        time.Duration
	notifications   int    // how often the present note was told
	newestEffective uint64 // the newest version whose time has come; it does not go again if the clock is set back
	hadLease        bool   // it has held a lease
	lastLeased      lease.ClockReading
}

// meaning is what a version is with the agent's own settings.
type resolvedVersion struct {
	version Version
	effect  *Effect // nil: it cannot be used here
	floor   *Effect // nil: it cannot be read
}

// NewAgent returns an Agent that knows nothing yet. A log that began anew needs a new one, as of Voter and
// Proposer: its versions begin anew.
func NewAgent(own LocalSettings, times Times) *Agent {
	a := &Agent{times: times.WithDefaults()}
	a.SetLocalSettings(own)
	return a
}

// SetLocalSettings takes other settings of its own.
func (a *Agent) SetLocalSettings(own LocalSettings) {
	a.local, a.bottom, a.recent, a.checked = own, lowestFloor().Effect(own), nil, resolvedVersion{}
	a.Learn(&StateMachine{state: a.state})
}

// Learn takes what the log says now: after records were applied, and after a snapshot. A change that is open
// is checked, once.
func (a *Agent) Learn(m *StateMachine) {
	a.state = m.State()
	var known []resolvedVersion
	for i, v := range append([]Version{a.state.InForce}, a.state.Past...) {
		if i < 2 {
			known = append(known, a.resolve(v))
		}
	}
	a.recent = known
	if open := a.state.OpenChange; open != nil && open.Number != a.lastAnswer.Version {
		a.lastAnswer, a.acknowledgedBy, a.notifyAt, a.notifications = a.checkChange(open), nil, 0, 0
	}
}

func (a *Agent) resolve(v Version) resolvedVersion {
	for _, k := range append([]resolvedVersion{a.checked}, a.recent...) {
		if k.floor != nil && k.version.Number == v.Number && bytes.Equal(k.version.Document, v.Document) {
			k.version = v
			return k
		}
	}
	m, d := resolvedVersion{version: v, effect: a.local.unrestricted()}, (*Document)(nil)
	if v.Number > 0 {
		d, m.effect, _ = checkDocument(v.Document, a.local, nil)
	}
	if f, ok := decodeFloor(v.Floor); ok {
		m.floor = f.withDocument(d, a.local)
	}
	return m
}

// answer is the agent's to a change.
func (a *Agent) checkChange(open *Change) Answer {
	n := Answer{Version: open.Number}
	a.checked = resolvedVersion{version: open.Version}
	d, e, err := a.checkOpenDocument(open)
	if err == nil {
		a.checked.effect, a.checked.floor = e, d.file.Floor.withDocument(d, a.local)
		return n
	}
	n.Code, n.Text = UnreadableDocument, err.Error()
	if r := (Rejection{}); errors.As(err, &r) {
		n.Code, n.Text = r.Code, r.Text
	}
	return n
}

func (a *Agent) checkOpenDocument(open *Change) (*Document, *Effect, error) {
	var floors []Floor
	for _, data := range a.Floors() {
		f, ok := decodeFloor(data)
		if !ok {
			return nil, nil, Rejection{UnreadableDocument, "the floor in force is of a later build"}
		}
		floors = append(floors, f)
	}
	d, e, err := checkDocument(open.Document, a.local, floors)
	if err == nil && !bytes.Equal(d.file.Floor.encode(), open.Floor) {
		err = Rejection{FloorMismatch, "the floor told is not the document's"}
	}
	return d, e, err
}

// Floors are those that a document has to allow now.
func (a *Agent) Floors() [][]byte {
	floors := [][]byte{a.state.InForce.Floor}
	if a.state.FormerFloor != nil {
		floors = append(floors, a.state.FormerFloor.Floor)
	}
	return floors
}

// IsUsable tells whether the version in force can be used with the agent's settings; else it acts within the
// floor, which is to be told to staff.
func (a *Agent) IsUsable() bool { return a.recent[0].effect != nil }

// EncodedAnswer goes with each request for a lease.
func (a *Agent) EncodedAnswer() []byte { return a.lastAnswer.Encode() }

// A voter that has not said that it heard is told again after notifyRetryInterval, so many times, and then after
// notifyInterval: a change waits for the last agent's word at the last voter.
const (
	notifyRetryInterval = 40 * time.Millisecond
	notifyInterval      = 150 * time.Millisecond
	notifyRetries       = 12
)

// VotersToNotify returns the voters that are to be told the EncodedAnswer now, by a message of its own: while a change is open
// each voter is told, as each may still wait for a lease that it granted.
func (a *Agent) VotersToNotify(now lease.ClockReading, voters []int) (ask []int) {
	if a.state.OpenChange == nil || now.Mono < a.notifyAt {
		return nil
	}
	for _, v := range voters {
		if !slices.Contains(a.acknowledgedBy, v) {
			ask = append(ask, v)
		}
	}
	if a.notifications++; len(ask) > 0 && a.notifications <= notifyRetries {
		a.notifyAt = now.Mono + notifyRetryInterval
	} else {
		a.notifyAt = now.Mono + notifyInterval
	}
	return ask
}

// NextNotification is when VotersToNotify is due again while a change is open, by the steady clock.
func (a *Agent) NextNotification() time.Duration { return a.notifyAt }

// Acknowledged takes that a voter has heard a note: it says so, or has granted a lease for a request that carried it.
func (a *Agent) Acknowledged(voter int, note []byte) {
	if bytes.Equal(note, a.EncodedAnswer()) && !slices.Contains(a.acknowledgedBy, voter) {
		a.acknowledgedBy = append(a.acknowledgedBy, voter)
	}
}

// Active tells how a decision is to be made. InForce is read for this decision, and the standing by it.
func (a *Agent) Active(now lease.ClockReading, standing lease.Standing) Active {
	switch {
	case standing == lease.New:
		return Active{Effect: a.bottom}
	case standing == lease.Full:
		a.hadLease, a.lastLeased = true, now
	case !a.hadLease || now.Since(a.lastLeased) >= a.times.FloorValidity:
		return Active{Effect: a.bottom}
	}
	k := a.effectiveVersion(now)
	if standing == lease.Full && k.effect != nil && !a.isBoundByPromise(now) {
		return Active{Mode: ModeFull, Version: k.version.Number, Effect: k.effect}
	}
	if k.floor == nil {
		return Active{Effect: a.bottom}
	}
	return Active{Mode: ModeFloor, Version: k.version.Number, Effect: k.floor}
}

// current is the newest version whose time has come.
func (a *Agent) effectiveVersion(now lease.ClockReading) resolvedVersion {
	newest := a.recent[0]
	if n := newest.version.Number; n > a.newestEffective && now.Unix >= newest.version.EffectiveAt {
		a.newestEffective = n
	}
	if newest.version.Number > a.newestEffective && len(a.recent) > 1 {
		return a.recent[1]
	}
	return newest
}

// bound tells whether the agent's promise keeps it from acting on the version in force.
func (a *Agent) isBoundByPromise(now lease.ClockReading) bool {
	open := a.state.OpenChange
	return open != nil && a.lastAnswer.Version == open.Number && a.lastAnswer.Code == Accepted && now.Unix >= open.EffectiveAt
}
