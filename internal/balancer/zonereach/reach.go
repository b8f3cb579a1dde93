// Package zonereach tells which zones one balancer does not reach, while it reaches others: the network between
// them is cut, or the whole zone is gone.
//
// What a balancer knows of single servers comes too late there: one of many that each send little meets a
// server once in seconds, so that it would find out a cut zone server by server, each at the price of a
// request that waits for a connection in vain. Here ends of attempts are counted by zone: a few unheard ones
// at different servers in a row, with nothing heard from the zone since they were sent, while another zone
// answers, and the zone is cut. It is tried again now and then, and whatever is heard from it ends that.
//
// It does no input or output, and knows no clock: every call brings the time. The same calls give the same
// answers. Tracker is not safe for concurrent use.
package zonereach

import (
	"slices"
	"time"
)

const (
	// enough unheard servers in a row: where one attempt in ten is unheard everywhere, chance brings them once
	// in a thousand.
	unreachableAfter = 3
	// trialInterval is how often a zone that is cut is tried.
	trialInterval = 500 * time.Millisecond
	// most zones known at a time: beyond that all are forgotten, which costs a few attempts. Guards against
	// lists whose zones are never the same.
	maxZones = 64
)

// Tracker are those that one balancer sends to. The zero value knows none and is ready.
type Tracker struct {
	zones map[string]*zoneState
}

type zoneState struct {
	lastResponseAt    time.Duration
	firstUnansweredAt time.Duration // the first of those unheard was sent
	unansweredServers []string      // servers that were not heard, in a row
	lastTrialAt       time.Duration
}

func (z *Tracker) state(name string) *zoneState {
	if z.zones[name] == nil {
		if z.zones == nil || len(z.zones) >= maxZones {
			z.zones = map[string]*zoneState{}
		}
		z.zones[name] = &zoneState{lastResponseAt: -1}
	}
	return z.zones[name]
}

// Answered takes in that a server of the zone answered.
func (z *Tracker) Answered(now time.Duration, name string) {
	at := z.state(name)
	at.lastResponseAt, at.unansweredServers = now, at.unansweredServers[:0]
}

// Unanswered takes in that an attempt that was sent at a time got no connection, or no answer.
func (z *Tracker) Unanswered(sent time.Duration, name, server string) {
	at := z.state(name)
	if at.lastResponseAt >= sent || len(at.unansweredServers) >= unreachableAfter || slices.Contains(at.unansweredServers, server) {
		return
	}
	if len(at.unansweredServers) == 0 {
		at.firstUnansweredAt = sent
	}
	at.unansweredServers = append(at.unansweredServers, server)
}

// IsDoubtful tells whether the last that is known of the zone is an attempt that was not heard.
func (z *Tracker) IsDoubtful(name string) bool {
	at := z.zones[name]
	return at != nil && len(at.unansweredServers) > 0
}

// IsUnreachable tells whether the zone is not reached while another one is.
func (z *Tracker) IsUnreachable(name string) bool {
	at := z.zones[name]
	if at == nil || len(at.unansweredServers) < unreachableAfter {
		return false
	}
	for _, other := range z.zones {
		if len(other.unansweredServers) < unreachableAfter && other.lastResponseAt >= at.firstUnansweredAt {
			return true
		}
	}
	return false
}

// IsTrialDue tells whether a zone that is cut is to be tried.
func (z *Tracker) IsTrialDue(now time.Duration, name string) bool {
	return now-z.state(name).lastTrialAt >= trialInterval
}

// RecordTrial takes in that something was sent to the zone.
func (z *Tracker) RecordTrial(now time.Duration, name string) { z.state(name).lastTrialAt = now }
