package late

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/decide"
)

// What comes beyond what the servers can do is refused; the rest goes where there is room, in the parts of what each
// can do; what may be repeated is tried elsewhere, and nothing else is.
func TestPolicy(t *testing.T) {
	sight := NewSight([]Server{
		{ID: "a", Takes: true, Capacity: 1, Speed: 1, Cores: 1},
		{ID: "b", Takes: true, Capacity: 3, Speed: 3, Cores: 3},
		{ID: "full", Takes: true, Capacity: 1, Speed: 1, Held: 9, Cores: 1},
		{ID: "silent", Capacity: 100, Speed: 100, Cores: 1},
	}, 7)
	set := decide.Settings{Limits: decide.Limits{MaxAttempts: 3}, Classes: []decide.Class{
		{Name: "consult", LatencyObjective: time.Second}, {Name: "rezervare", LatencyObjective: time.Second, Idempotency: decide.NotIdempotent},
	}}
	p := New(set, 100*time.Millisecond, 1, func() *Sight { return sight })
	var list decide.ServerListUpdate
	for _, id := range []string{"a", "b", "full", "silent"} {
		list.Servers = append(list.Servers, decide.Server{ID: id})
	}
	require.Equal(t, []decide.Action{{Kind: decide.Subscribe}}, p.Step(0, &list))
	sent, refused := map[string]int{}, 0
	for id := range uint32(1000) {
		acts := p.Step(0, &decide.Request{ID: id, Class: "consult", ClientTimeout: time.Second})
		require.Len(t, acts, 1)
		if acts[0].Kind != decide.Send {
			refused++
			continue
		}
		sent[acts[0].Server]++
		p.Step(0, &decide.AttemptDone{ID: id, Server: acts[0].Server, Outcome: decide.Served})
	}
	require.InDelta(t, 500, refused, 100, "seven tenths of 5 of 7, and few that were drawn where it is full")
	require.InDelta(t, 3, float64(sent["b"])/float64(sent["a"]), 0.8)
	require.Len(t, sent, 2)
	require.Empty(t, p.requests)

	sight.room = 1
	first := p.Step(0, &decide.Request{ID: 1, Class: "consult", ClientTimeout: time.Second})[0].Server
	again := p.Step(0, &decide.AttemptDone{ID: 1, Server: first, Outcome: decide.ServerError})[0]
	require.Equal(t, decide.Send, again.Kind)
	require.NotEqual(t, first, again.Server)
	first = p.Step(0, &decide.Request{ID: 2, Class: "rezervare", ClientTimeout: time.Second})[0].Server
	require.Equal(t, []decide.Action{{Kind: decide.Fail, ID: 2}},
		p.Step(0, &decide.AttemptDone{ID: 2, Server: first, Outcome: decide.TimedOut}))
}
