package judge

import (
	"fmt"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// words puts events into words.
type words struct {
	set     *scenario.Scenario
	day     *record.Day
	servers *[]record.Server
}

func (w words) agent(n int32) string {
	if n < 0 || int(n) >= len(w.day.Agents) {
		return fmt.Sprintf("agent %d", n)
	}
	return w.day.Agents[n].Name
}

func (w words) server(n int32) string {
	if n < 0 || int(n) >= len(*w.servers) {
		return fmt.Sprintf("server %d", n)
	}
	return (*w.servers)[n].ID
}

// context is the events of an operation and the one that broke the rule (nil: none did), to be worded.
func (w words) context(op *operation, last *record.Event) func() []Line {
	return func() (lines []Line) {
		if op != nil {
			for i := range op.events {
				lines = append(lines, w.line(&op.events[i]))
			}
		}
		if last != nil {
			lines = append(lines, w.line(last))
		}
		return lines
	}
}

// short is a time as it is read, to the millisecond.
func short(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func (w words) line(e *record.Event) Line { return Line{Moment(e.At), w.text(e)} }

var (
	answerWords = [...]string{record.Served: "served", record.Refused: "refused", record.Failed: "failed"}
	stateWords  = [...]string{record.Active: "active", record.Leaving: "leaving", record.Gone: "gone"}

	outcomeWords = [...]string{
		record.OK: "a 200", record.Error: "an error", record.TurnedAway: "turned away",
		record.NoConnection: "no connection", record.Broken: "connection broken", record.GivenUp: "given up",
		record.Unwritten: "given up before it was written", record.SpoiltAnswer: "an answer that can't be read",
	}
)

func (w words) text(e *record.Event) string {
	agent, server := w.agent(e.Agent), w.server(e.Server)
	switch e.Kind {
	case record.Asked:
		return fmt.Sprintf("%s takes operation %d, try %d of %d, %s, with %v left", agent, e.Op, e.Try, e.Chain,
			w.set.Classes[e.Class].Name, short(e.Left))
	case record.Answered:
		return fmt.Sprintf("%s answers operation %d: %s", agent, e.Op, answerWords[e.Answer])
	case record.Lost:
		return fmt.Sprintf("%s ends the connection of operation %d", agent, e.Op)
	case record.Left:
		return fmt.Sprintf("the client of operation %d leaves", e.Op)
	case record.Sent:
		return fmt.Sprintf("%s sends attempt %d of operation %d to %s", agent, e.Attempt, e.Op, server)
	case record.Reached:
		return fmt.Sprintf("attempt %d of operation %d, %v of work, reaches %s", e.Attempt, e.Op,
			short(e.Work), server)
	case record.Ended:
		return fmt.Sprintf("attempt %d of operation %d at %s: %s", e.Attempt, e.Op, server, outcomeWords[e.Outcome])
	case record.Worked:
		ran := "dropped unrun"
		if e.Ran {
			ran = "has run"
		}
		return fmt.Sprintf("attempt %d of operation %d at %s %s", e.Attempt, e.Op, server, ran)
	default:
		return fmt.Sprintf("%s is told that %s is %s", agent, server, stateWords[e.State])
	}
}
