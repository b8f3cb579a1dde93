package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
