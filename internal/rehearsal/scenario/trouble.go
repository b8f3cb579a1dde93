package scenario

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Exactly is a figure that every day draws the same.
func Exactly(v float64) Span { return Span{v, v} }

// Always is a time that every day draws the same.
func Always(d time.Duration) TimeSpan { return TimeSpan{d, d} }

// Words says in a line what comes over whom, for people.
func (t *Trouble) Words() string {
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
	case t.Kind == OnWire:
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

// Check checks troubles that a program has put together as those of a file are checked, for a fleet of so
// many agents. It returns them with their defaults filled in; the error is stricttoml.Problems, whose keys
// tell where.
func Check(agents int, troubles []Trouble) ([]Trouble, error) {
	s, err := Parse("troubles", []byte(checkDay))
	if err != nil {
		return nil, err
	}
	s.Agents.Count = agents
	last := time.Duration(0)
	for _, t := range troubles {
		if t.Stream == "" {
			t.Stream = "both"
		}
		if t.Folder == "" {
			t.Folder = "lasts"
		}
		if t.Drain == (TimeSpan{}) {
			t.Drain = TimeSpan{2700 * time.Millisecond, 5400 * time.Millisecond} // the key's default
		}
		last = max(last, t.At.High)
		s.Troubles = append(s.Troubles, t)
	}
	s.Day.Length = max(time.Duration(math.Ceil(last.Seconds()))*time.Second, 0) + time.Second
	text, err := Encode(s)
	if err != nil {
		return nil, err
	}
	checked, err := Parse("troubles", text)
	if err != nil {
		return nil, err
	}
	return checked.Troubles, nil
}

// checkDay is a day that troubles are put into to be checked.
const checkDay = `schema = 1
name = "troubles"
floor = 0
day = {length_s = 1, from_s = 0}
load = {per_s = 1}
agents = {count = 1}
fleet = {servers = 1}
kind = [{name = "any", share = 1, cores = 2, speed = 1}]
class = [{name = "any", share = 1, work_ms = 5, aim_ms = 9, deadline_ms = 9, worth = 1, effect = "safe"}]
`
