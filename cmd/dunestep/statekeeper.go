package main

import (
	"context"
	"log/slog"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/state"
	"dunestep/internal/state/folder"
)

// stateKeeper restores this agent's learned state at the start, and stores it while the agent runs.
type stateKeeper struct {
	settings settings // those at the start: state is stored under their owner, also after a reload
	initial  state.Initial
	writer   *folder.Writer // nil: nothing is stored

	hasAgent chan struct{} // closed once agent is set
	agent    *agent.Agent
}

// startStateKeeper restores the state that was handed over or, without that, the stored state, which is
// older. It then starts to store. State that cannot be restored is logged, and the agent starts without it.
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

// openStateFolder opens the state folder, and reads its newest valid file. Each result is nil if there is
// none.
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

// logRestored logs the state from which the agent starts.
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

// requestWrite requests a write soon, after an important change.
func (k *stateKeeper) requestWrite() {
	if k.writer != nil {
		k.writer.RequestWrite()
	}
}

// setAgent sets the agent whose state is stored from now on. It is called once.
func (k *stateKeeper) setAgent(a *agent.Agent) {
	k.agent = a
	close(k.hasAgent)
}

// snapshot returns the agent's current state. It returns false if ctx ends first.
func (k *stateKeeper) snapshot(ctx context.Context) (state.Content, bool) {
	select {
	case <-k.hasAgent:
		return k.agent.Snapshot(ctx)
	case <-ctx.Done():
		return state.Content{}, false
	}
}

// finish starts the last write, which runs concurrently with the drain. It returns a channel that is closed
// after the write, at the latest after timeout.
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
