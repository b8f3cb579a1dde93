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

// manualDrainIdle is how long a client's connection may be idle while operators drain this agent. A client
// whose connection is still open has sent a request within the last two seconds.
const manualDrainIdle = 1700 * time.Millisecond

// manualControl carries out operators' calls at their socket. It implements transport.OpsHandler. It is
// safe for concurrent use.
type manualControl struct {
	agent    *agent.Agent
	listener *transport.Listener
	metrics  *metrics.Counters
	file     *handover.SettingsFile
	changed  func(handover.ManualSettings) // called after settings have changed and been stored
	fleet    *fleetMember                  // nil: this agent is not in a fleet

	mu       sync.Mutex // held for each change and its write, so that the file has the latest settings
	set      handover.ManualSettings
	serving  bool
	stopping bool
	// isUnsaved means that the settings could not be written, and will be again.
	isUnsaved bool
	// inheritedDrain means that this process started drained because operators had drained the previous one. It
	// still reports that it is ready: otherwise it could not replace that process.
	inheritedDrain bool
}

// startServing marks this process as accepting clients. It starts the drain that operators have set.
func (m *manualControl) startServing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving = true
	if m.set.Draining {
		m.inheritedDrain = true
		m.listener.StartDrain(manualDrainIdle)
	}
}

// stopServing marks this process as shutting down.
func (m *manualControl) stopServing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
}

// IsReady reports whether this process accepts clients.
func (m *manualControl) IsReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serving && !m.stopping && (!m.set.Draining || m.inheritedDrain) && m.agent.Ready()
}

// Delays returns how long the decisions' messages waited and took.
func (m *manualControl) Delays() map[string]metrics.Delays { return m.metrics.ReadDelays() }

// Discovery implements transport.OpsHandler.
func (m *manualControl) Discovery() metrics.Discovery { return m.metrics.ReadDiscovery() }

// Metrics returns the current values of the agent's counters.
func (m *manualControl) Metrics() metrics.Reading { return m.metrics.Read() }

// DisableEndpoint takes an endpoint out of use. If it returns true without an error, the file has the change.
func (m *manualControl) DisableEndpoint(ctx context.Context, id string) (listed bool, err error) {
	return m.change(ctx, id, m.agent.DisableEndpoint, func() {
		slog.Info("endpoint disabled by operator", "server", id)
	})
}

// EnableEndpoint puts an endpoint back into use. Its results are those of DisableEndpoint.
func (m *manualControl) EnableEndpoint(ctx context.Context, id string) (listed bool, err error) {
	return m.change(ctx, id, m.agent.EnableEndpoint, func() {
		slog.Info("endpoint enabled by operator", "server", id)
	})
}

// change disables or enables an endpoint by do, logs the change and stores it.
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

// applyDrain starts or stops the listener's drain as set; mu is held.
func (m *manualControl) applyDrain() {
	slog.Info("client drain set by operator", "sent_away", m.set.Draining)
	if m.set.Draining {
		m.listener.StartDrain(manualDrainIdle)
	} else {
		m.listener.StopDrain()
	}
}

// store writes the settings to the file, applies what another process has written there, and notifies that
// process; mu is held.
func (m *manualControl) store() error {
	merged, err := m.file.Update(m.set, unixNow())
	m.apply(merged)
	switch {
	case err == nil:
		m.isUnsaved = false
		m.changed(m.set)
	case !m.isUnsaved:
		m.isUnsaved = true
		time.AfterFunc(storeRetryInterval, m.storeAgain)
	}
	return err
}

// storeRetryInterval is the interval at which settings that could not be written are written again.
const storeRetryInterval = time.Second

// storeAgain writes settings that could not be written before: what operators were told holds for the next
// process, too, once the disk is in order.
func (m *manualControl) storeAgain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isUnsaved || m.stopping {
		return
	}
	m.isUnsaved = false
	if m.store() == nil {
		slog.Info("manual settings saved for the next process")
	}
}

// merge applies the settings of another process of this agent, or of the fleet, where they are newer.
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

// current returns the current settings.
func (m *manualControl) current() handover.ManualSettings {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set
}
