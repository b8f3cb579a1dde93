package lab

import (
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/maintenancelog"
	policylab "dunestep/internal/control/policy/lab"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// application is what runs beside the policy at a node: the Adapter as it is shipped, with protections
// removed.
type application struct {
	*maintenancelog.Adapter
	lab  *Lab
	node int
}

// NextActions is the Adapter's; an agent of an older build has none.
func (p *application) NextActions(now lease.ClockReading, v fleet.VoterState) fleet.Actions {
	if p.lab.focus == olderBuild && p.node == voters {
		return fleet.Actions{Next: now.Mono + time.Hour}
	}
	return p.Adapter.NextActions(now, v)
}

// MayGrantLease is the Adapter's.
func (p *application) MayGrantLease(now lease.ClockReading, agent int, incarnation uint64, note []byte) bool {
	return p.lab.setup.Without == withoutStrangers || p.Adapter.MayGrantLease(now, agent, incarnation, note)
}

// RecordsApplied is the Adapter's, at an earlier time where a protection is removed that depends on it.
func (p *application) RecordsApplied(now lease.ClockReading, anew bool) {
	if p.node >= 0 && p.node < voters {
		switch p.lab.setup.Without {
		case withoutNotice:
			now.Unix -= maintenance.MinNotice
		case withoutBegin:
			now.Unix, now.Mono = now.Unix-time.Hour, now.Mono-time.Hour
		}
	}
	p.Adapter.RecordsApplied(now, anew)
}

// newApplication is the application of a process that starts.
func (l *Lab) newApplication(n int, now lease.ClockReading) policylab.Application {
	set := maintenancelog.Settings{
		Self: n, IsVoter: n >= 0 && n < voters, Incarnation: uint64(now.Mono) + 1, MachineNumber: 2,
		Turns: turns, MaxInFlight: maxInFlight, ClockMargin: clockMargin,
		InForce: func() uint64 { return l.inForce(n) },
		View:    func(fleet.ClockReading) maintenance.LeaderView { return l.view(n) },
	}
	switch l.setup.Without {
	case withoutLinger:
		set.MaxInFlight = 1
	case withoutFence:
		set.ClockMargin, set.Times.Terms = 1, lease.Terms{Duration: 1, MaxKnowledgeAge: 1, MaxClockError: 1}
	case withoutTurns:
		if n >= voters {
			set.Turns = 0
		}
	}
	p := &application{Adapter: maintenancelog.New(set), lab: l, node: n}
	if l.setup.Without == withoutBegin {
		for i := range uint64(31) { // of an agent that does not exist
			at := time.Duration(30-i) * time.Second
			report := maintenance.EncodeReport(maintenance.Report{Incarnation: 1, Number: i})
			p.HandleMessage(lease.ClockReading{Unix: now.Unix - at, Mono: now.Mono - at}, 99, report)
		}
	}
	return p
}
