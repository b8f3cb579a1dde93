package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/metrics"
	"dunestep/internal/routing"
)

// unwatchedAlertAfter is the time without a watch after which a warning is logged: by then, changes that were
// not received count as known.
const unwatchedAlertAfter = 6 * time.Second

// callReason is why a call to discovery was started.
type callReason string

// The reasons of calls, as they are logged.
const (
	scheduledCall    callReason = "scheduled"
	callAtNewAddress callReason = "address changed"
	completeListCall callReason = "complete list"
	noCallStarted    callReason = "" // for messages that start no call
)

// watchLog logs the calls to discovery and keeps the metrics of the watch. It is accessed only by the list's
// actor.
type watchLog struct {
	metrics     *metrics.Counters
	unwatched   *time.Timer // puts a message unless a watch is accepted in time
	calls       map[int]*loggedCall
	address     netip.AddrPort // of the latest watch
	acceptedFor int            // watches that are accepted now
}

// loggedCall is a call under way.
type loggedCall struct {
	routing.ListOutput
	startedAt  time.Time
	acceptedAt time.Time // zero: not accepted yet
	receivedAt time.Time // zero: no list and no empty line yet
}

// newWatchLog returns a watchLog without calls. onUnwatched is called once no watch has been accepted for
// unwatchedAlertAfter.
func newWatchLog(m *metrics.Counters, addr netip.AddrPort, onUnwatched func()) *watchLog {
	l := &watchLog{metrics: m, address: addr, calls: map[int]*loggedCall{}}
	l.unwatched = time.AfterFunc(unwatchedAlertAfter, onUnwatched)
	l.updateMetrics()
	return l
}

// callStarted records the start of a call.
func (l *watchLog) callStarted(o routing.ListOutput, reason callReason) {
	l.calls[o.Call] = &loggedCall{ListOutput: o, startedAt: time.Now()}
	if o.Request.Watch {
		l.address = o.Addr
	}
	slog.Info("discovery call started", "call", o.Call, "address", o.Addr, "watch", o.Request.Watch, "from",
		o.Request.FromVersion, "reason", reason)
	l.updateMetrics()
}

// callAccepted records that discovery has accepted a call.
func (l *watchLog) callAccepted(number int) {
	call := l.calls[number]
	if call == nil {
		return
	}
	call.acceptedAt = time.Now()
	if call.Request.Watch {
		l.acceptedFor++
		l.unwatched.Stop()
	}
	slog.Info("discovery call accepted", "call", number, "address", call.Addr, "after",
		call.acceptedAt.Sub(call.startedAt))
	l.updateMetrics()
}

// received records that a call has received a list or an empty line.
func (l *watchLog) received(number int) {
	if call := l.calls[number]; call != nil {
		call.receivedAt = time.Now()
		l.updateMetrics()
	}
}

// callEnded records the end of a call. One that the agent itself ended is not a failure.
func (l *watchLog) callEnded(number int, err error) {
	call := l.calls[number]
	if call == nil {
		return
	}
	delete(l.calls, number)
	wasAccepted := !call.acceptedAt.IsZero()
	if wasAccepted && call.Request.Watch {
		if l.acceptedFor--; l.acceptedFor == 0 {
			l.unwatched.Reset(unwatchedAlertAfter)
		}
	}
	attributes := []any{
		"call", number, "address", call.Addr, "accepted", wasAccepted, "lasted", time.Since(call.startedAt),
	}
	if !call.receivedAt.IsZero() {
		attributes = append(attributes, "silent_for", time.Since(call.receivedAt))
	}
	switch {
	case err == nil:
	case errors.Is(err, context.Canceled):
		slog.Info("discovery call replaced", attributes...)
	default:
		slog.Warn("discovery call ended", append(attributes, "error", err)...)
	}
	l.updateMetrics()
}

// warnUnwatched logs that the list is not watched, unless a watch was accepted meanwhile. It repeats itself.
func (l *watchLog) warnUnwatched() {
	if l.acceptedFor > 0 {
		return
	}
	slog.Warn("no watch of the endpoint list", "for_at_least", unwatchedAlertAfter, "address", l.address,
		"calls_under_way", len(l.calls))
	l.unwatched.Reset(unwatchedAlertAfter)
}

// updateMetrics updates the metrics of the watch.
func (l *watchLog) updateMetrics() {
	m := metrics.Discovery{Address: l.address, Watches: l.acceptedFor, CallsUnderWay: len(l.calls)}
	for _, call := range l.calls {
		if call.receivedAt.After(m.ReceivedAt) {
			m.ReceivedAt = call.receivedAt
		}
	}
	l.metrics.SetDiscovery(m)
}

// logPlannedCall logs when discovery is called again after a call has ended.
func (a *Agent) logPlannedCall(u listUpdate) {
	if u.kind != balancer.UpdateFailed {
		return
	}
	if in, isPlanned := a.balancer.NextDiscoveryCall(); isPlanned {
		slog.Info("discovery call planned", "in", in)
	}
}
