// Package report writes the result of a rehearsal as JSON for programs, as text for a terminal, and as a
// self-contained HTML page. The same virtual-time run gives the same bytes in all three: the output does not
// depend on the clock, on map order or on the machine.
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

// Schema is the version of the JSON form. It is incremented when a key is removed or changes its meaning;
// new keys may be added without an increment.
const Schema = 1

// Report is the result of a run.
type Report struct {
	Schema   int      `json:"schema"`
	Scenario string   `json:"scenario"`
	About    string   `json:"about"`
	Seed     uint64   `json:"seed"`
	Without  []string `json:"without"`   // names of the disabled protections
	CutShort bool     `json:"cut_short"` // the run ended early; the report covers the run so far
	Crash    *Crash   `json:"crash,omitempty"`
	Live     *Live    `json:"live,omitempty"` // set for a live run
	// Timeline has the entries in order of time. TimelineDropped is the number of entries beyond the limit.
	Timeline        []TimelineEntry `json:"timeline,omitempty"`
	TimelineDropped int             `json:"timeline_dropped,omitempty"`
	judge.Verdict

	lanes []string
}

// New returns a report of a verdict.
func New(scenario, about string, seed uint64, without []string, v judge.Verdict) *Report {
	return &Report{
		Schema: Schema, Scenario: scenario, About: about, Seed: seed,
		Without: append([]string{}, without...), Verdict: v,
	}
}

// Crash is a panic of the agents' code during a virtual-time run.
type Crash struct {
	AfterS float64  `json:"after_s"` // whole seconds of the run before the panic
	Cause  string   `json:"cause"`
	Calls  []string `json:"calls"` // stack of the panic, innermost function first
}

const (
	maxCalls   = 40
	ownModule  = "dunestep/"
	panicOwner = "runtime."
)

// NewCrash returns the crash for a recovered panic. It must be called from the deferred function that
// recovers. It contains no addresses, which differ between runs.
func NewCrash(after time.Duration, cause any) *Crash {
	c := &Crash{AfterS: after.Seconds(), Cause: fmt.Sprint(cause)}
	var callers [maxCalls]uintptr
	frames := runtime.CallersFrames(callers[:runtime.Callers(2, callers[:])])
	for panicked := false; ; {
		f, more := frames.Next()
		if strings.HasPrefix(f.Function, panicOwner) {
			panicked = true // the frames before it belong to the recovery
		} else if panicked && strings.HasPrefix(f.Function, ownModule) {
			c.Calls = append(c.Calls, fmt.Sprintf("%s (%s:%d)", f.Function, path.Base(f.File), f.Line))
		}
		if !more {
			return c
		}
	}
}

// JSON writes the report as indented JSON.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.SetEscapeHTML(false)
	return e.Encode(r)
}
