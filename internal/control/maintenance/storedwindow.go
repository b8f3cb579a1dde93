package maintenance

import (
	"fmt"
	"time"
	"unicode/utf8"
)

// storedWindow is the form of a window in records and snapshots. It is encoded as an array, so new fields may
// only be added at the end.
type storedWindow struct {
	_                               struct{} `cbor:",toarray"`
	ID                              string
	Agent                           int
	Nodes, Tenants                  []string
	From, DrainedAt, ReturnFrom, To time.Duration
	Steps                           int
	PolicyVersion                   uint64
	State                           State
	StateSince                      time.Duration // zero: unchanged since acceptance
	HeldSteps                       int           // steps moved when it was last paused, resumed or returned
	Reason                          string
	ChangeCount                     uint64        // number of records that have changed it
	ConfirmedAt                     time.Duration // when a leader applied its acceptance; zero: not yet
	MinNotice                       time.Duration // the fleet's minimum notice when it was proposed
}

// Bounds of a window.
const (
	// MaxServers is the maximum number of servers in a window.
	MaxServers = 64
	// MaxSteps is the maximum number of steps of a window.
	MaxSteps = 1000

	maxTenants    = 64
	maxNameSize   = 64                  // bytes of the name of a window, server or tenant
	maxReasonSize = 80                  // bytes
	maxNamesSize  = 2 << 10             // bytes of all names in total
	maxLeadTime   = 62 * 24 * time.Hour // from proposal to beginning
	maxLength     = 48 * time.Hour      // from beginning to end
)

func newStoredWindow(w *Window) *storedWindow {
	return &storedWindow{
		ID: w.ID, Agent: w.Agent, Nodes: w.Nodes, Tenants: w.Tenants, From: w.From, DrainedAt: w.DrainedAt,
		ReturnFrom: w.ReturnFrom, To: w.To, Steps: w.Steps, PolicyVersion: w.PolicyVersion,
	}
}

// window converts the stored window to the exported type.
func (w *storedWindow) window() *Window {
	return &Window{
		ID: w.ID, Agent: w.Agent, Nodes: w.Nodes, Tenants: w.Tenants, From: w.From, DrainedAt: w.DrainedAt,
		ReturnFrom: w.ReturnFrom, To: w.To, Steps: w.Steps, PolicyVersion: w.PolicyVersion, State: w.State,
		StateSince: w.StateSince, HeldFraction: float64(w.HeldSteps) / float64(max(w.Steps, 1)), Reason: w.Reason,
	}
}

// isOver reports whether the window has ended, or was stopped before it began.
func (w *storedWindow) isOver() bool { return w.State == Ended || w.State == Stopped }

// isInvalid reports whether a window in a snapshot could never have been accepted.
func (w *storedWindow) isInvalid() bool {
	return invalidReason(&record{ID: w.ID, Now: w.From - w.MinNotice, Window: w}) != ""
}

// invalidReason returns why a proposed window can never be accepted; empty if it is valid.
func invalidReason(r *record) string {
	w := r.Window
	switch {
	case w == nil || w.ID != r.ID || !isValidName(r.ID):
		return fmt.Sprintf("its name must have 1 to %d bytes", maxNameSize)
	case !hasValidTargets(w):
		return fmt.Sprintf("it must have 1 to %d nodes and 1 to %d tenants, with names of %d bytes in total",
			MaxServers, maxTenants, maxNamesSize)
	case w.From >= w.DrainedAt || w.DrainedAt > w.ReturnFrom || w.ReturnFrom >= w.To || w.To-w.From > maxLength:
		return "its times are out of order, or it is too long"
	case w.Steps < 1 || w.Steps > MaxSteps:
		return fmt.Sprintf("it must have 1 to %d steps", MaxSteps)
	case w.MinNotice <= 0 || w.MinNotice > maxLeadTime || w.From < r.Now+w.MinNotice ||
		w.From > r.Now+maxLeadTime:
		return fmt.Sprintf("it must begin %v to %v after it is proposed", w.MinNotice, maxLeadTime)
	}
	return ""
}

// hasValidTargets reports whether the numbers, names and order of servers and tenants are valid.
func hasValidTargets(w *storedWindow) bool {
	return len(w.Nodes) > 0 && len(w.Nodes) <= MaxServers &&
		len(w.Tenants) > 0 && len(w.Tenants) <= maxTenants &&
		areValidNames(w.Nodes, w.Tenants) && isSortedSet(w.Nodes) && isSortedSet(w.Tenants)
}

// isSortedSet reports whether names are sorted without duplicates.
func isSortedSet(names []string) bool {
	for i := range names {
		if i > 0 && names[i] <= names[i-1] {
			return false
		}
	}
	return true
}

func isValidName(s string) bool { return s != "" && len(s) <= maxNameSize && utf8.ValidString(s) }

// areValidNames reports whether all names are valid and their total size is at most maxNamesSize.
func areValidNames(lists ...[]string) bool {
	size := 0
	for _, names := range lists {
		for _, n := range names {
			if !isValidName(n) {
				return false
			}
			size += len(n)
		}
	}
	return size <= maxNamesSize
}
