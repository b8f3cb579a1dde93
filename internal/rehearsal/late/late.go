// Package late is the reference policy that the shares served in a scenario run are compared with. It sees
// the true state of every upstream server with a delay, and the total work that arrived at all agents,
// which no agent can see. The policy is simple on purpose. It admits a random part of the requests, as much
// as the servers can do. It picks a server at random, weighted by capacity, and skips a server where the
// request would take more than half of its latency objective next to the requests that are already there. A
// request that may be repeated is retried on another server while there is time. The policy uses no keys,
// zones, quotas or budgets. Choosing the least loaded server instead would be worse: all agents would send
// to the same server until they see its load.
//
// The package does no I/O and reads no clock. A Policy is not safe for concurrent use.
package late

import (
	"math/rand/v2"
	"sort"
	"time"

	"dunestep/internal/balancer"
)

// Server is the true state of an upstream server.
type Server struct {
	ID       string
	Accepts  bool    // accepts requests and answers most of them
	Capacity float64 // current capacity, in seconds of standard work per second
	Speed    float64 // Capacity less what is lost to the number of requests it holds
	Held     float64 // requests executing or queued
	Cores    float64
}

// FleetView is the state of all servers at one time.
type FleetView struct {
	admitted   float64   // part of the arriving work that the servers can do
	servers    []Server  // servers that accept requests and have capacity
	cumulative []float64 // cumulative sums of the servers' capacities
	byID       map[string]int
}

// maxUtilization is the part of the servers' capacity that is handed out. The rest absorbs random
// variation.
const maxUtilization = 0.7

// NewFleetView returns the state of the given servers. asked is the work that arrived at all agents, in
// seconds of standard work per second.
func NewFleetView(all []Server, asked float64) *FleetView {
	s := &FleetView{admitted: 1, byID: make(map[string]int, len(all))}
	sum := 0.0
	for _, v := range all {
		if v.Accepts && v.Capacity > 0 {
			sum += v.Capacity
			s.byID[v.ID] = len(s.servers)
			s.servers, s.cumulative = append(s.servers, v), append(s.cumulative, sum)
		}
	}
	if asked > 0 {
		s.admitted = min(maxUtilization*sum/asked, 1)
	}
	return s
}

// draw returns a random server weighted by capacity, or nil if there is none.
func (s *FleetView) draw(rng *rand.Rand) *Server {
	if len(s.servers) == 0 {
		return nil
	}
	at := rng.Float64() * s.cumulative[len(s.cumulative)-1]
	return &s.servers[min(sort.SearchFloat64s(s.cumulative, at), len(s.servers)-1)]
}

const (
	maxDraws         = 16 // random draws to find a server that is on the agent's list and untried
	tagResubscribe   = 1
	resubscribeDelay = time.Second // minimum delay after a failed call
	// A request of mean work may take at most 1/objectiveDivisor of its latency objective.
	objectiveDivisor = 2
	maxFullSkipped   = 1 // full servers that may be skipped; a further one ends the search
	maxAttempts      = 3 // attempts per request, where the deployment allows that many
)

// Policy is one agent that decides by the delayed view. It implements the routing core's Module.
type Policy struct {
	settings    balancer.Settings
	view        func() *FleetView
	meanWork    time.Duration // of a request
	rng         *rand.Rand
	ready       map[string]bool
	outstanding map[string]int // this agent's requests at each server
	requests    map[uint32]*request
	classes     map[string]balancer.Class
	actions     []balancer.Action
	subscribed  bool
}

type request struct {
	class    balancer.Class
	deadline time.Duration
	tried    []string
	canceled bool
}

// New returns a Policy. view returns the state of the servers as it was some time ago; work is the mean
// work of a request on a standard core.
func New(settings balancer.Settings, work time.Duration, seed uint64, view func() *FleetView) *Policy {
	p := &Policy{
		settings: settings, view: view, meanWork: work, rng: rand.New(rand.NewPCG(seed, 0x6c617465)),
		ready: map[string]bool{}, outstanding: map[string]int{}, requests: map[uint32]*request{},
		classes: map[string]balancer.Class{},
	}
	for _, c := range settings.Classes {
		p.classes[c.Name] = c
	}
	return p
}

// Step processes an event and returns the resulting actions, which are valid until the next Step.
func (p *Policy) Step(now time.Duration, ev balancer.Event) []balancer.Action {
	p.actions = p.actions[:0]
	switch e := ev.(type) {
	case *balancer.Request:
		r := &request{class: p.classes[e.Class], deadline: now + e.ClientTimeout}
		p.requests[e.ID] = r
		p.send(now, e.ID, r)
	case *balancer.AttemptDone:
		p.attemptDone(now, e)
	case *balancer.ClientGone:
		if r := p.requests[e.ID]; r != nil {
			r.canceled = true
			for i := range r.tried {
				p.actions = append(p.actions, balancer.Action{Kind: balancer.Cancel, ID: e.ID, Attempt: i})
			}
			delete(p.requests, e.ID)
		}
	case *balancer.ServerListUpdate:
		p.listUpdated(e)
	case *balancer.TimerDue:
		p.actions = append(p.actions, balancer.Action{Kind: balancer.Subscribe})
	}
	return p.actions
}

func (p *Policy) listUpdated(e *balancer.ServerListUpdate) {
	if !p.subscribed {
		p.subscribed = true
		p.actions = append(p.actions, balancer.Action{Kind: balancer.Subscribe})
	}
	switch e.Kind {
	case balancer.UpdateFailed:
		wait := time.Duration(float64(resubscribeDelay) * (1 + 2*p.rng.Float64()))
		p.actions = append(p.actions, balancer.Action{Kind: balancer.SetTimer, After: wait, Tag: tagResubscribe})
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
	if len(r.tried) > 0 || p.rng.Float64() < p.view().admitted {
		best = p.choose(r)
	}
	if best == nil {
		kind := balancer.Reject
		if len(r.tried) > 0 && r.class.Idempotency == balancer.Idempotent {
			kind = balancer.Fail // an attempt may have run
		}
		p.finish(id, kind)
		return
	}
	r.tried = append(r.tried, best.ID)
	p.outstanding[best.ID]++
	p.actions = append(p.actions, balancer.Action{
		Kind: balancer.Send, ID: id, Attempt: len(r.tried) - 1, Server: best.ID,
		After: r.deadline - now,
	})
}

func (p *Policy) finish(id uint32, kind balancer.ActionKind) {
	delete(p.requests, id)
	p.actions = append(p.actions, balancer.Action{Kind: kind, ID: id})
}

// choose draws a server where the request would likely finish in time, or returns nil if none was found. It
// skips only a few full servers: otherwise all requests would go to the few servers that were seen with spare
// capacity.
func (p *Policy) choose(r *request) *Server {
	view, full := p.view(), 0
	for range maxDraws {
		s := view.draw(p.rng)
		if s == nil || full > maxFullSkipped {
			break
		}
		if !p.ready[s.ID] || r.hasTried(s.ID) {
			continue
		}
		held := max(s.Held, float64(p.outstanding[s.ID])) + 1
		if time.Duration(max(held, s.Cores)*float64(p.meanWork)/s.Speed) <=
			r.class.LatencyObjective/objectiveDivisor {
			return s
		}
		full++
	}
	return nil
}

func (r *request) hasTried(id string) bool {
	for _, t := range r.tried {
		if t == id {
			return true
		}
	}
	return false
}

func (p *Policy) attemptDone(now time.Duration, e *balancer.AttemptDone) {
	if p.outstanding[e.Server]--; p.outstanding[e.Server] <= 0 {
		delete(p.outstanding, e.Server)
	}
	r := p.requests[e.ID]
	switch {
	case r == nil:
	case e.Outcome == balancer.Served || e.RequestDone:
		delete(p.requests, e.ID)
	case !e.Outcome.Unprocessed() && r.class.Idempotency != balancer.Idempotent:
		p.finish(e.ID, balancer.Fail)
	case len(r.tried) >= min(p.settings.Limits.MaxAttempts, maxAttempts) || now >= r.deadline:
		kind := balancer.Fail
		if e.Outcome.Unprocessed() && r.class.Idempotency != balancer.Idempotent {
			kind = balancer.Reject
		}
		p.finish(e.ID, kind)
	default:
		p.send(now, e.ID, r)
	}
}
