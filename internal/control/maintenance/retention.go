package maintenance

import (
	"slices"
	"strings"
	"time"
)

const (
	// keepEnded is how long a window that is over is shown.
	keepEnded = 24 * time.Hour
	// keepHistory is how long a window counts for its tenants: longer than a month.
	keepHistory = 33 * 24 * time.Hour
)

// tenantHistory is when windows of a tenant began that are over.
type tenantHistory struct {
	_            struct{} `cbor:",toarray"`
	Tenant       string
	BeginMinutes []uint32 // Unix time in minutes
}

func compareTenant(h tenantHistory, tenant string) int { return strings.Compare(h.Tenant, tenant) }

// CountWindows counts the windows of a tenant that begin in a time, whether they are over or not. Windows
// that ended before they began do not count.
func (m *StateMachine) CountWindows(tenant string, from, to time.Duration) (n int) {
	in := func(at time.Duration) bool { return at >= from && at < to }
	for _, w := range m.state.Windows {
		if !w.isOver() && in(w.From) && slices.Contains(w.Tenants, tenant) {
			n++
		}
	}
	for _, h := range m.state.History {
		for _, minute := range h.BeginMinutes {
			if h.Tenant == tenant && in(time.Duration(minute)*time.Minute) {
				n++
			}
		}
	}
	return n
}

// addToHistory has a window that has begun count for its tenants.
func (m *StateMachine) addToHistory(w *storedWindow) {
	all := slices.Clone(m.state.History)
	for _, tenant := range w.Tenants {
		i, found := slices.BinarySearchFunc(all, tenant, compareTenant)
		if !found {
			all = slices.Insert(all, i, tenantHistory{Tenant: tenant})
		}
		all[i].BeginMinutes = append(slices.Clone(all[i].BeginMinutes), uint32(w.From/time.Minute))
	}
	m.state.History = all
}

// hasRoom tells whether the state has room for another window.
func (m *StateMachine) hasRoom(w *storedWindow) bool {
	all := append(slices.Clone(m.state.Windows), w)
	return len(all) <= maxWindows && maxWindowBytes(all) <= maxWindowsSize &&
		m.maxHistoryBytes(all) <= maxHistorySize
}

// maxWindowBytes is the most bytes that windows may come to have in a snapshot.
func maxWindowBytes(all []*storedWindow) (n int) {
	const timesGrowth = 40 // bytes, of times and counts that are set later
	for _, w := range all {
		n += len(marshal(w)) + maxReasonSize + timesGrowth
	}
	return n
}

// maxHistoryBytes is the most bytes that the history may come to have once all windows are over.
func (m *StateMachine) maxHistoryBytes(all []*storedWindow) int {
	const entrySize = 12 // bytes beside the tenant's name
	n := len(marshal(m.state.History))
	for _, w := range all {
		for _, tenant := range w.Tenants {
			n += len(tenant) + entrySize
		}
	}
	return n
}

// advanceTime takes the time of a record and drops what has expired by it. Records' times are at most a
// window's end, whatever clocks show.
func (m *StateMachine) advanceTime(now time.Duration) {
	m.state.Now = max(m.state.Now, now)
	m.dropExpired(m.state.Now)
}

// dropExpired drops windows and history that were kept for long enough.
func (m *StateMachine) dropExpired(now time.Duration) {
	m.state.Windows = slices.DeleteFunc(slices.Clone(m.state.Windows), func(w *storedWindow) bool {
		return w.isOver() && w.StateSince < now-keepEnded
	})
	var history []tenantHistory
	for _, h := range m.state.History {
		recent := slices.DeleteFunc(slices.Clone(h.BeginMinutes), func(minute uint32) bool {
			return time.Duration(minute)*time.Minute < now-keepHistory
		})
		if len(recent) > 0 {
			history = append(history, tenantHistory{Tenant: h.Tenant, BeginMinutes: recent})
		}
	}
	m.state.History = history
}
