package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dunestep/internal/balancer/outlier"
)

// What a Balancer has learned, as plain values that can be kept over a restart. Nothing here decides; what is
// taken back is what decide.go would have held, faded by its age.

// SnapshotVersion tells what the values of a DedupWindow mean. It changes when a value's meaning does, not when one
// is added.
const SnapshotVersion = 2

// DedupWindow is what a Balancer learned of servers, kinds of machine, zones, classes and tenants. Its times are
// spans from when it was taken, so that no clock matters. What is empty was not known.
type Snapshot struct {
	BaselineLatency      BaselineSnapshot    `cbor:"1,keyasint" json:"pace"`                    // of all answers
	MeanLatency          float64             `cbor:"2,keyasint,omitempty" json:"latency_s"`     // mean, seconds
	FailureRatio         float64             `cbor:"3,keyasint,omitempty" json:"failing"`       // share of the attempts
	SendRate             float64             `cbor:"4,keyasint,omitempty" json:"rate"`          // work units sent a second
	TypicalInFlight      float64             `cbor:"5,keyasint,omitempty" json:"typical"`       // in flight at a server
	ArrivalRate          float64             `cbor:"6,keyasint,omitempty" json:"arrivals"`      // a second, here
	MeanArrivalRate      float64             `cbor:"7,keyasint,omitempty" json:"mean_arrivals"` // over all balancers
	MeanWork             float64             `cbor:"8,keyasint,omitempty" json:"mean_work_s"`   // of the hints
	MeanReportedInFlight float64             `cbor:"9,keyasint,omitempty" json:"mean_held"`     // by the servers' reports
	RetryTokens          float64             `cbor:"10,keyasint,omitempty" json:"tokens"`       // for further attempts
	Kinds                []KindSnapshot      `cbor:"11,keyasint,omitempty" json:"kinds"`        // by name, as the next three
	Zones                []ZoneSnapshot      `cbor:"12,keyasint,omitempty" json:"zones"`
	Classes              []ClassSnapshot     `cbor:"13,keyasint,omitempty" json:"classes"`
	Tenants              []TenantSnapshot    `cbor:"14,keyasint,omitempty" json:"tenants"`
	Servers              []ServerSnapshot    `cbor:"15,keyasint,omitempty" json:"servers"`     // members, by id
	BlamedKeys           []BlamedKeySnapshot `cbor:"16,keyasint,omitempty" json:"blamed_keys"` // the longest first
}

// BaselineSnapshot is how quick answers were.
type BaselineSnapshot struct {
	Latency float64 `cbor:"1,keyasint,omitempty" json:"quick_s"` // seconds, under which a quarter of them came
	Samples float64 `cbor:"2,keyasint,omitempty" json:"answers"` // that this rests on
}

// KindSnapshot is how quick a kind of machine was.
type KindSnapshot struct {
	Name            string           `cbor:"1,keyasint" json:"name"`
	BaselineLatency BaselineSnapshot `cbor:"2,keyasint" json:"pace"`
}

// ZoneSnapshot is what the reports of a zone's servers were worth.
type ZoneSnapshot struct {
	Name             string  `cbor:"1,keyasint" json:"name"`
	ReportedWait     float64 `cbor:"2,keyasint,omitempty" json:"wait_s"`
	ReportedInFlight float64 `cbor:"3,keyasint,omitempty" json:"held"`
}

// ClassSnapshot is the longest time that a client of a class gave.
type ClassSnapshot struct {
	Name             string        `cbor:"1,keyasint" json:"name"`
	MaxClientTimeout time.Duration `cbor:"2,keyasint,omitempty" json:"budget_ns"`
}

// TenantSnapshot is what a tenant had left of its quota.
type TenantSnapshot struct {
	Name       string        `cbor:"1,keyasint" json:"name"`
	Tokens     float64       `cbor:"2,keyasint,omitempty" json:"bucket"`
	UpdatedAgo time.Duration `cbor:"3,keyasint,omitempty" json:"ago_ns"`
}

// ServerSnapshot is what was learned of one run of a server: the one that had started then.
type ServerSnapshot struct {
	ID               string           `cbor:"1,keyasint" json:"id"`
	StartedAt        time.Duration    `cbor:"2,keyasint,omitempty" json:"started_ns"`
	Latency          float64          `cbor:"3,keyasint,omitempty" json:"latency_s"` // at so many in flight
	LatencyInFlight  float64          `cbor:"4,keyasint,omitempty" json:"latency_at_n"`
	SampledAgo       time.Duration    `cbor:"5,keyasint,omitempty" json:"sampled_ago_ns"`
	ReportedInFlight float64          `cbor:"6,keyasint,omitempty" json:"held"` // by its own report
	ReportedAgo      time.Duration    `cbor:"7,keyasint,omitempty" json:"held_ago_ns"`
	FlapPenalty      float64          `cbor:"11,keyasint,omitempty" json:"penalty"`
	DampedFor        time.Duration    `cbor:"12,keyasint,omitempty" json:"damped_for_ns"` // from then on
	RecoveredAgo     time.Duration    `cbor:"13,keyasint,omitempty" json:"back_ago_ns"`   // cold since; zero: not
	Outlier          outlier.Snapshot `cbor:"14,keyasint" json:"health"`                  // classes by their place

	// Of version 1, from which version 2 was made of them: what the module counted itself then.
	Failures1 float64 `cbor:"8,keyasint,omitempty" json:"-"`
	Rejected1 int     `cbor:"9,keyasint,omitempty" json:"-"`
	Down1     bool    `cbor:"10,keyasint,omitempty" json:"-"`
}

// MigrateFromVersion1 turns a DedupWindow of version 1 into one of the present version.
func (m *Snapshot) MigrateFromVersion1() {
	const toDown = 3 // failures that took a server down then, by the module's own count
	for i := range m.Servers {
		s := &m.Servers[i]
		s.Outlier = outlier.Snapshot{
			Ejected: s.Down1, Silent: s.Down1 && s.Rejected1 == 0, NotListening: s.Rejected1 > 1,
			DeadEvidence: 4 * min(max(s.Failures1, 0), toDown),
		}
		s.Failures1, s.Rejected1, s.Down1 = 0, 0, false
	}
}

// BlamedKeySnapshot is a key that was blamed, by its hash.
type BlamedKeySnapshot struct {
	Hash      uint32        `cbor:"1,keyasint" json:"hash"`
	BlamedFor time.Duration `cbor:"2,keyasint" json:"for_ns"` // from then on
}

// How soon half of a kind of knowledge has spoiled.
const (
	baselineHalfLife = time.Hour        // how quick kinds of machine are
	trafficHalfLife  = 10 * time.Minute // how much comes and is carried
	faultHalfLife    = 30 * time.Second // who fails
	// maxBlamedKeys bounds the blamed keys that are kept, the longest blamed ones first.
	maxBlamedKeys = 1000
)

// Snapshot returns what the Balancer has learned.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.now = max(b.now, now)
	here, mean := b.quotas.Rates()
	m := Snapshot{
		BaselineLatency: b.baseline.snapshot(), MeanLatency: b.meanLatency, FailureRatio: b.failureFraction, SendRate: b.sendRate, TypicalInFlight: b.typicalInFlight,
		ArrivalRate: here, MeanArrivalRate: mean, MeanWork: b.meanWork, MeanReportedInFlight: b.meanReportedInFlight,
		RetryTokens: b.retryTokens,
	}
	for _, name := range sortedNames(b.kindBaselines) {
		m.Kinds = append(m.Kinds, KindSnapshot{name, b.kindBaselines[name].snapshot()})
	}
	for _, name := range sortedNames(b.zoneReports) {
		m.Zones = append(m.Zones, ZoneSnapshot{name, b.zoneReports[name].wait, b.zoneReports[name].inFlight})
	}
	names := sortedNames(b.classes)
	for _, name := range names {
		m.Classes = append(m.Classes, ClassSnapshot{name, b.classes[name].maxClientTimeout})
	}
	for _, t := range b.settings.Tenants {
		saved, at := b.quotas.Tokens(t.Name)
		m.Tenants = append(m.Tenants, TenantSnapshot{t.Name, saved, b.now - at})
	}
	slices.SortFunc(m.Tenants, func(p, q TenantSnapshot) int { return cmp.Compare(p.Name, q.Name) })
	m.Servers = make([]ServerSnapshot, 0, len(b.ring.Members()))
	for _, s := range b.ring.Members() {
		m.Servers = append(m.Servers, b.snapshotServer(s, names))
	}
	for hash, k := range b.blamedKeys {
		if k.until > b.now {
			m.BlamedKeys = append(m.BlamedKeys, BlamedKeySnapshot{hash, k.until - b.now})
		}
	}
	slices.SortFunc(m.BlamedKeys, func(p, q BlamedKeySnapshot) int {
		return cmp.Or(cmp.Compare(q.BlamedFor, p.BlamedFor), cmp.Compare(p.Hash, q.Hash))
	})
	m.BlamedKeys = m.BlamedKeys[:min(len(m.BlamedKeys), maxBlamedKeys)]
	return m
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// snapshotServer numbers classes by their place among the names.
func (b *Balancer) snapshotServer(s *server, names []string) ServerSnapshot {
	m := ServerSnapshot{
		ID: s.ID, StartedAt: s.StartedAt, Latency: s.latency, LatencyInFlight: s.latencyInFlight,
		DampedFor: max(s.dampedUntil-b.now, 0), Outlier: b.detector.Snapshot(b.now, s.outlier),
	}
	for i := range m.Outlier.Classes {
		m.Outlier.Classes[i].Class = slices.Index(names, b.className(m.Outlier.Classes[i].Class))
	}
	if s.latency > 0 {
		m.SampledAgo = b.now - s.latencyAt
	}
	if s.reportedAt > 0 {
		m.ReportedInFlight, m.ReportedAgo = s.reportedInFlight, b.now-s.reportedAt
	}
	if p := s.decayedPenalty(b.now); p > 0.01 {
		m.FlapPenalty = p
	}
	if s.recoveredAt > 0 && b.warmth(s) < 1 {
		m.RecoveredAgo = max(b.now-s.recoveredAt, 1)
	}
	return m
}

// Restore takes back what was learned, taken so long ago, of the servers that are listed now; it comes before
// the first request. What is known of a server that was started anew since, or is not listed, is left out, as
// is whatever can't be: a memory from outside must not harm. An age below zero is of a clock that was set
// back, so that nothing is known of the age: nothing is taken.
func (b *Balancer) Restore(now time.Duration, m Snapshot, age time.Duration) {
	b.now = max(b.now, now)
	if age < 0 {
		return
	}
	age = validAge(age)
	speed, traffic, trouble := remaining(age, baselineHalfLife), remaining(age, trafficHalfLife), remaining(age, faultHalfLife)
	b.baseline = m.BaselineLatency.decayed(speed)
	b.meanLatency = blend(trouble, m.MeanLatency, b.baseline.seconds)
	b.failureFraction = trouble * min(validAmount(m.FailureRatio), 1)
	b.sendRate = traffic * validAmount(m.SendRate)
	b.typicalInFlight = blend(traffic, m.TypicalInFlight, b.typicalInFlight)
	b.quotas.Restore(b.now, traffic*validAmount(m.ArrivalRate), traffic*validAmount(m.MeanArrivalRate))
	b.meanWork, b.meanReportedInFlight = validAmount(m.MeanWork), trouble*validAmount(m.MeanReportedInFlight)
	b.retryTokens = min(b.retryTokens, blend(trouble, m.RetryTokens, b.retryTokens))
	for _, k := range m.Kinds {
		if p := k.BaselineLatency.decayed(speed); p.samples > 0 {
			*b.kindBaseline(k.Name) = p // which its servers have hold of
		}
	}
	for _, z := range m.Zones {
		if validAmount(z.ReportedInFlight) > 0 && trouble > 0.25 {
			b.zoneReports[z.Name] = &zoneReport{wait: validAmount(z.ReportedWait), inFlight: z.ReportedInFlight}
		}
	}
	for _, c := range m.Classes {
		if known := b.classes[c.Name]; known != nil {
			known.maxClientTimeout = min(max(known.maxClientTimeout, c.MaxClientTimeout), known.Deadline)
		}
	}
	for _, t := range m.Tenants {
		b.quotas.SetTokens(t.Name, validAmount(t.Tokens), b.now-validAge(t.UpdatedAgo)-age)
	}
	for i := range m.Servers {
		if s := b.servers[m.Servers[i].ID]; s != nil && s.ringPlace.IsMember() && s.StartedAt == m.Servers[i].StartedAt {
			b.restoreServer(s, &m.Servers[i], m.Classes, age)
		}
	}
	for _, k := range m.BlamedKeys[:min(len(m.BlamedKeys), maxBlamedKeys)] {
		if left := min(k.BlamedFor, poisonDuration) - age; left > 0 {
			b.blamedKeys[k.Hash] = &blamedKey{servers: make([]*server, poisonServers), lastFailureAt: b.now, until: b.now + left}
		}
	}
	b.updateWeights()
	b.updateDetector()
}

func (b *Balancer) restoreServer(s *server, m *ServerSnapshot, classes []ClassSnapshot, age time.Duration) {
	if l := validAmount(m.Latency); l > 0 && l < 3600 && validAmount(m.LatencyInFlight) > 0 {
		s.latency, s.latencyInFlight, s.latencyAt = l, m.LatencyInFlight, b.now-validAge(m.SampledAgo)-age
	}
	if m.ReportedAgo > 0 {
		s.reportedInFlight, s.reportedAt = validAmount(m.ReportedInFlight), b.now-validAge(m.ReportedAgo)-age
	}
	s.flapPenalty, s.flapPenaltyAt = min(validAmount(m.FlapPenalty), 10*b.tuning.SuppressLimit), b.now-age
	if left := min(m.DampedFor, dampingDuration) - age; left > 0 {
		s.dampedUntil = b.now + left
	}
	known := m.Outlier
	known.Classes = nil
	for _, l := range m.Outlier.Classes {
		if l.Class >= 0 && l.Class < len(classes) && b.classes[classes[l.Class].Name] != nil {
			l.Class = b.classes[classes[l.Class].Name].index
			known.Classes = append(known.Classes, l)
		}
	}
	b.detector.Restore(b.now, s.outlier, known, age)
	if s.wasDown = s.outlier.IsEjected(); s.wasDown {
		s.slowStart.Start(b.now, 1) // the first trial comes at once: it may be well by now
	}
	if m.RecoveredAgo > 0 {
		s.recoveredAt = max(b.now-validAge(m.RecoveredAgo)-age, 1)
	}
}

// ForgetServer forgets what was learned of a server before: it turns out that another process has its name.
func (b *Balancer) ForgetServer(id string) {
	s := b.servers[id]
	if s == nil {
		return
	}
	b.detector.RemoveServer(s.outlier)
	s.outlier, s.wasDown = b.detector.AddServer(), false
	s.latency, s.latencyInFlight, s.flapPenalty, s.dampedUntil, s.recoveredAt, s.reportedInFlight, s.reportedAt = 0, 0, 0, 0, 0, 0, 0
	s.slowStart.Start(b.now, b.rng.Float64())
	b.updateDetector()
}

// className is the name of a class by its number.
func (b *Balancer) className(lane int) string {
	for name, c := range b.classes {
		if c.index == lane {
			return name
		}
	}
	return ""
}

// fade is what is left of something that loses half of it in a time.
func remaining(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }

func (p *baselineLatency) snapshot() BaselineSnapshot {
	return BaselineSnapshot{Latency: p.seconds, Samples: p.samples}
}

// blend is a value of which only a part counts, the rest being another's.
func blend(part, v, other float64) float64 { return part*validAmount(v) + (1-part)*other }

// faded rests on fewer answers the older it is, so that the next ones count for more. The quick time itself
// holds until then: any other guess would be worse.
func (m BaselineSnapshot) decayed(by float64) baselineLatency {
	p := baselineLatency{seconds: validAmount(m.Latency), samples: math.Floor(by * min(validAmount(m.Samples), 1e9))}
	if p.seconds == 0 || p.seconds > 3600 || p.samples < 1 {
		return baselineLatency{}
	}
	return p
}

// amount is a value that can be counted with; what can't be is none.
func validAmount(v float64) float64 {
	if !(v > 0) || v > 1e12 {
		return 0
	}
	return v
}

// span is a time that has passed, at most a year.
func validAge(d time.Duration) time.Duration { return min(max(d, 0), 365*24*time.Hour) }
