package routing

import (
	"errors"
	"maps"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

const (
	// maxDisabled is how many endpoints can be disabled at once, those that have left the list included.
	maxDisabled = 1024
	// maxRememberedIDs is how many ids that were once listed are remembered; the oldest are forgotten first.
	maxRememberedIDs = 8192
)

// ErrTooManyDisabled means that no further endpoint can be disabled.
var ErrTooManyDisabled = errors.New("too many booking servers are out by hand")

// DisabledEndpoint is an endpoint that an operator has disabled, or has enabled again since. The keys of its
// encoding are stored and must not change.
type DisabledEndpoint struct {
	ID string `json:"id"`
	// StartedAt is when it had started by the list of then, in Unix time; zero: long ago, or it was not listed.
	StartedAt time.Duration `json:"started_ns"`
	// DisabledAt is when it was disabled, in Unix time.
	DisabledAt time.Duration `json:"set_ns,omitempty"`
	// EnabledAt is when it was enabled again, in Unix time; zero: it is disabled. It stands for the start until
	// discovery reports another one than StartedAt.
	EnabledAt time.Duration `json:"lifted_ns,omitempty"`
}

// changedAt is when an operator last changed it.
func (e DisabledEndpoint) changedAt() time.Duration { return max(e.DisabledAt, e.EnabledAt) }

// isNewerThan reports whether it holds over another entry of the endpoint: the later change does, and being
// disabled where both changed at once.
func (e DisabledEndpoint) isNewerThan(other DisabledEndpoint) bool {
	return e.changedAt() > other.changedAt() || e.changedAt() == other.changedAt() && e.EnabledAt == 0
}

// MergeDisabled merges what two processes of one agent were told: of each endpoint the newer entry. They are
// sorted by id, and at most as many as a ListTracker holds, the disabled ones before those enabled again.
func MergeDisabled(one, other []DisabledEndpoint) []DisabledEndpoint {
	latest := map[string]DisabledEndpoint{}
	for _, e := range slices.Concat(one, other) {
		if known, ok := latest[e.ID]; !ok || e.isNewerThan(known) {
			latest[e.ID] = e
		}
	}
	if len(latest) > maxDisabled {
		maps.DeleteFunc(latest, func(_ string, e DisabledEndpoint) bool { return e.EnabledAt > 0 })
	}
	merged := make([]DisabledEndpoint, 0, len(latest))
	for _, id := range sorted(latest) {
		merged = append(merged, latest[id])
	}
	return merged[:min(len(merged), maxDisabled)]
}

// ApplyDisabled returns a list with the disabled endpoints draining, for the start.
func (l *ListTracker) ApplyDisabled(known protocol.EndpointList) protocol.EndpointList {
	return l.overlayDisabled(known)
}

// Disable has an endpoint drain until Enable, whatever discovery says of it; listed is false where no list
// ever had it. One that is disabled stays so. Now is Unix time. The error is ErrTooManyDisabled.
func (l *ListTracker) Disable(id string, now time.Duration) (out []ListOutput, listed bool, err error) {
	l.out = l.out[:0]
	switch {
	case !l.knownIDs[id]:
		return nil, false, nil
	case l.isDisabled(id):
		return nil, true, nil
	case len(l.disabled) >= maxDisabled && !l.forgetEnabled():
		return nil, true, ErrTooManyDisabled
	}
	l.disabled[id] = DisabledEndpoint{
		ID: id, StartedAt: l.entries[id].StartedAt, DisabledAt: max(now, l.disabled[id].changedAt()+1),
	}
	l.publishEndpoint(id)
	return l.out, true, nil
}

// Enable ends an endpoint's being disabled; listed is false where no list ever had it. What discovery has
// reported since counts. Where that is no further start, the endpoint counts as started now, in Unix time: it
// was disabled to be restarted, and discovery is late.
func (l *ListTracker) Enable(id string, now time.Duration) (out []ListOutput, listed bool) {
	l.out = l.out[:0]
	if !l.isDisabled(id) {
		return nil, l.knownIDs[id]
	}
	e := l.disabled[id]
	e.EnabledAt = max(now, e.changedAt()+1) // also after a clock was set back: the later change must look later
	l.disabled[id] = e
	l.publishEndpoint(id)
	return l.out, true
}

// MergeDisabled applies what another process of this agent has disabled or enabled, as far as the bound on
// disabled endpoints allows.
func (l *ListTracker) MergeDisabled(other []DisabledEndpoint) []ListOutput {
	l.out = l.out[:0]
	before := l.disabled
	l.disabled = make(map[string]DisabledEndpoint, len(before))
	for _, e := range MergeDisabled(slices.Collect(maps.Values(before)), other) {
		if e.StartedAt == 0 { // its sender did not know it, as in a command to a whole fleet
			e.StartedAt = l.startedAt(e.ID, before)
		}
		l.disabled[e.ID] = e
		l.rememberID(e.ID)
	}
	changed := maps.Clone(l.disabled)
	maps.Copy(changed, before)
	for _, id := range sorted(changed) {
		if l.disabled[id] != before[id] {
			l.publishEndpoint(id)
		}
	}
	return l.out
}

// startedAt is when an endpoint had started as it was disabled, as far as it was noted here.
func (l *ListTracker) startedAt(id string, before map[string]DisabledEndpoint) time.Duration {
	if e, ok := before[id]; ok {
		return e.StartedAt
	}
	return l.entries[id].StartedAt
}

// Disabled returns the endpoints that are disabled, and those enabled again of which discovery has reported
// no further start; by id.
func (l *ListTracker) Disabled() []DisabledEndpoint {
	all := make([]DisabledEndpoint, 0, len(l.disabled))
	for _, id := range sorted(l.disabled) {
		all = append(all, l.disabled[id])
	}
	return all
}

// isDisabled reports whether an endpoint is disabled now.
func (l *ListTracker) isDisabled(id string) bool {
	e, ok := l.disabled[id]
	return ok && e.EnabledAt == 0
}

// forgetEnabled drops the entries of enabled endpoints, and reports whether there were any.
func (l *ListTracker) forgetEnabled() bool {
	before := len(l.disabled)
	maps.DeleteFunc(l.disabled, func(_ string, e DisabledEndpoint) bool { return e.EnabledAt > 0 })
	return len(l.disabled) < before
}

// publishEndpoint passes on what holds of one endpoint now.
func (l *ListTracker) publishEndpoint(id string) {
	e, listed := l.entries[id]
	if !listed {
		return
	}
	list := l.overlayDisabled(protocol.EndpointList{Version: l.version, Endpoints: []protocol.Endpoint{e}})
	l.emit(ListOutput{
		Kind: ListUpdate, Update: balancer.UpdateIncremental, List: list, Watch: balancer.WatchStatus{Local: true},
	})
}

// overlayDisabled returns what holds of a list: a disabled endpoint is draining, and one that was enabled
// again has started then, unless discovery reports a start since it was disabled.
func (l *ListTracker) overlayDisabled(list protocol.EndpointList) protocol.EndpointList {
	if len(l.disabled) == 0 {
		return list
	}
	list.Endpoints = slices.Clone(list.Endpoints)
	for i := range list.Endpoints {
		e := &list.Endpoints[i]
		d, ok := l.disabled[e.ID]
		switch {
		case !ok || e.State != balancer.Ready:
		case d.EnabledAt == 0:
			e.State = balancer.Draining
		case e.StartedAt == d.StartedAt:
			e.StartedAt = d.EnabledAt
		}
	}
	return list
}
