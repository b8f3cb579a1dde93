package judge

import (
	"fmt"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// GateLimit is a limit that the gate sets for a run besides its rules and shares: at most a part of a count.
type GateLimit struct {
	Name    string `json:"name"`
	Text    string `json:"text"`  // the limit in words
	Count   int    `json:"count"` // events of which only some are allowed
	Of      int    `json:"of"`
	Applies bool   `json:"asked"` // whether the limit applies to this run
	Broken  bool   `json:"broken"`
	// Time and description of the first event counted; empty if there is none.
	At    Moment `json:"first_at_s"`
	First string `json:"first"`
}

// count counts an event and keeps the first one's description.
func (t *GateLimit) count(at time.Duration, format string, args ...any) {
	if t.Count++; t.Count == 1 {
		t.At, t.First = Moment(at), fmt.Sprintf(format, args...)
	}
}

const (
	// sentAfterLeftBy is the time after which an attempt for a client that has left counts as sent too late.
	// Of the requests that still waited for their first attempt, one in sentAfterLeftOneIn may be sent so
	// late, and in any case fewer than minSentAfterLeft.
	sentAfterLeftBy    = 300 * time.Millisecond
	sentAfterLeftOneIn = 4
	minSentAfterLeft   = 5
	// announcedSlack is how far the timeout that an attempt announces may exceed the client's remaining time.
	// One in announcedOneIn of the further attempts may exceed it by more.
	announcedSlack = 150 * time.Millisecond
	announcedOneIn = 5
	// An agent that rejects every request that it gets, at least rejectingCount of them over rejectingFor,
	// counts as rejecting all. In a calm run at most the part calmRejectingPart of the agents may.
	rejectingCount    = 15
	rejectingFor      = 4 * time.Second
	calmRejectingPart = 0.1
	// A restarted agent must be ready within readyIn, or readyInShort if the run ends before that; one in
	// lateReadyOneIn may take longer. None may take longer than maxReady.
	readyIn        = 10 * time.Second
	readyInShort   = 6 * time.Second
	maxReady       = 30 * time.Second
	lateReadyOneIn = 10
)

// limitTracker checks the gate's limits besides the rules and the shares.
type limitTracker struct {
	scenario                                                *scenario.Scenario
	describe                                                describer
	sentAfterLeft, announced, rejecting, restarts, startups GateLimit
	agents                                                  []agentState
}

// agentState is what limitTracker records about an agent.
type agentState struct {
	starting       bool // its process has started and is not ready
	startedAt      time.Duration
	since          time.Duration // its last attempt or start
	rejections     int           // rejections since then
	rejectingSince time.Duration // when the first rejected request was received
	counted        bool          // already counted as rejecting all
}

func (t *limitTracker) begin(sc *scenario.Scenario, d describer, agents int) {
	t.scenario, t.describe, t.agents = sc, d, make([]agentState, agents)
	t.sentAfterLeft = GateLimit{
		Name: "clients that left",
		Text: "of the requests whose clients left before their " +
			"first attempt, at most one in four, or four of them, is sent over 0.3 s later",
	}
	t.announced = GateLimit{
		Name: "time told",
		Text: "of the further attempts, at most one in five announces to " +
			"its server over 0.15 s more than the client has left",
	}
	t.rejecting = GateLimit{
		Name: "turning away",
		Text: "few agents reject every request that they get, 15 or more, for 4 s",
	}
	t.restarts = GateLimit{
		Name: "restarts",
		Text: "nine in ten restarted agents are ready within 10 s, or 6 s " +
			"if the run ends sooner",
	}
	t.startups = GateLimit{Name: "starts", Text: "no agent takes over 30 s to be ready"}
}

func (t *limitTracker) observe(e *record.Event, req *request) {
	switch e.Kind {
	case record.AttemptSent:
		a := &t.agents[e.Agent]
		a.since, a.rejections = e.At, 0
		if req != nil && !req.agentPaused {
			t.sent(e, req)
		}
	case record.ClientLeft:
		if req != nil && !req.closed && !req.agentPaused && !e.Unread && !req.wasSent() {
			t.sentAfterLeft.Of++
		}
	case record.Answered:
		if req != nil && !req.closed && e.Answer != record.Served && !req.wasSent() {
			t.rejected(e, req)
		}
	case record.AgentStarts, record.AgentUp, record.AgentDown, record.AgentPaused, record.AgentResumed:
		t.process(e)
	}
}

// sent checks an attempt that begins: whether its client has left, and the timeout that it announces.
func (t *limitTracker) sent(e *record.Event, req *request) {
	agent, id := t.describe.agent(e.Agent), req.received.RequestID
	if req.clientLeft && req.leftUnsent && !req.wasSent() && e.At > req.leftAt+sentAfterLeftBy {
		t.sentAfterLeft.count(e.At, "%s sends request %d %v after its client left", agent, id,
			roundToMS(e.At-req.leftAt))
	}
	if e.Attempt <= 0 {
		return
	}
	t.announced.Of++
	if left := req.received.At + req.received.Left - e.At; e.Left > left+announcedSlack {
		t.announced.count(e.At, "%s announces %v with attempt %d of request %d, whose client waits for %v", agent,
			roundToMS(e.Left), e.Attempt, id, roundToMS(left))
	}
}

// rejected counts a request that was answered without having been sent.
func (t *limitTracker) rejected(e *record.Event, req *request) {
	a := &t.agents[e.Agent]
	if a.rejections == 0 {
		a.rejectingSince = max(req.received.At, a.since)
	}
	if a.rejections++; a.rejections < rejectingCount || e.At < a.rejectingSince+rejectingFor || a.counted {
		return
	}
	a.counted = true
	t.rejecting.count(e.At, "%s rejected all %d requests that it got for %v", t.describe.agent(e.Agent),
		a.rejections, roundToMS(e.At-a.rejectingSince))
}

// process processes a change of an agent's process.
func (t *limitTracker) process(e *record.Event) {
	a := &t.agents[e.Agent]
	a.since, a.rejections = e.At, 0
	switch e.Kind {
	case record.AgentStarts:
		a.starting, a.startedAt = true, e.At
	case record.AgentDown:
		a.starting = false
	case record.AgentUp:
		took := max(e.After, e.At-a.startedAt)
		if !a.starting {
			took = e.After // for the first start of the run
		}
		t.ready(e, took, a.starting)
		a.starting = false
	}
}

// ready records the startup time of an agent, or for one that is not ready yet the time since its start.
func (t *limitTracker) ready(e *record.Event, took time.Duration, again bool) {
	agent := t.describe.agent(e.Agent)
	if took > maxReady {
		t.startups.count(e.At, "%s is not ready %v after its start", agent, roundToMS(took))
	}
	if !again {
		return
	}
	within := readyIn
	if e.At-took+readyIn > t.scenario.Run.Length {
		within = readyInShort
	}
	t.restarts.Of++
	if took > within {
		t.restarts.count(e.At, "%s is not ready %v after its start", agent, roundToMS(took))
	}
}

// finish counts the agents that are still not ready, unless they started too shortly before the end of the
// run.
func (t *limitTracker) finish(at time.Duration) {
	at = min(at, t.scenario.Run.Length)
	for i := range t.agents {
		if a := &t.agents[i]; a.starting && at-a.startedAt > readyInShort {
			t.ready(&record.Event{At: at, Agent: int32(i)}, at-a.startedAt, true)
		}
	}
}

// verdict returns the limits and whether they were broken. In a calm run few agents may reject all
// requests.
func (t *limitTracker) verdict(calm bool) []GateLimit {
	t.sentAfterLeft.Applies, t.sentAfterLeft.Broken = true, t.sentAfterLeft.Count >= minSentAfterLeft &&
		t.sentAfterLeft.Count*sentAfterLeftOneIn > t.sentAfterLeft.Of
	t.announced.Applies, t.announced.Broken = true, t.announced.Count*announcedOneIn > t.announced.Of
	allowed := t.scenario.Gate.RejectingPart
	if calm {
		allowed = min(allowed, calmRejectingPart)
	}
	t.rejecting.Of = len(t.agents)
	t.rejecting.Applies = allowed < 1
	t.rejecting.Broken = float64(t.rejecting.Count) > allowed*float64(t.rejecting.Of)
	t.restarts.Applies, t.restarts.Broken = true, t.restarts.Count*lateReadyOneIn > t.restarts.Of
	t.startups.Applies, t.startups.Broken, t.startups.Of = true, t.startups.Count > 0, t.restarts.Of
	return []GateLimit{t.sentAfterLeft, t.announced, t.rejecting, t.restarts, t.startups}
}
