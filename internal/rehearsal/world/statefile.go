package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/state"
)

// callIdleWait is the silence after an accepted watch that an agent takes as no changes.
const callIdleWait = 200 * time.Millisecond

// owner identifies the agent in its state file.
func (a *agent) owner() state.Owner { return state.Owner{Deployment: a.w.scenario.Name, Agent: a.name} }

// loadState returns what an agent starts with, from the known list and its state file. A state file
// that cannot be read or has another owner is ignored.
func (a *agent) loadState(known protocol.EndpointList) state.Initial {
	var file *state.File
	if a.savedState != nil {
		if f, err := state.Decode(a.savedState); err == nil && f.Owner == a.owner() {
			file = f
		}
	}
	initial, _ := state.NewInitial(known, file, a.w.wallClock())
	return initial
}

// wallClock returns the time on the agents' machines.
func (w *world) wallClock() time.Time { return time.Unix(0, int64(clockStart+w.now)) }

// recordUpdate passes a list update to the state recorder after the router has handled it.
func (l *agentProcess) recordUpdate(m *message) {
	switch {
	case l.recorder == nil:
	case m.update == balancer.UpdateCached:
		l.recorder.RestoreLearned(l.clock())
	default:
		l.recorder.ListUpdated(l.clock(), m.update, m.list, routing.Confirmation(m.confirms))
	}
}

// periodicSave writes an agent's state file at intervals, until it shuts down. A file counts once it is
// written completely; a kill before that discards it.
type periodicSave agentProcess

func (k *periodicSave) fire() {
	l := (*agentProcess)(k)
	if l.ended || l.deferIfPaused(k) || l.shutdown.requested {
		return
	}
	l.saveState()
	l.w.scheduleAfter(l.w.scenario.Agents.StateInterval+l.w.scenario.Agents.StateWriteTime, rankTimer, k)
}

// saveState begins to write the state file, if the agent has one.
func (l *agentProcess) saveState() {
	if l.w.scenario.Agents.StateInterval == 0 || l.recorder == nil {
		return
	}
	if raw, err := state.Encode(l.stateFile()); err == nil {
		l.w.scheduleAfter(l.w.scenario.Agents.StateWriteTime, rankTimer, &saveCompleted{l, raw})
	}
}

// stateFile returns the agent's present state.
func (l *agentProcess) stateFile() *state.File {
	return &state.File{
		Content: l.recorder.Snapshot(l.clock()).Content(),
		Header:  state.Header{Owner: l.agent.owner(), WrittenMS: l.w.wallClock().UnixMilli()},
	}
}

// saveCompleted is the completion of a write of the state file.
type saveCompleted struct {
	proc *agentProcess
	raw  []byte
}

func (w *saveCompleted) fire() {
	if !w.proc.deferIfPaused(w) && !w.proc.ended {
		w.proc.agent.savedState = w.raw
	}
}
