// Package world plays a day in virtual time: booking servers, clients, discovery, the network and what
// goes wrong with them, as a scenario has it, and agents that run the routing core that the daemon runs
// (internal/core and decide). Whatever passes on the wire goes to a record.Sink.
//
// A day is one thread through a calendar of happenings. Each entity draws from a stream of its own, by
// its name; what concerns one route step alone is drawn by lot from its number. So the same scenario and
// seed give the same day on any machine, and one more server, agent or trouble leaves what the others
// draw as it was.
package world

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/overload"
	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/timeline"
)

const (
	// lingers is how long after the last client's deadline a day may still run until its work is done.
	lingers = 30 * time.Second
	// lookEvery is how many happenings pass between looks whether the day is to be broken off.
	lookEvery = 1024
)

// Options is what a day is played with beside its scenario and seed.
type Options struct {
	// Progress is told the day's time once each of its seconds; nil: nobody is.
	Progress func(at time.Duration)
	// Figures replace the module's own; zero: those that ship.
	Figures balancer.Tuning
	// Storm are the figures of the gate before the module; zero: those that ship.
	Storm overload.Config
	// Late has the agents go by late.Policy, which sees the servers' true state so long after; zero: by the code
	// that ships.
	Late time.Duration
	// Acting tells at each moment what its fleet has agreed on that an agent goes by, as agent.Settings has
	// it; nil: there is nothing.
	Acting func(agent int, at time.Duration) *policy.Effect
	// Placed has the agents place by agreed generations, whatever the scenario says.
	Placed bool
	// Log is told what the agents' modules say; nil: nobody is.
	Log func(at time.Duration, agent, says string)
	// Timeline is told of the troubles, in its lane of faults; nil: nobody is.
	Timeline *timeline.Timeline
}

// world is a day that is being played.
type world struct {
	calendar
	seed   uint64
	set    *scenario.Scenario
	sink   record.Sink
	record recorder
	o      Options

	network   *network
	discovery *discovery
	servers   []*server
	at        map[netip.AddrPort]*server // who is at an address now
	agents    []*agent
	active    []*trouble
	zoneCut   []time.Duration // until when a zone is cut off from the others

	// Troubles that are alike for all.
	slow          float64 // times as long as usual, for what all servers depend on
	resetting     float64 // part of the route steps whose connection is reset
	forgetsAfter  time.Duration
	datagramsLost []float64 // part of those to the agents of a zone
	mishaps       *mishap.Net
	keeps         float64 // part of the usual traffic that comes

	// The load, as drawn.
	perS             float64
	swing            float64
	highest          float64 // of swings
	classes, tenants picker
	keys             picker
	keyNames         []string
	meanWork         []time.Duration
	workCV, noise    []float64
	quotas           []float64
	tryShare, honour float64
	impatient        float64
	backoff          time.Duration
	datagramLoss     float64
	graphQL          graphQL

	// Of a day that is played in real time.
	live   *Live
	wire   Wire                 // nil: the agents are their code, and the network is a model
	tries  map[uint32]*try      // that booking servers may see
	failed error                // why the day can't be played on
	sights *sights              // nil: the agents' own code decides
	rings  *generations         // nil: each agent places by its own list
	avoid  *balancer.Exclusions // by the windows that are on; nil: none moves anything
	plan   *Plan                // that is drawn: nothing is played

	ops  uint32 // tries so far
	open int    // tries and route steps that are out or to come
}

// Play plays a day of the scenario and puts it into the sink. A context that ends breaks it off: what
// there is of the day is in the sink, and the context's error is returned.
func Play(ctx context.Context, set *scenario.Scenario, seed uint64, sink record.Sink, o Options) error {
	w, err := begin(set, seed, sink, o)
	if err != nil {
		return err
	}
	return w.run(ctx)
}

// begin draws a day and has its agents begin.
func begin(set *scenario.Scenario, seed uint64, sink record.Sink, o Options) (*world, error) {
	w := &world{seed: seed, set: set, sink: sink, o: o, at: map[netip.AddrPort]*server{}, slow: 1, keeps: 1}
	w.record.w = w
	w.build()
	if set.Clients.GraphQL > 0 {
		if err := w.buildGraphQL(); err != nil {
			return nil, err
		}
	}
	if (o.Placed || set.Agents.Placed) && o.Late == 0 {
		w.rings = newGenerations(w)
		w.rings.settle()
	}
	if o.Late > 0 {
		w.sights = newSights(w, o.Late)
		w.sights.happen()
	}
	for _, a := range w.agents {
		if err := a.begin(); err != nil {
			return nil, fmt.Errorf("agent %s: %w", a.name, err)
		}
	}
	w.enter(time.Second, rankSample, &sampling{w: w})
	return w, nil
}

// mark puts what a trouble does on the timeline.
func (w *world) mark(text string) {
	if w.o.Timeline != nil {
		w.o.Timeline.Mark(w.now, timeline.Faults, "", text)
	}
}

// run has everything happen, until the last request is over and the servers have done their work.
func (w *world) run(ctx context.Context) error {
	last := w.set.Day.Length
	for i := range w.set.Classes {
		last = max(last, w.set.Day.Length+w.set.Classes[i].Deadline)
	}
	shown := time.Duration(0)
	for n := 0; ; n++ {
		if n%lookEvery == 0 && ctx.Err() != nil {
			w.sink.End(w.now)
			return ctx.Err()
		}
		what, any := w.next(last + lingers)
		if !any {
			break
		}
		what.happen()
		if second := w.now.Truncate(time.Second); w.o.Progress != nil && second > shown {
			shown = second
			w.o.Progress(second)
		}
		if w.now >= w.set.Day.Length && w.open == 0 && w.quiet() {
			break
		}
	}
	for _, s := range w.servers { // what is still at work counts as dropped
		if s.process.state != processDown {
			s.process.die()
		}
	}
	w.sink.End(w.now)
	return nil
}

// quiet tells whether no process has work.
func (w *world) quiet() bool {
	for _, s := range w.servers {
		if p := s.process; len(p.running.jobs) > 0 || p.waiting.len() > 0 || len(p.unread) > 0 {
			return false
		}
	}
	return true
}

// build draws the day and sets it up.
func (w *world) build() {
	s := w.set
	w.network = newNetwork(s, w.seed)
	w.mishaps = mishap.New(nameSeed(w.seed, "mishaps"), s.Agents.Count)
	w.zoneCut = make([]time.Duration, len(s.Network.Zones))
	w.datagramsLost = make([]float64, len(s.Network.Zones))
	w.datagramLoss = s.Network.DatagramLoss.Draw(newStream(w.seed, "datagrams").Rand)
	machines, zones := w.machines()
	w.drawLoad(machines)
	names := make([]record.Agent, s.Agents.Count)
	w.drawAgents()
	for i, a := range w.agents {
		names[i] = record.Agent{Name: a.name, Zone: s.Network.Zones[a.zone]}
	}
	w.sink.Begin(record.Day{
		Agents: names, Capacity: full(machines), RatePerS: w.perS, Quotas: w.quotas,
		MeanWork: w.meanWork,
	})
	for i, m := range machines {
		w.newServer(zones[i], m, netip.AddrPort{}).start(false)
	}
	w.discovery = newDiscovery(w)
	w.discovery.begin()
	for _, a := range w.agents {
		(&source{
			client: a.client, chance: newStream(w.seed, "client "+a.name), perS: w.perS * a.part,
			until: s.Day.Length,
		}).start()
	}
	nth := map[scenario.TroubleKind]int{}
	for i := range s.Troubles {
		t := newTrouble(w, i, nth[s.Troubles[i].Kind])
		nth[t.set.Kind]++
		if w.plan != nil {
			w.plan.Troubles = append(w.plan.Troubles, Spell{t.set.Kind, t.at, t.lasts, t.part, t.size})
		}
		w.enter(t.at, rankTrouble, (*troubleBegins)(t))
	}
}

// machines draws the fleet's machines and their zones. Each kind and zone has its share of the first few
// as well as of all, so that one more server leaves the others as they were.
func (w *world) machines() (machines []machine, zones []int) {
	s := w.set
	shares := make([]float64, len(s.Kinds))
	for i := range s.Kinds {
		shares[i] = s.Kinds[i].Share
	}
	kinds := apportion(s.Fleet.Servers, shares)
	zones = apportion(s.Fleet.Servers, w.zoneShares(s.Fleet.ZoneSkew, "fleet"))
	for i := range s.Fleet.Servers {
		m := drawMachine(s, &s.Kinds[kinds[i]], newStream(w.seed, fmt.Sprint("machine ", i)))
		m.drawDay(s, w.seed)
		machines = append(machines, m)
	}
	return machines, zones
}

// zoneShares weighs the zones: a skew of the whole goes to the first on top of its even part of the rest.
func (w *world) zoneShares(skew scenario.Span, whose string) []float64 {
	first := skew.Draw(newStream(w.seed, "zones of the "+whose).Rand)
	shares := make([]float64, len(w.set.Network.Zones))
	for i := range shares {
		shares[i] = (1 - first) / float64(len(shares))
	}
	shares[0] += first
	return shares
}

// apportion deals places out one after another, each to whom most is lacking.
func apportion(n int, shares []float64) []int {
	dealt := make([]float64, len(shares))
	out := make([]int, n)
	for i := range out {
		best := 0
		for k := range shares {
			if shares[k]*float64(i+1)-dealt[k] > shares[best]*float64(i+1)-dealt[best] {
				best = k
			}
		}
		dealt[best]++
		out[i] = best
	}
	return out
}

func full(machines []machine) (sum float64) {
	for i := range machines {
		sum += machines[i].full()
	}
	return sum
}

// drawAgents draws the agents and their parts of the traffic, the busiest first.
func (w *world) drawAgents() {
	s := w.set
	parts := zipf(s.Agents.Count, s.Agents.Zipf.Draw(newStream(w.seed, "agents").Rand))
	sum := 0.0
	for _, p := range parts {
		sum += p
	}
	zones := apportion(s.Agents.Count, w.zoneShares(s.Agents.ZoneSkew, "agents"))
	for i, part := range parts {
		a := &agent{w: w, number: i, name: fmt.Sprint("n", i), zone: zones[i], part: part / sum}
		a.chance = newStream(w.seed, "agent "+a.name)
		a.client = &client{w: w, agent: a}
		w.agents = append(w.agents, a)
	}
}

// drawLoad draws the traffic and what the clients are like.
func (w *world) drawLoad(machines []machine) {
	s := w.set
	chance := newStream(w.seed, "load")
	draw := func(v scenario.Span) float64 { return v.Draw(chance.Rand) }
	perS, ofCapacity := draw(s.Load.PerS), draw(s.Load.OfCapacity)
	w.swing = draw(s.Load.Swing)
	keys, keyZipf := int(math.Round(draw(s.Load.Keys))), draw(s.Load.KeyZipf)
	quotaPerS, quotaOfCapacity := draw(s.Load.QuotaPerS), draw(s.Load.QuotaOfCapacity)
	w.tryShare, w.honour = draw(s.Clients.TryShare), draw(s.Clients.Honour)
	w.impatient = draw(s.Clients.Impatient)
	w.backoff = s.Clients.BackoffWait.Draw(chance.Rand)
	var shares []float64
	mean := 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		chance := newStream(w.seed, "class "+c.Name)
		w.meanWork = append(w.meanWork, c.Work.Draw(chance.Rand))
		w.workCV = append(w.workCV, c.CV.Draw(chance.Rand))
		w.noise = append(w.noise, c.Noise.Draw(chance.Rand))
		shares = append(shares, c.Share)
		mean += c.Share * w.meanWork[i].Seconds()
	}
	w.classes = newPicker(shares)
	capacity := full(machines) / mean // in requests a second
	if w.perS = perS; s.Load.OfCapacity.High > 0 {
		w.perS = ofCapacity * capacity
	}
	if quotaOfCapacity > 0 {
		quotaPerS = quotaOfCapacity * capacity
	}
	var usage []float64
	for i := range s.Tenants {
		t := &s.Tenants[i]
		usage = append(usage, t.Share*t.Usage.Draw(newStream(w.seed, "tenant "+t.Name).Rand))
		w.quotas = append(w.quotas, t.Share*quotaPerS)
	}
	w.tenants = newPicker(usage)
	w.keys = newPicker(zipf(keys, keyZipf))
	for i := range keys {
		w.keyNames = append(w.keyNames, fmt.Sprintf("k%05d", i))
	}
	w.highest = 1
	if s.Load.Shape != scenario.Steady {
		w.highest = 1 + w.swing
	}
}

// swings is the rate at a time, over the day's mean.
func (w *world) swings(at time.Duration) float64 {
	through := float64(at) / float64(w.set.Day.Length)
	switch w.set.Load.Shape {
	case scenario.Ramp:
		return 1 + w.swing*(2*through-1)
	case scenario.Wave:
		return 1 + w.swing*math.Sin(2*math.Pi*through)
	}
	return 1
}

// deployment is what an agent is told of its deployment.
func (w *world) deployment(a *agent) balancer.Settings {
	s := w.set
	set := balancer.Settings{
		Self: a.number, Balancers: len(w.agents), Zone: s.Network.Zones[a.zone],
		OverQuotaWeight: s.Load.OverShareWorth, DiscoveryOnDemand: true, ClientsMarkRetries: s.Clients.MarksRetry,
		Tick: s.Agents.Tick, Tuning: w.o.Figures,
		Limits: balancer.Limits{
			MaxAttempts: s.Allow.MaxAttempts, Hedging: s.Allow.SecondCopies,
			Cancel: s.Allow.Cancel, Gossip: s.Allow.Peers, RetryAfter: s.Allow.RetryAfter,
			MaxRetryAfter: s.Allow.MaxRetryAfter,
		},
		Rules: balancer.Rules{
			DrainGrace:        s.Rules.DrainGrace,
			MaxPollInterval:   s.Rules.AskWithin,
			SlowStartCapacity: s.Rules.ColdShare,
			SlowStartDuration: s.Rules.ColdFor,
			OverloadMultiple:  s.Rules.FallMultiple,
			OverloadWindow:    s.Rules.FallWindow,
		},
		Costs: balancer.Costs{
			CrossZone: s.Prices.CrossZone, WastedWork: s.Prices.Waste, PeerMessage: s.Prices.Peer,
			LateFailure: s.Prices.LateFail,
		},
		ScoreWeights: balancer.ScoreWeights{
			Total: s.Goal.Whole, WorstWindow: s.Goal.WorstWindow, WorstClass: s.Goal.WorstClass,
			WorstTenant: s.Goal.WorstTenant,
		},
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		k := balancer.Class{
			Name:             c.Name,
			LatencyObjective: c.Aim,
			Deadline:         c.Deadline,
			PriorityWeight:   c.Worth,
			Idempotency:      balancer.NotIdempotent,
		}
		if c.Effect == scenario.Safe {
			k.Idempotency = balancer.Idempotent
		}
		set.Classes = append(set.Classes, k)
	}
	for i := range s.Tenants {
		set.Tenants = append(set.Tenants, balancer.Tenant{
			Name: s.Tenants[i].Name, QuotaPerSecond: w.quotas[i],
			Share: s.Tenants[i].Share,
		})
	}
	return set
}
