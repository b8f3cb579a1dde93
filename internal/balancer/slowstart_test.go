package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A server in slow start gets no more requests than this balancer's slow-start budget. The others go to other servers
// instead of being rejected.
func TestSlowStartBudget(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	now := time.Minute
	restarted := serverList(1)
	restarted[0].StartedAt = now
	send := func(id uint32) string {
		a := findAction(b.Step(now, &Request{ID: id, Class: "safe", Key: fmt.Sprint("k", id%97), ClientTimeout: time.Second}), Send)
		if a == nil {
			return ""
		}
		b.Step(now+20*ms, &AttemptDone{ID: id, Server: a.Server, Latency: 20 * ms, RequestDone: true})
		return a.Server
	}
	count := func(from uint32) (first, all int) {
		for i := range uint32(600) {
			if i%200 == 199 {
				b.Step(now, &TimerDue{Tag: timerRound})
			}
			now += 5 * ms
			switch send(from + i) {
			case "":
			case "s0":
				first++
				fallthrough
			default:
				all++
			}
		}
		return first, all
	}
	warm, all := count(1)
	if warm < 60 || all < 590 {
		t.Fatalf("the warm server got %d of %d requests", warm, all)
	}
	restarted[0].StartedAt = now
	b.Step(now, &ServerListUpdate{Kind: UpdateIncremental, Servers: restarted})
	got, all := count(1000)
	rate := float64(all) / 3 / 4 // sends a second to each server
	// The capacity rises from 0.4 to 0.625 in the 3 s; the rules allow OverloadMultiple times the capacity.
	if limit := 3*0.4*rate*3 + 1; float64(got) > limit {
		t.Errorf("the server in slow start got %d requests, the rules allow about %.0f", got, limit)
	}
	if got == 0 || all < 590 {
		t.Errorf("the server in slow start got %d requests; %d of 600 were sent", got, all)
	}
}

// Guards against many small balancers overloading a server in slow start, or one that is down, together. The sum of their
// requests must not grow with their number, though each sends the server far less than a request a second.
func TestSlowStartBudgetOfManyBalancers(t *testing.T) {
	for _, c := range []struct {
		name    string
		purpose attemptPurpose
		isNew   bool    // the server was never listed before, as after a release
		limit   float64 // maximum rate as a fraction of a warm server's, before a margin for chance
	}{
		{"slow start", serveRequest, false, 3 * 0.4 * 0.625},
		{"slow start of a new server", serveRequest, true, 3 * 0.4 * 0.625},
		{"down", probeServer, false, 2 * 0.05},
	} {
		const balancers, rate = 400, 0.5 // requests a second of each balancer, so 50 a second for each of four servers
		sent := 0
		set := testSettings()
		set.Balancers = balancers
		for n := range balancers {
			b, err := New(set, uint64(n))
			if err != nil {
				t.Fatal(err)
			}
			b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(4)})
			b.sendRate = rate
			s := b.servers["s0"]
			if c.purpose == probeServer {
				b.now = time.Minute
				b.repeatOutcome(s, ConnectFailed)
			} else {
				started := serverList(1)
				started[0].StartedAt = time.Minute
				if c.isNew {
					started[0].ID = "new"
				}
				b.Step(time.Minute, &ServerListUpdate{Kind: UpdateIncremental, Servers: started})
				s = b.servers[started[0].ID]
			}
			for at := range 30 { // tries for three seconds, far more often than the budget permits
				b.now = time.Minute + time.Duration(at)*100*ms
				if b.hasSlowStartCapacity(s, c.purpose) {
					s.slowStart.Spend(1)
					sent++
				}
			}
		}
		if limit := c.limit*3*balancers*rate/4 + 15; float64(sent) > limit || sent == 0 {
			t.Errorf("%s: %d requests sent in 3 s, want at least one and at most %v", c.name, sent, limit)
		}
	}
}

// Guards against a slow-start budget that limits itself. It depends on the measured send rate, which must rise within two
// rounds and not fall while few requests are sent. Only a server that refused connections, and so may have been restarted,
// has a slow start after its recovery.
func TestSlowStartBudgetDoesNotLimitItself(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	now := time.Duration(0)
	round := func(sends float64) {
		now += roundInterval
		b.sentThisRound = sends
		b.Step(now, &TimerDue{Tag: timerRound})
	}
	round(100)
	round(100)
	if b.sendRate < 70 {
		t.Errorf("send rate %.0f a second after two rounds of 100 requests", b.sendRate)
	}
	for range 10 {
		round(0)
	}
	if b.sendRate < 55 {
		t.Errorf("send rate %.0f a second after ten idle rounds", b.sendRate)
	}
	for outcome, startsCold := range map[Outcome]bool{ConnectFailed: true, TimedOut: false, ServerError: false} {
		b := newStarted(t, testSettings(), serverList(4))
		s := b.ring.Members()[0]
		b.now = time.Second
		for range 5 {
			b.observeOutcome(s, outcome)
		}
		assert.True(t, s.outlier.IsEjected(), "outcome %d", outcome)
		for range 8 {
			b.observeOutcome(s, Served)
		}
		b.Step(b.now, &TimerDue{Tag: timerRound})
		assert.False(t, s.outlier.IsEjected(), "outcome %d", outcome)
		assert.Equal(t, startsCold, b.capacityFraction(s) < 1, "outcome %d", outcome)
	}
}

// With many balancers that each send few requests and half of the servers in slow start, those get nearly twice as many
// requests while the warm servers are saturated, and none is overloaded.
func TestServersInSlowStartRelieveSaturatedOnes(t *testing.T) {
	const balancers, servers, capacity = 100, 40, 60.0 // requests a second of a warm server
	window := testSettings().Rules.OverloadWindow
	run := func(saturated bool) (all int, highestLoad float64) {
		set := testSettings()
		set.Balancers = balancers
		members := serverList(servers)
		for i := range members[servers/2:] {
			members[servers/2+i].StartedAt = 10 * time.Second
		}
		arrivals := map[string][]time.Duration{}
		for n := range balancers {
			set.Self = n
			b, err := New(set, uint64(n))
			require.NoError(t, err)
			b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(servers)})
			for i := range 300 { // 20 a second
				now := time.Duration(i) * 50 * ms
				if now == 10*time.Second {
					b.Step(now, &ServerListUpdate{Kind: UpdateFull, Servers: members})
				}
				if b.SetWarmServersSaturated(saturated && now >= 10*time.Second); i%10 == 0 {
					b.Step(now, &TimerDue{Tag: timerRound})
				}
				key := string(rune('a'+(i*7+n)%26)) + string(rune('a'+(i*3+n)%23))
				a := findAction(b.Step(now, &Request{ID: uint32(i), Key: key, Class: "safe", ClientTimeout: time.Second}), Send)
				if a == nil {
					continue
				}
				arrivals[a.Server] = append(arrivals[a.Server], now)
				b.Step(now+40*ms, &AttemptDone{ID: uint32(i), Server: a.Server, Outcome: Served, Latency: 40 * ms, RequestDone: true})
			}
		}
		for _, m := range members[servers/2:] {
			for _, to := range arrivals[m.ID] {
				in := 0
				for _, at := range arrivals[m.ID] {
					if at >= 10*time.Second && at <= to && at > to-window {
						in++
					}
				}
				if to >= 10*time.Second {
					all++
					limit := set.Rules.OverloadMultiple * capacity * window.Seconds() * set.Rules.SlowStartCapacity
					highestLoad = max(highestLoad, float64(in)/limit)
				}
			}
		}
		return all, highestLoad
	}
	before, _ := run(false)
	relieved, highestLoad := run(true)
	t.Log(before, relieved, highestLoad)
	require.Greater(t, float64(relieved), 1.85*float64(before))
	require.Less(t, highestLoad, 0.9)
}
