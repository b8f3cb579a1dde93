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

// share is the worth of the first tries asked in a window, and the part of it that was served within the aim, by
// class.
type share struct {
	set      *scenario.Scenario
	from, to time.Duration
	asked    map[uint32]*record.Event // first tries, by chain
	chains   map[uint32]uint32        // of each try
	worth    [8]float64
	served   [8]float64
	gone     map[[2]int32]bool // told to the agent
	toGone   int               // sent in spite of that
	fell     int               // cold servers that were pushed over
}

func (s *share) Begin(record.Day)          {}
func (s *share) Server(int, record.Server) {}
func (s *share) Sample(*record.Sample)     {}
func (s *share) End(time.Duration)         {}

func (s *share) Take(e *record.Event) {
	switch e.Kind {
	case record.Asked, record.Unreached:
		if e.Try == 0 && e.At >= s.from && e.At < s.to {
			first := *e
			s.asked[e.Chain] = &first
			s.worth[e.Class] += s.set.Classes[e.Class].Worth
		}
		s.chains[e.Op] = e.Chain
	case record.Answered:
		first := s.asked[s.chains[e.Op]]
		if first != nil && e.Answer == record.Served && e.At-first.At <= s.set.Classes[first.Class].Aim {
			s.served[first.Class] += s.set.Classes[first.Class].Worth
			delete(s.asked, first.Chain)
		}
		delete(s.chains, e.Op)
	case record.Told:
		s.gone[[2]int32{e.Agent, e.Server}] = e.State == record.Gone
	case record.Fell:
		s.fell++
	case record.AgentDown:
		clear(s.gone)
	case record.Sent:
		if s.gone[[2]int32{e.Agent, e.Server}] {
			s.toGone++
		}
	}
}

func (s *share) all() float64 {
	worth, served := 0.0, 0.0
	for c := range s.worth {
		worth, served = worth+s.worth[c], served+s.served[c]
	}
	return served / worth
}

func (s *share) class(c int) float64 { return s.served[c] / s.worth[c] }

// serviceOf plays a scenario and returns the service of a window.
func serviceOf(t *testing.T, name string, seed uint64, from, to time.Duration, edit func(*scenario.Scenario)) *share {
	set, err := scenario.Load("../../rehearsals/" + name + ".toml")
	require.NoError(t, err)
	edit(set)
	s := &share{
		set: set, from: from, to: to, asked: map[uint32]*record.Event{}, chains: map[uint32]uint32{},
		gone: map[[2]int32]bool{},
	}
	require.NoError(t, world.Play(context.Background(), set, seed, s, world.Options{}))
	return s
}

// seeds is how many seeds are played: few, or as many as REHEARSAL_SEEDS says.
func seeds(few int) uint64 {
	if n, err := strconv.Atoi(os.Getenv("REHEARSAL_SEEDS")); err == nil {
		few = n
	}
	return uint64(few)
}

// What is kept over a restart helps, and does not hurt where all that it says is wrong by then: other servers are
// silent, and those that were have recovered.
func TestRestartInTrouble(t *testing.T) {
	sharp := func(d time.Duration) scenario.TimeSpan { return scenario.TimeSpan{Low: d, High: d} }
	for name, change := range map[string]func(*scenario.Scenario){
		"lasting": func(*scenario.Scenario) {},
		"stale": func(s *scenario.Scenario) {
			other := s.Troubles[0]
			s.Troubles[0].For = sharp(18 * time.Second)
			other.At, other.For = sharp(30*time.Second), sharp(25*time.Second)
			s.Troubles = append(s.Troubles, other)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var lost, lostWithout, lostAnyway, worst float64
			for seed := range seeds(3) {
				lose := func(edit func(*scenario.Scenario)) float64 {
					return 1 - serviceOf(t, "restart-in-trouble", seed, 30500*time.Millisecond, 50500*time.Millisecond,
						func(s *scenario.Scenario) { change(s); edit(s) }).all()
				}
				with := lose(func(*scenario.Scenario) {})
				without := lose(func(s *scenario.Scenario) { s.Agents.KeepEvery = 0 })
				anyway := lose(func(s *scenario.Scenario) { s.Troubles[1].At = sharp(56 * time.Second) }) // no restart
				lost, lostWithout, lostAnyway = lost+with, lostWithout+without, lostAnyway+anyway
				worst = max(worst, with-without)
			}
			n := float64(seeds(3))
			t.Logf("lost with memory %.4f, without %.4f, with no restart %.4f; worst seed %+.4f", lost/n,
				lostWithout/n, lostAnyway/n, worst)
			require.Less(t, worst, 0.01)
			if name == "lasting" {
				require.Less(t, lost-lostAnyway, (lostWithout-lostAnyway)/2)
			}
		})
	}
}

// All agents are killed 2 s into a slow spell, which ends once the servers had little to do for a while. They know
// what is usual, and let the servers rest as if they had not been away.
func TestRestartInSpell(t *testing.T) {
	sharp := func(d time.Duration) scenario.TimeSpan { return scenario.TimeSpan{Low: d, High: d} }
	var with, without, anyway float64
	for seed := range seeds(3) {
		service := func(keep, kill time.Duration) float64 {
			return serviceOf(t, "slow-for-a-while", seed, 30500*time.Millisecond, 50500*time.Millisecond,
				func(s *scenario.Scenario) {
					s.Agents.KeepEvery = keep
					spell := &s.Troubles[0]
					spell.At, spell.For = sharp(28*time.Second), sharp(16*time.Second)
					spell.HealsBelow, spell.HealsRest = scenario.Span{Low: 0.5, High: 0.5}, sharp(1200*time.Millisecond)
					s.Troubles = append(s.Troubles, scenario.Trouble{
						Kind: scenario.AgentsKilled, At: sharp(kill),
						For: sharp(200 * time.Millisecond), Count: 5,
					})
				}).all() / float64(seeds(3))
		}
		with += service(5*time.Second, 30*time.Second)
		without += service(0, 30*time.Second)
		anyway += service(5*time.Second, 56*time.Second)
	}
	t.Logf("served with memory %.4f, without %.4f, with no restart %.4f", with, without, anyway)
	require.Greater(t, with, without+0.04)
}

// Half of the list is dead when the agents start and discovery is down, whichever way they are dead: silent, not to
// be reached, not listening, another program's. Both classes are served all the same, and once discovery is back
// nothing goes to a server that it reports as gone.
func TestStartAlone(t *testing.T) {
	for _, kind := range []scenario.TroubleKind{scenario.Silent, scenario.Vanished, scenario.Crashed, scenario.Failing} {
		t.Run(string(kind), func(t *testing.T) {
			var sum, without, safe, unsafe float64
			n, least := float64(seeds(3)), 1.0
			for seed := range seeds(3) {
				lives := func(proves bool) *share {
					return serviceOf(t, "start-alone", seed, 0, 10*time.Second, func(s *scenario.Scenario) {
						if s.Troubles[0].Kind = kind; kind == scenario.Failing {
							s.Troubles[0].Size = scenario.Span{Low: 1, High: 1}
						}
						s.Agents.ProvesList = proves
					})
				}
				with := lives(true)
				require.Zero(t, with.toGone)
				sum, safe, unsafe = sum+with.all()/n, safe+with.class(0)/n, unsafe+with.class(1)/n
				least = min(least, with.all())
				without += lives(false).all() / n
			}
			t.Logf("%.4f, of consult %.4f, of rezervare %.4f; least seed %.4f; without %.4f", sum, safe, unsafe, least,
				without)
			require.Greater(t, least, 0.9)
			require.Greater(t, min(safe, unsafe), 0.97)
			require.Greater(t, sum, without)
		})
	}
}

// The list is older than a full deploy: of its servers all have gone, and new ones, cold, are at some of their
// addresses. Agents that start from it without discovery serve at those, push none over, and heed discovery once
// it is back.
func TestListOlderThanADeploy(t *testing.T) {
	sharp := func(d float64) scenario.TimeSpan {
		return scenario.TimeSpan{Low: time.Duration(d * 1e9), High: time.Duration(d * 1e9)}
	}
	some := func(v float64) scenario.Span { return scenario.Span{Low: v, High: v} }
	sum, least := 0.0, 1.0
	for seed := range seeds(3) {
		s := serviceOf(t, "start-alone", seed, 40500*time.Millisecond, 50500*time.Millisecond, func(s *scenario.Scenario) {
			s.Agents.KeepEvery, s.Agents.DeployTakes, s.Discovery.KnownAge = 5*time.Second, 20*time.Second, sharp(45)
			s.Troubles = []scenario.Trouble{
				{Kind: scenario.AgentsKilled, At: sharp(8), For: sharp(32), Count: 5},
				{
					Kind: scenario.Deploy, At: sharp(9), For: sharp(29), Part: some(1), Size: some(0.2), Drain: sharp(1),
					SameAddress: some(0.6),
				},
				{Kind: scenario.DiscoveryDown, At: sharp(36), For: sharp(15)},
			}
		})
		sum, least = sum+s.all()/float64(seeds(3)), min(least, s.all())
		require.Zero(t, s.fell)
		require.Zero(t, s.toGone)
	}
	t.Logf("%.4f, least seed %.4f", sum, least)
	require.Greater(t, sum, 0.95)
}
