// Package slowstart says how much of its traffic one balancer may send to a booking server that just started, or
// that is down and tried, so that all balancers together do not make it fall over.
//
// Each balancer keeps a budget of its own for each such server, filled by what it sends a warm one. No
// balancer knows what the others send: what keeps their sum under the limit is that each one's fill is a part
// of its own traffic, and that the parts of requests they begin with are left to chance.
//
// It does no input or output, and knows no clock: every call brings the time. The same calls give the same
// answers. A Budget is not safe for concurrent use.
package slowstart

import "time"

const (
	// probeFraction of what a server's mean is: the trials that a down one gets.
	probeFraction = 0.05
	// minProbesPerSecond a second come from all balancers together at least, or a quiet fleet would never know that
	// a server is back.
	minProbesPerSecond = 0.5
	// burstsPerWindow is of how many parts of the window within which a cold server falls over one may be saved up and
	// sent at once.
	burstsPerWindow = 6
)

// Params are what a deployment's rules and the balancer's figures say of cold servers.
type Params struct {
	InitialCapacity  float64       // of its capacity: what a server that just started can do at least
	Duration         time.Duration // it is warm after this
	OverloadMultiple float64       // sent more than this many times what it can do
	OverloadWindow   time.Duration // for this long, it falls over
	Margin           float64       // of the multiple: what a balancer uses of its part
	MaxOfWarm        float64       // times a warm server's mean: the most that a cold one gets
	Balancers        int
}

// CapacityFraction is the part of its capacity, from 0 to 1, that a server surely has that started or came back at a
// time; zero: long ago.
func (t *Params) CapacityFraction(now, since time.Duration) float64 {
	age := now - since
	if since == 0 || age >= t.Duration {
		return 1
	}
	return t.InitialCapacity + (1-t.InitialCapacity)*max(float64(age)/float64(t.Duration), 0)
}

// fill is how much a server gets, in work units a second: what a warm one gets, scaled by warmth and held
// well under the multiple. A down server's trials come at a lower rate; neither grows with the number of
// balancers.
func (t *Params) fillRate(warmth, mean float64, trial bool) float64 {
	fill := min(t.Margin*t.OverloadMultiple*warmth, t.MaxOfWarm) * mean
	if trial {
		fill = max(min(fill, probeFraction*mean), minProbesPerSecond/float64(max(t.Balancers, 1)))
	}
	return fill
}

// Budget is what one balancer may send one server while that is cold or tried.
type Budget struct {
	units     float64 // work units
	updatedAt time.Duration
}

// Start starts a budget with a random part of one request, from 0 to 1: of many balancers that each hold far
// less than a request a second for it, as many send at once as their parts add up to.
func (b *Budget) Start(now time.Duration, lot float64) { b.units, b.updatedAt = lot, now }

// Spend takes off what was sent, in work units.
func (b *Budget) Spend(units float64) { b.units -= units }

// HasCapacity tells whether one more request may go to the server now. Mean is what this balancer sends a warm one,
// in work units a second; size is how large the server is, from 0 to 1, the largest being 1.
func (b *Budget) HasCapacity(t *Params, now time.Duration, warmth, mean, size float64, trial bool) bool {
	fill := t.fillRate(warmth, mean, trial) * min(size, 1)
	most := max(1, fill*seconds(t.OverloadWindow)/burstsPerWindow)
	b.units = min(b.units+fill*seconds(now-b.updatedAt), most)
	b.updatedAt = now
	return b.units >= 1
}

// seconds is what Duration.Seconds is, without its two divisions.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
