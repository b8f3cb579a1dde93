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

	"dunestep/decide"
	"dunestep/fleet"
	"dunestep/fleet/lease"
	"dunestep/fleet/orders"
	"dunestep/fleet/pieces"
	"dunestep/internal/core"
	"dunestep/internal/fleetstore"
	"dunestep/internal/handover"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
	"dunestep/placement"
	"dunestep/policy"
	"dunestep/policy/seat"
	"dunestep/window"
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

// fleetPart is this agent's part in what the fleet agrees on. A nil one takes no part.
type fleetPart struct {
	told      instructions
	datagrams *transport.Datagrams
	actor     atomic.Pointer[routing.Fleet] // nil: not begun

	mu      sync.Mutex
	hand    *hand
	tickets map[uint64]*ticket // by the node's
	latest  []uint64

	orders   *orders.Book    // the actor's
	seat     *seat.Seat      // the same; nil: policies do not hold here
	compared uint64          // the version whose zones were last compared; the same
	servers  []decide.Server // this agent's own list, as it was last looked at; the same
	windows  *windowsPart    // the same; nil: maintenance windows do not
	places   *placesPart     // the same; nil: generations of the ring do not
	inherits *inherited      // the module's actor's; nil: nothing
}

// ticket is a proposal of staff's.
type ticket struct {
	taken   fleet.Reading // when it was seen to be taken: not before it was
	isTaken bool
}

// newFleetPart returns the part of an agent that takes part; nil: it does not.
func newFleetPart(c instructions, d *transport.Datagrams) (*fleetPart, error) {
	if !c.operator.Fleet.On {
		return nil, nil
	}
	if d == nil {
		return nil, errors.New("fleet: the configuration has no way between agents: mayTell, peers and peer_listen")
	}
	p := &fleetPart{told: c, datagrams: d, orders: &orders.Book{}, tickets: map[uint64]*ticket{}}
	return p, p.settings().Check()
}

// settings are the node's.
func (p *fleetPart) settings() fleet.Settings {
	f := p.told.operator.Fleet
	now := time.Now()
	set := fleet.Settings{
		Self: p.told.Settings.Self, Agents: p.told.Settings.Balancers,
		Incarnation: uint64(now.UnixMilli()), Seed: p.told.Seed, Ready: time.Duration(f.ReadyMS) * time.Millisecond,
		Rate: int(f.RateKB << 10), Machines: []fleet.Machine{ordersMachine: p.orders},
		Terms: lease.Terms{
			Length: time.Duration(f.LeaseMS) * time.Millisecond,
			Heard:  time.Duration(f.HeardMS) * time.Millisecond,
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
func (p *fleetPart) begin(h *hand) error {
	if p == nil {
		return nil
	}
	p.hand = h
	set := routing.FleetSettings{Node: p.settings(), Datagrams: p.datagrams, Applied: p.applied}
	p.openStore(&set)
	if p.told.operator.Fleet.Policy {
		p.sit(&set.Node)
	} else {
		p.keepStates(&set.Node)
	}
	actor, err := routing.StartFleet(set)
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
func (p *fleetPart) openStore(set *routing.FleetSettings) {
	folder := p.told.operator.Fleet.Folder
	if folder == "" || !set.Node.Votes() {
		return
	}
	store, err := fleetstore.Open(folder)
	if err != nil {
		slog.Error("fleet: the voter's store can't be used, this agent follows without a vote until it starts "+
			"with an empty folder", "folder", folder, "error", err)
		set.Node.NoVote = true
		return
	}
	set.Store, set.Node.Stored, set.Node.Lasts = store, store.Stored(), true
}

// keepStates has the state of policies, windows and placement kept where they are off here: others may go on
// from a snapshot of this agent's.
func (p *fleetPart) keepStates(n *fleet.Settings) {
	policies := policy.NewMachine()
	n.Machines = append(n.Machines, policies,
		window.NewMachine(func() uint64 { return policies.State().Now.Number }), placement.NewMachine())
}

// sit has policies hold here.
func (p *fleetPart) sit(n *fleet.Settings) {
	p.seat = seat.New(seat.Settings{
		Self: n.Self, Votes: n.Votes(), Incarnation: n.Incarnation,
		Machine: policyMachine,
		Own:     p.told.policyOwn(),
		Times:   p.policyTimes(n.Terms),
	}, routing.ReadClocks())
	p.stack(n)
}

// stack puts windows and placement above the node beside the policies. The machines are there in any case:
// an agent at which they are off keeps their state too, or a snapshot of its would have others forget it.
func (p *fleetPart) stack(n *fleet.Settings) {
	var above [2]fleet.Above
	var windows fleet.Machine = window.NewMachine(p.inForce)
	var places fleet.Machine = placement.NewMachine()
	if p.told.operator.Fleet.Windows {
		s := p.sitWindows(n)
		windows, above[0] = s, s
	}
	if p.told.operator.Fleet.Placement {
		s := p.sitPlaces(n)
		places, above[1] = s, s
	}
	n.Machines = append(n.Machines, p.seat, windows, places)
	n.Above = fleet.Stack(p.seat, above[0], above[1])
}

// inForce is the newest version of the policy that was activated.
func (p *fleetPart) inForce() uint64 { return p.seat.State().Now.Number }

// policyTimes are the policies'.
func (p *fleetPart) policyTimes(terms lease.Terms) policy.Times {
	return policy.Times{Terms: terms, Floor: seconds(p.told.operator.Fleet.FloorS)}
}

// policyOwn is what this agent holds policies against.
func (s instructions) policyOwn() policy.Own {
	return policy.Own{Settings: core.Permitted(s.Settings.Settings), InVain: s.storm().InVain}
}

// reload takes in what SIGHUP has changed of that.
func (p *fleetPart) reload(c instructions) {
	if p == nil || !p.told.operator.Fleet.Policy {
		return
	}
	if actor := p.actor.Load(); actor != nil {
		own := p.told
		own.operator.Storm = c.operator.Storm
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		actor.Do(ctx, func(*fleet.Node, fleet.Reading) { p.seat.Change(own.policyOwn()) })
	}
}

// hear parts the fleet's datagrams from the module's.
func (p *fleetPart) hear(module func(protocol.Datagram)) func(protocol.Datagram) {
	return func(d protocol.Datagram) {
		switch actor := p.actor.Load(); {
		case d.Data[0] != pieces.First:
			module(d)
		case actor != nil:
			actor.Hear(d)
		}
	}
}

// leave has the other agents told that this process goes.
func (p *fleetPart) leave() {
	if p == nil {
		return
	}
	if actor := p.actor.Load(); actor != nil {
		ctx, cancel := context.WithTimeout(context.Background(), leaveWait)
		defer cancel()
		actor.Do(ctx, func(n *fleet.Node, _ fleet.Reading) { n.Leave() })
	}
}

// ready tells whether this agent has what was agreed, as far as it can be had. While a process before it
// still takes part for it there is nothing to wait for.
func (p *fleetPart) ready() bool {
	if p == nil {
		return true
	}
	actor := p.actor.Load()
	return actor == nil || actor.Ready()
}

// knows tells whether this process has what was agreed, handed over or from others, or has tried for long
// enough.
func (p *fleetPart) knows() bool {
	if p == nil || p.inherits != nil {
		return true
	}
	actor := p.actor.Load()
	return actor == nil || actor.Knows()
}

// applied has this agent go by the fleet's orders, beside what it was told by hand itself: the last word
// counts. The actor calls it.
func (p *fleetPart) applied() {
	p.tellWindows()
	p.tellZones()
	var bans []core.Ban
	for _, o := range p.orders.All() {
		b := core.Ban{ID: o.Server, Set: o.At}
		if !o.Down {
			b = core.Ban{ID: o.Server, Lifted: o.At}
		}
		bans = append(bans, b)
	}
	if len(bans) > 0 {
		go p.hand.adopt(handover.Hand{Bans: bans})
	}
}

// Fleet implements transport.Operations.
func (h *hand) Fleet(ctx context.Context, call protocol.OpsCall) (int, []byte) {
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
	case protocol.OpsFleetDown, protocol.OpsFleetUp:
		return p.order(ctx, actor, call)
	case protocol.OpsWindows, protocol.OpsWindowAsk, protocol.OpsWindowCheck, protocol.OpsWindowStop,
		protocol.OpsWindowOutcome:
		return p.windowsCall(ctx, actor, call)
	}
	return http.StatusNotFound, nil // of a part that is off
}

func (p *fleetPart) status(ctx context.Context, actor *routing.Fleet) (int, []byte) {
	var s fleet.Status
	var book []orders.Order
	var ring *ringStatus
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.Reading) {
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
func (p *fleetPart) order(ctx context.Context, actor *routing.Fleet, call protocol.OpsCall) (int, []byte) {
	if !p.hand.agent.Listed(ctx, call.ID) {
		return http.StatusNotFound, []byte("no such booking server was ever listed\n")
	}
	raw, err := orders.Order{
		Server: call.ID, Down: call.Kind == protocol.OpsFleetDown,
		By: p.told.Settings.Self, At: unixNow(),
	}.Encode()
	if err != nil {
		return http.StatusBadRequest, []byte(err.Error() + "\n")
	}
	var t fleet.Ticket
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.Reading) {
		if t, err = n.Propose(now, ordersMachine, raw, proposeWithin); err == nil {
			p.keep(uint64(t))
		}
	}) {
		return late()
	}
	if err != nil {
		return http.StatusServiceUnavailable, []byte(err.Error() + "\n")
	}
	slog.Info("fleet: order by hand", "server", call.ID, "down", call.Kind == protocol.OpsFleetDown,
		"ticket", uint64(t))
	return answerJSON(http.StatusAccepted, protocol.FleetProposed{
		Ticket: uint64(t),
		Result: fleet.Waiting.String(),
	})
}

// keep remembers a ticket, and forgets the oldest.
func (p *fleetPart) keep(t uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickets[t] = &ticket{}
	if p.latest = append(p.latest, t); len(p.latest) > mostTickets {
		delete(p.tickets, p.latest[0])
		p.latest = p.latest[1:]
	}
}

// ask tells what became of a proposal.
func (p *fleetPart) ask(ctx context.Context, actor *routing.Fleet, number uint64) (int, []byte) {
	p.mu.Lock()
	t := p.tickets[number]
	p.mu.Unlock()
	if t == nil {
		return http.StatusNotFound, []byte("no such ticket\n")
	}
	answer := protocol.FleetProposed{Ticket: number}
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.Reading) {
		r := n.Result(fleet.Ticket(number))
		if answer.Result = r.String(); r != fleet.Taken {
			return
		}
		if !t.isTaken {
			t.isTaken, t.taken = true, now
		}
		answer.InForce = n.Passed(t.taken, now)
	}) {
		return late()
	}
	return answerJSON(http.StatusOK, answer)
}
