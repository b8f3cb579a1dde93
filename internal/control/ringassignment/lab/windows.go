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
	windowNotice = 5 * time.Second // that windows have here
	windowMoves  = 4 * time.Second // that keys take to leave, and to return
)

func newWindows() *maintenance.StateMachine {
	return maintenance.NewStateMachine(func() uint64 { return 0 })
}

// quiet is how long windows have servers without keys: enough to be warm again by the end.
func (l *Lab) quiet() time.Duration { return 2*l.set.Cold().Duration + 20*time.Second }

// Window has a window planned that takes servers for all tenants, so long ahead, free of keys for a while,
// within which all of them begin anew a number of times. Where it can't be agreed on, staff do so without.
func (l *Lab) Window(of []int, ahead, quiet time.Duration, anew int) {
	if l.leader < 0 {
		return
	}
	w := &maintenance.Window{
		ID: fmt.Sprint("w", len(l.log), "-", of[0]), Tenants: []string{maintenance.NoTenant}, Steps: 8,
		From: l.Now() + ahead, DrainedAt: l.Now() + ahead + windowMoves,
	}
	w.ReturnFrom = w.DrainedAt + quiet
	w.To = w.ReturnFrom + windowMoves
	for _, i := range of {
		l.list[i].window = true
		w.Nodes = append(w.Nodes, l.list[i].name)
	}
	slices.Sort(w.Nodes)
	r, err := maintenance.EncodeProposal(maintenance.Proposal{
		Window: w, Now: l.UnixTime(l.leader), Revision: l.planned.Revision(),
		MinNotice: windowNotice,
	})
	if err != nil {
		panic(err) // of its own
	}
	l.commit(l.nodes[l.leader], r, true)
	l.At(l.Now()+time.Second, func() { l.follow(w, of) })
	each := (quiet - l.set.Cold().Duration - 3*time.Second) / time.Duration(anew)
	for n := range anew {
		for _, i := range of {
			l.At(w.DrainedAt+2*time.Second+time.Duration(n)*each, func() { l.Vanish(i) })
			l.At(w.DrainedAt+2*time.Second+time.Duration(n)*each+each/2, func() { l.Back(i, true) })
		}
	}
}

// follow has the judge look at a window that was agreed on.
func (l *Lab) follow(w *maintenance.Window, of []int) {
	if l.planned.Outcome(w.ID).Status != policy.StatusAccepted {
		return
	}
	for _, i := range of {
		l.Judge.WindowPlanned(judge.Window{
			Server: int32(i), From: w.From, DrainedAt: w.DrainedAt, ReturnFrom: w.ReturnFrom,
			To: w.To,
		})
	}
}

// avoid is what an agent keeps off now.
func (l *Lab) avoid(nd *node) *balancer.Exclusions {
	return nd.keeps.Exclusions(l.reading(nd.number), l.standing(nd), policy.Active{})
}

func (l *Lab) emptied(nd *node) map[string]bool { return maintenance.FullyDrained(l.avoid(nd), nil) }

// below are by server the keys that keep off it, of all tenants alike.
func below(a *balancer.Exclusions) map[string]uint32 {
	if a == nil {
		return nil
	}
	return a.Tenants[maintenance.NoTenant]
}

// named tells what is kept off apart from anything else.
func named(a *balancer.Exclusions) string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(below(a))) {
		fmt.Fprint(&b, id, below(a)[id], " ")
	}
	return b.String()
}

func keepsOff(below uint32, hash uint32, server string) bool {
	return below == math.MaxUint32 || below > 0 && balancer.KeyRank(hash, server) < below
}
