package main

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/handover"
	"dunestep/internal/metrics"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// manualDrainIdle is after how long, once operators drain this agent, no connection stands idle any more.
// Whoever has a connection open then has sent a request within the last two seconds.
const manualDrainIdle = 1700 * time.Millisecond

// manualControl carries out what operators ask for at their socket. It implements transport.OpsHandler. It is
// safe for concurrent use.
type manualControl struct {
	agent    *agent.Agent
	listener *transport.Listener
	metrics  *metrics.Counters
	file     *handover.SettingsFile
	changed  func(handover.ManualSettings) // called after something was set and stored
	fleet    *fleetMember                  // nil: this agent takes no part

	mu       sync.Mutex // held over each change with its write, so that the file has the latest
	set      handover.ManualSettings
	serving  bool
	stopping bool
	// inheritedDrain: the process began drained, as another one was told to. It reports to be ready all the
	// same: otherwise that process could not be replaced.
	inheritedDrain bool
}

// startServing tells that clients are accepted from now on.
func (m *manualControl) startServing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving = true
	if m.set.Draining {
		m.inheritedDrain = true
		m.listener.StartDrain(manualDrainIdle)
	}
}

// stopServing tells that the process shuts down.
func (m *manualControl) stopServing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
}

// IsReady tells whether this process accepts clients.
func (m *manualControl) IsReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serving && !m.stopping && (!m.set.Draining || m.inheritedDrain) && m.agent.Ready()
}

// Metrics returns what the agent has counted.
func (m *manualControl) Metrics() metrics.Reading { return m.metrics.Read() }

// DisableEndpoint takes an endpoint out of use. The file has it when it returns without an error.
func (m *manualControl) DisableEndpoint(ctx context.Context, id string) (listed bool, err error) {
	return m.change(ctx, id, m.agent.DisableEndpoint, func() {
		slog.Info("endpoint disabled by operator", "server", id)
	})
}

// EnableEndpoint puts an endpoint back into use.
func (m *manualControl) EnableEndpoint(ctx context.Context, id string) (listed bool, err error) {
	return m.change(ctx, id, m.agent.EnableEndpoint, func() {
		slog.Info("endpoint enabled by operator", "server", id)
	})
}

// change disables or enables an endpoint, logs that and stores it.
func (m *manualControl) change(ctx context.Context, id string,
	do func(context.Context, string) ([]routing.DisabledEndpoint, bool, error), logDone func(),
) (listed bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	disabled, listed, err := do(ctx, id)
	if err != nil || !listed {
		return listed, err
	}
	m.set.Disabled = routing.MergeDisabled(m.set.Disabled, disabled)
	logDone()
	return true, m.store()
}

// SetDraining sends clients to other agents, or accepts them again.
func (m *manualControl) SetDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set.Draining, m.set.DrainSetAt, m.inheritedDrain = draining, unixNow(), false
	m.applyDrain()
	if err := m.store(); err != nil {
		slog.Warn("manual settings applied, but not saved for the next process", "error", err)
	}
}

// applyDrain has the listener do what is set; mu is held.
func (m *manualControl) applyDrain() {
	slog.Info("client drain set by operator", "sent_away", m.set.Draining)
	if m.set.Draining {
		m.listener.StartDrain(manualDrainIdle)
	} else {
		m.listener.StopDrain()
	}
}

// store writes the settings to the file, applies what another process has written there, and notifies that
// one; mu is held.
func (m *manualControl) store() error {
	merged, err := m.file.Update(m.set, unixNow())
	m.apply(merged)
	if err == nil {
		m.changed(m.set)
	}
	return err
}

// merge applies what was set at another process of this agent, or in the fleet, where that is newer.
func (m *manualControl) merge(set handover.ManualSettings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(handover.Merge(m.set, set, unixNow()))
}

// apply applies merged settings; mu is held.
func (m *manualControl) apply(set handover.ManualSettings) {
	wasDraining := m.set.Draining
	if !slices.Equal(m.set.Disabled, set.Disabled) {
		m.agent.MergeDisabled(set.Disabled)
	}
	m.set = set
	if set.Draining != wasDraining {
		m.inheritedDrain = false
		m.applyDrain()
	}
}

// current returns the settings.
func (m *manualControl) current() handover.ManualSettings {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set
}
