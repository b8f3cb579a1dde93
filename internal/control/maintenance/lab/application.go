package lab

import (
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/maintenancelog"
	policylab "dunestep/internal/control/policy/lab"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// application runs beside the policy at a node. It is the production Adapter, in which protections can be
// disabled.
type application struct {
	*maintenancelog.Adapter
	lab  *Lab
	node int
}

// NextActions returns those of the Adapter, or none at the agent of an older build.
func (p *application) NextActions(now lease.ClockReading, v fleet.VoterState) fleet.Actions {
	if p.lab.focus == olderBuild && p.node == voters {
		return fleet.Actions{Next: now.Mono + time.Hour}
	}
	return p.Adapter.NextActions(now, v)
}

// MayGrantLease returns the Adapter's answer, or true without the protection.
func (p *application) MayGrantLease(now lease.ClockReading, agent int, incarnation uint64, note []byte) bool {
	return p.lab.setup.Without == withoutSilentAgentCheck ||
		p.Adapter.MayGrantLease(now, agent, incarnation, note)
}

// RecordsApplied calls the Adapter, with an earlier time at voters if a protection that depends on it is
// disabled.
func (p *application) RecordsApplied(now lease.ClockReading, isNewEpoch bool) {
	if p.node >= 0 && p.node < voters {
		switch p.lab.setup.Without {
		case withoutNotice:
			now.Unix -= maintenance.MinNotice
		case withoutStartTime:
			now.Unix, now.Mono = now.Unix-time.Hour, now.Mono-time.Hour
		}
	}
	p.Adapter.RecordsApplied(now, isNewEpoch)
}

// newApplication returns the application of a starting process of a node.
func (l *Lab) newApplication(n int, now lease.ClockReading) policylab.Application {
	settings := maintenancelog.Settings{
		Self: n, IsVoter: n >= 0 && n < voters, Incarnation: uint64(now.Mono) + 1, MachineNumber: 2,
		Groups: turns, MaxInFlight: maxInFlight, ClockMargin: clockMargin,
		InForce: func() uint64 { return l.versionInForce(n) },
		View:    func(fleet.ClockReading) maintenance.LeaderView { return l.leaderView(n) },
	}
	switch l.setup.Without {
	case withoutInFlightWait:
		settings.MaxInFlight = 1
	case withoutFence:
		settings.ClockMargin,
			settings.Times.Terms = 1, lease.Terms{Duration: 1, MaxKnowledgeAge: 1, MaxClockError: 1}
	case withoutTurns:
		if n >= voters {
			settings.Groups = 0
		}
	}
	p := &application{Adapter: maintenancelog.New(settings), lab: l, node: n}
	if l.setup.Without == withoutStartTime {
		for i := range uint64(31) { // reports of an agent that does not exist
			at := time.Duration(30-i) * time.Second
			report := maintenance.EncodeReport(maintenance.Report{Incarnation: 1, Number: i})
			p.HandleMessage(lease.ClockReading{Unix: now.Unix - at, Mono: now.Mono - at}, 99, report)
		}
	}
	return p
}
