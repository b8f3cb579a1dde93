package judge

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/policy"
)

// place is where keys leave or come back, as one agent does it.
type place struct {
	agent        int
	tenant, node string
}

// pace is how fast they do. An agent without a lease may hear late that a window returns, and has its keys
// come back at once then; in what leaves it keeps to the pace like the others.
//
// It is an account: what may still be moved is filled up as time goes on, and each key that was moved
// takes one.
type pace struct {
	life    int
	how     policy.Mode
	version uint64
	at      time.Duration
	fresh   bool // just begun: what an agent does at once when it starts, wakes, or gets or loses a lease
	room    float64
	keys    map[uint32]bool // that were moved, by hash
}

// gap is how long nothing may be heard of an agent until it counts as one that was paused.
const gap = 3 * time.Second

// moves counts keys that have been moved, or back, since they were seen last. Keys in another window for the
// same node meanwhile are that one's.
func (j *Judge) moves(w *accepted, r Request) {
	if r.At < w.From-gap || r.At > w.To+gap {
		return
	}
	for _, node := range w.Nodes {
		moved := slices.Contains(r.Kept, node)
		if !moved && r.Server != node || r.First {
			continue
		}
		j.move(w, r, node, moved)
	}
}

func (j *Judge) move(w *accepted, r Request, node string, moved bool) {
	at := place{r.Agent, r.Tenant, node}
	p := j.pace[at]
	if p == nil || p.life != r.Life || p.how != r.How || p.version != r.Version || r.At-p.at > gap {
		keys := map[uint32]bool{}
		if p != nil {
			keys = p.keys
		}
		p = &pace{life: r.Life, how: r.How, version: r.Version, at: r.At, fresh: true, room: j.most(w), keys: keys}
		j.pace[at] = p
	}
	if r.At > p.at {
		p.fresh = false
		p.room = min(p.room+w.pace*float64(j.set.Keys)*(r.At-p.at).Seconds(), j.most(w))
		p.at = r.At
	}
	was, known := p.keys[r.Hash]
	p.keys[r.Hash] = moved
	if !known || was == moved || p.fresh || r.How != policy.ModeFull && !moved {
		return
	}
	if p.room--; p.room < 0 {
		j.breach(r, fmt.Sprintf("%s moves keys faster than %.3f a second", w.ID, w.pace))
	}
}

// most is how many keys may be moved at once: a step, what is learnt late, and what chance adds to both.
func (j *Judge) most(w *accepted) float64 {
	n := float64(j.set.Keys) * (w.pace*j.set.Late.Seconds() + 1/float64(w.Steps))
	return n + 3*max(n, 1)/2
}
