package world

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// A stream is one entity's random number generator. It is seeded by the run's seed and the entity's
// name, so that adding an entity or a fault does not change what the others draw.
type stream struct{ *rand.Rand }

func newStream(seed uint64, name string) stream {
	return stream{rand.New(rand.NewPCG(seed, nameSeed(seed, name)))}
}

// nameSeed mixes a name into a seed.
func nameSeed(seed uint64, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash never returns an error
	return mix(h.Sum64() ^ mix(seed))
}

// mix is the finalizer of SplitMix64: every bit of the result depends on every bit of v.
func mix(v uint64) uint64 {
	v += 0x9E3779B97F4A7C15
	v = (v ^ v>>30) * 0xBF58476D1CE4E5B9
	v = (v ^ v>>27) * 0x94D049BB133111EB
	return v ^ v>>31
}

// The uses of a hashed draw, so that two draws for one entity are independent.
const (
	drawNoise uint64 = iota + 1
	drawNormal
	drawError
	drawReset
	drawResetTime
	drawUnreadable
	drawFailing
	drawHonorsRetryAfter
	drawLeaves
	drawLeaveTime
	drawKept
	drawGraphQL
	drawGraphQLTemplate
	drawWireFault
	drawConnectLoss
)

// hashedDraw returns a uniform draw from [0, 1) for an entity's number and a use. It does not depend on other
// draws or their order.
func hashedDraw(seed, number, use uint64) float64 {
	return float64(mix(seed^mix(number^use<<56))>>11) / (1 << 53)
}

// hashedNormal returns a draw from the standard normal distribution for an entity's number.
func hashedNormal(seed, number uint64) float64 {
	u := max(hashedDraw(seed, number, drawNoise), 1e-12)
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*hashedDraw(seed, number, drawNormal))
}

// wait draws an exponentially distributed time.
func (s stream) wait(mean time.Duration) time.Duration {
	return time.Duration(s.ExpFloat64() * float64(mean))
}

// lognormal turns a standard normal draw into a factor of mean 1 with the given coefficient of
// variation.
func lognormal(cv, normal float64) float64 {
	variance := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(variance)*normal - variance/2)
}

// picker draws an index by weight; it holds the cumulative weights.
type picker []float64

func newPicker(weights []float64) picker {
	p := make(picker, len(weights))
	sum := 0.0
	for i, w := range weights {
		sum += w
		p[i] = sum
	}
	return p
}

// zipf returns weights of n items: rank to the power of -power.
func zipf(n int, power float64) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -power)
	}
	return weights
}

func (p picker) pick(s stream) int {
	at := s.Float64() * p[len(p)-1]
	low, high := 0, len(p)-1
	for low < high {
		if mid := (low + high) / 2; p[mid] > at {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}
