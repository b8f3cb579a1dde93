package agent

import (
	"log/slog"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/state"
)

// The messages of the agent's actor, in addition to *request, responseBegun, responseStarted,
// attemptOverdue, attemptEnded, listUpdate and protocol.Datagram.
type (
	// clientGone reports that a request's client has left.
	clientGone struct{ request *request }
	// requestOver reports that a request was answered at the end of its time.
	requestOver struct{ request *request }
	// bodyComplete reports when the last byte of a request was received.
	bodyComplete struct {
		request *request
		at      time.Time
	}
	// failAll fails all requests, and makes later ones be rejected.
	failAll struct{}
	// endResponses ends the responses that are being forwarded.
	endResponses struct{}
	timerDue     struct{ tag uint64 }
	// releaseIdle closes idle connections to endpoints.
	releaseIdle        struct{}
	snapshotQuery      struct{ reply chan<- state.Snapshot }
	overloadChanged    struct{ config overload.Config }
	fleetPolicyChanged struct{ effect *policy.Effect }
	tenantStatsQuery   struct{ reply chan<- tenantStatsReply }
	baselineQuery      struct {
		reply chan<- []balancer.BaselineLatency
	}
	fleetSizeChanged struct {
		forBalancer balancer.FleetSize
		forOverload int
	}
)

// tenantStatsReply has the statistics of the tenants' requests, and whether load is being shed.
type tenantStatsReply struct {
	stats    []balancer.TenantStats
	shedding bool
}

// ejectionInterval is the minimum time between updates of the ejected servers in the metrics.
const ejectionInterval = 100 * time.Millisecond

// handle handles one message. It returns true: the actor never ends.
func (a *Agent) handle(m any) bool {
	a.applyFleetState()
	now := a.clock.now()
	switch m := m.(type) {
	case *request:
		a.startRequest(now, m)
	case responseStarted:
		a.startResponse(now, m)
	case responseBegun:
		a.carryOutAll(a.router.ResponseBegun(now, m.attempt.request.id, m.attempt.number, m.isShort, m.hasBody))
	case attemptOverdue:
		a.carryOutAll(a.router.AttemptOverdue(now, m.attempt.request.id, m.attempt.number, m.observed))
	case attemptEnded:
		a.endAttempt(now, m)
	case requestOver:
		logTimeOver(m.request)
		a.endRequest(now, m.request)
	case clientGone:
		logClientGone(m.request)
		a.endRequest(now, m.request)
	case bodyComplete:
		if m.request.isPassed {
			a.carryOutAll(a.router.BodyComplete(a.clock.at(m.at), m.request.id))
		}
	case timerDue:
		a.carryOutAll(a.router.TimerDue(now, m.tag))
	case listUpdate:
		a.carryOutAll(a.router.ListUpdated(now, m.kind, m.list, m.watch))
		a.recorder.listUpdated(now, m)
		a.logPlannedCall(m)
		a.hasEndpoint.Store(a.router.HasReadyEndpoint())
	case protocol.Datagram:
		a.carryOutAll(a.router.DatagramReceived(now, m))
	case failAll:
		a.carryOutAll(a.router.FailAll())
	case endResponses:
		a.carryOutAll(a.router.EndResponses())
	case releaseIdle:
		a.carryOutAll(a.router.ReleaseIdle())
	default:
		a.handleControl(now, m)
	}
	a.reportEjections(now)
	return true
}

// handleControl handles the messages that change settings or query state.
func (a *Agent) handleControl(now time.Duration, m any) {
	switch m := m.(type) {
	case overloadChanged:
		if err := a.controller.SetConfig(m.config); err != nil {
			slog.Warn("overload settings not applied", "error", err)
		}
	case fleetPolicyChanged:
		a.router.SetFleetPolicy(m.effect)
	case fleetSizeChanged:
		a.balancer.SetFleetSize(m.forBalancer)
		a.controller.SetFleetSize(m.forOverload)
	case tenantStatsQuery:
		m.reply <- tenantStatsReply{a.router.TenantStats(), a.controller != nil && a.controller.IsShedding()}
	case baselineQuery:
		m.reply <- a.balancer.BaselineLatencies()
	case snapshotQuery:
		m.reply <- a.recorder.recorder.Snapshot(now)
	}
}

// reportEjections updates the ejected servers in the metrics, at most once per ejectionInterval. It is called
// after each message, so the balancer's timers keep the metrics up to date when there is no other traffic.
func (a *Agent) reportEjections(now time.Duration) {
	if a.balancer != nil && now-a.ejectedAt >= ejectionInterval {
		a.ejectedAt = now
		a.metrics.SetEjected(a.balancer.EjectedServerCount())
	}
}

// carryOutAll carries out the router's outputs, in order.
func (a *Agent) carryOutAll(out []routing.Output) {
	for i := range out {
		a.carryOut(&out[i])
	}
}

func (a *Agent) carryOut(out *routing.Output) {
	switch out.Kind {
	case routing.SetTimer:
		tag := out.Tag
		time.AfterFunc(a.clock.until(out.At), func() { a.mail.put(timerDue{tag}) })
	case routing.SendDatagram:
		if a.peers != nil {
			a.peers.enqueue(protocol.Datagram{Agent: out.Peer, Data: out.Data})
		}
	case routing.WatchList:
		a.list.mail.put(watchList{})
	case routing.FetchList:
		a.list.mail.put(fetchList{})
	case routing.OpenEndpoint, routing.SetEndpointAddress, routing.ReplaceEndpoint, routing.RemoveEndpoint,
		routing.DrainEndpoint, routing.ReleaseIdle:
		a.changeUpstream(out)
	case routing.LogDecision:
		slog.Info("balancer", "says", out.Text)
		a.recorder.stateChanged() // a log line means that the balancer's state has changed
	case routing.UnsupportedProbe:
		slog.Error("balancer requested a probe, which is not permitted", "server", out.Endpoint)
	default:
		a.carryOutForRequest(a.requests[out.Request], out)
	}
}

// changeUpstream starts, changes or ends an endpoint's actor.
func (a *Agent) changeUpstream(out *routing.Output) {
	u := a.upstreams[out.Endpoint]
	switch out.Kind {
	case routing.OpenEndpoint:
		a.upstreams[out.Endpoint] = a.openUpstream(out.Addr)
	case routing.SetEndpointAddress:
		u.mail.put(addressChanged{out.Addr})
	case routing.ReplaceEndpoint:
		u.mail.put(processReplaced{})
	case routing.RemoveEndpoint:
		u.mail.put(retire{})
		delete(a.upstreams, out.Endpoint)
	case routing.DrainEndpoint:
		u.mail.put(stopReuse{})
	case routing.ReleaseIdle:
		u.mail.put(closeIdleHalf{})
	}
}
