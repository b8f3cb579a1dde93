package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Snapshot is what a Controller learns slowly, such as usual service times; it is kept across a restart. It
// leaves out current states: episodes and outages are detected within seconds, and one that has ended by
// then must not cause rejections. The tags define the stored form and must not change.
type Snapshot struct {
	Kinds         []KindSnapshot `cbor:"1,keyasint,omitempty" json:"kinds"`           // by name
	InFlight      float64        `cbor:"2,keyasint,omitempty" json:"crowd"`           // usual requests in flight
	Servers       float64        `cbor:"3,keyasint,omitempty" json:"servers"`         // ready, recent peak
	NoSheddingFor time.Duration  `cbor:"4,keyasint,omitempty" json:"no_purge_for_ns"` // from the snapshot on
	LearnedFor    time.Duration  `cbor:"5,keyasint,omitempty" json:"learned_for_ns"`  // at most learningDuration
}

// KindSnapshot is the usual service time of a machine kind, by concurrency bucket.
type KindSnapshot struct {
	Name    string                `cbor:"1,keyasint" json:"name"`
	Buckets []ServiceTimeSnapshot `cbor:"2,keyasint,omitempty" json:"steps"`
}

// ServiceTimeSnapshot is the usual service time in a concurrency bucket.
type ServiceTimeSnapshot struct {
	Step       int     `cbor:"1,keyasint" json:"step"`
	LogSeconds float64 `cbor:"2,keyasint" json:"log"` // natural logarithm of seconds
	Samples    float64 `cbor:"3,keyasint" json:"answers"`
}

// SnapshotVersion is the version of the meaning of a Snapshot's values.
const SnapshotVersion = 1

const (
	serviceTimeHalfLife = time.Hour        // half-life of the weight of stored service times
	freshDuration       = 20 * time.Minute // maximum age at which InFlight and LearnedFor are restored
	maxNoShedding       = time.Minute

	// Bounds of values that can have been learned; larger ones were not written by a Controller.
	maxKinds      = 256
	maxLogSeconds = 12.0 // natural logarithm of seconds, either sign: microseconds to days
	maxSamples    = 1e9
	maxInFlight   = 1e6 // requests
	maxServers    = 1e4
)

// Snapshot returns what the Controller has learned. It advances the Controller's time and changes nothing
// else.
func (c *Controller) Snapshot(now time.Duration) Snapshot {
	c.now = max(c.now, now)
	peak := c.peakServers // a copy
	peak.decay(c.now)
	snapshot := Snapshot{
		InFlight: c.outage.usualInFlight.weight, Servers: max(peak.weight, float64(c.serverCounts.ready)),
		NoSheddingFor: min(max(c.episode.noSheddingBefore-c.now, 0), maxNoShedding),
	}
	if c.firstResponseAt > 0 {
		snapshot.LearnedFor = min(c.now-c.firstResponseAt, learningDuration)
	}
	for _, name := range slices.Sorted(maps.Keys(c.serviceTimes)) {
		kind := KindSnapshot{Name: name}
		for i, samples := range c.serviceTimes[name].samples {
			if s := (ServiceTimeSnapshot{i, c.serviceTimes[name].logSeconds[i], samples}); s.isValid() {
				kind.Buckets = append(kind.Buckets, s)
			}
		}
		snapshot.Kinds = append(snapshot.Kinds, kind)
	}
	return snapshot
}

// Restore takes over a snapshot of the given age, before the first request. With a negative age, which
// results from a clock that was set back, it takes over nothing. Values that cannot have been learned are
// left out.
func (c *Controller) Restore(now time.Duration, snapshot Snapshot, age time.Duration) {
	c.now = max(c.now, now)
	if age < 0 {
		return
	}
	remaining := math.Exp2(-float64(age) / float64(serviceTimeHalfLife))
	for _, kind := range snapshot.Kinds[:min(len(snapshot.Kinds), maxKinds)] {
		estimate := c.serviceTimeOf(kind.Name)
		for _, s := range kind.Buckets {
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

// settleTime returns how long after a restart service times are not meaningful, even if the usual ones are
// known: the servers still work on requests that were sent before the restart, until their latency
// objective has passed, and this agent does not count those.
func (c *Controller) settleTime() time.Duration { return c.longestObjective * 3 / 2 }

// isValid reports whether the values can have been learned.
func (s ServiceTimeSnapshot) isValid() bool {
	return s.Step >= 0 && s.Step < concurrencyBuckets && s.Samples > 0 &&
		math.Abs(s.LogSeconds) < maxLogSeconds
}

// validCount returns v if it is above zero and at most limit, and zero otherwise.
func validCount(v, limit float64) float64 {
	if !(v > 0) || v > limit {
		return 0
	}
	return v
}
