package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	farm "github.com/dgryski/go-farm"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/ring"
	"dunestep/internal/discovery/backoff"
)

const ms = time.Millisecond

const ringVectors = "s4 s1 s2 s3 s0 s2 s3 s3 "

func settings() Settings {
	return Settings{
		Balancers: 3, Zone: "z0",
		Classes: []Class{
			{Name: "safe", LatencyObjective: 400 * ms, Deadline: time.Second, Idempotency: Idempotent, PriorityWeight: 1},
			{
				Name: "zone", LatencyObjective: 800 * ms, Deadline: 2 * time.Second, Idempotency: IdempotentWithKey, DedupScope: DedupScopeZone,
				DedupWindow: 500 * ms, PriorityWeight: 2,
			},
			{
				Name: "cell", LatencyObjective: 800 * ms, Deadline: 2 * time.Second, Idempotency: IdempotentWithKey, DedupScope: DedupScopeCell,
				DedupWindow: 500 * ms, PriorityWeight: 2,
			},
			{
				Name: "all", LatencyObjective: 800 * ms, Deadline: 2 * time.Second, Idempotency: IdempotentWithKey, DedupScope: DedupScopeAll,
				DedupWindow: 500 * ms, PriorityWeight: 2,
			},
			{Name: "unsafe", LatencyObjective: 500 * ms, Deadline: time.Second, Idempotency: NotIdempotent, PriorityWeight: 10},
		},
		Limits: Limits{
			MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true,
			MaxRetryAfter: time.Second,
		},
		Rules: Rules{
			DrainGrace: 500 * ms, SlowStartCapacity: 0.4, SlowStartDuration: 8 * time.Second, OverloadMultiple: 3,
			OverloadWindow: 2 * time.Second, MaxPollInterval: 10 * time.Second,
		},
		Costs: Costs{CrossZone: 0.01, WastedWork: 0.05}, ScoreWeights: ScoreWeights{Total: 0.7, WorstClass: 0.3}, Tick: 5 * ms,
	}
}

func list(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", i%2), Cell: i % 3, Weight: 1})
	}
	return l
}

func start(t *testing.T, set Settings, servers []Server) *Balancer {
	t.Helper()
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: servers})
	return b
}

func find(acts []Action, kind ActionKind) *Action {
	for i := range acts {
		if acts[i].Kind == kind {
			a := acts[i]
			return &a
		}
	}
	return nil
}

func mustSend(t *testing.T, acts []Action) *Action {
	t.Helper()
	a := find(acts, Send)
	if a == nil {
		t.Fatalf("no send in %+v", acts)
	}
	return a
}

// learnOf has an attempt at a server end so, with all that goes with it.
func (b *Balancer) learnOf(s *server, o Outcome) {
	noted := b.detector.AttemptStarted(b.now, s.outlier, 0, time.Second)
	b.observeAttempt(&request{class: b.classes["safe"]}, &attempt{server: s, outlier: noted},
		&AttemptDone{Outcome: o, Latency: 10 * ms})
}

// turn has a server go down or come back, and ends the round.
func (b *Balancer) turn(s *server, down bool) {
	outcome := map[bool]Outcome{true: ConnectFailed, false: Served}[down]
	for range 20 {
		if s.outlier.IsEjected() != down {
			b.learnOf(s, outcome)
		}
	}
	b.detector.EndRound()
	b.countFlap(s)
}

func TestRingFollowsFarmHash(t *testing.T) {
	b := start(t, settings(), list(4))
	if b.ring.Points() != 4*pointsPerServer {
		t.Fatalf("%d points", b.ring.Points())
	}
	for key := range 500 {
		h := farm.Fingerprint32([]byte(fmt.Sprint("key", key)))
		best, dist := "", uint32(math.MaxUint32)
		for _, s := range list(4) { // brute force: the nearest point clockwise
			for i := range pointsPerServer {
				if d := farm.Fingerprint32([]byte(fmt.Sprint(s.ID, i))) - h; d <= dist {
					best, dist = s.ID, d
				}
			}
		}
		if got := b.ring.Owner(h).ID; got != best {
			t.Fatalf("key %d: owner %s, want %s", key, got, best)
		}
	}
}

// Fixed vectors: a change of hash, points or point names would move every key of a running fleet.
func TestRingFixedVectors(t *testing.T) {
	b := start(t, settings(), list(5))
	got := ""
	for _, key := range []string{"k:1", "k:2", "lift-7", "notice-19", "", "a", "b", "c"} {
		got += b.ring.Owner(farm.Fingerprint32([]byte(key))).ID + " "
	}
	if want := ringVectors; got != want {
		t.Errorf("owners %q, want %q", got, want)
	}
}

func TestRingIsAlikeAndRemapsLittle(t *testing.T) {
	full := list(6)
	b, shuffled := start(t, settings(), full), start(t, settings(), []Server{full[3], full[0], full[5], full[1], full[4], full[2]})
	less := start(t, settings(), full[:5])
	moved := 0
	for key := range 2000 {
		h := farm.Fingerprint32([]byte(fmt.Sprint("key", key)))
		o := b.ring.Owner(h).ID
		if o != shuffled.ring.Owner(h).ID {
			t.Fatal("the ring depends on the list's order")
		}
		if l := less.ring.Owner(h).ID; l != o {
			moved++
			if o != "s5" {
				t.Fatalf("key %d moved from %s to %s though %s stayed", key, o, l, o)
			}
		}
	}
	if moved == 0 || moved > 2000/3 {
		t.Errorf("%d of 2000 keys moved", moved)
	}
	// the leaver comes back: the old owners again
	less.Step(1, &ServerListUpdate{Kind: UpdateIncremental, Servers: full[5:]})
	for key := range 200 {
		h := farm.Fingerprint32([]byte(fmt.Sprint("key", key)))
		if less.ring.Owner(h).ID != b.ring.Owner(h).ID {
			t.Fatal("join does not restore the ring")
		}
	}
}

func TestOwnerKeepsItsKeysUntilCrowded(t *testing.T) {
	b := start(t, settings(), list(4))
	first := mustSend(t, b.Step(ms, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second})).Server
	owner := b.servers[first]
	if o := b.ring.Owner(ring.Hash("k")); o != owner {
		t.Fatalf("first sent to %s, owner %s", first, o.ID)
	}
	spilled := ""
	for id := uint32(2); id < 40 && spilled == ""; id++ {
		if a := mustSend(t, b.Step(2*ms, &Request{ID: id, Class: "safe", Key: "k", ClientTimeout: time.Second})); a.Server != first {
			spilled = a.Server
		}
	}
	if spilled == "" {
		t.Fatal("an owner holding everything never passes a key on")
	}
	var order []string
	b.ring.Walk(ring.Hash("k"), func(s *server) bool { order = append(order, s.ID); return true })
	if spilled != order[1] {
		t.Errorf("spilled to %s, the next owner is %s", spilled, order[1])
	}
}

func TestKeylessTakesTheBetterOfTwo(t *testing.T) {
	b := start(t, settings(), list(2))
	b.ring.Members()[0].inFlight, b.inFlight = 1, 1
	busy := 0
	for i := range uint32(200) {
		a := mustSend(t, b.Step(ms, &Request{ID: i, Class: "safe", ClientTimeout: time.Second}))
		b.Step(ms, &AttemptDone{ID: i, Server: a.Server, Latency: ms, RequestDone: true})
		if a.Server == b.ring.Members()[0].ID {
			busy++
		}
	}
	// both choices fall on the busy one about once in four
	if busy < 20 || busy > 90 {
		t.Errorf("the busy server got %d of 200", busy)
	}
}

// The ring keeps the points of servers that left. Guards against a request without a key that looks for their
// owner when all have left: it ended the agent.
func TestKeylessWhenAllServersHaveLeft(t *testing.T) {
	b := start(t, settings(), list(3))
	b.Step(ms, &ServerListUpdate{Kind: UpdateFull})
	acts := b.Step(2*ms, &Request{ID: 1, Class: "safe", ClientTimeout: time.Second})
	require.NotNil(t, find(acts, Reject), "%+v", acts)
}

func TestSpillTable(t *testing.T) {
	for _, c := range []struct {
		name             string
		inFlight, others int
		latency          float64
		crowded          bool
	}{
		{"idle", 0, 0, 0.02, false},
		{"quick but over twice the mean", 2, 0, 0.02, false},
		{"slow and over twice the mean", 2, 0, 0.17, true},
		{"slow like all others", 2, 2, 0.12, false},
		{"past the hard time", 0, 0, 0.3, true},
		{"surge", 9, 9, 0.02, true},
	} {
		b := start(t, settings(), list(4))
		b.now = time.Minute
		for _, s := range b.ring.Members() {
			s.inFlight, s.silentSince, s.latency, s.latencyInFlight, s.latencyAt = c.others, b.now, c.latency, 9, b.now
			b.inFlight += c.others
		}
		s := b.ring.Members()[0]
		b.inFlight += c.inFlight - c.others
		s.inFlight, s.latencyInFlight = c.inFlight, float64(c.inFlight+1)
		r := &request{class: b.classes["safe"], objectiveAt: b.now + 400*ms, deadline: b.now + time.Second}
		if got := b.isSaturated(r, s, b.expectedLatency(s), b.latencyLimit(r)); got != c.crowded {
			t.Errorf("%s: crowded %v", c.name, got)
		}
	}
}

func TestPenaltyDecaysAndDamps(t *testing.T) {
	set := settings()
	set.Limits.Gossip = false
	b := start(t, set, list(5))
	s := b.ring.Members()[0]
	b.turn(s, true)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, 1}, {flapPenaltyHalfLife, 0.5}, {2 * flapPenaltyHalfLife, 0.25}} {
		if got := s.decayedPenalty(b.now + c.after); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("after %v the penalty is %v, want %v", c.after, got, c.want)
		}
	}
	b.now = time.Second
	b.turn(s, false)
	if s.dampedUntil != 0 {
		t.Error("damped after two swings")
	}
	b.turn(s, true)
	if s.dampedUntil != b.now+dampingDuration {
		t.Error("not damped after three quick swings")
	}
	if ok, _ := b.checkHealth(&request{class: b.classes["safe"]}, s); ok {
		t.Error("a damped server is trusted")
	}
	b.updateServer(&Server{ID: "new", State: Ready})
	if got := b.servers["new"].flapPenalty; math.Abs(got-b.meanPenalty()) > 1e-9 || got == 0 {
		t.Errorf("a new server starts at %v, the mean is %v", got, b.meanPenalty())
	}
}

func TestDampReq(t *testing.T) {
	for _, c := range []struct {
		name   string
		score  byte
		from   int
		late   time.Duration
		damped bool
	}{
		{"a peer agrees", 30, 1, 0, true},
		{"a peer sees no flapping", 3, 1, 0, false},
		{"an answer after the round", 30, 1, 2 * time.Second, false},
		{"a sender that cannot be", 30, 9, 0, false},
	} {
		b := start(t, settings(), list(5))
		s := b.ring.Members()[0]
		b.now, b.actions = time.Minute, nil
		for _, down := range []bool{true, false, true} {
			b.turn(s, down)
		}
		asked := 0
		for _, a := range b.actions {
			if a.Kind == SendToPeer {
				asked++
				if a.Peer == b.settings.Self {
					t.Error("asks itself")
				}
			}
		}
		if asked != gossipFanout || s.dampedUntil != 0 {
			t.Fatalf("asked %d peers, damped %v", asked, s.dampedUntil)
		}
		reply := encodeDampMessage(messageDampResponse, s, b.now)
		reply[5] = c.score
		b.Step(b.now+c.late, &PeerMessage{From: c.from, Data: reply})
		if (s.dampedUntil > 0) != c.damped {
			t.Errorf("%s: damped %v", c.name, s.dampedUntil)
		}
	}
	b := start(t, settings(), list(5))
	if a := find(b.Step(1, &PeerMessage{From: 2, Data: encodeDampMessage(messageDampRequest, b.ring.Members()[1], 0)}), SendToPeer); a == nil || a.Peer != 2 {
		t.Error("a damp-req is not answered")
	}
}

// The table of the repeat and refusal rules: what may follow when the first attempt ended so.
func TestRepeatTable(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		after   time.Duration
		again   bool // another attempt must follow
		refuse  bool // what the final answer is, if there is no other attempt
	}{
		{"safe", ServerError, 5 * ms, true, true},
		{"safe", TimedOut, 5 * ms, true, true},
		{"zone", Rejected, 5 * ms, true, true},
		{"zone", ConnectionLost, 5 * ms, true, false},
		{"zone", ServerError, 600 * ms, false, false}, // past the memory
		{"cell", ServerError, 5 * ms, true, false},
		{"cell", ServerError, 600 * ms, false, false},
		{"all", ServerError, 5 * ms, true, true},
		{"all", ServerError, 600 * ms, false, false},
		{"unsafe", ConnectFailed, 5 * ms, true, true},
		{"unsafe", Rejected, 5 * ms, true, true},
		{"unsafe", ServerError, 5 * ms, false, false},
		{"unsafe", TimedOut, 5 * ms, false, false},
		{"unsafe", ConnectionLost, 5 * ms, false, false},
	} {
		b := start(t, settings(), list(12))
		first := mustSend(t, b.Step(time.Second, &Request{ID: 1, Class: c.class, Key: "k", ClientTimeout: 2 * time.Second}))
		acts := b.Step(time.Second+c.after, &AttemptDone{ID: 1, Server: first.Server, Outcome: c.outcome, Latency: c.after})
		next := find(acts, Send)
		if (next != nil) != c.again {
			t.Errorf("%s after %d: next attempt %v", c.class, c.outcome, next)
		}
		if next == nil {
			if refused := find(acts, Reject) != nil; refused != c.refuse || refused == (find(acts, Fail) != nil) {
				t.Errorf("%s after %d: %+v", c.class, c.outcome, acts)
			}
			continue
		}
		one, two := b.servers[first.Server], b.servers[next.Server]
		if one == two {
			t.Errorf("%s: the same server again", c.class)
		}
		if !c.outcome.Unprocessed() && (c.class == "zone" && one.Zone != two.Zone || c.class == "cell" && one.Cell != two.Cell) {
			t.Errorf("%s: repeat left the group", c.class)
		}
	}
}

func TestDrainBindsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name         string
		state        ServerState
		onlyDraining bool
		drainedFirst bool
		sends        bool
	}{
		{"draining", Draining, false, false, false},
		{"gone", Gone, false, false, false},
		{"draining where gone does not bind", Draining, true, false, false},
		{"gone where gone does not bind keeps the last ring", Gone, true, false, true},
		{"gone after draining", Gone, true, true, false},
	} {
		set := settings()
		set.Rules.GoneUsable = c.onlyDraining
		b := start(t, set, list(1))
		l := list(1)
		if c.drainedFirst {
			l[0].State = Draining
			b.Step(1, &ServerListUpdate{Kind: UpdateIncremental, Servers: l})
		}
		l[0].State = c.state
		b.Step(1, &ServerListUpdate{Kind: UpdateIncremental, Servers: l})
		acts := b.Step(1, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second})
		if (find(acts, Send) != nil) != c.sends {
			t.Errorf("%s: %+v", c.name, acts)
		}
		if !c.sends && find(acts, Reject) == nil {
			t.Errorf("%s: no answer", c.name)
		}
	}
}

func TestFullListDropsTheUnlisted(t *testing.T) {
	b := start(t, settings(), list(4))
	b.Step(1, &ServerListUpdate{Kind: UpdateFull, Servers: list(2)})
	if len(b.ring.Members()) != 2 || b.isListed(b.servers["s3"]) {
		t.Error("a server left out of a full list is still used")
	}
	b.Step(2, &ServerListUpdate{Kind: UpdateFailed})
	if len(b.ring.Members()) != 2 {
		t.Error("a failed call changed the list")
	}
}

// A cold server gets no more than this balancer's part, and the rest spills on instead of being refused.
func TestColdBudget(t *testing.T) {
	b := start(t, settings(), list(4))
	now := time.Minute
	cold := list(1)
	cold[0].StartedAt = now
	send := func(id uint32) string {
		a := find(b.Step(now, &Request{ID: id, Class: "safe", Key: fmt.Sprint("k", id%97), ClientTimeout: time.Second}), Send)
		if a == nil {
			return ""
		}
		b.Step(now+20*ms, &AttemptDone{ID: id, Server: a.Server, Latency: 20 * ms, RequestDone: true})
		return a.Server
	}
	count := func(from uint32) (cold, all int) {
		for i := range uint32(600) {
			if i%200 == 199 {
				b.Step(now, &TimerDue{Tag: timerRound})
			}
			now += 5 * ms
			switch send(from + i) {
			case "":
			case "s0":
				cold++
				fallthrough
			default:
				all++
			}
		}
		return cold, all
	}
	warm, all := count(1)
	if warm < 60 || all < 590 {
		t.Fatalf("warm server got %d of %d", warm, all)
	}
	cold[0].StartedAt = now
	b.Step(now, &ServerListUpdate{Kind: UpdateIncremental, Servers: cold})
	got, all := count(1000)
	rate := float64(all) / 3 / 4 // sends a second to each server
	// warmth rises to 0.625 by the end of the 3 s; the rule allows OverloadMultiple times the capacity
	if limit := 3*0.4*rate*3 + 1; float64(got) > limit {
		t.Errorf("cold server got %d, the rule allows about %.0f", got, limit)
	}
	if got == 0 || all < 590 {
		t.Errorf("cold server got %d; %d of 600 sent", got, all)
	}
}

func TestLateRepeatIsGivenUpAtOnce(t *testing.T) {
	b := start(t, settings(), list(4))
	b.Step(1, &Request{ID: 1, Class: "safe", Key: "a", ClientTimeout: time.Second})
	acts := b.Step(2, &Request{ID: 2, Class: "safe", Key: "b", ClientTimeout: 500 * ms}) // 0.5 s old, the aim is 0.4
	if find(acts, Reject) == nil || find(acts, Send) != nil {
		t.Errorf("%+v", acts)
	}
}

// Guards against first tries refused as late repeats, where the mark tells that they are none.
// A client that gives less time than the aim has its answer when the last attempt that its time allows is over: it is
// not held for one that could only be made when it has left.
func TestHurriedClientIsAnsweredInItsTime(t *testing.T) {
	for _, left := range []time.Duration{30 * ms, 4 * ms} { // of the client's time, when the second attempt ends
		b := start(t, settings(), list(6))
		mustSend(t, b.Step(time.Second, &Request{ID: 1, Class: "all", Key: "k", ClientTimeout: 250 * ms}))
		b.meanLatency = 0.001
		again := b.Step(time.Second+100*ms, &AttemptDone{ID: 1, Server: "s0", Outcome: ConnectFailed, Latency: 100 * ms})
		mustSend(t, again)
		b.retryTokens = 5
		acts := b.Step(time.Second+250*ms-left, &AttemptDone{ID: 1, Attempt: 1, Outcome: ConnectFailed, Latency: 100 * ms})
		require.NotNil(t, find(acts, Reject), "%+v", acts)
	}
}

func TestOnlyMarkedRepeatsAreOldWhereMarksAreGiven(t *testing.T) {
	set := settings()
	set.ClientsMarkRetries = true
	b := start(t, set, list(4))
	b.Step(1, &Request{ID: 1, Class: "safe", Key: "a", ClientTimeout: time.Second})
	mustSend(t, b.Step(2, &Request{ID: 2, Class: "safe", Key: "b", ClientTimeout: 500 * ms}))
	acts := b.Step(3, &Request{ID: 3, Class: "safe", Key: "c", ClientTimeout: 500 * ms, ClientRetry: true})
	if find(acts, Reject) == nil {
		t.Errorf("a marked repeat that is too old: %+v", acts)
	}
}

func TestSilentServerIsLeftBeforeTheRoundEnds(t *testing.T) {
	b := start(t, settings(), list(4))
	now := time.Second
	a := mustSend(t, b.Step(now, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second}))
	now += 210 * ms // silence past half of the aim
	if next := mustSend(t, b.Step(now, &Request{ID: 2, Class: "safe", Key: "k", ClientTimeout: time.Second})); next.Server == a.Server {
		t.Error("a silent owner still gets requests")
	}
}

func TestDownAfterFailuresAndBackByTrial(t *testing.T) {
	b := start(t, settings(), list(6))
	s := b.ring.Owner(ring.Hash("k"))
	now := time.Second
	for id := uint32(1); !s.outlier.IsEjected(); id++ {
		if id > 10 {
			t.Fatal("never taken down")
		}
		now += ms
		a := mustSend(t, b.Step(now, &Request{ID: id, Class: "unsafe", Key: "k", ClientTimeout: time.Second}))
		if a.Server == s.ID {
			b.Step(now, &AttemptDone{ID: id, Server: a.Server, Outcome: ConnectFailed})
		}
	}
	if a := mustSend(t, b.Step(now, &Request{ID: 90, Class: "safe", Key: "k", ClientTimeout: time.Second})); a.Server == s.ID {
		t.Fatal("a down server gets an ordinary request")
	}
	b.sendRate = 10
	s.slowStart.Start(b.now, 1)
	trial := mustSend(t, b.Step(now, &Request{ID: 91, Class: "safe", Key: "k", ClientTimeout: time.Second}))
	if trial.Server != s.ID {
		t.Fatalf("no trial; sent to %s", trial.Server)
	}
	if a := mustSend(t, b.Step(now, &Request{ID: 92, Class: "safe", Key: "k", ClientTimeout: time.Second})); a.Server == s.ID {
		t.Error("two trials from one part of the budget")
	}
	b.Step(now+10*ms, &AttemptDone{ID: 91, Server: s.ID, Outcome: Served, Latency: 10 * ms, RequestDone: true})
	assert.True(t, s.outlier.IsEjected(), "two swings in a round")
	b.Step(now+20*ms, &TimerDue{Tag: timerRound})
	assert.False(t, s.outlier.IsEjected())
	assert.Less(t, b.warmth(s), 1.0)
}

// Where most are silent the fault is likelier near this balancer. Servers that refuse have said so themselves.
func TestDoubtWhenMostLookBad(t *testing.T) {
	for outcome, from := range map[Outcome]int{TimedOut: 3, ConnectFailed: 4} {
		b := start(t, settings(), list(4))
		for i, s := range b.ring.Members() {
			for range 5 {
				b.learnOf(s, outcome)
			}
			require.True(t, s.outlier.IsEjected())
			ok, _ := b.checkHealth(&request{class: b.classes["unsafe"]}, s)
			assert.Equal(t, i+1 >= from, ok, "outcome %d, %d of 4 down", outcome, i+1)
		}
	}
}

// A trial of a down server is a second copy of a safe request, where the rules allow one: it never holds the
// request up. Guards against trials that cost a client its answer, and so against making few of them.
func TestTrialsAreSecondCopies(t *testing.T) {
	set := settings()
	set.Limits.Hedging = true
	b := start(t, set, list(6))
	s := b.ring.Owner(ring.Hash("k"))
	b.turn(s, true)
	b.sendRate = 10
	s.slowStart.Start(b.now, 1)
	acts := b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second})
	var sent []string
	for _, a := range acts {
		if a.Kind == Send {
			sent = append(sent, a.Server)
		}
	}
	require.Len(t, sent, 2)
	assert.NotEqual(t, s.ID, sent[0])
	assert.Equal(t, s.ID, sent[1])
	next := b.Step(time.Second+ms, &AttemptDone{ID: 1, Server: sent[0], Outcome: ServerError, Latency: ms})
	assert.NotNil(t, find(next, Send), "the trial that is still out holds the next attempt up")
}

// A repeat of a step that never ran is not refused for want of the budget that guards against storms, unless the
// server that it would go to is in trouble.
func TestRepeatsOfWhatNeverRan(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		spares  float64
		again   bool
	}{{Rejected, 1, true}, {Rejected, -2, false}, {ServerError, 1, false}} {
		b := start(t, settings(), list(6))
		a := mustSend(t, b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second}))
		b.retryTokens, b.unprocessedRetryTokens = 0, c.spares
		acts := b.Step(time.Second+5*ms, &AttemptDone{ID: 1, Server: a.Server, Outcome: c.outcome, Latency: 5 * ms})
		assert.Equal(t, c.again, find(acts, Send) != nil, "outcome %d, %.0f to spare", c.outcome, c.spares)
		assert.Equal(t, !c.again, find(acts, Reject) != nil)
	}
}

// A server that turns away more than is usual is not asked first, until trials are served. Guards against the
// owners of half the keys being asked first, over and over, while others are free.
func TestServerThatTurnsAwayIsPassedOver(t *testing.T) {
	b := start(t, settings(), list(6))
	s := b.ring.Owner(ring.Hash("k"))
	b.now = time.Second
	for range 3 {
		b.learnOf(s, Rejected)
	}
	ask := func(id uint32) string {
		return mustSend(t, b.Step(b.now, &Request{ID: id, Class: "safe", Key: "k", ClientTimeout: time.Second})).Server
	}
	assert.NotEqual(t, s.ID, ask(1))
	b.now += 500 * ms
	assert.Equal(t, s.ID, ask(2), "the trial")
	assert.NotEqual(t, s.ID, ask(3))
	for range 8 {
		b.learnOf(s, Served)
	}
	assert.Equal(t, s.ID, ask(4))
}

// Until something is known of a new server it is taken for a usual one under load. Guards against taking it for
// the quickest, so that it gets at once all that the others have no room for.
func TestNewServerIsTakenForAUsualOne(t *testing.T) {
	b := start(t, settings(), list(4))
	b.now, b.meanLatency, b.baseline.seconds, b.typicalInFlight = time.Second, 0.1, 0.03, 2
	s := b.ring.Members()[0]
	s.silentSince = b.now
	assert.Less(t, b.expectedLatency(s), 0.1)
	s.inFlight = 12
	assert.Greater(t, b.expectedLatency(s), 0.3)
	s.inFlight, b.meanLatency = 0, 0.4
	assert.Less(t, b.expectedLatency(s), 0.1, "where all are slow a new one is never tried")
}

// A key that fails on healthy servers is blamed; one whose servers are all silent is not.
func TestPoisonousKey(t *testing.T) {
	for i, healthy := range []bool{true, false, false} {
		b := start(t, settings(), list(8))
		b.failureFraction = float64(i/2) * 0.05 // the last time the servers answer, but many attempts fail
		now := time.Minute
		for _, s := range b.ring.Members() {
			if healthy || i == 2 {
				s.lastServedAt = now
			}
		}
		b.Step(now, &Request{ID: 1, Class: "safe", Key: "bad", ClientTimeout: time.Second})
		id, refused := uint32(1), false
		for range 12 {
			r := b.requests[id]
			if r == nil {
				id++
				acts := b.Step(now, &Request{ID: id, Class: "safe", Key: "bad", ClientTimeout: time.Second})
				if find(acts, Send) == nil {
					refused = find(acts, Reject) != nil
					break
				}
				r = b.requests[id]
			}
			now += 100 * ms
			if n := len(r.attempts) - 1; !r.attempts[n].done {
				b.Step(now, &AttemptDone{ID: id, Attempt: n, Server: r.attempts[n].server.ID, Outcome: ConnectionLost})
			} else {
				b.Step(now, &TimerDue{Tag: uint64(id)<<2 | timerRetry})
			}
		}
		if blamed := b.blamedKeys[farm.Fingerprint32([]byte("bad"))] != nil; blamed != healthy || healthy && !refused {
			t.Errorf("healthy servers %v: blamed %v, refused %v", healthy, blamed, refused)
		}
	}
}

func TestOverQuotaWaitsLess(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 30}, {Name: "b", QuotaPerSecond: 3}}
	b := start(t, set, list(3))
	low := 0
	for i := range uint32(400) {
		if i%20 == 0 {
			b.Step(time.Duration(i)*ms*50, &TimerDue{Tag: timerRound})
		}
		if b.quotas.IsOverQuota(b.now, "b") {
			low++
		}
	}
	if low < 200 || low == 400 { // three balancers with 20 a second each against a quota of 3
		t.Errorf("%d of 400 marked beyond the quota", low)
	}
	in, out := &request{class: b.classes["safe"], objectiveAt: b.now + 400*ms, deadline: b.now + time.Second}, &request{}
	*out = *in
	out.overQuota = true
	if b.latencyLimit(out) >= b.latencyLimit(in) {
		t.Error("traffic beyond a quota waits as long as the rest")
	}
	// each one told moves halfway to its peer's mean
	b.quotas.Restore(0, 0, 10)
	b.Step(time.Minute, &PeerMessage{From: 1, Data: encodeRateMessage(30)})
	if _, mean := b.quotas.Rates(); mean != 20 {
		t.Errorf("mean %v", mean)
	}
}

func TestNoClassWaitsLongerThanTheMostValued(t *testing.T) {
	b := start(t, settings(), list(3))
	for name, c := range b.classes {
		if c.latencyLimit > b.classes["unsafe"].latencyLimit {
			t.Errorf("%s accepts %v s, the most valued %v", name, c.latencyLimit, b.classes["unsafe"].latencyLimit)
		}
	}
}

func TestDiscoveryOnRequest(t *testing.T) {
	set := settings()
	set.DiscoveryOnDemand = true
	b, _ := New(set, 1)
	if find(b.Step(0, &ServerListUpdate{Kind: UpdateCached}), Subscribe) == nil {
		t.Fatal("no subscription at the start")
	}
	asked, waits := time.Duration(0), [6]time.Duration{}
	for i := range waits { // the first call comes again soon, a service in trouble is spared
		set := find(b.Step(asked+ms, &ServerListUpdate{Kind: UpdateFailed}), SetTimer)
		require.NotNil(t, set)
		assert.Nil(t, find(b.Step(asked+ms, &ServerListUpdate{Kind: UpdateFailed}), SetTimer), "one call follows two ends")
		waits[i] = set.After
		asked += ms + set.After
		require.NotNil(t, find(b.Step(asked, &TimerDue{Tag: set.Tag}), Subscribe))
	}
	assert.Less(t, waits[0], 350*ms)
	assert.Greater(t, waits[5], 750*ms)
	assert.Less(t, waits[5], set.Rules.MaxPollInterval/4)
	quarter := set.Rules.MaxPollInterval / 4
	if find(b.Step(asked+quarter-ms, &TimerDue{Tag: timerRound}), Subscribe) != nil {
		t.Error("asks again while a call is out")
	}
	if find(b.Step(asked+quarter, &TimerDue{Tag: timerRound}), Subscribe) == nil {
		t.Error("a call that is never answered ends the asking")
	}
	b.Step(asked+quarter+ms, &ServerListUpdate{Kind: UpdateIncremental})
	if find(b.Step(time.Minute, &TimerDue{Tag: timerRound}), Subscribe) != nil {
		t.Error("asks again though subscribed")
	}
}

// Guards against a watch that is given up for another call: it was taken up meanwhile, as at another address after
// SIGHUP, and the call in its place may be refused.
func TestDiscoveryHeardMeanwhile(t *testing.T) {
	set := settings()
	set.DiscoveryOnDemand = true
	b, _ := New(set, 1)
	b.Step(0, &ServerListUpdate{Kind: UpdateCached})
	for i, heard := range []bool{true, false} {
		lost := time.Duration(i+1) * time.Minute
		again := find(b.Step(lost, &ServerListUpdate{Kind: UpdateFailed, Watch: WatchStatus{End: backoff.WatchLost}}), SetTimer)
		require.NotNil(t, again)
		b.Step(lost+ms, &ServerListUpdate{Kind: UpdateIncremental, Watch: WatchStatus{Opened: true}})
		b.Step(lost+2*ms, &ServerListUpdate{Kind: UpdateIncremental, Watch: WatchStatus{Local: !heard}})
		asks := find(b.Step(lost+again.After, &TimerDue{Tag: again.Tag}), Subscribe) != nil
		require.Equal(t, !heard, asks)
	}
}

func TestBadSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":  func(s *Settings) { s.Classes = nil },
		"no tick":     func(s *Settings) { s.Tick = 0 },
		"no deadline": func(s *Settings) { s.Classes[0].Deadline = 0 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1); err == nil {
			t.Error(name, "accepted")
		}
	}
}

// world feeds random but legal events and holds the balancer to the rules.
type world struct {
	t       *testing.T
	b       *Balancer
	rng     *rand.Rand
	now     time.Duration
	open    map[uint32]*ask
	drained map[string]bool
	log     []Action
	timers  []TimerDue
	timerAt []time.Duration
	probed  []string
	pace    time.Duration // agreed on for all classes, without second copies
	avoid   *Exclusions
	placed  *RingAssignment
	outside int // attempts at servers that no generation names
	kept    int // attempts by requests that had something to keep off
}

type ask struct {
	class    Class
	request  *Request
	by       time.Duration
	answered int
	attempts []try
}

type try struct {
	server Server
	sent   time.Duration
	out    bool
	never  bool
}

func (w *world) step(ev Event) {
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
			w.onSend(r, a)
		case Reject, Fail:
			if r == nil || r.answered > 0 {
				w.t.Fatalf("a second answer for %d", a.ID)
			}
			r.answered++
			for _, x := range r.attempts {
				harmless := x.never || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupScopeAll
				if a.Kind == Reject && !harmless {
					w.t.Fatalf("%s refused though it may have run", r.class.Name)
				}
			}
		}
	}
}

func (w *world) onSend(r *ask, a Action) {
	if r == nil || r.answered > 0 {
		w.t.Fatalf("sent after the answer: %d", a.ID)
	}
	s := w.b.servers[a.Server]
	if w.drained[a.Server] {
		w.t.Fatalf("sent to %s, which drains or is gone", a.Server)
	}
	w.judgeAvoid(r.request, a.Server)
	w.judgePlace(a.Server)
	for _, x := range r.attempts {
		if x.out && !w.b.settings.Limits.Hedging {
			w.t.Fatal("two attempts at once")
		}
		if x.never || r.class.Idempotency == Idempotent {
			continue
		}
		c := r.class
		if c.Idempotency == NotIdempotent || w.now-x.sent > c.DedupWindow || c.DedupScope == DedupScopeZone && s.Zone != x.server.Zone ||
			c.DedupScope == DedupScopeCell && s.Cell != x.server.Cell {
			w.t.Fatalf("%s repeated unlawfully", c.Name)
		}
	}
	if w.now+a.After > r.by || len(r.attempts) >= w.b.settings.Limits.MaxAttempts {
		w.t.Fatalf("attempt %d outlasts the client's budget or the cap", len(r.attempts))
	}
	if n := len(r.attempts); n > 0 && w.now-r.attempts[n-1].sent < w.pace {
		w.t.Fatalf("%v after the attempt before", w.now-r.attempts[n-1].sent)
	}
	r.attempts = append(r.attempts, try{server: s.Server, sent: w.now, out: true})
}

func run(t *testing.T, seed uint64) []Action { return play(t, seed, func(*Settings) {}, nil) }

// play is run with settings changed, and agree, unless nil, called before each event but the first.
func play(t *testing.T, seed uint64, change func(*Settings), agree func(w *world, n int)) []Action {
	set := settings()
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
	w := &world{t: t, b: b, rng: rand.New(rand.NewPCG(seed, 2)), open: map[uint32]*ask{}, drained: map[string]bool{}}
	w.step(&ServerListUpdate{Kind: UpdateCached, Servers: list(w.rng.IntN(8))})
	var ids []uint32
	for n := range 4000 {
		if agree != nil {
			agree(w, n)
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
			budget := time.Duration(w.rng.IntN(int(c.Deadline/ms))) * ms
			w.open[id] = &ask{class: c, by: w.now + budget}
			e := &Request{ID: id, Class: c.Name, Key: fmt.Sprint("k", w.rng.IntN(20)), ClientTimeout: budget}
			if n := len(set.Tenants); n > 0 {
				e.Tenant = set.Tenants[int(id)%n].Name
			}
			w.open[id].request = e
			w.step(e)
		case k == 8 && w.rng.IntN(8) == 0:
			l := list(8)[w.rng.IntN(8):]
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
				x.never = o.Unprocessed()
				finished := o == Served || r.answered > 0
				if o == Served && r.answered == 0 {
					r.answered++
				}
				w.step(&AttemptDone{ID: id, Attempt: i, Server: x.server.ID, Outcome: o, Latency: w.now - x.sent, RequestDone: finished})
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
		for _, a := range run(t, seed) {
			if a.Kind == Send {
				sends++
			}
		}
	}
	if sends < 8000 {
		t.Errorf("only %d sends: the test does not exercise the rules", sends)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if !reflect.DeepEqual(run(t, 7), run(t, 7)) {
		t.Error("two runs differ")
	}
}

// Where little is heard of a server it is asked first; the first owner that answers gets the request.
func TestAskFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(b *Balancer, first string, now time.Duration) []Action
		same   bool // the owner asked first gets it
	}{
		{"answers", func(b *Balancer, first string, now time.Duration) []Action {
			return b.Step(now, &ProbeDone{Server: first, Outcome: Served})
		}, true},
		{"refuses connections", func(b *Balancer, first string, now time.Duration) []Action {
			return b.Step(now, &ProbeDone{Server: first, Outcome: ConnectFailed})
		}, false},
		{"silent", func(b *Balancer, first string, now time.Duration) []Action {
			return b.Step(now+50*ms, &TimerDue{Tag: 1<<2 | timerRetry})
		}, false},
	} {
		set := settings()
		set.Limits.Probes = true
		b := start(t, set, list(6))
		now := time.Minute
		first := find(b.Step(now, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}), Probe)
		if first == nil {
			t.Fatal("not asked")
		}
		acts := c.answer(b, first.Server, now+ms)
		got := find(acts, Send)
		if !c.same {
			next := find(acts, Probe)
			if got != nil || next == nil || next.Server == first.Server {
				t.Fatalf("%s: %+v", c.name, acts)
			}
			got = find(b.Step(now+60*ms, &ProbeDone{Server: next.Server, Outcome: Served}), Send)
		}
		if got == nil || (got.Server == first.Server) != c.same {
			t.Errorf("%s: sent to %+v, first asked %s", c.name, got, first.Server)
		}
	}
}

// Probes that fail while requests are served are no longer believed.
func TestFalseProbesAreNoticed(t *testing.T) {
	for _, served := range []bool{true, false} {
		set := settings()
		set.Limits.Probes = true
		b := start(t, set, list(3))
		now := time.Minute
		for id := uint32(1); id < 60; id++ {
			now += 500 * ms
			queue := b.Step(now, &Request{ID: id, Class: "safe", Key: fmt.Sprint(id), ClientTimeout: time.Second})
			queue = slices.Clone(queue)
			for len(queue) > 0 {
				a := queue[0]
				queue = queue[1:]
				var more []Action
				switch {
				case a.Kind == Probe:
					more = b.Step(now, &ProbeDone{Server: a.Server, Outcome: TimedOut, Latency: 250 * ms})
				case a.Kind == Send && served:
					more = b.Step(now, &AttemptDone{ID: id, Attempt: len(b.requests[id].attempts) - 1, Server: a.Server, Latency: ms, RequestDone: true})
				case a.Kind == Send:
					more = b.Step(now, &AttemptDone{ID: id, Attempt: len(b.requests[id].attempts) - 1, Server: a.Server, Outcome: ConnectFailed})
				}
				queue = append(queue, slices.Clone(more)...)
			}
		}
		if believed := b.falseProbeFraction <= maxFalseProbeFraction; believed == served {
			t.Errorf("served %v: lies %.2f", served, b.falseProbeFraction)
		}
	}
}

// What many small balancers together send a cold or down server must not grow with their number: each holds
// far less than a request a second for it.
func TestColdBudgetOfManyBalancers(t *testing.T) {
	for _, c := range []struct {
		name     string
		down     bool
		newcomer bool    // a server never listed before, as a release brings
		most     float64 // of what a warm server would get, with room for chance
	}{
		{"cold", false, false, 3 * 0.4 * 0.625},
		{"cold newcomer", false, true, 3 * 0.4 * 0.625},
		{"down", true, false, 2 * 0.05},
	} {
		const balancers, rate = 400, 0.5 // requests a second of each, over four servers: 50 a second for each server
		sent := 0
		set := settings()
		set.Balancers = balancers
		for n := range balancers {
			b, err := New(set, uint64(n))
			if err != nil {
				t.Fatal(err)
			}
			b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: list(4)})
			b.sendRate = rate
			s := b.servers["s0"]
			if c.down {
				b.now = time.Minute
				b.turn(s, true)
			} else {
				cold := list(1)
				cold[0].StartedAt = time.Minute
				if c.newcomer {
					cold[0].ID = "new"
				}
				b.Step(time.Minute, &ServerListUpdate{Kind: UpdateIncremental, Servers: cold})
				s = b.servers[cold[0].ID]
			}
			for at := range 30 { // three seconds, far more asked for than is due
				b.now = time.Minute + time.Duration(at)*100*ms
				if b.hasSlowStartCapacity(s, c.down) {
					s.slowStart.Spend(1)
					sent++
				}
			}
		}
		if limit := c.most*3*balancers*rate/4 + 15; float64(sent) > limit || sent == 0 {
			t.Errorf("%s: %d sent in 3 s, %v at most", c.name, sent, limit)
		}
	}
}

// A server listed at half the size gets about half of the keys, the same ones at every balancer.
func TestListedSizes(t *testing.T) {
	l := list(8)
	for i := range l {
		l[i].Weight = float64(1 + i%2)
	}
	a, b := start(t, settings(), l), start(t, settings(), []Server{l[3], l[1], l[7], l[0], l[2], l[5], l[4], l[6]})
	small := 0
	for i := range 4000 {
		r := &request{
			class: a.classes["safe"], hasKey: true, hash: farm.Fingerprint32([]byte(fmt.Sprint(i))),
			objectiveAt: time.Second, deadline: time.Second,
		}
		s := a.selectServer(r)
		if other := b.selectServer(r); other.ID != s.ID {
			t.Fatalf("key %d: %s and %s", i, s.ID, other.ID)
		}
		if s.Weight == 1 {
			small++
		}
	}
	if small < 4000*20/100 || small > 4000*45/100 {
		t.Errorf("half of the servers, at half the size, got %d of 4000 keys", small)
	}
}

// PeerMessage traffic has a bounded fan-out, whatever the size of the fleet, and never goes to the teller itself.
func TestGossipIsBounded(t *testing.T) {
	for _, n := range []int{1, 2, 3, 1500} {
		set := settings()
		set.Balancers, set.Self = n, n-1
		set.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 30}}
		b := start(t, set, list(4))
		told := 0
		for _, a := range b.Step(time.Second, &TimerDue{Tag: timerRound}) {
			if a.Kind == SendToPeer {
				told++
				if a.Peer < 0 || a.Peer >= n || a.Peer == set.Self {
					t.Errorf("%d balancers: told %d", n, a.Peer)
				}
			}
		}
		if told != min(gossipFanout, n-1) {
			t.Errorf("%d balancers: told %d", n, told)
		}
	}
}

func TestBadPeerMessages(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 30}}
	for _, m := range []PeerMessage{
		{From: -1, Data: encodeRateMessage(5)},
		{From: 3, Data: encodeRateMessage(5)},
		{From: 0, Data: encodeRateMessage(5)},
		{From: 1},
		{From: 1, Data: encodeRateMessage(math.NaN())},
		{From: 1, Data: encodeRateMessage(-1)},
		{From: 1, Data: encodeRateMessage(math.Inf(1))},
		{From: 1, Data: make([]byte, 4096)},
		{From: 1, Data: append(encodeRateMessage(5), 0)},
		{From: 1, Data: []byte{messageDampResponse, 0, 0, 0, 0, 255}},
	} {
		b := start(t, set, list(4))
		acts := b.Step(time.Second, &m)
		if _, mean := b.quotas.Rates(); len(acts) > 0 || mean != 0 {
			t.Errorf("%+v: %+v, mean %v", m, acts, mean)
		}
	}
}

// Where the tail counts, the limit follows the share of misses allowed; odd goals leave the usual limit.
func TestTailLimit(t *testing.T) {
	for _, c := range []struct{ slowEnd, miss, want float64 }{
		{0, 0, maxLatencyFraction},
		{0, 0.02, maxLatencyFraction},
		{0.4, 0.02, 1 / math.Log(50)},
		{0.4, 0, maxLatencyFraction},
		{0.4, 1, maxLatencyFraction},
		{0.4, 0.5, maxLatencyFraction},
	} {
		set := settings()
		set.ScoreWeights.TailLatency, set.ScoreWeights.TailMissRatio = c.slowEnd, c.miss
		if b := start(t, set, list(2)); math.Abs(b.latencyLimitFraction-c.want) > 1e-9 {
			t.Errorf("%+v: %v", c, b.latencyLimitFraction)
		}
	}
}

// Reports of a full house lose their weight in a zone whose answers stay quick, and keep it where they don't.
func TestReportsAreWeighedByWhatFollows(t *testing.T) {
	b := start(t, settings(), list(6))
	b.baseline.seconds = 0.02
	for id := range uint32(200) {
		for _, s := range []*server{b.servers["s0"], b.servers["s1"]} { // zones z0, which lies, and z1
			b.now += 50 * ms
			s.reportedInFlight, s.reportedAt = 20, b.now
			r := &request{id: id, class: b.classes["safe"], objectiveAt: b.now + 400*ms, deadline: b.now + time.Second, workUnits: 1}
			b.sendAttempt(r, s)
			latency := 20 * ms
			if s.Zone == "z1" {
				latency = 350 * ms
			}
			r.openAttempts--
			s.inFlight--
			b.observeAttempt(r, &r.attempts[0], &AttemptDone{Outcome: Served, Latency: latency})
			s.latency = 0 // the report alone
		}
	}
	for id, want := range map[string]bool{"s2": false, "s3": true} {
		s := b.servers[id]
		s.reportedInFlight, s.reportedAt = 20, b.now
		r := &request{class: b.classes["safe"], objectiveAt: b.now + 400*ms, deadline: b.now + time.Second}
		if got := b.isSaturated(r, s, b.expectedLatency(s), b.latencyLimit(r)); got != want {
			t.Errorf("%s says 20: crowded %v at %.3f s", id, got, b.expectedLatency(s))
		}
	}
}

// A balancer with its own steady evidence neither asks nor goes by reports.
func TestThickEvidenceIsOwn(t *testing.T) {
	set := settings()
	set.Limits.Probes = true
	b := start(t, set, list(4))
	b.sendRate = 100
	if acts := b.Step(time.Minute, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}); find(acts, Probe) != nil {
		t.Errorf("asked: %+v", acts)
	}
}

// Points are hashed once: a server that leaves and returns has its old points.
func TestRingKeepsPoints(t *testing.T) {
	b := start(t, settings(), list(5))
	l := list(5)
	for range 3 {
		for _, st := range []ServerState{Gone, Ready} {
			l[2].State = st
			b.Step(b.now+1, &ServerListUpdate{Kind: UpdateIncremental, Servers: l[2:3]})
			if b.ring.Points() != 5*pointsPerServer {
				t.Fatalf("%d points", b.ring.Points())
			}
			if gone := b.ring.Owner(b.servers["s2"].hash); st == Gone && gone.ID == "s2" {
				t.Fatal("a server that is gone owns keys")
			}
		}
	}
	// an id listed twice, and an empty list
	b.Step(b.now+1, &ServerListUpdate{Kind: UpdateFull, Servers: append(list(5), list(5)...)})
	if len(b.ring.Members()) != 5 || b.ring.Points() != 5*pointsPerServer {
		t.Errorf("%d members, %d points", len(b.ring.Members()), b.ring.Points())
	}
	b.Step(b.now+1, &ServerListUpdate{Kind: UpdateFull})
	if acts := b.Step(b.now+1, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second}); find(acts, Reject) == nil {
		t.Errorf("empty list: %+v", acts)
	}
}

// A day of releases leaves nothing behind of servers that are gone; the others keep their points and numbers.
func TestGoneServersAreForgotten(t *testing.T) {
	b := start(t, settings(), list(5))
	want := ""
	for i := range 200 {
		want += b.ring.Owner(uint32(i)<<24).ID + " "
	}
	now := time.Second
	for i := range 100 {
		id := fmt.Sprint("new", i)
		b.Step(now, &ServerListUpdate{Kind: UpdateIncremental, Servers: []Server{{ID: id, Zone: "z0", Weight: 1, StartedAt: now}}})
		b.Step(now, &Request{ID: uint32(i), Class: "safe", Key: id, ClientTimeout: time.Second})
		now += time.Second
		b.Step(now, &ServerListUpdate{Kind: UpdateIncremental, Servers: []Server{{ID: id, State: Gone}}})
		if r := b.requests[uint32(i)]; r != nil {
			b.Step(now, &AttemptDone{ID: uint32(i), Server: r.attempts[0].server.ID, Outcome: Served, RequestDone: true})
		}
		b.Step(now, &TimerDue{Tag: timerRound})
	}
	if n := len(b.servers); n > 5+int(forgetAfter/time.Second)+2 || len(b.byHash) != n ||
		b.ring.Points() != n*pointsPerServer {
		t.Errorf("%d servers, %d by hash, %d points", n, len(b.byHash), b.ring.Points())
	}
	got := ""
	for i := range 200 {
		got += b.ring.Owner(uint32(i)<<24).ID + " "
	}
	if got != want {
		t.Errorf("owners %q, want %q", got, want)
	}
}

// What servers carry is known after a round or two, and not forgotten while little is sent: the cold ones' budget
// goes by it, and would be held down by itself. A server that answered badly runs, and does not come back cold.
func TestColdBudgetIsNotHeldDownByItself(t *testing.T) {
	b := start(t, settings(), list(4))
	now := time.Duration(0)
	round := func(sends float64) {
		now += roundInterval
		b.sentThisRound = sends
		b.Step(now, &TimerDue{Tag: timerRound})
	}
	round(100)
	round(100)
	if b.sendRate < 70 {
		t.Errorf("%.0f a second after two rounds of 100", b.sendRate)
	}
	for range 10 {
		round(0)
	}
	if b.sendRate < 55 {
		t.Errorf("%.0f a second after ten idle rounds", b.sendRate)
	}
	for outcome, cold := range map[Outcome]bool{ConnectFailed: true, TimedOut: false, ServerError: false} {
		b := start(t, settings(), list(4))
		s := b.ring.Members()[0]
		b.now = time.Second
		for range 5 {
			b.learnOf(s, outcome)
		}
		assert.True(t, s.outlier.IsEjected(), "outcome %d", outcome)
		for range 8 {
			b.learnOf(s, Served)
		}
		b.Step(b.now, &TimerDue{Tag: timerRound})
		assert.False(t, s.outlier.IsEjected(), "outcome %d", outcome)
		assert.Equal(t, cold, b.warmth(s) < 1, "outcome %d", outcome)
	}
}

// What was slow for its crowd is not left idle: with nothing in flight there, the queue's part of the time that
// was seen is taken off, and what was seen fades within a few aims.
func TestSlowForItsCrowd(t *testing.T) {
	b := start(t, settings(), list(4))
	b.now, b.baseline.seconds = time.Minute, 0.05
	s := b.ring.Members()[0]
	s.latency, s.latencyInFlight, s.latencyAt = 0.3, 18, b.now
	empty := b.expectedLatency(s)
	s.inFlight, s.silentSince = 18, b.now
	if full := b.expectedLatency(s); empty > 0.15 || full < 0.3 {
		t.Errorf("%.3f s expected with nothing in flight, %.3f s with as many as before", empty, full)
	}
	s.inFlight, s.latencyInFlight = 0, 1
	b.now += b.observationHalfLife
	if got := b.expectedLatency(s); b.observationHalfLife != maxObservationHalfLife || math.Abs(got-0.175) > 0.001 {
		t.Errorf("%.3f s after %v", got, b.observationHalfLife)
	}
}

// A slow kind of machine gets the keys that its pace leaves it, and still takes what the quick ones have no room
// for. Guards against slow machines that are full, and their heavy requests late, while quick ones idle.
func TestSizesGoByTheKindsPace(t *testing.T) {
	servers := list(6)
	for i := range servers {
		servers[i].MachineKind = []string{"rapid", "lent"}[i%2]
	}
	b := start(t, settings(), servers)
	now := time.Second
	ask := func(i int) (*server, uint32) {
		id := uint32(i + 1)
		a := mustSend(t, b.Step(now, &Request{ID: id, Class: "safe", Key: fmt.Sprint("k", i), ClientTimeout: time.Second}))
		return b.servers[a.Server], id
	}
	slow := 0
	for i := range 2000 {
		now += 5 * ms
		s, id := ask(i)
		took := 10 * ms
		if s.MachineKind == "lent" {
			took = 30 * ms
			if i >= 1000 {
				slow++
			}
		}
		b.Step(now+took, &AttemptDone{ID: id, Server: s.ID, Outcome: Served, Latency: took, RequestDone: true})
		if i%100 == 0 {
			b.Step(now, &TimerDue{Tag: timerRound})
		}
	}
	if slow < 150 || slow > 350 { // a quarter, by three to one
		t.Errorf("%d of 1000 went to machines of a third of the pace", slow)
	}
	for _, s := range b.ring.Members() {
		if s.MachineKind == "rapid" {
			s.inFlight, s.silentSince = 50, now-time.Second
		}
	}
	for i := range 50 {
		s, id := ask(3000 + i)
		if s.MachineKind != "lent" {
			t.Fatal("sent to a machine that has been silent for a second")
		}
		b.Step(now, &AttemptDone{ID: id, Server: s.ID, Outcome: Served, Latency: 30 * ms, RequestDone: true})
	}
}

// The figures set by a rehearsal count, the zero value means the defaults, and what can't be counted with is
// refused: a figure of NaN would otherwise make every comparison with it false, without a word.
func TestFigures(t *testing.T) {
	set := settings()
	set.Tuning = DefaultTuning()
	set.Tuning.RetryRatio, set.Tuning.RetryBurst = 0, 0
	b := start(t, set, list(4))
	send := mustSend(t, b.Step(time.Second, &Request{ID: 1, Class: "safe", ClientTimeout: time.Second}))
	acts := b.Step(time.Second, &AttemptDone{ID: 1, Server: send.Server, Outcome: ServerError})
	assert.NotNil(t, find(acts, Reject), "with nothing in the budget there is no further attempt")

	zero, err := New(settings(), 1)
	require.NoError(t, err)
	assert.Equal(t, DefaultTuning(), zero.settings.Tuning)
	for i := range reflect.TypeFor[Tuning]().NumField() {
		name := reflect.TypeFor[Tuning]().Field(i).Name
		for _, bad := range []float64{-1, math.NaN(), math.Inf(1)} {
			set.Tuning = DefaultTuning()
			reflect.ValueOf(&set.Tuning).Elem().Field(i).SetFloat(bad)
			_, err := New(set, 1)
			assert.ErrorContains(t, err, name)
		}
	}
}

// Guards against clients that move here from another balancer, as when that one sends its clients away, and are
// taken for more than their tenants' shares until the mean over rounds has followed.
func TestPartFollowsClientsThatMove(t *testing.T) {
	set := settings()
	set.Balancers = 2
	set.Tenants = []Tenant{{Name: "clinic", QuotaPerSecond: 400}}
	b := start(t, set, list(8))
	now, id := time.Duration(0), uint32(0)
	run := func(length time.Duration, perSecond int) (low int) {
		gap, next := time.Second/time.Duration(max(perSecond, 1)), now
		for end := now + length; now < end; now += 5 * ms {
			if now%time.Second == 0 {
				b.Step(now, &TimerDue{Tag: timerRound})
				b.Step(now, &PeerMessage{From: 1, Data: encodeRateMessage(150)}) // both together have 300
			}
			for ; perSecond > 0 && next <= now; next += gap {
				id++
				b.Step(now, &Request{ID: id, Class: "safe", Tenant: "clinic", ClientTimeout: time.Second})
				if r := b.requests[id]; r != nil {
					if r.overQuota {
						low++
					}
					for len(r.attempts) > 0 && b.requests[id] != nil {
						b.Step(now, &AttemptDone{ID: id, Outcome: Served, Latency: 5 * ms, RequestDone: true})
					}
				}
			}
		}
		return low
	}
	run(8*time.Second, 150) // its half
	require.LessOrEqual(t, run(3*time.Second, 300), 20, "all come here: 80 by the mean over rounds alone")
	run(4*time.Second, 0) // sent away
	require.LessOrEqual(t, run(3*time.Second, 300), 20, "and are back: 297")
	require.Greater(t, run(4*time.Second, 900), 1500, "more than the share is still found")
}

// Guards against a client that takes a long answer slowly and makes its server look crowded and silent: of an
// answer that has begun, the work is done.
func TestAnswersThatHaveBegunAreNotWaitedFor(t *testing.T) {
	b := start(t, settings(), list(1))
	s := b.servers["s0"]
	for id := range uint32(60) { // answers take 40 ms
		now := time.Duration(id) * 50 * ms
		b.Step(now, &Request{ID: id, Class: "safe", ClientTimeout: time.Second})
		b.Step(now+40*ms, &AttemptDone{ID: id, Server: "s0", Outcome: Served, Latency: 40 * ms, RequestDone: true})
	}
	const slow = 8
	for id := uint32(100); id < 100+slow; id++ {
		b.Step(3*time.Second, &Request{ID: id, Class: "safe", ClientTimeout: 30 * time.Second})
		require.NotEmpty(t, b.requests[id].attempts, "sent")
		b.Step(3*time.Second, &StreamStarted{ID: id})
		b.Step(3*time.Second, &StreamStarted{ID: id}) // once
	}
	require.Zero(t, s.inFlight)
	require.Zero(t, b.inFlight)
	b.Step(5*time.Second, &TimerDue{Tag: timerRound})
	require.Less(t, b.expectedLatency(s), 0.05, "it is quick and idle, as it was before")
	for id := uint32(100); id < 100+slow; id++ {
		b.Step(6*time.Second, &AttemptDone{
			ID: id, Server: "s0", Outcome: []Outcome{Served, ConnectionLost, Canceled}[id%3],
			Latency: 40 * ms, RequestDone: true,
		})
	}
	require.Zero(t, s.inFlight, "and none is taken off twice")
	require.Zero(t, b.inFlight)
	require.Empty(t, b.requests)
}

// Guards against an agent that is short of descriptors itself, as while it shares them with the process that takes
// over, and then takes its servers for slow and the fleet for failing.
func TestOwnShortageSaysNothingOfServers(t *testing.T) {
	b := start(t, settings(), list(3))
	for id := range uint32(30) {
		a := mustSend(t, b.Step(time.Duration(id)*ms, &Request{ID: id, Class: "safe", ClientTimeout: time.Second}))
		b.Step(time.Duration(id)*ms+1, &AttemptDone{
			ID: id, Server: a.Server, Outcome: ConnectFailed, Latency: ms,
			Evidence: outlier.Evidence{Phase: outlier.PhaseConnecting, LocalShortage: true},
		})
	}
	require.Zero(t, b.failureFraction)
	for _, s := range b.ring.Members() {
		require.Zero(t, s.latency)
		require.False(t, s.outlier.IsEjected())
	}
}

// Guards against refusing callers in a hurry, who give less than the aim, by the rule that keeps crowds out: the
// quickest server of all has the request where it is likely in time, and none where it is not or is crowded.
func TestHurriedCallers(t *testing.T) {
	for _, c := range []struct {
		name    string
		budget  time.Duration
		latency float64 // of the quickest
		sent    bool
	}{
		{"in time", 55 * ms, 0.04, true},
		{"hardly in time", 41 * ms, 0.04, true},
		{"too late", 30 * ms, 0.04, false},
		{"crowded", 350 * ms, 0.21, false}, // over half of the aim
	} {
		b := start(t, settings(), list(5))
		b.now = 10 * time.Second
		b.baseline.seconds = c.latency / 2
		for _, s := range b.ring.Members() {
			s.latency, s.latencyInFlight, s.latencyAt = 2*c.latency, 1, b.now
		}
		b.servers["s3"].latency = c.latency
		a := find(b.Step(b.now, &Request{ID: 1, Class: "safe", Key: "chair", ClientTimeout: c.budget}), Send)
		require.Equal(t, c.sent, a != nil, c.name)
		if c.sent {
			require.Equal(t, "s3", a.Server, c.name)
			b.Step(b.now+c.budget, &AttemptDone{ID: 1, Server: "s3", Outcome: TimedOut, Latency: c.budget, RequestDone: true})
			require.Less(t, b.servers["s3"].latency, 0.06, "it was not slow, its caller was in a hurry")
		}
	}
}
