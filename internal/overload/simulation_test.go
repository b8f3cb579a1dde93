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

// fleetSimulation simulates a fleet of agents, each a controller in front of a fakeBalancer, and servers
// that divide their cores evenly among requests.
type fleetSimulation struct {
	now           time.Duration
	rng           *rand.Rand
	controllers   []*Controller
	balancers     []*fakeBalancer
	jobs          []*job
	servers       int
	deliveries    []peerDelivery
	messageLoss   float64 // fraction of the messages
	slowdown      float64 // work of a request as a multiple of the usual
	neverResponds bool    // no server responds; attempts time out after their latency objective
	rejectsAll    bool    // all servers, immediately
	connectFails  bool    // no connection can be established
	timesOut      bool    // attempts that exceed their latency objective time out
	recoversAfter time.Duration
	idleTime      time.Duration // time since the servers' mean utilization was last above 0.56
	rate          float64
	ids           uint32 // last ID of a first attempt; those of retries are odd
	retryAgents   []int  // agents that get the pending client retries

	requests, sent, served, rejected int
	done                             float64 // work, in core seconds
	sentWork                         float64
	clientsRetry                     bool // once, immediately
	utilization                      float64
	logs                             []string
	retryAfterOf                     map[uint32]string
}

const (
	cores    = 2.0 // of each server
	meanWork = 60 * time.Millisecond
)

type job struct {
	agent, server int
	id            uint32
	remaining     time.Duration
	startedAt     time.Duration
}

type peerDelivery struct {
	at       time.Duration
	from, to int
	data     []byte
}

// fakeBalancer sends requests to the servers in rotation while its agent has few requests in flight.
type fakeBalancer struct {
	inFlight, maxInFlight, sent, servers int
	sparse, saturated                    bool // saturated: SetWarmServersSaturated was called with true
	actions                              []balancer.Action
	retryPolicies                        []balancer.RetryPolicy
	exclusions                           *balancer.Exclusions
	assignment                           *balancer.RingAssignment
	stats                                []balancer.TenantStats
}

func (fake *fakeBalancer) Step(_ time.Duration, ev balancer.Event) []balancer.Action {
	fake.actions = fake.actions[:0]
	switch e := ev.(type) {
	case *balancer.Request:
		if fake.inFlight >= fake.maxInFlight {
			fake.actions = append(fake.actions, balancer.Action{Kind: balancer.Reject, ID: e.ID, After: 300 * time.Millisecond})
			break
		}
		fake.inFlight++
		fake.sent++
		fake.actions = append(fake.actions, balancer.Action{Kind: balancer.Send, ID: e.ID, Server: fmt.Sprint("s-", fake.sent%fake.servers)})
	case *balancer.AttemptDone:
		if fake.inFlight--; !e.RequestDone {
			fake.actions = append(fake.actions, balancer.Action{Kind: balancer.Reject, ID: e.ID})
		}
	}
	return fake.actions
}

func (fake *fakeBalancer) ArrivalFraction() float64        { return 0.25 }
func (fake *fakeBalancer) IsSparse() bool                  { return fake.sparse }
func (fake *fakeBalancer) SetWarmServersSaturated(on bool) { fake.saturated = fake.saturated || on }

func (fake *fakeBalancer) ApplyFleetPolicy(_ []float64, classes []balancer.RetryPolicy) {
	fake.retryPolicies = classes
}

func (fake *fakeBalancer) SetExclusions(a *balancer.Exclusions) { fake.exclusions = a }

func (fake *fakeBalancer) SetRingAssignment(p *balancer.RingAssignment) { fake.assignment = p }

func (fake *fakeBalancer) TenantStats() []balancer.TenantStats { return slices.Clone(fake.stats) }

func newFleetSimulation(agents, servers int, change func(*balancer.Settings)) *fleetSimulation {
	sim := &fleetSimulation{now: epoch, rng: rand.New(rand.NewPCG(1, 2)), servers: servers, slowdown: 1, retryAfterOf: map[uint32]string{}}
	for i := range agents {
		set := deployment(agents, i)
		if change != nil {
			change(&set)
		}
		fake := &fakeBalancer{maxInFlight: int(cores*float64(servers))*2/agents + 1, servers: servers}
		c, err := New(set, DefaultConfig(), fake, uint64(i))
		if err != nil {
			panic(err)
		}
		sim.controllers, sim.balancers = append(sim.controllers, c), append(sim.balancers, fake)
		list := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
		for s := range servers {
			list.Servers = append(list.Servers, balancer.Server{ID: fmt.Sprint("s-", s), MachineKind: "k", Weight: 1})
		}
		sim.carryOut(i, c.Step(sim.now, list))
	}
	return sim
}

func (sim *fleetSimulation) carryOut(agent int, actions []balancer.Action) {
	for _, a := range actions {
		switch a.Kind {
		case balancer.Send:
			var n int
			_, _ = fmt.Sscanf(a.Server, "s-%d", &n)
			sim.sent++
			work := time.Duration((0.5 + sim.rng.Float64()) * float64(meanWork))
			sim.sentWork += work.Seconds()
			sim.jobs = append(sim.jobs, &job{agent: agent, server: n, id: a.ID, remaining: work, startedAt: sim.now})
		case balancer.Reject:
			sim.rejected++
			if sim.clientsRetry && a.ID&1 == 0 {
				sim.retryAgents = append(sim.retryAgents, agent)
			}
		case balancer.SendToPeer:
			if sim.rng.Float64() >= sim.messageLoss {
				sim.deliveries = append(sim.deliveries, peerDelivery{sim.now + time.Duration(sim.rng.IntN(30))*time.Millisecond, agent, a.Peer, a.Data})
			}
		case balancer.Log:
			sim.logs = append(sim.logs, fmt.Sprintf("%.2f [%d] %s", (sim.now-epoch).Seconds(), agent, a.Text))
		}
	}
}

// sendRequest sends a request to an agent, and then the pending client retries. It returns the request's
// ID.
func (sim *fleetSimulation) sendRequest(agent int) uint32 {
	sim.ids += 2
	class := "consult"
	if sim.rng.Float64() < 0.28 {
		class = "rezervare"
	}
	sim.requests++
	key := fmt.Sprint("k", sim.rng.IntN(500))
	sim.carryOut(agent, sim.controllers[agent].Step(sim.now, &balancer.Request{ID: sim.ids, Class: class, ClientTimeout: time.Second, Key: key}))
	for _, at := range sim.retryAgents {
		sim.carryOut(at, sim.controllers[at].Step(sim.now, &balancer.Request{
			ID: sim.ids + 1, Class: class, ClientTimeout: time.Second, Key: key,
			ClientRetry: true,
		}))
	}
	sim.retryAgents = sim.retryAgents[:0]
	return sim.ids
}

// run simulates a time span, with sim.rate requests per second.
func (sim *fleetSimulation) run(span time.Duration) {
	for until := sim.now + span; sim.now < until; sim.now += step {
		deliveries := sim.deliveries
		sim.deliveries = nil
		for _, delivery := range deliveries {
			if delivery.at > sim.now {
				sim.deliveries = append(sim.deliveries, delivery)
				continue
			}
			sim.carryOut(delivery.to, sim.controllers[delivery.to].Step(sim.now, &balancer.PeerMessage{From: delivery.from, Data: delivery.data}))
		}
		for n := sim.rate * step.Seconds(); n > 0; n-- {
			if n >= 1 || sim.rng.Float64() < n {
				sim.sendRequest(sim.rng.IntN(len(sim.controllers)))
			}
		}
		sim.runServers()
	}
}

func (sim *fleetSimulation) runServers() {
	jobsAt := make([]float64, sim.servers)
	for _, j := range sim.jobs {
		jobsAt[j.server]++
	}
	busy := 0.0
	for _, jobs := range jobsAt {
		busy += min(jobs/cores, 1) / float64(sim.servers)
	}
	sim.utilization += 0.012 * (busy - sim.utilization)
	if sim.idleTime += step; sim.utilization > 0.56 {
		sim.idleTime = 0
	}
	if sim.slowdown > 1 && sim.recoversAfter > 0 && sim.idleTime >= sim.recoversAfter {
		sim.slowdown = 1
	}
	jobs := sim.jobs
	sim.jobs = nil
	for _, j := range jobs {
		if failed, outcome := sim.attemptFailure(j); failed {
			sim.carryOut(j.agent, sim.controllers[j.agent].Step(sim.now, &balancer.AttemptDone{
				ID: j.id, Server: fmt.Sprint("s-", j.server),
				Outcome: outcome, Latency: sim.now - j.startedAt,
			}))
			continue
		}
		if sim.neverResponds {
			sim.jobs = append(sim.jobs, j)
			continue
		}
		sim.done += step.Seconds() * min(1, cores/jobsAt[j.server]) / sim.slowdown
		if j.remaining -= time.Duration(float64(step) * min(1, cores/jobsAt[j.server]) / sim.slowdown); j.remaining > 0 {
			sim.jobs = append(sim.jobs, j)
			continue
		}
		sim.served++
		sim.carryOut(j.agent, sim.controllers[j.agent].Step(sim.now, &balancer.AttemptDone{
			ID: j.id, Server: fmt.Sprint("s-", j.server),
			Outcome: balancer.Served, Latency: sim.now + step - j.startedAt, RequestDone: true,
		}))
	}
}

// attemptFailure reports whether an attempt has failed, and with which outcome.
func (sim *fleetSimulation) attemptFailure(j *job) (bool, balancer.Outcome) {
	if sim.rejectsAll {
		return true, balancer.Rejected
	}
	if sim.connectFails {
		return true, balancer.ConnectFailed
	}
	return (sim.neverResponds || sim.timesOut) && sim.now-j.startedAt > 500*time.Millisecond, balancer.TimedOut
}
