package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunestep/internal/balancer/outlier"
)

// SnapshotVersion says what the values of a Snapshot mean. It changes when a value's meaning does, not when
// one is added.
const SnapshotVersion = 2

const (
	// maxBlamedKeys bounds the blamed keys in a Snapshot, those blamed for longest first.
	maxBlamedKeys = 1000
	// minSnapshotPenalty is the flap penalty below which none is in a Snapshot.
	minSnapshotPenalty = 0.01
)

// Snapshot is what a Balancer has learned, as plain values that can be kept over a restart. Its times are
// spans from when it was taken, so that it depends on no clock. What is empty was not known. The keys of its
// encodings are stored and must not change.
type Snapshot struct {
	BaselineLatency BaselineSnapshot `cbor:"1,keyasint" json:"pace"`                // of all answers
	MeanLatency     float64          `cbor:"2,keyasint,omitempty" json:"latency_s"` // seconds
	// of the latest attempts
	FailureRatio float64 `cbor:"3,keyasint,omitempty" json:"failing"`
	// work units a second
	SendRate        float64 `cbor:"4,keyasint,omitempty" json:"rate"`
	TypicalInFlight float64 `cbor:"5,keyasint,omitempty" json:"typical"` // at a server
	// requests a second, here
	ArrivalRate float64 `cbor:"6,keyasint,omitempty" json:"arrivals"`
	// over all balancers
	MeanArrivalRate float64 `cbor:"7,keyasint,omitempty" json:"mean_arrivals"`
	// seconds, of the hints
	MeanWork float64 `cbor:"8,keyasint,omitempty" json:"mean_work_s"`
	// by the servers' reports
	MeanReportedInFlight float64 `cbor:"9,keyasint,omitempty" json:"mean_held"`
	RetryTokens          float64 `cbor:"10,keyasint,omitempty" json:"tokens"`
	// by name, as the next three
	Kinds      []KindSnapshot      `cbor:"11,keyasint,omitempty" json:"kinds"`
	Zones      []ZoneSnapshot      `cbor:"12,keyasint,omitempty" json:"zones"`
	Classes    []ClassSnapshot     `cbor:"13,keyasint,omitempty" json:"classes"`
	Tenants    []TenantSnapshot    `cbor:"14,keyasint,omitempty" json:"tenants"`
	Servers    []ServerSnapshot    `cbor:"15,keyasint,omitempty" json:"servers"`     // members, by id
	BlamedKeys []BlamedKeySnapshot `cbor:"16,keyasint,omitempty" json:"blamed_keys"` // longest first
}

// BaselineSnapshot is a latency of fast answers.
type BaselineSnapshot struct {
	Latency float64 `cbor:"1,keyasint,omitempty" json:"quick_s"` // seconds; a quarter of the answers stay below
	Samples float64 `cbor:"2,keyasint,omitempty" json:"answers"`
}

// KindSnapshot is the baseline latency of a machine kind.
type KindSnapshot struct {
	Name            string           `cbor:"1,keyasint" json:"name"`
	BaselineLatency BaselineSnapshot `cbor:"2,keyasint" json:"pace"`
}

// ZoneSnapshot is what the reports of a zone's servers were worth.
type ZoneSnapshot struct {
	Name             string  `cbor:"1,keyasint" json:"name"`
	ReportedWait     float64 `cbor:"2,keyasint,omitempty" json:"wait_s"` // seconds beyond the baseline
	ReportedInFlight float64 `cbor:"3,keyasint,omitempty" json:"held"`   // requests
}

// ClassSnapshot is the longest time that a client of a class gave.
type ClassSnapshot struct {
	Name             string        `cbor:"1,keyasint" json:"name"`
	MaxClientTimeout time.Duration `cbor:"2,keyasint,omitempty" json:"budget_ns"`
}

// TenantSnapshot is what a tenant had left of its quota.
type TenantSnapshot struct {
	Name       string        `cbor:"1,keyasint" json:"name"`
	Tokens     float64       `cbor:"2,keyasint,omitempty" json:"bucket"` // requests
	UpdatedAgo time.Duration `cbor:"3,keyasint,omitempty" json:"ago_ns"`
}

// ServerSnapshot is what was learned of one process of a server: the one that started at StartedAt.
type ServerSnapshot struct {
	ID        string        `cbor:"1,keyasint" json:"id"`
	StartedAt time.Duration `cbor:"2,keyasint,omitempty" json:"started_ns"`
	Latency   float64       `cbor:"3,keyasint,omitempty" json:"latency_s"` // seconds
	// when the latency was seen
	LatencyInFlight  float64       `cbor:"4,keyasint,omitempty" json:"latency_at_n"`
	SampledAgo       time.Duration `cbor:"5,keyasint,omitempty" json:"sampled_ago_ns"`
	ReportedInFlight float64       `cbor:"6,keyasint,omitempty" json:"held"`
	ReportedAgo      time.Duration `cbor:"7,keyasint,omitempty" json:"held_ago_ns"`
	FlapPenalty      float64       `cbor:"11,keyasint,omitempty" json:"penalty"`
	DampedFor        time.Duration `cbor:"12,keyasint,omitempty" json:"damped_for_ns"` // from then on
	// while in slow start; zero: is not
	RecoveredAgo time.Duration `cbor:"13,keyasint,omitempty" json:"back_ago_ns"`
	// classes by their index here
	Outlier outlier.Snapshot `cbor:"14,keyasint" json:"health"`

	// Of version 1 only: see MigrateFromVersion1.
	Failures1 float64 `cbor:"8,keyasint,omitempty" json:"-"`
	Rejected1 int     `cbor:"9,keyasint,omitempty" json:"-"`
	Down1     bool    `cbor:"10,keyasint,omitempty" json:"-"`
}

// BlamedKeySnapshot is a key that was blamed, by its hash.
type BlamedKeySnapshot struct {
	Hash      uint32        `cbor:"1,keyasint" json:"hash"`
	BlamedFor time.Duration `cbor:"2,keyasint" json:"for_ns"` // from then on
}

// MigrateFromVersion1 turns a Snapshot of version 1 into one of the present version.
func (m *Snapshot) MigrateFromVersion1() {
	const failuresToDown = 3 // in version 1, failures that took a server down
	const evidencePerFailure = 4
	for i := range m.Servers {
		s := &m.Servers[i]
		s.Outlier = outlier.Snapshot{
			Ejected: s.Down1, Silent: s.Down1 && s.Rejected1 == 0, NotListening: s.Rejected1 > 1,
			DeadEvidence: evidencePerFailure * min(max(s.Failures1, 0), failuresToDown),
		}
		s.Failures1, s.Rejected1, s.Down1 = 0, 0, false
	}
}

// Snapshot returns what the Balancer has learned.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.now = max(b.now, now)
	here, mean := b.quotas.Rates()
	m := Snapshot{
		BaselineLatency: b.baseline.snapshot(), MeanLatency: b.meanLatency, FailureRatio: b.failureFraction,
		SendRate: b.sendRate, TypicalInFlight: b.typicalInFlight, ArrivalRate: here, MeanArrivalRate: mean,
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
	m.Servers = make([]ServerSnapshot, 0, len(b.ring.Members()))
	for _, s := range b.ring.Members() {
		m.Servers = append(m.Servers, b.snapshotServer(s, classNames))
	}
	m.BlamedKeys = b.snapshotBlamedKeys()
	return m
}

// snapshotServer numbers classes by their index in classNames.
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
	if s.recoveredAt > 0 && b.warmth(s) < 1 {
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

// className returns the name of the class with the index; empty: there is none.
func (b *Balancer) className(index int) string {
	for name, c := range b.classes {
		if c.index == index {
			return name
		}
	}
	return ""
}
