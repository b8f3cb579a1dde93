package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/state"
)

// quietWait is how long after discovery has accepted a watch an agent takes its silence for no news.
const quietWait = 200 * time.Millisecond

// owner is whose the files on an agent's disk are.
func (a *agent) owner() state.Owner { return state.Owner{Deployment: a.w.set.Name, Agent: a.name} }

// recall puts together what an agent starts from: the known list and its disk. What can't be read is left
// out.
func (a *agent) recall(known protocol.EndpointList) state.Initial {
	var file *state.File
	if a.disk != nil {
		if f, err := state.Decode(a.disk); err == nil && f.Owner == a.owner() {
			file = f
		}
	}
	start, _ := state.NewInitial(known, file, a.w.wallClock())
	return start
}

// wallClock is what the agents' machines show.
func (w *world) wallClock() time.Time { return time.Unix(0, int64(clockStart+w.now)) }

// remember tells the session of news that the router has just been told.
func (l *life) remember(m *message) {
	switch {
	case l.session == nil:
	case m.sync == balancer.UpdateCached:
		l.session.RestoreLearned(l.clock())
	default:
		l.session.ListUpdated(l.clock(), m.sync, m.config, routing.Confirmation(m.proves))
	}
}

// keeps is when an agent writes what it has learned to its disk, also when it is told to end. It is there
// once it is written whole, unless the agent was killed before.
type keeps life

func (k *keeps) happen() {
	l := (*life)(k)
	if l.dead || l.still(k) || l.end.told {
		return
	}
	l.keep()
	l.w.after(l.w.set.Agents.KeepEvery+l.w.set.Agents.KeepTakes, rankTimer, k)
}

// keep begins to write what the agent knows, where it has a disk.
func (l *life) keep() {
	if l.w.set.Agents.KeepEvery == 0 || l.session == nil {
		return
	}
	if raw, err := state.Encode(l.content()); err == nil {
		l.w.after(l.w.set.Agents.KeepTakes, rankTimer, &written{l, raw})
	}
}

// content is what the agent knows now.
func (l *life) content() *state.File {
	return &state.File{
		Content: l.session.Snapshot(l.clock()).Content(),
		Header:  state.Header{Owner: l.agent.owner(), WrittenMS: l.w.wallClock().UnixMilli()},
	}
}

// written is when a write is whole.
type written struct {
	life *life
	raw  []byte
}

func (w *written) happen() {
	if !w.life.still(w) && !w.life.dead {
		w.life.agent.disk = w.raw
	}
}
