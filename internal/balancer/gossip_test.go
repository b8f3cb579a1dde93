package balancer

import (
	"math"
	"testing"
	"time"
)

// Gossip goes to gossipFanout peers at most, whatever the size of the fleet, and never to the sender itself.
func TestGossipIsBounded(t *testing.T) {
	for _, n := range []int{1, 2, 3, 1500} {
		set := testSettings()
		set.Balancers, set.Self = n, n-1
		set.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 30}}
		b := newStarted(t, set, serverList(4))
		sent := 0
		for _, a := range b.Step(time.Second, &TimerDue{Tag: timerRound}) {
			if a.Kind == SendToPeer {
				sent++
				if a.Peer < 0 || a.Peer >= n || a.Peer == set.Self {
					t.Errorf("%d balancers: sent to %d", n, a.Peer)
				}
			}
		}
		if sent != min(gossipFanout, n-1) {
			t.Errorf("%d balancers: sent to %d", n, sent)
		}
	}
}

func TestInvalidPeerMessagesAreIgnored(t *testing.T) {
	set := testSettings()
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
		b := newStarted(t, set, serverList(4))
		acts := b.Step(time.Second, &m)
		if _, mean := b.quotas.Rates(); len(acts) > 0 || mean != 0 {
			t.Errorf("%+v: %+v, mean %v", m, acts, mean)
		}
	}
}
