package zonereach

import (
	"slices"
	"time"
)

const (
	unreachableAfter = 3 // different servers without a sign of life, in a row
	trialInterval    = 500 * time.Millisecond
	// maxZones is how many zones are kept. Beyond it all are dropped, at the price of a few attempts: lists may
	// name other zones each time.
	maxZones = 64
)

// Tracker tracks the zones that one agent sends to. The zero value knows none and is ready to use.
type Tracker struct {
	zones map[string]*zoneState
}

// zoneState is what is known of one zone.
type zoneState struct {
	lastResponseAt    time.Duration // negative: none yet
	firstUnansweredAt time.Duration // when the first of the unanswered attempts was sent
	unansweredServers []string      // different ones, in a row
	lastTrialAt       time.Duration
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

// Answered takes in that a server of the zone gave a sign of life.
func (t *Tracker) Answered(now time.Duration, zone string) {
	z := t.state(zone)
	z.lastResponseAt, z.unansweredServers = now, z.unansweredServers[:0]
}

// Unanswered takes in that an attempt, sent at that time, got no connection or no response.
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

// IsDoubtful reports whether the last that is known of the zone is an attempt without a sign of life.
func (t *Tracker) IsDoubtful(zone string) bool {
	z := t.zones[zone]
	return z != nil && len(z.unansweredServers) > 0
}

// IsUnreachable reports whether the zone cannot be reached while another one can.
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

// IsTrialDue reports whether an unreachable zone is to be tried.
func (t *Tracker) IsTrialDue(now time.Duration, zone string) bool {
	return now-t.state(zone).lastTrialAt >= trialInterval
}

// RecordTrial takes in that something was sent to the zone.
func (t *Tracker) RecordTrial(now time.Duration, zone string) { t.state(zone).lastTrialAt = now }
