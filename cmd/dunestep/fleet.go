package main

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/control/policy/policylog"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/operatorcommand"
	"dunestep/internal/handover"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

const (
	// proposalTimeout is how long a proposal is retried before it is withdrawn.
	proposalTimeout = 5 * time.Second
	// reloadTimeout bounds the wait for the actor at a reload.
	reloadTimeout = time.Second
	// leaveTimeout bounds how long a process that shuts down waits for its actor to notify the other agents.
	leaveTimeout = 100 * time.Millisecond
)

var errNoDatagrams = errors.New(
	"fleet: agents cannot communicate: the configuration needs mayTell, peers and peer_listen")

// fleetMember is this agent's membership in the fleet. A nil fleetMember is not a member. Its methods are
// safe for concurrent use unless documented otherwise.
type fleetMember struct {
	settings  settings
	datagrams *transport.Datagrams
	actor     atomic.Pointer[agent.FleetActor] // nil: not started

	mu      sync.Mutex
	manual  *manualControl
	tickets map[uint64]*ticket // tickets of operators' commands, by number
	latest  []uint64           // ticket numbers, the oldest first

	// Accessed only by the fleet's actor, in functions that it calls.
	commands           *operatorcommand.List
	policies           *policylog.Adapter // nil: policies are disabled here
	zoneCheckedVersion uint64             // the last policy version whose time zone rules were checked
	endpoints          []balancer.Server  // this agent's own list when it was last read
	maintenance        *windowControl     // nil: maintenance windows are disabled here
	ring               *ringControl       // nil: agreed ring assignments are disabled here

	inherited *inheritedState // accessed only by the agent's actor; nil: nothing was inherited
}

// newFleetMember returns this agent's membership in the fleet; nil if the fleet is disabled. It returns
// errNoDatagrams where agents cannot communicate, and an error where the node's settings are invalid.
func newFleetMember(s settings, d *transport.Datagrams) (*fleetMember, error) {
	if !s.operator.Fleet.Enabled {
		return nil, nil
	}
	if d == nil {
		return nil, errNoDatagrams
	}
	f := &fleetMember{
		settings:  s,
		datagrams: d,
		commands:  &operatorcommand.List{},
		tickets:   map[uint64]*ticket{},
	}
	return f, f.nodeSettings().Validate()
}

// startFleet joins the fleet. While the previous process is still a member, it does nothing: followPrevious
// joins once that process has exited.
func (p *process) startFleet() error {
	if p.upgrade.previous != nil { // the goroutines that change it have not started
		return nil
	}
	return p.fleet.start(p.manual)
}

// start opens the voter's store, if this agent is a voter with a folder, and starts the actor and the
// goroutines that report to it.
func (f *fleetMember) start(m *manualControl) error {
	if f == nil {
		return nil
	}
	f.manual = m
	set := agent.FleetSettings{Node: f.nodeSettings(), Datagrams: f.datagrams, OnApplied: f.onApplied}
	f.openStore(&set)
	f.addStateMachines(&set.Node)
	actor, err := agent.StartFleet(set)
	if err != nil {
		return err
	}
	f.actor.Store(actor)
	if o := f.settings.operator.Fleet; o.LiveSizeForProbes || o.LiveSizeForQuotas || o.LiveSizeForOverload {
		go f.watchFleetSize(actor)
	}
	if f.maintenance != nil || f.ring != nil {
		go f.watchEndpoints(actor)
	}
	return nil
}

// reload applies the reloaded settings against which policies are checked.
func (f *fleetMember) reload(s settings) {
	if f == nil || !f.settings.operator.Fleet.Policy {
		return
	}
	if actor := f.actor.Load(); actor != nil {
		own := f.settings
		own.operator.Overload = s.operator.Overload
		ctx, cancel := context.WithTimeout(context.Background(), reloadTimeout)
		defer cancel()
		actor.Do(
			ctx,
			func(*fleet.Node, fleet.ClockReading) { f.policies.SetLocalSettings(own.localPolicySettings()) },
		)
	}
}

// receiver returns a function that passes the fleet's datagrams to the fleet's actor, and all others to
// toBalancer. Before the actor has started, it drops the fleet's.
func (f *fleetMember) receiver(toBalancer func(protocol.Datagram)) func(protocol.Datagram) {
	return func(d protocol.Datagram) {
		switch actor := f.actor.Load(); {
		case d.Data[0] != fragment.FirstByte:
			toBalancer(d)
		case actor != nil:
			actor.ReceiveDatagram(d)
		}
	}
}

// leave notifies the other agents that this process exits.
func (f *fleetMember) leave() {
	if f == nil {
		return
	}
	if actor := f.actor.Load(); actor != nil {
		ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		actor.Do(ctx, func(n *fleet.Node, _ fleet.ClockReading) { n.Leave() })
	}
}

// isReady reports whether this agent has the agreed state, or has waited for it for the maximum time. While
// the previous process is still a member, it returns true: there is nothing to wait for.
func (f *fleetMember) isReady() bool {
	if f == nil {
		return true
	}
	actor := f.actor.Load()
	return actor == nil || actor.IsReady()
}

// isCaughtUp reports whether this process has the agreed state, from the previous process or from other
// agents, or has waited for it for the maximum time.
func (f *fleetMember) isCaughtUp() bool {
	if f == nil || f.inherited != nil {
		return true
	}
	actor := f.actor.Load()
	return actor == nil || actor.IsCaughtUp()
}

// onApplied is called by the actor after it has applied records. It merges operators' commands to the fleet
// with those to this agent: for each endpoint, the latest command wins.
func (f *fleetMember) onApplied() {
	f.logWindows()
	f.compareTimeZones()
	var changed []routing.DisabledEndpoint
	for _, c := range f.commands.All() {
		e := routing.DisabledEndpoint{ID: c.Server, DisabledAt: c.IssuedAt}
		if !c.Down {
			e = routing.DisabledEndpoint{ID: c.Server, EnabledAt: c.IssuedAt}
		}
		changed = append(changed, e)
	}
	if len(changed) > 0 {
		go f.manual.merge(handover.ManualSettings{Disabled: changed}) // waits for the agent's actor
	}
}
