package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/balancer"
)

const (
	step  = 5 * time.Millisecond
	epoch = 480_000 * time.Hour
)

func deployment(agents, self int) balancer.Settings {
	return balancer.Settings{
		Self: self, Balancers: agents, Zone: "a", Tick: step, ClientsMarkRetries: true,
		Classes: []balancer.Class{
			{Name: "consult", LatencyObjective: 500 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1},
			{Name: "rezervare", LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, Idempotency: balancer.NotIdempotent, PriorityWeight: 2},
		},
		Limits: balancer.Limits{
			MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true,
			MaxRetryAfter: 2 * time.Second,
		},
		Rules: balancer.Rules{SlowStartDuration: 9 * time.Second},
	}
}

// lab is a fleet of agents with gates before simple modules, and servers that share their cores evenly.
type fleetSimulation struct {
	now          time.Duration
	rng          *rand.Rand
	controllers  []*Controller
	balancers    []*fakeBalancer
	jobs         []*job
	servers      int
	deliveries   []peerDelivery
	lost         float64 // of the messages
	slow         float64 // times the usual work
	neverAnswers bool    // all servers: what is sent is given up after an aim
	rejectsAll   bool    // all servers, at once
	connectFails bool    // no connection comes up
	timesOut     bool    // what takes longer than an aim is given up
	healsAfter   time.Duration
	idle         time.Duration // that the servers have been less than half busy
	rate         float64
	ids          uint32 // of first tries; those of repeats are odd
	retryAgents  []int  // agents at which clients come again

	requests, sent, served, rejected int
	done                             float64 // of the work, in seconds of a core
	sentWork                         float64
	clientsRetry                     bool // clients come again once, at once
	busy                             float64
	logs                             []string
	retryAfterOf                     map[uint32]string
}

const (
	cores = 2.0 // of each server
	mean  = 60 * time.Millisecond
)

type job struct {
	agent, server int
	id            uint32
	left          time.Duration
	began         time.Duration
}

type peerDelivery struct {
	at       time.Duration
	from, to int
	data     []byte
}

// roomy stands in for the decision module: it sends to the servers in turn while its agent has few out.
type fakeBalancer struct {
	out, most, turn, servers int  // most: in flight
	sparse, full             bool // full: the gate has said so
	acts                     []balancer.Action
	agreed                   []balancer.RetryPolicy
	avoid                    *balancer.Exclusions
	placed                   *balancer.RingAssignment
	strain                   []balancer.TenantStats
}

func (m *fakeBalancer) Step(_ time.Duration, ev balancer.Event) []balancer.Action {
	m.acts = m.acts[:0]
	switch e := ev.(type) {
	case *balancer.Request:
		if m.out >= m.most {
			m.acts = append(m.acts, balancer.Action{Kind: balancer.Reject, ID: e.ID, After: 300 * time.Millisecond})
			break
		}
		m.out++
		m.turn++
		m.acts = append(m.acts, balancer.Action{Kind: balancer.Send, ID: e.ID, Server: fmt.Sprint("s-", m.turn%m.servers)})
	case *balancer.AttemptDone:
		if m.out--; !e.RequestDone {
			m.acts = append(m.acts, balancer.Action{Kind: balancer.Reject, ID: e.ID})
		}
	}
	return m.acts
}

func (m *fakeBalancer) ArrivalFraction() float64        { return 0.25 }
func (m *fakeBalancer) Sparse() bool                    { return m.sparse }
func (m *fakeBalancer) SetWarmServersSaturated(on bool) { m.full = m.full || on }

func (m *fakeBalancer) ApplyFleetPolicy(_ []float64, classes []balancer.RetryPolicy) {
	m.agreed = classes
}

func (m *fakeBalancer) SetExclusions(a *balancer.Exclusions) { m.avoid = a }

func (m *fakeBalancer) SetRingAssignment(p *balancer.RingAssignment) { m.placed = p }

func (m *fakeBalancer) TenantStats() []balancer.TenantStats { return slices.Clone(m.strain) }

func newFleetSimulation(agents, servers int, change func(*balancer.Settings)) *fleetSimulation {
	l := &fleetSimulation{now: epoch, rng: rand.New(rand.NewPCG(1, 2)), servers: servers, slow: 1, retryAfterOf: map[uint32]string{}}
	for i := range agents {
		set := deployment(agents, i)
		if change != nil {
			change(&set)
		}
		m := &fakeBalancer{most: int(cores*float64(servers))*2/agents + 1, servers: servers}
		g, err := New(set, DefaultConfig(), m, uint64(i))
		if err != nil {
			panic(err)
		}
		l.controllers, l.balancers = append(l.controllers, g), append(l.balancers, m)
		list := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
		for s := range servers {
			list.Servers = append(list.Servers, balancer.Server{ID: fmt.Sprint("s-", s), MachineKind: "k", Weight: 1})
		}
		l.carryOut(i, g.Step(l.now, list))
	}
	return l
}

func (l *fleetSimulation) carryOut(agent int, acts []balancer.Action) {
	for _, a := range acts {
		switch a.Kind {
		case balancer.Send:
			var n int
			_, _ = fmt.Sscanf(a.Server, "s-%d", &n)
			l.sent++
			work := time.Duration((0.5 + l.rng.Float64()) * float64(mean))
			l.sentWork += work.Seconds()
			l.jobs = append(l.jobs, &job{agent: agent, server: n, id: a.ID, left: work, began: l.now})
		case balancer.Reject:
			l.rejected++
			if l.clientsRetry && a.ID&1 == 0 {
				l.retryAgents = append(l.retryAgents, agent)
			}
		case balancer.SendToPeer:
			if l.rng.Float64() >= l.lost {
				l.deliveries = append(l.deliveries, peerDelivery{l.now + time.Duration(l.rng.IntN(30))*time.Millisecond, agent, a.Peer, a.Data})
			}
		case balancer.Log:
			l.logs = append(l.logs, fmt.Sprintf("%.2f [%d] %s", (l.now-epoch).Seconds(), agent, a.Text))
		}
	}
}

// ask has one request come at an agent.
func (l *fleetSimulation) sendRequest(agent int) uint32 {
	l.ids += 2
	class := "consult"
	if l.rng.Float64() < 0.28 {
		class = "rezervare"
	}
	l.requests++
	key := fmt.Sprint("k", l.rng.IntN(500))
	l.carryOut(agent, l.controllers[agent].Step(l.now, &balancer.Request{ID: l.ids, Class: class, ClientTimeout: time.Second, Key: key}))
	for _, at := range l.retryAgents {
		l.carryOut(at, l.controllers[at].Step(l.now, &balancer.Request{
			ID: l.ids + 1, Class: class, ClientTimeout: time.Second, Key: key,
			ClientRetry: true,
		}))
	}
	l.retryAgents = l.retryAgents[:0]
	return l.ids
}

// run plays on for so long, with l.rate requests a second.
func (l *fleetSimulation) run(span time.Duration) {
	for until := l.now + span; l.now < until; l.now += step {
		post := l.deliveries
		l.deliveries = nil
		for _, m := range post {
			if m.at > l.now {
				l.deliveries = append(l.deliveries, m)
				continue
			}
			l.carryOut(m.to, l.controllers[m.to].Step(l.now, &balancer.PeerMessage{From: m.from, Data: m.data}))
		}
		for n := l.rate * step.Seconds(); n > 0; n-- {
			if n >= 1 || l.rng.Float64() < n {
				l.sendRequest(l.rng.IntN(len(l.controllers)))
			}
		}
		l.work()
	}
}

func (l *fleetSimulation) work() {
	held := make([]float64, l.servers)
	for _, j := range l.jobs {
		held[j.server]++
	}
	busy := 0.0
	for _, h := range held {
		busy += min(h/cores, 1) / float64(l.servers)
	}
	l.busy += 0.012 * (busy - l.busy)
	if l.idle += step; l.busy > 0.56 {
		l.idle = 0
	}
	if l.slow > 1 && l.healsAfter > 0 && l.idle >= l.healsAfter {
		l.slow = 1
	}
	jobs := l.jobs
	l.jobs = nil
	for _, j := range jobs {
		if end, outcome := l.fails(j); end {
			l.carryOut(j.agent, l.controllers[j.agent].Step(l.now, &balancer.AttemptDone{
				ID: j.id, Server: fmt.Sprint("s-", j.server),
				Outcome: outcome, Latency: l.now - j.began,
			}))
			continue
		}
		if l.neverAnswers {
			l.jobs = append(l.jobs, j)
			continue
		}
		l.done += step.Seconds() * min(1, cores/held[j.server]) / l.slow
		if j.left -= time.Duration(float64(step) * min(1, cores/held[j.server]) / l.slow); j.left > 0 {
			l.jobs = append(l.jobs, j)
			continue
		}
		l.served++
		l.carryOut(j.agent, l.controllers[j.agent].Step(l.now, &balancer.AttemptDone{
			ID: j.id, Server: fmt.Sprint("s-", j.server),
			Outcome: balancer.Served, Latency: l.now + step - j.began, RequestDone: true,
		}))
	}
}

// fails tells whether an attempt has failed.
func (l *fleetSimulation) fails(j *job) (bool, balancer.Outcome) {
	if l.rejectsAll {
		return true, balancer.Rejected
	}
	if l.connectFails {
		return true, balancer.ConnectFailed
	}
	return (l.neverAnswers || l.timesOut) && l.now-j.began > 500*time.Millisecond, balancer.TimedOut
}
