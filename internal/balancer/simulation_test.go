package balancer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// simulation passes random but permitted events to a Balancer and checks its actions against the rules.
type simulation struct {
	t       *testing.T
	b       *Balancer
	rng     *rand.Rand
	now     time.Duration
	open    map[uint32]*openRequest
	drained map[string]bool
	log     []Action
	timers  []TimerDue
	timerAt []time.Duration
	probed  []string

	minInterval time.Duration // minimum time between the attempts of a request, without hedging; zero: none
	exclusions  *Exclusions
	assignment  *RingAssignment
	outside     int // attempts at servers outside the assignment
	excluded    int // attempts of requests that were excluded from at least one server
}

// openRequest is a request with its answers and attempts.
type openRequest struct {
	class    Class
	request  *Request
	deadline time.Duration
	answers  int // number of final answers
	attempts []sentAttempt
}

// sentAttempt is an attempt that was sent.
type sentAttempt struct {
	server      Server
	sentAt      time.Duration
	inFlight    bool // it has not ended
	unprocessed bool
}

// step passes an event to the Balancer and checks the actions it returns.
func (w *simulation) step(ev Event) {
	acts := w.b.Step(w.now, ev)
	w.log = append(w.log, acts...)
	for _, a := range acts {
		r := w.open[a.ID]
		switch a.Kind {
		case Probe:
			w.probed = append(w.probed, a.Server)
		case SetTimer:
			w.timers, w.timerAt = append(w.timers, TimerDue{a.Tag}), append(w.timerAt, w.now+max(a.After, 1))
		case Send:
			w.checkSend(r, a)
		case Reject, Fail:
			if r == nil || r.answers > 0 {
				w.t.Fatalf("request %d is unknown or gets a second answer", a.ID)
			}
			r.answers++
			for _, previous := range r.attempts {
				harmless := previous.unprocessed || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupScopeAll
				if a.Kind == Reject && !harmless {
					w.t.Fatalf("request of class %s rejected although it may have been processed", r.class.Name)
				}
			}
		}
	}
}

// checkSend checks a Send action.
func (w *simulation) checkSend(r *openRequest, a Action) {
	if r == nil || r.answers > 0 {
		w.t.Fatalf("request %d sent although it is unknown or has its answer", a.ID)
	}
	s := w.b.servers[a.Server]
	if w.drained[a.Server] {
		w.t.Fatalf("sent to %s, which is draining or gone", a.Server)
	}
	w.checkExclusions(r.request, a.Server)
	w.checkAssignment(a.Server)
	for _, previous := range r.attempts {
		if previous.inFlight && !w.b.settings.Limits.Hedging {
			w.t.Fatal("two attempts in flight without hedging")
		}
		if previous.unprocessed || r.class.Idempotency == Idempotent {
			continue
		}
		c := r.class
		if c.Idempotency == NotIdempotent || w.now-previous.sentAt > c.DedupWindow || c.DedupScope == DedupScopeZone && s.Zone != previous.server.Zone ||
			c.DedupScope == DedupScopeCell && s.Cell != previous.server.Cell {
			w.t.Fatalf("request of class %s repeated against the rules", c.Name)
		}
	}
	if w.now+a.After > r.deadline || len(r.attempts) >= w.b.settings.Limits.MaxAttempts {
		w.t.Fatalf("attempt %d exceeds the client's timeout or the maximum number of attempts", len(r.attempts))
	}
	if n := len(r.attempts); n > 0 && w.now-r.attempts[n-1].sentAt < w.minInterval {
		w.t.Fatalf("sent %v after the previous attempt, less than the minimum interval", w.now-r.attempts[n-1].sentAt)
	}
	r.attempts = append(r.attempts, sentAttempt{server: s.Server, sentAt: w.now, inFlight: true})
}

// simulateDefaults returns all actions of a simulation with the default test settings.
func simulateDefaults(t *testing.T, seed uint64) []Action {
	return simulate(t, seed, func(*Settings) {}, nil)
}

// simulate returns all actions of a simulation. Change adapts the settings, and before, unless nil, is called before each
// event except the first.
func simulate(t *testing.T, seed uint64, change func(*Settings), before func(w *simulation, n int)) []Action {
	set := testSettings()
	set.Rules.GoneUsable = seed%5 == 0
	set.DiscoveryOnDemand = seed%3 == 0
	set.Limits.Probes = seed%2 == 0
	if seed%4 == 0 {
		set.Costs.CrossZone = 1
	}
	change(&set)
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &simulation{t: t, b: b, rng: rand.New(rand.NewPCG(seed, 2)), open: map[uint32]*openRequest{}, drained: map[string]bool{}}
	w.step(&ServerListUpdate{Kind: UpdateCached, Servers: serverList(w.rng.IntN(8))})
	var ids []uint32
	for n := range 4000 {
		if before != nil {
			before(w, n)
		}
		w.now += time.Duration(w.rng.IntN(8)) * ms
		for i := 0; i < len(w.timers); i++ {
			if w.timerAt[i] <= w.now {
				due := w.timers[i]
				w.timers, w.timerAt = append(w.timers[:i:i], w.timers[i+1:]...), append(w.timerAt[:i:i], w.timerAt[i+1:]...)
				w.step(&due)
				i--
			}
		}
		switch k := w.rng.IntN(20); {
		case k < 8:
			id := uint32(len(ids) + 1)
			ids = append(ids, id)
			c := set.Classes[w.rng.IntN(len(set.Classes))]
			timeout := time.Duration(w.rng.IntN(int(c.Deadline/ms))) * ms
			w.open[id] = &openRequest{class: c, deadline: w.now + timeout}
			e := &Request{ID: id, Class: c.Name, Key: fmt.Sprint("k", w.rng.IntN(20)), ClientTimeout: timeout}
			if n := len(set.Tenants); n > 0 {
				e.Tenant = set.Tenants[int(id)%n].Name
			}
			w.open[id].request = e
			w.step(e)
		case k == 8 && w.rng.IntN(8) == 0:
			l := serverList(8)[w.rng.IntN(8):]
			for i := range l {
				l[i].State = ServerState(w.rng.IntN(3))
				l[i].StartedAt = time.Duration(w.rng.IntN(2)) * w.now
				w.drained[l[i].ID] = l[i].State == Draining || l[i].State == Gone &&
					(!set.Rules.GoneUsable || w.drained[l[i].ID])
			}
			w.step(&ServerListUpdate{Kind: UpdateIncremental, Servers: l})
		case k == 9:
			data := make([]byte, w.rng.IntN(9)) // events with random, mostly invalid contents
			for i := range data {
				data[i] = byte(w.rng.Uint32())
			}
			w.step(&PeerMessage{From: w.rng.IntN(9) - 3, Data: data})
			w.step(&AttemptDone{ID: w.rng.Uint32(), Attempt: w.rng.IntN(9) - 4, Outcome: ServerError})
			w.step(&ProbeDone{Server: fmt.Sprint("s", w.rng.IntN(12)), Outcome: Outcome(w.rng.IntN(8))})
			w.step(&TimerDue{Tag: w.rng.Uint64()})
		}
		for len(w.probed) > 0 && w.rng.IntN(3) > 0 { // probes are mostly served, else fail, sometimes late
			p := &ProbeDone{Server: w.probed[0], Outcome: Outcome(max(w.rng.IntN(16)-8, 0))}
			w.probed = w.probed[1:]
			w.step(p)
		}
		for _, id := range ids[max(0, len(ids)-200):] { // attempts end at random, or when the client's deadline is near
			r := w.open[id]
			for i := range r.attempts {
				attempt := &r.attempts[i]
				overdue := w.now+10*ms >= r.deadline
				if !attempt.inFlight || w.rng.IntN(12) > 0 && !overdue {
					continue
				}
				attempt.inFlight = false
				o := Outcome(max(w.rng.IntN(20)-12, 0)) // mostly served
				if overdue {
					o = TimedOut
				}
				attempt.unprocessed = o.Unprocessed()
				requestDone := o == Served || r.answers > 0
				if o == Served && r.answers == 0 {
					r.answers++
				}
				w.step(&AttemptDone{ID: id, Attempt: i, Server: attempt.server.ID, Outcome: o, Latency: w.now - attempt.sentAt, RequestDone: requestDone})
			}
			if r.answers == 0 && w.now > r.deadline+100*ms {
				t.Fatalf("seed %d: request %d (%s) got no answer in time", seed, id, r.class.Name)
			}
		}
	}
	return w.log
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	sends := 0
	for seed := range uint64(60) {
		for _, a := range simulateDefaults(t, seed) {
			if a.Kind == Send {
				sends++
			}
		}
	}
	if sends < 8000 {
		t.Errorf("only %d sends, too few to test the rules", sends)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	if !reflect.DeepEqual(simulateDefaults(t, 7), simulateDefaults(t, 7)) {
		t.Error("two runs with the same seed return different actions")
	}
}
