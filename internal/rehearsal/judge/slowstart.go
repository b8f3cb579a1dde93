package judge

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// SlowStartSummary reports how close servers in slow start came to being overloaded. Each start is
// represented by its fullest window: the maximum work sent within the rule's window, as a part of the work
// that would overload the server.
type SlowStartSummary struct {
	Starts     int `json:"starts"`
	Overloaded int `json:"fell"`
	// Of the overloaded servers, those with over two thirds of the work from agents notified of the start.
	OverloadedNotified int     `json:"fell_told"`
	Median             float64 `json:"fullest_median"`
	P90                float64 `json:"fullest_p90"`
	Fullest            float64 `json:"fullest"`
	Server             string  `json:"fullest_server"`
	AtS                float64 `json:"fullest_at_s"`
	// Part of the fullest window's work that came from agents notified of the start.
	FullestNotified float64 `json:"fullest_told"`
	OverThree       int     `json:"over_three_quarters"`
}

// slowStartChecker checks the fourth rule: an upstream server that has just started is not overloaded by
// the combined work of the agents that know of its start.
type slowStartChecker struct {
	Rule
	describe          describer
	scenario          *scenario.Scenario
	view              *discoveryView
	meanWork          time.Duration // of a request
	starting          map[int32]*startingServer
	all               []*startingServer // including servers that are warm or down by now
	overloads         int
	overloadsNotified int // of these, by agents notified of the start
}

// A startingServer is one start of a server with the work that reached it in the rule's window.
type startingServer struct {
	server   int32
	up       time.Duration
	sent     []startingWork
	sum      time.Duration
	fullest  float64 // fullest window, as a part of the work that would overload the server
	at       time.Duration
	notified float64 // part of that window's work from agents notified of the start
}

// A startingWork is work that reached a server in slow start.
type startingWork struct {
	record.Event
	notified bool // its agent had been notified of the start
}

func newSlowStartChecker(
	d describer, sc *scenario.Scenario, run record.Run, view *discoveryView,
) *slowStartChecker {
	return &slowStartChecker{
		describe: d, scenario: sc, view: view, starting: map[int32]*startingServer{},
		meanWork: sc.MeanWork(run.MeanWork), Rule: Rule{
			Name: "cold starts",
			Text: "no server in slow start overloaded by the combined work of the agents that know of its start",
		},
	}
}

func (c *slowStartChecker) verdict() Rule { return c.Rule }

func (c *slowStartChecker) finish(time.Duration) {}

func (c *slowStartChecker) observe(e *record.Event, _ *request) {
	switch e.Kind {
	case record.ServerUp:
		delete(c.starting, e.Server)
		if e.SlowStart {
			s := &startingServer{server: e.Server, up: e.At}
			c.starting[e.Server] = s
			c.all = append(c.all, s)
		}
	case record.AttemptReached:
		s := c.starting[e.Server]
		switch {
		case s == nil:
		case !e.SlowStart:
			s.sent = nil
			delete(c.starting, e.Server)
		default:
			c.reached(e, s)
		}
	case record.ServerOverloaded:
		if s := c.starting[e.Server]; s != nil {
			c.overloaded(e, s)
		}
	}
}

// reached adds work to the window that ends with it, and records the window if it is the fullest so far.
func (c *slowStartChecker) reached(e *record.Event, s *startingServer) {
	s.expire(e.At - c.scenario.Rules.OverloadWindow)
	s.sent = append(s.sent, startingWork{*e, c.view.notifiedOfStart(e.Agent, e.Server, s.up, e.At)})
	s.sum += e.Work
	limit := max(c.scenario.Rules.OverloadLimit(e.Capacity, c.meanWork), 1)
	if full := float64(s.sum) / float64(limit); full > s.fullest {
		s.fullest, s.at, s.notified = full, e.At, s.notifiedShare()
	}
}

func (s *startingServer) expire(before time.Duration) {
	n := 0
	for n < len(s.sent) && s.sent[n].At <= before {
		s.sum -= s.sent[n].Work
		n++
	}
	s.sent = s.sent[n:]
}

// notifiedShare returns the part of the window's work that came from agents notified of the start.
func (s *startingServer) notifiedShare() float64 {
	var notified time.Duration
	for i := range s.sent {
		if s.sent[i].notified {
			notified += s.sent[i].Work
		}
	}
	return float64(notified) / float64(max(s.sum, 1))
}

// maxNotifiedShare is the maximum part of the work that overloaded a server that may come from agents
// notified of its start. Above it, the overload breaks the rule.
const maxNotifiedShare = 2.0 / 3

func (c *slowStartChecker) overloaded(e *record.Event, s *startingServer) {
	s.expire(e.At - c.scenario.Rules.OverloadWindow)
	c.overloads++
	share := s.notifiedShare()
	if share <= maxNotifiedShare {
		return
	}
	if c.overloadsNotified++; !c.scenario.Gate.OverloadBreaksRule {
		return
	}
	c.addBreach(e.At, func() []Line { return c.breachEvents(e, s) },
		"%s, started %v before, got %v of work in %v and was overloaded; %.0f%% by agents notified of its start",
		c.describe.server(e.Server), roundToMS(e.At-s.up), roundToMS(s.sum), c.scenario.Rules.OverloadWindow,
		100*share)
}

const maxShownSends = 12 // sends listed for an overload, the last ones

// breachEvents describes the last sends before an overload and the work of each agent.
func (c *slowStartChecker) breachEvents(e *record.Event, s *startingServer) []Line {
	lines := []Line{{Moment(s.up), c.describe.server(e.Server) + " starts, in slow start"}}
	by := make([]time.Duration, len(c.view.agents))
	capacity := 0.0
	for i := range s.sent {
		by[s.sent[i].Agent] += s.sent[i].Work
		capacity = s.sent[i].Capacity
		if i >= len(s.sent)-maxShownSends {
			lines = append(lines, c.describe.line(&s.sent[i].Event))
		}
	}
	lines = append(lines, Line{Moment(e.At), fmt.Sprintf(
		"at its current capacity it is overloaded by more than %v in %v",
		roundToMS(c.scenario.Rules.OverloadLimit(capacity, c.meanWork)), c.scenario.Rules.OverloadWindow)})
	for agent, work := range by {
		if work > 0 {
			lines = append(lines, Line{Moment(e.At), fmt.Sprintf("%s sent it %v of work in that time",
				c.describe.agent(int32(agent)), roundToMS(work))})
		}
	}
	return lines
}

const nearOverload = 0.75 // part of the work that would overload the server

// summary returns how close the servers in slow start came to being overloaded, or nil if none started.
func (c *slowStartChecker) summary() *SlowStartSummary {
	if len(c.all) == 0 {
		return nil
	}
	all := slices.Clone(c.all)
	slices.SortStableFunc(all, func(a, b *startingServer) int {
		switch {
		case a.fullest < b.fullest:
			return -1
		case a.fullest > b.fullest:
			return 1
		}
		return 0
	})
	n := len(all)
	fullest := all[n-1]
	sum := &SlowStartSummary{
		Starts: n, Overloaded: c.overloads, OverloadedNotified: c.overloadsNotified, Median: all[n/2].fullest,
		P90: all[n*9/10].fullest, Fullest: fullest.fullest, Server: c.describe.server(fullest.server),
		AtS: inSeconds(fullest.at), FullestNotified: fullest.notified,
	}
	for _, s := range all {
		if s.fullest > nearOverload {
			sum.OverThree++
		}
	}
	return sum
}
