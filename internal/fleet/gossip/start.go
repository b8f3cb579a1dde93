package gossip

import (
	"slices"
	"time"

	"dunestep/internal/fleet/replica"
)

// CatchUpState is how far an agent that began is with catching up.
type CatchUpState uint8

const (
	// Asking: it is not known yet.
	Asking CatchUpState = iota
	// CatchUpState: it has all that a voter or several agents that are caught up know.
	CaughtUp
	// Late: the deadline has passed; some have answered, but none whose word counts, or it has not got all.
	Late
	// Alone: the deadline has passed, and nobody has answered.
	Alone
)

func (s CatchUpState) String() string {
	return [...]string{"asking", "caught up", "late", "alone"}[min(s, Alone)]
}

// maxAskedAgents bounds how many partners are asked at once.
const maxAskedAgents = 8

type catchUp struct {
	state         CatchUpState
	deadline      time.Duration
	next          time.Duration // when more are asked
	attempts      int
	lastAsked     time.Duration // the last time
	question      uint32        // the number of the question; only answers to it count: others may be from before
	hasReply      bool
	isUntrusted   bool // its word does not count for others
	hasVoterReply bool
	agents        []int // whose word counts, up to Settings.AgentQuorum
	newest        replica.Position
}

// CatchUpState tells how far the agent is: before Asking has ended, it is not to say that it is ready. Late and
// Alone become CatchUpState when they can.
func (s *Replicator) CatchUpState(now time.Duration) CatchUpState {
	if s.catchUp.state == Asking && now >= s.catchUp.deadline {
		s.catchUp.state = Alone
		if s.catchUp.hasReply {
			s.catchUp.state = Late
		}
	}
	return s.catchUp.state
}

// MarkCaughtUp tells that the copy is as new as what the voters had agreed on a moment ago, as a voter learns by a
// linearizable read: its word counts from then on.
func (s *Replicator) MarkCaughtUp() { s.catchUp.state = CaughtUp }

// SetTrusted tells whether the copy may be taken for a new one, as long as it has caught up at all: an agent
// that holds no lease may have fallen behind since without knowing. It may until it is told that it may not.
func (s *Replicator) SetTrusted(may bool) { s.catchUp.isUntrusted = !may }

func (st *catchUp) isTrusted() bool { return st.state == CaughtUp && !st.isUntrusted }

// askToCatchUp asks a voter and some agents, others each time, until it is known; more slowly after the
// deadline.
func (s *Replicator) askToCatchUp() {
	st := &s.catchUp
	if s.CatchUpState(s.now) == CaughtUp || s.now < st.next {
		return
	}
	whom := s.pickPeers(min(s.settings.AgentQuorum, maxAskedAgents))
	if len(s.settings.Voters) > 0 {
		voter := s.settings.Voters[s.rng.IntN(len(s.settings.Voters))]
		if voter != s.settings.Self && !slices.Contains(whom, voter) {
			whom = append(whom, voter)
		}
	}
	if st.state == Late && st.attempts%8 == 0 { // what was told before may have been wrong
		st.hasVoterReply, st.agents, st.newest = false, nil, replica.Position{}
	}
	question := s.ownDigest()
	question.Question = st.question
	for _, to := range whom {
		s.send(to, encode(kindDigest, question))
	}
	st.attempts, st.lastAsked = st.attempts+1, s.now
	st.next = s.now + s.jittered(min(s.settings.ReplyTimeout<<min(max(st.attempts-4, 0), 5), 2*s.settings.IdleInterval))
}

// answered counts a partner's word, if it answers the question.
func (st *catchUp) noteReply(s *Replicator, from int, d digest) {
	if st.state == CaughtUp || d.AnswerTo != st.question {
		return
	}
	st.hasReply = true
	s.noteRoundTrip(s.now - st.lastAsked)
	if !d.Trusted {
		return
	}
	if !st.newest.Covers(d.position()) {
		st.newest = d.position()
	}
	if slices.Contains(s.settings.Voters, from) {
		st.hasVoterReply = true
	}
	if len(st.agents) < s.settings.AgentQuorum && !slices.Contains(st.agents, from) {
		st.agents = append(st.agents, from)
	}
	st.checkCaughtUp(s)
}

func (st *catchUp) checkCaughtUp(s *Replicator) {
	if st.state != CaughtUp && (st.hasVoterReply || len(st.agents) >= s.settings.AgentQuorum) && s.log.Last().Covers(st.newest) {
		st.state = CaughtUp
	}
}
