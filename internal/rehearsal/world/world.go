// Package world simulates a scenario run in virtual time: upstream servers, clients, discovery, the
// network and the faults that the scenario injects. The simulated agents run the daemon's own routing
// core (internal/routing and internal/balancer). Everything that passes on the wire goes to a
// record.Sink.
//
// A run is one goroutine that works through a calendar of events. Each entity draws from a random
// stream of its own, seeded by its name; draws for a single attempt are hashed from its identifier. So
// the same scenario and seed give the same run on any machine, and adding a server, an agent or a fault
// does not change what the others draw.
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
	// maxOverrun is how long after the last client's deadline a run may continue to finish pending
	// work.
	maxOverrun = 30 * time.Second
	// cancelCheckEvents is the number of events between two checks of the context.
	cancelCheckEvents = 1024
)

// Options are the settings of a run besides its scenario and seed.
type Options struct {
	// Progress is called with the virtual time once per simulated second; nil: no calls.
	Progress func(at time.Duration)
	// Tuning replaces the balancer's tuning; zero: the defaults.
	Tuning balancer.Tuning
	// Overload is the configuration of the load shedder in front of the balancer; zero: the defaults.
	Overload overload.Config
	// ViewDelay replaces the agents' balancer by late.Policy, which sees the servers' true state after this
	// delay; zero: the agents run their own balancer.
	ViewDelay time.Duration
	// FleetPolicy returns the fleet policy that is in effect at an agent, in the form of agent.Settings;
	// nil: there is no fleet policy.
	FleetPolicy func(agent int, at time.Duration) *policy.Effect
	// RingAssignment turns ring assignment on, whatever the scenario sets.
	RingAssignment bool
	// Log is called with the lines that the agents' balancers log; nil: no calls.
	Log func(at time.Duration, agent, line string)
	// Timeline receives the start and end of each fault in its lane of faults; nil: none.
	Timeline *timeline.Timeline
}

// world is the state of one scenario run.
type world struct {
	calendar
	seed     uint64
	scenario *scenario.Scenario
	sink     record.Sink
	record   recorder
	options  Options

	network   *network
	discovery *discovery
	servers   []*server
	byAddr    map[netip.AddrPort]*server // the server that has an address now
	agents    []*agent
	active    []*injection
	zoneCut   []time.Duration // by zone: until when it is cut off from the others

	// Effects of active faults that are the same for all servers and agents.
	slowdown           float64       // factor on the service time of all servers
	resetShare         float64       // fraction of attempts whose connection is reset
	idleForgetting     time.Duration // idle time after which middleboxes forget connections; zero: never
	datagramLossByZone []float64     // by the receiving agents' zone: fraction lost
	datagramFaults     *mishap.Network
	trafficKept        float64 // fraction of the usual traffic that is sent

	// The load, as drawn for the run.
	perS                        float64 // mean rate of first tries
	swing                       float64
	peakFactor                  float64 // maximum of loadFactor
	classes, tenants            picker  // by their share of the requests
	keys                        picker
	keyNames                    []string
	meanWork                    []time.Duration // by class, on a standard core
	workCV, noise               []float64       // by class: variation between requests and between attempts
	quotas                      []float64       // by tenant: first tries per second
	tryTimeoutShare, honorShare float64         // try timeout over deadline; fraction of requests
	impatientShare              float64         // fraction of tries whose client leaves before the timeout
	backoff                     time.Duration
	datagramLoss                float64 // fraction lost without a fault
	graphQL                     graphQL

	// Optional parts: real time, delayed views, ring assignment, maintenance windows and plans.
	live        *LiveRun
	wire        Wire                 // nil: agents and network are simulated
	tries       map[uint32]*try      // by number: tries that upstream servers may still receive attempts of
	failed      error                // why the run cannot continue
	delayedView *delayedView         // nil: the agents run their own balancer
	generations *generations         // nil: each agent places keys by its own list
	exclusions  *balancer.Exclusions // of the active maintenance windows; nil: none excludes anything
	plan        *Plan                // receives the drawn plan; nothing is simulated then

	tryCount uint32 // tries so far
	pending  int    // tries and attempts that are pending or scheduled
}

// Play simulates a run of the scenario and writes it to the sink. If the context ends first, the sink
// keeps the run so far and Play returns the context's error.
func Play(ctx context.Context, sc *scenario.Scenario, seed uint64, sink record.Sink, o Options) error {
	w, err := newRun(sc, seed, sink, o)
	if err != nil {
		return err
	}
	return w.run(ctx)
}

// newRun draws a run and starts its agents.
func newRun(sc *scenario.Scenario, seed uint64, sink record.Sink, o Options) (*world, error) {
	w := &world{
		seed: seed, scenario: sc, sink: sink, options: o, byAddr: map[netip.AddrPort]*server{},
		slowdown: 1, trafficKept: 1,
	}
	w.record.w = w
	w.build()
	if sc.Clients.GraphQL > 0 {
		if err := w.buildGraphQL(); err != nil {
			return nil, err
		}
	}
	if (o.RingAssignment || sc.Agents.RingPlacement) && o.ViewDelay == 0 {
		w.generations = newGenerations(w)
		w.generations.settle()
	}
	if o.ViewDelay > 0 {
		w.delayedView = newDelayedView(w, o.ViewDelay)
		w.delayedView.fire()
	}
	for _, a := range w.agents {
		if err := a.start(); err != nil {
			return nil, fmt.Errorf("agent %s: %w", a.name, err)
		}
	}
	w.schedule(time.Second, rankSample, &sampling{w: w})
	return w, nil
}

// addFaultEntry adds a line about a fault to the timeline.
func (w *world) addFaultEntry(text string) {
	if w.options.Timeline != nil {
		w.options.Timeline.Add(w.now, timeline.Faults, "", text)
	}
}

// run fires events until the last request has ended and the servers have finished their work.
func (w *world) run(ctx context.Context) error {
	last := w.scenario.Run.Length
	for i := range w.scenario.Classes {
		last = max(last, w.scenario.Run.Length+w.scenario.Classes[i].Deadline)
	}
	reported := time.Duration(0)
	for n := 0; ; n++ {
		if n%cancelCheckEvents == 0 && ctx.Err() != nil {
			w.sink.End(w.now)
			return ctx.Err()
		}
		ev, ok := w.next(last + maxOverrun)
		if !ok {
			break
		}
		ev.fire()
		if second := w.now.Truncate(time.Second); w.options.Progress != nil && second > reported {
			reported = second
			w.options.Progress(second)
		}
		if w.now >= w.scenario.Run.Length && w.pending == 0 && w.idle() {
			break
		}
	}
	for _, s := range w.servers { // unfinished work counts as dropped
		if s.process.state != processDown {
			s.process.terminate()
		}
	}
	w.sink.End(w.now)
	return nil
}

// idle reports whether no server process has work.
func (w *world) idle() bool {
	for _, s := range w.servers {
		if p := s.process; len(p.running.jobs) > 0 || p.waiting.len() > 0 || len(p.unread) > 0 {
			return false
		}
	}
	return true
}

// build draws the run and sets it up.
func (w *world) build() {
	s := w.scenario
	w.network = newNetwork(s, w.seed)
	w.datagramFaults = mishap.New(nameSeed(w.seed, "mishaps"), s.Agents.Count)
	w.zoneCut = make([]time.Duration, len(s.Network.Zones))
	w.datagramLossByZone = make([]float64, len(s.Network.Zones))
	w.datagramLoss = s.Network.DatagramLoss.Draw(newStream(w.seed, "datagrams").Rand)
	machines, zones := w.machines()
	w.drawLoad(machines)
	names := make([]record.Agent, s.Agents.Count)
	w.drawAgents()
	for i, a := range w.agents {
		names[i] = record.Agent{Name: a.name, Zone: s.Network.Zones[a.zone]}
	}
	w.sink.Begin(record.Run{
		Agents: names, Capacity: totalCapacity(machines), RatePerS: w.perS, Quotas: w.quotas,
		MeanWork: w.meanWork,
	})
	for i, m := range machines {
		w.newServer(zones[i], m, netip.AddrPort{}).start(false)
	}
	w.discovery = newDiscovery(w)
	w.discovery.publishInitial()
	for _, a := range w.agents {
		(&source{
			client: a.client, rng: newStream(w.seed, "client "+a.name), perS: w.perS * a.share,
			until: s.Run.Length,
		}).start()
	}
	nth := map[scenario.FaultKind]int{}
	for i := range s.Faults {
		t := newInjection(w, i, nth[s.Faults[i].Kind])
		nth[t.config.Kind]++
		if w.plan != nil {
			w.plan.Faults = append(w.plan.Faults, PlannedFault{t.config.Kind, t.start, t.duration, t.share, t.size})
		}
		w.schedule(t.start, rankEnvironment, (*injectionStarts)(t))
	}
}

// machines draws the servers' machines and zones. Each kind and zone has its share of any first n
// servers as well as of all, so that one more server leaves the others unchanged.
func (w *world) machines() (machines []machine, zones []int) {
	s := w.scenario
	shares := make([]float64, len(s.Kinds))
	for i := range s.Kinds {
		shares[i] = s.Kinds[i].Share
	}
	kinds := apportion(s.Fleet.Servers, shares)
	zones = apportion(s.Fleet.Servers, w.zoneShares(s.Fleet.ZoneSkew, "fleet"))
	for i := range s.Fleet.Servers {
		m := drawMachine(s, &s.Kinds[kinds[i]], newStream(w.seed, fmt.Sprint("machine ", i)))
		m.drawShared(s, w.seed)
		machines = append(machines, m)
	}
	return machines, zones
}

// zoneShares returns the zones' weights: the first zone gets skew of the total on top of an even share
// of the rest.
func (w *world) zoneShares(skew scenario.Span, population string) []float64 {
	first := skew.Draw(newStream(w.seed, "zones of the "+population).Rand)
	shares := make([]float64, len(w.scenario.Network.Zones))
	for i := range shares {
		shares[i] = (1 - first) / float64(len(shares))
	}
	shares[0] += first
	return shares
}

// apportion assigns n places one after another, each to the index that is furthest below its share.
func apportion(n int, shares []float64) []int {
	assigned := make([]float64, len(shares))
	out := make([]int, n)
	for i := range out {
		best := 0
		for k := range shares {
			if shares[k]*float64(i+1)-assigned[k] > shares[best]*float64(i+1)-assigned[best] {
				best = k
			}
		}
		assigned[best]++
		out[i] = best
	}
	return out
}

// totalCapacity is the capacity of all machines once warm, in seconds of standard work per second.
func totalCapacity(machines []machine) (sum float64) {
	for i := range machines {
		sum += machines[i].capacity()
	}
	return sum
}

// drawAgents draws the agents and their shares of the traffic, the busiest agent first.
func (w *world) drawAgents() {
	s := w.scenario
	weights := zipf(s.Agents.Count, s.Agents.Zipf.Draw(newStream(w.seed, "agents").Rand))
	sum := 0.0
	for _, p := range weights {
		sum += p
	}
	zones := apportion(s.Agents.Count, w.zoneShares(s.Agents.ZoneSkew, "agents"))
	for i, weight := range weights {
		a := &agent{w: w, number: i, name: fmt.Sprint("n", i), zone: zones[i], share: weight / sum}
		a.rng = newStream(w.seed, "agent "+a.name)
		a.client = &client{w: w, agent: a}
		w.agents = append(w.agents, a)
	}
}

// drawLoad draws the traffic and the clients' behavior.
func (w *world) drawLoad(machines []machine) {
	s := w.scenario
	rng := newStream(w.seed, "load")
	draw := func(v scenario.Span) float64 { return v.Draw(rng.Rand) }
	perS, ofCapacity := draw(s.Load.PerS), draw(s.Load.OfCapacity)
	w.swing = draw(s.Load.Swing)
	keys, keyZipf := int(math.Round(draw(s.Load.Keys))), draw(s.Load.KeyZipf)
	quotaPerS, quotaOfCapacity := draw(s.Load.QuotaPerS), draw(s.Load.QuotaOfCapacity)
	w.tryTimeoutShare, w.honorShare = draw(s.Clients.TryShare), draw(s.Clients.HonorRetryAfter)
	w.impatientShare = draw(s.Clients.Impatient)
	w.backoff = s.Clients.BackoffWait.Draw(rng.Rand)
	var shares []float64
	mean := 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		rng := newStream(w.seed, "class "+c.Name)
		w.meanWork = append(w.meanWork, c.Work.Draw(rng.Rand))
		w.workCV = append(w.workCV, c.CV.Draw(rng.Rand))
		w.noise = append(w.noise, c.Noise.Draw(rng.Rand))
		shares = append(shares, c.Share)
		mean += c.Share * w.meanWork[i].Seconds()
	}
	w.classes = newPicker(shares)
	capacity := totalCapacity(machines) / mean // in requests per second
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
	w.peakFactor = 1
	if s.Load.Shape != scenario.Steady {
		w.peakFactor = 1 + w.swing
	}
}

// loadFactor is the request rate at a time relative to the mean of the run.
func (w *world) loadFactor(at time.Duration) float64 {
	progress := float64(at) / float64(w.scenario.Run.Length)
	switch w.scenario.Load.Shape {
	case scenario.Ramp:
		return 1 + w.swing*(2*progress-1)
	case scenario.Wave:
		return 1 + w.swing*math.Sin(2*math.Pi*progress)
	}
	return 1
}

// deployment returns an agent's settings.
func (w *world) deployment(a *agent) balancer.Settings {
	s := w.scenario
	settings := balancer.Settings{
		Self: a.number, Balancers: len(w.agents), Zone: s.Network.Zones[a.zone],
		OverQuotaWeight: s.Load.OverShareWorth, DiscoveryOnDemand: true, ClientsMarkRetries: s.Clients.MarksRetry,
		Tick: s.Agents.Tick, Tuning: w.options.Tuning,
		Limits: balancer.Limits{
			MaxAttempts: s.Allow.MaxAttempts, Hedging: s.Allow.SecondCopies,
			Cancel: s.Allow.Cancel, Gossip: s.Allow.Peers, RetryAfter: s.Allow.RetryAfter,
			MaxRetryAfter: s.Allow.MaxRetryAfter,
		},
		Rules: balancer.Rules{
			DrainGrace:        s.Rules.DrainGrace,
			MaxPollInterval:   s.Rules.RequestWithin,
			SlowStartCapacity: s.Rules.SlowStartShare,
			SlowStartDuration: s.Rules.SlowStartTime,
			OverloadMultiple:  s.Rules.OverloadMultiple,
			OverloadWindow:    s.Rules.OverloadWindow,
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
			LatencyObjective: c.LatencyObjective,
			Deadline:         c.Deadline,
			PriorityWeight:   c.Worth,
			Idempotency:      balancer.NotIdempotent,
		}
		if c.Effect == scenario.Safe {
			k.Idempotency = balancer.Idempotent
		}
		settings.Classes = append(settings.Classes, k)
	}
	for i := range s.Tenants {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{
			Name: s.Tenants[i].Name, QuotaPerSecond: w.quotas[i],
			Share: s.Tenants[i].Share,
		})
	}
	return settings
}
