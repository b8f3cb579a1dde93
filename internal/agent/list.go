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

// confirmAfterSilence is how long after discovery has accepted a watch its silence is taken for no news: what it has to
// bring comes at once.
const confirmAfterSilence = 200 * time.Millisecond

// listUpdate tells the module's actor of the pool config.
type listUpdate struct {
	kind          balancer.UpdateKind
	list          protocol.EndpointList
	discoveryList protocol.EndpointList // the same as discovery told it, without what staff have taken out
	watch         balancer.WatchStatus  // how it has come
	confirms      bool                  // by it discovery has said what the whole list is
}

// list is the actor of the pool config: it makes the calls to discovery.
type listActor struct {
	mail    *mailbox[any]
	tracker *routing.ListTracker
	calls   map[int]context.CancelFunc // those that are out
	report  func(listUpdate)
	clock   clock
	metrics *metrics.Figures
}

// The messages of the list's actor.
type (
	watchList      struct{}
	discoveryMoved struct{ addr netip.AddrPort } // discovery is there from now on
	fetchList      struct{}
	callAccepted   struct{ call int }
	callIdle       struct{ call int } // it has brought nothing since it began
	callReceived   struct {
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
		done   chan<- disableResult
	}
	mergeDisabled struct{ bans []routing.DisabledEndpoint }
	listedQuery   struct {
		id   string
		done chan<- bool
	}
	endpointsQuery struct{ done chan<- []balancer.Server }
)

// banned is what came of a ban or a lift, and all bans that hold after it.
type disableResult struct {
	listed   bool
	err      error
	disabled []routing.DisabledEndpoint
}

func startList(addr netip.AddrPort, known protocol.EndpointList, bans []routing.DisabledEndpoint, clock clock,
	f *metrics.Figures, report func(listUpdate),
) *listActor {
	l := &listActor{
		mail: newMailbox[any](), tracker: routing.NewListTracker(addr, known, bans),
		calls:  map[int]context.CancelFunc{},
		report: report, clock: clock, metrics: f,
	}
	l.report(listUpdate{kind: balancer.UpdateCached, list: l.tracker.ApplyDisabled(known), discoveryList: known})
	l.reportSize()
	go l.mail.receive(l.handle)
	return l
}

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
		m.done <- l.setDisabled(m)
	case listedQuery:
		m.done <- l.tracker.WasListed(m.id)
	case endpointsQuery:
		m.done <- l.tracker.Endpoints()
	case mergeDisabled:
		l.carryOut(l.tracker.MergeDisabled(m.bans))
	}
	l.reportSize()
	return true
}

// ban takes a booking server out, or puts it back.
func (l *listActor) setDisabled(m setDisabled) (b disableResult) {
	var out []routing.ListOutput
	if m.enable {
		out, b.listed = l.tracker.Enable(m.id, l.clock.now())
	} else {
		out, b.listed, b.err = l.tracker.Disable(m.id, l.clock.now())
	}
	l.carryOut(out)
	b.disabled = l.tracker.Disabled()
	return b
}

// count tells how many are listed.
func (l *listActor) reportSize() {
	listed, banned := l.tracker.Size()
	l.metrics.SetPool(metrics.Pool{Listed: listed, Banned: banned})
}

func (l *listActor) carryOut(out []routing.ListOutput) {
	for _, o := range out {
		switch o.Kind {
		case routing.StartCall:
			ctx, cancel := context.WithCancel(context.Background())
			l.calls[o.Call] = cancel
			go l.call(ctx, o)
		case routing.EndCall:
			if cancel := l.calls[o.Call]; cancel != nil {
				cancel() // its end is told
			}
		case routing.ListUpdate:
			l.report(listUpdate{kind: o.Update, list: o.List, discoveryList: o.DiscoveryList, watch: o.Watch, confirms: o.Confirms})
		case routing.ListOutOfOrder:
			slog.Warn("endpoint list update out of order, fetching the full list", "version", o.Version, "known", o.KnownVersion)
		case routing.CallFailed:
			slog.Warn("discovery call ended", "error", o.Err)
		}
	}
}

// call runs beside the actor, for as long as the call lasts.
func (l *listActor) call(ctx context.Context, o routing.ListOutput) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	begun := func() {
		l.mail.put(callAccepted{o.Call})
		time.AfterFunc(confirmAfterSilence, func() { l.mail.put(callIdle{o.Call}) })
	}
	err := transport.CallDiscovery(ctx, o.Addr, o.Request, begun, func(raw []byte) {
		config, err := protocol.DecodeEndpointList(raw, func(err error) {
			slog.Warn("invalid endpoint list entry dropped", "error", err)
		})
		if err != nil { // what was in it is missed: the next watch brings it again
			cancel(&routing.UnreadableError{Err: err})
			return
		}
		l.mail.put(callReceived{call: o.Call, list: config})
	})
	if cause := context.Cause(ctx); cause != nil && err != nil {
		err = cause
	}
	l.mail.put(callEnded{call: o.Call, err: err})
}
