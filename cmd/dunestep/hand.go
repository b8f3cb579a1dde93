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

// handIdleBy is when, after clients were sent away by hand, no connection stands idle any more. Who has
// connections open then has asked for something in the last two seconds, which counts as held 4 s after.
const handIdleBy = 1700 * time.Millisecond

// hand carries out what staff ask for at the ops socket.
type manualControl struct {
	agent   *agent.Agent
	front   *transport.Listener
	counts  *metrics.Figures
	file    *handover.SettingsFile
	changed func(handover.ManualSettings) // something was set, and lies in the file
	fleet   *fleetMember                  // nil: this agent takes no part

	mu      sync.Mutex // one change after the other, so that the file has the latest
	set     handover.ManualSettings
	serving bool
	ending  bool
	// heir: it began drained, by what another process was told. It says that it is ready all the same, or that
	// process could not be replaced.
	heir bool
}

// serves tells that the front socket takes clients.
func (h *manualControl) serves() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serving = true
	if h.set.Draining {
		h.heir = true
		h.front.StartDrain(handIdleBy)
	}
}

// ends tells that the process is ending.
func (h *manualControl) ends() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ending = true
}

// IsReady tells whether this process takes clients.
func (h *manualControl) IsReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serving && !h.ending && (!h.set.Draining || h.heir) && h.agent.Ready()
}

// Metrics are what the agent has done.
func (h *manualControl) Metrics() metrics.Reading { return h.counts.Read() }

// DisableEndpoint takes a booking server out. It lies in the file before the yes.
func (h *manualControl) DisableEndpoint(ctx context.Context, id string) (bool, error) {
	return h.change(ctx, id, "endpoint disabled by operator", h.agent.DisableEndpoint)
}

// EnableEndpoint puts a booking server back.
func (h *manualControl) EnableEndpoint(ctx context.Context, id string) (bool, error) {
	return h.change(ctx, id, "endpoint enabled by operator", h.agent.EnableEndpoint)
}

func (h *manualControl) change(ctx context.Context, id, what string,
	do func(context.Context, string) ([]routing.DisabledEndpoint, bool, error),
) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	bans, listed, err := do(ctx, id)
	if err != nil || !listed {
		return listed, err
	}
	h.set.Disabled = routing.MergeDisabled(h.set.Disabled, bans)
	slog.Info(what, "server", id)
	return true, h.keep()
}

// SetDraining sends clients away, or takes them again.
func (h *manualControl) SetDraining(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set.Draining, h.set.DrainSetAt, h.heir = on, unixNow(), false
	h.drain()
	if err := h.keep(); err != nil {
		slog.Warn("manual settings applied, but not saved for the next process", "error", err)
	}
}

// drain has the front do what is set; mu is held.
func (h *manualControl) drain() {
	slog.Info("client drain set by operator", "sent_away", h.set.Draining)
	if h.set.Draining {
		h.front.StartDrain(handIdleBy)
	} else {
		h.front.StopDrain()
	}
}

// keep writes what is set to the file, takes in what the file has of another process, and tells that one; mu
// is held.
func (h *manualControl) keep() error {
	merged, err := h.file.Update(h.set, unixNow())
	h.join(merged)
	if err == nil {
		h.changed(h.set)
	}
	return err
}

// adopt takes in what was set at another process of this agent.
func (h *manualControl) adopt(set handover.ManualSettings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.join(handover.Merge(h.set, set, unixNow()))
}

// join has hold what two processes together were told; mu is held.
func (h *manualControl) join(set handover.ManualSettings) {
	drained := h.set.Draining
	if !slices.Equal(h.set.Disabled, set.Disabled) {
		h.agent.MergeDisabled(set.Disabled)
	}
	h.set = set
	if set.Draining != drained {
		h.heir = false
		h.drain()
	}
}

// unixNow is the time as what was set by hand has it.
func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// now is what is set.
func (h *manualControl) now() handover.ManualSettings {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set
}
