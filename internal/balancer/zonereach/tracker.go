package zonereach

import (
	"slices"
	"time"
)

const (
	unreachableAfter = 3                      // different servers in a row that did not respond
	probeInterval    = 500 * time.Millisecond // minimum time between two requests to an unreachable zone
	// maxZones is the maximum number of zones kept. When there are more, all are dropped at the cost of a few
	// attempts. The number needs a limit because each endpoint list may name other zones.
	maxZones = 64
)

// Tracker tracks the zones that one agent sends to. The zero value has no zones and is ready to use.
type Tracker struct {
	zones map[string]*zoneState
}

// zoneState is the state of one zone.
type zoneState struct {
	lastResponseAt    time.Duration // negative before the first response
	firstUnansweredAt time.Duration // start of the first of the unanswered attempts
	unansweredServers []string      // different servers in a row that did not respond
	lastAttemptAt     time.Duration
}

func (z *zoneState) isSilent() bool { return len(z.unansweredServers) >= unreachableAfter }

func (t *Tracker) state(zone string) *zoneState {
	if t.zones[zone] == nil {
		if t.zones == nil || len(t.zones) >= maxZones {
			t.zones = map[string]*zoneState{}
		}
		t.zones[zone] = &zoneState{lastResponseAt: -1}
	}
	return t.zones[zone]
}

// Answered records a response from a server of the zone.
func (t *Tracker) Answered(now time.Duration, zone string) {
	z := t.state(zone)
	z.lastResponseAt, z.unansweredServers = now, z.unansweredServers[:0]
}

// Unanswered records that an attempt sent at a time got no connection or no response.
func (t *Tracker) Unanswered(sentAt time.Duration, zone, server string) {
	z := t.state(zone)
	if z.lastResponseAt >= sentAt || z.isSilent() || slices.Contains(z.unansweredServers, server) {
		return
	}
	if len(z.unansweredServers) == 0 {
		z.firstUnansweredAt = sentAt
	}
	z.unansweredServers = append(z.unansweredServers, server)
}

// IsDoubtful reports whether an attempt at the zone was not answered, and nothing has been received since.
func (t *Tracker) IsDoubtful(zone string) bool {
	z := t.zones[zone]
	return z != nil && len(z.unansweredServers) > 0
}

// IsUnreachable reports whether the zone cannot be reached while another zone can.
func (t *Tracker) IsUnreachable(zone string) bool {
	z := t.zones[zone]
	if z == nil || !z.isSilent() {
		return false
	}
	for _, other := range t.zones {
		if !other.isSilent() && other.lastResponseAt >= z.firstUnansweredAt {
			return true
		}
	}
	return false
}

// IsProbeDue reports whether the next request may probe an unreachable zone.
func (t *Tracker) IsProbeDue(now time.Duration, zone string) bool {
	return now-t.state(zone).lastAttemptAt >= probeInterval
}

// RecordAttempt records the start of an attempt at a server of the zone.
func (t *Tracker) RecordAttempt(now time.Duration, zone string) { t.state(zone).lastAttemptAt = now }
