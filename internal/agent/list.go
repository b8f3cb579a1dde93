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

// confirmAfterSilence is the time after the acceptance of a watch after which the known list is confirmed:
// discovery sends a newer list immediately, so one would have been received by then.
const confirmAfterSilence = 200 * time.Millisecond

// listUpdate reports an update of the endpoint list to the agent's actor.
type listUpdate struct {
	kind          balancer.UpdateKind
	list          protocol.EndpointList // with disabled endpoints draining
	discoveryList protocol.EndpointList // the list as discovery sent it
	watch         balancer.WatchStatus
	confirmation  routing.Confirmation
}

// listActor is the actor of the endpoint list. It makes the calls to discovery, each in its own goroutine,
// which ends with the call.
type listActor struct {
	mail    *mailbox[any]
	tracker *routing.ListTracker
	calls   map[int]context.CancelFunc // calls under way, by number
	report  func(listUpdate)
	clock   clock
	metrics *metrics.Counters
	log     *watchLog
}

// The messages of the list's actor.
type (
	watchList            struct{}
	discoveryAddrChanged struct{ addr netip.AddrPort }
	fetchList            struct{}
	callAccepted         struct{ call int }
	// callIdle reports that confirmAfterSilence has passed since the call was accepted.
	callIdle struct{ call int }
	// callKeptAlive reports that the call received an empty line.
	callKeptAlive struct{ call int }
	callReceived  struct {
		call int
		list protocol.EndpointList
	}
	// unwatched reports that no watch was accepted for a while.
	unwatched struct{}
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

// disableResult is the result of setDisabled, with that of routing.ListTracker.Disabled after it.
type disableResult struct {
	listed   bool
	err      error
	disabled []routing.DisabledEndpoint
}

// startList starts the actor and reports the initial list at once.
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
	l.log = newWatchLog(m, addr, func() { l.mail.put(unwatched{}) })
	l.report(
		listUpdate{kind: balancer.UpdateCached, list: l.tracker.ApplyDisabled(initial), discoveryList: initial},
	)
	l.reportSize()
	go l.mail.receive(l.handle)
	return l
}

// handle handles one message. It returns true: the actor never ends.
func (l *listActor) handle(m any) bool {
	switch m := m.(type) {
	case watchList:
		l.carryOut(l.tracker.Watch(), scheduledCall)
	case discoveryAddrChanged:
		l.carryOut(l.tracker.SetAddress(m.addr), callAtNewAddress)
	case fetchList:
		l.carryOut(l.tracker.Fetch(), completeListCall)
	case callAccepted:
		l.log.callAccepted(m.call)
		l.carryOut(l.tracker.CallAccepted(m.call), noCallStarted)
	case callIdle:
		l.carryOut(l.tracker.CallIdle(m.call), noCallStarted)
	case callKeptAlive:
		l.log.received(m.call)
		l.carryOut(l.tracker.CallKeptAlive(m.call), noCallStarted)
	case callReceived:
		l.log.received(m.call)
		l.carryOut(l.tracker.CallReceived(m.call, m.list), noCallStarted)
	case callEnded:
		delete(l.calls, m.call)
		l.log.callEnded(m.call, m.err)
		l.carryOut(l.tracker.CallEnded(m.call, m.err), noCallStarted)
	case unwatched:
		l.log.warnUnwatched()
	case setDisabled:
		m.reply <- l.setDisabled(m)
	case listedQuery:
		m.reply <- l.tracker.WasListed(m.id)
	case endpointsQuery:
		m.reply <- l.tracker.Endpoints()
	case mergeDisabled:
		l.carryOut(l.tracker.MergeDisabled(m.disabled), noCallStarted)
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
	l.carryOut(out, noCallStarted)
	r.disabled = l.tracker.Disabled()
	return r
}

// reportSize updates the numbers of listed and disabled endpoints in the metrics.
func (l *listActor) reportSize() {
	listed, disabled := l.tracker.Size()
	l.metrics.SetEndpoints(metrics.Endpoints{Listed: listed, Disabled: disabled})
}

// carryOut carries out the tracker's outputs, in order. reason is why they start a call, if they do.
func (l *listActor) carryOut(out []routing.ListOutput, reason callReason) {
	for _, o := range out {
		switch o.Kind {
		case routing.StartCall:
			ctx, cancel := context.WithCancel(context.Background())
			l.calls[o.Call] = cancel
			l.log.callStarted(o, reason)
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
		case routing.ListOutdated:
			slog.Info("older endpoint list at discovery's former address dropped", "version", o.Version,
				"known", o.KnownVersion)
		case routing.ListOutOfOrder:
			slog.Warn("endpoint list update out of order, fetching the full list", "version", o.Version,
				"known", o.KnownVersion)
		}
	}
}

// call makes a call to discovery. It runs in its own goroutine, and its last message is callEnded.
func (l *listActor) call(ctx context.Context, o routing.ListOutput) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	accepted := func() {
		l.mail.put(callAccepted{o.Call})
		time.AfterFunc(confirmAfterSilence, func() { l.mail.put(callIdle{o.Call}) })
	}
	keptAlive := func() { l.mail.put(callKeptAlive{o.Call}) }
	received := func(raw []byte) {
		list, err := protocol.DecodeEndpointList(raw, func(err error) {
			slog.Warn("invalid endpoint list entry dropped", "error", err)
		})
		if err != nil { // end the call: the next watch receives the same content again
			cancel(&routing.UnreadableError{Err: err})
			return
		}
		l.mail.put(callReceived{call: o.Call, list: list})
	}
	err := transport.CallDiscovery(ctx, o.Addr, o.Request, transport.CallHandlers{
		Accepted: accepted, KeptAlive: keptAlive, Object: received,
	})
	if cause := context.Cause(ctx); cause != nil && err != nil {
		err = cause
	}
	l.mail.put(callEnded{call: o.Call, err: err})
}
