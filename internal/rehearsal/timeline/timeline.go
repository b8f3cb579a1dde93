// Package timeline records what happened in a fleet in parallel lanes: faults, and others such as views,
// versions and breaches. The program that plays or watches a fleet adds the entries; a report shows them.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Faults is the lane of the injected faults. Every other lane exists as soon as it has an entry.
const Faults = "faults"

// maxEntries limits the entries of a timeline. Later entries are only counted as dropped.
const maxEntries = 20_000

// Entry is one entry of a timeline.
type Entry struct {
	At    time.Duration // since the start of the run
	Lane  string
	Agent string // name of the agent; empty: the whole fleet
	Text  string
}

// Reader extracts a timeline entry from a line of an agent's log. An empty lane means that the line has
// none.
type Reader func(line string) (lane, text string)

// AddLine adds the entry that r finds in a line of an agent's log. A nil reader finds none.
func (t *Timeline) AddLine(r Reader, at time.Duration, agent, line string) {
	if r == nil {
		return
	}
	if lane, text := r(line); lane != "" {
		t.Add(at, lane, agent, text)
	}
}

// Timeline holds entries in the order in which they were added. Its methods are safe for concurrent use;
// the zero value is ready to use.
type Timeline struct {
	mu      sync.Mutex
	entries []Entry
	dropped int
}

// Add adds an entry.
func (t *Timeline) Add(at time.Duration, lane, agent, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) >= maxEntries {
		t.dropped++
		return
	}
	t.entries = append(t.entries, Entry{at, lane, agent, text})
}

// Entries returns all entries sorted by time, entries of the same time in the order in which they were added,
// and the number of entries dropped above the limit.
func (t *Timeline) Entries() (entries []Entry, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries = slices.Clone(t.entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	return entries, t.dropped
}

// Lanes returns the names of the lanes with entries: Faults first, then in the order of their first entry.
func Lanes(entries []Entry) []string {
	var lanes []string
	for _, m := range entries {
		if !slices.Contains(lanes, m.Lane) {
			lanes = append(lanes, m.Lane)
		}
	}
	slices.SortStableFunc(lanes, func(a, b string) int {
		return cmp.Compare(boolInt(a != Faults), boolInt(b != Faults))
	})
	return lanes
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
