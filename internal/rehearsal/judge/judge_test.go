package judge

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

const judgedScenario = `schema = 1
name = "judged"
floor = 0.5
day = {length_s = 30, from_s = 0}
load = {per_s = 10, quota_per_s = 40}
agents = {count = 2}
fleet = {servers = 2}
clients = {}

[[kind]]
name = "rapid"
share = 1
cores = 1
speed = 1

[[class]]
name = "consult"
share = 0.5
work_ms = 100
aim_ms = 500
deadline_ms = 2000
worth = 1
effect = "safe"

[[class]]
name = "rezervare"
share = 0.5
work_ms = 100
aim_ms = 500
deadline_ms = 1000
worth = 2
effect = "unsafe"

[[tenant]]
name = "one"
share = 0.5

[[tenant]]
name = "two"
share = 0.5

[[trouble]]
kind = "slow"
at_s = 5
for_s = 10
size = 2
heals_below = 0.5
heals_rest_s = 2

[[trouble]]
kind = "discovery_down"
at_s = 1
for_s = 7
`

// A harness passes hand-written events to a Judge.
type harness struct {
	*Judge
	lastRequestID uint32
}

func newHarness(t *testing.T, change func(*scenario.Scenario)) *harness {
	sc, err := scenario.Parse("judged", []byte(judgedScenario))
	require.NoError(t, err)
	if change != nil {
		change(sc)
	}
	p := &harness{Judge: New(sc)}
	p.Begin(record.Run{
		Agents: []record.Agent{{Name: "n0"}, {Name: "n1"}}, Capacity: 2, Quotas: []float64{20, 20},
		MeanWork: []time.Duration{ms(100), ms(100)},
	})
	p.Server(0, record.Server{ID: "s0", Capacity: 1})
	p.Server(1, record.Server{ID: "s1", Capacity: 1})
	return p
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

const (
	consult   = 0
	rezervare = 1
)

// receive begins a try whose client waits one second. chain is the chain's first try; 0 begins a chain.
func (p *harness) receive(at int, class uint8, chain uint32) (req uint32) {
	return p.receiveWork(at, class, chain, ms(100))
}

func (p *harness) receiveWork(at int, class uint8, chain uint32, work time.Duration) (req uint32) {
	p.lastRequestID++
	e := record.Event{
		Kind: record.RequestReceived, At: ms(at), RequestID: p.lastRequestID, Chain: chain, Class: class, Work: work,
		Left: ms(1000),
	}
	if chain == 0 {
		e.Chain = p.lastRequestID
	} else {
		e.Try = 1
	}
	p.Observe(&e)
	return p.lastRequestID
}

func (p *harness) send(at int, req uint32, attempt int8, server int32) {
	p.Observe(&record.Event{Kind: record.AttemptSent, At: ms(at), RequestID: req, Attempt: attempt, Server: server})
	p.Observe(&record.Event{Kind: record.AttemptReached, At: ms(at), RequestID: req, Attempt: attempt, Server: server, Work: ms(100)})
}

func (p *harness) ended(at int, req uint32, attempt int8, how record.Outcome) {
	p.Observe(&record.Event{
		Kind: record.WorkDone, At: ms(at), RequestID: req, Attempt: attempt, Work: ms(100),
		Ran: !how.NeverRan(),
	})
	p.Observe(&record.Event{Kind: record.AttemptEnded, At: ms(at), RequestID: req, Attempt: attempt, Outcome: how})
}

func (p *harness) answer(at int, req uint32, how record.Answer, attempt int8) {
	p.Observe(&record.Event{Kind: record.Answered, At: ms(at), RequestID: req, Answer: how, Attempt: attempt})
}

// serve plays a try that is served by one attempt.
func (p *harness) serve(from, to int, class uint8, chain uint32) {
	req := p.receive(from, class, chain)
	p.send(from, req, 0, 0)
	p.ended(to, req, 0, record.OK)
	p.answer(to, req, record.Served, 0)
}

func (p *harness) verdict() Verdict {
	p.End(ms(40_000))
	return p.Verdict()
}

func TestServiceIsWorthServedInTimeOverWorthRequested(t *testing.T) {
	p := newHarness(t, nil)
	for at := 0; at < 20_000; at += 1000 { // in time until 20 s
		p.serve(at, at+400, consult, 0)
	}
	p.serve(20_000, 20_501, consult, 0)    // one millisecond late
	first := p.receive(21_000, consult, 0) // refused, then served by the client's retry in time from the first try on
	p.answer(21_100, first, record.Refused, -1)
	p.serve(21_200, 21_500, consult, first)
	second := p.receive(22_000, consult, 0) // the same, but too late from the first try on
	p.answer(22_100, second, record.Refused, -1)
	p.serve(22_200, 22_501, consult, second)
	p.serve(23_000, 23_100, rezervare, 0)
	lost := p.receive(24_000, rezervare, 0) // an error after the latency objective: fails late, and its work is wasted
	p.send(24_000, lost, 0, 1)
	p.ended(24_700, lost, 0, record.Error)
	p.answer(24_700, lost, record.Failed, -1)
	p.answer(24_600, p.receive(24_500, consult, 0), record.Refused, -1) // refused in time and not retried: does not fail late
	for at := 25_000; at < 30_000; at += 1000 {
		p.serve(at, at+100, consult, 0)
	}
	v := p.verdict()
	// Requested: 29 consults of worth 1 and 2 bookings of worth 2; missed: 3 consults and 1 booking. The worst
	// windows of 10 s, from 15 s or 20 s on, hold 9 consults and both bookings, and everything missed.
	whole, window := 28.0/33, 8.0/13
	require.InDelta(t, whole, v.Parts.Whole, 1e-9)
	require.InDelta(t, window, v.Parts.WorstWindow, 1e-9)
	require.Equal(t, "rezervare", v.Parts.Class)
	require.InDelta(t, 0.5, v.Parts.WorstClass, 1e-9)
	require.InDelta(t, whole, v.Parts.WorstTenant, 1e-9)
	require.InDelta(t, 0.55*whole+0.25*window+0.1*0.5+0.1*whole, v.Parts.BeforePrices, 1e-9)
	// A try was outstanding when the latency objective passed for the late consult, the late retry and the
	// booking: 4 of 33 of the worth.
	require.InDelta(t, 4.0/33, v.Prices[2].Rate, 1e-9)
	require.InDelta(t, 1.0/31, v.Prices[1].Rate, 1e-9)
	require.InDelta(t, v.Parts.BeforePrices-0.04*4/33-0.046/31, v.Service, 1e-9)
	require.Equal(t, 2, v.Counts.Retries)
	require.Equal(t, 27, v.Counts.InTime)
	require.InDelta(t, (20*400+501+500+501+5*100)/28.0, v.Classes[consult].Latency.MeanMS, 1) // from the first try on
	require.True(t, v.Passed)
	require.Empty(t, p.Judge.requests.open)
}

// Events before service counts are not counted, except answers.
func TestCountsStartWithService(t *testing.T) {
	p := newHarness(t, func(s *scenario.Scenario) { s.Run.From = time.Second })
	for at := range 2 {
		at *= 1000
		first := p.receive(at, consult, 0)
		p.answer(at+10, first, record.Refused, -1)
		p.Observe(&record.Event{Kind: record.RequestUnreached, At: ms(at + 20), RequestID: 70 + first, Chain: first, Try: 1, Work: ms(100)})
		p.serve(at+30, at+40, consult, first)
	}
	require.Equal(t, Counts{FirstTries: 1, Retries: 2, Unreached: 1, InTime: 1, Served: 2, Refused: 2, Sends: 1},
		p.verdict().Counts)
}

func TestWorthScalesWithWorkAndDropsOverQuota(t *testing.T) {
	p := newHarness(t, nil)
	heavy := record.Event{Kind: record.RequestReceived, RequestID: 1, Chain: 1, Work: ms(300), Left: ms(1000), Tenant: 1}
	p.Observe(&heavy)
	p.lastRequestID = 1
	p.answer(100, 1, record.Refused, -1)
	for range 40 { // its tenant's quota is 20 per second
		p.serve(0, 100, consult, 0)
	}
	v := p.verdict()
	require.InDelta(t, (20+20*0.05)/(20+20*0.05+3), v.Parts.Whole, 1e-9)
	require.Equal(t, "two", v.Parts.Tenant)
	require.Zero(t, v.Parts.WorstTenant)
}

// Each rule reports its first breach with the events that led to it, and allowed behavior breaks no rule.
func TestRules(t *testing.T) {
	notified := func(p *harness, at int, state record.State) {
		p.Observe(&record.Event{Kind: record.Notified, At: ms(at), Server: 0, State: state})
	}
	watch := func(p *harness, at int) { p.Observe(&record.Event{Kind: record.WatchOpened, At: ms(at)}) }
	leave := func(p *harness, at int) {
		p.Observe(&record.Event{Kind: record.ListChanged, At: ms(at), Server: 0, State: record.Draining})
	}
	silence := func(p *harness, at, maxWait int) {
		p.Observe(&record.Event{Kind: record.WatchSilent, At: ms(at), Left: ms(maxWait)})
	}
	// overload sends a server in slow start more than it can take; known: the agent knows of its start.
	overload := func(p *harness, known bool) {
		p.Observe(&record.Event{Kind: record.ServerUp, At: ms(1000), Server: 0, SlowStart: true})
		if known {
			p.Observe(&record.Event{Kind: record.Notified, At: ms(1100), Server: 0, Started: ms(1000)})
		}
		for i := range 10 {
			p.Observe(&record.Event{
				Kind: record.AttemptReached, At: ms(1200 + i), RequestID: 99, Server: 0, Work: ms(500), SlowStart: true,
				Capacity: 0.3,
			})
		}
		p.Observe(&record.Event{Kind: record.ServerOverloaded, At: ms(1300), Server: 0})
	}
	// sentAfter makes n further attempts begin the given time after their clients have left.
	sentAfter := func(p *harness, after, n int) {
		for i := range n {
			at := 1000 * i
			req := p.receive(at, consult, 0)
			p.send(at, req, 0, 0)
			p.Observe(&record.Event{Kind: record.ClientLeft, At: ms(at + 500), RequestID: req})
			p.ended(at+500, req, 0, record.Broken)
			p.send(at+500+after, req, 1, 1)
			p.ended(at+900, req, 1, record.OK)
		}
	}
	for name, test := range map[string]struct {
		rule int // -1: none
		text string
		at   int
		play func(*harness)
	}{
		"served in time": {-1, "", 0, func(p *harness) { p.serve(0, 900, rezervare, 0) }},
		"answered within the slack": {-1, "", 0, func(p *harness) {
			p.answer(1070, p.receive(0, consult, 0), record.Failed, -1)
		}},
		"answered late": {0, "n0 answered request 1 1ms too late", 1071, func(p *harness) {
			p.answer(1071, p.receive(0, consult, 0), record.Failed, -1)
		}},
		"never answered": {0, "n0 did not answer request 1 by 1.07s", 1070, func(p *harness) { p.receive(0, consult, 0) }},
		"client leaves at its deadline": {0, "n0 did not answer request 1", 1070, func(p *harness) {
			p.Observe(&record.Event{Kind: record.ClientLeft, At: ms(1070), RequestID: p.receive(0, consult, 0)})
		}},
		"client leaves early": {-1, "", 0, func(p *harness) {
			p.Observe(&record.Event{Kind: record.ClientLeft, At: ms(300), RequestID: p.receive(0, consult, 0)})
		}},
		"answered twice": {0, "n0 answered request 1, which was already closed", 200, func(p *harness) {
			req := p.receive(0, consult, 0)
			p.send(0, req, 0, 0) // still outstanding
			p.answer(100, req, record.Failed, -1)
			p.answer(200, req, record.Failed, -1)
		}},
		"answered twice, nothing outstanding": {0, "n0 answered request 1, which was already closed", 200, func(p *harness) {
			req := p.receive(0, consult, 0)
			p.answer(100, req, record.Refused, -1)
			p.Sample(&record.Sample{At: ms(150)})
			p.answer(200, req, record.Refused, -1)
		}},
		"connection lost": {0, "n0 ended the connection of request 1", 50, func(p *harness) {
			p.Observe(&record.Event{Kind: record.ConnectionLost, At: ms(50), RequestID: p.receive(0, consult, 0)})
		}},
		"connection lost with a killed agent": {-1, "", 0, func(p *harness) {
			req := p.receive(0, consult, 0)
			p.Observe(&record.Event{Kind: record.AgentDown, At: ms(40)})
			p.Observe(&record.Event{Kind: record.ConnectionLost, At: ms(50), RequestID: req})
		}},
		"served after a failed attempt": {0, "served request 1 with an answer that no upstream server produced", 50, func(p *harness) {
			req := p.receive(0, consult, 0)
			p.send(0, req, 0, 0)
			p.ended(40, req, 0, record.Error)
			p.answer(50, req, record.Served, 0)
		}},
		"served, attempt fails later": {0, "served request 1 with an answer that no upstream server produced", 60, func(p *harness) {
			req := p.receive(0, consult, 0)
			p.send(0, req, 0, 0)
			p.answer(50, req, record.Served, 0)
			p.ended(60, req, 0, record.Abandoned)
		}},
		"served by an attempt never sent": {0, "served request 1 with an answer that no upstream server produced", 50, func(p *harness) {
			req := p.receive(0, consult, 0)
			p.send(0, req, 1, 0)
			p.ended(40, req, 1, record.OK)
			p.answer(50, req, record.Served, 0)
		}},
		"answer streamed": {-1, "", 0, func(p *harness) {
			req := p.receive(0, consult, 0)
			p.send(0, req, 0, 0)
			p.answer(50, req, record.Served, 0)
			p.ended(60, req, 0, record.OK)
		}},
		"sent again, never ran": {-1, "", 0, func(p *harness) {
			req := p.receive(0, rezervare, 0)
			p.send(0, req, 0, 0)
			p.ended(10, req, 0, record.Rejected)
			p.send(20, req, 1, 1)
			p.ended(90, req, 1, record.OK)
			p.answer(90, req, record.Served, 1)
		}},
		"sent again, may have run": {1, "n0 sent request 1 again, though attempt 0 may have run", 20, func(p *harness) {
			req := p.receive(0, rezervare, 0)
			p.send(0, req, 0, 0)
			p.ended(10, req, 0, record.Broken)
			p.send(20, req, 1, 1)
			p.answer(90, req, record.Failed, -1)
		}},
		"sent after its final answer": {0, "n0 sent request 1 51ms after its final answer", 151, func(p *harness) {
			req := p.receive(0, consult, 0)
			p.send(0, req, 0, 0)
			p.ended(100, req, 0, record.OK)
			p.answer(100, req, record.Served, 0)
			p.send(151, req, 1, 1)
			p.ended(200, req, 1, record.OK)
		}},
		"sent again after everything ended": {1, "n0 sent request 1 again, though attempt 0 may have run", 600, func(p *harness) {
			req := p.receive(0, rezervare, 0)
			p.send(0, req, 0, 0)
			p.ended(10, req, 0, record.Broken)
			p.answer(20, req, record.Failed, -1)
			p.Sample(&record.Sample{At: ms(500)})
			p.send(600, req, 1, 1)
			p.ended(690, req, 1, record.Rejected)
		}},
		"sent again after the client left": {1, "n0 sent request 1 again, though attempt 0 may have run", 30, func(p *harness) {
			req := p.receive(0, rezervare, 0)
			p.Observe(&record.Event{Kind: record.ClientLeft, At: ms(5), RequestID: req})
			p.send(10, req, 0, 0) // the agent does not know yet
			p.ended(20, req, 0, record.Broken)
			p.send(30, req, 1, 1)
			p.ended(90, req, 1, record.Rejected)
		}},
		"attempt sent twice": {1, "n0 sent attempt 0 of request 1 twice", 20, func(p *harness) {
			req := p.receive(0, rezervare, 0)
			p.send(0, req, 0, 0)
			p.Observe(&record.Event{Kind: record.AttemptSent, At: ms(20), RequestID: req})
			p.ended(30, req, 0, record.OK)
			p.answer(30, req, record.Served, 0)
		}},
		"sent again, safe": {-1, "", 0, func(p *harness) {
			req := p.receive(0, consult, 0)
			p.send(0, req, 0, 0)
			p.send(20, req, 1, 1)
			p.answer(90, req, record.Refused, -1)
		}},
		"sent four times": {1, "n0 sent request 1 4 times", 3, func(p *harness) {
			req := p.receive(0, consult, 0)
			for i := range int8(4) {
				p.send(int(i), req, i, 0)
			}
			p.answer(90, req, record.Failed, -1)
		}},
		"refused while outstanding": {1, "n0 refused request 1, though attempt 0 may have run", 90, func(p *harness) {
			req := p.receive(0, rezervare, 0)
			p.send(0, req, 0, 0)
			p.answer(90, req, record.Refused, -1)
		}},
		"ran twice": {1, "request 1 ran twice, as attempts 0 and 1", 60, func(p *harness) {
			req := p.receive(0, rezervare, 0)
			p.send(0, req, 0, 0)
			p.ended(10, req, 0, record.Rejected) // as the server claimed
			p.Observe(&record.Event{Kind: record.WorkDone, At: ms(20), RequestID: req, Ran: true})
			p.send(30, req, 1, 1)
			p.ended(60, req, 1, record.OK)
			p.answer(60, req, record.Served, 1)
		}},
		"within the grace period": {-1, "", 0, func(p *harness) {
			notified(p, 0, record.Draining)
			p.serve(3050, 3100, consult, 0)
		}},
		"after the grace period": {2, "n0 sent to s0 3.051s after it was notified", 3051, func(p *harness) {
			notified(p, 0, record.Draining)
			notified(p, 2000, record.Gone) // gone after draining gives no new grace period
			p.serve(3051, 3100, consult, 0)
		}},
		"active again": {-1, "", 0, func(p *harness) {
			notified(p, 0, record.Draining)
			notified(p, 3000, record.Active)
			p.serve(4000, 4100, consult, 0)
		}},
		"counts as notified, watching": {2, "n0 sent to s0", 9051, func(p *harness) {
			watch(p, 0)
			leave(p, 0)
			p.serve(9051, 9100, consult, 0)
		}},
		"not yet notified, watching": {-1, "", 0, func(p *harness) {
			watch(p, 0)
			leave(p, 0)
			p.serve(9050, 9100, consult, 0)
		}},
		"notified recently, watching": {-1, "", 0, func(p *harness) {
			watch(p, 0)
			leave(p, 4000)
			p.serve(13_050, 13_100, consult, 0)
		}},
		"counts as notified, no request for the list": {2, "n0 sent to s0", 13_051, func(p *harness) {
			leave(p, 0)
			p.serve(13_051, 13_100, consult, 0)
		}},
		"failed call, discovery reachable": {2, "n0 sent to s0 3.051s after", 10_051, func(p *harness) {
			leave(p, 1000)
			p.Observe(&record.Event{Kind: record.CallFailed, At: ms(5000)})
			p.serve(10_050, 10_060, consult, 0)
			p.serve(10_051, 10_100, consult, 0)
		}},
		"failed call, discovery down": {2, "n0 sent to s0 3.051s after", 17_051, func(p *harness) {
			p.Observe(&record.Event{Kind: record.FaultBegan, At: ms(1000), Fault: 1})
			p.Observe(&record.Event{Kind: record.CallFailed, At: ms(1000)})
			leave(p, 2000)
			p.Observe(&record.Event{Kind: record.FaultEnded, At: ms(8000), Fault: 1})
			p.serve(17_050, 17_060, consult, 0)
			p.serve(17_051, 17_100, consult, 0)
		}},
		"two attempts begun after their clients left": {-1, "", 0, func(p *harness) { sentAfter(p, 101, 2) }},
		"three attempts begun after their clients left": {
			0, "n0 began attempt 1 of request 3 101ms after its client had left, number 3 of its kind in this run",
			2601, func(p *harness) { sentAfter(p, 101, 3) },
		},
		"attempts begun within the grace after their clients left": {-1, "", 0, func(p *harness) { sentAfter(p, 100, 9) }},
		"silent watch, then a failed call": {2, "n0 sent to s0 3.051s after", 10_051, func(p *harness) {
			watch(p, 0)
			silence(p, 1000, 0)
			leave(p, 2000)
			p.Observe(&record.Event{Kind: record.CallFailed, At: ms(4000)})
			silence(p, 4500, 0) // what the first silence hides is still missing
			p.serve(10_050, 10_060, consult, 0)
			p.serve(10_051, 10_100, consult, 0)
		}},
		"change late in a long silence": {2, "n0 sent to s0 3.051s after", 11_051, func(p *harness) {
			watch(p, 0)
			silence(p, 1000, 0)
			leave(p, 8000)
			p.serve(11_051, 11_100, consult, 0)
		}},
		"silent call that might have waited": {2, "n0 sent to s0 3.051s after", 16_051, func(p *harness) {
			silence(p, 1000, 10_000)
			leave(p, 2000)
			p.serve(16_050, 16_060, consult, 0)
			p.serve(16_051, 16_100, consult, 0)
		}},
		"silent watch, opened again": {-1, "", 0, func(p *harness) {
			watch(p, 0)
			silence(p, 1000, 0)
			leave(p, 2000)
			watch(p, 5000)
			p.serve(14_050, 14_100, consult, 0)
		}},
		"no request for the list, discovery is back": {2, "n0 sent to s0", 21_051, func(p *harness) {
			leave(p, 2000)
			p.Observe(&record.Event{Kind: record.FaultEnded, At: ms(8000), Fault: 1})
			p.serve(21_050, 21_060, consult, 0)
			p.serve(21_051, 21_100, consult, 0)
		}},
		"notified as soon as a new process starts": {2, "n0 sent to s0", 4052, func(p *harness) {
			p.Observe(&record.Event{Kind: record.AgentUp, At: ms(1001)})
			notified(p, 1001, record.Draining)
			p.serve(4052, 4100, consult, 0)
		}},
		"overloaded, start known": {
			3, "s0, started 300ms before, got 5s of work in 3s and was overloaded; 100%", 1300,
			func(p *harness) { overload(p, true) },
		},
		"overloaded, start unknown": {-1, "", 0, func(p *harness) { overload(p, false) }},
	} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, nil)
			test.play(p)
			for i, rule := range p.verdict().Rules {
				if i == 0 && name == "sent again after everything ended" { // breaks the rule on answers too
					require.Contains(t, rule.First.Text, "after its final answer")
					continue
				}
				if i != test.rule {
					require.Nil(t, rule.First, "%s: %+v", rule.Name, rule.First)
					continue
				}
				require.NotNil(t, rule.First, rule.Name)
				require.Contains(t, rule.First.Text, test.text)
				require.Equal(t, Moment(ms(test.at)), rule.First.At)
				require.NotEmpty(t, rule.First.Events)
			}
		})
	}
}

// Each of the gate's limits besides the rules is broken by one event more, later or longer than it allows.
func TestGateLimits(t *testing.T) {
	// leave makes n clients leave before their first attempt; the first of them are sent after the given time
	// all the same.
	leave := func(p *harness, n, sent, after int) {
		for i := range n {
			req := p.receive(100*i, consult, 0)
			p.Observe(&record.Event{Kind: record.ClientLeft, At: ms(100*i + 50), RequestID: req})
			if i < sent {
				p.send(100*i+50+after, req, 0, 0)
				p.ended(100*i+900, req, 0, record.OK)
			}
		}
	}
	// announce makes n of ten further attempts announce the given time more than the client has left.
	announce := func(p *harness, n, more int) {
		for i := range 10 {
			req := p.receive(100*i, consult, 0) // the client waits 1 s
			p.send(100*i, req, 0, 0)
			p.ended(100*i+10, req, 0, record.Rejected)
			left := 800
			if i < n {
				left += more
			}
			p.Observe(&record.Event{Kind: record.AttemptSent, At: ms(100*i + 200), RequestID: req, Attempt: 1, Server: 1, Left: ms(left)})
			p.ended(100*i+300, req, 1, record.OK)
			p.answer(100*i+300, req, record.Served, 1)
		}
	}
	// refuse makes an agent refuse n requests within a time; served: one request in between is served.
	refuse := func(p *harness, n, within int, served bool) {
		for i := range n {
			at := within * i / (n - 1)
			if p.answer(at, p.receive(at, consult, 0), record.Refused, -1); served && i == n/2 {
				p.serve(at, at+10, consult, 0)
			}
		}
	}
	restart := func(p *harness, at int, took ...int) {
		for _, took := range took {
			p.Observe(&record.Event{Kind: record.AgentDown, At: ms(at)})
			p.Observe(&record.Event{Kind: record.AgentStarts, At: ms(at)})
			if took > 0 {
				p.Observe(&record.Event{Kind: record.AgentUp, At: ms(at + took), After: ms(took)})
			}
		}
	}
	limitRejecting := func(s *scenario.Scenario) { s.Gate.RejectingPart = 0.1 }
	for name, test := range map[string]struct {
		broken string // empty: none
		change func(*scenario.Scenario)
		play   func(*harness)
	}{
		"one in four sent":              {"", nil, func(p *harness) { leave(p, 20, 5, 301) }},
		"over one in four sent":         {"clients that left", nil, func(p *harness) { leave(p, 19, 5, 301) }},
		"all sent, but few":             {"", nil, func(p *harness) { leave(p, 4, 4, 301) }},
		"all sent soon":                 {"", nil, func(p *harness) { leave(p, 9, 9, 300) }},
		"two in ten announce more":      {"", nil, func(p *harness) { announce(p, 2, 151) }},
		"three in ten announce more":    {"time told", nil, func(p *harness) { announce(p, 3, 151) }},
		"all announce little more":      {"", nil, func(p *harness) { announce(p, 10, 150) }},
		"all rejected":                  {"turning away", limitRejecting, func(p *harness) { refuse(p, 15, 4000, false) }},
		"all rejected, as allowed":      {"", nil, func(p *harness) { refuse(p, 15, 4000, false) }},
		"few rejected":                  {"", limitRejecting, func(p *harness) { refuse(p, 14, 4000, false) }},
		"all rejected, not long enough": {"", limitRejecting, func(p *harness) { refuse(p, 99, 3999, false) }},
		"all but one rejected":          {"", limitRejecting, func(p *harness) { refuse(p, 15, 4000, true) }},
		"restarted in time":             {"", nil, func(p *harness) { restart(p, 1000, 300, 10_000) }},
		"one in ten late":               {"", nil, func(p *harness) { restart(p, 1000, 1, 1, 1, 1, 1, 1, 1, 1, 1, 10_001) }},
		"over one in ten late":          {"restarts", nil, func(p *harness) { restart(p, 1000, 1, 1, 1, 1, 1, 1, 1, 1, 10_001) }},
		"not ready by the run's end":    {"restarts", nil, func(p *harness) { restart(p, 23_999, 0) }},
		"run ends too soon to judge":    {"", nil, func(p *harness) { restart(p, 24_000, 0) }},
		"one late near the run's end":   {"restarts", nil, func(p *harness) { restart(p, 20_001, 6001) }},
		"not ready for 30 s":            {"starts", nil, func(p *harness) { p.Observe(&record.Event{Kind: record.AgentUp, After: ms(30_001)}) }},
		"ready after 30 s":              {"", nil, func(p *harness) { p.Observe(&record.Event{Kind: record.AgentUp, After: ms(30_000)}) }},
	} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, test.change)
			p.Observe(&record.Event{Kind: record.FaultBegan, At: 0}) // a run without faults is calm
			test.play(p)
			for _, term := range p.verdict().Limits {
				if term.Name == "clients that left" || term.Name == test.broken { // the rule on answers is checked elsewhere
					require.Equal(t, term.Name == test.broken, term.Broken, "%+v", term)
				}
				require.True(t, !term.Broken || term.Name == test.broken, "%+v", term)
				require.True(t, !term.Broken || term.First != "")
			}
		})
	}
}

// In a calm run few agents may reject all requests, whatever the scenario allows.
func TestCalmRunAllowsNoRejectingAgents(t *testing.T) {
	for _, calm := range []bool{true, false} {
		p := newHarness(t, nil)
		if !calm {
			p.Observe(&record.Event{Kind: record.FaultBegan, At: 0})
		}
		for at := 0; at <= 4000; at += 200 {
			p.answer(at, p.receive(at, consult, 0), record.Refused, -1)
		}
		v := p.verdict()
		require.Equal(t, calm, v.Limits[2].Broken)
		require.Equal(t, "turning away", v.Limits[2].Name)
		require.False(t, calm && v.Passed)
	}
}

// In short runs, some requests may stay unanswered, and a server in slow start may be overloaded.
func TestShortRunAllowsUnansweredAndOverload(t *testing.T) {
	for _, left := range []int{6, 7} {
		p := newHarness(t, func(s *scenario.Scenario) { s.Gate.OneUnansweredIn, s.Gate.OverloadBreaksRule = 500, false })
		for i := range 500 {
			p.serve(i*10, i*10+5, consult, 0)
		}
		for range left {
			p.receive(6000, consult, 0)
		}
		p.Observe(&record.Event{Kind: record.ServerUp, At: ms(1000), Server: 0, SlowStart: true})
		p.Observe(&record.Event{Kind: record.Notified, At: ms(1100), Server: 0, Started: ms(1000)})
		p.Observe(&record.Event{Kind: record.AttemptReached, At: ms(1200), RequestID: 999, Server: 0, Work: ms(5000), SlowStart: true, Capacity: 0.3})
		p.Observe(&record.Event{Kind: record.ServerOverloaded, At: ms(1300), Server: 0})
		v := p.verdict()
		require.Equal(t, left > 6, v.Rules[0].First != nil)
		require.Nil(t, v.Rules[3].First)
		require.Equal(t, 1, v.SlowStarts.OverloadedNotified)
	}
}

// playSeconds plays seconds in which first tries cost first, and repeats again, as parts of the servers'
// capacity.
func (p *harness) playSeconds(from, to int, first, again, busy float64, served bool) {
	p.playSecondsWarm(from, to, first, first, again, busy, served)
}

// playSecondsWarm does the same where first tries ask for more work than reaches the servers, whose keys
// are warm.
func (p *harness) playSecondsWarm(from, to int, asked, first, again, busy float64, served bool) {
	for s := from; s < to; s++ {
		at := ms(s * 1000)
		req := p.receiveWork(s*1000, consult, 0, time.Duration(asked*2e9))
		p.Observe(&record.Event{Kind: record.AttemptReached, At: at, RequestID: req, Work: time.Duration(first * 2e9)})
		p.Observe(&record.Event{Kind: record.AttemptReached, At: at, RequestID: req, Attempt: 1, Work: time.Duration(again * 2e9)})
		p.ended(s*1000, req, 0, record.OK)
		p.ended(s*1000, req, 1, record.Abandoned)
		if served {
			p.answer(s*1000+400, req, record.Served, 0)
		} else {
			p.answer(s*1000+400, req, record.Failed, -1)
		}
		p.Sample(&record.Sample{At: at + time.Second, Servers: []record.Load{
			{Server: 0, Busy: busy, Capacity: 1},
			{Server: 1, Busy: busy, Capacity: 1},
		}})
	}
}

func TestFindingsNameSustainedSlowPeriods(t *testing.T) {
	for name, test := range map[string]struct {
		asked, first, again float64
		named               bool
	}{
		"by repeats":                 {0.45, 0.45, 0.6, true},
		"by first tries":             {0.9, 0.9, 0.3, false},
		"not at all":                 {0.3, 0.3, 0.1, false},
		"by repeats, with warm keys": {0.9, 0.45, 0.6, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, nil)
			p.playSeconds(0, 5, 0.3, 0, 0.3, true)
			p.Observe(&record.Event{Kind: record.FaultBegan, At: ms(5000)})
			p.playSecondsWarm(5, 15, test.asked, test.first, test.again, min(test.first+test.again, 1), false)
			p.Observe(&record.Event{Kind: record.FaultEnded, At: ms(15_000)})
			p.playSeconds(15, 18, 0.3, 0, 0.1, false) // the fault is over, and still nothing is served
			p.playSeconds(18, 30, 0.3, 0, 0.3, true)
			v := p.verdict()
			found := map[string]Finding{}
			for _, f := range v.Findings {
				found[f.Name] = f
			}
			if kept, is := found[KeptAlive]; test.named {
				require.True(t, is)
				require.Contains(t, kept.Text, "the agents' own further sends")
				require.InDelta(t, 5, kept.FromS, 2)
				require.EqualValues(t, 15, kept.ToS)
			} else {
				require.False(t, is)
			}
			require.EqualValues(t, 15, found[LeftIdle].FromS)
			require.EqualValues(t, 18, found[LeftIdle].ToS)
			require.Len(t, v.Faults, 1)
			require.EqualValues(t, 3, v.Faults[0].RecoveredS)
			require.InDelta(t, 0.1, v.Faults[0].IdleBusy, 1e-9)
		})
	}
}

// A client's retry may arrive while its first try is outstanding at another agent, or after its first agent
// was killed. All tries count as one request, served once by any answer in time.
func TestRetriesConcurrentWithFirstTry(t *testing.T) {
	p := newHarness(t, nil)
	first := p.receive(0, consult, 0)
	p.send(0, first, 0, 0)
	p.serve(200, 400, consult, first) // while the first try is outstanding
	p.ended(450, first, 0, record.OK)
	p.answer(450, first, record.Served, 0) // the first try is served as well
	held := p.receive(1000, consult, 0)
	p.Observe(&record.Event{Kind: record.AgentDown, At: ms(1100)})
	p.Observe(&record.Event{Kind: record.RequestUnreached, At: ms(1150), RequestID: 77, Chain: held, Try: 1, Work: ms(100)})
	p.serve(1200, 1400, consult, held)
	v := p.verdict()
	require.Equal(t, 1.0, v.Parts.Whole)
	require.Equal(t, Counts{FirstTries: 2, Retries: 3, Unreached: 1, InTime: 2, Served: 3, Unanswered: 1, Sends: 3},
		v.Counts)
	require.Equal(t, []int{0, 0, 1, 1}, v.Tries[:4])
	require.True(t, v.Passed)
	require.Empty(t, p.Judge.requests.open)
}

// Whatever events are recorded, in whatever order, the verdict's shares are between 0 and 1, it encodes as
// JSON, which has no NaN or infinity, and no state of finished requests remains.
func TestAnyEventSequenceIsJudged(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := newHarness(t, nil)
		at := 0
		for range rapid.IntRange(0, 200).Draw(r, "events") {
			at += rapid.IntRange(0, 400).Draw(r, "pause")
			p.Observe(&record.Event{
				At: ms(at), Kind: record.Kind(rapid.IntRange(0, int(record.FaultEnded)).Draw(r, "kind")),
				RequestID: uint32(rapid.IntRange(1, 9).Draw(r, "op")), Chain: uint32(rapid.IntRange(1, 9).Draw(r, "chain")),
				Server: int32(rapid.IntRange(0, 1).Draw(r, "server")), Agent: int32(rapid.IntRange(0, 1).Draw(r, "agent")),
				Try: uint8(rapid.IntRange(0, 2).Draw(r, "try")), Class: uint8(rapid.IntRange(0, 1).Draw(r, "class")),
				Attempt: int8(rapid.IntRange(-1, 4).Draw(r, "attempt")), Outcome: record.Outcome(rapid.IntRange(0, 7).Draw(r, "outcome")),
				Answer: record.Answer(rapid.IntRange(0, 2).Draw(r, "answer")), State: record.State(rapid.IntRange(0, 2).Draw(r, "state")),
				Work: ms(rapid.IntRange(0, 300).Draw(r, "work")), Left: ms(rapid.IntRange(0, 2000).Draw(r, "left")),
				Tenant:    rapid.SampledFrom([]uint8{0, 1, record.NoTenant}).Draw(r, "tenant"),
				SlowStart: rapid.Bool().Draw(r, "cold"), Ran: rapid.Bool().Draw(r, "ran"),
			})
		}
		p.Sample(&record.Sample{At: ms(at) + time.Hour, Servers: []record.Load{{Server: 0}}})
		p.End(ms(at) + time.Hour)
		v := p.Verdict()
		for _, share := range []float64{v.Service, v.Parts.Whole, v.Parts.WorstWindow, v.Parts.WorstClass, v.Parts.WorstTenant} {
			require.True(t, share >= 0 && share <= 1, "%+v", v.Parts)
		}
		text, err := json.Marshal(v)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(text, new(Verdict)), "reports are decoded for comparison")
		require.Empty(t, p.Judge.requests.open)
		require.Empty(t, p.Judge.requests.order)
		require.Empty(t, p.Judge.service.chains)
	})
}

// The fullest window of each server in slow start counts, relative to what would overload it at that time.
// An overload breaks the rule if over two thirds of the work came from agents that were notified of the
// start.
func TestSlowStartWindows(t *testing.T) {
	for name, test := range map[string]struct {
		notified int // of 9 sends, the last ones
		broken   bool
	}{"two thirds": {6, false}, "over two thirds": {7, true}} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, nil)
			limit := p.scenario.Rules.OverloadLimit(0.3, ms(100)) // 27 requests of 0.1 s, plus 2 * sqrt(27) + 2
			require.InDelta(t, 27+2*math.Sqrt(27)+2, limit.Seconds()*10, 1e-6)
			reached := func(at int, server int32, agent int32, work time.Duration) {
				p.Observe(&record.Event{
					Kind: record.AttemptReached, At: ms(at), RequestID: 99, Server: server, Agent: agent, Work: work, SlowStart: true,
					Capacity: 0.3,
				})
			}
			for server := range int32(2) {
				p.Observe(&record.Event{Kind: record.ServerUp, At: ms(1000), Server: server, SlowStart: true})
			}
			p.Observe(&record.Event{Kind: record.Notified, At: ms(1100), Agent: 1, Server: 0, Started: ms(1000)})
			reached(1200, 1, 0, limit/4)
			reached(4200, 1, 0, limit/2) // the first send has left the window by then
			for i := range 9 {
				agent := int32(0)
				if i >= 9-test.notified {
					agent = 1
				}
				reached(1200+i, 0, agent, limit/8)
			}
			p.Observe(&record.Event{Kind: record.ServerOverloaded, At: ms(1300), Server: 0})
			v := p.verdict()
			require.Equal(t, test.broken, v.Rules[3].First != nil)
			require.Equal(t, 2, v.SlowStarts.Starts)
			require.Equal(t, 1, v.SlowStarts.Overloaded)
			require.Equal(t, "s0", v.SlowStarts.Server)
			require.InDelta(t, 9.0/8, v.SlowStarts.Fullest, 1e-6)
			require.InDelta(t, float64(test.notified)/9, v.SlowStarts.FullestNotified, 1e-6)
			require.InDelta(t, 0.5, p.slowStarts.all[1].fullest, 1e-6)
		})
	}
}

// The minimum of each share depends on what the delayed-view policy serves of it.
func TestSharesAreComparedWithDelayedViewPolicy(t *testing.T) {
	p := newHarness(t, func(s *scenario.Scenario) {
		s.Run.Length = 12 * time.Minute
		s.Classes[0].Share, s.Classes[1].Share = 0.96, 0.04 // few requests, but the class is unsafe to repeat
	})
	for at := 0; at < 600_000; at += 1000 { // nothing is served from 10 minutes on
		p.serve(at, at+100, consult, 0)
	}
	p.serve(0, 100, rezervare, 0)
	p.receive(600_000, consult, 0)
	p.Observe(&record.Event{Kind: record.FaultBegan, At: ms(601_000)})
	v := p.verdict()
	delayed := Verdict{Shares: []Share{
		{Served: 0.9},
		{Served: 0.29},
		{Served: 0.8},
		{Served: 0.6},
		{Served: 0.6},
		{Served: 1},
		{Served: 0.9},
		{Served: 0.4},
	}}
	v.SetMinimums(&delayed)
	wants := []float64{0.45, 0, 0.4, 0.2, 0, 0.5, 0.45, 0.2}
	for i, s := range v.Shares {
		require.InDelta(t, wants[i], s.Minimum, 1e-9, s.Of)
		require.False(t, s.BelowMinimum())
	}
	require.True(t, v.Shares[4].Small, "the second tenant sent nothing")
	require.Equal(t, "third 3", v.Shares[7].Of)
	v.Shares[2].Served = 0.39
	require.True(t, v.Shares[2].BelowMinimum())
	v.Faults = nil // a calm run has a higher minimum
	v.SetMinimums(&delayed)
	require.InDelta(t, 0.8, v.Shares[0].Minimum, 1e-9)
	for _, short := range []bool{false, true} { // in a run of minutes the thirds have a lower minimum; in a short run only the whole has one
		p := newHarness(t, func(s *scenario.Scenario) { s.Gate.Short, s.Gate.OfDelayed = short, 0.3 })
		p.serve(0, 100, consult, 0)
		p.serve(0, 100, rezervare, 0)
		p.Observe(&record.Event{Kind: record.FaultBegan, At: ms(5000)})
		v := p.verdict()
		v.SetMinimums(&delayed)
		wants := []float64{0.27, 0, 0.4, 0.2, 0, 0.2, 0.18, 0.08}
		if short {
			wants = []float64{0.27, 0, 0, 0, 0, 0, 0, 0}
		}
		for i, s := range v.Shares {
			require.InDelta(t, wants[i], s.Minimum, 1e-9, s.Of)
		}
	}
}

// Tries closed or failed without being sent are counted and charged. If over one in 200 find their new
// connection closed without an answer, the rule on answers is broken.
func TestConnectionsClosedUnanswered(t *testing.T) {
	for _, shut := range []int{1, 2} {
		p := newHarness(t, nil)
		for i := range 200 - shut {
			p.serve(i*100, i*100+50, consult, 0)
		}
		for i := range shut {
			p.Observe(&record.Event{
				Kind: record.RequestUnreached, At: ms(19_980 + i), RequestID: 900 + uint32(i), Chain: 900 + uint32(i),
				Work: ms(100), ClosedByShutdown: true,
			})
		}
		p.answer(20_100, p.receive(20_000, consult, 0), record.Failed, -1) // never sent
		sent := p.receive(20_200, consult, 0)
		p.send(20_200, sent, 0, 0)
		p.ended(20_300, sent, 0, record.Error)
		p.answer(20_300, sent, record.Failed, -1)
		v := p.verdict()
		require.Equal(t, shut, v.Counts.ClosedUnanswered)
		require.Equal(t, 1, v.Counts.Unsent)
		require.InDelta(t, float64(shut+1)/202, v.Prices[len(v.Prices)-1].Rate, 1e-9)
		require.Equal(t, shut == 2, v.Rules[0].First != nil)
		if shut == 2 {
			require.Contains(t, v.Rules[0].First.Text, "2 of 202 requests had their new connection closed")
			require.Equal(t, Moment(ms(19_980)), v.Rules[0].First.At)
			require.NotEmpty(t, v.Rules[0].First.Events)
		}
	}
}

// A request of a window's tenants that reaches a server is a breach while the window has emptied the
// server.
func TestWindowsRule(t *testing.T) {
	for _, c := range []struct {
		name             string
		tenants          []string
		tenant           uint8
		server           int32
		emptied, returns int // before the request is sent
		breaches         int
	}{
		{"own tenant", []string{"one"}, 0, 0, 10, 90, 1},
		{"all tenants", []string{"*"}, 1, 0, 10, 90, 1},
		{"requests without tenant", []string{"-"}, record.NoTenant, 0, 10, 90, 1},
		{"another tenant", []string{"one"}, 1, 0, 10, 90, 0},
		{"another server", []string{"one"}, 0, 1, 10, 90, 0},
		{"not emptied yet", []string{"one"}, 0, 0, 60, 90, 0},
		{"returned", []string{"one"}, 0, 0, 10, 30, 0},
	} {
		p := newHarness(t, func(sc *scenario.Scenario) {
			sc.Faults[1] = scenario.FaultSpec{Kind: scenario.Window, Tenants: c.tenants}
		})
		p.Observe(&record.Event{Kind: record.RequestReceived, At: ms(5), RequestID: 1, Chain: 1, Tenant: c.tenant, Work: ms(9), Left: ms(1000)})
		windowEvent := func(kind record.Kind, at int) {
			p.Observe(&record.Event{Kind: kind, At: ms(at), Server: 0, Fault: 1})
		}
		for at := range 100 {
			switch at {
			case c.emptied:
				windowEvent(record.WindowEmptied, at)
			case c.returns:
				windowEvent(record.WindowReturning, at)
			case 50:
				p.send(at, 1, 0, c.server)
			}
		}
		rules := p.Verdict().Rules
		require.Equal(t, "windows", rules[len(rules)-1].Name)
		require.Equal(t, c.breaches, rules[len(rules)-1].Breaches, c.name)
	}
	require.Len(t, newHarness(t, nil).Verdict().Rules, 4, "a run without windows has four rules")
}
