package main

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/state"
	"dunestep/internal/state/folder"
)

// memory is what this agent keeps over a restart: the folder, where there is one, and what was in it.
type stateKeeper struct {
	told   settings
	start  state.Initial
	keeper *folder.Writer // nil: nothing is kept

	began chan struct{} // closed once there is an agent
	agent *agent.Agent
}

// owner is whose files this agent's are.
func (s settings) owner() state.Owner {
	deployment := s.operator.State.Deployment
	if deployment == "" {
		var classes []string
		for _, c := range s.Settings.Classes {
			classes = append(classes, c.Name)
		}
		slices.Sort(classes)
		deployment = strings.Join(classes, ",")
	}
	return state.Owner{Deployment: deployment, Agent: s.Name}
}

// recall reads what is kept, or takes what was handed over, and has it kept from now on. Whatever is wrong
// with it is told, and the start goes on without.
func recall(told settings, handed *state.File) *stateKeeper {
	m := &stateKeeper{told: told, began: make(chan struct{})}
	from, file := m.read()
	if handed != nil { // it is newer than what lies on a disk
		file = handed
	}
	start, err := state.NewInitial(told.KnownEndpoints, file, time.Now())
	if err != nil {
		slog.Warn("state not restored", "error", err)
	}
	m.start = start
	if file != nil && err == nil {
		age := any(start.Age)
		if start.Age < 0 {
			age = "unknown, the clock was set back"
		}
		slog.Info("state restored", "written", time.UnixMilli(file.WrittenMS), "age", age, "format", file.Format,
			"servers", len(start.List.Endpoints), "list", m.listFrom())
		for _, one := range file.SkippedSections {
			slog.Warn("state not restored", "error", one)
		}
	}
	if set := told.operator.State; set.Folder != "" {
		m.keeper = folder.StartWriter(folder.WriterSettings{
			Path: set.Folder, Owner: told.owner(), Collect: m.take,
			Period:      seconds(set.PeriodS),
			MinInterval: time.Minute / time.Duration(set.WritesAMinute),
		}, from, start.Age)
	}
	return m
}

func (m *stateKeeper) listFrom() string {
	if m.start.IsFromFile {
		return "the file's"
	}
	return "the configuration's"
}

func (m *stateKeeper) read() (*folder.Folder, *state.File) {
	set := m.told.operator.State
	if set.Folder == "" {
		return nil, nil
	}
	f, err := folder.Open(set.Folder, m.told.owner())
	if err != nil {
		slog.Warn("state cannot be written", "folder", set.Folder, "error", err)
		return nil, nil
	}
	file, wrong := f.Load()
	for _, err := range wrong {
		slog.Warn("state not restored", "folder", set.Folder, "error", err)
	}
	return f, file
}

// changed tells that something of weight has changed.
func (m *stateKeeper) changed() {
	if m.keeper != nil {
		m.keeper.RequestWrite()
	}
}

// serves tells of the agent, which is asked from then on.
func (m *stateKeeper) serves(agent *agent.Agent) {
	m.agent = agent
	close(m.began)
}

func (m *stateKeeper) take(ctx context.Context) (state.Content, bool) {
	select {
	case <-m.began:
		return m.agent.Snapshot(ctx)
	case <-ctx.Done():
		return state.Content{}, false
	}
}

// finish writes a last time, beside the drain, and returns a channel that is closed when that is done, after
// whole at the latest.
func (m *stateKeeper) finish(whole time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if m.keeper != nil {
			ctx, cancel := context.WithTimeout(context.Background(), whole)
			defer cancel()
			m.keeper.Finish(ctx)
		}
	}()
	return done
}

func seconds(n int64) time.Duration { return time.Duration(n) * time.Second }
