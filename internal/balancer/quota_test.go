package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestsOverQuotaAcceptLessLatency(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 30}, {Name: "b", QuotaPerSecond: 3}}
	b := newStarted(t, set, serverList(3))
	over := 0
	for i := range uint32(400) {
		if i%20 == 0 {
			b.Step(time.Duration(i)*ms*50, &TimerDue{Tag: timerRound})
		}
		if b.quotas.IsOverQuota(b.now, "b") {
			over++
		}
	}
	if over < 200 || over == 400 { // three balancers with 20 a second each against a quota of 3
		t.Errorf("%d of 400 requests over the quota, want some but not all", over)
	}
	withinQuota, overQuota := &request{class: b.classes["safe"], objectiveAt: b.now + 400*ms, deadline: b.now + time.Second}, &request{}
	*overQuota = *withinQuota
	overQuota.overQuota = true
	if b.latencyLimit(overQuota) >= b.latencyLimit(withinQuota) {
		t.Error("requests over a quota accept as much latency as the others")
	}
	// Each message moves the receiver's mean halfway to the sender's.
	b.quotas.Restore(0, 0, 10)
	b.Step(time.Minute, &PeerMessage{From: 1, Data: encodeRateMessage(30)})
	if _, mean := b.quotas.Rates(); mean != 20 {
		t.Errorf("mean %v", mean)
	}
}

// Guards against requests of clients that move here from another balancer, as when that one drains, counting as over their
// tenant's quota until the mean over rounds has caught up.
func TestQuotaFollowsClientsThatMove(t *testing.T) {
	set := testSettings()
	set.Balancers = 2
	set.Tenants = []Tenant{{Name: "clinic", QuotaPerSecond: 400}}
	b := newStarted(t, set, serverList(8))
	now, id := time.Duration(0), uint32(0)
	run := func(length time.Duration, perSecond int) (over int) {
		gap, next := time.Second/time.Duration(max(perSecond, 1)), now
		for end := now + length; now < end; now += 5 * ms {
			if now%time.Second == 0 {
				b.Step(now, &TimerDue{Tag: timerRound})
				b.Step(now, &PeerMessage{From: 1, Data: encodeRateMessage(150)}) // the two balancers together get 300 a second
			}
			for ; perSecond > 0 && next <= now; next += gap {
				id++
				b.Step(now, &Request{ID: id, Class: "safe", Tenant: "clinic", ClientTimeout: time.Second})
				if r := b.requests[id]; r != nil {
					if r.overQuota {
						over++
					}
					for len(r.attempts) > 0 && b.requests[id] != nil {
						b.Step(now, &AttemptDone{ID: id, Outcome: Served, Latency: 5 * ms, RequestDone: true})
					}
				}
			}
		}
		return over
	}
	run(8*time.Second, 150) // half of all clients
	require.LessOrEqual(t, run(3*time.Second, 300), 20, "all clients move here; by the mean over rounds alone 80 would be over quota")
	run(4*time.Second, 0) // all clients leave
	require.LessOrEqual(t, run(3*time.Second, 300), 20, "all clients return; by the mean over rounds alone 297 would be over quota")
	require.Greater(t, run(4*time.Second, 900), 1500, "requests beyond the quota are still detected")
}
