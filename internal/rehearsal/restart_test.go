package rehearsal

import (
	"context"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/world"
)

// windowService measures the worth of the requests sent in a window, not counting retries, and the part of it that was
// answered within the latency objective, by class.
type windowService struct {
	scenario         *scenario.Scenario
	from, to         time.Duration
	firstTries       map[uint32]*record.Event // first try of each request, by request ID
	chains           map[uint32]uint32        // request ID by the ID of each try
	worth            [8]float64
	served           [8]float64
	departed         map[[2]int32]bool // by agent and server: the agent was notified that the server has left
	sentToDeparted   int               // attempts sent to such servers
	slowStartCrashes int               // servers that crashed in slow start
}

func (s *windowService) Begin(record.Run)          {}
func (s *windowService) Server(int, record.Server) {}
func (s *windowService) Sample(*record.Sample)     {}
func (s *windowService) End(time.Duration)         {}

func (s *windowService) Observe(e *record.Event) {
	switch e.Kind {
	case record.RequestReceived, record.RequestUnreached:
		if e.Try == 0 && e.At >= s.from && e.At < s.to {
			first := *e
			s.firstTries[e.Chain] = &first
			s.worth[e.Class] += s.scenario.Classes[e.Class].Worth
		}
		s.chains[e.RequestID] = e.Chain
	case record.Answered:
		first := s.firstTries[s.chains[e.RequestID]]
		if first != nil && e.Answer == record.Served && e.At-first.At <= s.scenario.Classes[first.Class].LatencyObjective {
			s.served[first.Class] += s.scenario.Classes[first.Class].Worth
			delete(s.firstTries, first.Chain)
		}
		delete(s.chains, e.RequestID)
	case record.Notified:
		s.departed[[2]int32{e.Agent, e.Server}] = e.State == record.Gone
	case record.ServerOverloaded:
		s.slowStartCrashes++
	case record.AgentDown:
		clear(s.departed)
	case record.AttemptSent:
		if s.departed[[2]int32{e.Agent, e.Server}] {
			s.sentToDeparted++
		}
	}
}

func (s *windowService) all() float64 {
	worth, served := 0.0, 0.0
	for c := range s.worth {
		worth, served = worth+s.worth[c], served+s.served[c]
	}
	return served / worth
}

func (s *windowService) class(c int) float64 { return s.served[c] / s.worth[c] }

// playWindow runs a scenario and measures the service in a window.
func playWindow(t *testing.T, name string, seed uint64, from, to time.Duration, edit func(*scenario.Scenario)) *windowService {
	sc, err := scenario.Load("../../rehearsals/" + name + ".toml")
	require.NoError(t, err)
	edit(sc)
	s := &windowService{
		scenario: sc, from: from, to: to, firstTries: map[uint32]*record.Event{}, chains: map[uint32]uint32{},
		departed: map[[2]int32]bool{},
	}
	require.NoError(t, world.Play(context.Background(), sc, seed, s, world.Options{}))
	return s
}

// seedCount returns the number of seeds to run: REHEARSAL_SEEDS if it is set, or few.
func seedCount(few int) uint64 {
	if n, err := strconv.Atoi(os.Getenv("REHEARSAL_SEEDS")); err == nil {
		few = n
	}
	return uint64(few)
}

// State kept across a restart of the agents improves service. It does no harm when it is stale: other servers are silent
// by then, and those that were silent have recovered.
func TestMemoryHelpsAfterRestartDuringFault(t *testing.T) {
	exactly := func(d time.Duration) scenario.TimeSpan { return scenario.TimeSpan{Low: d, High: d} }
	for name, change := range map[string]func(*scenario.Scenario){
		"lasting": func(*scenario.Scenario) {},
		"stale": func(s *scenario.Scenario) {
			other := s.Faults[0]
			s.Faults[0].For = exactly(18 * time.Second)
			other.At, other.For = exactly(30*time.Second), exactly(25*time.Second)
			s.Faults = append(s.Faults, other)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var lost, lostWithout, lostNoRestart, worst float64
			for seed := range seedCount(3) {
				lostService := func(edit func(*scenario.Scenario)) float64 {
					return 1 - playWindow(t, "restart-in-trouble", seed, 30500*time.Millisecond, 50500*time.Millisecond,
						func(s *scenario.Scenario) { change(s); edit(s) }).all()
				}
				with := lostService(func(*scenario.Scenario) {})
				without := lostService(func(s *scenario.Scenario) { s.Agents.StateInterval = 0 })
				noRestart := lostService(func(s *scenario.Scenario) { s.Faults[1].At = exactly(56 * time.Second) })
				lost, lostWithout, lostNoRestart = lost+with, lostWithout+without, lostNoRestart+noRestart
				worst = max(worst, with-without)
			}
			n := float64(seedCount(3))
			t.Logf("lost with memory %.4f, without %.4f, with no restart %.4f; worst seed %+.4f", lost/n,
				lostWithout/n, lostNoRestart/n, worst)
			require.Less(t, worst, 0.01)
			if name == "lasting" {
				require.Less(t, lost-lostNoRestart, (lostWithout-lostNoRestart)/2)
			}
		})
	}
}

// All agents are killed 2 s into a slow period that ends only after the servers have had little load for a while. With
// their kept state the agents know the normal latencies and let the servers recover as they would without a restart.
func TestMemoryHelpsAfterRestartDuringSlowPeriod(t *testing.T) {
	exactly := func(d time.Duration) scenario.TimeSpan { return scenario.TimeSpan{Low: d, High: d} }
	var with, without, noRestart float64
	for seed := range seedCount(3) {
		service := func(keep, kill time.Duration) float64 {
			return playWindow(t, "slow-for-a-while", seed, 30500*time.Millisecond, 50500*time.Millisecond,
				func(s *scenario.Scenario) {
					s.Agents.StateInterval = keep
					slowPeriod := &s.Faults[0]
					slowPeriod.At, slowPeriod.For = exactly(28*time.Second), exactly(16*time.Second)
					slowPeriod.HealsBelow, slowPeriod.HealsRest = scenario.Span{Low: 0.5, High: 0.5}, exactly(1200*time.Millisecond)
					s.Faults = append(s.Faults, scenario.FaultSpec{
						Kind: scenario.AgentsKilled, At: exactly(kill),
						For: exactly(200 * time.Millisecond), Count: 5,
					})
				}).all() / float64(seedCount(3))
		}
		with += service(5*time.Second, 30*time.Second)
		without += service(0, 30*time.Second)
		noRestart += service(5*time.Second, 56*time.Second)
	}
	t.Logf("served with memory %.4f, without %.4f, with no restart %.4f", with, without, noRestart)
	require.Greater(t, with, without+0.04)
}

// Agents start while discovery is down and half of the servers on their list are dead: silent, unreachable, not listening
// or another program. Both classes are served nevertheless, and once discovery is back no attempt goes to a server that
// it reports as gone.
func TestStartWithoutDiscoveryAndHalfTheListDead(t *testing.T) {
	for _, kind := range []scenario.FaultKind{scenario.Silent, scenario.MachinesUnreachable, scenario.Crashed, scenario.Failing} {
		t.Run(string(kind), func(t *testing.T) {
			var sum, without, safe, unsafe float64
			n, minimum := float64(seedCount(3)), 1.0
			for seed := range seedCount(3) {
				run := func(proves bool) *windowService {
					return playWindow(t, "start-alone", seed, 0, 10*time.Second, func(s *scenario.Scenario) {
						if s.Faults[0].Kind = kind; kind == scenario.Failing {
							s.Faults[0].Size = scenario.Span{Low: 1, High: 1}
						}
						s.Agents.ListProbation = proves
					})
				}
				with := run(true)
				require.Zero(t, with.sentToDeparted)
				sum, safe, unsafe = sum+with.all()/n, safe+with.class(0)/n, unsafe+with.class(1)/n
				minimum = min(minimum, with.all())
				without += run(false).all() / n
			}
			t.Logf("%.4f, of consult %.4f, of rezervare %.4f; minimum %.4f; without %.4f", sum, safe, unsafe, minimum,
				without)
			require.Greater(t, minimum, 0.9)
			require.Greater(t, min(safe, unsafe), 0.97)
			require.Greater(t, sum, without)
		})
	}
}

// Agents start without discovery from a list older than a full deploy: all of its servers have left, and new ones in
// slow start use some of the addresses. The agents use those without overloading any, and follow discovery once it is
// back.
func TestStartFromListOlderThanDeploy(t *testing.T) {
	exactly := func(d float64) scenario.TimeSpan {
		return scenario.TimeSpan{Low: time.Duration(d * 1e9), High: time.Duration(d * 1e9)}
	}
	span := func(v float64) scenario.Span { return scenario.Span{Low: v, High: v} }
	sum, minimum := 0.0, 1.0
	for seed := range seedCount(3) {
		s := playWindow(t, "start-alone", seed, 40500*time.Millisecond, 50500*time.Millisecond, func(s *scenario.Scenario) {
			s.Agents.StateInterval, s.Agents.DeployTime, s.Discovery.KnownAge = 5*time.Second, 20*time.Second, exactly(45)
			s.Faults = []scenario.FaultSpec{
				{Kind: scenario.AgentsKilled, At: exactly(8), For: exactly(32), Count: 5},
				{
					Kind: scenario.Deploy, At: exactly(9), For: exactly(29), Part: span(1), Size: span(0.2), Drain: exactly(1),
					SameAddress: span(0.6),
				},
				{Kind: scenario.DiscoveryDown, At: exactly(36), For: exactly(15)},
			}
		})
		sum, minimum = sum+s.all()/float64(seedCount(3)), min(minimum, s.all())
		require.Zero(t, s.slowStartCrashes)
		require.Zero(t, s.sentToDeparted)
	}
	t.Logf("%.4f, minimum %.4f", sum, minimum)
	require.Greater(t, sum, 0.95)
}
