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

// start returns a fleet that has run for 10 s.
func start(o Options) *Lab {
	l := New(o)
	l.StartAll()
	l.Run(10 * time.Second)
	return l
}

// In a fleet without faults, proposals are committed, agents hold leases, and the idle traffic is within its bounds.
func TestWithoutFaults(t *testing.T) {
	for _, agents := range []int{5, 50, 300} {
		l := start(Options{Agents: agents, Voters: 3, Seed: 1})
		l.Run(10 * time.Second)
		before := l.World.Traffic()
		l.Run(20 * time.Second)
		sent := l.World.Traffic()
		datagrams := float64(sent.Datagrams-before.Datagrams) / float64(agents) / 20
		bytes := float64(sent.Bytes-before.Bytes) / float64(agents) / 20
		require.Less(t, datagrams, 6.0)
		require.Less(t, bytes, 600.0)
		for a := range min(agents, 12) {
			require.True(t, l.Propose(a))
		}
		startedAt := l.World.Now()
		var latency time.Duration
		for latency = 0; latency < 3*time.Second && l.countUpToDate() < agents; latency = l.World.Now().Sub(startedAt) {
			l.Run(10 * time.Millisecond)
		}
		t.Logf("%d agents: idle %.2f datagrams, %.0f bytes per agent and second; 12 records at all agents after %v", agents,
			datagrams, bytes, latency)
		l.RecoverAndCheck(5 * time.Second)
		require.Equal(t, map[fleet.Result]int{fleet.Committed: min(agents, 12)}, l.Results())
		require.Empty(t, l.Violations())
	}
}

// The traffic of followers and voters of an idle fleet is within its bounds. With LONG_TESTS, fleets have up to 5,000
// agents.
func TestIdleTraffic(t *testing.T) {
	fleets := []int{5, 50}
	if os.Getenv("LONG_TESTS") != "" {
		fleets = []int{5, 50, 300, 1000, 5000}
	}
	for _, agents := range fleets {
		for _, voters := range []int{3, 5} {
			l := start(Options{Agents: agents, Voters: voters, Seed: 1})
			l.Run(20 * time.Second)
			const length = 20
			before := make([][2]simnet.Traffic, agents)
			for a := range before {
				before[a][0], before[a][1] = l.World.TrafficOf(uint32(a))
			}
			l.Run(length * time.Second)
			var rates [2][4]float64 // followers, voters: datagrams and bytes sent, and the same received
			for a := range before {
				role := 0
				if l.isVoter(a) {
					role = 1
				}
				sent, received := l.World.TrafficOf(uint32(a))
				for i, c := range []simnet.Traffic{sent, received} {
					rates[role][2*i] += float64(c.Datagrams-before[a][i].Datagrams) / length
					rates[role][2*i+1] += float64(c.Bytes-before[a][i].Bytes) / length
				}
			}
			for i := range 4 {
				rates[0][i] /= max(float64(agents-voters), 1)
				rates[1][i] /= float64(voters)
			}
			t.Logf("%d agents, %d voters, datagrams and bytes per second sent, received: a follower %.1f, a voter %.1f", agents, voters,
				rates[0], rates[1])
			require.Less(t, rates[0][0], 4.0)
			require.Less(t, rates[1][0], 20+0.4*float64(agents)/float64(voters)*2)
			require.Less(t, rates[1][2], 20+0.4*float64(agents)/float64(voters)*2, "agents that receive no replies would send more requests")
		}
	}
}

// countUpToDate returns the number of agents that have applied 12 records, or, in a smaller fleet, one for each agent.
func (l *Lab) countUpToDate() (n int) {
	for a := range l.hosts {
		if l.Node(a).Applied().Seq >= uint64(min(len(l.hosts), 12)) {
			n++
		}
	}
	return n
}

// The guarantees are met under random faults of the network, the processes, their clocks and disks.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	seeds, agents := uint64(40), []int{5, 9}
	if os.Getenv("LONG_TESTS") != "" {
		seeds, agents = 1000, []int{5, 9, 50}
	}
	for _, n := range agents {
		for seed := range seeds {
			l := start(Options{Agents: n, Voters: min(n/2|1, 5), Seed: seed})
			l.RunWithRandomFaults(60 * time.Second)
			l.RecoverAndCheck(40 * time.Second)
			require.Empty(t, l.Violations(), l.Report())
		}
	}
}

// Each removed protection leads to a violation within 200 seeds, which shows that the checks can fail.
func TestProtectionsAreNeeded(t *testing.T) {
	for name, weaken := range map[string]func(*fleet.Settings){
		"leases last longer than the terms allow": func(s *fleet.Settings) { s.Terms.Duration = 12 * time.Second },
		"voters grant leases on old positions":    func(s *fleet.Settings) { s.Terms.MaxKnowledgeAge, s.Terms.MaxPause = time.Minute, time.Hour },
	} {
		isFound := false
		for seed := uint64(0); seed < 200 && !isFound; seed++ {
			l := start(Options{Agents: 7, Voters: 3, Seed: seed, Weaken: weaken})
			l.RunWithRandomFaults(60 * time.Second)
			isFound = len(l.Violations()) > 0
		}
		require.True(t, isFound, name)
	}
}

// An agent that was paused for a minute, while the other agents committed a record, detects by its clocks that its lease
// has expired before it makes a decision.
func TestPausedAgentDetectsExpiredLease(t *testing.T) {
	l := start(Options{Agents: 5, Voters: 3, Seed: 3})
	const paused = 2
	require.Equal(t, lease.Full, l.Node(paused).Standing(l.Reading(paused)))
	l.World.Pause(paused)
	l.Run(time.Second)
	require.True(t, l.Propose(0))
	l.Run(59 * time.Second)
	require.Equal(t, lease.Floor, l.Node(paused).Standing(l.Reading(paused)), "the lease has expired before the agent receives a message")
	require.Zero(t, l.Node(paused).Applied().Seq)
	l.World.Resume(paused)
	l.RecoverAndCheck(5 * time.Second)
	require.Empty(t, l.Violations())
}

// A minority of a fleet, which includes one voter, is cut off. It falls back to the floor, and its proposals are not
// committed. The majority continues, also if the leader is in the minority.
func TestMinorityCutOff(t *testing.T) {
	for _, withLeader := range []bool{false, true} {
		l := start(Options{Agents: 9, Voters: 3, Seed: 5})
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
		require.True(t, l.Propose(1), "an agent of the minority can propose")
		require.True(t, l.Propose(8))
		l.Run(6 * time.Second)
		require.Equal(t, map[fleet.Result]int{fleet.NotCommitted: 1, fleet.Committed: 1}, l.Results())
		l.Partition(cut, false)
		l.RecoverAndCheck(8 * time.Second)
		require.Empty(t, l.Violations())
	}
}

// All processes end at once and restart with their disks: no record that was reported as committed is lost.
func TestAllRestartAtOnce(t *testing.T) {
	l := start(Options{Agents: 9, Voters: 3, Seed: 6})
	for a := range 9 {
		l.Propose(a)
	}
	l.Run(time.Second)
	require.Equal(t, map[fleet.Result]int{fleet.Committed: 9}, l.Results())
	for a := range 9 {
		l.Kill(a)
	}
	l.Run(time.Second)
	l.RecoverAndCheck(10 * time.Second)
	require.Empty(t, l.Violations())
	require.Len(t, l.hosts[8].counter.counts, 9)
}

// All agents are restarted one after the other, each after the previous one reports that it is ready. The log is not lost,
// although voters have no store.
func TestRollingRestart(t *testing.T) {
	for seed := range uint64(20) {
		l := start(Options{Agents: 5, Voters: 3, Volatile: true, Seed: seed})
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
		l.RecoverAndCheck(10 * time.Second)
		require.Empty(t, l.Violations(), seed)
		require.Equal(t, before, l.Node(0).Applied(), seed)
	}
}
