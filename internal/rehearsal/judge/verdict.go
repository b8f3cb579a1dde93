package judge

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestep/internal/rehearsal/record"
)

// Verdict is how a day went. Times are in seconds of the day, shares between 0 and 1.
type Verdict struct {
	Service  float64 `json:"service"` // with the prices off; never below zero
	Floor    float64 `json:"floor"`
	Passed   bool    `json:"passed"` // all rules kept, and the service at or above the floor
	LastedS  float64 `json:"lasted_s"`
	Capacity float64 `json:"capacity"` // of the warm fleet, seconds of standard work a second
	RatePerS float64 `json:"rate_per_s"`

	Parts    Parts     `json:"parts"`
	Prices   []Price   `json:"prices"`
	Rules    []Rule    `json:"rules"`
	Terms    []Term    `json:"terms"` // of the gate, beside the rules and shares
	Spells   []Spell   `json:"troubles"`
	Findings []Finding `json:"findings"`
	Counts   Counts    `json:"counts"`
	Shares   []Share   `json:"shares"`         // that the gate asks of
	Cold     *Cold     `json:"cold,omitempty"` // nil: no server started
	Classes  []Group   `json:"classes"`
	Tenants  []Group   `json:"tenants"` // within their shares
	// How many first tries had 0, 1, 2, ... tries with their retries.
	Tries   []int       `json:"chains_by_tries"`
	Sends   []int       `json:"chains_by_sends"` // and sends
	Servers []ServerDay `json:"servers"`
	StepS   int         `json:"server_step_s"` // seconds in a step of the servers' courses
	Seconds []Second    `json:"seconds"`
}

// Parts is what the service is weighed together from.
type Parts struct {
	Whole        float64 `json:"whole"`
	WorstWindow  float64 `json:"worst_window"`
	WindowFromS  int     `json:"worst_window_from_s"`
	WorstClass   float64 `json:"worst_class"`
	Class        string  `json:"worst_class_name"`
	WorstTenant  float64 `json:"worst_tenant"`
	Tenant       string  `json:"worst_tenant_name"`
	BeforePrices float64 `json:"before_prices"`
}

// Price is what one habit took off the service: its price, times how much of it there was.
type Price struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"`
	Off  float64 `json:"off"`
}

// Counts is how often things happened, from when service counts, but for the answers, which are of the whole
// day.
type Counts struct {
	FirstTries int `json:"first_tries"`
	Retries    int `json:"retries"`
	Unreached  int `json:"unreached"` // tries that found no agent
	InTime     int `json:"in_time"`   // first tries, with their retries
	Served     int `json:"served"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"unanswered"`
	Sends      int `json:"sends"`
	Opened     int `json:"connections_opened"`
	Crossings  int `json:"zone_crossings"`
	// Tries that count as refused, and are priced: whose new connection an agent that was ending closed with no
	// answer, and which were answered as failed and never sent on.
	Shut   int `json:"shut"`
	Unsent int `json:"failed_unsent"`
	// Attempts, of the whole day, that began over 0.1 s after their clients had closed their connections.
	ForGone int `json:"sent_for_clients_gone"`
}

// Group is a class or a tenant.
type Group struct {
	Name    string   `json:"name"`
	Served  float64  `json:"served"`            // of the worth asked for
	Latency *Latency `json:"latency,omitempty"` // of served answers, from the first try on
}

// Latency is a distribution of times.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// ServerDay is how a server stood through the day.
type ServerDay struct {
	ID        string    `json:"id"`
	Zone      string    `json:"zone"`
	Kind      string    `json:"kind"`
	Capacity  float64   `json:"capacity"`
	MeanBusy  float64   `json:"mean_busy"`
	PeakBusy  float64   `json:"peak_busy"`
	MostHeld  int       `json:"most_held"`
	MostConns int       `json:"most_connections"`
	Busy      []float32 `json:"busy"` // of each step; below zero: it did not run
	Held      []float32 `json:"held"`
}

// Verdict says how the day went, once it has ended.
func (j *Judge) Verdict() Verdict {
	s, goal := &j.service, j.set.Goal
	arrivals := len(s.seconds)
	v := Verdict{
		Tenants: []Group{}, Servers: []ServerDay{}, Floor: j.set.Floor, LastedS: inSeconds(j.end),
		Capacity: j.day.Capacity, RatePerS: j.day.RatePerS, StepS: j.course.step, Seconds: j.course.seconds,
		Tries: s.byTries[:], Sends: s.bySends[:],
	}
	v.Parts = j.parts()
	p := v.Parts
	v.Prices = j.prices()
	v.Parts.BeforePrices = goal.Whole*p.Whole + goal.WorstWindow*p.WorstWindow + goal.WorstClass*p.WorstClass +
		goal.WorstTenant*p.WorstTenant
	v.Service = v.Parts.BeforePrices
	for _, price := range v.Prices {
		v.Service -= price.Off
	}
	v.Service = max(v.Service, 0)
	v.Passed = v.Service >= v.Floor
	for _, c := range j.checkers {
		r := c.verdict()
		v.Rules = append(v.Rules, r)
		v.Passed = v.Passed && r.First == nil
	}
	v.Terms = j.terms.verdict(calm(j.spells.all))
	for _, t := range v.Terms {
		v.Passed = v.Passed && !t.Broken
	}
	j.spells.judge(j.course.seconds, arrivals)
	v.Spells = append([]Spell{}, j.spells.all...) // an empty array, not null, where there are none
	v.Findings = j.spells.findings(j.course.seconds, arrivals)
	v.Counts = Counts{
		s.firstTries, s.retries, s.unreached, s.inTime, s.answers[record.Served],
		s.answers[record.Refused], s.answers[record.Failed], s.unanswered, s.sends, s.opened, s.crossings,
		s.shut, s.unsent, j.answers.forGone,
	}
	v.Shares = j.shares()
	v.Cold = j.cold.summary()
	v.groups(j)
	v.serverDays(j)
	return v
}

func (j *Judge) parts() Parts {
	s := &j.service
	p := Parts{Whole: s.whole.share()}
	p.WorstWindow, p.WindowFromS = s.worstWindow()
	var which int
	if p.WorstClass, which = worst(s.classes); which >= 0 {
		p.Class = j.set.Classes[which].Name
	} else {
		p.WorstClass = p.Whole
	}
	if p.WorstTenant, which = worst(s.tenants); which >= 0 {
		p.Tenant = j.set.Tenants[which].Name
	} else {
		p.WorstTenant = p.Whole // a deployment without tenants
	}
	return p
}

// fullMessage is the bytes of a message at the price's full rate.
const fullMessage = 256

func (j *Judge) prices() []Price {
	s, p := &j.service, j.set.Prices
	waste, late := 0.0, 0.0
	if s.asked > 0 {
		waste = float64(s.wasted) / float64(s.asked)
	}
	if s.whole.asked > 0 {
		late = s.lateFail / s.whole.asked
	}
	all := []Price{
		{Name: "new connections", Rate: s.perFirstTry(float64(s.opened)), Off: p.Handshake},
		{Name: "work wasted", Rate: waste, Off: p.Waste},
		{Name: "failing only late", Rate: late, Off: p.LateFail},
		{Name: "crossing zones", Rate: s.perFirstTry(float64(s.crossings)), Off: p.CrossZone},
		{Name: "messages between agents", Rate: s.perFirstTry(s.peerBytes / fullMessage), Off: p.Peer},
		{Name: "turned back unheard", Rate: float64(s.shut+s.unsent) / float64(max(s.tries, 1)), Off: p.Unheard},
	}
	for i := range all {
		all[i].Off *= all[i].Rate
	}
	return all
}

func (v *Verdict) groups(j *Judge) {
	for i, c := range j.set.Classes {
		v.Classes = append(v.Classes, Group{c.Name, j.service.classes[i].share(), latencies(j.service.latency[i])})
	}
	for i, t := range j.set.Tenants {
		v.Tenants = append(v.Tenants, Group{Name: t.Name, Served: j.service.tenants[i].share()})
	}
}

func latencies(h *hdrhistogram.Histogram) *Latency {
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }
	return &Latency{
		Count: h.TotalCount(), MeanMS: math.Round(h.Mean()) / 1000, P50MS: at(50), P90MS: at(90),
		P99MS: at(99), P999MS: at(99.9), MaxMS: float64(h.Max()) / 1000,
	}
}

func recordLatency(h *hdrhistogram.Histogram, took time.Duration) {
	h.RecordValue(min(max(took.Microseconds(), leastLatency), mostLatency)) // within its bounds: no error
}

func (v *Verdict) serverDays(j *Judge) {
	for n, s := range j.servers {
		c := &j.course.servers[n]
		v.Servers = append(v.Servers, ServerDay{
			ID: s.ID, Zone: s.Zone, Kind: s.Kind, Capacity: s.Capacity,
			MeanBusy: c.sum / float64(max(c.samples, 1)), PeakBusy: c.peak, MostHeld: c.mostHeld,
			MostConns: c.mostConns, Busy: c.busy, Held: c.held,
		})
	}
}

// inSeconds is a time of the day to the microsecond.
func inSeconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e6 }
