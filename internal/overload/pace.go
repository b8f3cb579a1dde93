package overload

import "math"

// The usual time of work is kept by how many requests this agent has in flight, in steps of a quarter: a
// crowd shares what there is, so that under plain overload longer times are usual.
const (
	concurrencyStep     = 1.25
	concurrencySteps    = 40
	minStepSamples      = 25    // answers before a step is gone by
	estimateGain        = 0.003 // weight of a new answer at last
	episodeEstimateGain = 0.0005
)

var logConcurrencyStep = math.Log(concurrencyStep)

// A pace is the usual time of work of a kind of machine: means of its logarithm, in seconds.
type serviceTimeEstimate struct {
	logSeconds [concurrencySteps]float64
	samples    [concurrencySteps]float64
}

func concurrencyStepOf(crowd float64) int {
	return min(max(int(math.Log(crowd+1)/logConcurrencyStep), 0), concurrencySteps-1)
}

// usual is the logarithm of the time that is usual in such a crowd, or false where nothing is known yet. A
// larger crowd than was ever met is taken to wait for longer by as much as it is larger.
func (p *serviceTimeEstimate) usual(crowd float64) (float64, bool) {
	at := concurrencyStepOf(crowd)
	for i := at; i >= 0; i-- {
		if p.samples[i] >= minStepSamples {
			return p.logSeconds[i] + float64(at-i)*logConcurrencyStep, true
		}
	}
	for i := at + 1; i < concurrencySteps; i++ {
		if p.samples[i] >= minStepSamples {
			return p.logSeconds[i], true
		}
	}
	return 0, false
}

// learn takes an answer in. What is usual fades slowly, and more slowly still in what looks like a spell. A
// crowd that was never met before is learned at once, in a spell too: so overload that grows is not taken for
// one.
func (p *serviceTimeEstimate) observe(crowd, log float64, spell bool) {
	gain := estimateGain
	if spell {
		gain = episodeEstimateGain
	}
	i := concurrencyStepOf(crowd)
	p.samples[i]++
	p.logSeconds[i] += max(gain, 1/p.samples[i]) * (log - p.logSeconds[i])
}

// evidence is how many times the usual the latest answers took: a faded sum of logarithms.
type evidence struct {
	decayingSum
	logSum float64
}

func (e *evidence) add(r float64) {
	e.logSum += r
	e.weight++
}

// factor is the mean; without evidence it is one.
func (e *evidence) factor() float64 {
	if e.weight < 1e-9 {
		return 1
	}
	return math.Exp(e.logSum / e.weight)
}
