package late

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

// Work beyond the servers' capacity is rejected. The rest goes to servers with room, in proportion to their
// capacity. A request that may be repeated is retried on another server, any other request is not.
func TestPolicyAdmitsChoosesAndRetries(t *testing.T) {
	view := NewFleetView([]Server{
		{ID: "a", Accepts: true, Capacity: 1, Speed: 1, Cores: 1},
		{ID: "b", Accepts: true, Capacity: 3, Speed: 3, Cores: 3},
		{ID: "full", Accepts: true, Capacity: 1, Speed: 1, Held: 9, Cores: 1},
		{ID: "silent", Capacity: 100, Speed: 100, Cores: 1},
	}, 7)
	settings := balancer.Settings{Limits: balancer.Limits{MaxAttempts: 3}, Classes: []balancer.Class{
		{Name: "consult", LatencyObjective: time.Second}, {Name: "rezervare", LatencyObjective: time.Second, Idempotency: balancer.NotIdempotent},
	}}
	p := New(settings, 100*time.Millisecond, 1, func() *FleetView { return view })
	var list balancer.ServerListUpdate
	for _, id := range []string{"a", "b", "full", "silent"} {
		list.Servers = append(list.Servers, balancer.Server{ID: id})
	}
	require.Equal(t, []balancer.Action{{Kind: balancer.Subscribe}}, p.Step(0, &list))
	sent, refused := map[string]int{}, 0
	for id := range uint32(1000) {
		actions := p.Step(0, &balancer.Request{ID: id, Class: "consult", ClientTimeout: time.Second})
		require.Len(t, actions, 1)
		if actions[0].Kind != balancer.Send {
			refused++
			continue
		}
		sent[actions[0].Server]++
		p.Step(0, &balancer.AttemptDone{ID: id, Server: actions[0].Server, Outcome: balancer.Served})
	}
	require.InDelta(t, 500, refused, 100, "admits 0.7 * 5 of 7, and rejects few that only draw full servers")
	require.InDelta(t, 3, float64(sent["b"])/float64(sent["a"]), 0.8)
	require.Len(t, sent, 2)
	require.Empty(t, p.requests)

	view.admitted = 1
	first := p.Step(0, &balancer.Request{ID: 1, Class: "consult", ClientTimeout: time.Second})[0].Server
	again := p.Step(0, &balancer.AttemptDone{ID: 1, Server: first, Outcome: balancer.ServerError})[0]
	require.Equal(t, balancer.Send, again.Kind)
	require.NotEqual(t, first, again.Server)
	first = p.Step(0, &balancer.Request{ID: 2, Class: "rezervare", ClientTimeout: time.Second})[0].Server
	require.Equal(t, []balancer.Action{{Kind: balancer.Fail, ID: 2}},
		p.Step(0, &balancer.AttemptDone{ID: 2, Server: first, Outcome: balancer.TimedOut}))
}
