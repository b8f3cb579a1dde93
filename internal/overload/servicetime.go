package overload

import (
	"math"
	"time"
)

const (
	concurrencyBucketRatio = 1.25   // ratio of neighbouring bounds of the concurrency buckets
	concurrencyBuckets     = 40     // number of buckets
	minBucketSamples       = 25     // responses before a bucket's estimate is used
	estimateGain           = 0.003  // weight of a new response in the long run
	episodeEstimateGain    = 0.0005 // the same during a suspected episode
)

var logBucketRatio = math.Log(concurrencyBucketRatio) // math.Log is not a constant expression

// serviceTimeEstimate is the usual service time of a machine kind, by this agent's concurrency: concurrent
// requests share the servers, so that longer service times are usual under plain overload. Per concurrency
// bucket, it stores the mean of the natural logarithm of seconds.
type serviceTimeEstimate struct {
	logSeconds [concurrencyBuckets]float64
	samples    [concurrencyBuckets]float64
}

// concurrencyBucket returns the index of the bucket of a concurrency.
func concurrencyBucket(concurrency float64) int {
	return min(max(int(math.Log(concurrency+1)/logBucketRatio), 0), concurrencyBuckets-1)
}

// usual returns the logarithm of the usual service time in seconds at a concurrency; known is false without
// an estimate. Above the highest concurrency that was observed, service is assumed to slow down in
// proportion.
func (e *serviceTimeEstimate) usual(concurrency float64) (logSeconds float64, known bool) {
	bucket := concurrencyBucket(concurrency)
	for i := bucket; i >= 0; i-- {
		if e.samples[i] >= minBucketSamples {
			return e.logSeconds[i] + float64(bucket-i)*logBucketRatio, true
		}
	}
	for i := bucket + 1; i < concurrencyBuckets; i++ {
		if e.samples[i] >= minBucketSamples {
			return e.logSeconds[i], true
		}
	}
	return 0, false
}

// observe adds a response to the mean of its bucket; in the long run, the weight of a response is the gain:
// estimateGain or episodeEstimateGain. A new bucket is learned at full speed even during an episode, so
// that growing overload is not mistaken for an episode.
func (e *serviceTimeEstimate) observe(concurrency, logSeconds, gain float64) {
	bucket := concurrencyBucket(concurrency)
	e.samples[bucket]++
	e.logSeconds[bucket] += max(gain, 1/e.samples[bucket]) * (logSeconds - e.logSeconds[bucket])
}

// evidence is a decaying sum of log(latency / usual service time) over recent responses.
type evidence struct {
	decayingSum // number of responses
	logSum      float64
}

func (e *evidence) observe(logFactor float64) {
	e.logSum += logFactor
	e.weight++
}

// factor returns the geometric mean of the ratios, or 1 without responses.
func (e *evidence) factor() float64 {
	if e.weight < 1e-9 {
		return 1
	}
	return math.Exp(e.logSum / e.weight)
}

// decayAll brings both sums up to date.
func (e *evidence) decayAll(now time.Duration) { e.logSum *= e.decay(now) }
