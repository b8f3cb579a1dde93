package slowstart

import "time"

const (
	probeFraction      = 0.05 // of what a warm server gets: the probe requests of an ejected one
	minProbesPerSecond = 0.5  // of all agents together, or a quiet fleet would not notice that a server is back
	burstsPerWindow    = 6    // parts of the overload window: a budget holds what is filled in one of them
)

// Params are the deployment's rules of servers that warm up, and how much of what they permit is used.
type Params struct {
	InitialCapacity  float64       // fraction of its capacity that a server has at least when it starts
	Duration         time.Duration // after which it is warm
	OverloadMultiple float64       // times its capacity: a server that gets more
	OverloadWindow   time.Duration // for this long is overloaded
	Margin           float64       // fraction of the multiple that is used
	MaxOfWarm        float64       // times what a warm server gets: the most
	Balancers        int           // agents that share the probe requests
}

// CapacityFraction is the fraction of its capacity, from 0 to 1, that a server surely has which started or
// came back at a time; since zero: long ago.
func (p *Params) CapacityFraction(now, since time.Duration) float64 {
	age := now - since
	if since == 0 || age >= p.Duration {
		return 1
	}
	return p.InitialCapacity + (1-p.InitialCapacity)*max(float64(age)/float64(p.Duration), 0)
}

// fillRate is how much a server gets, in work units a second: what a warm one gets, scaled by the capacity
// and kept well below the multiple. The probe requests of an ejected one come at a lower rate. Neither grows
// with the number of agents.
func (p *Params) fillRate(capacity, warmRate float64, kind Traffic) float64 {
	rate := min(p.Margin*p.OverloadMultiple*capacity, p.MaxOfWarm) * warmRate
	if kind == Probes {
		rate = max(min(rate, probeFraction*warmRate), minProbesPerSecond/float64(max(p.Balancers, 1)))
	}
	return rate
}

// Traffic is what a budget is for.
type Traffic uint8

// The kinds of traffic.
const (
	Regular Traffic = iota // requests to a server that warms up
	Probes                 // probe requests to an ejected one
)

// Budget is what one agent may send to one server while that warms up or gets probe requests.
type Budget struct {
	units     float64 // work units
	updatedAt time.Duration
}

// Start starts a budget with a random fraction of one request, from 0 to 1: of many agents that each may send
// far less than a request a second, as many send one at once as their fractions add up to.
func (b *Budget) Start(now time.Duration, fraction float64) { b.units, b.updatedAt = fraction, now }

// Spend takes off what was sent, in work units.
func (b *Budget) Spend(units float64) { b.units -= units }

// HasCapacity reports whether one more request of a kind may go to the server now. The capacity is
// Params.CapacityFraction, the warmRate what this agent sends a warm server in work units a second, and the
// weight how large the server is, from 0 to 1, the largest being 1.
func (b *Budget) HasCapacity(
	p *Params, now time.Duration, capacity, warmRate, weight float64, kind Traffic,
) bool {
	rate := p.fillRate(capacity, warmRate, kind) * min(weight, 1)
	most := max(1, rate*seconds(p.OverloadWindow)/burstsPerWindow)
	b.units = min(b.units+rate*seconds(now-b.updatedAt), most)
	b.updatedAt = now
	return b.units >= 1
}

// seconds is Duration.Seconds without its two divisions: it is called for every request.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
