package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	ms             = time.Millisecond
	attemptTimeout = 500 * ms
)

// TestRandomResetsEjectNoServer checks that random resets at all servers do not eject a server.
func TestRandomResetsEjectNoServer(t *testing.T) {
	for _, noise := range []float64{0.08, 0.2} {
		f := newFleetSimulation(12, 200)
		f.noise = noise
		f.runUntil(time.Minute, nil)
		assert.LessOrEqual(t, len(f.ejected), 1, "noise %.2f", noise) // the noise begins before there is a baseline
	}
}

// TestHangingServersUnderLoad checks a fleet at three quarters of its capacity in which 3 of 15 servers hang: the three
// are ejected soon, and the load that moves to the others ejects none of them for longer than a probe takes.
func TestHangingServersUnderLoad(t *testing.T) {
	f := newFleetSimulation(15, 0.75*15*3*10)
	for _, p := range f.servers[:3] {
		p.silent = between(10*time.Second, 30*time.Second)
	}
	f.runUntil(10*time.Second, nil)
	require.Zero(t, f.countEjected())
	f.runUntil(11500*ms, nil)
	for _, p := range f.servers[:3] {
		assert.True(t, p.isEjected)
	}
	worst, sum := 0, 0
	f.runUntil(30*time.Second, func() { worst, sum = max(worst, f.countEjected()), sum+f.countEjected() })
	assert.LessOrEqual(t, worst, 7) // of 15: without load shedding the others are saturated and some respond late
	assert.LessOrEqual(t, sum, 19*5, "on average at most two servers besides the three that hang")
	f.runUntil(33*time.Second, nil)
	assert.LessOrEqual(t, f.countEjected(), 1)
}

// TestSlowServerIsNotEjected checks that a server at a third of the usual speed is not ejected.
func TestSlowServerIsNotEjected(t *testing.T) {
	f := newFleetSimulation(13, 13*4)
	f.servers[0].speed = 1.0 / 3
	f.runUntil(time.Minute, nil)
	assert.Zero(t, f.ejected[f.servers[0]])
}

// TestPartiallyFailingServerIsEjectedAndReadmitted checks that a server that fails a third of its attempts is ejected,
// and readmitted once it fails none.
func TestPartiallyFailingServerIsEjectedAndReadmitted(t *testing.T) {
	f := newFleetSimulation(13, 13*15)
	f.runUntil(10*time.Second, nil)
	f.servers[0].fails = 0.36
	f.runUntil(14*time.Second, nil)
	require.True(t, f.servers[0].isEjected)
	assert.Greater(t, f.servers[0].probesRequired, 2, "one served probe proves nothing about two failures in five")
	f.servers[0].fails = 0
	f.runUntil(40*time.Second, nil)
	assert.False(t, f.servers[0].isEjected)
}

// TestServerIsEjectedForOneClass checks that a server that answers only one class is ejected for the other.
func TestServerIsEjectedForOneClass(t *testing.T) {
	f := newFleetSimulation(13, 13*15)
	f.servers[0].silent = func(at time.Duration, class int) bool { return class == 1 && at > 10*time.Second }
	f.runUntil(16*time.Second, nil)
	assert.Equal(t, Ejected, f.d.Verdict(f.servers[0].Server, 1))
	assert.NotEqual(t, Ejected, f.d.Verdict(f.servers[0].Server, 0))
	f.servers[0].silent = nil
	f.runUntil(40*time.Second, nil)
	assert.NotEqual(t, Ejected, f.d.Verdict(f.servers[0].Server, 1))
}

// TestManySilentServers checks that the servers of an unreachable zone are ejected, and that verdicts are not followed
// if all servers are silent at once, at low and high request rates.
func TestManySilentServers(t *testing.T) {
	for _, rate := range []float64{20, 80, 300} {
		for _, n := range []int{4, 15} {
			f := newFleetSimulation(15, rate)
			for _, p := range f.servers[:n] {
				p.silent = between(20*time.Second, 32*time.Second)
			}
			f.runUntil(31*time.Second, nil)
			if n == 15 {
				assert.Contains(t, f.d.DistrustReason(), "silent at once", "rate %v", rate)
			} else {
				assert.Empty(t, f.d.DistrustReason())
				assert.GreaterOrEqual(t, f.countEjected(), 3, "rate %v", rate)
			}
			f.runUntil(time.Minute, nil)
			assert.Empty(t, f.d.DistrustReason())
			assert.LessOrEqual(t, f.countEjected(), 1, "%d silent, rate %v: still ejected long after", n, rate)
		}
	}
}

// TestRefusingServersAreEjected checks that servers that refuse connections are ejected however many they are, and
// that a shortage or late reaction of the agent is no evidence against a server.
func TestRefusingServersAreEjected(t *testing.T) {
	f := newFleetSimulation(13, 60)
	for _, p := range f.servers[:9] {
		p.refuses = func(at time.Duration) bool { return at > 5*time.Second }
	}
	f.runUntil(10*time.Second, nil)
	assert.Equal(t, 9, f.countEjected())
	assert.Empty(t, f.d.DistrustReason())

	d := New(attemptTimeout, 1)
	s := d.AddServer()
	for range 100 {
		d.AttemptEnded(time.Second, s, Attempt{}, ConnectFailed, ms, &Evidence{LocalShortage: true})
		d.AttemptEnded(time.Second, s, Attempt{}, TimedOut, attemptTimeout, &Evidence{ActedLateBy: time.Second})
	}
	assert.Equal(t, Healthy, d.Verdict(s, 0))
}

// TestRestartDiscardsEvidence checks that the evidence of the previous process is discarded when a server restarts.
func TestRestartDiscardsEvidence(t *testing.T) {
	f := newFleetSimulation(13, 13*10)
	p := f.servers[0]
	p.refuses = func(at time.Duration) bool { return at > 5*time.Second && at < 9*time.Second || at > 20*time.Second }
	f.runUntil(6*time.Second, nil)
	require.True(t, p.isEjected)
	assert.Contains(t, p.Reason(), "refused")
	f.runUntil(19*time.Second, nil)
	require.False(t, p.isEjected)
	f.runUntil(21*time.Second, nil)
	require.True(t, p.isEjected)
	f.d.ServerRestarted(p.Server)
	p.refuses = nil
	a := f.d.AttemptStarted(f.now, p.Server, 0, attemptTimeout)
	f.endRound(f.now + 2*time.Second)
	assert.Equal(t, ServerReadmitted, f.d.AttemptEnded(f.now+2*time.Second, p.Server, a, Answered, 20*ms, &Evidence{}))
	assert.Zero(t, p.deadEvidence)
}

// TestRejectingServerIsAvoided checks that a rejecting server is avoided, each time for longer, and not ejected.
func TestRejectingServerIsAvoided(t *testing.T) {
	d := New(attemptTimeout, 1)
	s, other := d.AddServer(), d.AddServer()
	now := time.Second
	endAttempt := func(s *Server, outcome Outcome) {
		d.AttemptEnded(now, s, d.AttemptStarted(now, s, 0, attemptTimeout), outcome, ms, &Evidence{})
	}
	endAttempt(s, Rejected)
	assert.False(t, s.IsAvoided(now), "one rejection is not enough evidence")
	endAttempt(s, Rejected)
	require.True(t, s.IsAvoided(now))
	assert.Equal(t, Healthy, d.Verdict(s, 0), "a rejecting server is not ejected")
	for _, hold := range []time.Duration{200 * ms, 400 * ms, 800 * ms, 1600 * ms, 2 * time.Second, 2 * time.Second} {
		assert.True(t, s.IsAvoided(now+hold-1))
		require.False(t, s.IsAvoided(now+hold))
		now += hold
		probe := d.AttemptStarted(now, s, 0, attemptTimeout)
		assert.True(t, s.IsAvoided(now), "while the probe is in flight")
		d.AttemptEnded(now, s, probe, Rejected, ms, &Evidence{})
	}
	now += 2 * time.Second
	for range 8 {
		endAttempt(s, Answered)
	}
	assert.False(t, s.IsAvoided(now))
	endAttempt(other, Answered)
	assert.False(t, other.IsAvoided(now))
}

// TestFailuresUntilEjection checks how many failures of a cause in a row eject a server at a quiet time.
func TestFailuresUntilEjection(t *testing.T) {
	idle := Evidence{Phase: PhaseAwaiting, ConnectionReused: true, IdleFor: 3 * time.Second}
	for _, tt := range []struct {
		name     string
		outcome  Outcome
		evidence Evidence
		needed   int
	}{
		{"refused", ConnectFailed, Evidence{Phase: PhaseConnecting, ConnectionRefused: true}, 2},
		{"connection not established", ConnectFailed, Evidence{Phase: PhaseConnecting}, 3},
		{"reset within the response", ConnectionLost, Evidence{Phase: PhaseAnswering, ConnectionReused: true, IdleFor: time.Second}, 3},
		{"reset of an idle connection", ConnectionLost, idle, 12},
		{"server error", ServerError, Evidence{Phase: PhaseAwaiting}, 3},
		{"invalid response", ServerError, Evidence{Phase: PhaseAnswering}, 3},
		{"no response", TimedOut, Evidence{Phase: PhaseAwaiting}, 3},
	} {
		d := New(attemptTimeout, 1)
		s := d.AddServer()
		d.AttemptEnded(time.Second, s, d.AttemptStarted(time.Second-50*ms, s, 0, attemptTimeout), Answered, 50*ms, &Evidence{})
		n, now := 0, 2*time.Second
		for ; !s.isEjected && n < 50; n++ {
			d.AttemptEnded(now+attemptTimeout, s, d.AttemptStarted(now, s, 0, attemptTimeout), tt.outcome, attemptTimeout, &tt.evidence)
			now += attemptTimeout
		}
		assert.Equal(t, tt.needed, n, tt.name)
	}
}
