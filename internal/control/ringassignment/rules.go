package ringassignment

import (
	"math"
	"slices"
	"time"
)

// rule takes a server from one phase to another. Of the rules of its phase the first that holds applies, one
// a generation.
type rule struct {
	from      []Phase
	condition string // for people
	holds     func(*candidate) bool
	to        Phase
	flap      flap
}

// servingPhases are the phases of servers that have points on the ring.
var servingPhases = []Phase{Complete, Joining}

// rules are all rules; nobody changes them.
var rules = []rule{
	{servingPhases, "it drains", (*candidate).isDraining, Away, countsAsFlap},
	{servingPhases, "it vanished, or is not ready", (*candidate).isLost, Suspect, countsAsFlap},
	{
		servingPhases, "it was away, and is back before a generation took it off",
		(*candidate).wasBrieflyLost, unchanged, countsAsFlap,
	},
	{
		servingPhases, "it has more points than its warmth permits: it began anew",
		(*candidate).isColder, Joining, countsAsFlap,
	},
	{[]Phase{Joining}, "it has all its points", (*candidate).isFullyGrown, Complete, noFlap},
	{[]Phase{Suspect}, "it drains", (*candidate).isDraining, Away, noFlap},
	{
		[]Phase{Suspect},
		"it is back, held off for long enough, and warm",
		(*candidate).mayReturnWarm, Complete, noFlap,
	},
	{
		[]Phase{Suspect},
		"it is back, held off for long enough, and cold",
		(*candidate).mayReturn, Joining, noFlap,
	},
	{
		[]Phase{Suspect},
		"its points were kept for long enough, and it is not listed",
		(*candidate).isOverdueUnlisted, Gone, noFlap,
	},
	{[]Phase{Suspect}, "its points were kept for long enough", (*candidate).isOverdue, Away, noFlap},
	{
		[]Phase{Expected, Away, Gone},
		"it is ready, held off for long enough",
		(*candidate).mayReturn, Joining, noFlap,
	},
	{[]Phase{Expected, Away}, "it is not listed", (*candidate).isUnlisted, Gone, noFlap},
}

// Rules are all rules for people: from which phases, to which, and the condition. A test compares them with
// docs/design/placement.md.
func Rules() (lines [][3]string) {
	for _, r := range rules {
		from := ""
		for i, p := range r.from {
			if i > 0 {
				from += ", "
			}
			from += p.String()
		}
		to := r.to.String()
		if r.to == unchanged {
			to = "as it is"
		}
		lines = append(lines, [3]string{from, to, r.condition})
	}
	return lines
}

// candidate is a server as a rule sees it.
type candidate struct {
	*builder
	member *Member
	server *ObservedServer // nil: not listed
}

// firstRule is the first rule that holds; nil: none. A server that windows have fully drained stays as it is,
// whatever becomes of it: it has no keys to lose. Otherwise a server that is restarted in a window would be
// held off beyond the window's end, and agents that are cut off meanwhile would not learn of it for long.
func (c *candidate) firstRule() *rule {
	if c.fullyDrained[c.member.ID] && slices.Contains(servingPhases, c.member.Phase) {
		return nil
	}
	for i := range rules {
		if r := &rules[i]; slices.Contains(r.from, c.member.Phase) && r.holds(c) {
			return r
		}
	}
	return nil
}

func (c *candidate) isUnlisted() bool { return c.server == nil }
func (c *candidate) isReady() bool    { return c.server != nil && c.server.isUsable() }
func (c *candidate) isDraining() bool { return c.server != nil && c.server.Draining }

// isLost tells whether a server is lost for good. One without flaps may come back at once, as where an
// endpoint list was sent anew: its keys move away and back then, and to take it off would move them twice
// more. Until that is clear the agents' own lists keep it out of use.
func (c *candidate) isLost() bool {
	if c.listDoubtful || c.isReady() {
		return false
	}
	lostAt, known := c.missing[c.member.ID]
	if c.server != nil {
		lostAt, known = c.server.LostAt, true
	}
	return !known || c.now-lostAt >= c.params.LossConfirmation || c.penalty() >= minPenalty
}

// wasBrieflyLost tells whether a server was lost and is back before it was taken off. That only counts as a
// flap: its keys have moved away and back wherever the list said so, and to take it off would move them twice
// more.
func (c *candidate) wasBrieflyLost() bool {
	return c.isReady() && c.server.LostAt > c.state.EffectiveAt-c.params.ActivationLead
}

// isColder tells whether a server has clearly more points than slow start permits: it was restarted. The
// margin is for rounding, and for other servers that have fewer points than before.
func (c *candidate) isColder() bool { return float64(c.member.Points) > 1.25*float64(c.warmPoints())+1 }

func (c *candidate) isFullyGrown() bool { return int(c.member.Points) >= c.member.fullPoints() }

// mayReturn tells whether a server has been ready for as long as its penalty demands.
func (c *candidate) mayReturn() bool {
	return c.isReady() && c.now-c.server.ReadySince >= c.holdOff()
}

func (c *candidate) mayReturnWarm() bool { return c.mayReturn() && !c.isColder() }

// isOverdue tells whether a server's points were kept for long enough.
func (c *candidate) isOverdue() bool {
	return !c.isReady() && c.now-time.Duration(c.member.Since)*time.Second >= c.params.SuspectRetention
}

func (c *candidate) isOverdueUnlisted() bool { return c.isUnlisted() && c.isOverdue() }

// warmPoints is how many points slow start permits when the generation is used.
func (c *candidate) warmPoints() int { return c.permittedPoints(c.server, c.member.fullPoints()) }

func (c *candidate) penalty() float64 { return c.member.penalty(c.now, c.params.PenaltyHalfLife) }

// holdOff is how long the server has to be ready before it may return.
func (c *candidate) holdOff() time.Duration {
	penalty := c.penalty()
	if penalty < minPenalty {
		return 0
	}
	hold := float64(c.params.MinReadyTime) * math.Exp2(penalty-1)
	return time.Duration(min(hold, float64(c.params.MaxHoldOff)))
}
