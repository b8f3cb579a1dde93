package main

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/policylog"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/operatorcommand"
	"dunestep/internal/fleetstore"
	"dunestep/internal/handover"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// The machines of the fleet's log, by their number in records.
const (
	ordersMachine    = 0
	policyMachine    = 1
	windowMachine    = 2
	placementMachine = 3
)

const (
	// proposeWithin is how long a proposal is tried before it is withdrawn.
	proposeWithin = 5 * time.Second
	// mostTickets is how many proposals staff can ask about, the latest ones.
	mostTickets = 64
	// leaveWait is how long a process that ends waits for its actor to say so.
	leaveWait = 100 * time.Millisecond
)

// fleetMember is this agent's part in what the fleet agrees on. A nil one takes no part.
type fleetMember struct {
	told      settings
	datagrams *transport.Datagrams
	actor     atomic.Pointer[agent.FleetActor] // nil: not begun

	mu      sync.Mutex
	hand    *manualControl
	tickets map[uint64]*ticket // by the node's
	latest  []uint64

	orders   *operatorcommand.List // the actor's
	seat     *policylog.Adapter    // the same; nil: policies do not hold here
	compared uint64                // the version whose zones were last compared; the same
	servers  []balancer.Server     // this agent's own list, as it was last looked at; the same
	windows  *windowControl        // the same; nil: maintenance windows do not
	places   *ringControl          // the same; nil: generations of the ring do not
	inherits *inheritedState       // the module's actor's; nil: nothing
}

// ticket is a proposal of staff's.
type ticket struct {
	taken   fleet.ClockReading // when it was seen to be taken: not before it was
	isTaken bool
}

// newFleetPart returns the part of an agent that takes part; nil: it does not.
func newFleetPart(c settings, d *transport.Datagrams) (*fleetMember, error) {
	if !c.operator.Fleet.On {
		return nil, nil
	}
	if d == nil {
		return nil, errors.New("fleet: the configuration has no way between agents: mayTell, peers and peer_listen")
	}
	p := &fleetMember{told: c, datagrams: d, orders: &operatorcommand.List{}, tickets: map[uint64]*ticket{}}
	return p, p.settings().Validate()
}

// settings are the node's.
func (p *fleetMember) settings() fleet.Settings {
	f := p.told.operator.Fleet
	now := time.Now()
	set := fleet.Settings{
		Self: p.told.Settings.Self, Agents: p.told.Settings.Balancers,
		Incarnation: uint64(now.UnixMilli()), Seed: p.told.Seed, ReadyTimeout: time.Duration(f.ReadyMS) * time.Millisecond,
		BytesPerSecond: int(f.RateKB << 10), Machines: []fleet.StateMachine{ordersMachine: p.orders},
		Terms: lease.Terms{
			Duration:        time.Duration(f.LeaseMS) * time.Millisecond,
			MaxKnowledgeAge: time.Duration(f.HeardMS) * time.Millisecond,
		},
	}
	for _, v := range f.Voters {
		set.Voters = append(set.Voters, int(v))
	}
	return set
}

// beginFleet begins to take part, unless another process of this agent still does: then once that has
// ended.
func (p *process) beginFleet() error {
	if p.up.old != nil { // nothing else looks at it yet
		return nil
	}
	return p.fleet.begin(p.hand)
}

// begin opens the store, where there is one, and starts the actor.
func (p *fleetMember) begin(h *manualControl) error {
	if p == nil {
		return nil
	}
	p.hand = h
	set := agent.FleetSettings{Node: p.settings(), Datagrams: p.datagrams, OnApplied: p.applied}
	p.openStore(&set)
	if p.told.operator.Fleet.Policy {
		p.sit(&set.Node)
	} else {
		p.keepStates(&set.Node)
	}
	actor, err := agent.StartFleet(set)
	if err != nil {
		return err
	}
	p.actor.Store(actor)
	if f := p.told.operator.Fleet; f.HereCold || f.HereShares || f.HereStorm {
		go p.countPresent(actor)
	}
	if p.windows != nil || p.places != nil {
		go p.watch(actor)
	}
	return nil
}

// openStore opens a voter's store. Where it can't be used, torn or of another version or gone, this agent
// follows and has no vote: that is no reason to turn booking away, and a voter that took its store for an
// empty one could break the log.
func (p *fleetMember) openStore(set *agent.FleetSettings) {
	folder := p.told.operator.Fleet.Folder
	if folder == "" || !set.Node.IsVoter() {
		return
	}
	store, err := fleetstore.Open(folder)
	if err != nil {
		slog.Error("fleet: the voter's store can't be used, this agent follows without a vote until it starts "+
			"with an empty folder", "folder", folder, "error", err)
		set.Node.NonVoting = true
		return
	}
	set.Store, set.Node.Stored, set.Node.IsDurable = store, store.Stored(), true
}

// keepStates has the state of policies, windows and placement kept where they are off here: others may go on
// from a snapshot of this agent's.
func (p *fleetMember) keepStates(n *fleet.Settings) {
	policies := policy.NewStateMachine()
	n.Machines = append(n.Machines, policies,
		maintenance.NewStateMachine(func() uint64 { return policies.State().InForce.Number }), ringassignment.NewStateMachine())
}

// sit has policies hold here.
func (p *fleetMember) sit(n *fleet.Settings) {
	p.seat = policylog.New(policylog.Settings{
		Self: n.Self, IsVoter: n.IsVoter(), Incarnation: n.Incarnation,
		MachineNumber: policyMachine,
		Local:         p.told.policyOwn(),
		Times:         p.policyTimes(n.Terms),
	}, agent.ReadClocks())
	p.stack(n)
}

// stack puts windows and placement above the node beside the policies. The machines are there in any case:
// an agent at which they are off keeps their state too, or a snapshot of its would have others forget it.
func (p *fleetMember) stack(n *fleet.Settings) {
	var above [2]fleet.Application
	var windows fleet.StateMachine = maintenance.NewStateMachine(p.inForce)
	var places fleet.StateMachine = ringassignment.NewStateMachine()
	if p.told.operator.Fleet.Windows {
		s := p.sitWindows(n)
		windows, above[0] = s, s
	}
	if p.told.operator.Fleet.Placement {
		s := p.sitPlaces(n)
		places, above[1] = s, s
	}
	n.Machines = append(n.Machines, p.seat, windows, places)
	n.Application = fleet.StackApplications(p.seat, above[0], above[1])
}

// inForce is the newest version of the policy that was activated.
func (p *fleetMember) inForce() uint64 { return p.seat.State().InForce.Number }

// policyTimes are the policies'.
func (p *fleetMember) policyTimes(terms lease.Terms) policy.Times {
	return policy.Times{Terms: terms, FloorValidity: seconds(p.told.operator.Fleet.FloorS)}
}

// policyOwn is what this agent holds policies against.
func (s settings) policyOwn() policy.LocalSettings {
	return policy.LocalSettings{Settings: routing.Permitted(s.Settings.Settings), MaxFailedRatio: s.storm().WastedFraction}
}

// reload takes in what SIGHUP has changed of that.
func (p *fleetMember) reload(c settings) {
	if p == nil || !p.told.operator.Fleet.Policy {
		return
	}
	if actor := p.actor.Load(); actor != nil {
		own := p.told
		own.operator.Storm = c.operator.Storm
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		actor.Do(ctx, func(*fleet.Node, fleet.ClockReading) { p.seat.SetLocalSettings(own.policyOwn()) })
	}
}

// hear parts the fleet's datagrams from the module's.
func (p *fleetMember) hear(module func(protocol.Datagram)) func(protocol.Datagram) {
	return func(d protocol.Datagram) {
		switch actor := p.actor.Load(); {
		case d.Data[0] != fragment.FirstByte:
			module(d)
		case actor != nil:
			actor.ReceiveDatagram(d)
		}
	}
}

// leave has the other agents told that this process goes.
func (p *fleetMember) leave() {
	if p == nil {
		return
	}
	if actor := p.actor.Load(); actor != nil {
		ctx, cancel := context.WithTimeout(context.Background(), leaveWait)
		defer cancel()
		actor.Do(ctx, func(n *fleet.Node, _ fleet.ClockReading) { n.Leave() })
	}
}

// ready tells whether this agent has what was agreed, as far as it can be had. While a process before it
// still takes part for it there is nothing to wait for.
func (p *fleetMember) ready() bool {
	if p == nil {
		return true
	}
	actor := p.actor.Load()
	return actor == nil || actor.IsReady()
}

// knows tells whether this process has what was agreed, handed over or from others, or has tried for long
// enough.
func (p *fleetMember) knows() bool {
	if p == nil || p.inherits != nil {
		return true
	}
	actor := p.actor.Load()
	return actor == nil || actor.IsCaughtUp()
}

// applied has this agent go by the fleet's orders, beside what it was told by hand itself: the last word
// counts. The actor calls it.
func (p *fleetMember) applied() {
	p.tellWindows()
	p.tellZones()
	var bans []routing.DisabledEndpoint
	for _, o := range p.orders.All() {
		b := routing.DisabledEndpoint{ID: o.Server, DisabledAt: o.IssuedAt}
		if !o.Down {
			b = routing.DisabledEndpoint{ID: o.Server, EnabledAt: o.IssuedAt}
		}
		bans = append(bans, b)
	}
	if len(bans) > 0 {
		go p.hand.adopt(handover.ManualSettings{Disabled: bans})
	}
}

// HandleFleetCall implements transport.OpsHandler.
func (h *manualControl) HandleFleetCall(ctx context.Context, call protocol.OpsCall) (int, []byte) {
	p := h.fleet
	if p == nil {
		return http.StatusNotFound, nil
	}
	actor := p.actor.Load()
	if actor == nil {
		return http.StatusServiceUnavailable, []byte("another process of this agent still takes part\n")
	}
	switch call.Kind {
	case protocol.OpsFleetStatus:
		return p.status(ctx, actor)
	case protocol.OpsFleetTicket:
		return p.ask(ctx, actor, call.Ticket)
	case protocol.OpsPolicy, protocol.OpsPolicyPropose, protocol.OpsPolicyOutcome, protocol.OpsPolicyDocument:
		return p.policy(ctx, actor, call)
	case protocol.OpsFleetDisable, protocol.OpsFleetEnable:
		return p.order(ctx, actor, call)
	case protocol.OpsWindows, protocol.OpsWindowRequest, protocol.OpsWindowCheck, protocol.OpsWindowStop,
		protocol.OpsWindowOutcome:
		return p.windowsCall(ctx, actor, call)
	}
	return http.StatusNotFound, nil // of a part that is off
}

func (p *fleetMember) status(ctx context.Context, actor *agent.FleetActor) (int, []byte) {
	var s fleet.Status
	var book []operatorcommand.Command
	var ring *ringStatus
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		s, book, ring = n.Status(now), p.orders.All(), p.ringStatus(n, now)
	}) {
		return late()
	}
	out := statusOf(s, book)
	out.Ring = ring
	return answerJSON(http.StatusOK, out)
}

func late() (int, []byte) { return http.StatusServiceUnavailable, []byte("no answer in time\n") }

func answerJSON(status int, v any) (int, []byte) {
	raw, err := json.Marshal(v)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return status, append(raw, '\n')
}

// order proposes an order to the fleet. What became of it is asked for by its ticket.
func (p *fleetMember) order(ctx context.Context, actor *agent.FleetActor, call protocol.OpsCall) (int, []byte) {
	if !p.hand.agent.WasListed(ctx, call.ID) {
		return http.StatusNotFound, []byte("no such booking server was ever listed\n")
	}
	raw, err := operatorcommand.Command{
		Server: call.ID, Down: call.Kind == protocol.OpsFleetDisable,
		IssuedBy: p.told.Settings.Self, IssuedAt: unixNow(),
	}.Encode()
	if err != nil {
		return http.StatusBadRequest, []byte(err.Error() + "\n")
	}
	var t fleet.Ticket
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		if t, err = n.Propose(now, ordersMachine, raw, proposeWithin); err == nil {
			p.keep(uint64(t))
		}
	}) {
		return late()
	}
	if err != nil {
		return http.StatusServiceUnavailable, []byte(err.Error() + "\n")
	}
	slog.Info("fleet: operator command proposed", "server", call.ID, "down", call.Kind == protocol.OpsFleetDisable,
		"ticket", uint64(t))
	return answerJSON(http.StatusAccepted, protocol.FleetProposal{
		Ticket: uint64(t),
		Result: fleet.Pending.String(),
	})
}

// keep remembers a ticket, and forgets the oldest.
func (p *fleetMember) keep(t uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickets[t] = &ticket{}
	if p.latest = append(p.latest, t); len(p.latest) > mostTickets {
		delete(p.tickets, p.latest[0])
		p.latest = p.latest[1:]
	}
}

// ask tells what became of a proposal.
func (p *fleetMember) ask(ctx context.Context, actor *agent.FleetActor, number uint64) (int, []byte) {
	p.mu.Lock()
	t := p.tickets[number]
	p.mu.Unlock()
	if t == nil {
		return http.StatusNotFound, []byte("no such ticket\n")
	}
	answer := protocol.FleetProposal{Ticket: number}
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		r := n.Result(fleet.Ticket(number))
		if answer.Result = r.String(); r != fleet.Committed {
			return
		}
		if !t.isTaken {
			t.isTaken, t.taken = true, now
		}
		answer.InForce = n.FencePassed(t.taken, now)
	}) {
		return late()
	}
	return answerJSON(http.StatusOK, answer)
}
