package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"dunestep/decide"
	"dunestep/internal/core"
	"dunestep/internal/figures"
	"dunestep/internal/handover"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/state"
	"dunestep/internal/transport"
)

// process is the running agent: its parts, and what they were told.
type process struct {
	told         instructions
	operatorFile string
	counts       *figures.Figures
	descriptors  *transport.Descriptors
	bodies       *transport.Bodies
	kept         *memory
	datagrams    *transport.Datagrams // nil: agents don't talk to one another
	agent        *routing.Agent
	front        *transport.Front
	hand         *hand
	ops          *transport.OpsSocket // nil: there is none
	served       chan error
}

func classNames(classes []decide.Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}

// start starts all parts, each after those that it needs.
func (p *process) start() error {
	c := p.told
	p.served = make(chan error, 2)
	p.bodies = transport.NewBodies(c.bodies())
	p.descriptors = transport.NewDescriptors(p.sockets(c.Limits), func() { p.agent.Reclaim() })
	file := handover.NewBans(os.TempDir(), c.Name, c.Listen)
	set, err := file.Read()
	if err != nil {
		slog.Warn("what was set by hand is not taken over", "error", err)
	}
	if err := p.startAgent(set.Bans); err != nil {
		return err
	}
	p.front = transport.NewFront(p.descriptors, p.bodies, p.counts, p.agent)
	if err := c.listen(p.front); err != nil {
		return err
	}
	p.hand = &hand{agent: p.agent, front: p.front, counts: p.counts, file: file, set: set}
	if err := p.startOps(); err != nil {
		return err
	}
	go func() { p.served <- p.front.Serve() }()
	p.hand.serves()
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "known", len(p.kept.start.List.Servers))
	return nil
}

// startAgent starts the actors, with the booking servers out that were taken out by hand.
func (p *process) startAgent(bans []core.Ban) (err error) {
	c := p.told
	p.kept = recall(c)
	set := routing.Settings{Deployment: c.Settings, Seed: c.Seed, Discovery: c.Discovery, Start: p.kept.start,
		Proof:       state.Proof{Wanted: c.operator.State.ProveList, Deploy: seconds(c.operator.State.DeployS)},
		Descriptors: p.descriptors, Bodies: p.bodies, Figures: p.counts, Bans: bans, Changed: p.kept.changed,
		Storm: c.storm()}
	if c.Settings.Limits.Peers && c.PeerListen.IsValid() {
		p.datagrams, err = transport.ListenDatagrams(c.PeerListen, protocol.NewAgents(c.Peers, c.PeersAll))
		if err != nil {
			return err
		}
		set.Datagrams = p.datagrams
	}
	if p.agent, err = routing.Start(set); err != nil {
		return err
	}
	p.kept.serves(p.agent)
	if p.datagrams != nil {
		go func() {
			if err := p.datagrams.Receive(p.agent.Hear); err != nil {
				slog.Error("no more datagrams are received", "error", err)
			}
		}()
	}
	return nil
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

// limit keeps within the machine's limits from now on.
func (p *process) limit(l protocol.Limits) {
	limit(l)
	p.descriptors.SetLimit(p.sockets(l))
}

// stop ends the process in order.
func (p *process) stop() {
	p.hand.ends()
	written := p.kept.finish(core.NewDrain(0, p.told.Settings.Classes).End())
	drain(p.front, p.agent, p.told.Settings.Classes)
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
// or when the time for it is over.
func drain(front *transport.Front, agent *routing.Agent, classes []decide.Class) {
	began := time.Now()
	course := core.NewDrain(0, classes)
	_, arrived := course.At(0)
	front.Leave(arrived, true)
	for {
		phase, until := course.At(time.Since(began))
		switch phase {
		case core.Arriving:
			<-time.NewTimer(until - time.Since(began)).C
			front.StopListening()
			continue
		case core.Abandoning:
			slog.Warn("drain cut short: what is unanswered fails now")
			agent.Abandon()
		case core.Over:
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), began.Add(until))
		err := front.Gone(ctx)
		cancel()
		if err == nil {
			return
		}
	}
}
