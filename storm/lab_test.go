package storm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/decide"
)

const (
	step  = 5 * time.Millisecond
	epoch = 480_000 * time.Hour
)

func deployment(agents, self int) decide.Settings {
	return decide.Settings{
		Self: self, Balancers: agents, Zone: "a", Tick: step, ClientsMarkRetries: true,
		Classes: []decide.Class{
			{Name: "consult", LatencyObjective: 500 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1},
			{Name: "rezervare", LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, Idempotency: decide.NotIdempotent, PriorityWeight: 2},
		},
		Limits: decide.Limits{
			MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true,
			MaxRetryAfter: 2 * time.Second,
		},
		Rules: decide.Rules{SlowStartDuration: 9 * time.Second},
	}
}

// lab is a fleet of agents with gates before simple modules, and servers that share their cores evenly.
type lab struct {
	now     time.Duration
	rng     *rand.Rand
	gates   []*Gate
	modules []*roomy
	jobs    []*job
	servers int
	post    []letter
	lost    float64 // of the messages
	slow    float64 // times the usual work
	silent  bool    // all servers: what is sent is given up after an aim
	refuses bool    // all servers, at once
	down    bool    // no connection comes up
	hurried bool    // what takes longer than an aim is given up
	heals   time.Duration
	idle    time.Duration // that the servers have been less than half busy
	rate    float64
	ids     uint32 // of first tries; those of repeats are odd
	again   []int  // agents at which clients come again

	asked, sent, served, refused int
	done                         float64 // of the work, in seconds of a core
	sentWork                     float64
	repeats                      bool // clients come again once, at once
	busy                         float64
	logs                         []string
	said                         map[uint32]string
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

type letter struct {
	at       time.Duration
	from, to int
	data     []byte
}

// roomy stands in for the decision module: it sends to the servers in turn while its agent has few out.
type roomy struct {
	out, most, turn, servers int  // most: in flight
	sparse, full             bool // full: the gate has said so
	acts                     []decide.Action
	agreed                   []decide.RetryPolicy
	avoid                    *decide.Exclusions
	placed                   *decide.RingAssignment
	strain                   []decide.TenantStats
}

func (m *roomy) Step(_ time.Duration, ev decide.Event) []decide.Action {
	m.acts = m.acts[:0]
	switch e := ev.(type) {
	case *decide.Request:
		if m.out >= m.most {
			m.acts = append(m.acts, decide.Action{Kind: decide.Reject, ID: e.ID, After: 300 * time.Millisecond})
			break
		}
		m.out++
		m.turn++
		m.acts = append(m.acts, decide.Action{Kind: decide.Send, ID: e.ID, Server: fmt.Sprint("s-", m.turn%m.servers)})
	case *decide.AttemptDone:
		if m.out--; !e.RequestDone {
			m.acts = append(m.acts, decide.Action{Kind: decide.Reject, ID: e.ID})
		}
	}
	return m.acts
}

func (m *roomy) ArrivalFraction() float64        { return 0.25 }
func (m *roomy) Sparse() bool                    { return m.sparse }
func (m *roomy) SetWarmServersSaturated(on bool) { m.full = m.full || on }

func (m *roomy) ApplyFleetPolicy(_ []float64, classes []decide.RetryPolicy) { m.agreed = classes }

func (m *roomy) SetExclusions(a *decide.Exclusions) { m.avoid = a }

func (m *roomy) SetRingAssignment(p *decide.RingAssignment) { m.placed = p }

func (m *roomy) TenantStats() []decide.TenantStats { return slices.Clone(m.strain) }

func newLab(agents, servers int, change func(*decide.Settings)) *lab {
	l := &lab{now: epoch, rng: rand.New(rand.NewPCG(1, 2)), servers: servers, slow: 1, said: map[uint32]string{}}
	for i := range agents {
		set := deployment(agents, i)
		if change != nil {
			change(&set)
		}
		m := &roomy{most: int(cores*float64(servers))*2/agents + 1, servers: servers}
		g, err := New(set, DefaultFigures(), m, uint64(i))
		if err != nil {
			panic(err)
		}
		l.gates, l.modules = append(l.gates, g), append(l.modules, m)
		list := &decide.ServerListUpdate{Kind: decide.UpdateFull}
		for s := range servers {
			list.Servers = append(list.Servers, decide.Server{ID: fmt.Sprint("s-", s), MachineKind: "k", Weight: 1})
		}
		l.do(i, g.Step(l.now, list))
	}
	return l
}

func (l *lab) do(agent int, acts []decide.Action) {
	for _, a := range acts {
		switch a.Kind {
		case decide.Send:
			var n int
			_, _ = fmt.Sscanf(a.Server, "s-%d", &n)
			l.sent++
			work := time.Duration((0.5 + l.rng.Float64()) * float64(mean))
			l.sentWork += work.Seconds()
			l.jobs = append(l.jobs, &job{agent: agent, server: n, id: a.ID, left: work, began: l.now})
		case decide.Reject:
			l.refused++
			if l.repeats && a.ID&1 == 0 {
				l.again = append(l.again, agent)
			}
		case decide.SendToPeer:
			if l.rng.Float64() >= l.lost {
				l.post = append(l.post, letter{l.now + time.Duration(l.rng.IntN(30))*time.Millisecond, agent, a.Peer, a.Data})
			}
		case decide.Log:
			l.logs = append(l.logs, fmt.Sprintf("%.2f [%d] %s", (l.now-epoch).Seconds(), agent, a.Text))
		}
	}
}

// ask has one request come at an agent.
func (l *lab) ask(agent int) uint32 {
	l.ids += 2
	class := "consult"
	if l.rng.Float64() < 0.28 {
		class = "rezervare"
	}
	l.asked++
	key := fmt.Sprint("k", l.rng.IntN(500))
	l.do(agent, l.gates[agent].Step(l.now, &decide.Request{ID: l.ids, Class: class, ClientTimeout: time.Second, Key: key}))
	for _, at := range l.again {
		l.do(at, l.gates[at].Step(l.now, &decide.Request{
			ID: l.ids + 1, Class: class, ClientTimeout: time.Second, Key: key,
			ClientRetry: true,
		}))
	}
	l.again = l.again[:0]
	return l.ids
}

// run plays on for so long, with l.rate requests a second.
func (l *lab) run(span time.Duration) {
	for until := l.now + span; l.now < until; l.now += step {
		post := l.post
		l.post = nil
		for _, m := range post {
			if m.at > l.now {
				l.post = append(l.post, m)
				continue
			}
			l.do(m.to, l.gates[m.to].Step(l.now, &decide.PeerMessage{From: m.from, Data: m.data}))
		}
		for n := l.rate * step.Seconds(); n > 0; n-- {
			if n >= 1 || l.rng.Float64() < n {
				l.ask(l.rng.IntN(len(l.gates)))
			}
		}
		l.work()
	}
}

func (l *lab) work() {
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
	if l.slow > 1 && l.heals > 0 && l.idle >= l.heals {
		l.slow = 1
	}
	jobs := l.jobs
	l.jobs = nil
	for _, j := range jobs {
		if end, outcome := l.fails(j); end {
			l.do(j.agent, l.gates[j.agent].Step(l.now, &decide.AttemptDone{
				ID: j.id, Server: fmt.Sprint("s-", j.server),
				Outcome: outcome, Latency: l.now - j.began,
			}))
			continue
		}
		if l.silent {
			l.jobs = append(l.jobs, j)
			continue
		}
		l.done += step.Seconds() * min(1, cores/held[j.server]) / l.slow
		if j.left -= time.Duration(float64(step) * min(1, cores/held[j.server]) / l.slow); j.left > 0 {
			l.jobs = append(l.jobs, j)
			continue
		}
		l.served++
		l.do(j.agent, l.gates[j.agent].Step(l.now, &decide.AttemptDone{
			ID: j.id, Server: fmt.Sprint("s-", j.server),
			Outcome: decide.Served, Latency: l.now + step - j.began, RequestDone: true,
		}))
	}
}

// fails tells whether an attempt has failed.
func (l *lab) fails(j *job) (bool, decide.Outcome) {
	if l.refuses {
		return true, decide.Rejected
	}
	if l.down {
		return true, decide.ConnectFailed
	}
	return (l.silent || l.hurried) && l.now-j.began > 500*time.Millisecond, decide.TimedOut
}
