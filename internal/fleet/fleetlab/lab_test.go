package fleetlab

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/simnet"
)

func play(o Options) *Lab {
	l := New(o)
	l.StartAll()
	l.Run(10 * time.Second)
	return l
}

// A fleet that nothing ails agrees, holds leases and says little.
func TestCalm(t *testing.T) {
	for _, agents := range []int{5, 50, 300} {
		l := play(Options{Agents: agents, Voters: 3, Seed: 1})
		l.Run(10 * time.Second)
		before := l.World.Traffic()
		l.Run(20 * time.Second)
		said := l.World.Traffic()
		datagrams := float64(said.Datagrams-before.Datagrams) / float64(agents) / 20
		bytes := float64(said.Bytes-before.Bytes) / float64(agents) / 20
		require.Less(t, datagrams, 6.0)
		require.Less(t, bytes, 600.0)
		for a := range min(agents, 12) {
			require.True(t, l.Propose(a))
		}
		began := l.World.Now()
		var all time.Duration
		for all = 0; all < 3*time.Second && l.have() < agents; all = l.World.Now().Sub(began) {
			l.Run(10 * time.Millisecond)
		}
		t.Logf("%d agents: quiet %.2f datagrams, %.0f bytes an agent and second; 12 records at all after %v", agents,
			datagrams, bytes, all)
		l.Settle(5 * time.Second)
		require.Equal(t, map[fleet.Result]int{fleet.Committed: min(agents, 12)}, l.Results())
		require.Empty(t, l.Violations())
	}
}

// What followers and voters send and are sent when nothing happens, a second. With LONG_TESTS in fleets of up to 5,000.
func TestPrice(t *testing.T) {
	fleets := []int{5, 50}
	if os.Getenv("LONG_TESTS") != "" {
		fleets = []int{5, 50, 300, 1000, 5000}
	}
	for _, agents := range fleets {
		for _, voters := range []int{3, 5} {
			l := play(Options{Agents: agents, Voters: voters, Seed: 1})
			l.Run(20 * time.Second)
			const length = 20
			before := make([][2]simnet.Traffic, agents)
			for a := range before {
				before[a][0], before[a][1] = l.World.TrafficOf(uint32(a))
			}
			l.Run(length * time.Second)
			var rates [2][4]float64 // followers, voters: datagrams and bytes sent, and the same heard
			for a := range before {
				of := 0
				if l.votes(a) {
					of = 1
				}
				sent, heard := l.World.TrafficOf(uint32(a))
				for i, c := range []simnet.Traffic{sent, heard} {
					rates[of][2*i] += float64(c.Datagrams-before[a][i].Datagrams) / length
					rates[of][2*i+1] += float64(c.Bytes-before[a][i].Bytes) / length
				}
			}
			for i := range 4 {
				rates[0][i] /= max(float64(agents-voters), 1)
				rates[1][i] /= float64(voters)
			}
			t.Logf("%d agents, %d voters, datagrams and bytes a second sent, heard: a follower %.1f, a voter %.1f", agents, voters,
				rates[0], rates[1])
			require.Less(t, rates[0][0], 4.0)
			require.Less(t, rates[1][0], 20+0.4*float64(agents)/float64(voters)*2)
			require.Less(t, rates[1][2], 20+0.4*float64(agents)/float64(voters)*2, "who gets no answer asks more")
		}
	}
}

// have is how many agents have all 12 records of a calm fleet, or as many as there are agents.
func (l *Lab) have() (n int) {
	for a := range l.hosts {
		if l.Node(a).Applied().Seq >= uint64(min(len(l.hosts), 12)) {
			n++
		}
	}
	return n
}

// Whatever happens to the network, the processes, their clocks and disks, what is promised holds.
func TestHunt(t *testing.T) {
	seeds, agents := uint64(40), []int{5, 9}
	if os.Getenv("LONG_TESTS") != "" {
		seeds, agents = 1000, []int{5, 9, 50}
	}
	for _, n := range agents {
		for seed := range seeds {
			l := play(Options{Agents: n, Voters: min(n/2|1, 5), Seed: seed})
			l.Hunt(60 * time.Second)
			l.Settle(40 * time.Second)
			require.Empty(t, l.Violations(), l.Report())
		}
	}
}

// Each protection that is taken out is missed within 200 seeds: the judge can fail.
func TestProtectionsAreMissed(t *testing.T) {
	for name, weaken := range map[string]func(*fleet.Settings){
		"leases last longer than agreed": func(s *fleet.Settings) { s.Terms.Duration = 12 * time.Second },
		"voters grant on what they knew": func(s *fleet.Settings) { s.Terms.MaxKnowledgeAge, s.Terms.MaxPause = time.Minute, time.Hour },
	} {
		missed := false
		for seed := uint64(0); seed < 200 && !missed; seed++ {
			l := play(Options{Agents: 7, Voters: 3, Seed: seed, Weaken: weaken})
			l.Hunt(60 * time.Second)
			missed = len(l.Violations()) > 0
		}
		require.True(t, missed, name)
	}
}

// An agent that was paused for a minute, across a record that the others agreed on, sees by itself that its lease ran
// out, before it decides anything.
func TestPausedAcrossARecord(t *testing.T) {
	l := play(Options{Agents: 5, Voters: 3, Seed: 3})
	const paused = 2
	require.Equal(t, lease.Full, l.Node(paused).Standing(l.Reading(paused)))
	l.World.Pause(paused)
	l.Run(time.Second)
	require.True(t, l.Propose(0))
	l.Run(59 * time.Second)
	require.Equal(t, lease.Floor, l.Node(paused).Standing(l.Reading(paused)), "before it has heard anything")
	require.Zero(t, l.Node(paused).Applied().Seq)
	l.World.Resume(paused)
	l.Settle(5 * time.Second)
	require.Empty(t, l.Violations())
}

// The smaller half of a fleet is cut off, with one voter: it comes to the floor and agrees on nothing; the larger goes
// on, also where the leader was cut off with the smaller one.
func TestSmallerHalfCutOff(t *testing.T) {
	for _, withLeader := range []bool{false, true} {
		l := play(Options{Agents: 9, Voters: 3, Seed: 5})
		leader := l.Leader()
		require.GreaterOrEqual(t, leader, 0)
		cut := []int{1, 2}
		for _, v := range l.voters() {
			if (v == leader) == withLeader && len(cut) < 3 {
				cut = append(cut, v)
			}
		}
		l.Partition(cut, true)
		l.Run(6 * time.Second)
		for _, a := range cut {
			require.Equal(t, lease.Floor, l.Node(a).Standing(l.Reading(a)))
		}
		require.True(t, l.Propose(1), "on the smaller side")
		require.True(t, l.Propose(8))
		l.Run(6 * time.Second)
		require.Equal(t, map[fleet.Result]int{fleet.NotCommitted: 1, fleet.Committed: 1}, l.Results())
		l.Partition(cut, false)
		l.Settle(8 * time.Second)
		require.Empty(t, l.Violations())
	}
}

// All processes end at once, and come back with their disks: nothing that was told as taken is lost.
func TestAllAtOnce(t *testing.T) {
	l := play(Options{Agents: 9, Voters: 3, Seed: 6})
	for a := range 9 {
		l.Propose(a)
	}
	l.Run(time.Second)
	require.Equal(t, map[fleet.Result]int{fleet.Committed: 9}, l.Results())
	for a := range 9 {
		l.Kill(a)
	}
	l.Run(time.Second)
	l.Settle(10 * time.Second)
	require.Empty(t, l.Violations())
	require.Len(t, l.hosts[8].tally.times, 9)
}

// All agents are restarted one after the other, each as the one before says that it is ready, and voters keep nothing: the
// log is not lost.
func TestRoll(t *testing.T) {
	for seed := range uint64(20) {
		l := play(Options{Agents: 5, Voters: 3, Volatile: true, Seed: seed})
		require.True(t, l.Propose(0))
		l.Run(time.Second)
		before := l.Node(0).Applied()
		for a := range 5 {
			l.Kill(a)
			l.World.Start(uint32(a))
			for ready := false; !ready; ready, _ = l.Node(a).Ready(l.Reading(a)) {
				l.Run(10 * time.Millisecond)
			}
		}
		l.Settle(10 * time.Second)
		require.Empty(t, l.Violations(), seed)
		require.Equal(t, before, l.Node(0).Applied(), seed)
	}
}
