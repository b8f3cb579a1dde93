package fleet_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/policylog"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/fleetlab"
	"dunestep/internal/fleet/lease"
)

// broadcaster is an application that sends the same message to all agents and counts the messages that it receives. An
// agent that processed the message as one of the fleet policy would read it as the rejection of the open proposal.
type broadcaster struct {
	message           []byte
	received, replies map[int]int // by the sender
	wrong, applied    int
	deniesLeases      bool
}

func newBroadcaster() *broadcaster {
	message := append(make([]byte, 6), policy.Answer{Version: 1, Code: policy.UnreadableDocument, Text: "no"}.Encode()...)
	return &broadcaster{message: message, received: map[int]int{}, replies: map[int]int{}}
}

func (b *broadcaster) RecordsApplied(fleet.ClockReading, bool) { b.applied++ }
func (b *broadcaster) LeaseNote() []byte                       { return []byte("never sent") }
func (b *broadcaster) MayGrantLease(fleet.ClockReading, int, uint64, []byte) bool {
	return !b.deniesLeases
}

func (b *broadcaster) HandleReply(_ fleet.ClockReading, from int, data []byte) {
	b.count(b.replies, from, data)
}

func (b *broadcaster) HandleMessage(_ fleet.ClockReading, from int, d []byte) []byte {
	b.count(b.received, from, d)
	return d
}

func (b *broadcaster) count(counts map[int]int, from int, data []byte) {
	if counts[from]++; !bytes.Equal(data, b.message) {
		b.wrong++
	}
}

func (b *broadcaster) NextActions(now fleet.ClockReading, _ fleet.VoterState) (actions fleet.Actions) {
	for to := range 6 {
		actions.Messages = append(actions.Messages, fleet.Message{To: to, Data: b.message})
	}
	actions.Next = now.Mono + 50*time.Millisecond
	return actions
}

// Two of six agents, one of them a voter, are of a build with the fleet policy alone. The other four also have a second
// application, in slot 1. Its messages reach the agents that have it, and have no effect at the two, although they look
// like the rejection of a proposal. Policies become active at all agents.
func TestStackedApplicationsBesideEarlierBuild(t *testing.T) {
	own := policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}},
		Classes: []balancer.Class{{Name: "find"}}, Limits: balancer.Limits{MaxAttempts: 3},
	}}
	var adapters [6]*policylog.Adapter
	var broadcasters [6]*broadcaster
	l := fleetlab.New(fleetlab.Options{Agents: 6, Voters: 3, Seed: 5, Application: func(set *fleet.Settings, now fleet.ClockReading) {
		s := policylog.New(policylog.Settings{
			Self: set.Self, IsVoter: set.IsVoter(), Incarnation: set.Incarnation,
			MachineNumber: uint8(len(set.Machines)), Local: own, Times: policy.Times{Terms: set.Terms},
		}, now)
		adapters[set.Self] = s
		set.Machines, set.Application = append(set.Machines, s), s
		if set.Self < 4 {
			broadcasters[set.Self] = newBroadcaster()
			set.Application = fleet.StackApplications(s, nil, broadcasters[set.Self])
		}
	}})
	l.StartAll()
	l.Run(10 * time.Second)
	now := l.Reading(1)
	record, err := adapters[1].EncodeProposal(now, "p", []byte("format = 1\n[classes.find]\nattempts = 2\n"), now.Unix+time.Second)
	require.NoError(t, err)
	l.ProposeRecord(1, 1, record)
	l.Run(5 * time.Second)
	for a, s := range adapters {
		require.Equal(t, policy.StatusAccepted, s.Outcome("p").Status, a)
		require.EqualValues(t, 1, s.Active(l.Reading(a), l.Node(a).Standing(l.Reading(a))).Version)
		if b := broadcasters[a]; b != nil {
			require.Len(t, b.received, 4)
			require.Len(t, b.replies, 4)
			require.Zero(t, b.wrong)
			require.Positive(t, b.applied)
		}
	}
	broadcasters[0].deniesLeases, broadcasters[2].deniesLeases, broadcasters[1].deniesLeases, broadcasters[3].deniesLeases = true, true, true, true
	l.Run(10 * time.Second)
	require.Equal(t, lease.Full, l.Node(0).Standing(l.Reading(0)), "granted by the voter of the build with the fleet policy alone")
	l.Kill(4)
	l.Run(10 * time.Second)
	require.Equal(t, lease.Floor, l.Node(0).Standing(l.Reading(0)), "a lease is granted only if all applications agree")
	require.Empty(t, l.Violations())
}

// FuzzStack checks that malformed messages cause no panic.
func FuzzStack(f *testing.F) {
	f.Add([]byte{0x80, 0})
	f.Add(append([]byte{0x81, 70}, make([]byte, 71)...))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := fleet.StackApplications(newBroadcaster(), nil, newBroadcaster())
		s.HandleMessage(fleet.ClockReading{}, 1, data)
		s.HandleReply(fleet.ClockReading{}, 1, data)
	})
}
