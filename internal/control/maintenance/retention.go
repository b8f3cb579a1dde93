package maintenance

import (
	"slices"
	"strings"
	"time"
)

const (
	// endedRetention is the time for which a window that is over is kept.
	endedRetention = 24 * time.Hour
	// historyRetention is the time for which a window counts for its tenants; it must be longer than a month,
	// because contracts limit the windows per month.
	historyRetention = 33 * 24 * time.Hour
)

// tenantHistory has the beginnings of a tenant's windows that are over.
type tenantHistory struct {
	_            struct{} `cbor:",toarray"`
	Tenant       string
	BeginMinutes []uint32 // Unix time in minutes
}

func compareTenant(h tenantHistory, tenant string) int { return strings.Compare(h.Tenant, tenant) }

// CountWindows returns the number of a tenant's windows that begin in [from, to), including windows that are
// over. Windows that were ended before they began do not count.
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

// addToHistory adds the beginning of a window that is over to the history of its tenants.
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

// hasRoom reports whether the state stays within its bounds with another window.
func (m *StateMachine) hasRoom(w *storedWindow) bool {
	all := append(slices.Clone(m.state.Windows), w)
	return len(all) <= maxWindows && maxWindowBytes(all) <= maxWindowsSize &&
		m.maxHistoryBytes(all) <= maxHistorySize
}

// maxWindowBytes returns the maximum size in bytes that windows can reach in a snapshot.
func maxWindowBytes(all []*storedWindow) (n int) {
	const timesGrowth = 40 // bytes of times and counts that are set later
	for _, w := range all {
		n += len(marshal(w)) + maxReasonSize + timesGrowth
	}
	return n
}

// maxHistoryBytes returns the maximum size in bytes that the history can reach once all windows are over.
func (m *StateMachine) maxHistoryBytes(all []*storedWindow) int {
	const entrySize = 12 // bytes in addition to the tenant's name
	n := len(marshal(m.state.History))
	for _, w := range all {
		for _, tenant := range w.Tenants {
			n += len(tenant) + entrySize
		}
	}
	return n
}

// advanceTime advances the state's time to that of a record and drops what has expired. Apply limits the time
// of a record to the end of its window, so a wrong clock cannot advance it further.
func (m *StateMachine) advanceTime(now time.Duration) {
	m.state.Now = max(m.state.Now, now)
	m.dropExpired(m.state.Now)
}

// dropExpired removes windows that have been over for endedRetention, and history older than
// historyRetention.
func (m *StateMachine) dropExpired(now time.Duration) {
	m.state.Windows = slices.DeleteFunc(slices.Clone(m.state.Windows), func(w *storedWindow) bool {
		return w.isOver() && w.StateSince < now-endedRetention
	})
	var history []tenantHistory
	for _, h := range m.state.History {
		recent := slices.DeleteFunc(slices.Clone(h.BeginMinutes), func(minute uint32) bool {
			return time.Duration(minute)*time.Minute < now-historyRetention
		})
		if len(recent) > 0 {
			history = append(history, tenantHistory{Tenant: h.Tenant, BeginMinutes: recent})
		}
	}
	m.state.History = history
}
