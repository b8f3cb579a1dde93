package ringassignment

import (
	"math"
	"slices"
	"time"
)

// rule is what takes a server from one state to another. Of those of its state the first that holds does, one
// a generation.
type rule struct {
	from      []Phase
	condition string
	holds     func(*candidate) bool
	to        Phase
	isFlap    bool // it raises the penalty
}

var servingPhases = []Phase{Complete, Joining}

// unchanged is the state that a server has.
const unchanged Phase = 255

// rules are all of them.
var rules = []rule{
	{servingPhases, "it drains", (*candidate).isDraining, Away, true},
	{servingPhases, "it vanished, or is not ready", (*candidate).isLost, Suspect, true},
	{servingPhases, "it was away, and is back before a generation took it off", (*candidate).wasBrieflyLost, unchanged, true},
	{servingPhases, "it has more points than its warmth permits: it began anew", (*candidate).isColder, Joining, true},
	{[]Phase{Joining}, "it has all its points", (*candidate).isFullyGrown, Complete, false},
	{[]Phase{Suspect}, "it drains", (*candidate).isDraining, Away, false},
	{[]Phase{Suspect}, "it is back, held off for long enough, and warm", (*candidate).mayReturnWarm, Complete, false},
	{[]Phase{Suspect}, "it is back, held off for long enough, and cold", (*candidate).mayReturn, Joining, false},
	{[]Phase{Suspect}, "its points were kept for long enough, and it is not listed", (*candidate).isOverdueUnlisted, Gone, false},
	{[]Phase{Suspect}, "its points were kept for long enough", (*candidate).isOverdue, Away, false},
	{[]Phase{Expected, Away, Gone}, "it is ready, held off for long enough", (*candidate).mayReturn, Joining, false},
	{[]Phase{Expected, Away}, "it is not listed", (*candidate).isUnlisted, Gone, false},
}

// Rules are all rules for people: from which states, to which, and when.
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

// look is a server as a rule sees it.
type candidate struct {
	*builder
	node   *Member
	server *ObservedServer // nil: not listed
}

func (l *candidate) isUnlisted() bool { return l.server == nil }
func (l *candidate) isReady() bool    { return l.server != nil && l.server.Ready && !l.server.Draining }
func (l *candidate) isDraining() bool { return l.server != nil && l.server.Draining }

// lost waits for whether one without swings comes back at once, as one does whose list was told anew: then
// its keys go and are back, and taking it off would move them twice more. Own lists take away meanwhile.
func (l *candidate) isLost() bool {
	if l.listDoubtful || l.isReady() {
		return false
	}
	broke, is := l.missing[l.node.ID]
	if l.server != nil {
		broke, is = l.server.LostAt, true
	}
	return !is || l.now-broke >= l.params.LossConfirmation || l.node.penalty(l.now, l.params.PenaltyHalfLife) >= minPenalty
}

// blinked only counts as a swing: its keys went and are back wherever the list told of it, and taking it off
// would move them twice more.
func (l *candidate) wasBrieflyLost() bool {
	return l.isReady() && l.server.LostAt > l.state.EffectiveAt-l.params.ActivationLead
}

// colder leaves room to rounding, and to others that have fewer points than before.
func (l *candidate) isColder() bool { return float64(l.node.Points) > 1.25*float64(l.warmPoints())+1 }

func (l *candidate) isFullyGrown() bool { return int(l.node.Points) >= l.node.fullPoints() }

func (l *candidate) mayReturn() bool {
	return l.isReady() && l.now-l.server.ReadySince >= l.holdOff()
}

func (l *candidate) mayReturnWarm() bool { return l.mayReturn() && !l.isColder() }
func (l *candidate) isOverdue() bool {
	return !l.isReady() && l.now-time.Duration(l.node.Since)*time.Second >= l.params.SuspectRetention
}
func (l *candidate) isOverdueUnlisted() bool { return l.isUnlisted() && l.isOverdue() }

// warm is how many points the server's warmth permits when the generation is taken up.
func (l *candidate) warmPoints() int { return l.permittedPoints(l.server, l.node.fullPoints()) }

// hold is for how long the server has to be ready before it may come back.
func (l *candidate) holdOff() time.Duration {
	p := l.node.penalty(l.now, l.params.PenaltyHalfLife)
	if p < minPenalty {
		return 0
	}
	hold := float64(l.params.MinReadyTime) * math.Exp2(p-1)
	return time.Duration(min(hold, float64(l.params.MaxHoldOff)))
}

const (
	minPenalty = 0.1 // a swing decayed to less counts no more
	maxPenalty = 20
)

// penalty is what is left of it, in swings.
func (n *Member) penalty(now, half time.Duration) float64 {
	age := max(now-time.Duration(n.Since)*time.Second, 0)
	return float64(n.Penalty) / 100 * math.Exp2(-float64(age)/float64(half))
}

// enter has a server be in another state.
func (n *Member) enter(to Phase, swing bool, now, half time.Duration) {
	p := n.penalty(now, half)
	if swing {
		p = min(p+1, maxPenalty)
	}
	if p < minPenalty {
		p = 0
	}
	if to == unchanged {
		to = n.Phase
	}
	full := n.fullPoints()
	n.Phase, n.Penalty, n.Since = to, uint16(math.Round(100*p)), unixSeconds(now)
	if to == Complete && n.Penalty == 0 {
		n.Since = 0
	}
	n.setFullPoints(full)
}

// rule is the first that holds; nil: none. One that windows have emptied stays as it is, whatever becomes of
// it: it has no keys to lose. Guards against a server that staff restart, which would be held off beyond the
// windows' end, and against agents that are cut off meanwhile and hear of no other generation for long.
func (l *candidate) firstRule() *rule {
	if l.fullyDrained[l.node.ID] && slices.Contains(servingPhases, l.node.Phase) {
		return nil
	}
	for i := range rules {
		if r := &rules[i]; slices.Contains(r.from, l.node.Phase) && r.holds(l) {
			return r
		}
	}
	return nil
}
