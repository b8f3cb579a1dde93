package main

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dunestep/internal/core"
	"dunestep/internal/figures"
	"dunestep/internal/handover"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// handIdleBy is when, after clients were sent away by hand, no connection stands idle any more. Who has
// connections open then has asked for something in the last two seconds, which counts as held 4 s after.
const handIdleBy = 1700 * time.Millisecond

// hand carries out what staff ask for at the ops socket.
type hand struct {
	agent   *routing.Agent
	front   *transport.Front
	counts  *figures.Figures
	file    *handover.Bans
	changed func(handover.Hand) // something was set, and lies in the file
	fleet   *fleetPart          // nil: this agent takes no part

	mu      sync.Mutex // one change after the other, so that the file has the latest
	set     handover.Hand
	serving bool
	ending  bool
	// heir: it began drained, by what another process was told. It says that it is ready all the same, or that
	// process could not be replaced.
	heir bool
}

// serves tells that the front socket takes clients.
func (h *hand) serves() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serving = true
	if h.set.Drained {
		h.heir = true
		h.front.Leave(handIdleBy, false)
	}
}

// ends tells that the process is ending.
func (h *hand) ends() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ending = true
}

// Readiness tells whether this process takes clients.
func (h *hand) Readiness() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serving && !h.ending && (!h.set.Drained || h.heir) && h.agent.Ready()
}

// Figures are what the agent has done.
func (h *hand) Figures() figures.Reading { return h.counts.Read() }

// Ban takes a booking server out. It lies in the file before the yes.
func (h *hand) Ban(ctx context.Context, id string) (bool, error) {
	return h.change(ctx, id, "booking server out by hand", h.agent.Ban)
}

// Lift puts a booking server back.
func (h *hand) Lift(ctx context.Context, id string) (bool, error) {
	return h.change(ctx, id, "booking server back by hand", h.agent.Lift)
}

func (h *hand) change(ctx context.Context, id, what string,
	do func(context.Context, string) ([]core.Ban, bool, error),
) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	bans, listed, err := do(ctx, id)
	if err != nil || !listed {
		return listed, err
	}
	h.set.Bans = core.MergeBans(h.set.Bans, bans)
	slog.Info(what, "server", id)
	return true, h.keep()
}

// Drain sends clients away, or takes them again.
func (h *hand) Drain(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set.Drained, h.set.DrainSet, h.heir = on, unixNow(), false
	h.drain()
	if err := h.keep(); err != nil {
		slog.Warn("set by hand, but not kept for the next process", "error", err)
	}
}

// drain has the front do what is set; mu is held.
func (h *hand) drain() {
	slog.Info("clients by hand", "sent_away", h.set.Drained)
	if h.set.Drained {
		h.front.Leave(handIdleBy, false)
	} else {
		h.front.Return()
	}
}

// keep writes what is set to the file, takes in what the file has of another process, and tells that one; mu
// is held.
func (h *hand) keep() error {
	merged, err := h.file.Update(h.set, unixNow())
	h.join(merged)
	if err == nil {
		h.changed(h.set)
	}
	return err
}

// adopt takes in what was set at another process of this agent.
func (h *hand) adopt(set handover.Hand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.join(handover.Merge(h.set, set, unixNow()))
}

// join has hold what two processes together were told; mu is held.
func (h *hand) join(set handover.Hand) {
	drained := h.set.Drained
	if !slices.Equal(h.set.Bans, set.Bans) {
		h.agent.JoinBans(set.Bans)
	}
	h.set = set
	if set.Drained != drained {
		h.heir = false
		h.drain()
	}
}

// unixNow is the time as what was set by hand has it.
func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// now is what is set.
func (h *hand) now() handover.Hand {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set
}
