package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// confirmAfterSilence is how long after discovery has accepted a watch its silence confirms the list that is
// known: a newer one comes at once.
const confirmAfterSilence = 200 * time.Millisecond

// listUpdate tells the agent's actor of the endpoint list.
type listUpdate struct {
	kind          balancer.UpdateKind
	list          protocol.EndpointList // with disabled endpoints as draining
	discoveryList protocol.EndpointList // the same as discovery has it
	watch         balancer.WatchStatus
	confirmation  routing.Confirmation
}

// listActor is the actor of the endpoint list: it makes the calls to discovery, each in a goroutine of its
// own that ends with the call.
type listActor struct {
	mail    *mailbox[any]
	tracker *routing.ListTracker
	calls   map[int]context.CancelFunc // those that have not ended, by number
	report  func(listUpdate)
	clock   clock
	metrics *metrics.Counters
}

// The messages of the list's actor.
type (
	watchList      struct{}
	discoveryMoved struct{ addr netip.AddrPort }
	fetchList      struct{}
	callAccepted   struct{ call int }
	// callIdle: the call has brought nothing for a time since it was accepted.
	callIdle     struct{ call int }
	callReceived struct {
		call int
		list protocol.EndpointList
	}
	callEnded struct {
		call int
		err  error
	}
	setDisabled struct {
		id     string
		enable bool
		reply  chan<- disableResult
	}
	mergeDisabled struct{ disabled []routing.DisabledEndpoint }
	listedQuery   struct {
		id    string
		reply chan<- bool
	}
	endpointsQuery struct{ reply chan<- []balancer.Server }
)

// disableResult is what came of a change, with all that are disabled then, or were lately.
type disableResult struct {
	listed   bool
	err      error
	disabled []routing.DisabledEndpoint
}

// startList starts the actor, and reports the initial list at once.
func startList(
	addr netip.AddrPort,
	initial protocol.EndpointList,
	disabled []routing.DisabledEndpoint,
	clock clock,
	m *metrics.Counters,
	report func(listUpdate),
) *listActor {
	l := &listActor{
		mail: newMailbox[any](), tracker: routing.NewListTracker(addr, initial, disabled),
		calls: map[int]context.CancelFunc{}, report: report, clock: clock, metrics: m,
	}
	l.report(
		listUpdate{kind: balancer.UpdateCached, list: l.tracker.ApplyDisabled(initial), discoveryList: initial},
	)
	l.reportSize()
	go l.mail.receive(l.handle)
	return l
}

// handle handles one message. It never ends the actor.
func (l *listActor) handle(m any) bool {
	switch m := m.(type) {
	case watchList:
		l.carryOut(l.tracker.Watch())
	case discoveryMoved:
		l.carryOut(l.tracker.SetAddress(m.addr))
	case fetchList:
		l.carryOut(l.tracker.Fetch())
	case callAccepted:
		l.carryOut(l.tracker.CallAccepted(m.call))
	case callIdle:
		l.carryOut(l.tracker.CallIdle(m.call))
	case callReceived:
		l.carryOut(l.tracker.CallReceived(m.call, m.list))
	case callEnded:
		delete(l.calls, m.call)
		l.carryOut(l.tracker.CallEnded(m.call, m.err))
	case setDisabled:
		m.reply <- l.setDisabled(m)
	case listedQuery:
		m.reply <- l.tracker.WasListed(m.id)
	case endpointsQuery:
		m.reply <- l.tracker.Endpoints()
	case mergeDisabled:
		l.carryOut(l.tracker.MergeDisabled(m.disabled))
	}
	l.reportSize()
	return true
}

// setDisabled disables or enables an endpoint.
func (l *listActor) setDisabled(m setDisabled) (r disableResult) {
	var out []routing.ListOutput
	if m.enable {
		out, r.listed = l.tracker.Enable(m.id, l.clock.now())
	} else {
		out, r.listed, r.err = l.tracker.Disable(m.id, l.clock.now())
	}
	l.carryOut(out)
	r.disabled = l.tracker.Disabled()
	return r
}

// reportSize tells the metrics how many endpoints are listed, and how many of them are disabled.
func (l *listActor) reportSize() {
	listed, disabled := l.tracker.Size()
	l.metrics.SetEndpoints(metrics.Endpoints{Listed: listed, Banned: disabled})
}

// carryOut carries out what the tracker asks for, in order.
func (l *listActor) carryOut(out []routing.ListOutput) {
	for _, o := range out {
		switch o.Kind {
		case routing.StartCall:
			ctx, cancel := context.WithCancel(context.Background())
			l.calls[o.Call] = cancel
			go l.call(ctx, o)
		case routing.EndCall:
			if cancel := l.calls[o.Call]; cancel != nil {
				cancel() // callEnded follows
			}
		case routing.ListUpdate:
			l.report(listUpdate{
				kind: o.Update, list: o.List, discoveryList: o.DiscoveryList, watch: o.Watch,
				confirmation: routing.Confirmation(o.Confirms),
			})
		case routing.ListOutOfOrder:
			slog.Warn("endpoint list update out of order, fetching the full list", "version", o.Version,
				"known", o.KnownVersion)
		case routing.CallFailed:
			slog.Warn("discovery call ended", "error", o.Err)
		}
	}
}

// call makes a call to discovery. It runs in a goroutine of its own, and puts callEnded as its last.
func (l *listActor) call(ctx context.Context, o routing.ListOutput) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	accepted := func() {
		l.mail.put(callAccepted{o.Call})
		time.AfterFunc(confirmAfterSilence, func() { l.mail.put(callIdle{o.Call}) })
	}
	err := transport.CallDiscovery(ctx, o.Addr, o.Request, accepted, func(raw []byte) {
		list, err := protocol.DecodeEndpointList(raw, func(err error) {
			slog.Warn("invalid endpoint list entry dropped", "error", err)
		})
		if err != nil { // the call ends: the next watch brings again what was in it
			cancel(&routing.UnreadableError{Err: err})
			return
		}
		l.mail.put(callReceived{call: o.Call, list: list})
	})
	if cause := context.Cause(ctx); cause != nil && err != nil {
		err = cause
	}
	l.mail.put(callEnded{call: o.Call, err: err})
}
