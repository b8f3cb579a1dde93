package outlier

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// fleetSimulation simulates servers with three cores and a queue each, and one agent that sends attempts to random
// servers that are not ejected. It is for the cases in which queueing matters.
type fleetSimulation struct {
	d       *Detector
	rng     *rand.Rand
	now     time.Duration
	servers []*simulatedServer
	pending endHeap
	rate    float64                  // attempts a second
	noise   float64                  // fraction of all attempts that is reset
	ejected map[*simulatedServer]int // number of ejections
}

type simulatedServer struct {
	*Server
	free    [3]time.Duration // when each core is free
	speed   float64          // 1 is the usual speed
	fails   float64          // fraction of the attempts that ends with a server error
	silent  func(at time.Duration, class int) bool
	refuses func(at time.Duration) bool
}

type pendingEnd struct {
	at       time.Duration
	server   *simulatedServer
	attempt  Attempt
	outcome  Outcome
	evidence Evidence
}

type endHeap []pendingEnd

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endHeap) Push(x any)        { *e = append(*e, x.(pendingEnd)) }
func (e *endHeap) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func newFleetSimulation(n int, rate float64) *fleetSimulation {
	f := &fleetSimulation{d: New(attemptTimeout, 2), rng: rand.New(rand.NewPCG(3, 4)), rate: rate, ejected: map[*simulatedServer]int{}}
	for range n {
		p := &simulatedServer{Server: f.d.AddServer(), speed: 1}
		f.d.SetPlacement(p.Server, true, false)
		f.servers = append(f.servers, p)
	}
	return f
}

// send starts an attempt at a random server that is not ejected. An ejected one is accepted while verdicts are
// distrusted, and otherwise with a probability of 5%, as a probe.
func (f *fleetSimulation) send() {
	class := f.rng.IntN(4) / 3
	p := f.servers[f.rng.IntN(len(f.servers))]
	for range 50 {
		if f.d.Verdict(p.Server, class) != Ejected || f.d.DistrustReason() != "" || f.rng.Float64() < 0.05 {
			break
		}
		p = f.servers[f.rng.IntN(len(f.servers))]
	}
	end := pendingEnd{server: p, attempt: f.d.AttemptStarted(f.now, p.Server, class, attemptTimeout)}
	core := &p.free[0]
	for i := range p.free {
		if p.free[i] < *core {
			core = &p.free[i]
		}
	}
	done := max(f.now, *core) + time.Duration((0.3+0.7*f.rng.ExpFloat64())*100/p.speed*float64(ms))
	end.at, end.outcome = done, Answered
	switch {
	case p.refuses != nil && p.refuses(f.now):
		end.at, end.outcome, end.evidence = f.now+ms, ConnectFailed, Evidence{Phase: PhaseConnecting, ConnectionRefused: true}
	case p.silent != nil && (p.silent(f.now, class) || p.silent(done, class)):
		end.at, end.outcome, end.evidence = f.now+attemptTimeout, TimedOut, Evidence{Phase: PhaseAwaiting}
	case f.rng.Float64() < f.noise:
		end.at, end.outcome, end.evidence = f.now+20*ms, ConnectionLost, Evidence{Phase: PhaseAwaiting}
	case f.rng.Float64() < p.fails:
		end.at, end.outcome = f.now+3*ms, ServerError
	default:
		*core = done
		if done-f.now > attemptTimeout {
			end.at, end.outcome, end.evidence = f.now+attemptTimeout, TimedOut, Evidence{Phase: PhaseAwaiting}
		}
	}
	heap.Push(&f.pending, end)
}

// runUntil runs the simulation until a time and calls each, if it is not nil, once a second.
func (f *fleetSimulation) runUntil(deadline time.Duration, each func()) {
	for f.now < deadline {
		next := f.now + time.Duration(f.rng.ExpFloat64()/f.rate*float64(time.Second))
		for len(f.pending) > 0 && f.pending[0].at <= next {
			end := heap.Pop(&f.pending).(pendingEnd)
			f.endRound(end.at)
			if ch := f.d.AttemptEnded(end.at, end.server.Server, end.attempt, end.outcome, end.at-end.attempt.StartedAt,
				&end.evidence); ch == ServerEjected {
				f.ejected[end.server]++
			}
		}
		if f.endRound(next); int(f.now/time.Second) != int(next/time.Second) && each != nil {
			each()
		}
		f.now = next
		f.send()
	}
}

// endRound ends the round if its second is over, and reevaluates the servers.
func (f *fleetSimulation) endRound(now time.Duration) {
	if int(now/time.Second) >= f.d.round {
		f.d.EndRound()
		for _, p := range f.servers {
			if f.d.Reevaluate(now, p.Server) == ServerEjected {
				f.ejected[p]++
			}
		}
	}
}

func (f *fleetSimulation) countEjected() (n int) {
	for _, p := range f.servers {
		if p.isEjected {
			n++
		}
	}
	return n
}

// between returns a silence of all classes from one time until another.
func between(from, to time.Duration) func(time.Duration, int) bool {
	return func(at time.Duration, _ int) bool { return at >= from && at < to }
}
