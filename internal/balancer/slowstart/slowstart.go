package slowstart

import "time"

const (
	probeFraction      = 0.05 // rate of probe requests to an ejected server, relative to the rate to a warm one
	minProbesPerSecond = 0.5  // minimum over all agents together; a quiet fleet thus notices a recovered server
	burstsPerWindow    = 6    // parts of the overload window; a budget saves at most the fill of one part
)

// Params are the deployment's rules for servers that warm up, and the fraction of the permitted rate that is
// used.
type Params struct {
	InitialCapacity  float64       // minimum fraction of its capacity that a server has when it starts
	Duration         time.Duration // duration of the warm-up
	OverloadMultiple float64       // multiple of its capacity above which a server is overloaded
	OverloadWindow   time.Duration // time for which the load must exceed that multiple
	Margin           float64       // fraction of OverloadMultiple that is used
	MaxWarmMultiple  float64       // maximum rate as a multiple of the rate to a warm server
	Balancers        int           // number of agents that share the probe requests
}

// CapacityFraction returns the minimum fraction of its capacity, from 0 to 1, that a server has if it started
// or recovered at the time named since. Zero means long ago and gives 1.
func (p *Params) CapacityFraction(now, since time.Duration) float64 {
	age := now - since
	if since == 0 || age >= p.Duration {
		return 1
	}
	return p.InitialCapacity + (1-p.InitialCapacity)*max(float64(age)/float64(p.Duration), 0)
}

// fillRate returns the rate of a budget in work units a second: the rate to a warm server, scaled by the
// capacity and kept well below the overload multiple. The rate of probe requests to an ejected server is
// lower. Neither rate grows with the number of agents.
func (p *Params) fillRate(capacity, warmRate float64, kind Traffic) float64 {
	rate := min(p.Margin*p.OverloadMultiple*capacity, p.MaxWarmMultiple) * warmRate
	if kind == Probes {
		rate = max(min(rate, probeFraction*warmRate), minProbesPerSecond/float64(max(p.Balancers, 1)))
	}
	return rate
}

// Traffic is the kind of traffic that a budget limits.
type Traffic uint8

// The kinds of traffic.
const (
	Regular Traffic = iota // requests to a server that warms up
	Probes                 // probe requests to an ejected one
)

// Budget is what one agent may send to one server while the server warms up or gets probe requests.
type Budget struct {
	units     float64 // work units
	updatedAt time.Duration
}

// Start starts a budget with a random fraction of one request, from 0 to 1. The first requests of many agents
// that each may send far less than one request a second are thus spread evenly over time from the start.
func (b *Budget) Start(now time.Duration, fraction float64) { b.units, b.updatedAt = fraction, now }

// Spend deducts sent work units from the budget.
func (b *Budget) Spend(units float64) { b.units -= units }

// HasCapacity reports whether one more request of a kind may go to the server now. The capacity is the result
// of Params.CapacityFraction, warmRate is this agent's rate to a warm server in work units a second, and
// weight is the size of the server relative to the largest, from 0 to 1.
func (b *Budget) HasCapacity(
	p *Params, now time.Duration, capacity, warmRate, weight float64, kind Traffic,
) bool {
	rate := p.fillRate(capacity, warmRate, kind) * min(weight, 1)
	limit := max(1, rate*seconds(p.OverloadWindow)/burstsPerWindow)
	b.units = min(b.units+rate*seconds(now-b.updatedAt), limit)
	b.updatedAt = now
	return b.units >= 1
}

// seconds converts a duration to seconds. It runs for every request and saves the two divisions of
// Duration.Seconds.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
