// Package cold says how much of its traffic one balancer may send to a booking server that just started, or
// that is down and tried, so that all balancers together do not make it fall over.
//
// Each balancer keeps a budget of its own for each such server, filled by what it sends a warm one. No
// balancer knows what the others send: what keeps their sum under the limit is that each one's fill is a part
// of its own traffic, and that the parts of requests they begin with are left to chance.
//
// It does no input or output, and knows no clock: every call brings the time. The same calls give the same
// answers. A Budget is not safe for concurrent use.
package cold

import "time"

const (
	// trialShare of what a server's mean is: the trials that a down one gets.
	trialShare = 0.05
	// trialsLeast a second come from all balancers together at least, or a quiet fleet would never know that
	// a server is back.
	trialsLeast = 0.5
	// savedOf is of how many parts of the window within which a cold server falls over one may be saved up and
	// sent at once.
	savedOf = 6
)

// Terms are what a deployment's rules and the balancer's figures say of cold servers.
type Terms struct {
	Share        float64       // of its capacity: what a server that just started can do at least
	For          time.Duration // it is warm after this
	FallMultiple float64       // sent more than this many times what it can do
	FallWindow   time.Duration // for this long, it falls over
	Margin       float64       // of the multiple: what a balancer uses of its part
	Most         float64       // times a warm server's mean: the most that a cold one gets
	Balancers    int
}

// Warmth is the part of its capacity, from 0 to 1, that a server surely has that started or came back at a
// time; zero: long ago.
func (t *Terms) Warmth(now, since time.Duration) float64 {
	age := now - since
	if since == 0 || age >= t.For {
		return 1
	}
	return t.Share + (1-t.Share)*max(float64(age)/float64(t.For), 0)
}

// fill is how much a server gets, in work units a second: what a warm one gets, scaled by warmth and held
// well under the multiple. A down server's trials come at a lower rate; neither grows with the number of
// balancers.
func (t *Terms) fill(warmth, mean float64, trial bool) float64 {
	fill := min(t.Margin*t.FallMultiple*warmth, t.Most) * mean
	if trial {
		fill = max(min(fill, trialShare*mean), trialsLeast/float64(max(t.Balancers, 1)))
	}
	return fill
}

// Budget is what one balancer may send one server while that is cold or tried.
type Budget struct {
	left float64 // work units
	at   time.Duration
}

// Begin starts a budget with a random part of one request, from 0 to 1: of many balancers that each hold far
// less than a request a second for it, as many send at once as their parts add up to.
func (b *Budget) Begin(now time.Duration, lot float64) { b.left, b.at = lot, now }

// Spend takes off what was sent, in work units.
func (b *Budget) Spend(units float64) { b.left -= units }

// Room tells whether one more request may go to the server now. Mean is what this balancer sends a warm one,
// in work units a second; size is how large the server is, from 0 to 1, the largest being 1.
func (b *Budget) Room(t *Terms, now time.Duration, warmth, mean, size float64, trial bool) bool {
	fill := t.fill(warmth, mean, trial) * min(size, 1)
	most := max(1, fill*seconds(t.FallWindow)/savedOf)
	b.left = min(b.left+fill*seconds(now-b.at), most)
	b.at = now
	return b.left >= 1
}

// seconds is what Duration.Seconds is, without its two divisions.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
