package main

import (
	"io"
	"strings"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
)

// The JSON of maintenance windows at the operators' socket. Its keys and values are kept for compatibility
// and differ from the fields' names.

// windowsState is the state of the maintenance windows at one agent, for operators.
type windowsState struct {
	Policy   uint64          `json:"policy"` // the version whose contracts are in force here
	Windows  []windowState   `json:"windows"`
	Outcomes []windowOutcome `json:"calls"` // the newest last
}

// windowState is the state of one window.
type windowState struct {
	ID         string    `json:"id"`
	Agent      int       `json:"who"`
	Nodes      []string  `json:"nodes"`
	Tenants    []string  `json:"tenants"`
	From       time.Time `json:"from"`    // when the first keys are moved away
	DrainedAt  time.Time `json:"drained"` // when all keys are planned to be moved away
	ReturnFrom time.Time `json:"back"`    // when the first keys return
	To         time.Time `json:"to"`      // when all keys have returned
	State      string    `json:"state"`
	StateSince time.Time `json:"since,omitzero"`
	// Moved is the fraction of the keys that avoid the nodes now at this agent, 0 to 1.
	Moved float64 `json:"moved"`
	// FreeUntil is the time until which the nodes get no requests, set while the window is free.
	FreeUntil time.Time `json:"free_until,omitzero"`
	WaitsFor  string    `json:"waits,omitempty"`
	Reason    string    `json:"reason,omitempty"`
}

// windowOutcome is the outcome of a request for a window. Where the window does not fit, NextFit is the next
// time at which it would.
type windowOutcome struct {
	ID      string    `json:"id,omitempty"`
	Status  string    `json:"end"`
	Reason  string    `json:"reason,omitempty"`
	Tenant  string    `json:"tenant,omitempty"`
	NextFit time.Time `json:"next,omitzero"`
	// Window is the window that was accepted, or would be.
	Window *windowState `json:"window,omitempty"`
}

const (
	// reasonPolicyChanging is the reason of a call that planned and proposed nothing because a policy is taking
	// effect. The same call can be repeated.
	reasonPolicyChanging = "a policy takes hold: ask again in a moment"
	// statusFits is the status of a check without a conflict.
	statusFits = "fits"
)

// newWindowState returns a window in its JSON form, without Moved.
func newWindowState(w *maintenance.Window) windowState {
	s := windowState{
		ID: w.ID, Agent: w.Agent, Nodes: w.Nodes, Tenants: w.Tenants, From: unixTime(w.From),
		DrainedAt: unixTime(w.DrainedAt), ReturnFrom: unixTime(w.ReturnFrom), To: unixTime(w.To),
		State: w.State.String(), StateSince: unixTime(w.StateSince), Reason: w.Reason, WaitsFor: waitsFor(w),
	}
	if w.State == maintenance.Free {
		s.FreeUntil = unixTime(w.ReturnFrom)
	}
	return s
}

// waitsFor describes what a window waits for; empty: nothing.
func waitsFor(w *maintenance.Window) string {
	switch w.State {
	case maintenance.Planned:
		return "its beginning"
	case maintenance.Draining:
		return "the traffic to leave, until " + formatTime(unixTime(w.DrainedAt))
	case maintenance.Drained:
		return "what may be on its way, and all agents' leases"
	case maintenance.Paused:
		return "enough to be served elsewhere"
	case maintenance.Returning:
		return "the traffic to be back"
	}
	return ""
}

// rejection describes why a window was rejected, and when it would next fit.
func (o windowOutcome) rejection() string {
	text := "not taken: " + o.Reason
	if !o.NextFit.IsZero() {
		text += ", fits next at " + formatTime(o.NextFit)
	}
	return text
}

// write prints the windows as a table.
func (s windowsState) write(to io.Writer) error {
	t := newTable(to)
	if len(s.Windows) == 0 {
		t.row("no windows")
	} else {
		t.row("WINDOW\tSTATE\tMOVED\tNODES\tTENANTS\tFROM\tTO\tFREE UNTIL\tWAITS FOR")
	}
	for _, w := range s.Windows {
		freeUntil := "-"
		if !w.FreeUntil.IsZero() {
			freeUntil = formatTime(w.FreeUntil)
		}
		waits := w.WaitsFor
		if w.Reason != "" {
			waits = strings.TrimPrefix(waits+"; "+w.Reason, "; ")
		}
		t.row("%s\t%s\t%.0f%%\t%s\t%s\t%s\t%s\t%s\t%s", w.ID, w.State, 100*w.Moved, strings.Join(w.Nodes, ","),
			strings.Join(w.Tenants, ","), formatTime(w.From), formatTime(w.To), freeUntil, waits)
	}
	for _, o := range s.Outcomes {
		if o.Status == policy.StatusRejected.String() {
			t.row("call %s\t%s", o.ID, o.rejection())
		}
	}
	return t.flush()
}
