package lab

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/ringassignment/judge"
)

const (
	windowNotice   = 5 * time.Second // minimum notice of windows
	windowMoveTime = 4 * time.Second // time in which all keys leave, and in which they return
)

// newWindows returns a state machine without windows.
func newWindows() *maintenance.StateMachine {
	return maintenance.NewStateMachine(func() uint64 { return 0 })
}

// emptyTime returns how long windows keep servers without keys: long enough to be warm again at the end.
func (l *Lab) emptyTime() time.Duration { return 2*l.setup.SlowStart().Duration + 20*time.Second }

// PlanWindow plans a window that moves all tenants off servers and starts after the time ahead. The servers
// have no keys for emptyTime, and restart a number of times in it. They restart even if the window is not
// agreed.
func (l *Lab) PlanWindow(servers []int, ahead, emptyTime time.Duration, restarts int) {
	if l.leader < 0 {
		return
	}
	w := &maintenance.Window{
		ID: fmt.Sprint("w", len(l.log), "-", servers[0]), Tenants: []string{maintenance.NoTenant}, Steps: 8,
		From: l.Now() + ahead, DrainedAt: l.Now() + ahead + windowMoveTime,
	}
	w.ReturnFrom = w.DrainedAt + emptyTime
	w.To = w.ReturnFrom + windowMoveTime
	for _, i := range servers {
		l.servers[i].hasWindow = true
		w.Nodes = append(w.Nodes, l.servers[i].name)
	}
	slices.Sort(w.Nodes)
	record, err := maintenance.EncodeProposal(maintenance.Proposal{
		Window: w, Now: l.UnixTime(l.leader), Revision: l.plannedWindows.Revision(),
		MinNotice: windowNotice,
	})
	if err != nil {
		panic(err) // the window is valid
	}
	l.commit(l.nodes[l.leader], record, true)
	l.At(l.Now()+time.Second, func() { l.passWindowToJudge(w, servers) })
	interval := (emptyTime - l.setup.SlowStart().Duration - 3*time.Second) / time.Duration(restarts)
	for n := range restarts {
		for _, i := range servers {
			l.At(w.DrainedAt+2*time.Second+time.Duration(n)*interval, func() { l.Remove(i) })
			l.At(w.DrainedAt+2*time.Second+time.Duration(n)*interval+interval/2, func() { l.Restore(i, true) })
		}
	}
}

// passWindowToJudge adds a window to the judge if it was accepted.
func (l *Lab) passWindowToJudge(w *maintenance.Window, servers []int) {
	if l.plannedWindows.Outcome(w.ID).Status != policy.StatusAccepted {
		return
	}
	for _, i := range servers {
		l.Judge.WindowPlanned(judge.Window{
			Server: int32(i), From: w.From, DrainedAt: w.DrainedAt, ReturnFrom: w.ReturnFrom,
			To: w.To,
		})
	}
}

// exclusions returns the present exclusions of an agent.
func (l *Lab) exclusions(nd *node) *balancer.Exclusions {
	return nd.windowAgent.Exclusions(l.reading(nd.number), l.standing(nd), policy.Active{})
}

// drainedServers returns the servers that an agent's exclusions drain fully.
func (l *Lab) drainedServers(nd *node) map[string]bool {
	return maintenance.FullyDrained(l.exclusions(nd), nil)
}

// excludedRanks returns by server the rank below which keys are excluded; it is the same for all tenants.
func excludedRanks(exclusions *balancer.Exclusions) map[string]uint32 {
	if exclusions == nil {
		return nil
	}
	return exclusions.Tenants[maintenance.NoTenant]
}

// exclusionsKey returns a text that identifies exclusions.
func exclusionsKey(exclusions *balancer.Exclusions) string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(excludedRanks(exclusions))) {
		fmt.Fprint(&b, id, excludedRanks(exclusions)[id], " ")
	}
	return b.String()
}

// isExcluded reports whether a server is excluded for a key, given the rank below which keys are excluded.
func isExcluded(maxRank uint32, hash uint32, server string) bool {
	return maxRank == math.MaxUint32 || maxRank > 0 && balancer.KeyRank(hash, server) < maxRank
}
