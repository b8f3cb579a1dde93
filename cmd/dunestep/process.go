package main

import (
	"log/slog"
	"net"
	"os"

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

// process is the running agent with its parts. Its fields are set by start and not changed afterwards, except
// for upgrade, the fields that upgrade's mutex guards, and isReloading, which only the main goroutine uses.
type process struct {
	settings    settings // Limits and operator: guarded by upgrade.mu
	metrics     *metrics.Counters
	descriptors *transport.Descriptors
	bodies      *transport.BodyLimits
	state       *stateKeeper
	datagrams   *transport.Datagrams // nil: agents don't communicate
	agent       *agent.Agent
	listener    *transport.Listener
	manual      *manualControl
	manualFile  *handover.SettingsFile
	fleet       *fleetMember         // nil: this agent is not in a fleet
	ops         *transport.OpsServer // nil: there is no operators' socket
	upgrade     upgrade
	requestIDs  sharedIDs
	serveErrors chan error // the errors that ended the serving of a socket
	isReloading bool       // the files could not be read after SIGHUP, and are read again
}

// start starts all parts, each after those that it needs.
func (p *process) start() error {
	s := p.settings
	p.serveErrors = make(chan error, 2) // one each of the listener and the operators' socket
	p.manualFile = handover.NewSettingsFile(os.TempDir(), s.Name, s.Listen)
	taken := p.takeOver()
	p.bodies = transport.NewBodyLimits(s.bodyLimits())
	p.descriptors = transport.NewDescriptors(s.Limits.Sockets, func() { p.agent.ReleaseIdle() })
	p.applyLimits()
	if err := p.startAgent(taken); err != nil {
		return err
	}
	p.listener = transport.NewListener(p.descriptors, p.bodies, p.metrics, p.agent)
	p.listener.Inherit(taken.listeners)
	if err := s.listen(p.listener); err != nil {
		return err
	}
	p.manual = &manualControl{
		agent: p.agent, listener: p.listener, metrics: p.metrics, file: p.manualFile, set: taken.manual,
		changed: p.notifyManual, fleet: p.fleet,
	}
	if err := p.startFleet(); err != nil {
		return err
	}
	if err := p.startOps(); err != nil {
		return err
	}
	handoverListener := p.listenForHandover()
	go func() { p.serveErrors <- p.listener.Serve() }()
	p.manual.startServing()
	p.serveHandover(handoverListener)
	slog.Info("serving", "name", s.Name, "listen", s.Listen, "known", len(p.state.initial.List.Endpoints))
	return nil
}

// startAgent starts the agent and what it depends on: the previous process's state, the socket for datagrams,
// and this agent's membership in the fleet.
func (p *process) startAgent(taken takenOver) (err error) {
	p.state = startStateKeeper(p.settings, taken.file)
	if p.settings.Settings.Limits.Gossip && p.settings.PeerListen.IsValid() {
		if p.datagrams, err = p.listenDatagrams(taken.datagrams); err != nil {
			return err
		}
	}
	if p.fleet, err = newFleetMember(p.settings, p.datagrams); err != nil {
		return err
	}
	if p.fleet != nil {
		p.fleet.inherited = p.fleet.inherit(taken.fleet, agent.ReadClocks())
	}
	if p.agent, err = agent.Start(p.agentSettings(taken.manual.Disabled)); err != nil {
		return err
	}
	p.state.setAgent(p.agent)
	if p.datagrams != nil {
		go p.receiveDatagrams()
	}
	return nil
}

// agentSettings returns the agent's settings, with the endpoints that operators have disabled.
func (p *process) agentSettings(disabled []routing.DisabledEndpoint) agent.Settings {
	s := p.settings
	set := agent.Settings{
		Deployment: s.Settings, Seed: s.Seed, Discovery: s.Discovery, Initial: p.state.initial,
		Probation: state.ProbationSettings{
			Enabled:    s.operator.State.Probation,
			FullDeploy: seconds(s.operator.State.FullDeployS),
		},
		Descriptors: p.descriptors, Bodies: p.bodies, Metrics: p.metrics, Disabled: disabled,
		OnStateChange: p.state.requestWrite, Overload: s.overloadConfig(), FleetReady: p.fleet.isReady,
		RequestIDs: &p.requestIDs,
	}
	if p.datagrams != nil {
		set.Datagrams = p.datagrams
	}
	if s.operator.Fleet.Enabled && s.operator.Fleet.Policy {
		set.FleetPolicy = func() *policy.Effect { return p.fleet.policyEffect() }
		if s.operator.Fleet.Windows {
			set.Exclusions = func() *balancer.Exclusions { return p.fleet.exclusions() }
			set.FleetCaughtUp = p.fleet.isCaughtUp
		}
		if s.operator.Fleet.RingAssignment {
			set.RingAssignment = func() *balancer.RingAssignment { return p.fleet.ringAssignment() }
		}
	}
	return set
}

// listenDatagrams opens the socket for datagrams, or uses the one that was handed over.
func (p *process) listenDatagrams(handed *net.UDPConn) (*transport.Datagrams, error) {
	peers := protocol.NewPeerAddresses(p.settings.Peers, p.settings.PeersAll)
	if handed != nil && handed.LocalAddr().String() == p.settings.PeerListen.String() {
		return transport.NewDatagrams(handed, peers), nil
	}
	return transport.ListenDatagrams(p.settings.PeerListen, peers)
}

// receiveDatagrams passes datagrams to the fleet member and the agent until the socket is closed.
func (p *process) receiveDatagrams() {
	receive := p.agent.ReceiveDatagram
	if p.fleet != nil {
		receive = p.fleet.receiver(receive)
	}
	p.datagrams.Receive(receive)
}

// startOps opens the operators' socket, where one is configured.
func (p *process) startOps() (err error) {
	if !p.settings.Ops.IsValid() {
		return nil
	}
	if p.ops, err = transport.ListenOps(p.settings.Ops, p.manual); err != nil {
		return err
	}
	go func() { p.serveErrors <- p.ops.Serve() }()
	return nil
}

// close closes the sockets that shutdown leaves open.
func (p *process) close() {
	if p.ops != nil {
		p.ops.Close()
	}
	if p.datagrams != nil {
		p.datagrams.Close()
	}
}
