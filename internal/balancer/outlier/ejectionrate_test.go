package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// countingDetector is a simple detector for comparison. It ejects a server after three consecutive failures, where a
// lost connection counts one and a half, or if most attempts of a round failed.
type countingDetector struct {
	failures     float64 // consecutive
	lastServedAt time.Duration
	sent, failed int // in this round
	isEjected    bool
}

// attemptEnded records an attempt that started at a time, and reports whether the server was ejected or readmitted.
func (c *countingDetector) attemptEnded(now, startedAt time.Duration, outcome Outcome) (hasChanged bool) {
	c.sent++
	if outcome == Answered {
		c.lastServedAt, c.failures = now, 0
		hasChanged, c.isEjected = c.isEjected, false
		return hasChanged
	}
	c.failed++
	if c.failures++; outcome == ConnectionLost || outcome == ConnectFailed {
		c.failures += 0.5
	}
	if !c.isEjected && c.failures >= 3 && c.lastServedAt <= startedAt {
		c.isEjected = true
		return true
	}
	return false
}

// endRound ends a round and reports whether the server was ejected.
func (c *countingDetector) endRound(now time.Duration) (hasChanged bool) {
	hasChanged = !c.isEjected && 2*c.failed > c.sent && c.failed > 1 && c.lastServedAt < now-time.Second/2
	c.isEjected = c.isEjected || hasChanged
	c.sent, c.failed = 0, 0
	return hasChanged
}

// evidenceStream is the evidence that one agent receives of 13 servers. From faultAt on, the outcomes of the first
// server are those of faultyOutcome.
type evidenceStream struct {
	rate, noise   float64 // attempts a second at each server; fraction of all attempts that is reset
	faultAt       time.Duration
	faultyOutcome func(rng *rand.Rand) (Outcome, time.Duration)
	silent        bool
}

// detectorKind selects the detector that is tested.
type detectorKind uint8

const (
	evidenceKind detectorKind = iota // Detector
	countingKind                     // countingDetector
)

// run feeds the stream to a detector for a duration. It returns the number of ejections of healthy servers, and the
// number of attempts and the time until the faulty server was ejected.
func (st evidenceStream) run(seed uint64, duration time.Duration, kind detectorKind) (
	falseEjections, tries int, took time.Duration,
) {
	const servers = 13
	rng := rand.New(rand.NewPCG(seed, 7))
	d := New(attemptTimeout, 1)
	var records [servers]*Server
	var counting [servers]countingDetector
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
				if kind == countingKind {
					ejects = counting[i].endRound(now)
				}
				if ejects && (i > 0 || now < st.faultAt) {
					falseEjections++
				}
			}
		}
		i := rng.IntN(servers)
		s, c := records[i], &counting[i]
		isFaulty := i == 0 && st.faultyOutcome != nil && now >= st.faultAt
		isEjected := s.isEjected
		if kind == countingKind {
			isEjected = c.isEjected
		}
		if isEjected && (isFaulty || rng.Float64() > 0.05) {
			if isFaulty {
				return falseEjections, tries, now - st.faultAt
			}
			continue // an ejected server gets only probes
		}
		if isFaulty && st.silent && now < st.faultAt+attemptTimeout {
			continue // no attempt ends before its timeout
		}
		outcome, lasted := Answered, time.Duration(rng.ExpFloat64()*float64(60*ms))+5*ms
		if rng.Float64() < st.noise {
			outcome = ConnectionLost
		} else if lasted > attemptTimeout {
			outcome, lasted = TimedOut, attemptTimeout
		}
		if isFaulty {
			tries++
			if faulty, after := st.faultyOutcome(rng); faulty != Answered {
				outcome, lasted = faulty, after
			}
		}
		if kind == evidenceKind {
			a := Attempt{StartedAt: now - lasted, timeout: 0.5}
			if ch := d.AttemptEnded(now, s, a, outcome, lasted, &Evidence{}); ch == ServerEjected && !isFaulty {
				falseEjections++
			}
		} else if c.attemptEnded(now, now-lasted, outcome) && c.isEjected && !isFaulty {
			falseEjections++
		}
	}
	return falseEjections, tries, duration
}

// TestEjectionRates checks the false ejections per server and hour, and how soon a faulty server is ejected. With -v it
// prints a table of both for the detector and, as a comparison, for countingDetector.
func TestEjectionRates(t *testing.T) {
	silent := func(*rand.Rand) (Outcome, time.Duration) { return TimedOut, attemptTimeout }
	refusing := func(*rand.Rand) (Outcome, time.Duration) { return ConnectFailed, ms }
	partlyFailing := func(rng *rand.Rand) (Outcome, time.Duration) {
		if rng.Float64() < 0.36 {
			return ServerError, 3 * ms
		}
		return Answered, 0
	}
	durations := map[float64]time.Duration{3: 8 * time.Hour, 30: time.Hour, 300: 10 * time.Minute}
	for _, rate := range []float64{3, 30, 300} {
		for _, noise := range []float64{0, 0.02, 0.08, 0.2} {
			row := fmt.Sprintf("%3.0f/s %2.0f%%:", rate, 100*noise)
			for _, kind := range []detectorKind{countingKind, evidenceKind} {
				duration := durations[rate]
				ejections, _, _ := evidenceStream{rate: rate, noise: noise}.run(1, duration, kind)
				perHour := float64(ejections) / (13 * duration.Hours())
				row += fmt.Sprintf("  %8.2f false", perHour)
				if kind == evidenceKind && noise <= 0.08 {
					assert.LessOrEqual(t, perHour, 1.0, "%s: false ejections per server and hour", row)
				}
				for i, faultyOutcome := range []func(*rand.Rand) (Outcome, time.Duration){silent, refusing, partlyFailing} {
					name := []string{"silent", "refuses", "36%"}[i]
					worst, sum, seconds := 0, 0, 0.0
					for seed := range uint64(20) {
						_, tries, took := evidenceStream{rate, noise, 20 * time.Second, faultyOutcome, name == "silent"}.
							run(seed, 15*time.Minute, kind)
						worst, sum, seconds = max(worst, tries), sum+tries, seconds+took.Seconds()
					}
					row += fmt.Sprintf(", %s %.1f tries %.2f s", name, float64(sum)/20, seconds/20)
					switch {
					case kind == countingKind:
					case name == "silent":
						assert.LessOrEqual(t, worst, 3, "%s: unanswered attempts until ejection", row)
					case name == "refuses":
						assert.LessOrEqual(t, worst, 3, "%s: refused attempts until ejection", row)
					case noise <= 0.08:
						assert.Less(t, float64(sum)/20, 90.0, "%s: mean attempts until ejection", row)
					}
				}
			}
			t.Log(row)
		}
	}
}
