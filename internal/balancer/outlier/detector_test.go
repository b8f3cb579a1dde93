package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	ms    = time.Millisecond
	limit = 500 * ms
)

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
