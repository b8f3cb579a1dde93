// Package late is the policy that a rehearsed day's shares are measured by: it sees every booking server's
// true state as it was some time ago, and how much work came to all agents, which no agent can. It is plain
// on purpose: of what comes it lets in, by lot, what the servers can do; each request goes to a server by
// lot, by what each can do, but to none where it would take over half of its aim beside those that are
// there; what may be repeated is tried again elsewhere while there is time. It knows no keys, zones, shares
// or budgets. The server that was free soonest would be worse: all agents would send there until they see
// it.
//
// It does no input or output and reads no clock. A Policy is not safe for concurrent use.
package late

import (
	"math/rand/v2"
	"sort"
	"time"

	"dunestep/internal/balancer"
)

// Server is a booking server's true state.
type Server struct {
	ID       string
	Takes    bool    // requests, and answers most of them
	Capacity float64 // at present, seconds of standard work a second
	Speed    float64 // the same, with what it loses by holding so many
	Held     float64 // requests in work or waiting
	Cores    float64
}

// Sight is how all servers stood at one time.
type Sight struct {
	room    float64   // part of what comes that the servers can do
	servers []Server  // that take requests and can do something
	upTo    []float64 // their capacities, added up
	byID    map[string]int
}

// busiest is the part of what the servers can do that is given out: the rest is for chance.
const busiest = 0.7

// NewSight returns a sight of the servers; asked is the work that came to all agents, seconds of standard
// work a second.
func NewSight(all []Server, asked float64) *Sight {
	s := &Sight{room: 1, byID: make(map[string]int, len(all))}
	sum := 0.0
	for _, v := range all {
		if v.Takes && v.Capacity > 0 {
			sum += v.Capacity
			s.byID[v.ID] = len(s.servers)
			s.servers, s.upTo = append(s.servers, v), append(s.upTo, sum)
		}
	}
	if asked > 0 {
		s.room = min(busiest*sum/asked, 1)
	}
	return s
}

// draw returns a server, each as often as its capacity is of all; nil where there is none.
func (s *Sight) draw(rng *rand.Rand) *Server {
	if len(s.servers) == 0 {
		return nil
	}
	at := rng.Float64() * s.upTo[len(s.upTo)-1]
	return &s.servers[min(sort.SearchFloat64s(s.upTo, at), len(s.servers)-1)]
}

const (
	draws    = 16 // that may find a server which the agent has not on its list, or has tried
	tagAsk   = 1
	askAgain = time.Second // at least, after a call that failed
	// partOfAim: a request of mean work may take one part of so many of its aim.
	partOfAim  = 2
	passedOver = 1 // full servers, that were drawn
	mostTries  = 3 // tries of a request, where the deployment allows so many
)

// Policy is one agent that goes by what it sees late. It implements the routing core's Module.
type Policy struct {
	set      balancer.Settings
	sight    func() *Sight
	work     time.Duration // a request's, on the mean
	rng      *rand.Rand
	ready    map[string]bool
	out      map[string]int // this agent's requests at each server
	requests map[uint32]*request
	classes  map[string]balancer.Class
	acts     []balancer.Action
	asked    bool
}

type request struct {
	class balancer.Class
	until time.Duration
	tried []string
	over  bool
}

// New returns a Policy that sees by sight, which returns how the servers stood some time ago. Work is the
// mean work of a request on a standard core.
func New(set balancer.Settings, work time.Duration, seed uint64, sight func() *Sight) *Policy {
	p := &Policy{
		set: set, sight: sight, work: work, rng: rand.New(rand.NewPCG(seed, 0x6c617465)),
		ready: map[string]bool{}, out: map[string]int{}, requests: map[uint32]*request{},
		classes: map[string]balancer.Class{},
	}
	for _, c := range set.Classes {
		p.classes[c.Name] = c
	}
	return p
}

// Step takes an event in and returns the actions to take, valid until the next Step.
func (p *Policy) Step(now time.Duration, ev balancer.Event) []balancer.Action {
	p.acts = p.acts[:0]
	switch e := ev.(type) {
	case *balancer.Request:
		r := &request{class: p.classes[e.Class], until: now + e.ClientTimeout}
		p.requests[e.ID] = r
		p.send(now, e.ID, r)
	case *balancer.AttemptDone:
		p.ended(now, e)
	case *balancer.ClientGone:
		if r := p.requests[e.ID]; r != nil {
			r.over = true
			for i := range r.tried {
				p.acts = append(p.acts, balancer.Action{Kind: balancer.Cancel, ID: e.ID, Attempt: i})
			}
			delete(p.requests, e.ID)
		}
	case *balancer.ServerListUpdate:
		p.listed(e)
	case *balancer.TimerDue:
		p.acts = append(p.acts, balancer.Action{Kind: balancer.Subscribe})
	}
	return p.acts
}

func (p *Policy) listed(e *balancer.ServerListUpdate) {
	if !p.asked {
		p.asked = true
		p.acts = append(p.acts, balancer.Action{Kind: balancer.Subscribe})
	}
	switch e.Kind {
	case balancer.UpdateFailed:
		wait := time.Duration(float64(askAgain) * (1 + 2*p.rng.Float64()))
		p.acts = append(p.acts, balancer.Action{Kind: balancer.SetTimer, After: wait, Tag: tagAsk})
		return
	case balancer.UpdateFull, balancer.UpdateCached:
		clear(p.ready)
	}
	for i := range e.Servers {
		p.ready[e.Servers[i].ID] = e.Servers[i].State == balancer.Ready
	}
}

func (p *Policy) send(now time.Duration, id uint32, r *request) {
	var best *Server
	if len(r.tried) > 0 || p.rng.Float64() < p.sight().room {
		best = p.choose(r)
	}
	if best == nil {
		kind := balancer.Reject
		if len(r.tried) > 0 && r.class.Idempotency == balancer.Idempotent {
			kind = balancer.Fail // an attempt of it may have run
		}
		p.finish(id, kind)
		return
	}
	r.tried = append(r.tried, best.ID)
	p.out[best.ID]++
	p.acts = append(p.acts, balancer.Action{
		Kind: balancer.Send, ID: id, Attempt: len(r.tried) - 1, Server: best.ID,
		After: r.until - now,
	})
}

func (p *Policy) finish(id uint32, kind balancer.ActionKind) {
	delete(p.requests, id)
	p.acts = append(p.acts, balancer.Action{Kind: kind, ID: id})
}

// choose draws a server where the request would likely be done in time; nil: none was found. Few full ones
// are passed over: all that comes would else meet at the few that were seen with room.
func (p *Policy) choose(r *request) *Server {
	sight, full := p.sight(), 0
	for range draws {
		s := sight.draw(p.rng)
		if s == nil || full > passedOver {
			break
		}
		if !p.ready[s.ID] || r.has(s.ID) {
			continue
		}
		held := max(s.Held, float64(p.out[s.ID])) + 1
		if time.Duration(max(held, s.Cores)*float64(p.work)/s.Speed) <= r.class.LatencyObjective/partOfAim {
			return s
		}
		full++
	}
	return nil
}

func (r *request) has(id string) bool {
	for _, t := range r.tried {
		if t == id {
			return true
		}
	}
	return false
}

func (p *Policy) ended(now time.Duration, e *balancer.AttemptDone) {
	if p.out[e.Server]--; p.out[e.Server] <= 0 {
		delete(p.out, e.Server)
	}
	r := p.requests[e.ID]
	switch {
	case r == nil:
	case e.Outcome == balancer.Served || e.RequestDone:
		delete(p.requests, e.ID)
	case !e.Outcome.Unprocessed() && r.class.Idempotency != balancer.Idempotent:
		p.finish(e.ID, balancer.Fail)
	case len(r.tried) >= min(p.set.Limits.MaxAttempts, mostTries) || now >= r.until:
		kind := balancer.Fail
		if e.Outcome.Unprocessed() && r.class.Idempotency != balancer.Idempotent {
			kind = balancer.Reject
		}
		p.finish(e.ID, kind)
	default:
		p.send(now, e.ID, r)
	}
}
