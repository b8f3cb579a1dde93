package ringassignment

import (
	"math"
	"slices"
	"time"
)

// rule is a transition of a server from one of several phases to another. In each generation, the first rule
// that has the server's phase and whose condition is true applies.
type rule struct {
	from      []Phase
	condition string // description for operators
	applies   func(*candidate) bool
	to        Phase
	flap      flap
}

// servingPhases are the phases of servers that have points on the ring.
var servingPhases = []Phase{Complete, Joining}

// rules are all rules in order of precedence. They must not be modified.
var rules = []rule{
	{servingPhases, "it drains", (*candidate).isDraining, Away, countsAsFlap},
	{servingPhases, "it vanished, or is not ready", (*candidate).isLost, Suspect, countsAsFlap},
	{
		servingPhases, "it was away, and is back before a generation took it off",
		(*candidate).wasBrieflyLost, unchanged, countsAsFlap,
	},
	{
		servingPhases, "it has more points than its warmth permits: it began anew",
		(*candidate).exceedsSlowStart, Joining, countsAsFlap,
	},
	{[]Phase{Joining}, "it has all its points", (*candidate).isFullyGrown, Complete, noFlap},
	{[]Phase{Suspect}, "it drains", (*candidate).isDraining, Away, noFlap},
	{
		[]Phase{Suspect},
		"it is back, held off for long enough, and warm",
		(*candidate).mayReturnComplete, Complete, noFlap,
	},
	{
		[]Phase{Suspect},
		"it is back, held off for long enough, and cold",
		(*candidate).mayReturn, Joining, noFlap,
	},
	{
		[]Phase{Suspect},
		"its points were kept for long enough, and it is not listed",
		(*candidate).isRetentionOverUnlisted, Gone, noFlap,
	},
	{[]Phase{Suspect}, "its points were kept for long enough", (*candidate).isRetentionOver, Away, noFlap},
	{
		[]Phase{Expected, Away, Gone},
		"it is ready, held off for long enough",
		(*candidate).mayReturn, Joining, noFlap,
	},
	{[]Phase{Expected, Away}, "it is not listed", (*candidate).isUnlisted, Gone, noFlap},
}

// Rules returns a description of all rules for operators. Each line has the source phases, the target phase
// and the condition. A test compares them with docs/design/placement.md.
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

// candidate is the data of one server that rules depend on.
type candidate struct {
	*builder
	member *Member
	server *ObservedServer // nil if the server is not listed
}

// firstRule returns the first rule that applies, or nil. No rule applies to a serving server that windows
// have fully drained: it has no keys to lose. Otherwise a server that is restarted in a window would stay off
// the ring beyond the end of the window, and agents that are cut off meanwhile would not receive its return
// for a long time.
func (c *candidate) firstRule() *rule {
	if c.fullyDrained[c.member.ID] && slices.Contains(servingPhases, c.member.Phase) {
		return nil
	}
	for i := range rules {
		if r := &rules[i]; slices.Contains(r.from, c.member.Phase) && r.applies(c) {
			return r
		}
	}
	return nil
}

func (c *candidate) isUnlisted() bool { return c.server == nil }
func (c *candidate) isReady() bool    { return c.server != nil && c.server.isUsable() }
func (c *candidate) isDraining() bool { return c.server != nil && c.server.Draining }

// isLost reports whether a server counts as lost. A server without flaps counts only after
// Parameters.LossConfirmation, because it may return at once, for example when an endpoint list is sent
// again. In that case its keys have already moved away and back, and taking it off the ring would move them
// twice more. Meanwhile the agents' own lists keep it out of use.
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

// wasBrieflyLost reports whether a server was lost and returned before a generation took it off the ring.
// This only counts as a flap: at agents whose list changed, its keys have already moved away and back, and
// taking it off the ring would move them twice more.
func (c *candidate) wasBrieflyLost() bool {
	return c.isReady() && c.server.LostAt > c.state.EffectiveAt-c.params.ActivationLead
}

// exceedsSlowStart reports whether a server has clearly more points than slow start permits, because it was
// restarted. The margin allows for rounding, and for a permitted number that falls because other servers have
// fewer points.
func (c *candidate) exceedsSlowStart() bool {
	return float64(c.member.Points) > 1.25*float64(c.slowStartPoints())+1
}

func (c *candidate) isFullyGrown() bool { return int(c.member.Points) >= c.member.fullPoints() }

// mayReturn reports whether a server has been ready for as long as its penalty requires.
func (c *candidate) mayReturn() bool {
	return c.isReady() && c.now-c.server.ReadySince >= c.holdOff()
}

func (c *candidate) mayReturnComplete() bool { return c.mayReturn() && !c.exceedsSlowStart() }

// isRetentionOver reports whether a server that is not ready has been suspect for
// Parameters.SuspectRetention.
func (c *candidate) isRetentionOver() bool {
	return !c.isReady() && c.now-time.Duration(c.member.Since)*time.Second >= c.params.SuspectRetention
}

func (c *candidate) isRetentionOverUnlisted() bool { return c.isUnlisted() && c.isRetentionOver() }

// slowStartPoints returns the number of points that slow start permits when the generation takes effect.
func (c *candidate) slowStartPoints() int { return c.permittedPoints(c.server, c.member.fullPoints()) }

func (c *candidate) penalty() float64 { return c.member.penalty(c.now, c.params.PenaltyHalfLife) }

// holdOff returns how long the server has to be ready before it may return.
func (c *candidate) holdOff() time.Duration {
	penalty := c.penalty()
	if penalty < minPenalty {
		return 0
	}
	duration := float64(c.params.MinReadyTime) * math.Exp2(penalty-1)
	return time.Duration(min(duration, float64(c.params.MaxHoldOff)))
}
