package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dunestep/internal/discovery/backoff"
)

func TestNothingIsSentToDrainingServers(t *testing.T) {
	for _, c := range []struct {
		name         string
		state        ServerState
		goneUsable   bool
		drainedFirst bool
		sends        bool
	}{
		{"draining", Draining, false, false, false},
		{"gone", Gone, false, false, false},
		{"draining where gone servers are usable", Draining, true, false, false},
		{"gone where gone servers are usable keeps the last ring", Gone, true, false, true},
		{"gone after draining", Gone, true, true, false},
	} {
		set := testSettings()
		set.Rules.GoneUsable = c.goneUsable
		b := newStarted(t, set, serverList(1))
		l := serverList(1)
		if c.drainedFirst {
			l[0].State = Draining
			b.Step(1, &ServerListUpdate{Kind: UpdateIncremental, Servers: l})
		}
		l[0].State = c.state
		b.Step(1, &ServerListUpdate{Kind: UpdateIncremental, Servers: l})
		acts := b.Step(1, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second})
		if (findAction(acts, Send) != nil) != c.sends {
			t.Errorf("%s: %+v", c.name, acts)
		}
		if !c.sends && findAction(acts, Reject) == nil {
			t.Errorf("%s: no answer", c.name)
		}
	}
}

func TestFullListDropsUnlistedServers(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	b.Step(1, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(2)})
	if len(b.ring.Members()) != 2 || b.isListed(b.servers["s3"]) {
		t.Error("a server left out of a full list is still used")
	}
	b.Step(2, &ServerListUpdate{Kind: UpdateFailed})
	if len(b.ring.Members()) != 2 {
		t.Error("a failed call changed the list")
	}
}

// Guards against memory that grows with every release: servers that left are forgotten after forgetAfter, and the others
// keep their points and keys.
func TestGoneServersAreForgotten(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(5))
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

func TestDiscoveryOnDemandIsPolled(t *testing.T) {
	set := testSettings()
	set.DiscoveryOnDemand = true
	b, _ := New(set, 1)
	if findAction(b.Step(0, &ServerListUpdate{Kind: UpdateCached}), Subscribe) == nil {
		t.Fatal("no subscription at the start")
	}
	polledAt, waits := time.Duration(0), [6]time.Duration{}
	for i := range waits { // the first retry is early, and the backoff grows
		set := findAction(b.Step(polledAt+ms, &ServerListUpdate{Kind: UpdateFailed}), SetTimer)
		require.NotNil(t, set)
		assert.Nil(t, findAction(b.Step(polledAt+ms, &ServerListUpdate{Kind: UpdateFailed}), SetTimer), "two failures schedule one call")
		waits[i] = set.After
		polledAt += ms + set.After
		require.NotNil(t, findAction(b.Step(polledAt, &TimerDue{Tag: set.Tag}), Subscribe))
	}
	assert.Less(t, waits[0], 350*ms)
	assert.Greater(t, waits[5], 750*ms)
	assert.Less(t, waits[5], set.Rules.MaxPollInterval/4)
	quarter := set.Rules.MaxPollInterval / 4
	if findAction(b.Step(polledAt+quarter-ms, &TimerDue{Tag: timerRound}), Subscribe) != nil {
		t.Error("polls again while a call is outstanding")
	}
	if findAction(b.Step(polledAt+quarter, &TimerDue{Tag: timerRound}), Subscribe) == nil {
		t.Error("does not poll again after a call without a response")
	}
	b.Step(polledAt+quarter+ms, &ServerListUpdate{Kind: UpdateIncremental})
	if findAction(b.Step(time.Minute, &TimerDue{Tag: timerRound}), Subscribe) != nil {
		t.Error("polls again although subscribed")
	}
}

// The simulator's clock has whole microseconds, so that a timer may be due a part of one early. The call is made all the
// same, and not planned again for the same moment without end.
func TestPollTimerInWholeMicroseconds(t *testing.T) {
	set := testSettings()
	set.DiscoveryOnDemand = true
	for seed := range uint64(20) {
		b, _ := New(set, seed)
		b.Step(0, &ServerListUpdate{Kind: UpdateCached})
		timer := findAction(b.Step(ms, &ServerListUpdate{Kind: UpdateFailed}), SetTimer)
		require.NotNil(t, timer)
		due := ms + timer.After.Truncate(time.Microsecond)
		require.NotNil(t, findAction(b.Step(due, &TimerDue{Tag: timer.Tag}), Subscribe), "seed %d: %v", seed, timer.After)
	}
}

// Guards against a scheduled call replacing a working watch. Another call may have been accepted meanwhile, as at a new
// address after SIGHUP, and the scheduled one may be refused.
func TestNoPollAfterAnotherCallSucceeded(t *testing.T) {
	set := testSettings()
	set.DiscoveryOnDemand = true
	b, _ := New(set, 1)
	b.Step(0, &ServerListUpdate{Kind: UpdateCached})
	lost := &ServerListUpdate{Kind: UpdateFailed, Watch: WatchStatus{End: backoff.WatchLost}}
	for i, c := range []struct {
		name  string
		watch WatchStatus // of the update between the end of the watch and the planned call
		polls bool
	}{
		{"accepted", WatchStatus{Opened: true}, false},
		{"list", WatchStatus{}, false},
		{"operator", WatchStatus{Local: true}, true},
		{"list on another call", WatchStatus{OtherCall: true}, true},
		{"call at a new address", WatchStatus{AddressChanged: true}, false},
	} {
		lostAt := time.Duration(i+1) * time.Minute
		again := findAction(b.Step(lostAt, lost), SetTimer)
		require.NotNil(t, again, c.name)
		b.Step(lostAt+ms, &ServerListUpdate{Kind: UpdateIncremental, Servers: serverList(1), Watch: c.watch})
		polls := findAction(b.Step(lostAt+again.After, &TimerDue{Tag: again.Tag}), Subscribe) != nil
		require.Equal(t, c.polls, polls, c.name)
		b.Step(lostAt+again.After, &ServerListUpdate{Kind: UpdateIncremental})
	}
}

// While calls fail, the rate at which all agents of a fleet poll together does not grow with their number. Else an
// overloaded discovery service would never recover.
func TestPollRateDoesNotGrowWithFleetSize(t *testing.T) {
	for balancers, factor := range map[int]float64{1: 1, 6: 1, 36: 6, 600: 100} {
		set := testSettings()
		set.Balancers = balancers
		b := newStarted(t, set, serverList(6))
		now, wait := time.Minute, time.Duration(0)
		for range backoff.MaxDoublings + 1 {
			now += time.Hour
			timer := findAction(b.Step(now, &ServerListUpdate{Kind: UpdateFailed}), SetTimer)
			require.NotNil(t, timer)
			wait = timer.After
			b.Step(now+wait, &TimerDue{Tag: timer.Tag})
		}
		longest := factor * float64(backoff.MinDelay<<backoff.MaxDoublings)
		require.GreaterOrEqual(t, float64(wait), longest/2)
		require.LessOrEqual(t, float64(wait), longest*3/2)
	}
}
