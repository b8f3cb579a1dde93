package judge

import (
	"fmt"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// describer describes events as text.
type describer struct {
	scenario *scenario.Scenario
	run      *record.Run
	servers  *[]record.Server
}

func (d describer) agent(n int32) string {
	if n < 0 || int(n) >= len(d.run.Agents) {
		return fmt.Sprintf("agent %d", n)
	}
	return d.run.Agents[n].Name
}

func (d describer) server(n int32) string {
	if n < 0 || int(n) >= len(*d.servers) {
		return fmt.Sprintf("server %d", n)
	}
	return (*d.servers)[n].ID
}

// events returns a function that describes the events of a request and the event that broke the
// rule, either of which may be nil.
func (d describer) events(req *request, last *record.Event) func() []Line {
	return func() (lines []Line) {
		if req != nil {
			for i := range req.events {
				lines = append(lines, d.line(&req.events[i]))
			}
		}
		if last != nil {
			lines = append(lines, d.line(last))
		}
		return lines
	}
}

// roundToMS rounds a duration to milliseconds for display.
func roundToMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func (d describer) line(e *record.Event) Line { return Line{Moment(e.At), d.text(e)} }

var (
	answerNames = [...]string{record.Served: "served", record.Refused: "refused", record.Failed: "failed"}
	stateNames  = [...]string{record.Active: "active", record.Draining: "leaving", record.Gone: "gone"}

	outcomeNames = [...]string{
		record.OK: "a 200", record.Error: "an error", record.Rejected: "rejected",
		record.NoConnection: "no connection", record.Broken: "connection broken",
		record.Abandoned:        "the agent stopped waiting",
		record.Unwritten:        "the agent stopped before it was written",
		record.UnreadableAnswer: "an unreadable answer",
	}
)

func (d describer) text(e *record.Event) string {
	agent, server := d.agent(e.Agent), d.server(e.Server)
	switch e.Kind {
	case record.RequestReceived:
		return fmt.Sprintf("%s receives request %d, try %d of %d, %s, with %v left",
			agent, e.RequestID, e.Try, e.Chain, d.scenario.Classes[e.Class].Name, roundToMS(e.Left))
	case record.Answered:
		return fmt.Sprintf("%s answers request %d: %s", agent, e.RequestID, answerNames[e.Answer])
	case record.ConnectionLost:
		return fmt.Sprintf("%s ends the connection of request %d", agent, e.RequestID)
	case record.ClientLeft:
		return fmt.Sprintf("the client of request %d closes its connection", e.RequestID)
	case record.AttemptSent:
		return fmt.Sprintf("%s sends attempt %d of request %d to %s", agent, e.Attempt, e.RequestID, server)
	case record.AttemptReached:
		return fmt.Sprintf("attempt %d of request %d, %v of work, reaches %s", e.Attempt, e.RequestID,
			roundToMS(e.Work), server)
	case record.AttemptEnded:
		return fmt.Sprintf("attempt %d of request %d at %s: %s", e.Attempt, e.RequestID, server,
			outcomeNames[e.Outcome])
	case record.WorkDone:
		ran := "was dropped before it ran"
		if e.Ran {
			ran = "ran"
		}
		return fmt.Sprintf("attempt %d of request %d at %s %s", e.Attempt, e.RequestID, server, ran)
	default:
		return fmt.Sprintf("%s is notified that %s is %s", agent, server, stateNames[e.State])
	}
}
