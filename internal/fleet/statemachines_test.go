package fleet_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/fleetlab"
	"dunestep/internal/fleet/lease"
)

// recorder is a state machine whose state is the first two bytes of each of its records.
type recorder struct{ records []string }

func (r *recorder) Apply(_ uint64, data []byte) {
	r.records = append(r.records, string(data[:min(len(data), 2)]))
}

func (r *recorder) Snapshot() []byte { return []byte(strings.Join(r.records, " ")) }

func (r *recorder) Restore(data []byte) error {
	r.records = strings.Fields(string(data))
	return nil
}

// newMixedFleet runs five agents. Those selected by isEarlier are of a build that does not know the second state machine;
// recorders are the second state machines of the others.
func newMixedFleet(isEarlier *[5]bool) (l *fleetlab.Lab, recorders *[5]*recorder) {
	recorders = &[5]*recorder{}
	l = fleetlab.New(fleetlab.Options{Agents: 5, Voters: 3, Seed: 8, Application: func(set *fleet.Settings, _ fleet.ClockReading) {
		recorders[set.Self], set.BytesPerSecond, set.BurstBytes = nil, 4<<20, 2<<20
		if !isEarlier[set.Self] {
			recorders[set.Self] = &recorder{}
			set.Machines = append(set.Machines, recorders[set.Self])
		}
	}})
	l.StartAll()
	l.Run(10 * time.Second)
	return l, recorders
}

// propose proposes records one after the other, and waits until each is applied.
func propose(t *testing.T, l *fleetlab.Lab, machine uint8, records ...string) {
	for _, r := range records {
		before := l.Node(2).Applied().Seq
		require.True(t, l.ProposeRecord(2, machine, []byte(r)))
		for range 300 {
			if l.Node(2).Applied().Seq > before {
				break
			}
			l.Run(10 * time.Millisecond)
		}
		require.Greater(t, l.Node(2).Applied().Seq, before)
	}
}

// manyRecords returns n numbered records, padded by size bytes.
func manyRecords(first, n, size int) (all []string) {
	for i := first; i < first+n; i++ {
		all = append(all, fmt.Sprintf("%08d%s", i, bytes.Repeat([]byte{'.'}, size)))
	}
	return all
}

// A voter of a build that does not know a state machine compacts its log. Its snapshot still contains the state of that
// state machine: another agent and the voter's own later build restore it, also after the earlier build has itself restored
// it from a snapshot.
func TestEarlierBuildKeepsUnknownState(t *testing.T) {
	isEarlier := &[5]bool{true, false, false, false, true}
	l, recorders := newMixedFleet(isEarlier)
	var want []string
	for i, round := range []string{"a", "b"} {
		propose(t, l, 1, round+"1", round+"2")
		want = append(want, round+"1", round+"2")
		propose(t, l, 0, manyRecords(100*i, 100, 8<<10)...) // the voters' log and the replica are compacted at all agents
		l.Run(time.Second)
		require.Equal(t, want, recorders[2].records)

		l.KillAndEraseDisk(3) // when it restarts, it receives the records from the voter of the earlier build alone
		for a := range 5 {
			if a != 0 && a != 3 {
				l.Isolate(a, true)
			}
		}
		l.World.Start(3)
		l.Run(4 * time.Second)
		require.Equal(t, want, recorders[3].records, "round %d: from the voter's snapshot", i)
		for a := range 5 {
			l.Isolate(a, false)
		}
		l.Run(4 * time.Second)
		l.KillAndEraseDisk(0) // the earlier build restores a snapshot of the other agents
		l.World.Start(0)
		l.Run(6 * time.Second)
	}
	for _, a := range []int{0, 4} { // the later build starts with the data that the earlier build wrote
		isEarlier[a] = false
		l.Kill(a)
		l.World.Start(uint32(a))
	}
	l.RecoverAndCheck(10 * time.Second)
	for a := range 5 {
		require.Equal(t, want, recorders[a].records, a)
	}
	require.Empty(t, l.Violations())
}

// A voter of an earlier build that cannot keep more unknown records makes no more snapshots, as these would lack records.
// Once its log is full it stops voting and acts within the floor; the other agents continue.
func TestEarlierBuildStopsVotingWhenFull(t *testing.T) {
	isEarlier := &[5]bool{true, false, false, false, false}
	l, recorders := newMixedFleet(isEarlier)
	propose(t, l, 1, manyRecords(0, 150, 8<<10)...)
	l.Run(6 * time.Second)
	require.Nil(t, l.Node(0).Status(l.Reading(0)).Voter)
	require.Equal(t, lease.Floor, l.Node(0).Standing(l.Reading(0)))
	propose(t, l, 1, "xx")
	require.Equal(t, lease.Full, l.Node(4).Standing(l.Reading(4)))
	isEarlier[0] = false
	l.Kill(0)
	l.RecoverAndCheck(10 * time.Second)
	require.Len(t, recorders[0].records, 151)
	require.Equal(t, recorders[2].records, recorders[0].records)
	require.NotNil(t, l.Node(0).Status(l.Reading(0)).Voter)
}
