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

// For any order of events: each request gets one response unless its client has left, no attempt is sent that must not be,
// no state is left at the end, and a repeated run gives the same outputs.
func TestRouterInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint64(), 1, 120).Draw(t, "script")
		goneUsable, randomActions := rapid.Bool().Draw(t, "gone usable"), rapid.Bool().Draw(t, "random actions")
		sockets := rapid.SampledFrom([]int{40, 48, 1024}).Draw(t, "sockets")
		first := runScript(script, goneUsable, randomActions, sockets)
		require.Empty(t, first.violations)
		require.Equal(t, first.trace, runScript(script, goneUsable, randomActions, sockets).trace)
	})
}

// runScript runs the events that a script encodes, then a minute more, and returns the simulation with its violations. A module
// with random actions requests more than it should: then only the rules that do not depend on the module are checked.
//
//nolint:revive // flag-parameter: both are drawn at random for each script
func runScript(script []uint64, goneUsable, randomActions bool, sockets int) *simulation {
	set := testSettings()
	set.Rules.GoneUsable = goneUsable
	d := newSimulation(set, 4)
	d.descriptors.SetLimit(sockets)
	reported := map[string]time.Duration{} // when each endpoint was listed as draining or gone
	class, lastRequest := map[uint32]string{}, map[uint32]uint32{}
	failing := false
	var random uint64
	if randomActions {
		d.module.addActions = func(ev balancer.Event) []balancer.Action {
			if _, ended := ev.(*balancer.AttemptDone); ended {
				return nil
			}
			var acts []balancer.Action
			for range 4 {
				random = random*6364136223846793005 + 1442695040888963407
				n := int(random >> 33)
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
		d.check(randomActions || !drained || d.now <= until+set.Rules.DrainGrace, "sent after the drain grace")
		d.check(!failing, "sent after FailAll")
		for _, e := range d.sent {
			if e.id == s.id && e != s && class[s.id] != idempotent {
				d.check(randomActions || e.ended && e.outcome.Unprocessed(), "a request that is not idempotent is sent again though it may have been processed")
			}
		}
		random = random*6364136223846793005 + 1442695040888963407
		n := int(random >> 33)
		r := reaction{
			duration: time.Duration(n%700) * time.Millisecond, closeConn: n%3 == 0, connEnded: n%17 == 0,
			result: AttemptResult{Phase: AttemptPhase(n / 7 % 6), EndReason: []EndReason{BrokenByEndpoint, InvalidResponse}[n/5%2]},
		}
		if r.result.Phase > Responding {
			r.result.Phase, r.result.EndReason = Responding, Completed
			r.result.Response = []balancer.Outcome{balancer.Served, balancer.Rejected, balancer.ServerError}[n/11%3]
		}
		if !s.checkout.Reused && n/19%3 == 0 {
			r.writeDelay = time.Duration(n / 23 % 500 * int(time.Millisecond))
		}
		if r.result.Phase == Responding && r.result.Response == balancer.Served {
			r.streamDelay = r.duration * time.Duration(n/13%2) / 2
		}
		return r
	}
	setState := func(i int, s balancer.ServerState) {
		e := testEndpoint(i%5, s)
		e.Addr = netip.AddrPortFrom(e.Addr.Addr(), e.Addr.Port()+uint16(i>>7)) // the address changes
		if delete(reported, e.ID); s != balancer.Ready && (!goneUsable || s != balancer.Gone) {
			reported[e.ID] = d.now
		}
		d.apply(d.router.ListUpdated(d.now, balancer.UpdateIncremental, protocol.EndpointList{Endpoints: []protocol.Endpoint{e}}, balancer.WatchStatus{}))
	}
	for i, n := range script {
		random ^= n
		switch arg := int(n >> 8 & 0xff); n % 16 {
		case 0, 1, 2, 3:
			c := []string{idempotent, notIdempotent, "other"}[min(arg%5, 4)/2]
			id := uint32(arg >> 3)
			next := d.router.lastID + 1
			class[next] = c
			lastRequest[id] = d.arriveWithTimeLeft(c, fmt.Sprint(id), []time.Duration{900, 300, 120, 20}[n>>16%4]*time.Millisecond)
		case 4, 5:
			d.clientLeaves(lastRequest[uint32(arg>>3)])
		case 6:
			setState(arg, balancer.Ready)
		case 7:
			setState(arg, balancer.ServerState(arg>>4%3))
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
		case 13: // reports of ends that are early, repeated or of unknown attempts
			if s := d.attempts[attemptKey{uint32(arg), arg%4 - 1}]; s != nil {
				s.canceled = true
			}
			d.apply(d.router.AttemptEnded(d.now, uint32(arg), arg%4-1, completed(balancer.Served).result))
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

// checkDone checks that no state is left once all requests have ended.
func (d *simulation) checkDone() {
	for id := range d.router.lastID {
		n := len(d.responses[id+1])
		needed := !d.clientGone[id+1] && d.module.addActions == nil
		d.check(n == 1 || n == 0 && !needed, fmt.Sprint(n, " responses"))
		d.check(d.forgotten[id+1] == 1 || d.forgotten[id+1] == 0 && d.module.addActions != nil, "a request is not forgotten exactly once")
	}
	left := len(d.router.requests) + len(d.router.correlationIDs)
	d.check(left == 0 || d.module.addActions != nil, "requests are left")
	d.check(len(d.open) == 0 && d.descriptors.upstream == 0, "connections are left")
	for id, p := range d.pools {
		d.check(p.inUse == 0 && len(p.idle) == 0, "attempts are left at "+id)
	}
	for _, p := range d.retired {
		d.check(p.IsDone() && len(p.idle) == 0, "attempts are left at a removed endpoint")
	}
}
