package gossip

import (
	"slices"
	"time"

	"dunestep/internal/fleet/replica"
)

// CatchUpState is the state of an agent's catching up after its start.
type CatchUpState uint8

// The states of catching up.
const (
	// Asking agents, before the deadline, request digests from other agents and pull the records that they lack.
	Asking CatchUpState = iota
	// CaughtUp agents have all records up to the positions that a voter, or several agents that have caught up,
	// reported.
	CaughtUp
	// Late agents have received replies but did not catch up by the deadline, as too few of the replies were
	// trusted or records are still missing.
	Late
	// Alone agents have received no reply by the deadline.
	Alone
)

// String returns the name of the state in log lines.
func (s CatchUpState) String() string {
	return [...]string{"asking", "caught up", "late", "alone"}[min(s, Alone)]
}

const (
	// maxQueriedAgents is the maximum number of agents from which a digest is requested at once, not counting
	// the voter.
	maxQueriedAgents = 8
	// resetAfterAttempts is the number of attempts after which a late agent discards the replies, as they may
	// have been wrong.
	resetAfterAttempts = 8
	// backoffAfterAttempts is the number of attempts after which the timeout doubles with each further attempt,
	// up to maxBackoffDoublings times.
	backoffAfterAttempts = 4
	maxBackoffDoublings  = 5
)

// catchUp contains the state of catching up after the start.
type catchUp struct {
	state         CatchUpState
	deadline      time.Duration
	nextRequestAt time.Duration
	attempts      int
	lastRequestAt time.Duration
	// requestID is the number in this process's requests for a digest. Replies with another number, to an
	// earlier process of this agent, do not count.
	requestID   uint32
	hasReply    bool
	isUntrusted bool // other agents must not rely on this one

	// Derived from the trusted replies.
	hasVoterReply bool
	agents        []int            // that replied, up to Settings.AgentQuorum
	newest        replica.Position // newest position of the replies
}

// CatchUpState returns the state of catching up. While it is Asking, the agent must not report that it is
// ready. An agent that is Late or Alone can still become CaughtUp.
func (r *Replicator) CatchUpState(now time.Duration) CatchUpState {
	if r.catchUp.state == Asking && now >= r.catchUp.deadline {
		r.catchUp.state = Alone
		if r.catchUp.hasReply {
			r.catchUp.state = Late
		}
	}
	return r.catchUp.state
}

// MarkCaughtUp sets the state to CaughtUp, so that other agents may rely on this one. A voter calls it when a
// linearizable read has shown that the replica has all records that the voters committed before the read.
func (r *Replicator) MarkCaughtUp() { r.catchUp.state = CaughtUp }

// Trust states whether other agents may rely on an agent that has caught up.
type Trust bool

// The values of Trust.
const (
	Trusted   Trust = true
	Untrusted Trust = false
)

// SetTrust sets whether other agents may rely on this one. An agent without a lease must not be trusted, as
// it may lag without knowing it. The initial value is Trusted.
func (r *Replicator) SetTrust(trust Trust) { r.catchUp.isUntrusted = trust == Untrusted }

func (c *catchUp) isTrusted() bool { return c.state == CaughtUp && !c.isUntrusted }

// requestDigests requests digests from a voter and some other agents, drawn at random, if a request is due.
// It repeats this until the agent has caught up, with growing intervals after backoffAfterAttempts.
func (r *Replicator) requestDigests() {
	c := &r.catchUp
	if r.CatchUpState(r.now) == CaughtUp || r.now < c.nextRequestAt {
		return
	}
	peers := r.pickPeers(min(r.settings.AgentQuorum, maxQueriedAgents))
	if len(r.settings.Voters) > 0 {
		voter := r.settings.Voters[r.rng.IntN(len(r.settings.Voters))]
		if voter != r.settings.Self && !slices.Contains(peers, voter) {
			peers = append(peers, voter)
		}
	}
	if c.state == Late && c.attempts%resetAfterAttempts == 0 {
		c.hasVoterReply, c.agents, c.newest = false, nil, replica.Position{}
	}
	request := r.ownDigest()
	request.Question = c.requestID
	for _, agent := range peers {
		r.send(agent, encode(kindDigest, request))
	}
	c.attempts, c.lastRequestAt = c.attempts+1, r.now
	doublings := min(max(c.attempts-backoffAfterAttempts, 0), maxBackoffDoublings)
	c.nextRequestAt = r.now + r.jittered(min(r.settings.ReplyTimeout<<doublings, 2*r.settings.IdleInterval))
}

// noteCatchUpReply counts a digest if it is a reply to a request of this process.
func (r *Replicator) noteCatchUpReply(from int, d digest) {
	c := &r.catchUp
	if c.state == CaughtUp || d.AnswerTo != c.requestID {
		return
	}
	c.hasReply = true
	r.roundTrip.AddSample(r.now - c.lastRequestAt)
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

// checkCaughtUp sets the state to CaughtUp once enough trusted agents have replied and this agent has all
// records that they reported.
func (r *Replicator) checkCaughtUp() {
	c := &r.catchUp
	hasQuorum := c.hasVoterReply || len(c.agents) >= r.settings.AgentQuorum
	if c.state != CaughtUp && hasQuorum && r.log.Last().Covers(c.newest) {
		c.state = CaughtUp
	}
}
