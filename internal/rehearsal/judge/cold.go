package judge

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Cold is how near the servers that started cold came to falling over. Of each start the fullest window
// counts: the most work that it was sent within the rule's window, over what it stood then.
type Cold struct {
	Starts    int     `json:"starts"`
	Fell      int     `json:"fell"`
	FellTold  int     `json:"fell_told"` // of these, over two thirds by agents that were told of the start
	Median    float64 `json:"fullest_median"`
	P90       float64 `json:"fullest_p90"`
	Fullest   float64 `json:"fullest"`
	Server    string  `json:"fullest_server"`
	AtS       float64 `json:"fullest_at_s"`
	Told      float64 `json:"fullest_told"` // part of that window's work from agents that were told
	OverThree int     `json:"over_three_quarters"`
}

// coldStarts is the fourth rule's checker: a booking server that has just started is not pushed over by what
// the agents that know of its start send it together.
type coldStarts struct {
	Rule
	words words
	set   *scenario.Scenario
	list  *knowledge
	mean  time.Duration // work of a request
	cold  map[int32]*coldServer
	all   []*coldServer // also those that are warm or down by now
	fell  int
	told  int // of these, by agents that were told
}

// A coldServer is one start: what it was sent since, as far back as the rule's window.
type coldServer struct {
	server  int32
	up      time.Duration
	sent    []coldSend
	sum     time.Duration
	fullest float64 // window, over what it stood then
	at      time.Duration
	told    float64 // part of it from agents that were told
}

// A coldSend is work that reached a cold server.
type coldSend struct {
	record.Event
	told bool // its agent, of the start, when it came
}

func newColdStarts(w words, set *scenario.Scenario, day record.Day, list *knowledge) *coldStarts {
	return &coldStarts{
		words: w, set: set, list: list, cold: map[int32]*coldServer{},
		mean: set.MeanWork(day.MeanWork), Rule: Rule{
			Name: "cold starts",
			Text: "no starting server pushed over by what all agents that know of its start send it together",
		},
	}
}

func (c *coldStarts) verdict() Rule { return c.Rule }

func (c *coldStarts) finish(time.Duration) {}

func (c *coldStarts) take(e *record.Event, _ *operation) {
	switch e.Kind {
	case record.ServerUp:
		delete(c.cold, e.Server)
		if e.Cold {
			s := &coldServer{server: e.Server, up: e.At}
			c.cold[e.Server] = s
			c.all = append(c.all, s)
		}
	case record.Reached:
		s := c.cold[e.Server]
		switch {
		case s == nil:
		case !e.Cold:
			s.sent = nil
			delete(c.cold, e.Server)
		default:
			c.reached(e, s)
		}
	case record.Fell:
		if s := c.cold[e.Server]; s != nil {
			c.pushedOver(e, s)
		}
	}
}

// reached adds work to the window that ends with it, and keeps how full that is where it is the fullest.
func (c *coldStarts) reached(e *record.Event, s *coldServer) {
	s.forget(e.At - c.set.Rules.FallWindow)
	s.sent = append(s.sent, coldSend{*e, c.list.toldOfStart(e.Agent, e.Server, s.up, e.At)})
	s.sum += e.Work
	limit := max(c.set.Rules.FallLimit(e.Capacity, c.mean), 1)
	if full := float64(s.sum) / float64(limit); full > s.fullest {
		s.fullest, s.at, s.told = full, e.At, s.informed()
	}
}

func (s *coldServer) forget(before time.Duration) {
	n := 0
	for n < len(s.sent) && s.sent[n].At <= before {
		s.sum -= s.sent[n].Work
		n++
	}
	s.sent = s.sent[n:]
}

// informed is the part of the window's work that came from agents that were told of the start.
func (s *coldServer) informed() float64 {
	var told time.Duration
	for i := range s.sent {
		if s.sent[i].told {
			told += s.sent[i].Work
		}
	}
	return float64(told) / float64(max(s.sum, 1))
}

// informedShare is the part of what pushed a server over beyond which the agents that knew of its start did
// it.
const informedShare = 2.0 / 3

func (c *coldStarts) pushedOver(e *record.Event, s *coldServer) {
	s.forget(e.At - c.set.Rules.FallWindow)
	c.fell++
	informed := s.informed()
	if informed <= informedShare {
		return
	}
	if c.told++; !c.set.Gate.ColdFalls {
		return
	}
	c.broken(e.At, func() []Line { return c.parts(e, s) },
		"%s, started %v before, was sent %v of work in %v and fell over; %.0f%% came from agents told of its start",
		c.words.server(e.Server), short(e.At-s.up), short(s.sum), c.set.Rules.FallWindow, 100*informed)
}

const shownSends = 12 // of those that led to a fall

// parts words what each agent sent, and the last of it.
func (c *coldStarts) parts(e *record.Event, s *coldServer) []Line {
	lines := []Line{{Moment(s.up), c.words.server(e.Server) + " starts, cold"}}
	by := make([]time.Duration, len(c.list.agents))
	capacity := 0.0
	for i := range s.sent {
		by[s.sent[i].Agent] += s.sent[i].Work
		capacity = s.sent[i].Capacity
		if i >= len(s.sent)-shownSends {
			lines = append(lines, c.words.line(&s.sent[i].Event))
		}
	}
	lines = append(lines, Line{Moment(e.At), fmt.Sprintf("at its present capacity it stands %v in %v",
		short(c.set.Rules.FallLimit(capacity, c.mean)), c.set.Rules.FallWindow)})
	for agent, work := range by {
		if work > 0 {
			lines = append(lines, Line{Moment(e.At), fmt.Sprintf("%s sent it %v of work in that time",
				c.words.agent(int32(agent)), short(work))})
		}
	}
	return lines
}

const nearFall = 0.75 // of what a server stands

// summary is how near the cold servers came to falling over; nil where none started.
func (c *coldStarts) summary() *Cold {
	if len(c.all) == 0 {
		return nil
	}
	all := slices.Clone(c.all)
	slices.SortStableFunc(all, func(a, b *coldServer) int {
		switch {
		case a.fullest < b.fullest:
			return -1
		case a.fullest > b.fullest:
			return 1
		}
		return 0
	})
	n := len(all)
	most := all[n-1]
	sum := &Cold{
		Starts: n, Fell: c.fell, FellTold: c.told, Median: all[n/2].fullest,
		P90: all[n*9/10].fullest, Fullest: most.fullest, Server: c.words.server(most.server),
		AtS: inSeconds(most.at), Told: most.told,
	}
	for _, s := range all {
		if s.fullest > nearFall {
			sum.OverThree++
		}
	}
	return sum
}
