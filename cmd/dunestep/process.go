package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/handover"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/state"
	"dunestep/internal/transport"
)

// process is the running agent: its parts, and what they were told.
type process struct {
	told        settings
	counts      *metrics.Figures
	descriptors *transport.Descriptors
	bodies      *transport.BodyLimits
	kept        *stateKeeper
	datagrams   *transport.Datagrams // nil: agents don't talk to one another
	agent       *agent.Agent
	front       *transport.Listener
	hand        *manualControl
	fleet       *fleetMember         // nil: it takes no part
	ops         *transport.OpsServer // nil: there is none
	served      chan error
	file        *handover.SettingsFile
	up          upgrade
}

func classNames(classes []balancer.Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}

// start starts all parts, each after those that it needs.
func (p *process) start() error {
	c := p.told
	p.served = make(chan error, 2)
	p.file = handover.NewSettingsFile(os.TempDir(), c.Name, c.Listen)
	got := p.meet()
	p.bodies = transport.NewBodyLimits(c.bodies())
	p.descriptors = transport.NewDescriptors(c.Limits.Sockets, func() { p.agent.ReleaseIdle() })
	p.limit()
	if err := p.startAgent(got); err != nil {
		return err
	}
	p.front = transport.NewListener(p.descriptors, p.bodies, p.counts, p.agent)
	p.front.Inherit(got.listeners)
	if err := c.listen(p.front); err != nil {
		return err
	}
	p.hand = &manualControl{
		agent: p.agent, front: p.front, counts: p.counts, file: p.file, set: got.hand,
		changed: p.changed, fleet: p.fleet,
	}
	if err := p.beginFleet(); err != nil {
		return err
	}
	if err := p.startOps(); err != nil {
		return err
	}
	meeting := p.opened()
	go func() { p.served <- p.front.Serve() }()
	p.hand.serves()
	p.meets(meeting)
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "known", len(p.kept.start.List.Endpoints))
	return nil
}

// startAgent starts the actors, with the booking servers out that were taken out by hand.
func (p *process) startAgent(got takeover) (err error) {
	c := p.told
	p.kept = recall(c, got.file)
	set := agent.Settings{
		Deployment: c.Settings, Seed: c.Seed, Discovery: c.Discovery, Initial: p.kept.start,
		Probation:   state.ProbationSettings{Enabled: c.operator.State.ProveList, FullDeploy: seconds(c.operator.State.DeployS)},
		Descriptors: p.descriptors, Bodies: p.bodies, Metrics: p.counts, Disabled: got.hand.Disabled,
		OnStateChange: p.kept.changed, Overload: c.storm(), FleetReady: func() bool { return p.fleet.ready() },
	}
	if c.operator.Fleet.On && c.operator.Fleet.Policy {
		set.FleetPolicy = func() *policy.Effect { return p.fleet.effect() }
		if c.operator.Fleet.Windows {
			set.Exclusions = func() *balancer.Exclusions { return p.fleet.avoiding() }
			set.FleetCaughtUp = func() bool { return p.fleet.knows() }
		}
		if c.operator.Fleet.Placement {
			set.RingAssignment = func() *balancer.RingAssignment { return p.fleet.placed() }
		}
	}
	if c.Settings.Limits.Gossip && c.PeerListen.IsValid() {
		if p.datagrams, err = p.listenDatagrams(got.datagrams); err != nil {
			return err
		}
		set.Datagrams = p.datagrams
	}
	if p.fleet, err = newFleetPart(c, p.datagrams); err != nil {
		return err
	}
	if p.fleet != nil {
		p.fleet.inherits = p.fleet.inherit(got.fleet, agent.ReadClocks())
	}
	if p.agent, err = agent.Start(set); err != nil {
		return err
	}
	p.kept.serves(p.agent)
	if p.datagrams != nil {
		hear := p.agent.ReceiveDatagram
		if p.fleet != nil {
			hear = p.fleet.hear(hear)
		}
		go func() {
			if err := p.datagrams.Receive(hear); err != nil {
				slog.Error("datagram receiver stopped", "error", err)
			}
		}()
	}
	return nil
}

// listenDatagrams opens the socket for datagrams, or takes over the one that it was handed.
func (p *process) listenDatagrams(handed *net.UDPConn) (*transport.Datagrams, error) {
	agents := protocol.NewPeerAddresses(p.told.Peers, p.told.PeersAll)
	if handed != nil && handed.LocalAddr().String() == p.told.PeerListen.String() {
		return transport.NewDatagrams(handed, agents), nil
	}
	return transport.ListenDatagrams(p.told.PeerListen, agents)
}

// startOps opens the operators' door, where there is to be one.
func (p *process) startOps() (err error) {
	if !p.told.Ops.IsValid() {
		return nil
	}
	if p.ops, err = transport.ListenOps(p.told.Ops, p.hand); err == nil {
		go func() { p.served <- p.ops.Serve() }()
	}
	return err
}

// sockets is how many descriptors there are but for the ops socket's.
func (p *process) sockets(l protocol.Limits) int {
	if p.told.Ops.IsValid() {
		return l.Sockets - transport.OpsDescriptors
	}
	return l.Sockets
}

// limit keeps within this process's part of the machine's limits from now on.
func (p *process) limit() {
	p.up.mu.Lock()
	defer p.up.mu.Unlock()
	part := p.told
	part.Limits = p.up.share.of(part.Limits)
	limit(part.Limits)
	p.descriptors.SetLimit(p.sockets(part.Limits))
	p.bodies.Set(part.bodies())
}

// stop ends the process in order.
func (p *process) stop() {
	p.hand.ends()
	p.fleet.leave()
	written := p.kept.finish(routing.NewShutdownPlan(0, p.told.Settings.Classes).Deadline())
	drain(p.front, p.agent, p.told.Settings.Classes, p.ends())
	<-written
}

func (p *process) close() {
	if p.ops != nil {
		p.ops.Close()
	}
	if p.datagrams != nil {
		p.datagrams.Close()
	}
}

// drain goes through the phases of a planned restart. It returns when all that was taken has been answered,
// or when the time for it is over. Taken: another process takes the clients that come.
func drain(front *transport.Listener, agent *agent.Agent, classes []balancer.Class, taken bool) {
	began := time.Now()
	course := routing.NewShutdownPlan(0, classes)
	abandon := sync.OnceFunc(func() {
		slog.Warn("drain deadline reached: unanswered requests fail now")
		agent.FailAll()
	})
	_, arrived := course.PhaseAt(0)
	front.StartFinalDrain(arrived)
	if taken {
		front.StopListening()
	}
	for {
		phase, until := course.PhaseAt(time.Since(began))
		switch phase {
		case routing.ShutdownAccepting:
			if !taken {
				<-time.NewTimer(until - time.Since(began)).C
				front.StopListening()
				continue
			}
		case routing.ShutdownFailing:
			abandon()
		case routing.ShutdownOver:
			abandon() // where the machine has kept it waiting for all of that phase
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), began.Add(until))
		err := front.WaitClosed(ctx)
		cancel()
		if err == nil {
			return
		}
	}
}
