package scenario

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// ExactSpan returns a span with a single value.
func ExactSpan(v float64) Span { return Span{v, v} }

// ExactTime returns a time span with a single value.
func ExactTime(d time.Duration) TimeSpan { return TimeSpan{d, d} }

// Describe returns a one-line description of the fault and what it affects.
func (t *FaultSpec) Describe() string {
	some := func(numbers []int, what string) string {
		if len(numbers) == 0 {
			return ""
		}
		return what + strings.Trim(strings.ReplaceAll(fmt.Sprint(numbers), " ", " n"), "[]")
	}
	text := string(t.Kind) + some(t.Agents, " n") + some(t.From, " from n") + some(t.To, " to n")
	switch {
	case t.Kind == Streams:
		return text + " " + t.Stream + ": " + string(t.Fault)
	case t.Kind == FaultyAnswers:
		text += ": " + string(t.Fault)
	}
	if t.Count > 0 {
		text += fmt.Sprintf(", %d agents", t.Count)
	}
	if t.Zone != "" {
		text += ", " + t.Zone
	}
	return text
}

// Check validates faults that were built by a program, for a fleet with the given number of agents, like
// faults from a file. It returns them with their defaults filled in; errors are stricttoml.Problems, whose
// keys give the position.
func Check(agents int, faults []FaultSpec) ([]FaultSpec, error) {
	s, err := Parse("troubles", []byte(checkScenario))
	if err != nil {
		return nil, err
	}
	s.Agents.Count = agents
	last := time.Duration(0)
	for _, f := range faults {
		if f.Stream == "" {
			f.Stream = "both"
		}
		if f.StateDir == "" {
			f.StateDir = "lasts"
		}
		if f.Drain == (TimeSpan{}) {
			f.Drain = TimeSpan{2700 * time.Millisecond, 5400 * time.Millisecond} // the key's default
		}
		last = max(last, f.At.High)
		s.Faults = append(s.Faults, f)
	}
	s.Run.Length = max(time.Duration(math.Ceil(last.Seconds()))*time.Second, 0) + time.Second
	text, err := Encode(s)
	if err != nil {
		return nil, err
	}
	checked, err := Parse("troubles", text)
	if err != nil {
		return nil, err
	}
	return checked.Faults, nil
}

// checkScenario is the scenario that Check puts the faults into.
const checkScenario = `schema = 1
name = "troubles"
floor = 0
day = {length_s = 1, from_s = 0}
load = {per_s = 1}
agents = {count = 1}
fleet = {servers = 1}
kind = [{name = "any", share = 1, cores = 2, speed = 1}]
class = [{name = "any", share = 1, work_ms = 5, aim_ms = 9, deadline_ms = 9, worth = 1, effect = "safe"}]
`
