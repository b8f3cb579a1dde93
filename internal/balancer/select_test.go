package balancer

import (
	"fmt"
	"testing"
	"time"

	farm "github.com/dgryski/go-farm"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/ring"
)

func TestOwnerKeepsItsKeysUntilSaturated(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	first := mustSend(t, b.Step(ms, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second})).Server
	owner := b.servers[first]
	if o := b.ring.Owner(ring.Hash("k")); o != owner {
		t.Fatalf("first request sent to %s, want the owner %s", first, o.ID)
	}
	next := ""
	for id := uint32(2); id < 40 && next == ""; id++ {
		if a := mustSend(t, b.Step(2*ms, &Request{ID: id, Class: "safe", Key: "k", ClientTimeout: time.Second})); a.Server != first {
			next = a.Server
		}
	}
	if next == "" {
		t.Fatal("a saturated owner keeps all requests with its key")
	}
	var order []string
	b.ring.Walk(ring.Hash("k"), func(s *server) bool { order = append(order, s.ID); return true })
	if next != order[1] {
		t.Errorf("request sent to %s, want the next owner %s", next, order[1])
	}
}

func TestKeylessRequestGoesToTheLessLoadedOfTwo(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(2))
	b.ring.Members()[0].inFlight, b.inFlight = 1, 1
	busy := 0
	for i := range uint32(200) {
		a := mustSend(t, b.Step(ms, &Request{ID: i, Class: "safe", ClientTimeout: time.Second}))
		b.Step(ms, &AttemptDone{ID: i, Server: a.Server, Latency: ms, RequestDone: true})
		if a.Server == b.ring.Members()[0].ID {
			busy++
		}
	}
	// Both random choices are the busy server about once in four.
	if busy < 20 || busy > 90 {
		t.Errorf("the busy server got %d of 200 requests, want about 50", busy)
	}
}

// Guards against a request without a key failing on an empty ring, which keeps the points of servers that have left but has
// no owners.
func TestKeylessRequestWhenAllServersHaveLeft(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(3))
	b.Step(ms, &ServerListUpdate{Kind: UpdateFull})
	acts := b.Step(2*ms, &Request{ID: 1, Class: "safe", ClientTimeout: time.Second})
	require.NotNil(t, findAction(acts, Reject), "%+v", acts)
}

func TestSilentOwnerIsSkippedBeforeTheRoundEnds(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	now := time.Second
	a := mustSend(t, b.Step(now, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second}))
	now += 210 * ms // silence for more than half of the latency objective
	if next := mustSend(t, b.Step(now, &Request{ID: 2, Class: "safe", Key: "k", ClientTimeout: time.Second})); next.Server == a.Server {
		t.Error("a silent owner still gets requests")
	}
}

// Guards against the owner of many keys being tried first again and again while it rejects requests and others have
// capacity. A server that rejects more than usual is skipped until its probe requests are served.
func TestRejectingServerIsSkipped(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(6))
	s := b.ring.Owner(ring.Hash("k"))
	b.now = time.Second
	for range 3 {
		b.observeOutcome(s, Rejected)
	}
	sendRequest := func(id uint32) string {
		return mustSend(t, b.Step(b.now, &Request{ID: id, Class: "safe", Key: "k", ClientTimeout: time.Second})).Server
	}
	assert.NotEqual(t, s.ID, sendRequest(1))
	b.now += 500 * ms
	assert.Equal(t, s.ID, sendRequest(2), "the probe request")
	assert.NotEqual(t, s.ID, sendRequest(3))
	for range 8 {
		b.observeOutcome(s, Served)
	}
	assert.Equal(t, s.ID, sendRequest(4))
}

// A request with a timeout below the latency objective goes to the fastest server if that is expected to respond in time.
// It is not sent if that is too late or the server is saturated by the full objective.
func TestShortClientTimeouts(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
		latency float64 // seconds, of the fastest server
		sent    bool
	}{
		{"in time", 55 * ms, 0.04, true},
		{"barely in time", 41 * ms, 0.04, true},
		{"too late", 30 * ms, 0.04, false},
		{"saturated", 350 * ms, 0.21, false}, // over half of the latency objective
	} {
		b := newStarted(t, testSettings(), serverList(5))
		b.now = 10 * time.Second
		b.baseline.seconds = c.latency / 2
		for _, s := range b.ring.Members() {
			s.latency, s.latencyInFlight, s.latencyAt = 2*c.latency, 1, b.now
		}
		b.servers["s3"].latency = c.latency
		a := findAction(b.Step(b.now, &Request{ID: 1, Class: "safe", Key: "chair", ClientTimeout: c.timeout}), Send)
		require.Equal(t, c.sent, a != nil, c.name)
		if c.sent {
			require.Equal(t, "s3", a.Server, c.name)
			b.Step(b.now+c.timeout, &AttemptDone{ID: 1, Server: "s3", Outcome: TimedOut, Latency: c.timeout, RequestDone: true})
			require.Less(t, b.servers["s3"].latency, 0.06, "a short client timeout must not make the server look slow")
		}
	}
}

// A server with half the weight of the others gets about half as many keys, the same ones at every balancer.
func TestLightServersGetFewerKeys(t *testing.T) {
	l := serverList(8)
	for i := range l {
		l[i].Weight = float64(1 + i%2)
	}
	a, b := newStarted(t, testSettings(), l), newStarted(t, testSettings(), []Server{l[3], l[1], l[7], l[0], l[2], l[5], l[4], l[6]})
	light := 0
	for i := range 4000 {
		r := &request{
			class: a.classes["safe"], hasKey: true, hash: farm.Fingerprint32([]byte(fmt.Sprint(i))),
			objectiveAt: time.Second, deadline: time.Second,
		}
		s := a.selectServer(r)
		if other := b.selectServer(r); other.ID != s.ID {
			t.Fatalf("key %d: two balancers select %s and %s", i, s.ID, other.ID)
		}
		if s.Weight == 1 {
			light++
		}
	}
	if light < 4000*20/100 || light > 4000*45/100 {
		t.Errorf("the half of the servers with half the weight got %d of 4000 keys", light)
	}
}

// A slow machine kind gets fewer keys in proportion to its speed, and still gets the requests that the fast machines have
// no capacity for.
func TestSlowMachineKindsGetFewerKeys(t *testing.T) {
	servers := serverList(6)
	for i := range servers {
		servers[i].MachineKind = []string{"fast", "slow"}[i%2]
	}
	b := newStarted(t, testSettings(), servers)
	now := time.Second
	sendRequest := func(i int) (*server, uint32) {
		id := uint32(i + 1)
		a := mustSend(t, b.Step(now, &Request{ID: id, Class: "safe", Key: fmt.Sprint("k", i), ClientTimeout: time.Second}))
		return b.servers[a.Server], id
	}
	slow := 0
	for i := range 2000 {
		now += 5 * ms
		s, id := sendRequest(i)
		latency := 10 * ms
		if s.MachineKind == "slow" {
			latency = 30 * ms
			if i >= 1000 {
				slow++
			}
		}
		b.Step(now+latency, &AttemptDone{ID: id, Server: s.ID, Outcome: Served, Latency: latency, RequestDone: true})
		if i%100 == 0 {
			b.Step(now, &TimerDue{Tag: timerRound})
		}
	}
	if slow < 150 || slow > 350 { // a quarter, by a speed ratio of three to one
		t.Errorf("machines with a third of the speed got %d of 1000 requests, want about 250", slow)
	}
	for _, s := range b.ring.Members() {
		if s.MachineKind == "fast" {
			s.inFlight, s.silentSince = 50, now-time.Second
		}
	}
	for i := range 50 {
		s, id := sendRequest(3000 + i)
		if s.MachineKind != "slow" {
			t.Fatal("sent to a server that has been silent for a second")
		}
		b.Step(now, &AttemptDone{ID: id, Server: s.ID, Outcome: Served, Latency: 30 * ms, RequestDone: true})
	}
}
