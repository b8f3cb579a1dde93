package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// For any order of updates, operators' commands and upgrades: the decision module sees an endpoint as draining if and only if
// it is disabled or discovery reports it as draining. After it is enabled, its start time is that of the command, or a
// later one from discovery. The list to be stored is discovery's.
func TestDisabledEndpointsDrainUntilEnabled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, version := 100*time.Hour, int64(1)
		l := NewListTracker(firstAddr, protocol.EndpointList{}, nil)
		l.Watch()
		discovered := map[string]protocol.Endpoint{} // as discovery sent them
		published := map[string]protocol.Endpoint{}  // as the decision module sees them
		disabled := map[string]bool{}
		everListed := map[string]bool{}
		publish := func(out []ListOutput) {
			for _, o := range out {
				if o.Kind != ListUpdate {
					continue
				}
				if o.Update == balancer.UpdateFull || o.Update == balancer.UpdateCached {
					clear(published)
				}
				for _, s := range o.List.Endpoints {
					if published[s.ID] = s; s.State == balancer.Gone {
						delete(published, s.ID)
					}
				}
				require.Equal(t, o.Watch.Local, !o.Confirms && len(o.DiscoveryList.Endpoints) == 0)
			}
		}
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		state := rapid.SampledFrom([]balancer.ServerState{balancer.Ready, balancer.Ready, balancer.Draining, balancer.Gone})
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				version++
				c := protocol.EndpointList{Version: version, Full: rapid.Bool().Draw(t, "full")}
				if c.Full {
					clear(discovered)
				}
				for _, id := range rapid.SliceOfNDistinct(ids, 0, 4, rapid.ID).Draw(t, "ids") {
					s := protocol.Endpoint{Server: balancer.Server{
						ID: id, State: state.Draw(t, "state"),
						StartedAt: time.Duration(rapid.IntRange(0, 2).Draw(t, "started")),
					}}
					if discovered[id] = s; s.State == balancer.Gone {
						delete(discovered, id)
					} else {
						everListed[id] = true
					}
					c.Endpoints = append(c.Endpoints, s)
				}
				publish(l.CallReceived(1, c))
			},
			"disable": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				out, listed, err := l.Disable(id, now)
				publish(out)
				require.NoError(t, err)
				require.Equal(t, everListed[id], listed)
				if listed {
					disabled[id] = true
				}
			},
			"enable": func(t *rapid.T) {
				now += time.Second
				id := ids.Draw(t, "id")
				out, listed := l.Enable(id, now)
				publish(out)
				require.Equal(t, everListed[id], listed)
				if disabled[id] && published[id].State == balancer.Ready {
					require.Contains(t, []time.Duration{now, discovered[id].StartedAt}, published[id].StartedAt)
				}
				delete(disabled, id)
			},
			"other process": func(t *rapid.T) { publish(l.MergeDisabled(l.Disabled())) },
			"upgrade": func(*rapid.T) {
				list := protocol.EndpointList{Version: version, Full: true}
				for _, id := range sorted(discovered) {
					list.Endpoints = append(list.Endpoints, discovered[id])
				}
				l = NewListTracker(firstAddr, list, l.Disabled())
				l.Watch()
				clear(published)
				publish([]ListOutput{{Kind: ListUpdate, Update: balancer.UpdateCached, List: l.ApplyDisabled(list), Confirms: true}})
				for id := range everListed { // ids that are neither listed nor disabled are not remembered
					everListed[id] = l.knownIDs[id]
				}
			},
			"": func(t *rapid.T) {
				endpoints := l.Endpoints()
				require.Len(t, endpoints, len(discovered))
				for _, s := range endpoints {
					require.Equal(t, published[s.ID].State, s.State)
				}
				for id, s := range discovered {
					isDraining := disabled[id] || s.State == balancer.Draining
					require.Equal(t, isDraining, published[id].State == balancer.Draining, id)
				}
				require.Len(t, published, len(discovered))
				listed, disabledCount := l.Size()
				require.Equal(t, len(discovered), listed)
				require.LessOrEqual(t, disabledCount, listed)
			},
		})
	})
}

// At the maximum number of disabled endpoints, those that were enabled again are forgotten to make room. The
// remembered ids are bounded too.
func TestDisabledEndpointsAreBounded(t *testing.T) {
	l := NewListTracker(firstAddr, protocol.EndpointList{}, nil)
	for i := range maxDisabled + 1 {
		l.rememberID(fmt.Sprint(i))
	}
	disable := func(i int) error {
		_, listed, err := l.Disable(fmt.Sprint(i), time.Hour)
		require.True(t, listed)
		return err
	}
	for i := range maxDisabled {
		require.NoError(t, disable(i))
	}
	require.ErrorIs(t, disable(maxDisabled), ErrTooManyDisabled)
	l.Enable("7", time.Hour)
	require.NoError(t, disable(maxDisabled))
	for i := range 2 * maxRememberedIDs {
		l.rememberID(fmt.Sprint("s-", i))
	}
	require.Len(t, l.knownIDs, maxRememberedIDs)
	require.Len(t, l.knownOrder, maxRememberedIDs)
}

// Two processes of one agent get different commands and receive each other's reports late and in any order, and one restarts
// from the other's state. After they exchange their states, both have the last command for each endpoint.
func TestDisabledEndpointsOfTwoProcessesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 100 * time.Hour
		ids := []string{"a", "b", "c"}
		var known protocol.EndpointList
		for _, id := range ids {
			known.Endpoints = append(known.Endpoints, protocol.Endpoint{Server: balancer.Server{ID: id, State: balancer.Ready}})
		}
		lists := []*ListTracker{NewListTracker(firstAddr, known, nil), NewListTracker(firstAddr, known, nil)}
		var reports [][]DisabledEndpoint // sent and not yet delivered
		last := map[string]bool{}
		which := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"command": func(t *rapid.T) {
				now += time.Millisecond
				l, id := lists[which.Draw(t, "process")], rapid.SampledFrom(ids).Draw(t, "id")
				if disable := rapid.Bool().Draw(t, "disable"); disable && !l.isDisabled(id) {
					_, _, err := l.Disable(id, now)
					require.NoError(t, err)
					last[id] = true
				} else if !disable && l.isDisabled(id) {
					l.Enable(id, now)
					last[id] = false
				}
				reports = append(reports, l.Disabled())
			},
			"report": func(t *rapid.T) {
				if n := len(reports); n > 0 {
					lists[which.Draw(t, "process")].MergeDisabled(reports[rapid.IntRange(0, n-1).Draw(t, "report")])
				}
			},
			"restart": func(t *rapid.T) {
				from := which.Draw(t, "process")
				lists[1-from] = NewListTracker(firstAddr, known, MergeDisabled(lists[1-from].Disabled(), lists[from].Disabled()))
			},
			"": func(t *rapid.T) {
				one, other := NewListTracker(firstAddr, known, lists[0].Disabled()), NewListTracker(firstAddr, known, lists[1].Disabled())
				one.MergeDisabled(lists[1].Disabled())
				other.MergeDisabled(lists[0].Disabled())
				require.Equal(t, one.Disabled(), other.Disabled())
				for _, id := range ids {
					require.Equal(t, last[id], one.isDisabled(id), id)
				}
			},
		})
	})
}

// The entries merged from another process's reports are bounded too.
func TestMergedDisabledEndpointsAreBounded(t *testing.T) {
	l := NewListTracker(firstAddr, protocol.EndpointList{}, nil)
	for i := 4; i > 0; i-- { // later reports have smaller ids
		var reported []DisabledEndpoint
		for n := range maxDisabled {
			reported = append(reported, DisabledEndpoint{ID: fmt.Sprintf("%d-%04d", i, n), DisabledAt: 1})
		}
		l.MergeDisabled(reported)
		require.Len(t, l.Disabled(), maxDisabled)
	}
}
