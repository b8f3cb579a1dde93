package routing

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// Whatever happens in whatever order: one answer for each request unless its client has left, nothing sent that must not be,
// nothing left over, and all of it the same when it is repeated.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint64(), 1, 120).Draw(t, "script")
		goneUsable, randomActions := rapid.Bool().Draw(t, "gone usable"), rapid.Bool().Draw(t, "random actions")
		sockets := rapid.SampledFrom([]int{40, 48, 1024}).Draw(t, "sockets")
		first := runScript(script, goneUsable, randomActions, sockets)
		require.Empty(t, first.violations)
		require.Equal(t, first.text, runScript(script, goneUsable, randomActions, sockets).text)
	})
}

// runScript reads what happens from a script, goes on to the end and notes the rules that were broken. A module with random
// actions asks for more than it should: then only what does not depend on it is checked.
//
//nolint:revive // flag-parameter: both are drawn at random for each script
func runScript(script []uint64, goneUsable, randomActions bool, sockets int) *simulation {
	set := testSettings()
	set.Rules.GoneUsable = goneUsable
	d := newSimulation(set, 4)
	d.descriptors.SetLimit(sockets)
	reported := map[string]time.Duration{} // when an endpoint was reported as draining or gone
	class, last := map[uint32]string{}, map[uint32]uint32{}
	failing := false
	var dice uint64
	if randomActions {
		d.module.addActions = func(ev balancer.Event) []balancer.Action {
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
	d.react = func(s *sentAttempt) reaction {
		until, drained := reported[s.server]
		d.check(randomActions || !drained || d.now <= until+set.Rules.DrainGrace, "sent after the drain")
		d.check(!failing, "sent after the end")
		for _, e := range d.sent {
			if e.id == s.id && e != s && class[s.id] != idempotent {
				d.check(randomActions || e.ended && e.outcome.Unprocessed(), "a request that is not idempotent and may have been processed is sent again")
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
		if !s.checkout.Reused && n/19%3 == 0 {
			r.waits = time.Duration(n / 23 % 500 * int(time.Millisecond))
		}
		if r.saw.Phase == Responding && r.saw.Response == balancer.Served {
			r.begins = r.after * time.Duration(n/13%2) / 2
		}
		return r
	}
	state := func(i int, s balancer.ServerState) {
		e := testEndpoint(i%5, s)
		e.Addr = netip.AddrPortFrom(e.Addr.Addr(), e.Addr.Port()+uint16(i>>7)) // its address changes
		if delete(reported, e.ID); s != balancer.Ready && (!goneUsable || s != balancer.Gone) {
			reported[e.ID] = d.now
		}
		d.apply(d.router.ListUpdated(d.now, balancer.UpdateIncremental, protocol.EndpointList{Endpoints: []protocol.Endpoint{e}}, balancer.WatchStatus{}))
	}
	for i, n := range script {
		dice ^= n
		switch arg := int(n >> 8 & 0xff); n % 16 {
		case 0, 1, 2, 3:
			c := []string{idempotent, notIdempotent, "other"}[min(arg%5, 4)/2]
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
			reported = map[string]time.Duration{"s-2": d.now, "s-3": d.now, "s-4": d.now}
			d.list(balancer.UpdateFull, 2, balancer.Ready)
		case 9:
			d.apply(d.router.ReleaseIdle())
		case 10:
			d.apply(d.router.DatagramReceived(d.now, protocol.Datagram{Agent: arg % 4, Data: make([]byte, arg%7)}))
		case 11:
			d.apply(d.router.ListUpdated(d.now, balancer.UpdateFailed, protocol.EndpointList{}, balancer.WatchStatus{}))
		case 12:
			if i > len(script)/2 {
				failing = true
				d.apply(d.router.FailAll())
			}
		case 13: // ends that are not waited for, or that come too early
			if s := d.attempts[attemptKey{uint32(arg), arg%4 - 1}]; s != nil {
				s.canceled = true
			}
			d.apply(d.router.AttemptEnded(d.now, uint32(arg), arg%4-1, completed(balancer.Served).saw))
		case 14:
			if p := d.pools[fmt.Sprint("s-", arg%4)]; p != nil && len(p.idle) > 0 {
				d.close(p.ConnectionEnded(p.idle[arg%len(p.idle)].conn))
			}
		default:
			d.run(time.Duration(arg*arg) * 20 * time.Microsecond)
		}
	}
	d.run(time.Minute)
	d.checkDone()
	return d
}

// checkDone notes what is left over once everything has had its time.
func (d *simulation) checkDone() {
	for id := range d.router.lastID {
		n := len(d.answers[id+1])
		needed := !d.clientGone[id+1] && d.module.addActions == nil
		d.check(n == 1 || n == 0 && !needed, fmt.Sprint(n, " answers"))
		d.check(d.forgotten[id+1] == 1 || d.forgotten[id+1] == 0 && d.module.addActions != nil, "not forgotten once")
	}
	left := len(d.router.requests) + len(d.router.correlationIDs)
	d.check(left == 0 || d.module.addActions != nil, "requests are left")
	d.check(len(d.open) == 0 && d.descriptors.upstream == 0, "connections are left")
	for id, p := range d.pools {
		d.check(p.inUse == 0 && len(p.idle) == 0, "attempts are left at "+id)
	}
	for _, p := range d.retired {
		d.check(p.IsDone() && len(p.idle) == 0, "attempts are left at an endpoint that has left")
	}
}
