package outlier

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	limit = 500 * ms
)

// counting is a simple detector for comparison: failures one after another, a lost connection counting one and a half,
// and the majority of a round.
type counting struct {
	failures     float64
	lastServed   time.Duration
	sent, failed int
	isEjected    bool
}

func (c *counting) end(now, at time.Duration, end Outcome) (hasChanged bool) {
	c.sent++
	if end == Answered {
		c.lastServed, c.failures = now, 0
		hasChanged, c.isEjected = c.isEjected, false
		return hasChanged
	}
	c.failed++
	if c.failures++; end == ConnectionLost || end == NotSent {
		c.failures += 0.5
	}
	if !c.isEjected && c.failures >= 3 && c.lastServed <= at {
		c.isEjected = true
		return true
	}
	return false
}

func (c *counting) round(now time.Duration) (hasChanged bool) {
	hasChanged = !c.isEjected && 2*c.failed > c.sent && c.failed > 1 && c.lastServed < now-time.Second/2
	c.isEjected = c.isEjected || hasChanged
	c.sent, c.failed = 0, 0
	return hasChanged
}

// stream is one agent's evidence of 13 servers, each met at a rate, where a fraction of the attempts is reset whatever the
// server. From faultAt on, the first server's attempts end as bad says.
type stream struct {
	rate, noise float64
	faultAt     time.Duration
	bad         func(rng *rand.Rand) (Outcome, time.Duration)
	silent      bool
}

// judge is which of the two judges a stream.
type judge uint8

const (
	byDetector judge = iota
	byCounting
)

// play returns how often healthy servers were ejected, and after how many attempts and how long the faulty one was, by the
// detector or by counting.
func (st stream) play(seed uint64, duration time.Duration, by judge) (falseEjections, tries int, took time.Duration) {
	const servers = 13
	rng := rand.New(rand.NewPCG(seed, 7))
	d := New(limit, 1)
	var records [servers]*Server
	var counts [servers]counting
	for i := range records {
		records[i] = d.AddServer()
		d.SetPlacement(records[i], true, false)
	}
	step := time.Duration(float64(time.Second) / st.rate / servers)
	round := time.Second
	for now := time.Duration(0); now < duration; now += step {
		if now >= round {
			round += time.Second
			d.EndRound()
			for i, s := range records {
				ejects := d.Reevaluate(now, s) == ServerEjected
				if by == byCounting {
					ejects = counts[i].round(now)
				}
				if ejects && (i > 0 || now < st.faultAt) {
					falseEjections++
				}
			}
		}
		i := rng.IntN(servers)
		s, c := records[i], &counts[i]
		isFaulty := i == 0 && st.bad != nil && now >= st.faultAt
		isEjected := s.isEjected
		if by == byCounting {
			isEjected = c.isEjected
		}
		if isEjected && (isFaulty || rng.Float64() > 0.05) {
			if isFaulty {
				return falseEjections, tries, now - st.faultAt
			}
			continue // it gets probes only
		}
		if isFaulty && st.silent && now < st.faultAt+limit {
			continue // nothing ends before it times out
		}
		end, lasted := Answered, time.Duration(rng.ExpFloat64()*float64(60*ms))+5*ms
		if rng.Float64() < st.noise {
			end = ConnectionLost
		} else if lasted > limit {
			end, lasted = TimedOut, limit
		}
		if isFaulty {
			tries++
			if e, l := st.bad(rng); e != Answered {
				end, lasted = e, l
			}
		}
		if by == byDetector {
			a := Attempt{StartedAt: now - lasted, timeout: 0.5}
			if ch := d.AttemptEnded(now, s, a, end, lasted, &Evidence{}); ch == ServerEjected && !isFaulty {
				falseEjections++
			}
		} else if c.end(now, now-lasted, end) && c.isEjected && !isFaulty {
			falseEjections++
		}
	}
	return falseEjections, tries, duration
}

// TestTableOfEvidence: false ejections for each server and hour, and how soon a faulty server is found, by counting and by
// the detector. -v prints the table.
func TestTableOfEvidence(t *testing.T) {
	silence := func(*rand.Rand) (Outcome, time.Duration) { return TimedOut, limit }
	refusal := func(*rand.Rand) (Outcome, time.Duration) { return NotSent, ms }
	third := func(rng *rand.Rand) (Outcome, time.Duration) {
		if rng.Float64() < 0.36 {
			return ServerError, 3 * ms
		}
		return Answered, 0
	}
	hours := map[float64]time.Duration{3: 8 * time.Hour, 30: time.Hour, 300: 10 * time.Minute}
	for _, rate := range []float64{3, 30, 300} {
		for _, noise := range []float64{0, 0.02, 0.08, 0.2} {
			row := fmt.Sprintf("%3.0f/s %2.0f%%:", rate, 100*noise)
			for _, by := range []judge{byCounting, byDetector} {
				duration := hours[rate]
				ejections, _, _ := stream{rate: rate, noise: noise}.play(1, duration, by)
				perHour := float64(ejections) / (13 * duration.Hours())
				row += fmt.Sprintf("  %8.2f false", perHour)
				if by == byDetector && noise <= 0.08 {
					assert.LessOrEqual(t, perHour, 1.0, "%s false ejections", row)
				}
				for i, bad := range []func(*rand.Rand) (Outcome, time.Duration){silence, refusal, third} {
					name := []string{"silent", "refuses", "36%"}[i]
					worst, sum, seconds := 0, 0, 0.0
					for seed := range uint64(20) {
						_, tries, took := stream{rate, noise, 20 * time.Second, bad, name == "silent"}.play(seed, 15*time.Minute, by)
						worst, sum, seconds = max(worst, tries), sum+tries, seconds+took.Seconds()
					}
					row += fmt.Sprintf(", %s %.1f tries %.2f s", name, float64(sum)/20, seconds/20)
					switch {
					case by == byCounting:
					case name == "silent":
						assert.LessOrEqual(t, worst, 3, "%s: unanswered", row)
					case name == "refuses":
						assert.LessOrEqual(t, worst, 3, "%s: refused", row)
					case noise <= 0.08:
						assert.Less(t, float64(sum)/20, 90.0, "%s: until found", row)
					}
				}
			}
			t.Log(row)
		}
	}
}

// fleetSimulation is a fleet of servers with three cores each and one agent that sends to those not ejected, at random:
// evidence with queues, for the hard cases.
type fleetSimulation struct {
	d       *Detector
	rng     *rand.Rand
	now     time.Duration
	servers []*simulatedServer
	pending endHeap
	rate    float64 // attempts a second
	noise   float64
	ejected map[*simulatedServer]int // how often
}

type simulatedServer struct {
	*Server
	free    [3]time.Duration
	speed   float64
	fails   float64
	silent  func(at time.Duration, class int) bool
	refuses func(at time.Duration) bool
}

type pendingEnd struct {
	at    time.Duration
	to    *simulatedServer
	noted Attempt
	end   Outcome
	ev    Evidence
}

type endHeap []pendingEnd

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endHeap) Push(x any)        { *e = append(*e, x.(pendingEnd)) }
func (e *endHeap) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func newFleetSimulation(n int, rate float64) *fleetSimulation {
	f := &fleetSimulation{d: New(limit, 2), rng: rand.New(rand.NewPCG(3, 4)), rate: rate, ejected: map[*simulatedServer]int{}}
	for range n {
		p := &simulatedServer{Server: f.d.AddServer(), speed: 1}
		f.d.SetPlacement(p.Server, true, false)
		f.servers = append(f.servers, p)
	}
	return f
}

// send makes an attempt at a server that is not ejected, or now and then at any.
func (f *fleetSimulation) send() {
	class := f.rng.IntN(4) / 3
	p := f.servers[f.rng.IntN(len(f.servers))]
	for range 50 {
		if f.d.Verdict(p.Server, class) != Ejected || f.d.DistrustReason() != "" || f.rng.Float64() < 0.05 {
			break
		}
		p = f.servers[f.rng.IntN(len(f.servers))]
	}
	o := pendingEnd{to: p, noted: f.d.AttemptStarted(f.now, p.Server, class, limit)}
	core := &p.free[0]
	for i := range p.free {
		if p.free[i] < *core {
			core = &p.free[i]
		}
	}
	done := max(f.now, *core) + time.Duration((0.3+0.7*f.rng.ExpFloat64())*100/p.speed*float64(ms))
	o.at, o.end = done, Answered
	switch {
	case p.refuses != nil && p.refuses(f.now):
		o.at, o.end, o.ev = f.now+ms, NotSent, Evidence{Phase: PhaseConnecting, ConnectionRefused: true}
	case p.silent != nil && (p.silent(f.now, class) || p.silent(done, class)):
		o.at, o.end, o.ev = f.now+limit, TimedOut, Evidence{Phase: PhaseAwaiting}
	case f.rng.Float64() < f.noise:
		o.at, o.end, o.ev = f.now+20*ms, ConnectionLost, Evidence{Phase: PhaseAwaiting}
	case f.rng.Float64() < p.fails:
		o.at, o.end = f.now+3*ms, ServerError
	default:
		*core = done
		if done-f.now > limit {
			o.at, o.end, o.ev = f.now+limit, TimedOut, Evidence{Phase: PhaseAwaiting}
		}
	}
	heap.Push(&f.pending, o)
}

// until goes on until a time, and calls each before every round.
func (f *fleetSimulation) until(end time.Duration, each func()) {
	for f.now < end {
		next := f.now + time.Duration(f.rng.ExpFloat64()/f.rate*float64(time.Second))
		for len(f.pending) > 0 && f.pending[0].at <= next {
			o := heap.Pop(&f.pending).(pendingEnd)
			f.endRound(o.at)
			if ch := f.d.AttemptEnded(o.at, o.to.Server, o.noted, o.end, o.at-o.noted.StartedAt, &o.ev); ch == ServerEjected {
				f.ejected[o.to]++
			}
		}
		if f.endRound(next); int(f.now/time.Second) != int(next/time.Second) && each != nil {
			each()
		}
		f.now = next
		f.send()
	}
}

// endRound ends a round where a second is over.
func (f *fleetSimulation) endRound(now time.Duration) {
	if int(now/time.Second) >= f.d.round {
		f.d.EndRound()
		for _, p := range f.servers {
			if f.d.Reevaluate(now, p.Server) == ServerEjected {
				f.ejected[p]++
			}
		}
	}
}

func (f *fleetSimulation) countEjected() (n int) {
	for _, p := range f.servers {
		if p.isEjected {
			n++
		}
	}
	return n
}

func between(from, to time.Duration) func(time.Duration, int) bool {
	return func(at time.Duration, _ int) bool { return at >= from && at < to }
}

// TestNoiseEjectsNone: random resets everywhere are no server's fault.
func TestNoiseEjectsNone(t *testing.T) {
	for _, noise := range []float64{0.08, 0.2} {
		f := newFleetSimulation(12, 200)
		f.noise = noise
		f.until(time.Minute, nil)
		assert.LessOrEqual(t, len(f.ejected), 1, "noise %.2f", noise) // the noise begins at once, when nothing is usual yet
	}
}

// TestFewHangUnderLoad: 3 of 15 hang while the fleet is at three quarters: those three are ejected soon, and the load that
// the others take over has none of them ejected for longer than a probe takes.
func TestFewHangUnderLoad(t *testing.T) {
	f := newFleetSimulation(15, 0.75*15*3*10)
	for _, p := range f.servers[:3] {
		p.silent = between(10*time.Second, 30*time.Second)
	}
	f.until(10*time.Second, nil)
	require.Zero(t, f.countEjected())
	f.until(11500*ms, nil)
	for _, p := range f.servers[:3] {
		assert.True(t, p.isEjected)
	}
	worst, sum := 0, 0
	f.until(30*time.Second, func() { worst, sum = max(worst, f.countEjected()), sum+f.countEjected() })
	assert.LessOrEqual(t, worst, 7) // of 15: without load shedding the others are saturated, some of them late
	assert.LessOrEqual(t, sum, 19*5, "on the mean, two beside those that hang")
	f.until(33*time.Second, nil)
	assert.LessOrEqual(t, f.countEjected(), 1)
}

// TestSlowIsNotDead: a server at a third of the speed is not ejected.
func TestSlowIsNotDead(t *testing.T) {
	f := newFleetSimulation(13, 13*4)
	f.servers[0].speed = 1.0 / 3
	f.until(time.Minute, nil)
	assert.Zero(t, f.ejected[f.servers[0]])
}

// TestPartialFailureIsFoundAndEnds: a server that fails a third of its attempts is ejected until it does not.
func TestPartialFailureIsFoundAndEnds(t *testing.T) {
	f := newFleetSimulation(13, 13*15)
	f.until(10*time.Second, nil)
	f.servers[0].fails = 0.36
	f.until(14*time.Second, nil)
	require.True(t, f.servers[0].isEjected)
	assert.Greater(t, f.servers[0].probesRequired, 2, "one served probe proves nothing about two failures in five")
	f.servers[0].fails = 0
	f.until(40*time.Second, nil)
	assert.False(t, f.servers[0].isEjected)
}

// TestHangsOnOneClass: a server that answers one class only is ejected for the other.
func TestHangsOnOneClass(t *testing.T) {
	f := newFleetSimulation(13, 13*15)
	f.servers[0].silent = func(at time.Duration, class int) bool { return class == 1 && at > 10*time.Second }
	f.until(16*time.Second, nil)
	assert.Equal(t, Ejected, f.d.Verdict(f.servers[0].Server, 1))
	assert.NotEqual(t, Ejected, f.d.Verdict(f.servers[0].Server, 0))
	f.servers[0].silent = nil
	f.until(40*time.Second, nil)
	assert.NotEqual(t, Ejected, f.d.Verdict(f.servers[0].Server, 1))
}

// TestSilenceOfMany: a zone cut off, and all servers silent at once, by an agent that sends little and by one that sends
// much.
func TestSilenceOfMany(t *testing.T) {
	for _, rate := range []float64{20, 80, 300} {
		for _, n := range []int{4, 15} {
			f := newFleetSimulation(15, rate)
			for _, p := range f.servers[:n] {
				p.silent = between(20*time.Second, 32*time.Second)
			}
			f.until(31*time.Second, nil)
			if n == 15 {
				assert.Contains(t, f.d.DistrustReason(), "silent at once", "rate %v", rate)
			} else {
				assert.Empty(t, f.d.DistrustReason())
				assert.GreaterOrEqual(t, f.countEjected(), 3, "rate %v", rate)
			}
			f.until(time.Minute, nil)
			assert.Empty(t, f.d.DistrustReason())
			assert.LessOrEqual(t, f.countEjected(), 1, "%d silent, rate %v: still ejected long after", n, rate)
		}
	}
}

// TestManyRefuse: servers that refuse connections are ejected however many they are; the agent's own shortage is no
// server's fault.
func TestManyRefuse(t *testing.T) {
	f := newFleetSimulation(13, 60)
	for _, p := range f.servers[:9] {
		p.refuses = func(at time.Duration) bool { return at > 5*time.Second }
	}
	f.until(10*time.Second, nil)
	assert.Equal(t, 9, f.countEjected())
	assert.Empty(t, f.d.DistrustReason())

	d := New(limit, 1)
	s := d.AddServer()
	for range 100 {
		d.AttemptEnded(time.Second, s, Attempt{}, NotSent, ms, &Evidence{LocalShortage: true})
		d.AttemptEnded(time.Second, s, Attempt{}, TimedOut, limit, &Evidence{ActedLateBy: time.Second})
	}
	assert.Equal(t, Healthy, d.Verdict(s, 0))
}

// TestServerThatFailsTwiceAndRestarts: when a server restarts at its address, the evidence of the last process is dropped.
func TestServerThatFailsTwiceAndRestarts(t *testing.T) {
	f := newFleetSimulation(13, 13*10)
	p := f.servers[0]
	p.refuses = func(at time.Duration) bool { return at > 5*time.Second && at < 9*time.Second || at > 20*time.Second }
	f.until(6*time.Second, nil)
	require.True(t, p.isEjected)
	assert.Contains(t, p.Reason(), "refused")
	f.until(19*time.Second, nil)
	require.False(t, p.isEjected)
	f.until(21*time.Second, nil)
	require.True(t, p.isEjected)
	f.d.ServerRestarted(p.Server)
	p.refuses = nil
	a := f.d.AttemptStarted(f.now, p.Server, 0, limit)
	f.endRound(f.now + 2*time.Second)
	assert.Equal(t, ServerReadmitted, f.d.AttemptEnded(f.now+2*time.Second, p.Server, a, Answered, 20*ms, &Evidence{}))
	assert.Zero(t, p.deadEvidence)
}

// TestRejectingServerIsAvoided: a server that rejects is avoided, longer each time, and not ejected.
func TestRejectingServerIsAvoided(t *testing.T) {
	d := New(limit, 1)
	s, other := d.AddServer(), d.AddServer()
	now := time.Second
	end := func(s *Server, e Outcome) {
		d.AttemptEnded(now, s, d.AttemptStarted(now, s, 0, limit), e, ms, &Evidence{})
	}
	end(s, Rejected)
	assert.False(t, s.IsAvoided(now), "one rejection is nothing")
	end(s, Rejected)
	require.True(t, s.IsAvoided(now))
	assert.Equal(t, Healthy, d.Verdict(s, 0), "it is not ejected")
	for _, hold := range []time.Duration{200 * ms, 400 * ms, 800 * ms, 1600 * ms, 2 * time.Second, 2 * time.Second} {
		assert.True(t, s.IsAvoided(now+hold-1))
		require.False(t, s.IsAvoided(now+hold))
		now += hold
		probe := d.AttemptStarted(now, s, 0, limit)
		assert.True(t, s.IsAvoided(now), "while the probe is in flight")
		d.AttemptEnded(now, s, probe, Rejected, ms, &Evidence{})
	}
	now += 2 * time.Second
	for range 8 {
		end(s, Answered)
	}
	assert.False(t, s.IsAvoided(now))
	end(other, Answered)
	assert.False(t, other.IsAvoided(now))
}

// TestCausesWeighDifferently: how many failures of a cause in a row eject a server at a quiet time.
func TestCausesWeighDifferently(t *testing.T) {
	idle := Evidence{Phase: PhaseAwaiting, ConnectionReused: true, IdleFor: 3 * time.Second}
	for _, tt := range []struct {
		name   string
		end    Outcome
		ev     Evidence
		needed int
	}{
		{"refused", NotSent, Evidence{Phase: PhaseConnecting, ConnectionRefused: true}, 2},
		{"a connect that never comes up", NotSent, Evidence{Phase: PhaseConnecting}, 3},
		{"reset in the response", ConnectionLost, Evidence{Phase: PhaseAnswering, ConnectionReused: true, IdleFor: time.Second}, 3},
		{"reset after being idle", ConnectionLost, idle, 12},
		{"an error", ServerError, Evidence{Phase: PhaseAwaiting}, 3},
		{"an invalid response", ServerError, Evidence{Phase: PhaseAnswering}, 3},
		{"silence", TimedOut, Evidence{Phase: PhaseAwaiting}, 3},
	} {
		d := New(limit, 1)
		s := d.AddServer()
		d.AttemptEnded(time.Second, s, d.AttemptStarted(time.Second-50*ms, s, 0, limit), Answered, 50*ms, &Evidence{})
		n, now := 0, 2*time.Second
		for ; !s.isEjected && n < 50; n++ {
			d.AttemptEnded(now+limit, s, d.AttemptStarted(now, s, 0, limit), tt.end, limit, &tt.ev)
			now += limit
		}
		assert.Equal(t, tt.needed, n, tt.name)
	}
}

// history is a random run of attempts, rounds and waits over a few servers.
func history(t *rapid.T, d *Detector, servers []*Server, each func(*Server, Change)) time.Duration {
	now := time.Second
	for range rapid.IntRange(0, 300).Draw(t, "events") {
		now += time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * ms
		if rapid.IntRange(0, 9).Draw(t, "round") == 0 {
			d.EndRound()
			each(nil, Unchanged)
			for _, s := range servers {
				each(s, d.Reevaluate(now, s))
			}
			continue
		}
		s := rapid.SampledFrom(servers).Draw(t, "server")
		a := d.AttemptStarted(now-time.Duration(rapid.IntRange(1, 500).Draw(t, "took"))*ms, s, rapid.IntRange(-1, 2).Draw(t, "class"), limit)
		ev := Evidence{Phase: Phase(rapid.IntRange(0, 4).Draw(t, "phase")), ConnectionRefused: rapid.Bool().Draw(t, "refused")}
		each(s, d.AttemptEnded(now, s, a, Outcome(rapid.IntRange(0, int(NoEvidence)).Draw(t, "end")), now-a.StartedAt, &ev))
	}
	return now
}

func few() (*Detector, []*Server) {
	d := New(limit, 2)
	servers := []*Server{d.AddServer(), d.AddServer(), d.AddServer(), d.AddServer()}
	for _, s := range servers {
		d.SetPlacement(s, true, false)
	}
	return d, servers
}

func TestProperties(t *testing.T) {
	t.Run("one change a round at most, and none without evidence", rapid.MakeCheck(func(t *rapid.T) {
		d, servers := few()
		changed := map[*Server]bool{}
		now := history(t, d, servers, func(s *Server, ch Change) {
			if s == nil {
				clear(changed)
			}
			if ch == ServerEjected || ch == ServerReadmitted {
				require.False(t, changed[s], "two changes in a round")
				changed[s] = true
			}
		})
		for i := range 20 {
			d.EndRound()
			for _, s := range servers {
				ch := d.Reevaluate(now, s)
				require.True(t, i == 0 || ch == Unchanged, "a change without evidence")
				d.AttemptEnded(now, s, d.AttemptStarted(now, s, 0, limit), NoEvidence, ms, &Evidence{})
			}
		}
	}))
	t.Run("a failure makes no server better", rapid.MakeCheck(func(t *rapid.T) {
		d, servers := few()
		now := history(t, d, servers, func(*Server, Change) {})
		s := servers[0]
		for range 30 {
			before, part := d.Verdict(s, 0), s.partialEvidence
			end := rapid.SampledFrom([]Outcome{ServerError, TimedOut, NotSent, ConnectionLost}).Draw(t, "end")
			d.AttemptEnded(now, s, d.AttemptStarted(now-limit, s, 0, limit), end, limit, &Evidence{})
			require.GreaterOrEqual(t, d.Verdict(s, 0), before)
			require.False(t, s.partialEvidence[0] < part[0] || s.partialEvidence[1] < part[1])
		}
	}))
	t.Run("a removed server is dropped", rapid.MakeCheck(func(t *rapid.T) {
		d, servers := few()
		now := history(t, d, servers, func(*Server, Change) {})
		removed, rest := servers[0], servers[1:]
		late := d.AttemptStarted(now, removed, 0, limit)
		d.RemoveServer(removed)
		var sum decayingCounts
		for _, s := range rest {
			sum.total += s.recent.total
		}
		require.InDelta(t, sum.total, d.fleet.total, 1e-6)
		copies := make([]Server, len(rest))
		for i, s := range rest {
			copies[i] = *s
		}
		fleet := d.fleet
		require.Equal(t, Unchanged, d.AttemptEnded(now, removed, late, ConnectionLost, ms, &Evidence{}))
		require.Equal(t, fleet, d.fleet)
		for i, s := range rest {
			require.True(t, reflect.DeepEqual(copies[i], *s))
		}
		require.Equal(t, Healthy, d.Verdict(d.AddServer(), 0))
	}))
}
