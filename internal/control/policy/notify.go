package policy

import (
	"bytes"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// A voter that has not acknowledged the answer is notified again after notifyRetryInterval, notifyRetries
// times, and then after notifyInterval: a change waits for the answer of the last agent at the last voter.
const (
	notifyRetryInterval = 40 * time.Millisecond
	notifyInterval      = 150 * time.Millisecond
	notifyRetries       = 12
)

// VotersToNotify returns the voters that are to be sent EncodedAnswer now, by a message of its own. While a
// change is open every voter is notified, as each may wait for a lease that it granted.
func (a *Agent) VotersToNotify(now lease.ClockReading, voters []int) (pending []int) {
	if a.state.OpenChange == nil || now.Mono < a.notifyAt {
		return nil
	}
	for _, v := range voters {
		if !slices.Contains(a.acknowledgedBy, v) {
			pending = append(pending, v)
		}
	}
	if a.notifications++; len(pending) > 0 && a.notifications <= notifyRetries {
		a.notifyAt = now.Mono + notifyRetryInterval
	} else {
		a.notifyAt = now.Mono + notifyInterval
	}
	return pending
}

// NextNotification is when VotersToNotify is due again while a change is open, by the monotonic clock.
func (a *Agent) NextNotification() time.Duration { return a.notifyAt }

// Acknowledged notes that a voter has an answer: it said so, or granted a lease for a request that carried
// it.
func (a *Agent) Acknowledged(voter int, answer []byte) {
	if bytes.Equal(answer, a.EncodedAnswer()) && !slices.Contains(a.acknowledgedBy, voter) {
		a.acknowledgedBy = append(a.acknowledgedBy, voter)
	}
}
