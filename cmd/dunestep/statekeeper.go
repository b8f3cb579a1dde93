package main

import (
	"context"
	"log/slog"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/state"
	"dunestep/internal/state/folder"
)

// stateKeeper restores what this agent had learned, and stores what it learns over a restart.
type stateKeeper struct {
	settings settings // of the start: what was learned is stored under its owner, also after a reload
	initial  state.Initial
	writer   *folder.Writer // nil: nothing is stored

	hasAgent chan struct{} // closed once agent is set
	agent    *agent.Agent
}

// startStateKeeper reads what is stored, or takes what was handed over, which is newer, and starts to store.
// What can't be restored is logged, and the agent starts without it.
func startStateKeeper(s settings, handed *state.File) *stateKeeper {
	k := &stateKeeper{settings: s, hasAgent: make(chan struct{})}
	stateFolder, file := openStateFolder(s)
	if handed != nil {
		file = handed
	}
	initial, err := state.NewInitial(s.KnownEndpoints, file, time.Now())
	if err != nil {
		slog.Warn("state not restored", "error", err)
	}
	k.initial = initial
	if file != nil && err == nil {
		logRestored(file, initial)
	}
	if set := s.operator.State; set.Folder != "" {
		k.writer = folder.StartWriter(folder.WriterSettings{
			Path: set.Folder, Owner: s.stateOwner(), Collect: k.snapshot, Period: seconds(set.WriteIntervalS),
			MinInterval: time.Minute / time.Duration(set.MaxWritesPerMinute),
		}, stateFolder, initial.Age)
	}
	return k
}

// openStateFolder opens the folder for state, and reads its newest file; nil: there is none.
func openStateFolder(s settings) (*folder.Folder, *state.File) {
	path := s.operator.State.Folder
	if path == "" {
		return nil, nil
	}
	f, err := folder.Open(path, s.stateOwner())
	if err != nil {
		slog.Warn("state cannot be written", "folder", path, "error", err)
		return nil, nil
	}
	newest, unusable := f.Load()
	for _, err := range unusable {
		slog.Warn("state not restored", "folder", path, "error", err)
	}
	return f, newest
}

// logRestored logs what the agent starts from.
func logRestored(file *state.File, initial state.Initial) {
	age := any(initial.Age)
	if initial.Age < 0 {
		age = "unknown, the clock was set back"
	}
	list := "the configuration's"
	if initial.IsFromFile {
		list = "the file's"
	}
	slog.Info("state restored", "written", time.UnixMilli(file.WrittenMS), "age", age, "format", file.Format,
		"servers", len(initial.List.Endpoints), "list", list)
	for _, skipped := range file.SkippedSections {
		slog.Warn("state not restored", "error", skipped)
	}
}

// requestWrite asks for a write soon: something of importance has changed.
func (k *stateKeeper) requestWrite() {
	if k.writer != nil {
		k.writer.RequestWrite()
	}
}

// setAgent tells which agent has the state from now on. It is called once.
func (k *stateKeeper) setAgent(a *agent.Agent) {
	k.agent = a
	close(k.hasAgent)
}

// snapshot returns what is known now; false where there is no agent, or no answer, before ctx ends.
func (k *stateKeeper) snapshot(ctx context.Context) (state.Content, bool) {
	select {
	case <-k.hasAgent:
		return k.agent.Snapshot(ctx)
	case <-ctx.Done():
		return state.Content{}, false
	}
}

// finish writes a last time, beside the drain, and returns a channel that is closed when that is done, or the
// time is over.
func (k *stateKeeper) finish(timeout time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if k.writer != nil {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			k.writer.Finish(ctx)
		}
	}()
	return done
}
