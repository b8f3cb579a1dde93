package gossip

import (
	"slices"
	"time"

	"dunestep/internal/fleet/replica"
)

// CatchUpState is how far an agent that has started is with catching up.
type CatchUpState uint8

// The states of catching up.
const (
	// Asking agents do not know yet what the others have.
	Asking CatchUpState = iota
	// CaughtUp agents have everything that a voter, or several agents that are caught up, know.
	CaughtUp
	// Late agents have passed the deadline; some others replied, but none that is trusted, or records are still
	// missing.
	Late
	// Alone agents have passed the deadline without any reply.
	Alone
)

// String returns the name of the state, as logs show it.
func (s CatchUpState) String() string {
	return [...]string{"asking", "caught up", "late", "alone"}[min(s, Alone)]
}

const (
	// maxAskedAgents bounds how many agents are asked at once.
	maxAskedAgents = 8
	// resetAfterAttempts is after how many attempts a late agent discards the replies, as they may have been
	// wrong.
	resetAfterAttempts = 8
	// backoffAfterAttempts is after how many attempts the timeout doubles with each, up to maxBackoffDoublings
	// times.
	backoffAfterAttempts = 4
	maxBackoffDoublings  = 5
)

// catchUp is the state of catching up after the start.
type catchUp struct {
	state     CatchUpState
	deadline  time.Duration
	next      time.Duration // when others are asked again
	attempts  int
	lastAsked time.Duration
	// question is the number of the question: replies to questions of an earlier process do not count.
	question    uint32
	hasReply    bool
	isUntrusted bool // others must not rely on this agent

	// Of the trusted replies.
	hasVoterReply bool
	agents        []int // up to Settings.AgentQuorum
	newest        replica.Position
}

// CatchUpState returns how far the agent is. While it is Asking, the agent must not report that it is ready.
// Late and Alone become CaughtUp when they can.
func (r *Replicator) CatchUpState(now time.Duration) CatchUpState {
	if r.catchUp.state == Asking && now >= r.catchUp.deadline {
		r.catchUp.state = Alone
		if r.catchUp.hasReply {
			r.catchUp.state = Late
		}
	}
	return r.catchUp.state
}

// MarkCaughtUp reports that the replica has what the voters had agreed on a moment ago, as a voter learns by
// a linearizable read: others may rely on this agent from then on.
func (r *Replicator) MarkCaughtUp() { r.catchUp.state = CaughtUp }

// Trust is whether others may rely on an agent that has caught up.
type Trust bool

// The values of Trust.
const (
	Trusted   Trust = true
	Untrusted Trust = false
)

// SetTrust sets whether others may rely on this agent: one without a lease may have fallen behind without
// knowing. It is Trusted until set otherwise.
func (r *Replicator) SetTrust(trust Trust) { r.catchUp.isUntrusted = trust == Untrusted }

func (c *catchUp) isTrusted() bool { return c.state == CaughtUp && !c.isUntrusted }

// askToCatchUp asks a voter and some agents, different ones each time, until the agent has caught up; more
// slowly after some attempts.
func (r *Replicator) askToCatchUp() {
	c := &r.catchUp
	if r.CatchUpState(r.now) == CaughtUp || r.now < c.next {
		return
	}
	asked := r.pickPeers(min(r.settings.AgentQuorum, maxAskedAgents))
	if len(r.settings.Voters) > 0 {
		voter := r.settings.Voters[r.rng.IntN(len(r.settings.Voters))]
		if voter != r.settings.Self && !slices.Contains(asked, voter) {
			asked = append(asked, voter)
		}
	}
	if c.state == Late && c.attempts%resetAfterAttempts == 0 {
		c.hasVoterReply, c.agents, c.newest = false, nil, replica.Position{}
	}
	question := r.ownDigest()
	question.Question = c.question
	for _, agent := range asked {
		r.send(agent, encode(kindDigest, question))
	}
	c.attempts, c.lastAsked = c.attempts+1, r.now
	doublings := min(max(c.attempts-backoffAfterAttempts, 0), maxBackoffDoublings)
	c.next = r.now + r.jittered(min(r.settings.ReplyTimeout<<doublings, 2*r.settings.IdleInterval))
}

// noteCatchUpReply counts a digest if it answers the question.
func (r *Replicator) noteCatchUpReply(from int, d digest) {
	c := &r.catchUp
	if c.state == CaughtUp || d.AnswerTo != c.question {
		return
	}
	c.hasReply = true
	r.roundTrip.Note(r.now - c.lastAsked)
	if !d.Trusted {
		return
	}
	if !c.newest.Covers(d.position()) {
		c.newest = d.position()
	}
	if slices.Contains(r.settings.Voters, from) {
		c.hasVoterReply = true
	}
	if len(c.agents) < r.settings.AgentQuorum && !slices.Contains(c.agents, from) {
		c.agents = append(c.agents, from)
	}
	r.checkCaughtUp()
}

// checkCaughtUp ends catching up once enough trusted agents replied and everything that they know is here.
func (r *Replicator) checkCaughtUp() {
	c := &r.catchUp
	isAnswered := c.hasVoterReply || len(c.agents) >= r.settings.AgentQuorum
	if c.state != CaughtUp && isAnswered && r.log.Last().Covers(c.newest) {
		c.state = CaughtUp
	}
}
