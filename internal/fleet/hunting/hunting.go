// Package hunting selects the seeds of a fault search in virtual time: all of a test's, or those of the
// environment variable HUNT. It is for tests only.
package hunting

import (
	"fmt"
	"os"
	"testing"
)

// Row is a fault search in fleets of one size, with the seeds From to To-1.
type Row struct {
	Agents     int
	From, To   uint64
	isSelected bool
}

// SelectRows returns the rows, or instead of them the one of HUNT, such as "300 200 400": 300 agents, seeds
// 200 to 399. So several processes can share the seeds of a search. It panics if HUNT is malformed.
func SelectRows(rows []Row) []Row {
	text := os.Getenv("HUNT")
	if text == "" {
		return rows
	}
	r := Row{isSelected: true}
	if _, err := fmt.Sscan(text, &r.Agents, &r.From, &r.To); err != nil || r.From >= r.To {
		panic(fmt.Sprintf("HUNT=%q: need the number of agents, the first seed and the one after the last", text))
	}
	return []Row{r}
}

// Log logs the result of a seed if seeds were selected, so that the progress of a search is known when it is
// stopped, and two builds can be compared.
func (r Row) Log(t *testing.T, seed uint64, format string, args ...any) {
	if r.isSelected {
		t.Logf("%d agents, seed %d: %s", r.Agents, seed, fmt.Sprintf(format, args...))
	}
}
