package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunestep/internal/balancer/outlier"
)

// SnapshotVersion is the version of the meaning of a Snapshot's values. It changes when the meaning of a
// value changes, not when a value is added.
const SnapshotVersion = 2

const (
	// maxBlamedKeys is the maximum number of blamed keys in a Snapshot. Those with the most time left are kept.
	maxBlamedKeys = 1000
	// minSnapshotPenalty is the flap penalty below which a Snapshot has none for the server.
	minSnapshotPenalty = 0.01
)

// Snapshot is the learned state of a Balancer, as plain values that can be stored across a restart. Its
// times are relative to when it was taken, so that it does not depend on a clock. Zero values mean unknown.
// The keys of its encodings are stored and must not change.
type Snapshot struct {
	BaselineLatency BaselineSnapshot `cbor:"1,keyasint" json:"pace"`                // over all responses
	MeanLatency     float64          `cbor:"2,keyasint,omitempty" json:"latency_s"` // seconds
	// moving average over all attempts
	FailureRatio float64 `cbor:"3,keyasint,omitempty" json:"failing"`
	// work units a second
	SendRate        float64 `cbor:"4,keyasint,omitempty" json:"rate"`
	TypicalInFlight float64 `cbor:"5,keyasint,omitempty" json:"typical"` // requests at a server
	// requests a second at this balancer
	ArrivalRate float64 `cbor:"6,keyasint,omitempty" json:"arrivals"`
	// requests a second, mean over all balancers
	MeanArrivalRate float64 `cbor:"7,keyasint,omitempty" json:"mean_arrivals"`
	// seconds, mean of the work hints
	MeanWork float64 `cbor:"8,keyasint,omitempty" json:"mean_work_s"`
	// requests, mean of the servers' load reports
	MeanReportedInFlight float64 `cbor:"9,keyasint,omitempty" json:"mean_held"`
	RetryTokens          float64 `cbor:"10,keyasint,omitempty" json:"tokens"`
	// sorted by name, like the next three
	Kinds      []KindSnapshot      `cbor:"11,keyasint,omitempty" json:"kinds"`
	Zones      []ZoneSnapshot      `cbor:"12,keyasint,omitempty" json:"zones"`
	Classes    []ClassSnapshot     `cbor:"13,keyasint,omitempty" json:"classes"`
	Tenants    []TenantSnapshot    `cbor:"14,keyasint,omitempty" json:"tenants"`
	Servers    []ServerSnapshot    `cbor:"15,keyasint,omitempty" json:"servers"`     // members, sorted by id
	BlamedKeys []BlamedKeySnapshot `cbor:"16,keyasint,omitempty" json:"blamed_keys"` // most time left first
}

// BaselineSnapshot is a stored baseline latency.
type BaselineSnapshot struct {
	Latency float64 `cbor:"1,keyasint,omitempty" json:"quick_s"` // seconds, 25th percentile
	Samples float64 `cbor:"2,keyasint,omitempty" json:"answers"` // number of responses
}

// KindSnapshot is the baseline latency of a machine kind.
type KindSnapshot struct {
	Name            string           `cbor:"1,keyasint" json:"name"`
	BaselineLatency BaselineSnapshot `cbor:"2,keyasint" json:"pace"`
}

// ZoneSnapshot is the calibration of the load reports of a zone's servers.
type ZoneSnapshot struct {
	Name             string  `cbor:"1,keyasint" json:"name"`
	ReportedWait     float64 `cbor:"2,keyasint,omitempty" json:"wait_s"` // mean, in seconds beyond the baseline
	ReportedInFlight float64 `cbor:"3,keyasint,omitempty" json:"held"`   // mean, in requests
}

// ClassSnapshot has the longest client timeout of a class so far.
type ClassSnapshot struct {
	Name             string        `cbor:"1,keyasint" json:"name"`
	MaxClientTimeout time.Duration `cbor:"2,keyasint,omitempty" json:"budget_ns"`
}

// TenantSnapshot has the rest of a tenant's quota at this balancer.
type TenantSnapshot struct {
	Name       string        `cbor:"1,keyasint" json:"name"`
	Tokens     float64       `cbor:"2,keyasint,omitempty" json:"bucket"` // requests
	UpdatedAgo time.Duration `cbor:"3,keyasint,omitempty" json:"ago_ns"`
}

// ServerSnapshot is the state of one process of a server: the one that started at StartedAt.
type ServerSnapshot struct {
	ID        string        `cbor:"1,keyasint" json:"id"`
	StartedAt time.Duration `cbor:"2,keyasint,omitempty" json:"started_ns"`
	Latency   float64       `cbor:"3,keyasint,omitempty" json:"latency_s"` // seconds, mean
	// mean number of requests in flight when the latency was measured
	LatencyInFlight  float64       `cbor:"4,keyasint,omitempty" json:"latency_at_n"`
	SampledAgo       time.Duration `cbor:"5,keyasint,omitempty" json:"sampled_ago_ns"` // last measured latency
	ReportedInFlight float64       `cbor:"6,keyasint,omitempty" json:"held"`           // requests
	ReportedAgo      time.Duration `cbor:"7,keyasint,omitempty" json:"held_ago_ns"`
	FlapPenalty      float64       `cbor:"11,keyasint,omitempty" json:"penalty"`
	DampedFor        time.Duration `cbor:"12,keyasint,omitempty" json:"damped_for_ns"` // remaining time
	// time since the recovery; zero: not in slow start
	RecoveredAgo time.Duration `cbor:"13,keyasint,omitempty" json:"back_ago_ns"`
	// classes by their index in Snapshot.Classes
	Outlier outlier.Snapshot `cbor:"14,keyasint" json:"health"`

	// Fields of version 1 only: see MigrateFromVersion1.
	FailuresV1 float64 `cbor:"8,keyasint,omitempty" json:"-"`
	RejectedV1 int     `cbor:"9,keyasint,omitempty" json:"-"`
	DownV1     bool    `cbor:"10,keyasint,omitempty" json:"-"`
}

// BlamedKeySnapshot is a poisoned key, by its hash.
type BlamedKeySnapshot struct {
	Hash      uint32        `cbor:"1,keyasint" json:"hash"`
	BlamedFor time.Duration `cbor:"2,keyasint" json:"for_ns"` // remaining time
}

// MigrateFromVersion1 converts a Snapshot of version 1 to the current version in place.
func (m *Snapshot) MigrateFromVersion1() {
	const failuresToDown = 3     // failures after which a server was down in version 1
	const evidencePerFailure = 4 // units of outlier.Snapshot.DeadEvidence
	for i := range m.Servers {
		s := &m.Servers[i]
		s.Outlier = outlier.Snapshot{
			Ejected: s.DownV1, Silent: s.DownV1 && s.RejectedV1 == 0, NotListening: s.RejectedV1 > 1,
			DeadEvidence: evidencePerFailure * min(max(s.FailuresV1, 0), failuresToDown),
		}
		s.FailuresV1, s.RejectedV1, s.DownV1 = 0, 0, false
	}
}

// Snapshot returns the learned state at a time, for Restore.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.now = max(b.now, now)
	local, mean := b.quotas.Rates()
	m := Snapshot{
		BaselineLatency: b.baseline.snapshot(), MeanLatency: b.meanLatency, FailureRatio: b.failureFraction,
		SendRate: b.sendRate, TypicalInFlight: b.typicalInFlight, ArrivalRate: local, MeanArrivalRate: mean,
		MeanWork: b.meanWork, MeanReportedInFlight: b.meanReportedInFlight, RetryTokens: b.retryTokens,
	}
	for _, name := range sortedNames(b.kindBaselines) {
		m.Kinds = append(m.Kinds, KindSnapshot{name, b.kindBaselines[name].snapshot()})
	}
	for _, name := range sortedNames(b.zoneReports) {
		m.Zones = append(m.Zones, ZoneSnapshot{name, b.zoneReports[name].wait, b.zoneReports[name].inFlight})
	}
	classNames := sortedNames(b.classes)
	for _, name := range classNames {
		m.Classes = append(m.Classes, ClassSnapshot{name, b.classes[name].maxClientTimeout})
	}
	for _, t := range b.settings.Tenants {
		tokens, at := b.quotas.Tokens(t.Name)
		m.Tenants = append(m.Tenants, TenantSnapshot{t.Name, tokens, b.now - at})
	}
	slices.SortFunc(m.Tenants, func(p, q TenantSnapshot) int { return cmp.Compare(p.Name, q.Name) })
	m.Servers = make([]ServerSnapshot, 0, b.ring.MemberCount())
	for _, s := range b.ring.Members() {
		m.Servers = append(m.Servers, b.snapshotServer(s, classNames))
	}
	m.BlamedKeys = b.snapshotBlamedKeys()
	return m
}

// snapshotServer returns a server's state. Classes are identified by their index in classNames.
func (b *Balancer) snapshotServer(s *server, classNames []string) ServerSnapshot {
	m := ServerSnapshot{
		ID: s.ID, StartedAt: s.StartedAt, Latency: s.latency, LatencyInFlight: s.latencyInFlight,
		DampedFor: max(s.dampedUntil-b.now, 0), Outlier: b.detector.Snapshot(b.now, s.outlier),
	}
	for i := range m.Outlier.Classes {
		m.Outlier.Classes[i].Class = slices.Index(classNames, b.className(m.Outlier.Classes[i].Class))
	}
	if s.latency > 0 {
		m.SampledAgo = b.now - s.latencyAt
	}
	if s.reportedAt > 0 {
		m.ReportedInFlight, m.ReportedAgo = s.reportedInFlight, b.now-s.reportedAt
	}
	if p := s.decayedPenalty(b.now); p > minSnapshotPenalty {
		m.FlapPenalty = p
	}
	if s.recoveredAt > 0 && b.capacityFraction(s) < 1 {
		m.RecoveredAgo = max(b.now-s.recoveredAt, 1)
	}
	return m
}

// snapshotBlamedKeys returns the poisoned keys, those with the longest time left first.
func (b *Balancer) snapshotBlamedKeys() (keys []BlamedKeySnapshot) {
	for hash, k := range b.blamedKeys {
		if k.until > b.now {
			keys = append(keys, BlamedKeySnapshot{hash, k.until - b.now})
		}
	}
	slices.SortFunc(keys, func(p, q BlamedKeySnapshot) int {
		return cmp.Or(cmp.Compare(q.BlamedFor, p.BlamedFor), cmp.Compare(p.Hash, q.Hash))
	})
	return keys[:min(len(keys), maxBlamedKeys)]
}

func (l *baselineLatency) snapshot() BaselineSnapshot {
	return BaselineSnapshot{Latency: l.seconds, Samples: l.samples}
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// className returns the name of the class with the index, or an empty string if there is none.
func (b *Balancer) className(index int) string {
	for name, c := range b.classes {
		if c.index == index {
			return name
		}
	}
	return ""
}
