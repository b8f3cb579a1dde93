// Package hunting selects the seeds of a fault search: those listed in a test, or those given in the
// environment variable HUNT. A fault search runs a simulated fleet in virtual time with random faults, once
// for each seed, to find violations of guarantees. The package is for tests only.
package hunting

import (
	"fmt"
	"os"
	"testing"
)

// SeedRange is a fault search in fleets of one size, with the seeds From to To-1.
type SeedRange struct {
	Agents     int
	From, To   uint64
	isSelected bool // by the environment variable
}

// SelectSeedRanges returns the given rows, or only the one in the environment variable HUNT if that is set,
// such as "300 200 400" for 300 agents and the seeds 200 to 399. Several processes can share the seeds of a
// search this way. It panics if HUNT is malformed.
func SelectSeedRanges(rows []SeedRange) []SeedRange {
	text := os.Getenv("HUNT")
	if text == "" {
		return rows
	}
	r := SeedRange{isSelected: true}
	if _, err := fmt.Sscan(text, &r.Agents, &r.From, &r.To); err != nil || r.From >= r.To {
		panic(fmt.Sprintf("HUNT=%q: need the number of agents, the first seed and the one after the last", text))
	}
	return []SeedRange{r}
}

// Log logs the result of a seed if the row was selected by HUNT. The log shows the progress of a search that
// was stopped, and allows the results of two builds to be compared.
func (r SeedRange) Log(t *testing.T, seed uint64, format string, args ...any) {
	if r.isSelected {
		t.Logf("%d agents, seed %d: %s", r.Agents, seed, fmt.Sprintf(format, args...))
	}
}
