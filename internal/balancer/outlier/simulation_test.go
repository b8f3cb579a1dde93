package outlier

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// fleetSimulation is a fleet of servers with three cores each and one agent that sends to those not ejected, at random:
// evidence with queues, for the hard cases.
type fleetSimulation struct {
	d       *Detector
	rng     *rand.Rand
	now     time.Duration
	servers []*simulatedServer
	pending endHeap
	rate    float64 // attempts a second
	noise   float64
	ejected map[*simulatedServer]int // how often
}

type simulatedServer struct {
	*Server
	free    [3]time.Duration
	speed   float64
	fails   float64
	silent  func(at time.Duration, class int) bool
	refuses func(at time.Duration) bool
}

type pendingEnd struct {
	at    time.Duration
	to    *simulatedServer
	noted Attempt
	end   Outcome
	ev    Evidence
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
	f := &fleetSimulation{d: New(limit, 2), rng: rand.New(rand.NewPCG(3, 4)), rate: rate, ejected: map[*simulatedServer]int{}}
	for range n {
		p := &simulatedServer{Server: f.d.AddServer(), speed: 1}
		f.d.SetPlacement(p.Server, true, false)
		f.servers = append(f.servers, p)
	}
	return f
}

// send makes an attempt at a server that is not ejected, or now and then at any.
func (f *fleetSimulation) send() {
	class := f.rng.IntN(4) / 3
	p := f.servers[f.rng.IntN(len(f.servers))]
	for range 50 {
		if f.d.Verdict(p.Server, class) != Ejected || f.d.DistrustReason() != "" || f.rng.Float64() < 0.05 {
			break
		}
		p = f.servers[f.rng.IntN(len(f.servers))]
	}
	o := pendingEnd{to: p, noted: f.d.AttemptStarted(f.now, p.Server, class, limit)}
	core := &p.free[0]
	for i := range p.free {
		if p.free[i] < *core {
			core = &p.free[i]
		}
	}
	done := max(f.now, *core) + time.Duration((0.3+0.7*f.rng.ExpFloat64())*100/p.speed*float64(ms))
	o.at, o.end = done, Answered
	switch {
	case p.refuses != nil && p.refuses(f.now):
		o.at, o.end, o.ev = f.now+ms, NotSent, Evidence{Phase: PhaseConnecting, ConnectionRefused: true}
	case p.silent != nil && (p.silent(f.now, class) || p.silent(done, class)):
		o.at, o.end, o.ev = f.now+limit, TimedOut, Evidence{Phase: PhaseAwaiting}
	case f.rng.Float64() < f.noise:
		o.at, o.end, o.ev = f.now+20*ms, ConnectionLost, Evidence{Phase: PhaseAwaiting}
	case f.rng.Float64() < p.fails:
		o.at, o.end = f.now+3*ms, ServerError
	default:
		*core = done
		if done-f.now > limit {
			o.at, o.end, o.ev = f.now+limit, TimedOut, Evidence{Phase: PhaseAwaiting}
		}
	}
	heap.Push(&f.pending, o)
}

// until goes on until a time, and calls each before every round.
func (f *fleetSimulation) until(end time.Duration, each func()) {
	for f.now < end {
		next := f.now + time.Duration(f.rng.ExpFloat64()/f.rate*float64(time.Second))
		for len(f.pending) > 0 && f.pending[0].at <= next {
			o := heap.Pop(&f.pending).(pendingEnd)
			f.endRound(o.at)
			if ch := f.d.AttemptEnded(o.at, o.to.Server, o.noted, o.end, o.at-o.noted.StartedAt, &o.ev); ch == ServerEjected {
				f.ejected[o.to]++
			}
		}
		if f.endRound(next); int(f.now/time.Second) != int(next/time.Second) && each != nil {
			each()
		}
		f.now = next
		f.send()
	}
}

// endRound ends a round where a second is over.
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

func between(from, to time.Duration) func(time.Duration, int) bool {
	return func(at time.Duration, _ int) bool { return at >= from && at < to }
}
