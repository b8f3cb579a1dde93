package routing

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
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
	set.Rules.GoneUsable = stays
	d := newDay(set, 4)
	d.descriptors.SetLimit(sockets)
	told := map[string]time.Duration{} // when a server was told to drain or to be gone
	class, last := map[uint32]string{}, map[uint32]uint32{}
	abandoned := false
	var dice uint64
	if astray {
		d.module.adds = func(ev balancer.Event) []balancer.Action {
			if _, ended := ev.(*balancer.AttemptDone); ended {
				return nil
			}
			var acts []balancer.Action
			for range 4 {
				dice = dice*6364136223846793005 + 1442695040888963407
				n := int(dice >> 33)
				acts = append(acts, balancer.Action{
					Kind: balancer.ActionKind(max(n%7-2, 0)), ID: d.router.lastID - uint32(n/7%3),
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
				d.require(astray || e.ended && e.outcome.Unprocessed(), "an unsafe operation that may have run is sent again")
			}
		}
		dice = dice*6364136223846793005 + 1442695040888963407
		n := int(dice >> 33)
		r := reaction{
			after: time.Duration(n%700) * time.Millisecond, close: n%3 == 0, ended: n%17 == 0,
			saw: AttemptResult{Phase: AttemptPhase(n / 7 % 6), EndReason: []EndReason{BrokenByEndpoint, InvalidResponse}[n/5%2]},
		}
		if r.saw.Phase > Responding {
			r.saw.Phase, r.saw.EndReason = Responding, Completed
			r.saw.Response = []balancer.Outcome{balancer.Served, balancer.Rejected, balancer.ServerError}[n/11%3]
		}
		if !s.lease.Reused && n/19%3 == 0 {
			r.waits = time.Duration(n / 23 % 500 * int(time.Millisecond))
		}
		if r.saw.Phase == Responding && r.saw.Response == balancer.Served {
			r.begins = r.after * time.Duration(n/13%2) / 2
		}
		return r
	}
	state := func(i int, s balancer.ServerState) {
		e := entry(i%5, s)
		e.Addr = netip.AddrPortFrom(e.Addr.Addr(), e.Addr.Port()+uint16(i>>7)) // it moves
		if delete(told, e.ID); s != balancer.Ready && !(stays && s == balancer.Gone) {
			told[e.ID] = d.now
		}
		d.do(d.router.ListUpdated(d.now, balancer.UpdateIncremental, protocol.EndpointList{Endpoints: []protocol.Endpoint{e}}, balancer.WatchStatus{}))
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
			state(arg, balancer.Ready)
		case 7:
			state(arg, balancer.ServerState(arg>>4%3))
		case 8:
			told = map[string]time.Duration{"s-2": d.now, "s-3": d.now, "s-4": d.now}
			d.list(balancer.UpdateFull, 2, balancer.Ready)
		case 9:
			d.do(d.router.ReleaseIdle())
		case 10:
			d.do(d.router.DatagramReceived(d.now, protocol.Datagram{Agent: arg % 4, Data: make([]byte, arg%7)}))
		case 11:
			d.do(d.router.ListUpdated(d.now, balancer.UpdateFailed, protocol.EndpointList{}, balancer.WatchStatus{}))
		case 12:
			if i > len(script)/2 {
				abandoned = true
				d.do(d.router.FailAll())
			}
		case 13: // ends that nobody waits for, or that come too early
			if s := d.steps[stepRef{uint32(arg), arg%4 - 1}]; s != nil {
				s.unwanted = true // the router takes it for over
			}
			d.do(d.router.AttemptEnded(d.now, uint32(arg), arg%4-1, whole(balancer.Served).saw))
		case 14:
			if p := d.pools[fmt.Sprint("s-", arg%4)]; p != nil && len(p.idle) > 0 {
				d.close(p.ConnectionEnded(p.idle[arg%len(p.idle)].conn))
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
	left := len(d.router.requests) + len(d.router.correlationIDs)
	d.require(left == 0 || d.module.adds != nil, "operations are left")
	d.require(len(d.open) == 0 && d.descriptors.upstream == 0, "connections are left")
	for id, p := range d.pools {
		d.require(p.inUse == 0 && len(p.idle) == 0, "steps are left at "+id)
	}
	for _, p := range d.retired {
		d.require(p.IsDone() && len(p.idle) == 0, "steps are left at one that has left")
	}
}

// What a booking server does, and what it means. The first step of an operation meets it, a further one is
// served. An unsafe operation goes out again only where it cannot have run.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		first    reaction
		neverRan bool
		becomes  balancer.Outcome
	}{
		"served":          {whole(balancer.Served), false, balancer.Served},
		"error":           {whole(balancer.ServerError), false, balancer.ServerError},
		"turned away":     {whole(balancer.Rejected), true, balancer.Rejected},
		"no connection":   {broke(Connecting), true, balancer.ConnectFailed},
		"not written":     {broke(Writing), true, balancer.ConnectFailed},
		"no answer begun": {broke(AwaitingResponse), false, balancer.ConnectionLost},
		"cut":             {broke(Responding), false, balancer.ConnectionLost},
		"spoilt":          {reaction{saw: AttemptResult{Phase: Responding, EndReason: InvalidResponse}}, false, balancer.ServerError},
	} {
		d := newDay(deployment(), 3)
		for _, class := range []string{safe, fragile} {
			first := true
			d.react = func(*attempted) reaction {
				if first {
					first = false
					return c.first
				}
				return whole(balancer.Served)
			}
			want, steps := protocol.Served, 2
			if c.becomes == balancer.Served {
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

// SilenceError is given up at the aim and answered at once; a client's time counts from its sending, not from when its
// request was read; without a server, or abandoned, it is answered without a step.
func TestAnswersInTime(t *testing.T) {
	var at []time.Duration
	var d *day
	for _, c := range []struct {
		class string
		age   time.Duration
		kind  protocol.ResponseKind
	}{{safe, 0, protocol.Rejected}, {fragile, 0, protocol.Failed}, {fragile, 700 * time.Millisecond, protocol.Failed}} {
		d = newDay(deployment(), 1)
		d.react = func(*attempted) reaction { return silent }
		id := d.come(&protocol.Request{CorrelationID: "1", Class: c.class, TimeLeft: 900 * time.Millisecond}, c.age)
		for len(d.answers[id]) == 0 {
			d.run(time.Millisecond)
		}
		at = append(at, d.now-epoch)
		require.Len(t, d.sent, 1)
		require.Equal(t, balancer.TimedOut, d.sent[0].outcome)
		require.Equal(t, c.kind, d.answers[id][0].Result)
		require.Equal(t, c.kind == protocol.Rejected, d.answers[id][0].After > 0)
	}
	require.Equal(t, []time.Duration{495 * time.Millisecond, 495 * time.Millisecond, 195 * time.Millisecond}, at)

	d = newDay(deployment(), 3)
	for i := range uint32(9) {
		require.Equal(t, i+1, d.arrive(safe, fmt.Sprint(i)))
	}
	for i, o := range d.router.FailAll() { // in the order in which they came
		want := Output{Kind: CancelIfUnsent, Request: uint32(i/2 + 1)}
		if i%2 == 1 {
			want = Output{Kind: Respond, Request: want.Request, Result: protocol.Failed, Text: failedText}
		}
		require.Equal(t, want, o)
	}
	require.Equal(t, protocol.Rejected, d.answers[d.arrive(safe, "late")][0].Result)

	d = newDay(deployment(), 0)
	require.False(t, d.router.HasReadyEndpoint())
	require.Equal(t, 1, d.subs)
	kind, _ := d.ask(safe)
	require.Equal(t, protocol.Rejected, kind)
	d.list(balancer.UpdateIncremental, 1, balancer.Ready)
	require.True(t, d.router.HasReadyEndpoint())
	d.list(balancer.UpdateIncremental, 1, balancer.Draining)
	require.False(t, d.router.HasReadyEndpoint())
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
	require.Contains(t, d.module.heard, &balancer.ClientGone{ID: n})
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
		end  EndReason
		want balancer.Outcome
	}{
		{func(*day, uint32) {}, Completed, balancer.Served},
		{func(*day, uint32) {}, BrokenByEndpoint, balancer.ConnectionLost},
		{(*day).leave, Completed, balancer.Canceled},
		{func(d *day, _ uint32) { d.do(d.router.FailAll()) }, Completed, balancer.Canceled},
	} {
		d := newDay(deployment(), 2)
		d.react = func(*attempted) reaction {
			return reaction{
				begins: 10 * time.Millisecond, after: 100 * time.Millisecond,
				saw: AttemptResult{Phase: Responding, EndReason: c.end},
			}
		}
		n := d.arrive(safe, "a")
		d.run(50 * time.Millisecond)
		require.Len(t, d.answers[n], 1)
		require.True(t, d.answers[n][0].Streaming)
		c.ends(d, n)
		c.ends(d, n)
		d.run(time.Second)
		require.Len(t, d.sent, 1, "not tried again")
		require.Equal(t, c.want, d.sent[0].outcome)
		require.Contains(t, d.module.heard, &balancer.StreamStarted{ID: n})
		require.True(t, slices.ContainsFunc(d.module.heard, func(ev balancer.Event) bool {
			done, is := ev.(*balancer.AttemptDone)
			return is && done.RequestDone
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
			r := whole(balancer.Served)
			r.waits = 300 * time.Millisecond
			return r
		}
		n := d.arrive(class, "a")
		d.run(100 * time.Millisecond)
		d.leave(n)
		d.run(time.Second)
		require.Len(t, d.sent, 1)
		require.Equal(t, balancer.Canceled, d.sent[0].outcome)
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
	d.list(balancer.UpdateCached, 13, balancer.Ready)
	op := &protocol.Request{
		CorrelationID: "9b1f03aa5c7e2d41", Class: safe, Key: "7f3a9c21e0b4d655",
		TimeLeft: 900 * time.Millisecond,
	}
	now := d.now
	b.ReportAllocs()
	for b.Loop() {
		now += 3 * time.Millisecond
		id, out := d.router.RequestArrived(now, op, now)
		pool := d.pools[out[0].Endpoint]
		lease, _ := pool.Acquire(now)
		d.limit.Record(now, lease.IdleFor, false)
		d.router.AttemptEnded(now+time.Millisecond, id, 0, AttemptResult{
			Phase: Responding, EndReason: Completed,
			Latency: time.Millisecond,
		})
		pool.Release(now+time.Millisecond, 1, lease.Addr, false)
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
		op := &protocol.Request{
			CorrelationID: id, Class: fragile, Length: -1, TimeLeft: 900 * time.Millisecond,
			Rest: bodystream.New(-1, bytebudget.Grant{}, 0),
		}
		n, out := d.router.RequestArrived(d.now, op, d.now)
		starts := kinds(out, StartAttempt)
		require.Len(t, starts, 1)
		return n, starts[0]
	}
	n, start := arrive("a")
	require.Equal(t, d.now+maxBodyTime, start.At)
	require.Positive(t, start.After)
	require.LessOrEqual(t, start.After, 900*time.Millisecond)
	d.now += time.Minute
	retimed := kinds(d.router.BodyComplete(d.now, n), RescheduleAttempt)
	require.Len(t, retimed, 1)
	require.Equal(t, []time.Duration{d.now + 900*time.Millisecond - ResponseMargin, d.now + min(start.After, 895*time.Millisecond)},
		[]time.Duration{retimed[0].Deadline, retimed[0].At})
	require.Empty(t, d.router.BodyComplete(d.now, n), "once")
	out := d.router.AttemptEnded(d.now, n, 0, AttemptResult{Phase: Responding, EndReason: Completed, Response: balancer.Served})
	require.Equal(t, protocol.Served, kinds(out, Respond)[0].Result)

	n, _ = arrive("b")
	out = d.router.AttemptEnded(d.now, n, 0, AttemptResult{Phase: Writing, EndReason: BrokenByEndpoint, BodyConsumed: true})
	require.Empty(t, kinds(out, StartAttempt))
	require.Equal(t, protocol.Rejected, kinds(out, Respond)[0].Result)
	require.Empty(t, d.router.BodyComplete(d.now, n), "it is forgotten")
}
