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
	// maxDisabled is the maximum number of disabled endpoints, including those that have left the list.
	maxDisabled = 1024
	// maxRememberedIDs is the maximum number of remembered ids of listed endpoints; the oldest are removed
	// first.
	maxRememberedIDs = 8192
)

// ErrTooManyDisabled means that the maximum number of endpoints is disabled.
var ErrTooManyDisabled = errors.New("too many endpoints are disabled")

// DisabledEndpoint is an endpoint that an operator has disabled, or has enabled again since. The keys of its
// encoding are stored and must not change.
type DisabledEndpoint struct {
	ID string `json:"id"`
	// StartedAt is the start time in the list when the endpoint was disabled, in Unix time; zero: long
	// ago, or it was not listed.
	StartedAt time.Duration `json:"started_ns"`
	// DisabledAt is when it was disabled, in Unix time.
	DisabledAt time.Duration `json:"set_ns,omitempty"`
	// EnabledAt is when it was enabled again, in Unix time; zero: it is disabled. It is used as the start
	// time until discovery reports a start time other than StartedAt.
	EnabledAt time.Duration `json:"lifted_ns,omitempty"`
}

// changedAt returns when an operator last disabled or enabled the endpoint.
func (e DisabledEndpoint) changedAt() time.Duration { return max(e.DisabledAt, e.EnabledAt) }

// isNewerThan reports whether e overrides another entry of the same endpoint: the later change does, and if
// both changed at the same time, the one that is disabled.
func (e DisabledEndpoint) isNewerThan(other DisabledEndpoint) bool {
	return e.changedAt() > other.changedAt() || e.changedAt() == other.changedAt() && e.EnabledAt == 0
}

// MergeDisabled merges the entries of two processes of one agent: the newer entry of each
// endpoint. The result is sorted by id and has at most maxDisabled entries: if there are more,
// those that are enabled are dropped, then those with the last ids.
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

// ApplyDisabled returns the list with the disabled endpoints draining, for an agent's initial list.
func (l *ListTracker) ApplyDisabled(known protocol.EndpointList) protocol.EndpointList {
	return l.overlayDisabled(known)
}

// Disable makes an endpoint drain until Enable, whatever state discovery reports. listed is false if no
// list has had the endpoint. It has no effect on an endpoint that is disabled. now is Unix time. The error
// is ErrTooManyDisabled.
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

// Enable enables a disabled endpoint again; listed is false if no list has had it. Its state is then the one
// that discovery reports. Unless discovery has reported a new start time since, now, in Unix time, is used as
// the start time: operators disable an endpoint to restart it, and discovery reports the start late.
func (l *ListTracker) Enable(id string, now time.Duration) (out []ListOutput, listed bool) {
	l.out = l.out[:0]
	if !l.isDisabled(id) {
		return nil, l.knownIDs[id]
	}
	e := l.disabled[id]
	e.EnabledAt = max(now, e.changedAt()+1) // later than the change before even if the clock was set back
	l.disabled[id] = e
	l.publishEndpoint(id)
	return l.out, true
}

// MergeDisabled applies what another process of this agent has disabled or enabled, up to the maximum number
// of disabled endpoints.
func (l *ListTracker) MergeDisabled(other []DisabledEndpoint) []ListOutput {
	l.out = l.out[:0]
	before := l.disabled
	l.disabled = make(map[string]DisabledEndpoint, len(before))
	for _, e := range MergeDisabled(slices.Collect(maps.Values(before)), other) {
		if e.StartedAt == 0 { // unknown to the sender, as in a command to a whole fleet
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

// startedAt returns the start time of an endpoint from before, or else from the list; zero: not known.
func (l *ListTracker) startedAt(id string, before map[string]DisabledEndpoint) time.Duration {
	if e, ok := before[id]; ok {
		return e.StartedAt
	}
	return l.entries[id].StartedAt
}

// Disabled returns the endpoints that are disabled, and those enabled again for which discovery has not
// reported a new start time, sorted by id.
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

// forgetEnabled deletes the entries of enabled endpoints, and reports whether there were any.
func (l *ListTracker) forgetEnabled() bool {
	before := len(l.disabled)
	maps.DeleteFunc(l.disabled, func(_ string, e DisabledEndpoint) bool { return e.EnabledAt > 0 })
	return len(l.disabled) < before
}

// publishEndpoint emits the present state of one endpoint.
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

// overlayDisabled returns the list with the operators' changes applied: a disabled endpoint is draining, and
// one that was enabled again has that time as its start time, unless discovery has reported a new one since.
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
