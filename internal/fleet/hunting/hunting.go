// Package hunting says which seeds a hunt in virtual time plays: all of a test's, or those that are asked
// for.
package hunting

import (
	"fmt"
	"os"
	"testing"
)

// Row is a hunt at fleets of one size: seeds From to To-1.
type Row struct {
	Agents     int
	From, To   uint64
	isSelected bool
}

// SelectRows returns the rows, or in their place the one of HUNT, as "300 200 400": 300 agents, seeds 200 to 399.
// Several processes can share a hunt's seeds so.
func SelectRows(rows []Row) []Row {
	text := os.Getenv("HUNT")
	if text == "" {
		return rows
	}
	r := Row{isSelected: true}
	if _, err := fmt.Sscan(text, &r.Agents, &r.From, &r.To); err != nil || r.From >= r.To {
		panic(fmt.Sprintf("HUNT=%q: agents, the first seed, and the one after the last are needed", text))
	}
	return []Row{r}
}

// Log tells what a seed has come to, where seeds are asked for: whoever ends a hunt knows how far it got, and
// two programs can be compared.
func (r Row) Log(t *testing.T, seed uint64, format string, args ...any) {
	if r.isSelected {
		t.Logf("%d agents, seed %d: %s", r.Agents, seed, fmt.Sprintf(format, args...))
	}
}
