package policy

import (
	"bytes"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// A voter that has not acknowledged the answer is notified again every notifyRetryInterval, for notifyRetries
// notifications, and then every notifyInterval. The retries are frequent because a change waits until every
// voter has the answers of all agents to which it granted leases.
const (
	notifyRetryInterval = 40 * time.Millisecond
	notifyInterval      = 150 * time.Millisecond
	notifyRetries       = 12
)

// VotersToNotify returns the voters to which EncodedAnswer has to be sent now, in a separate message. While a
// change is open every voter is notified, because each may wait for the promise of an agent to which it
// granted a lease.
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

// NextNotification returns the time of the next call of VotersToNotify while a change is open, by the
// monotonic clock.
func (a *Agent) NextNotification() time.Duration { return a.notifyAt }

// Acknowledged records that a voter has received an answer: it acknowledged the message, or granted a lease
// for a request that carried the answer.
func (a *Agent) Acknowledged(voter int, answer []byte) {
	if bytes.Equal(answer, a.EncodedAnswer()) && !slices.Contains(a.acknowledgedBy, voter) {
		a.acknowledgedBy = append(a.acknowledgedBy, voter)
	}
}
