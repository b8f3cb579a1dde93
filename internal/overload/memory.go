package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Snapshot is what a Controller has learned that takes long to learn, as plain values that can be kept over a
// restart: what is usual. What goes on at the moment is not in it: spells and outages show themselves anew
// within seconds, and one that is over by then must not make the agent refuse.
type Snapshot struct {
	Kinds         []KindSnapshot `cbor:"1,keyasint,omitempty" json:"kinds"`           // by name
	InFlight      float64        `cbor:"2,keyasint,omitempty" json:"crowd"`           // usual, of this agent at servers
	Servers       float64        `cbor:"3,keyasint,omitempty" json:"servers"`         // that took requests, at most
	NoSheddingFor time.Duration  `cbor:"4,keyasint,omitempty" json:"no_purge_for_ns"` // from then on
	LearnedFor    time.Duration  `cbor:"5,keyasint,omitempty" json:"learned_for_ns"`  // at most as long as need be
}

// KindSnapshot is the usual time of work of a kind of machine, by how large the crowd was.
type KindSnapshot struct {
	Name  string                `cbor:"1,keyasint" json:"name"`
	Steps []ServiceTimeSnapshot `cbor:"2,keyasint,omitempty" json:"steps"`
}

// ServiceTimeSnapshot is the mean time of a step of crowds.
type ServiceTimeSnapshot struct {
	Step       int     `cbor:"1,keyasint" json:"step"`
	LogSeconds float64 `cbor:"2,keyasint" json:"log"` // natural logarithm of seconds
	Samples    float64 `cbor:"3,keyasint" json:"answers"`
}

// SnapshotVersion tells what the values of a Snapshot mean.
const SnapshotVersion = 1

const (
	serviceTimeHalfLife = time.Hour        // in which half of what is known of times of work has spoiled
	freshDuration       = 20 * time.Minute // in which the usual crowd stays so, and nothing need be learned anew
	maxNoShedding       = time.Minute
	// What is more than these can't have been learned, and is of a file that something else wrote.
	maxKinds      = 256
	maxLogSeconds = 12.0 // of seconds: from microseconds to days
	maxSamples    = 1e9
	maxInFlight   = 1e6
	maxServers    = 1e4
)

// Snapshot returns what the Controller has learned.
func (g *Controller) Snapshot(now time.Duration) Snapshot {
	g.now = max(g.now, now)
	most := g.peakServers // a copy: to remember changes nothing
	most.decay(g.now)
	m := Snapshot{
		InFlight: g.outage.usualInFlight.weight, Servers: max(most.weight, float64(g.readyServers())),
		NoSheddingFor: min(max(g.episode.noSheddingBefore-g.now, 0), maxNoShedding),
	}
	if g.firstResponseAt > 0 {
		m.LearnedFor = min(g.now-g.firstResponseAt, learningDuration)
	}
	for _, name := range slices.Sorted(maps.Keys(g.serviceTimes)) {
		k := KindSnapshot{Name: name}
		for i, seen := range g.serviceTimes[name].samples {
			if s := (ServiceTimeSnapshot{i, g.serviceTimes[name].logSeconds[i], seen}); s.isValid() {
				k.Steps = append(k.Steps, s)
			}
		}
		m.Kinds = append(m.Kinds, k)
	}
	return m
}

// Restore takes back what was learned that long before; it comes before the first request. A negative age is
// of a clock that was set back, so that nothing is known of it, and nothing is taken; what can't have been
// learned is left out.
func (g *Controller) Restore(now time.Duration, m Snapshot, age time.Duration) {
	g.now = max(g.now, now)
	if age < 0 {
		return
	}
	speed := math.Exp2(-float64(age) / float64(serviceTimeHalfLife))
	for _, k := range m.Kinds[:min(len(m.Kinds), maxKinds)] {
		p := g.serviceTimeOf(k.Name)
		for _, s := range k.Steps {
			if s.isValid() {
				p.logSeconds[s.Step], p.samples[s.Step] = s.LogSeconds, speed*min(s.Samples, maxSamples)
			}
		}
	}
	if age < freshDuration {
		g.outage.usualInFlight.updatedAt, g.outage.usualInFlight.weight = g.now, validCount(m.InFlight, maxInFlight)
		if learned := min(max(m.LearnedFor, 0), learningDuration) - g.settleTime(); learned > 0 {
			g.firstResponseAt = max(g.now-learned, 1)
		}
	}
	g.peakServers.updatedAt, g.peakServers.weight = g.now-age, validCount(m.Servers, maxServers) // and what is listed, if that is more
	if left := min(max(m.NoSheddingFor, 0), maxNoShedding) - age; left > 0 {
		g.episode.noSheddingBefore = g.now + left
	}
}

// settles is how long after a start times of work say nothing, though it is known what is usual: the
// servers still work on what was sent before it, until its aim has passed, and an agent that counts none of
// that takes a full house for a spell.
func (g *Controller) settleTime() time.Duration { return g.longestObjective * 3 / 2 }

// can tells whether a step can have been learned.
func (s ServiceTimeSnapshot) isValid() bool {
	return s.Step >= 0 && s.Step < concurrencySteps && s.Samples > 0 && math.Abs(s.LogSeconds) < maxLogSeconds
}

// counted is a count that can be, or zero.
func validCount(v, most float64) float64 {
	if !(v > 0) || v > most {
		return 0
	}
	return v
}
