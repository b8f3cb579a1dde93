package maintenance

import (
	"fmt"
	"time"
	"unicode/utf8"
)

// storedWindow is a window as records and snapshots have it. It is encoded as an array: fields are only ever
// added at the end.
type storedWindow struct {
	_                               struct{} `cbor:",toarray"`
	ID                              string
	Agent                           int
	Nodes, Tenants                  []string
	From, DrainedAt, ReturnFrom, To time.Duration
	Steps                           int
	PolicyVersion                   uint64
	State                           State
	StateSince                      time.Duration // zero: as it was accepted
	HeldSteps                       int           // moved when it was paused, resumed or returned
	Reason                          string
	ChangeCount                     uint64        // how often its state has changed
	ConfirmedAt                     time.Duration // when a leader had applied its acceptance; zero: not yet
	MinNotice                       time.Duration // of the fleet that it was asked for in
}

// Bounds of a window.
const (
	// MaxServers is the most servers of a window.
	MaxServers = 64
	// MaxSteps is the most steps of a window.
	MaxSteps = 1000

	maxTenants    = 64
	maxNameSize   = 64                  // bytes of a window's, a server's or a tenant's name
	maxReasonSize = 80                  // bytes
	maxNamesSize  = 2 << 10             // bytes of all names together
	maxLeadTime   = 62 * 24 * time.Hour // from its proposal to its beginning
	maxLength     = 48 * time.Hour      // from its beginning to its end
)

func newStoredWindow(w *Window) *storedWindow {
	return &storedWindow{
		ID: w.ID, Agent: w.Agent, Nodes: w.Nodes, Tenants: w.Tenants, From: w.From, DrainedAt: w.DrainedAt,
		ReturnFrom: w.ReturnFrom, To: w.To, Steps: w.Steps, PolicyVersion: w.PolicyVersion,
	}
}

// window is the stored window as other packages see it.
func (w *storedWindow) window() *Window {
	return &Window{
		ID: w.ID, Agent: w.Agent, Nodes: w.Nodes, Tenants: w.Tenants, From: w.From, DrainedAt: w.DrainedAt,
		ReturnFrom: w.ReturnFrom, To: w.To, Steps: w.Steps, PolicyVersion: w.PolicyVersion, State: w.State,
		StateSince: w.StateSince, HeldFraction: float64(w.HeldSteps) / float64(max(w.Steps, 1)), Reason: w.Reason,
	}
}

// isOver tells whether the window has ended, or was stopped before it began.
func (w *storedWindow) isOver() bool { return w.State == Ended || w.State == Stopped }

// isInvalid tells whether a window of a snapshot could never have been accepted.
func (w *storedWindow) isInvalid() bool {
	return invalidReason(&record{ID: w.ID, Now: w.From - w.MinNotice, Window: w}) != ""
}

// invalidReason says why a proposed window could never be accepted; empty: it could.
func invalidReason(r *record) string {
	w := r.Window
	switch {
	case w == nil || w.ID != r.ID || !isValidName(r.ID):
		return fmt.Sprintf("a name of 1 to %d bytes", maxNameSize)
	case !hasValidTargets(w):
		return fmt.Sprintf("1 to %d nodes and 1 to %d tenants, with names of %d bytes together", MaxServers,
			maxTenants, maxNamesSize)
	case w.From >= w.DrainedAt || w.DrainedAt > w.ReturnFrom || w.ReturnFrom >= w.To || w.To-w.From > maxLength:
		return "its times make no sense"
	case w.Steps < 1 || w.Steps > MaxSteps:
		return fmt.Sprintf("1 to %d steps", MaxSteps)
	case w.MinNotice <= 0 || w.MinNotice > maxLeadTime || w.From < r.Now+w.MinNotice ||
		w.From > r.Now+maxLeadTime:
		return fmt.Sprintf("it has to begin %v to %v ahead", w.MinNotice, maxLeadTime)
	}
	return ""
}

// hasValidTargets tells whether the numbers, names and order of servers and tenants are valid.
func hasValidTargets(w *storedWindow) bool {
	return len(w.Nodes) > 0 && len(w.Nodes) <= MaxServers &&
		len(w.Tenants) > 0 && len(w.Tenants) <= maxTenants &&
		areValidNames(w.Nodes, w.Tenants) && isSortedSet(w.Nodes) && isSortedSet(w.Tenants)
}

// isSortedSet tells whether names are sorted, each of them once.
func isSortedSet(names []string) bool {
	for i := range names {
		if i > 0 && names[i] <= names[i-1] {
			return false
		}
	}
	return true
}

func isValidName(s string) bool { return s != "" && len(s) <= maxNameSize && utf8.ValidString(s) }

// areValidNames tells whether all names are valid, and not too long together.
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
