// Package report writes how a rehearsed day went: as JSON for programs, as text for a terminal, and as one
// page of HTML that needs nothing else. The same day gives the same bytes in all three: no clock, no map
// order and nothing of the machine goes into them.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"path"
	"runtime"
	"strings"
	"time"

	"dunestep/internal/rehearsal/judge"
)

// Schema is the version of the JSON form. It goes up when a key changes its meaning or goes away; new keys
// may come without.
const Schema = 1

// Report is a rehearsed day.
type Report struct {
	Schema   int      `json:"schema"`
	Scenario string   `json:"scenario"`
	About    string   `json:"about"`
	Seed     uint64   `json:"seed"`
	Without  []string `json:"without"`   // the module's protections that were taken out
	CutShort bool     `json:"cut_short"` // the day was broken off; the rest is of the day so far
	Crash    *Crash   `json:"crash,omitempty"`
	Live     *Live    `json:"live,omitempty"` // of a day that was played by real agents
	// Timeline is what happened, in lanes side by side. MarksDropped: there was no room for so many more.
	Timeline     []Mark `json:"timeline,omitempty"`
	MarksDropped int    `json:"timeline_dropped,omitempty"`
	judge.Verdict

	lanes []string
}

// New puts a report together.
func New(scenario, about string, seed uint64, without []string, v judge.Verdict) *Report {
	return &Report{
		Schema: Schema, Scenario: scenario, About: about, Seed: seed,
		Without: append([]string{}, without...), Verdict: v,
	}
}

// Crash is a panic of the code that was played.
type Crash struct {
	AfterS float64  `json:"after_s"` // whole seconds of the day that had been played
	Cause  string   `json:"cause"`
	Calls  []string `json:"calls"` // the functions it came up through, the innermost first
}

const (
	mostCalls  = 40
	ownModule  = "dunestep/"
	panicOwner = "runtime."
)

// NewCrash words a panic, where it is recovered. It holds no addresses, which differ from run to run.
func NewCrash(after time.Duration, cause any) *Crash {
	c := &Crash{AfterS: after.Seconds(), Cause: fmt.Sprint(cause)}
	var calls [mostCalls]uintptr
	frames := runtime.CallersFrames(calls[:runtime.Callers(2, calls[:])])
	for panicked := false; ; {
		f, more := frames.Next()
		if strings.HasPrefix(f.Function, panicOwner) {
			panicked = true // what lies above it is the recovery
		} else if panicked && strings.HasPrefix(f.Function, ownModule) {
			c.Calls = append(c.Calls, fmt.Sprintf("%s (%s:%d)", f.Function, path.Base(f.File), f.Line))
		}
		if !more {
			return c
		}
	}
}

// JSON writes the report for programs.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.SetEscapeHTML(false)
	return e.Encode(r)
}
