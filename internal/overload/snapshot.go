package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Snapshot is what a Controller has learned that takes long to learn: what is usual. It is kept over a
// restart. What goes on at the moment is not in it: episodes and outages show within seconds, and one that is
// over by then must not have requests rejected. The tags are the stored form: they keep their names.
type Snapshot struct {
	Kinds         []KindSnapshot `cbor:"1,keyasint,omitempty" json:"kinds"`           // by name
	InFlight      float64        `cbor:"2,keyasint,omitempty" json:"crowd"`           // requests, usually
	Servers       float64        `cbor:"3,keyasint,omitempty" json:"servers"`         // ready, the most of late
	NoSheddingFor time.Duration  `cbor:"4,keyasint,omitempty" json:"no_purge_for_ns"` // from the snapshot on
	LearnedFor    time.Duration  `cbor:"5,keyasint,omitempty" json:"learned_for_ns"`  // up to learningDuration
}

// KindSnapshot is the usual service time of a kind of machine, by concurrency.
type KindSnapshot struct {
	Name  string                `cbor:"1,keyasint" json:"name"`
	Steps []ServiceTimeSnapshot `cbor:"2,keyasint,omitempty" json:"steps"`
}

// ServiceTimeSnapshot is the usual service time at a step of concurrency.
type ServiceTimeSnapshot struct {
	Step       int     `cbor:"1,keyasint" json:"step"`
	LogSeconds float64 `cbor:"2,keyasint" json:"log"` // natural logarithm
	Samples    float64 `cbor:"3,keyasint" json:"answers"`
}

// SnapshotVersion is the version of what the values of a Snapshot mean.
const SnapshotVersion = 1

const (
	serviceTimeHalfLife = time.Hour        // in which half of what is known of service times is outdated
	freshDuration       = 20 * time.Minute // in which InFlight and LearnedFor hold
	maxNoShedding       = time.Minute

	// Bounds of what can have been learned; beyond, something else wrote the file.
	maxKinds      = 256
	maxLogSeconds = 12.0 // from microseconds to days
	maxSamples    = 1e9
	maxInFlight   = 1e6 // requests
	maxServers    = 1e4
)

// Snapshot returns what the Controller has learned; it changes nothing but the time.
func (c *Controller) Snapshot(now time.Duration) Snapshot {
	c.now = max(c.now, now)
	peak := c.peakServers // a copy
	peak.decay(c.now)
	snapshot := Snapshot{
		InFlight: c.outage.usualInFlight.weight, Servers: max(peak.weight, float64(c.readyServers())),
		NoSheddingFor: min(max(c.episode.noSheddingBefore-c.now, 0), maxNoShedding),
	}
	if c.firstResponseAt > 0 {
		snapshot.LearnedFor = min(c.now-c.firstResponseAt, learningDuration)
	}
	for _, name := range slices.Sorted(maps.Keys(c.serviceTimes)) {
		kind := KindSnapshot{Name: name}
		for i, samples := range c.serviceTimes[name].samples {
			if s := (ServiceTimeSnapshot{i, c.serviceTimes[name].logSeconds[i], samples}); s.isValid() {
				kind.Steps = append(kind.Steps, s)
			}
		}
		snapshot.Kinds = append(snapshot.Kinds, kind)
	}
	return snapshot
}

// Restore takes over a snapshot of that age, before the first request. A negative age is of a clock that was
// set back: nothing is known of the snapshot then, and nothing taken over. What cannot have been learned is
// left out.
func (c *Controller) Restore(now time.Duration, snapshot Snapshot, age time.Duration) {
	c.now = max(c.now, now)
	if age < 0 {
		return
	}
	remaining := math.Exp2(-float64(age) / float64(serviceTimeHalfLife))
	for _, kind := range snapshot.Kinds[:min(len(snapshot.Kinds), maxKinds)] {
		estimate := c.serviceTimeOf(kind.Name)
		for _, s := range kind.Steps {
			if s.isValid() {
				estimate.logSeconds[s.Step] = s.LogSeconds
				estimate.samples[s.Step] = remaining * min(s.Samples, maxSamples)
			}
		}
	}
	if age < freshDuration {
		usual := &c.outage.usualInFlight
		usual.updatedAt, usual.weight = c.now, validCount(snapshot.InFlight, maxInFlight)
		if learned := min(max(snapshot.LearnedFor, 0), learningDuration) - c.settleTime(); learned > 0 {
			c.firstResponseAt = max(c.now-learned, 1)
		}
	}
	c.peakServers.updatedAt, c.peakServers.weight = c.now-age, validCount(snapshot.Servers, maxServers)
	if left := min(max(snapshot.NoSheddingFor, 0), maxNoShedding) - age; left > 0 {
		c.episode.noSheddingBefore = c.now + left
	}
}

// settleTime is how long after a start service times say nothing, though the usual ones are known: the
// servers still work on what was sent before the restart, until its latency objective has passed, and this
// agent counts none of that.
func (c *Controller) settleTime() time.Duration { return c.longestObjective * 3 / 2 }

// isValid reports whether a step can have been learned.
func (s ServiceTimeSnapshot) isValid() bool {
	return s.Step >= 0 && s.Step < concurrencySteps && s.Samples > 0 && math.Abs(s.LogSeconds) < maxLogSeconds
}

// validCount is a count that can be, or zero.
func validCount(v, most float64) float64 {
	if !(v > 0) || v > most {
		return 0
	}
	return v
}
