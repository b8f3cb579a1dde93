package judge

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestep/internal/rehearsal/record"
)

// Verdict is the evaluation of a run. Times are in seconds since the start of the run, shares between 0 and
// 1.
type Verdict struct {
	Service  float64 `json:"service"` // after prices; at least 0
	Floor    float64 `json:"floor"`
	Passed   bool    `json:"passed"` // service at or above the floor, and all rules and limits kept
	LastedS  float64 `json:"lasted_s"`
	Capacity float64 `json:"capacity"` // of the warmed-up fleet, in seconds of standard work per second
	RatePerS float64 `json:"rate_per_s"`

	Parts      Parts             `json:"parts"`
	Prices     []Price           `json:"prices"`
	Rules      []Rule            `json:"rules"`
	Limits     []GateLimit       `json:"terms"` // limits of the gate besides the rules and shares
	Faults     []FaultReport     `json:"troubles"`
	Findings   []Finding         `json:"findings"`
	Counts     Counts            `json:"counts"`
	Shares     []Share           `json:"shares"`         // the parts that the gate checks separately
	SlowStarts *SlowStartSummary `json:"cold,omitempty"` // nil: no server started
	Classes    []Group           `json:"classes"`
	Tenants    []Group           `json:"tenants"` // within their quotas
	// Number of first tries that had 0, 1, 2, ... tries including retries.
	Tries   []int           `json:"chains_by_tries"`
	Sends   []int           `json:"chains_by_sends"` // the same by sends
	Servers []ServerSummary `json:"servers"`
	StepS   int             `json:"server_step_s"` // seconds in a step of the servers' series
	Seconds []Second        `json:"seconds"`
}

// Parts are the weighted parts of the service.
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

// Price is a deduction from the service: a price times the rate of what it is charged for.
type Price struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"`
	Off  float64 `json:"off"`
}

// Counts are numbers of events since service counts. The numbers of answers and SentAfterLeft are of the
// whole run.
type Counts struct {
	FirstTries int `json:"first_tries"`
	Retries    int `json:"retries"`
	Unreached  int `json:"unreached"` // tries that no agent received
	InTime     int `json:"in_time"`   // first tries served in time, by any of their tries
	Served     int `json:"served"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"unanswered"`
	Sends      int `json:"sends"`
	Opened     int `json:"connections_opened"`
	Crossings  int `json:"zone_crossings"`
	// Tries that count as refused and are charged: ClosedUnanswered had their new connection closed without an
	// answer by an agent that was shutting down, Unsent were answered as failed and never sent.
	ClosedUnanswered int `json:"shut"`
	Unsent           int `json:"failed_unsent"`
	// Attempts of the whole run that began over 0.1 s after their clients had closed their connections.
	SentAfterLeft int `json:"sent_for_clients_gone"`
}

// Group is a class or a tenant.
type Group struct {
	Name    string   `json:"name"`
	Served  float64  `json:"served"`            // part of the requested worth
	Latency *Latency `json:"latency,omitempty"` // of served answers, from the first try on
}

// Latency is a distribution of latencies.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// ServerSummary is the load of a server over the run.
type ServerSummary struct {
	ID       string    `json:"id"`
	Zone     string    `json:"zone"`
	Kind     string    `json:"kind"`
	Capacity float64   `json:"capacity"`
	MeanBusy float64   `json:"mean_busy"`
	PeakBusy float64   `json:"peak_busy"`
	MaxHeld  int       `json:"most_held"`
	MaxConns int       `json:"most_connections"`
	Busy     []float32 `json:"busy"` // mean of each step; negative: the server was not running
	Held     []float32 `json:"held"`
}

// Verdict returns the evaluation of the run. Call it after End.
func (j *Judge) Verdict() Verdict {
	s, goal := &j.service, j.scenario.Goal
	arrivals := len(s.seconds)
	v := Verdict{
		Tenants: []Group{}, Servers: []ServerSummary{}, Floor: j.scenario.Floor, LastedS: inSeconds(j.end),
		Capacity: j.run.Capacity, RatePerS: j.run.RatePerS, StepS: j.series.step, Seconds: j.series.seconds,
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
	v.Limits = j.limits.verdict(isCalm(j.faults.all))
	for _, t := range v.Limits {
		v.Passed = v.Passed && !t.Broken
	}
	j.faults.evaluate(j.series.seconds, arrivals)
	v.Faults = append([]FaultReport{}, j.faults.all...) // an empty array, not null, if there are none
	v.Findings = j.faults.findings(j.series.seconds, arrivals)
	v.Counts = Counts{
		s.firstTries, s.retries, s.unreached, s.inTime, s.answers[record.Served],
		s.answers[record.Refused], s.answers[record.Failed], s.unanswered, s.sends, s.opened, s.crossings,
		s.closedUnanswered, s.unsent, j.answers.sentAfterLeft,
	}
	v.Shares = j.shares()
	v.SlowStarts = j.slowStarts.summary()
	v.addGroups(j)
	v.addServers(j)
	return v
}

func (j *Judge) parts() Parts {
	s := &j.service
	p := Parts{Whole: s.total.share()}
	p.WorstWindow, p.WindowFromS = s.worstWindow()
	var which int
	if p.WorstClass, which = worst(s.classes); which >= 0 {
		p.Class = j.scenario.Classes[which].Name
	} else {
		p.WorstClass = p.Whole
	}
	if p.WorstTenant, which = worst(s.tenants); which >= 0 {
		p.Tenant = j.scenario.Tenants[which].Name
	} else {
		p.WorstTenant = p.Whole // a deployment without tenants
	}
	return p
}

// messageBytes is the size of a message that is charged the full price.
const messageBytes = 256

func (j *Judge) prices() []Price {
	s, p := &j.service, j.scenario.Prices
	waste, lateFail := 0.0, 0.0
	if s.requestedWork > 0 {
		waste = float64(s.wastedWork) / float64(s.requestedWork)
	}
	if s.total.requested > 0 {
		lateFail = s.lateFailWorth / s.total.requested
	}
	all := []Price{
		{Name: "new connections", Rate: s.perFirstTry(float64(s.opened)), Off: p.Handshake},
		{Name: "work wasted", Rate: waste, Off: p.Waste},
		{Name: "failing only late", Rate: lateFail, Off: p.LateFail},
		{Name: "crossing zones", Rate: s.perFirstTry(float64(s.crossings)), Off: p.CrossZone},
		{Name: "messages between agents", Rate: s.perFirstTry(s.peerBytes / messageBytes), Off: p.Peer},
		{
			Name: "turned back unheard",
			Rate: float64(s.closedUnanswered+s.unsent) / float64(max(s.tries, 1)), Off: p.UnsentTries,
		},
	}
	for i := range all {
		all[i].Off *= all[i].Rate
	}
	return all
}

func (v *Verdict) addGroups(j *Judge) {
	for i, c := range j.scenario.Classes {
		v.Classes = append(v.Classes, Group{c.Name, j.service.classes[i].share(), latencies(j.service.latency[i])})
	}
	for i, t := range j.scenario.Tenants {
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
	h.RecordValue(min(max(took.Microseconds(), minLatency), maxLatency)) // clamped, so no error
}

func (v *Verdict) addServers(j *Judge) {
	for n, s := range j.servers {
		c := &j.series.servers[n]
		v.Servers = append(v.Servers, ServerSummary{
			ID: s.ID, Zone: s.Zone, Kind: s.Kind, Capacity: s.Capacity,
			MeanBusy: c.sum / float64(max(c.samples, 1)), PeakBusy: c.peak, MaxHeld: c.maxHeld,
			MaxConns: c.maxConns, Busy: c.busy, Held: c.held,
		})
	}
}

// inSeconds returns a time in seconds, truncated to microseconds.
func inSeconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e6 }
