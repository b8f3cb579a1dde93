package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/decide"
	"dunestep/internal/protocol"
)

// Whatever discovery, bans, lifts and upgrades do in whatever order: what the module is told last of a booking
// server is that it drains, if and only if it is out by hand or discovery says so; after a lift it counts as
// started then, or as discovery has told since; and the list that is kept is discovery's.
func TestBans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, version := 100*time.Hour, int64(1)
		l := NewList(here, protocol.PoolConfig{}, nil)
		l.Subscribe()
		said := map[string]protocol.PoolServer{}  // by discovery
		heard := map[string]protocol.PoolServer{} // by the module
		bans := map[string]bool{}
		ever := map[string]bool{}
		hear := func(out []ListOutput) {
			for _, o := range out {
				if o.Kind != News {
					continue
				}
				if o.Sync == decide.SyncFull || o.Sync == decide.SyncSaved {
					clear(heard)
				}
				for _, s := range o.Config.Servers {
					if heard[s.ID] = s; s.State == decide.Gone {
						delete(heard, s.ID)
					}
				}
				require.Equal(t, o.Word.Local, !o.Confirms && len(o.Told.Servers) == 0)
			}
		}
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		state := rapid.SampledFrom([]decide.ServerState{decide.Ready, decide.Ready, decide.Draining, decide.Gone})
		t.Repeat(map[string]func(*rapid.T){
			"says": func(t *rapid.T) {
				version++
				c := protocol.PoolConfig{Version: version, Full: rapid.Bool().Draw(t, "full")}
				if c.Full {
					clear(said)
				}
				for _, id := range rapid.SliceOfNDistinct(ids, 0, 4, rapid.ID).Draw(t, "ids") {
					s := protocol.PoolServer{Server: decide.Server{
						ID: id, State: state.Draw(t, "state"),
						Started: time.Duration(rapid.IntRange(0, 2).Draw(t, "started")),
					}}
					if said[id] = s; s.State == decide.Gone {
						delete(said, id)
					} else {
						ever[id] = true
					}
					c.Servers = append(c.Servers, s)
				}
				hear(l.CallSays(1, c))
			},
			"ban": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				out, listed, err := l.Ban(id, now)
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
				out, listed := l.Lift(id, now)
				hear(out)
				require.Equal(t, ever[id], listed)
				if bans[id] && heard[id].State == decide.Ready {
					require.Contains(t, []time.Duration{now, said[id].Started}, heard[id].Started)
				}
				delete(bans, id)
			},
			"other process": func(t *rapid.T) { hear(l.JoinBans(l.Bans())) },
			"upgrade": func(*rapid.T) {
				list := protocol.PoolConfig{Version: version, Full: true}
				for _, id := range sorted(said) {
					list.Servers = append(list.Servers, said[id])
				}
				l = NewList(here, list, l.Bans())
				l.Subscribe()
				clear(heard)
				hear([]ListOutput{{Kind: News, Sync: decide.SyncSaved, Config: l.Known(list), Confirms: true}})
				for id := range ever { // what neither is listed nor out is not known any more
					ever[id] = l.seen[id]
				}
			},
			"": func(t *rapid.T) {
				own := l.Servers()
				require.Len(t, own, len(said))
				for _, s := range own {
					require.Equal(t, heard[s.ID].State, s.State)
				}
				for id, s := range said {
					drains := bans[id] || s.State == decide.Draining
					require.Equal(t, drains, heard[id].State == decide.Draining, id)
				}
				require.Len(t, heard, len(said))
				listed, out := l.Size()
				require.Equal(t, len(said), listed)
				require.LessOrEqual(t, out, listed)
			},
		})
	})
}

// Bans are bounded, and what has been put back makes room.
func TestBansAreBounded(t *testing.T) {
	l := NewList(here, protocol.PoolConfig{}, nil)
	for i := range mostBans + 1 {
		l.see(fmt.Sprint(i))
	}
	ban := func(i int) error {
		_, listed, err := l.Ban(fmt.Sprint(i), time.Hour)
		require.True(t, listed)
		return err
	}
	for i := range mostBans {
		require.NoError(t, ban(i))
	}
	require.ErrorIs(t, ban(mostBans), ErrTooManyBans)
	l.Lift("7", time.Hour)
	require.NoError(t, ban(mostBans))
	for i := range 2 * mostSeen {
		l.see(fmt.Sprint("s-", i))
	}
	require.Len(t, l.seen, mostSeen)
	require.Len(t, l.order, mostSeen)
}

// Two processes of one agent are told different things by hand, hear of one another late and in any order, and one
// starts anew from what the other knows: in the end both hold what was said last of each booking server.
func TestBansOfTwoProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 100 * time.Hour
		ids := []string{"a", "b", "c"}
		var known protocol.PoolConfig
		for _, id := range ids {
			known.Servers = append(known.Servers, protocol.PoolServer{Server: decide.Server{ID: id, State: decide.Ready}})
		}
		lists := []*List{NewList(here, known, nil), NewList(here, known, nil)}
		var notes [][]Ban // on their way
		last := map[string]bool{}
		which := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"told": func(t *rapid.T) {
				now += time.Millisecond
				l, id := lists[which.Draw(t, "process")], rapid.SampledFrom(ids).Draw(t, "id")
				if ban := rapid.Bool().Draw(t, "ban"); ban && !l.banned(id) {
					_, _, err := l.Ban(id, now)
					require.NoError(t, err)
					last[id] = true
				} else if !ban && l.banned(id) {
					l.Lift(id, now)
					last[id] = false
				}
				notes = append(notes, l.Bans())
			},
			"heard": func(t *rapid.T) {
				if n := len(notes); n > 0 {
					lists[which.Draw(t, "process")].JoinBans(notes[rapid.IntRange(0, n-1).Draw(t, "note")])
				}
			},
			"starts anew": func(t *rapid.T) {
				from := which.Draw(t, "process")
				lists[1-from] = NewList(here, known, MergeBans(lists[1-from].Bans(), lists[from].Bans()))
			},
			"": func(t *rapid.T) {
				one, other := NewList(here, known, lists[0].Bans()), NewList(here, known, lists[1].Bans())
				one.JoinBans(lists[1].Bans())
				other.JoinBans(lists[0].Bans())
				require.Equal(t, one.Bans(), other.Bans())
				for _, id := range ids {
					require.Equal(t, last[id], one.banned(id), id)
				}
			},
		})
	})
}

// What another process tells is bounded too, whatever it tells, and what the bound drops is passed on as it is now.
func TestJoinedBansAreBounded(t *testing.T) {
	l := NewList(here, protocol.PoolConfig{}, nil)
	for i := 4; i > 0; i-- { // those that come later stand first by their ids
		var told []Ban
		for n := range mostBans {
			told = append(told, Ban{ID: fmt.Sprintf("%d-%04d", i, n), Set: 1})
		}
		l.JoinBans(told)
		require.Len(t, l.Bans(), mostBans)
	}
}
