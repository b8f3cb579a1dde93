package balancer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// simulation feeds random but permitted events to a Balancer and checks it against the rules.
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

	minInterval time.Duration // between the attempts of a request, without hedging; zero: none
	exclusions  *Exclusions
	assignment  *RingAssignment
	outside     int // attempts at servers outside the assignment
	excluded    int // attempts by requests that a server was excluded for
}

// openRequest is a request with what became of it.
type openRequest struct {
	class    Class
	request  *Request
	by       time.Duration
	answered int
	attempts []sentAttempt
}

// sentAttempt is an attempt that was sent.
type sentAttempt struct {
	server      Server
	sent        time.Duration
	out         bool
	unprocessed bool
}

// step handles an event and checks the actions.
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
			if r == nil || r.answered > 0 {
				w.t.Fatalf("a second answer for %d", a.ID)
			}
			r.answered++
			for _, x := range r.attempts {
				harmless := x.unprocessed || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupScopeAll
				if a.Kind == Reject && !harmless {
					w.t.Fatalf("%s rejected though it may have been processed", r.class.Name)
				}
			}
		}
	}
}

// checkSend checks a Send action.
func (w *simulation) checkSend(r *openRequest, a Action) {
	if r == nil || r.answered > 0 {
		w.t.Fatalf("sent after the answer: %d", a.ID)
	}
	s := w.b.servers[a.Server]
	if w.drained[a.Server] {
		w.t.Fatalf("sent to %s, which is draining or gone", a.Server)
	}
	w.checkExclusions(r.request, a.Server)
	w.checkAssignment(a.Server)
	for _, x := range r.attempts {
		if x.out && !w.b.settings.Limits.Hedging {
			w.t.Fatal("two attempts at once")
		}
		if x.unprocessed || r.class.Idempotency == Idempotent {
			continue
		}
		c := r.class
		if c.Idempotency == NotIdempotent || w.now-x.sent > c.DedupWindow || c.DedupScope == DedupScopeZone && s.Zone != x.server.Zone ||
			c.DedupScope == DedupScopeCell && s.Cell != x.server.Cell {
			w.t.Fatalf("%s repeated against the rules", c.Name)
		}
	}
	if w.now+a.After > r.by || len(r.attempts) >= w.b.settings.Limits.MaxAttempts {
		w.t.Fatalf("attempt %d outlasts the client's timeout or the limit", len(r.attempts))
	}
	if n := len(r.attempts); n > 0 && w.now-r.attempts[n-1].sent < w.minInterval {
		w.t.Fatalf("%v after the attempt before", w.now-r.attempts[n-1].sent)
	}
	r.attempts = append(r.attempts, sentAttempt{server: s.Server, sent: w.now, out: true})
}

// simulateDefaults simulates with the test settings.
func simulateDefaults(t *testing.T, seed uint64) []Action {
	return simulate(t, seed, func(*Settings) {}, nil)
}

// simulate returns all actions of a simulation with changed settings. It calls before, unless nil, before each event
// but the first.
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
			w.open[id] = &openRequest{class: c, by: w.now + timeout}
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
			junk := make([]byte, w.rng.IntN(9))
			for i := range junk {
				junk[i] = byte(w.rng.Uint32())
			}
			w.step(&PeerMessage{From: w.rng.IntN(9) - 3, Data: junk})
			w.step(&AttemptDone{ID: w.rng.Uint32(), Attempt: w.rng.IntN(9) - 4, Outcome: ServerError})
			w.step(&ProbeDone{Server: fmt.Sprint("s", w.rng.IntN(12)), Outcome: Outcome(w.rng.IntN(8))})
			w.step(&TimerDue{Tag: w.rng.Uint64()})
		}
		for len(w.probed) > 0 && w.rng.IntN(3) > 0 { // often served, else failed, sometimes late
			p := &ProbeDone{Server: w.probed[0], Outcome: Outcome(max(w.rng.IntN(16)-8, 0))}
			w.probed = w.probed[1:]
			w.step(p)
		}
		for _, id := range ids[max(0, len(ids)-200):] { // servers answer, or the client's time is up
			r := w.open[id]
			for i := range r.attempts {
				x := &r.attempts[i]
				overdue := w.now+10*ms >= r.by
				if !x.out || w.rng.IntN(12) > 0 && !overdue {
					continue
				}
				x.out = false
				o := Outcome(max(w.rng.IntN(20)-12, 0)) // mostly served
				if overdue {
					o = TimedOut
				}
				x.unprocessed = o.Unprocessed()
				requestDone := o == Served || r.answered > 0
				if o == Served && r.answered == 0 {
					r.answered++
				}
				w.step(&AttemptDone{ID: id, Attempt: i, Server: x.server.ID, Outcome: o, Latency: w.now - x.sent, RequestDone: requestDone})
			}
			if r.answered == 0 && w.now > r.by+100*ms {
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
		t.Errorf("only %d sends: the test does not exercise the rules", sends)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	if !reflect.DeepEqual(simulateDefaults(t, 7), simulateDefaults(t, 7)) {
		t.Error("two runs differ")
	}
}
