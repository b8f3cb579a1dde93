package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulateSparseFleet runs balancers that each send a few requests a second. One request in popularEvery has the popular
// key, the others random keys. It returns the number of requests sent to each server.
func simulateSparseFleet(t *testing.T, balancers, servers, popularEvery int) map[string]int {
	t.Helper()
	set := testSettings()
	set.Balancers = balancers
	set.Classes[0].Idempotency = Idempotent
	sent, rng := map[string]int{}, rand.New(rand.NewPCG(1, 2))
	for n := range balancers {
		set.Self = n
		b, err := New(set, uint64(n))
		require.NoError(t, err)
		b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(servers)})
		for i := range 200 {
			now := time.Duration(i) * 100 * ms
			b.Step(now, &TimerDue{Tag: timerRound})
			key := string(rune('a'+rng.IntN(26))) + string(rune('a'+rng.IntN(26)))
			if rng.IntN(popularEvery) == 0 {
				key = "popular"
			}
			id := uint32(i + 1)
			a := findAction(b.Step(now, &Request{ID: id, Key: key, Class: set.Classes[0].Name, ClientTimeout: time.Second}), Send)
			if a == nil {
				continue
			}
			sent[a.Server]++
			b.Step(now+50*ms, &AttemptDone{
				ID: id, Server: a.Server, Outcome: Served, Latency: 50 * ms,
				RequestDone: true,
			})
		}
	}
	return sent
}

// Guards against a popular key overloading its owner when very many balancers send few requests each, so that none of them
// ever has more than one request in flight there.
func TestPopularKeyOfManySparseBalancers(t *testing.T) {
	sent := simulateSparseFleet(t, 100, 40, 3)
	for id, n := range sent {
		require.LessOrEqual(t, n, 100*200/40*3/2, id)
	}
	require.Len(t, sent, 40)
}
