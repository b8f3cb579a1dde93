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

// shouter says the same to all and counts what comes: a refusal of the policy that is open, for who takes it for one.
type shouter struct {
	words           []byte
	heard, answered map[int]int
	wrong, learned  int
	no              bool
}

func newShouter() *shouter {
	words := append(make([]byte, 6), policy.Answer{Version: 1, Code: policy.UnreadableDocument, Text: "no"}.Encode()...)
	return &shouter{words: words, heard: map[int]int{}, answered: map[int]int{}}
}

func (s *shouter) RecordsApplied(fleet.ClockReading, bool)                    { s.learned++ }
func (s *shouter) LeaseNote() []byte                                          { return []byte("never asked for") }
func (s *shouter) MayGrantLease(fleet.ClockReading, int, uint64, []byte) bool { return !s.no }
func (s *shouter) HandleReply(_ fleet.ClockReading, from int, data []byte) {
	s.take(s.answered, from, data)
}

func (s *shouter) HandleMessage(_ fleet.ClockReading, from int, d []byte) []byte {
	s.take(s.heard, from, d)
	return d
}

func (s *shouter) take(count map[int]int, from int, data []byte) {
	if count[from]++; !bytes.Equal(data, s.words) {
		s.wrong++
	}
}

func (s *shouter) NextActions(now fleet.ClockReading, _ fleet.VoterState) (due fleet.Actions) {
	for to := range 6 {
		due.Messages = append(due.Messages, fleet.Message{To: to, Data: s.words})
	}
	due.Next = now.Mono + 50*time.Millisecond
	return due
}

// Two of six agents, one of them a voter, are of a build that has policies alone: what stands on top at the others
// reaches those that have it, at the same place, and does nothing to the two, also where it looks like a refusal; and
// policies take hold at all.
func TestStack(t *testing.T) {
	own := policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}},
		Classes: []balancer.Class{{Name: "find"}}, Limits: balancer.Limits{MaxAttempts: 3},
	}}
	var seats [6]*policylog.Adapter
	var tops [6]*shouter
	l := fleetlab.New(fleetlab.Options{Agents: 6, Voters: 3, Seed: 5, Application: func(set *fleet.Settings, now fleet.ClockReading) {
		s := policylog.New(policylog.Settings{
			Self: set.Self, IsVoter: set.IsVoter(), Incarnation: set.Incarnation,
			MachineNumber: uint8(len(set.Machines)), Local: own, Times: policy.Times{Terms: set.Terms},
		}, now)
		seats[set.Self] = s
		set.Machines, set.Application = append(set.Machines, s), s
		if set.Self < 4 {
			tops[set.Self] = newShouter()
			set.Application = fleet.StackApplications(s, nil, tops[set.Self])
		}
	}})
	l.StartAll()
	l.Run(10 * time.Second)
	now := l.Reading(1)
	record, err := seats[1].EncodeProposal(now, "p", []byte("format = 1\n[classes.find]\nattempts = 2\n"), now.Unix+time.Second)
	require.NoError(t, err)
	l.ProposeRecord(1, 1, record)
	l.Run(5 * time.Second)
	for a, s := range seats {
		require.Equal(t, policy.StatusAccepted, s.Outcome("p").Status, a)
		require.EqualValues(t, 1, s.Active(l.Reading(a), l.Node(a).Standing(l.Reading(a))).Version)
		if top := tops[a]; top != nil {
			require.Len(t, top.heard, 4)
			require.Len(t, top.answered, 4)
			require.Zero(t, top.wrong)
			require.Positive(t, top.learned)
		}
	}
	tops[0].no, tops[2].no, tops[1].no, tops[3].no = true, true, true, true
	l.Run(10 * time.Second)
	require.Equal(t, lease.Full, l.Node(0).Standing(l.Reading(0)), "of the voter that has nothing on top")
	l.Kill(4)
	l.Run(10 * time.Second)
	require.Equal(t, lease.Floor, l.Node(0).Standing(l.Reading(0)), "all have to agree to a lease")
	require.Empty(t, l.Violations())
}

// What is no message of its kind does nothing.
func FuzzStack(f *testing.F) {
	f.Add([]byte{0x80, 0})
	f.Add(append([]byte{0x81, 70}, make([]byte, 71)...))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := fleet.StackApplications(newShouter(), nil, newShouter())
		s.HandleMessage(fleet.ClockReading{}, 1, data)
		s.HandleReply(fleet.ClockReading{}, 1, data)
	})
}
