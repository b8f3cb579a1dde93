package judge

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Rule is the result of checking one of the rules.
type Rule struct {
	Name     string  `json:"name"`
	Text     string  `json:"text"` // the requirement
	Breaches int     `json:"breaches"`
	First    *Breach `json:"first,omitempty"` // nil: the rule was kept
}

// Breach is a breach of a rule with the events that led to it, in order of time.
type Breach struct {
	At     Moment `json:"at_s"`
	Text   string `json:"text"`
	Events []Line `json:"events"`
}

// Line is the description of an event.
type Line struct {
	At   Moment `json:"at_s"`
	Text string `json:"text"`
}

// Moment is a time since the start of the run, encoded in JSON as seconds.
type Moment time.Duration

// Seconds returns the time in seconds.
func (m Moment) Seconds() float64 { return time.Duration(m).Seconds() }

// MarshalJSON implements json.Marshaler.
func (m Moment) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, m.Seconds(), 'f', 6, 64), nil
}

// UnmarshalJSON implements json.Unmarshaler, for reports that are compared.
func (m *Moment) UnmarshalJSON(text []byte) error {
	s, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.Abs(s) > math.MaxInt64/1e9 {
		return fmt.Errorf("judge: %q is not a time in seconds", text)
	}
	*m = Moment(math.Round(s * float64(time.Second)))
	return nil
}

// addBreach counts a breach and keeps the earliest; only a kept one's events are described.
func (r *Rule) addBreach(at time.Duration, events func() []Line, format string, args ...any) {
	r.Breaches++
	if r.First == nil || at < time.Duration(r.First.At) {
		r.First = &Breach{Moment(at), fmt.Sprintf(format, args...), events()}
	}
}

// merge adds the breaches of another count.
func (r *Rule) merge(other *Rule) {
	r.Breaches += other.Breaches
	if r.First == nil || other.First != nil && other.First.At < r.First.At {
		r.First = other.First
	}
}

// answerChecker checks the first rule: each request that a running agent receives gets exactly one final
// answer before the client gives up, and a served answer is one that an upstream server produced for it.
type answerChecker struct {
	Rule
	describe                describer
	requests                *requestTracker
	tries, closedUnanswered int
	firstClosed             Line
	sentAfterLeft           int // attempts that began after their clients had left
	unansweredRule          Rule
}

const (
	// One try in closedOneIn may find its new connection closed without an answer by an agent that is shutting
	// down. More than that count as lost.
	closedOneIn = 200
	// An attempt may begin until clientLeftGrace after its client closed its connection; maxSentAfterLeft
	// attempts of a run may begin later.
	clientLeftGrace  = 100 * time.Millisecond
	maxSentAfterLeft = 2
	// extraUnanswered requests may stay unanswered in addition to the scenario's one in OneUnansweredIn.
	extraUnanswered = 5
)

func newAnswerChecker(d describer, requests *requestTracker) *answerChecker {
	return &answerChecker{describe: d, requests: requests, Rule: Rule{
		Name: "answers",
		Text: "exactly one final answer in time for each received request, a served one as a server produced it",
	}}
}

func (c *answerChecker) verdict() Rule { return c.Rule }

func (c *answerChecker) observe(e *record.Event, req *request) {
	if e.Kind == record.RequestReceived || e.Kind == record.RequestUnreached {
		c.tries++
	}
	if e.ClosedByShutdown {
		if c.closedUnanswered++; c.closedUnanswered == 1 {
			c.firstClosed = Line{Moment(e.At), fmt.Sprintf(
				"%s closes the new connection of request %d without an answer",
				c.describe.agent(e.Agent), e.RequestID)}
		}
	}
	if req == nil {
		return
	}
	id := req.received.RequestID
	switch e.Kind {
	case record.Answered:
		c.answered(e, req)
	case record.ConnectionLost:
		if !req.closed {
			c.addBreach(e.At, c.describe.events(req, e),
				"%s ended the connection of request %d without a complete answer", c.describe.agent(e.Agent), id)
		}
	case record.ClientLeft:
		if !req.closed && !req.agentPaused && e.At >= req.deadline {
			c.unanswered(req)
		}
	case record.AttemptSent:
		c.sent(e, req)
	case record.AttemptEnded: // ended after its answer was sent, as when an answer is streamed
		if req.servedBy == int(e.Attempt) && e.Outcome != record.OK {
			c.fabricated(e, req)
		}
	}
}

// sent finds an attempt that begins after its request's final answer, and counts one that begins after its
// client has left.
func (c *answerChecker) sent(e *record.Event, req *request) {
	if req.answered && !req.agentPaused && e.At > req.answeredAt+wireSlack {
		c.addBreach(e.At, c.describe.events(req, e), "%s sent request %d %v after its final answer",
			c.describe.agent(e.Agent), req.received.RequestID, roundToMS(e.At-req.answeredAt))
	}
	if !req.clientLeft || req.agentPaused || e.At <= req.leftAt+clientLeftGrace {
		return
	}
	if c.sentAfterLeft++; c.sentAfterLeft > maxSentAfterLeft {
		c.addBreach(e.At, c.describe.events(req, e),
			"%s began attempt %d of request %d %v after its client had left, "+
				"number %d of its kind in this run", c.describe.agent(e.Agent), e.Attempt, req.received.RequestID,
			roundToMS(e.At-req.leftAt), c.sentAfterLeft)
	}
}

func (c *answerChecker) answered(e *record.Event, req *request) {
	id, agent := req.received.RequestID, c.describe.agent(e.Agent)
	a := req.attempt(e.Attempt)
	switch {
	case req.closed:
		c.addBreach(e.At, c.describe.events(req, e), "%s answered request %d, which was already closed", agent, id)
	case e.At > req.deadline && !req.agentPaused:
		c.unansweredRule.addBreach(e.At, c.describe.events(req, e), "%s answered request %d %v too late", agent, id,
			roundToMS(e.At-req.deadline))
	case e.Answer == record.Served && (a == nil || !a.sent || a.ended && a.outcome != record.OK):
		c.fabricated(e, req)
	}
}

func (c *answerChecker) fabricated(e *record.Event, req *request) {
	c.addBreach(e.At, c.describe.events(req, e),
		"%s served request %d with an answer that no upstream server produced for it",
		c.describe.agent(req.received.Agent), req.received.RequestID)
}

// unanswered counts a request without an answer at its deadline; some scenarios allow a few.
func (c *answerChecker) unanswered(req *request) {
	c.unansweredRule.addBreach(req.deadline, c.describe.events(req, nil), "%s did not answer request %d by %v",
		c.describe.agent(req.received.Agent), req.received.RequestID, roundToMS(req.deadline))
}

// finish counts the requests that never got an answer.
func (c *answerChecker) finish(at time.Duration) {
	for _, req := range c.requests.order {
		if c.requests.open[req.received.RequestID] == req && !req.closed && !req.agentPaused && req.deadline <= at {
			c.unanswered(req)
		}
	}
	if in := c.requests.scenario.Gate.OneUnansweredIn; in == 0 ||
		(c.unansweredRule.Breaches-extraUnanswered)*in > c.tries {
		c.merge(&c.unansweredRule)
	}
	if c.closedUnanswered*closedOneIn > c.tries {
		c.addBreach(time.Duration(c.firstClosed.At), func() []Line { return []Line{c.firstClosed} },
			"%d of %d requests had their new connection closed without an answer; one in %d may", c.closedUnanswered,
			c.tries, closedOneIn)
	}
}

// repeatChecker checks the second rule: a request that may have run is sent again only as its class allows,
// and no more often than the deployment allows.
type repeatChecker struct {
	Rule
	scenario *scenario.Scenario
	describe describer
}

func newRepeatChecker(d describer, sc *scenario.Scenario) *repeatChecker {
	return &repeatChecker{scenario: sc, describe: d, Rule: Rule{
		Name: "repeats",
		Text: "a request that may have run is sent again or refused only as its class allows",
	}}
}

func (c *repeatChecker) verdict() Rule { return c.Rule }

func (c *repeatChecker) finish(time.Duration) {}

func (c *repeatChecker) observe(e *record.Event, req *request) {
	if req == nil {
		return
	}
	unsafe := c.scenario.Classes[req.received.Class].Effect == scenario.Unsafe
	switch e.Kind {
	case record.AttemptSent:
		c.sent(e, req, unsafe)
	case record.Answered:
		if i := attemptThatMayHaveRun(req, -1); unsafe && e.Answer == record.Refused && !req.closed && i >= 0 {
			c.addBreach(e.At, c.describe.events(req, e), "%s refused request %d, though attempt %d may have run",
				c.describe.agent(e.Agent), req.received.RequestID, i)
		}
	case record.WorkDone:
		other := slices.IndexFunc(req.attempts, func(a attempt) bool { return a.worked && a.ran })
		if unsafe && e.Ran && other >= 0 && other != int(e.Attempt) {
			c.addBreach(e.At, c.describe.events(req, e), "request %d ran twice, as attempts %d and %d",
				req.received.RequestID, other, e.Attempt)
		}
	}
}

func (c *repeatChecker) sent(e *record.Event, req *request, unsafe bool) {
	agent, id := c.describe.agent(e.Agent), req.received.RequestID
	if i := attemptThatMayHaveRun(req, e.Attempt); unsafe && i >= 0 {
		c.addBreach(e.At, c.describe.events(req, e), "%s sent request %d again, though attempt %d may have run",
			agent, id, i)
	}
	if a := req.attempt(e.Attempt); a != nil && a.sent {
		c.addBreach(e.At, c.describe.events(req, e), "%s sent attempt %d of request %d twice", agent, e.Attempt, id)
	}
	if int(e.Attempt) >= c.scenario.Allow.MaxAttempts {
		c.addBreach(e.At, c.describe.events(req, e), "%s sent request %d %d times", agent, id, e.Attempt+1)
	}
	out := func(a attempt) bool { return a.sent && !a.ended }
	if !c.scenario.Allow.SecondCopies && slices.ContainsFunc(req.attempts, out) {
		c.addBreach(e.At, c.describe.events(req, e), "%s sent request %d again while an attempt was outstanding",
			agent, id)
	}
}

// attemptThatMayHaveRun returns the number of an attempt other than except that may have run, or -1 if there
// is none.
func attemptThatMayHaveRun(req *request, except int8) int {
	for i := range req.attempts {
		if i != int(except) && req.attempts[i].mayHaveRun() {
			return i
		}
	}
	return -1
}

// drainChecker checks the third rule: an upstream server gets no new work later than the grace period after
// the agent was notified that it drains or is gone.
type drainChecker struct {
	Rule
	describe describer
	grace    time.Duration
	view     *discoveryView
}

func newDrainChecker(d describer, sc *scenario.Scenario, view *discoveryView) *drainChecker {
	return &drainChecker{describe: d, grace: sc.Rules.DrainGrace + wireSlack, view: view, Rule: Rule{
		Name: "drains",
		Text: "nothing new for a server past the grace after the agent was notified that it drains or is gone",
	}}
}

func (c *drainChecker) verdict() Rule { return c.Rule }

func (c *drainChecker) finish(time.Duration) {}

func (c *drainChecker) observe(e *record.Event, req *request) {
	if e.Kind != record.AttemptSent {
		return
	}
	notified, ok := c.view.notifiedToStop(e.Agent, e.Server)
	if !ok || e.At <= notified+c.grace {
		return
	}
	server := c.describe.server(e.Server)
	c.addBreach(e.At, func() []Line {
		lines := []Line{{Moment(notified), fmt.Sprintf(
			"%s notified, or counts as notified, that %s drains or is gone",
			c.describe.agent(e.Agent), server)}}
		if listed := c.view.listed[e.Server]; listed != nil {
			lines = append([]Line{{Moment(listed.at), "discovery learned of it"}}, lines...)
		}
		return append(lines, c.describe.events(req, e)()...)
	}, "%s sent to %s %v after it was notified that the server drains or is gone", c.describe.agent(e.Agent),
		server, roundToMS(e.At-notified))
}
