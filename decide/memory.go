package decide

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dunestep/health"
)

// What a Balancer has learned, as plain values that can be kept over a restart. Nothing here decides; what is
// taken back is what decide.go would have held, faded by its age.

// MemoryVersion tells what the values of a Memory mean. It changes when a value's meaning does, not when one
// is added.
const MemoryVersion = 2

// Memory is what a Balancer learned of servers, kinds of machine, zones, classes and tenants. Its times are
// spans from when it was taken, so that no clock matters. What is empty was not known.
type Memory struct {
	Pace         PaceMemory     `cbor:"1,keyasint" json:"pace"`                    // of all answers
	Latency      float64        `cbor:"2,keyasint,omitempty" json:"latency_s"`     // mean, seconds
	Failing      float64        `cbor:"3,keyasint,omitempty" json:"failing"`       // share of the attempts
	Rate         float64        `cbor:"4,keyasint,omitempty" json:"rate"`          // work units sent a second
	Typical      float64        `cbor:"5,keyasint,omitempty" json:"typical"`       // in flight at a server
	Arrivals     float64        `cbor:"6,keyasint,omitempty" json:"arrivals"`      // a second, here
	MeanArrivals float64        `cbor:"7,keyasint,omitempty" json:"mean_arrivals"` // over all balancers
	MeanWork     float64        `cbor:"8,keyasint,omitempty" json:"mean_work_s"`   // of the hints
	MeanHeld     float64        `cbor:"9,keyasint,omitempty" json:"mean_held"`     // by the servers' reports
	Tokens       float64        `cbor:"10,keyasint,omitempty" json:"tokens"`       // for further attempts
	Kinds        []KindMemory   `cbor:"11,keyasint,omitempty" json:"kinds"`        // by name, as the next three
	Zones        []ZoneMemory   `cbor:"12,keyasint,omitempty" json:"zones"`
	Classes      []ClassMemory  `cbor:"13,keyasint,omitempty" json:"classes"`
	Tenants      []TenantMemory `cbor:"14,keyasint,omitempty" json:"tenants"`
	Servers      []ServerMemory `cbor:"15,keyasint,omitempty" json:"servers"`     // members, by id
	Keys         []KeyMemory    `cbor:"16,keyasint,omitempty" json:"blamed_keys"` // the longest first
}

// PaceMemory is how quick answers were.
type PaceMemory struct {
	Quick   float64 `cbor:"1,keyasint,omitempty" json:"quick_s"` // seconds, under which a quarter of them came
	Answers float64 `cbor:"2,keyasint,omitempty" json:"answers"` // that this rests on
}

// KindMemory is how quick a kind of machine was.
type KindMemory struct {
	Name string     `cbor:"1,keyasint" json:"name"`
	Pace PaceMemory `cbor:"2,keyasint" json:"pace"`
}

// ZoneMemory is what the reports of a zone's servers were worth.
type ZoneMemory struct {
	Name string  `cbor:"1,keyasint" json:"name"`
	Wait float64 `cbor:"2,keyasint,omitempty" json:"wait_s"`
	Held float64 `cbor:"3,keyasint,omitempty" json:"held"`
}

// ClassMemory is the longest time that a client of a class gave.
type ClassMemory struct {
	Name   string        `cbor:"1,keyasint" json:"name"`
	Budget time.Duration `cbor:"2,keyasint,omitempty" json:"budget_ns"`
}

// TenantMemory is what a tenant had left of its quota.
type TenantMemory struct {
	Name   string        `cbor:"1,keyasint" json:"name"`
	Bucket float64       `cbor:"2,keyasint,omitempty" json:"bucket"`
	Ago    time.Duration `cbor:"3,keyasint,omitempty" json:"ago_ns"`
}

// ServerMemory is what was learned of one run of a server: the one that had started then.
type ServerMemory struct {
	ID         string        `cbor:"1,keyasint" json:"id"`
	Started    time.Duration `cbor:"2,keyasint,omitempty" json:"started_ns"`
	Latency    float64       `cbor:"3,keyasint,omitempty" json:"latency_s"` // at so many in flight
	LatencyAtN float64       `cbor:"4,keyasint,omitempty" json:"latency_at_n"`
	SampledAgo time.Duration `cbor:"5,keyasint,omitempty" json:"sampled_ago_ns"`
	Held       float64       `cbor:"6,keyasint,omitempty" json:"held"` // by its own report
	HeldAgo    time.Duration `cbor:"7,keyasint,omitempty" json:"held_ago_ns"`
	Penalty    float64       `cbor:"11,keyasint,omitempty" json:"penalty"`
	DampedFor  time.Duration `cbor:"12,keyasint,omitempty" json:"damped_for_ns"` // from then on
	BackAgo    time.Duration `cbor:"13,keyasint,omitempty" json:"back_ago_ns"`   // cold since; zero: not
	Health     health.Memory `cbor:"14,keyasint" json:"health"`                  // classes by their place

	// Of version 1, from which version 2 was made of them: what the module counted itself then.
	Failures1 float64 `cbor:"8,keyasint,omitempty" json:"-"`
	Refused1  int     `cbor:"9,keyasint,omitempty" json:"-"`
	Down1     bool    `cbor:"10,keyasint,omitempty" json:"-"`
}

// FromVersion1 turns a Memory of version 1 into one of the present version.
func (m *Memory) FromVersion1() {
	const toDown = 3 // failures that took a server down then, by the module's own count
	for i := range m.Servers {
		s := &m.Servers[i]
		s.Health = health.Memory{
			Down: s.Down1, Mute: s.Down1 && s.Refused1 == 0, Absent: s.Refused1 > 1,
			Dead: 4 * min(max(s.Failures1, 0), toDown),
		}
		s.Failures1, s.Refused1, s.Down1 = 0, 0, false
	}
}

// KeyMemory is a key that was blamed, by its hash.
type KeyMemory struct {
	Hash uint32        `cbor:"1,keyasint" json:"hash"`
	For  time.Duration `cbor:"2,keyasint" json:"for_ns"` // from then on
}

// How soon half of a kind of knowledge has spoiled.
const (
	speedHalf   = time.Hour        // how quick kinds of machine are
	trafficHalf = 10 * time.Minute // how much comes and is carried
	troubleHalf = 30 * time.Second // who fails
	// mostKeys bounds the blamed keys that are kept, the longest blamed ones first.
	mostKeys = 1000
)

// Remember returns what the Balancer has learned.
func (b *Balancer) Remember(now time.Duration) Memory {
	b.now = max(b.now, now)
	here, mean := b.quota.Rates()
	m := Memory{
		Pace: b.pace.memory(), Latency: b.latency, Failing: b.failing, Rate: b.rate, Typical: b.typical,
		Arrivals: here, MeanArrivals: mean, MeanWork: b.meanWork, MeanHeld: b.meanHeld,
		Tokens: b.tokens,
	}
	for _, name := range byName(b.kinds) {
		m.Kinds = append(m.Kinds, KindMemory{name, b.kinds[name].memory()})
	}
	for _, name := range byName(b.zones) {
		m.Zones = append(m.Zones, ZoneMemory{name, b.zones[name].wait, b.zones[name].held})
	}
	names := byName(b.classes)
	for _, name := range names {
		m.Classes = append(m.Classes, ClassMemory{name, b.classes[name].budget})
	}
	for _, t := range b.set.Tenants {
		saved, at := b.quota.Saved(t.Name)
		m.Tenants = append(m.Tenants, TenantMemory{t.Name, saved, b.now - at})
	}
	slices.SortFunc(m.Tenants, func(p, q TenantMemory) int { return cmp.Compare(p.Name, q.Name) })
	m.Servers = make([]ServerMemory, 0, len(b.ring.Members()))
	for _, s := range b.ring.Members() {
		m.Servers = append(m.Servers, b.rememberServer(s, names))
	}
	for hash, k := range b.keys {
		if k.until > b.now {
			m.Keys = append(m.Keys, KeyMemory{hash, k.until - b.now})
		}
	}
	slices.SortFunc(m.Keys, func(p, q KeyMemory) int {
		return cmp.Or(cmp.Compare(q.For, p.For), cmp.Compare(p.Hash, q.Hash))
	})
	m.Keys = m.Keys[:min(len(m.Keys), mostKeys)]
	return m
}

func byName[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// rememberServer numbers classes by their place among the names.
func (b *Balancer) rememberServer(s *server, names []string) ServerMemory {
	m := ServerMemory{
		ID: s.ID, Started: s.Started, Latency: s.latency, LatencyAtN: s.latencyAtN,
		DampedFor: max(s.dampedUntil-b.now, 0), Health: b.detector.Remember(b.now, s.record),
	}
	for i := range m.Health.Lanes {
		m.Health.Lanes[i].Class = slices.Index(names, b.laneName(m.Health.Lanes[i].Class))
	}
	if s.latency > 0 {
		m.SampledAgo = b.now - s.sampledAt
	}
	if s.heldAt > 0 {
		m.Held, m.HeldAgo = s.held, b.now-s.heldAt
	}
	if p := s.penaltyNow(b.now); p > 0.01 {
		m.Penalty = p
	}
	if s.backAt > 0 && b.warmth(s) < 1 {
		m.BackAgo = max(b.now-s.backAt, 1)
	}
	return m
}

// Recall takes back what was learned, taken so long ago, of the servers that are listed now; it comes before
// the first request. What is known of a server that was started anew since, or is not listed, is left out, as
// is whatever can't be: a memory from outside must not harm. An age below zero is of a clock that was set
// back, so that nothing is known of the age: nothing is taken.
func (b *Balancer) Recall(now time.Duration, m Memory, age time.Duration) {
	b.now = max(b.now, now)
	if age < 0 {
		return
	}
	age = span(age)
	speed, traffic, trouble := fade(age, speedHalf), fade(age, trafficHalf), fade(age, troubleHalf)
	b.pace = m.Pace.faded(speed)
	b.latency = blend(trouble, m.Latency, b.pace.quick)
	b.failing = trouble * min(amount(m.Failing), 1)
	b.rate = traffic * amount(m.Rate)
	b.typical = blend(traffic, m.Typical, b.typical)
	b.quota.Recall(b.now, traffic*amount(m.Arrivals), traffic*amount(m.MeanArrivals))
	b.meanWork, b.meanHeld = amount(m.MeanWork), trouble*amount(m.MeanHeld)
	b.tokens = min(b.tokens, blend(trouble, m.Tokens, b.tokens))
	for _, k := range m.Kinds {
		if p := k.Pace.faded(speed); p.answers > 0 {
			*b.kind(k.Name) = p // which its servers have hold of
		}
	}
	for _, z := range m.Zones {
		if amount(z.Held) > 0 && trouble > 0.25 {
			b.zones[z.Name] = &zone{wait: amount(z.Wait), held: z.Held}
		}
	}
	for _, c := range m.Classes {
		if known := b.classes[c.Name]; known != nil {
			known.budget = min(max(known.budget, c.Budget), known.Deadline)
		}
	}
	for _, t := range m.Tenants {
		b.quota.Save(t.Name, amount(t.Bucket), b.now-span(t.Ago)-age)
	}
	for i := range m.Servers {
		if s := b.servers[m.Servers[i].ID]; s != nil && s.place.Member() && s.Started == m.Servers[i].Started {
			b.recallServer(s, &m.Servers[i], m.Classes, age)
		}
	}
	for _, k := range m.Keys[:min(len(m.Keys), mostKeys)] {
		if left := min(k.For, poisonHold) - age; left > 0 {
			b.keys[k.Hash] = &blame{on: make([]*server, poisonSpan), at: b.now, until: b.now + left}
		}
	}
	b.measure()
	b.placeAll()
}

func (b *Balancer) recallServer(s *server, m *ServerMemory, classes []ClassMemory, age time.Duration) {
	if l := amount(m.Latency); l > 0 && l < 3600 && amount(m.LatencyAtN) > 0 {
		s.latency, s.latencyAtN, s.sampledAt = l, m.LatencyAtN, b.now-span(m.SampledAgo)-age
	}
	if m.HeldAgo > 0 {
		s.held, s.heldAt = amount(m.Held), b.now-span(m.HeldAgo)-age
	}
	s.penalty, s.penaltyAt = min(amount(m.Penalty), 10*b.fig.SuppressLimit), b.now-age
	if left := min(m.DampedFor, holdDown) - age; left > 0 {
		s.dampedUntil = b.now + left
	}
	known := m.Health
	known.Lanes = nil
	for _, l := range m.Health.Lanes {
		if l.Class >= 0 && l.Class < len(classes) && b.classes[classes[l.Class].Name] != nil {
			l.Class = b.classes[classes[l.Class].Name].lane
			known.Lanes = append(known.Lanes, l)
		}
	}
	b.detector.Recall(b.now, s.record, known, age)
	if s.downThen = s.record.IsDown(); s.downThen {
		s.cold.Begin(b.now, 1) // the first trial comes at once: it may be well by now
	}
	if m.BackAgo > 0 {
		s.backAt = max(b.now-span(m.BackAgo)-age, 1)
	}
}

// Disown forgets what was learned of a server before: it turns out that another process has its name.
func (b *Balancer) Disown(id string) {
	s := b.servers[id]
	if s == nil {
		return
	}
	b.detector.Forget(s.record)
	s.record, s.downThen = b.detector.Join(), false
	s.latency, s.latencyAtN, s.penalty, s.dampedUntil, s.backAt, s.held, s.heldAt = 0, 0, 0, 0, 0, 0, 0
	s.cold.Begin(b.now, b.rng.Float64())
	b.placeAll()
}

// laneName is the name of a class by its number.
func (b *Balancer) laneName(lane int) string {
	for name, c := range b.classes {
		if c.lane == lane {
			return name
		}
	}
	return ""
}

// fade is what is left of something that loses half of it in a time.
func fade(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }

func (p *pace) memory() PaceMemory { return PaceMemory{Quick: p.quick, Answers: p.answers} }

// blend is a value of which only a part counts, the rest being another's.
func blend(part, v, other float64) float64 { return part*amount(v) + (1-part)*other }

// faded rests on fewer answers the older it is, so that the next ones count for more. The quick time itself
// holds until then: any other guess would be worse.
func (m PaceMemory) faded(by float64) pace {
	p := pace{quick: amount(m.Quick), answers: math.Floor(by * min(amount(m.Answers), 1e9))}
	if p.quick == 0 || p.quick > 3600 || p.answers < 1 {
		return pace{}
	}
	return p
}

// amount is a value that can be counted with; what can't be is none.
func amount(v float64) float64 {
	if !(v > 0) || v > 1e12 {
		return 0
	}
	return v
}

// span is a time that has passed, at most a year.
func span(d time.Duration) time.Duration { return min(max(d, 0), 365*24*time.Hour) }
