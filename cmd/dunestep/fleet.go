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
	// proposalTimeout is how long a proposal is tried before it is withdrawn.
	proposalTimeout = 5 * time.Second
	// reloadTimeout bounds the wait for the actor at a reload.
	reloadTimeout = time.Second
	// leaveTimeout bounds the wait of a process that shuts down for its actor to tell the others.
	leaveTimeout = 100 * time.Millisecond
)

var errNoDatagrams = errors.New(
	"fleet: the configuration has no way between agents: mayTell, peers and peer_listen")

// fleetMember is this agent's part in what the fleet agrees on. A nil one takes no part. Its methods are safe
// for concurrent use where they say nothing else.
type fleetMember struct {
	settings  settings
	datagrams *transport.Datagrams
	actor     atomic.Pointer[agent.FleetActor] // nil: not started

	mu      sync.Mutex
	manual  *manualControl
	tickets map[uint64]*ticket // of operators' commands, by number
	latest  []uint64           // the tickets' numbers, the oldest first

	// Of the fleet's actor, that is of functions that it calls.
	commands     *operatorcommand.List
	policies     *policylog.Adapter // nil: policies are off here
	comparedZone uint64             // the policy version whose time zones were last compared
	endpoints    []balancer.Server  // of this agent's own list, as it was last looked at
	maintenance  *windowControl     // nil: maintenance windows are off here
	ring         *ringControl       // nil: agreed ring assignments are off here

	inherited *inheritedState // of the agent's actor; nil: nothing
}

// newFleetMember returns this agent's part in the fleet; nil: it takes none.
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

// startFleet joins the fleet, unless the previous process still takes part: then this one joins once that has
// exited.
func (p *process) startFleet() error {
	if p.upgrade.previous != nil { // nothing else changes it yet
		return nil
	}
	return p.fleet.start(p.manual)
}

// start opens the voter's store, where there is one, and starts the actor and what watches for it.
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

// reload applies what SIGHUP has changed of the settings that policies are checked against.
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

// receiver returns a function that passes the fleet's datagrams to its actor, and the others to the
// balancer's.
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

// leave has the other agents told that this process exits.
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

// isReady tells whether this agent has what was agreed, as far as it can be had. While the previous process
// still takes part there is nothing to wait for.
func (f *fleetMember) isReady() bool {
	if f == nil {
		return true
	}
	actor := f.actor.Load()
	return actor == nil || actor.IsReady()
}

// isCaughtUp tells whether this process has what was agreed, handed over or from others, or has tried for
// long enough.
func (f *fleetMember) isCaughtUp() bool {
	if f == nil || f.inherited != nil {
		return true
	}
	actor := f.actor.Load()
	return actor == nil || actor.IsCaughtUp()
}

// onApplied is called by the actor after records were applied. Operators' commands to the fleet hold beside
// what was set at this agent: in each matter the latest.
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
		go f.manual.merge(handover.ManualSettings{Disabled: changed}) // which waits for the agent's actor
	}
}
