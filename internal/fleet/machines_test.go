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

// book is a machine that notes the beginnings of what it is told.
type book struct{ said []string }

func (b *book) Apply(_ uint64, data []byte) {
	b.said = append(b.said, string(data[:min(len(data), 2)]))
}

func (b *book) Snapshot() []byte { return []byte(strings.Join(b.said, " ")) }

func (b *book) Restore(data []byte) error {
	b.said = strings.Fields(string(data))
	return nil
}

// earlier plays five agents of which some are of a build that does not know the second machine; books are those of
// the others.
func earlier(of *[5]bool) (l *fleetlab.Lab, books *[5]*book) {
	books = &[5]*book{}
	l = fleetlab.New(fleetlab.Options{Agents: 5, Voters: 3, Seed: 8, Application: func(set *fleet.Settings, _ fleet.ClockReading) {
		books[set.Self], set.BytesPerSecond, set.BurstBytes = nil, 4<<20, 2<<20
		if !of[set.Self] {
			books[set.Self] = &book{}
			set.Machines = append(set.Machines, books[set.Self])
		}
	}})
	l.StartAll()
	l.Run(10 * time.Second)
	return l, books
}

// say proposes records one after the other.
func say(t *testing.T, l *fleetlab.Lab, machine uint8, records ...string) {
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

func many(first, n, size int) (all []string) {
	for i := first; i < first+n; i++ {
		all = append(all, fmt.Sprintf("%08d%s", i, bytes.Repeat([]byte{'.'}, size)))
	}
	return all
}

// A voter of a build that does not know a machine compacts its log: whoever goes on from its snapshot has that machine's
// state all the same, another agent and the voter's own next build, and again from a snapshot made of that one.
func TestEarlierBuildKeepsWhatItDoesNotKnow(t *testing.T) {
	of := &[5]bool{true, false, false, false, true}
	l, books := earlier(of)
	var want []string
	for i, round := range []string{"a", "b"} {
		say(t, l, 1, round+"1", round+"2")
		want = append(want, round+"1", round+"2")
		say(t, l, 0, many(100*i, 100, 8<<10)...) // both logs are compacted, by all
		l.Run(time.Second)
		require.Equal(t, want, books[2].said)

		l.Lose(3) // and whoever comes back is told by the voter of the earlier build alone
		for a := range 5 {
			if a != 0 && a != 3 {
				l.Isolate(a, true)
			}
		}
		l.World.Start(3)
		l.Run(4 * time.Second)
		require.Equal(t, want, books[3].said, "round %d: from the voter's snapshot", i)
		for a := range 5 {
			l.Isolate(a, false)
		}
		l.Run(4 * time.Second)
		l.Lose(0) // the earlier build goes on from the others' snapshot itself
		l.World.Start(0)
		l.Run(6 * time.Second)
	}
	for _, a := range []int{0, 4} { // the next build, with what the earlier one wrote
		of[a] = false
		l.Kill(a)
		l.World.Start(uint32(a))
	}
	l.Settle(10 * time.Second)
	for a := range 5 {
		require.Equal(t, want, books[a].said, a)
	}
	require.Empty(t, l.Violations())
}

// Where there is no room to keep more of it, a voter of an earlier build makes no snapshot, and stands down once its log is
// full, rather than have it forgotten; it acts within the floor, and the others go on.
func TestEarlierBuildStandsDown(t *testing.T) {
	of := &[5]bool{true, false, false, false, false}
	l, books := earlier(of)
	say(t, l, 1, many(0, 150, 8<<10)...)
	l.Run(6 * time.Second)
	require.Nil(t, l.Node(0).Status(l.Reading(0)).Voter)
	require.Equal(t, lease.Floor, l.Node(0).Standing(l.Reading(0)))
	say(t, l, 1, "xx")
	require.Equal(t, lease.Full, l.Node(4).Standing(l.Reading(4)))
	of[0] = false
	l.Kill(0)
	l.Settle(10 * time.Second)
	require.Len(t, books[0].said, 151)
	require.Equal(t, books[2].said, books[0].said)
	require.NotNil(t, l.Node(0).Status(l.Reading(0)).Voter)
}
