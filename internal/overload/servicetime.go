package overload

import (
	"math"
	"time"
)

const (
	concurrencyStep     = 1.25   // ratio of neighbouring steps of concurrency
	concurrencySteps    = 40     // number of steps
	minStepSamples      = 25     // responses before a step's estimate is used
	estimateGain        = 0.003  // weight of a new response in the long run
	episodeEstimateGain = 0.0005 // the same in what looks like an episode
)

var logConcurrencyStep = math.Log(concurrencyStep) // a constant that Go cannot compute as one

// serviceTimeEstimate is the usual service time of a kind of machine, by how many requests this agent has in
// flight: concurrent requests share the servers, so that under plain overload longer times are usual. It
// keeps means of the natural logarithm of seconds.
type serviceTimeEstimate struct {
	logSeconds [concurrencySteps]float64
	samples    [concurrencySteps]float64
}

// concurrencyStepOf is the number of the step that a concurrency falls into.
func concurrencyStepOf(concurrency float64) int {
	return min(max(int(math.Log(concurrency+1)/logConcurrencyStep), 0), concurrencySteps-1)
}

// usual is the logarithm of the usual service time in seconds at a concurrency, or false where nothing is
// known yet. A concurrency beyond what was ever met is taken to make service slower in proportion.
func (e *serviceTimeEstimate) usual(concurrency float64) (logSeconds float64, known bool) {
	step := concurrencyStepOf(concurrency)
	for i := step; i >= 0; i-- {
		if e.samples[i] >= minStepSamples {
			return e.logSeconds[i] + float64(step-i)*logConcurrencyStep, true
		}
	}
	for i := step + 1; i < concurrencySteps; i++ {
		if e.samples[i] >= minStepSamples {
			return e.logSeconds[i], true
		}
	}
	return 0, false
}

// observe takes a response into the mean, by the gain in the long run: estimateGain or episodeEstimateGain. A
// concurrency that was never met before is learned at once, during an episode too: so overload that grows is
// not taken for one.
func (e *serviceTimeEstimate) observe(concurrency, logSeconds, gain float64) {
	step := concurrencyStepOf(concurrency)
	e.samples[step]++
	e.logSeconds[step] += max(gain, 1/e.samples[step]) * (logSeconds - e.logSeconds[step])
}

// evidence is how many times the usual service time the latest responses took, as a decaying sum of
// logarithms.
type evidence struct {
	decayingSum // number of responses
	logSum      float64
}

func (e *evidence) observe(logFactor float64) {
	e.logSum += logFactor
	e.weight++
}

// factor is the geometric mean; without evidence it is one.
func (e *evidence) factor() float64 {
	if e.weight < 1e-9 {
		return 1
	}
	return math.Exp(e.logSum / e.weight)
}

// decayAll brings both sums up to date.
func (e *evidence) decayAll(now time.Duration) { e.logSum *= e.decay(now) }
