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

// Whatever discovery, bans, lifts and upgrades do in whatever order: what the module is told last of a booking
// server is that it drains, if and only if it is out by hand or discovery says so; after a lift it counts as
// started then, or as discovery has told since; and the list that is kept is discovery's.
func TestBans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, version := 100*time.Hour, int64(1)
		l := NewListTracker(here, protocol.EndpointList{}, nil)
		l.Watch()
		said := map[string]protocol.Endpoint{}  // by discovery
		heard := map[string]protocol.Endpoint{} // by the module
		bans := map[string]bool{}
		ever := map[string]bool{}
		hear := func(out []ListOutput) {
			for _, o := range out {
				if o.Kind != ListUpdate {
					continue
				}
				if o.Update == balancer.UpdateFull || o.Update == balancer.UpdateCached {
					clear(heard)
				}
				for _, s := range o.List.Endpoints {
					if heard[s.ID] = s; s.State == balancer.Gone {
						delete(heard, s.ID)
					}
				}
				require.Equal(t, o.Watch.Local, !o.Confirms && len(o.DiscoveryList.Endpoints) == 0)
			}
		}
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		state := rapid.SampledFrom([]balancer.ServerState{balancer.Ready, balancer.Ready, balancer.Draining, balancer.Gone})
		t.Repeat(map[string]func(*rapid.T){
			"says": func(t *rapid.T) {
				version++
				c := protocol.EndpointList{Version: version, Full: rapid.Bool().Draw(t, "full")}
				if c.Full {
					clear(said)
				}
				for _, id := range rapid.SliceOfNDistinct(ids, 0, 4, rapid.ID).Draw(t, "ids") {
					s := protocol.Endpoint{Server: balancer.Server{
						ID: id, State: state.Draw(t, "state"),
						StartedAt: time.Duration(rapid.IntRange(0, 2).Draw(t, "started")),
					}}
					if said[id] = s; s.State == balancer.Gone {
						delete(said, id)
					} else {
						ever[id] = true
					}
					c.Endpoints = append(c.Endpoints, s)
				}
				hear(l.CallReceived(1, c))
			},
			"ban": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				out, listed, err := l.Disable(id, now)
				hear(out)
				require.NoError(t, err)
				require.Equal(t, ever[id], listed)
				if listed {
					bans[id] = true
				}
			},
			"lift": func(t *rapid.T) {
				now += time.Second
				id := ids.Draw(t, "id")
				out, listed := l.Enable(id, now)
				hear(out)
				require.Equal(t, ever[id], listed)
				if bans[id] && heard[id].State == balancer.Ready {
					require.Contains(t, []time.Duration{now, said[id].StartedAt}, heard[id].StartedAt)
				}
				delete(bans, id)
			},
			"other process": func(t *rapid.T) { hear(l.MergeDisabled(l.Disabled())) },
			"upgrade": func(*rapid.T) {
				list := protocol.EndpointList{Version: version, Full: true}
				for _, id := range sorted(said) {
					list.Endpoints = append(list.Endpoints, said[id])
				}
				l = NewListTracker(here, list, l.Disabled())
				l.Watch()
				clear(heard)
				hear([]ListOutput{{Kind: ListUpdate, Update: balancer.UpdateCached, List: l.ApplyDisabled(list), Confirms: true}})
				for id := range ever { // what neither is listed nor out is not known any more
					ever[id] = l.knownIDs[id]
				}
			},
			"": func(t *rapid.T) {
				own := l.Endpoints()
				require.Len(t, own, len(said))
				for _, s := range own {
					require.Equal(t, heard[s.ID].State, s.State)
				}
				for id, s := range said {
					drains := bans[id] || s.State == balancer.Draining
					require.Equal(t, drains, heard[id].State == balancer.Draining, id)
				}
				require.Len(t, heard, len(said))
				listed, out := l.Size()
				require.Equal(t, len(said), listed)
				require.LessOrEqual(t, out, listed)
			},
		})
	})
}

// Disabled are bounded, and what has been put back makes room.
func TestBansAreBounded(t *testing.T) {
	l := NewListTracker(here, protocol.EndpointList{}, nil)
	for i := range maxDisabled + 1 {
		l.rememberID(fmt.Sprint(i))
	}
	ban := func(i int) error {
		_, listed, err := l.Disable(fmt.Sprint(i), time.Hour)
		require.True(t, listed)
		return err
	}
	for i := range maxDisabled {
		require.NoError(t, ban(i))
	}
	require.ErrorIs(t, ban(maxDisabled), ErrTooManyDisabled)
	l.Enable("7", time.Hour)
	require.NoError(t, ban(maxDisabled))
	for i := range 2 * maxRememberedIDs {
		l.rememberID(fmt.Sprint("s-", i))
	}
	require.Len(t, l.knownIDs, maxRememberedIDs)
	require.Len(t, l.knownOrder, maxRememberedIDs)
}

// Two processes of one agent are told different things by hand, hear of one another late and in any order, and one
// starts anew from what the other knows: in the end both hold what was said last of each booking server.
func TestBansOfTwoProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 100 * time.Hour
		ids := []string{"a", "b", "c"}
		var known protocol.EndpointList
		for _, id := range ids {
			known.Endpoints = append(known.Endpoints, protocol.Endpoint{Server: balancer.Server{ID: id, State: balancer.Ready}})
		}
		lists := []*ListTracker{NewListTracker(here, known, nil), NewListTracker(here, known, nil)}
		var notes [][]DisabledEndpoint // on their way
		last := map[string]bool{}
		which := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"told": func(t *rapid.T) {
				now += time.Millisecond
				l, id := lists[which.Draw(t, "process")], rapid.SampledFrom(ids).Draw(t, "id")
				if ban := rapid.Bool().Draw(t, "ban"); ban && !l.isDisabled(id) {
					_, _, err := l.Disable(id, now)
					require.NoError(t, err)
					last[id] = true
				} else if !ban && l.isDisabled(id) {
					l.Enable(id, now)
					last[id] = false
				}
				notes = append(notes, l.Disabled())
			},
			"heard": func(t *rapid.T) {
				if n := len(notes); n > 0 {
					lists[which.Draw(t, "process")].MergeDisabled(notes[rapid.IntRange(0, n-1).Draw(t, "note")])
				}
			},
			"starts anew": func(t *rapid.T) {
				from := which.Draw(t, "process")
				lists[1-from] = NewListTracker(here, known, MergeDisabled(lists[1-from].Disabled(), lists[from].Disabled()))
			},
			"": func(t *rapid.T) {
				one, other := NewListTracker(here, known, lists[0].Disabled()), NewListTracker(here, known, lists[1].Disabled())
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

// What another process tells is bounded too, whatever it tells, and what the bound drops is passed on as it is now.
func TestJoinedBansAreBounded(t *testing.T) {
	l := NewListTracker(here, protocol.EndpointList{}, nil)
	for i := 4; i > 0; i-- { // those that come later stand first by their ids
		var told []DisabledEndpoint
		for n := range maxDisabled {
			told = append(told, DisabledEndpoint{ID: fmt.Sprintf("%d-%04d", i, n), DisabledAt: 1})
		}
		l.MergeDisabled(told)
		require.Len(t, l.Disabled(), maxDisabled)
	}
}
