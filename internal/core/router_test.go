package core

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/decide"
	"dunestep/internal/flow"
	"dunestep/internal/memory"
	"dunestep/internal/protocol"
)

// Whatever happens in whatever order: one answer for each operation unless its client has gone, nothing sent that
// must not be, nothing left over, and all of it the same when it is played again.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint64(), 1, 120).Draw(t, "script")
		stays, astray := rapid.Bool().Draw(t, "stays"), rapid.Bool().Draw(t, "astray")
		sockets := rapid.SampledFrom([]int{40, 48, 1024}).Draw(t, "sockets")
		first := play(script, stays, astray, sockets)
		require.Empty(t, first.broken)
		require.Equal(t, first.text, play(script, stays, astray, sockets).text)
	})
}

// play reads what happens from a script, lets it come to an end and notes the properties that did not hold. A
// module astray says more than it should: then only what does not rest on it is looked at.
func play(script []uint64, stays, astray bool, sockets int) *day {
	set := deployment()
	set.Rules.OnlyDrainingBind = stays
	d := newDay(set, 4)
	d.descriptors.SetLimit(sockets)
	told := map[string]time.Duration{} // when a server was told to drain or to be gone
	class, last := map[uint32]string{}, map[uint32]uint32{}
	abandoned := false
	var dice uint64
	if astray {
		d.module.adds = func(ev decide.Event) []decide.Action {
			if _, ended := ev.(*decide.AttemptDone); ended {
				return nil
			}
			var acts []decide.Action
			for range 4 {
				dice = dice*6364136223846793005 + 1442695040888963407
				n := int(dice >> 33)
				acts = append(acts, decide.Action{
					Kind: decide.ActionKind(max(n%7-2, 0)), ID: d.router.lastID - uint32(n/7%3),
					Attempt: n / 21 % 4, Server: fmt.Sprint("s-", n/84%5),
					After: time.Duration(n/420%2000-500) * time.Millisecond,
				})
			}
			return acts
		}
	}
	d.react = func(s *attempted) reaction {
		until, drained := told[s.server]
		d.require(astray || !drained || d.now <= until+set.Rules.DrainGrace, "sent after the drain")
		d.require(!abandoned, "sent after the end")
		for _, e := range d.sent {
			if e.id == s.id && e != s && class[s.id] != safe {
				d.require(astray || e.ended && e.outcome.NeverRan(), "an unsafe operation that may have run is sent again")
			}
		}
		dice = dice*6364136223846793005 + 1442695040888963407
		n := int(dice >> 33)
		r := reaction{
			after: time.Duration(n%700) * time.Millisecond, close: n%3 == 0, ended: n%17 == 0,
			saw: Sighting{Phase: Phase(n / 7 % 6), Ending: []Ending{BrokenOff, Spoilt}[n/5%2]},
		}
		if r.saw.Phase > Answering {
			r.saw.Phase, r.saw.Ending = Answering, Completed
			r.saw.Reply = []decide.Outcome{decide.Served, decide.TurnedAway, decide.ServerError}[n/11%3]
		}
		if !s.lease.Reused && n/19%3 == 0 {
			r.waits = time.Duration(n / 23 % 500 * int(time.Millisecond))
		}
		if r.saw.Phase == Answering && r.saw.Reply == decide.Served {
			r.begins = r.after * time.Duration(n/13%2) / 2
		}
		return r
	}
	state := func(i int, s decide.ServerState) {
		e := entry(i%5, s)
		e.Addr = netip.AddrPortFrom(e.Addr.Addr(), e.Addr.Port()+uint16(i>>7)) // it moves
		if delete(told, e.ID); s != decide.Ready && !(stays && s == decide.Gone) {
			told[e.ID] = d.now
		}
		d.do(d.router.PoolNews(d.now, decide.SyncChange, protocol.PoolConfig{Servers: []protocol.PoolServer{e}}, decide.Word{}))
	}
	for i, n := range script {
		dice ^= n
		switch arg := int(n >> 8 & 0xff); n % 16 {
		case 0, 1, 2, 3:
			c := []string{safe, fragile, "other"}[min(arg%5, 4)/2]
			id := uint32(arg >> 3)
			next := d.router.lastID + 1
			class[next] = c
			last[id] = d.arriveIn(c, fmt.Sprint(id), []time.Duration{900, 300, 120, 20}[n>>16%4]*time.Millisecond)
		case 4, 5:
			d.leave(last[uint32(arg>>3)])
		case 6:
			state(arg, decide.Ready)
		case 7:
			state(arg, decide.ServerState(arg>>4%3))
		case 8:
			told = map[string]time.Duration{"s-2": d.now, "s-3": d.now, "s-4": d.now}
			d.list(decide.SyncFull, 2, decide.Ready)
		case 9:
			d.do(d.router.Reclaim())
		case 10:
			d.do(d.router.PeerSays(d.now, protocol.Datagram{Agent: arg % 4, Data: make([]byte, arg%7)}))
		case 11:
			d.do(d.router.PoolNews(d.now, decide.SyncFailed, protocol.PoolConfig{}, decide.Word{}))
		case 12:
			if i > len(script)/2 {
				abandoned = true
				d.do(d.router.Abandon())
			}
		case 13: // ends that nobody waits for, or that come too early
			if s := d.steps[stepRef{uint32(arg), arg%4 - 1}]; s != nil {
				s.unwanted = true // the router takes it for over
			}
			d.do(d.router.StepEnded(d.now, uint32(arg), arg%4-1, whole(decide.Served).saw))
		case 14:
			if p := d.pools[fmt.Sprint("s-", arg%4)]; p != nil && len(p.idle) > 0 {
				d.close(p.Ended(p.idle[arg%len(p.idle)].conn))
			}
		default:
			d.run(time.Duration(arg*arg) * 20 * time.Microsecond)
		}
	}
	d.run(time.Minute)
	d.finished()
	return d
}

// finished notes what is left over where everything has had its time.
func (d *day) finished() {
	for id := range d.router.lastID {
		n := len(d.answers[id+1])
		owed := !d.gone[id+1] && d.module.adds == nil
		d.require(n == 1 || n == 0 && !owed, fmt.Sprint(n, " answers"))
		d.require(d.forgot[id+1] == 1 || d.forgot[id+1] == 0 && d.module.adds != nil, "not forgotten once")
	}
	left := len(d.router.operations) + len(d.router.ids)
	d.require(left == 0 || d.module.adds != nil, "operations are left")
	d.require(len(d.open) == 0 && d.descriptors.upstream == 0, "connections are left")
	for id, p := range d.pools {
		d.require(p.busy == 0 && len(p.idle) == 0, "steps are left at "+id)
	}
	for _, p := range d.retired {
		d.require(p.Done() && len(p.idle) == 0, "steps are left at one that has left")
	}
}

// What a booking server does, and what it means. The first step of an operation meets it, a further one is
// served. An unsafe operation goes out again only where it cannot have run.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		first    reaction
		neverRan bool
		becomes  decide.Outcome
	}{
		"served":          {whole(decide.Served), false, decide.Served},
		"error":           {whole(decide.ServerError), false, decide.ServerError},
		"turned away":     {whole(decide.TurnedAway), true, decide.TurnedAway},
		"no connection":   {broke(Connecting), true, decide.NoConnection},
		"not written":     {broke(Writing), true, decide.NoConnection},
		"no answer begun": {broke(Waiting), false, decide.ConnectionLost},
		"cut":             {broke(Answering), false, decide.ConnectionLost},
		"spoilt":          {reaction{saw: Sighting{Phase: Answering, Ending: Spoilt}}, false, decide.ServerError},
	} {
		d := newDay(deployment(), 3)
		for _, class := range []string{safe, fragile} {
			first := true
			d.react = func(*attempted) reaction {
				if first {
					first = false
					return c.first
				}
				return whole(decide.Served)
			}
			want, steps := protocol.Served, 2
			if c.becomes == decide.Served {
				steps = 1
			} else if class == fragile && !c.neverRan {
				want, steps = protocol.Failed, 1
			}
			got, n := d.ask(class)
			require.Equal(t, want, got, "%s %s", name, class)
			require.Equal(t, steps, n, "%s %s", name, class)
			require.Equal(t, c.becomes, d.sent[len(d.sent)-n].outcome, name)
		}
		require.Empty(t, d.broken)
	}
}

// Silence is given up at the aim and answered at once; a client's time counts from its sending, not from when its
// request was read; without a server, or abandoned, it is answered without a step.
func TestAnswersInTime(t *testing.T) {
	var at []time.Duration
	var d *day
	for _, c := range []struct {
		class string
		age   time.Duration
		kind  protocol.AnswerKind
	}{{safe, 0, protocol.BusyReply}, {fragile, 0, protocol.Failed}, {fragile, 700 * time.Millisecond, protocol.Failed}} {
		d = newDay(deployment(), 1)
		d.react = func(*attempted) reaction { return silent }
		id := d.come(&protocol.Operation{CorrelationID: "1", Class: c.class, TimeLeft: 900 * time.Millisecond}, c.age)
		for len(d.answers[id]) == 0 {
			d.run(time.Millisecond)
		}
		at = append(at, d.now-epoch)
		require.Len(t, d.sent, 1)
		require.Equal(t, decide.NoAnswer, d.sent[0].outcome)
		require.Equal(t, c.kind, d.answers[id][0].Result)
		require.Equal(t, c.kind == protocol.BusyReply, d.answers[id][0].After > 0)
	}
	require.Equal(t, []time.Duration{495 * time.Millisecond, 495 * time.Millisecond, 195 * time.Millisecond}, at)

	d = newDay(deployment(), 3)
	for i := range uint32(9) {
		require.Equal(t, i+1, d.arrive(safe, fmt.Sprint(i)))
	}
	for i, o := range d.router.Abandon() { // in the order in which they came
		want := Output{Kind: UnwantStep, Operation: uint32(i/2 + 1)}
		if i%2 == 1 {
			want = Output{Kind: Answer, Operation: want.Operation, Result: protocol.Failed, Text: failedText}
		}
		require.Equal(t, want, o)
	}
	require.Equal(t, protocol.BusyReply, d.answers[d.arrive(safe, "late")][0].Result)

	d = newDay(deployment(), 0)
	require.False(t, d.router.Ready())
	require.Equal(t, 1, d.subs)
	kind, _ := d.ask(safe)
	require.Equal(t, protocol.BusyReply, kind)
	d.list(decide.SyncChange, 1, decide.Ready)
	require.True(t, d.router.Ready())
	d.list(decide.SyncChange, 1, decide.Draining)
	require.False(t, d.router.Ready())
	require.Empty(t, d.broken)
}

// Ids on the socket have 64 bits and are in use until nothing of their operation is out, its client gone or not.
// Those in use and unknown classes are turned away and sent to nobody.
func TestIds(t *testing.T) {
	d := newDay(deployment(), 2)
	n := d.arrive(fragile, "1111111100000007")
	other := d.arrive(fragile, "2222222200000007")
	require.NotEqual(t, n, other)
	require.Equal(t, protocol.Malformed, d.answers[d.arrive(fragile, "1111111100000007")][0].Result)
	require.Equal(t, protocol.Malformed, d.answers[d.arrive("other", "3")][0].Result)
	d.leave(n)
	require.Equal(t, protocol.Malformed, d.answers[d.arrive(safe, "1111111100000007")][0].Result)
	d.run(time.Second)
	require.Empty(t, d.answers[n], "its client has gone")
	require.Contains(t, d.module.heard, &decide.ClientGone{ID: n})
	require.Len(t, d.answers[other], 1)
	require.Len(t, d.sent, 2)
	d.arrive(safe, "1111111100000007")
	require.Len(t, d.sent, 3)

	// Numbers that come round again pass over those in use.
	d.router.lastID = d.sent[2].id - 1
	require.NotEqual(t, d.sent[2].id, d.arrive(safe, "round"))
}

// Guards against work for clients that have gone, and against a second copy of an answer that has begun.
func TestAnswerThatBegins(t *testing.T) {
	for _, c := range []struct {
		ends func(*day, uint32)
		end  Ending
		want decide.Outcome
	}{
		{func(*day, uint32) {}, Completed, decide.Served},
		{func(*day, uint32) {}, BrokenOff, decide.ConnectionLost},
		{(*day).leave, Completed, decide.CalledOff},
		{func(d *day, _ uint32) { d.do(d.router.Abandon()) }, Completed, decide.CalledOff},
	} {
		d := newDay(deployment(), 2)
		d.react = func(*attempted) reaction {
			return reaction{
				begins: 10 * time.Millisecond, after: 100 * time.Millisecond,
				saw: Sighting{Phase: Answering, Ending: c.end},
			}
		}
		n := d.arrive(safe, "a")
		d.run(50 * time.Millisecond)
		require.Len(t, d.answers[n], 1)
		require.True(t, d.answers[n][0].Begins)
		c.ends(d, n)
		c.ends(d, n)
		d.run(time.Second)
		require.Len(t, d.sent, 1, "not tried again")
		require.Equal(t, c.want, d.sent[0].outcome)
		require.Contains(t, d.module.heard, &decide.StreamStarted{ID: n})
		require.True(t, slices.ContainsFunc(d.module.heard, func(ev decide.Event) bool {
			done, is := ev.(*decide.AttemptDone)
			return is && done.Finished
		}))
		d.run(time.Minute)
		d.finished()
		require.Empty(t, d.broken)
	}
}

// Guards against work for nobody: a step whose connection is still to come up ends when the client leaves, or when
// another one is served, and says nothing of its booking server.
func TestNothingIsSentOnForNobody(t *testing.T) {
	for _, class := range []string{safe, fragile} {
		d := newDay(deployment(), 2)
		d.react = func(*attempted) reaction {
			r := whole(decide.Served)
			r.waits = 300 * time.Millisecond
			return r
		}
		n := d.arrive(class, "a")
		d.run(100 * time.Millisecond)
		d.leave(n)
		d.run(time.Second)
		require.Len(t, d.sent, 1)
		require.Equal(t, decide.CalledOff, d.sent[0].outcome)
		require.False(t, d.sent[0].sentOn && !d.sent[0].ended)
		d.finished()
		require.Empty(t, d.broken)
	}
}

// BenchmarkOperation carries one operation through Router and Pool, with the module: arrival, step, reuse of a
// connection, answer.
func BenchmarkOperation(b *testing.B) {
	d := newDay(deployment(), 0)
	d.router = NewRouter(deployment(), d.module.Balancer) // nobody listens
	d.list(decide.SyncSaved, 13, decide.Ready)
	op := &protocol.Operation{
		CorrelationID: "9b1f03aa5c7e2d41", Class: safe, Key: "7f3a9c21e0b4d655",
		TimeLeft: 900 * time.Millisecond,
	}
	now := d.now
	b.ReportAllocs()
	for b.Loop() {
		now += 3 * time.Millisecond
		id, out := d.router.Arrive(now, op, now)
		pool := d.pools[out[0].Server]
		lease, _ := pool.Begin(now)
		d.limit.Note(now, lease.Stood, false)
		d.router.StepEnded(now+time.Millisecond, id, 0, Sighting{
			Phase: Answering, Ending: Completed,
			Latency: time.Millisecond,
		})
		pool.Over(now+time.Millisecond, 1, lease.Addr, false)
	}
}

// The time of an operation that is still coming counts from its last byte; one of which a part is gone is not sent
// again, and refused at once where it never ran.
func TestOperationThatIsComing(t *testing.T) {
	d := newDay(deployment(), 2)
	kinds := func(out []Output, kind OutputKind) (found []Output) {
		for _, o := range out {
			if o.Kind == kind {
				found = append(found, o)
			}
		}
		return found
	}
	arrive := func(id string) (uint32, Output) {
		op := &protocol.Operation{
			CorrelationID: id, Class: fragile, Length: -1, TimeLeft: 900 * time.Millisecond,
			Rest: flow.New(-1, memory.Grant{}, 0),
		}
		n, out := d.router.Arrive(d.now, op, d.now)
		starts := kinds(out, StartStep)
		require.Len(t, starts, 1)
		return n, starts[0]
	}
	n, start := arrive("a")
	require.Equal(t, d.now+comesWithin, start.At)
	require.Positive(t, start.After)
	require.LessOrEqual(t, start.After, 900*time.Millisecond)
	d.now += time.Minute
	retimed := kinds(d.router.Whole(d.now, n), RetimeStep)
	require.Len(t, retimed, 1)
	require.Equal(t, []time.Duration{d.now + 900*time.Millisecond - AnswerMargin, d.now + min(start.After, 895*time.Millisecond)},
		[]time.Duration{retimed[0].Deadline, retimed[0].At})
	require.Empty(t, d.router.Whole(d.now, n), "once")
	out := d.router.StepEnded(d.now, n, 0, Sighting{Phase: Answering, Ending: Completed, Reply: decide.Served})
	require.Equal(t, protocol.Served, kinds(out, Answer)[0].Result)

	n, _ = arrive("b")
	out = d.router.StepEnded(d.now, n, 0, Sighting{Phase: Writing, Ending: BrokenOff, Spent: true})
	require.Empty(t, kinds(out, StartStep))
	require.Equal(t, protocol.BusyReply, kinds(out, Answer)[0].Result)
	require.Empty(t, d.router.Whole(d.now, n), "it is forgotten")
}
