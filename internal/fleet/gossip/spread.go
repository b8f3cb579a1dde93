// Package gossip brings the agreed records from agent to agent, so that no voter talks to hundreds of them.
//
// Who has something new tells a few others, drawn at random, how far its copy goes (a digest of some 40
// bytes); who is behind asks one that is ahead for what follows, and is given a bounded part; then it has
// something new itself. The first digests follow each other quickly, later ones ever more slowly, down to one
// in IdleInterval, which goes on: by it those who missed all find out. So the quiet cost of an agent is the same in
// a fleet of any size. Whoever is told less than it has answers with its own digest. Who is too far behind,
// or of an earlier epoch, is given the snapshot; what is larger than a message goes in pieces, which can come
// from one agent after the other. Copies that differ are never mixed (package chronicle); it is told.
//
// Helping is bounded in bytes a second, and so is what an agent asks for: above it, it answers nothing, and
// the others ask elsewhere.
//
// One that starts asks some others, a voter among them, how far they are, and says CatchUpState once one voter or
// several agents that were caught up themselves have answered its question and it has all that they know. A
// fleet whose agents all start at once vouches for nothing: only voters that know (MarkCaughtUp) begin it.
//
// It does no input or output, and knows no clock: time is that of one steady clock. The same settings and
// calls give the same messages. A Replicator is not safe for concurrent use.
package gossip

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/fleet/replica"
)

// Settings are one agent's. Zero values are the defaults.
type Settings struct {
	Agents    int // numbers 0 to Agents-1
	Self      int
	Voters    []int
	Seed      uint64 // another one for each agent and process
	NeverPull bool   // never asks for records: a voter, whose copy comes from the others' agreement

	Fanout          int           // partners that news are told at once; 3
	PushInterval    time.Duration // between the first digests of news, then twice that, and so on; 50 ms
	IdleInterval    time.Duration // between digests when nothing changes; 1.5 s
	ReplyTimeout    time.Duration // how long a partner is waited for; 150 ms
	MaxMessageBytes int           // of records or of a snapshot, in a message; 1024
	MaxPushBytes    int           // of a message that brings the newest records unasked; 200
	BytesPerSecond  int           // given, and asked for, each by itself; 64 KiB
	AgentQuorum     int           // how many agents' word is a voter's; 3
	CatchUpDeadline time.Duration // for catching up at the start; 3 s
}

func (s Settings) withDefaults() Settings {
	number := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	span := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	number(&s.Fanout, 3)
	number(&s.MaxMessageBytes, 1024)
	number(&s.MaxPushBytes, 200)
	number(&s.BytesPerSecond, 64<<10)
	number(&s.AgentQuorum, 3)
	span(&s.PushInterval, 50*time.Millisecond)
	span(&s.IdleInterval, 1500*time.Millisecond)
	span(&s.ReplyTimeout, 150*time.Millisecond)
	span(&s.CatchUpDeadline, 3*time.Second)
	return s
}

// Message is a message to another agent.
type Message struct {
	To   int
	Data []byte
}

// Output is what is to be done after an input.
type Output struct {
	Messages []Message
	// HasNewRecords: the log has more records. IsRestarted: it begins with another snapshot, from which the state machine
	// goes on.
	HasNewRecords, IsRestarted bool
	// HasDiverged: a partner's copy differs from this one in the same record, which staff have to be told.
	HasDiverged  bool
	DivergedFrom int
}

// Stats count since the start.
type Stats struct {
	Malformed uint64 // messages that are none, or from nobody
	Rejected  uint64 // parts and pieces that did not fit
	Throttled uint64 // questions that were passed over as enough was given
	Diverged  uint64
	Served    uint64 // parts and pieces given
	Snapshots uint64 // taken
}

const (
	// maxAheadPeers is how many partners are remembered that have more.
	maxAheadPeers = 8
	// tries is how often one is asked that does not answer: more than one of ten messages may be lost.
	maxAttempts = 6
	// minTimeoutDivisor is how long a partner is waited for at the least, as a part of ReplyTimeout: one that is
	// busy for a moment is not to be asked again.
	minTimeoutDivisor = 4
)

// Replicator is one agent's part in it.
type Replicator struct {
	settings      Settings
	log           *replica.Log
	rng           *rand.Rand
	stats         Stats
	output        Output
	now           time.Duration
	lastAnnounced replica.Position // that was told of

	pushInterval time.Duration // until the push after the next
	nextPush     time.Duration
	lastPush     time.Duration
	equalDigests int // digests since the news that told the same

	aheadPeers    []aheadPeer
	isPulling     bool
	pullPeer      int
	pullUntil     time.Duration // when the partner is waited for no longer, or when to ask again
	pullStarted   time.Duration
	roundTrip     time.Duration // from a question to what it brought, smoothed; zero: none was answered yet
	sendBudget    byteBudget
	receiveBudget byteBudget
	partial       partialItem

	catchUp catchUp
}

type aheadPeer struct {
	agent    int
	position replica.Position
	attempts int // in a row, in vain
}

// New returns a Replicator for a log, which has to be told of what others append to it (RecordsAdded). It asks at once.
func New(set Settings, log *replica.Log, now time.Duration) *Replicator {
	set = set.withDefaults()
	s := &Replicator{
		settings: set, log: log, rng: rand.New(rand.NewPCG(set.Seed, uint64(set.Self))), now: now,
		lastAnnounced: log.Last(), pushInterval: set.IdleInterval, lastPush: now - set.PushInterval,
	}
	s.nextPush = now + s.jittered(set.IdleInterval)
	s.sendBudget, s.receiveBudget = newByteBudget(set, now), newByteBudget(set, now)
	s.catchUp = catchUp{deadline: now + set.CatchUpDeadline, next: now, question: s.rng.Uint32() | 1}
	return s
}

// Stats are counts since the start.
func (s *Replicator) Stats() Stats { return s.stats }

// around is a time up to a quarter off.
func (s *Replicator) jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d)/2+1))
}

// Next is when Tick is due.
func (s *Replicator) Next() time.Duration {
	next := s.nextPush
	if s.catchUp.state == Asking || s.catchUp.state == Late || s.catchUp.state == Alone {
		next = min(next, s.catchUp.next)
	}
	if s.isPulling || len(s.aheadPeers) > 0 {
		next = min(next, s.pullUntil)
	}
	return next
}

// Tick does what is due.
func (s *Replicator) Tick(now time.Duration) Output {
	s.beginInput(now)
	s.askToCatchUp()
	if s.isPulling && now >= s.pullUntil {
		s.pullTimedOut()
	}
	if now >= s.nextPush {
		s.push()
	}
	s.pullIfDue()
	return s.output
}

// RecordsAdded tells that the log has more records than before, by the caller's doing.
func (s *Replicator) RecordsAdded(now time.Duration) Output {
	s.beginInput(now)
	s.noteNewRecords()
	return s.output
}

// Step takes a message of another agent's.
func (s *Replicator) Step(now time.Duration, from int, data []byte) Output {
	s.beginInput(now)
	message, err := decode(data)
	if err != nil || from < 0 || from >= s.settings.Agents || from == s.settings.Self {
		s.stats.Malformed++
		return s.output
	}
	switch m := message.(type) {
	case digest:
		s.handleDigest(from, m)
	case pull:
		s.handlePull(from, m)
	case segment:
		s.handleSegment(from, m)
	case chunk:
		s.handleChunk(from, m)
	}
	s.noteNewRecords()
	s.pullIfDue()
	return s.output
}

func (s *Replicator) beginInput(now time.Duration) {
	s.now = max(now, s.now)
	s.output = Output{}
	s.sendBudget.refill(s.now)
	s.receiveBudget.refill(s.now)
}

func (s *Replicator) send(to int, data []byte) {
	s.output.Messages = append(s.output.Messages, Message{To: to, Data: data})
}

// noteNewRecords begins to tell, where the log has grown.
func (s *Replicator) noteNewRecords() {
	last := s.log.Last()
	if last == s.lastAnnounced {
		return
	}
	s.output.HasNewRecords = true
	s.output.IsRestarted = s.output.IsRestarted || last.Epoch != s.lastAnnounced.Epoch
	s.lastAnnounced, s.equalDigests = last, 0
	s.pushInterval = s.settings.PushInterval
	soon := max(s.now, s.lastPush+s.settings.PushInterval) + time.Duration(s.rng.Int64N(int64(s.settings.PushInterval)/4+1))
	s.nextPush = min(s.nextPush, soon)
	s.aheadPeers = slices.DeleteFunc(s.aheadPeers, func(p aheadPeer) bool { return last.Covers(p.position) })
	s.catchUp.checkCaughtUp(s)
}

// push tells some partners how far the copy goes; ever more slowly, and to one at a time in the end, where
// others tell the same.
func (s *Replicator) push() {
	count := s.settings.Fanout
	if s.pushInterval >= s.settings.IdleInterval || s.equalDigests >= 2*s.settings.Fanout {
		count = 1
	}
	told := s.announcement()
	for _, to := range s.pickPeers(count) {
		s.send(to, told)
	}
	s.lastPush, s.nextPush = s.now, s.now+s.jittered(s.pushInterval)
	s.pushInterval = min(2*s.pushInterval, s.settings.IdleInterval)
}

// news is what partners are told: the newest records themselves while they are new and fit into one datagram,
// so that one message brings what a digest, a question and its answer would, each as easily lost as it.
func (s *Replicator) announcement() []byte {
	if s.pushInterval < s.settings.IdleInterval {
		if p, ok := s.newestRecords(); ok {
			return p
		}
	}
	return encode(kindDigest, s.ownDigest())
}

// newest is a part with as many of the newest records as fit.
func (s *Replicator) newestRecords() (message []byte, fits bool) {
	last := s.log.Last()
	for first := last.Seq; first > s.log.Snapshot().Seq; first-- {
		records, ok := s.log.Segment(first, s.settings.MaxPushBytes)
		if !ok || uint64(len(records.Records)) != last.Seq-first+1 {
			break
		}
		p := encode(kindSegment, segment{
			Epoch: records.Epoch, First: first, PriorSum: records.PriorSum, Sum: records.Sum,
			Records: records.Records, LastSeq: last.Seq,
		})
		if len(p) > s.settings.MaxPushBytes {
			break
		}
		message, fits = p, true
	}
	return message, fits
}

func (s *Replicator) ownDigest() digest {
	at := s.log.Last()
	return digest{Epoch: at.Epoch, Seq: at.Seq, Sum: at.Sum, Trusted: s.catchUp.isTrusted()}
}

// draw is some other agents, each once.
func (s *Replicator) pickPeers(count int) (some []int) {
	count = min(count, s.settings.Agents-1)
	for len(some) < count {
		to := s.rng.IntN(s.settings.Agents)
		if to != s.settings.Self && !slices.Contains(some, to) {
			some = append(some, to)
		}
	}
	return some
}

func (s *Replicator) handleDigest(from int, d digest) {
	order, err := s.log.Compare(d.position())
	s.catchUp.noteReply(s, from, d)
	switch {
	case err != nil:
		s.noteDiverged(from)
	case order > 0:
		s.rememberPeer(from, d.position())
	case order == 0:
		s.equalDigests++
	}
	if d.Question != 0 || order < 0 && err == nil && d.AnswerTo == 0 {
		mine := s.ownDigest()
		mine.AnswerTo = d.Question
		if answer := encode(kindDigest, mine); s.sendBudget.spend(len(answer)) {
			s.send(from, answer)
		} else {
			s.stats.Throttled++
		}
	}
}

func (s *Replicator) noteDiverged(from int) {
	s.stats.Diverged++
	s.output.HasDiverged, s.output.DivergedFrom = true, from
	s.forgetPeer(from)
}

func (s *Replicator) forgetPeer(from int) {
	s.aheadPeers = slices.DeleteFunc(s.aheadPeers, func(p aheadPeer) bool { return p.agent == from })
}

// remember keeps a partner that has more; the oldest gives way.
func (s *Replicator) rememberPeer(from int, at replica.Position) {
	s.forgetPeer(from)
	if s.settings.NeverPull || s.log.Last().Covers(at) {
		return
	}
	if len(s.aheadPeers) >= maxAheadPeers {
		s.aheadPeers = s.aheadPeers[1:]
	}
	s.aheadPeers = append(s.aheadPeers, aheadPeer{agent: from, position: at})
}

// pull asks one partner that is ahead, where none is waited for.
func (s *Replicator) pullIfDue() {
	if s.isPulling || len(s.aheadPeers) == 0 || s.now < s.pullUntil {
		return
	}
	if !s.receiveBudget.has(s.settings.MaxMessageBytes) {
		s.pullUntil = s.now + s.receiveBudget.waitFor(s.settings.MaxMessageBytes)
		return
	}
	s.sendPull(s.aheadPeers[s.rng.IntN(len(s.aheadPeers))].agent)
}

func (s *Replicator) sendPull(from int) {
	at := s.log.Last()
	p := pull{Epoch: at.Epoch, Seq: at.Seq, Sum: at.Sum}
	if s.partial.isStarted {
		p.PartialSum, p.Offset = s.partial.header.ItemSum, len(s.partial.data)
	}
	s.isPulling, s.pullPeer, s.pullStarted, s.pullUntil = true, from, s.now, s.now+s.replyTimeout()
	s.send(from, encode(kindPull, p))
}

// patience is how long a partner is waited for: as answers take, and ReplyTimeout at the most.
func (s *Replicator) replyTimeout() time.Duration {
	if s.roundTrip == 0 {
		return s.settings.ReplyTimeout
	}
	return min(max(4*s.roundTrip, s.settings.ReplyTimeout/minTimeoutDivisor), s.settings.ReplyTimeout)
}

// pullTimedOut ends the wait for a partner, and leaves one that has not answered some times until it tells of
// itself again.
func (s *Replicator) pullTimedOut() {
	s.isPulling, s.pullUntil = false, s.now
	for i := range s.aheadPeers {
		if p := &s.aheadPeers[i]; p.agent == s.pullPeer {
			if p.attempts++; p.attempts >= maxAttempts {
				s.forgetPeer(s.pullPeer)
			}
			return
		}
	}
}

// got ends the wait for a partner, whose copy goes so far, and goes on with it where that is more.
func (s *Replicator) endPull(from, bytes int, epoch, last uint64, more bool) {
	s.receiveBudget.charge(bytes)
	if s.isPulling && s.pullPeer == from {
		s.isPulling, s.pullUntil = false, s.now
		s.noteRoundTrip(s.now - s.pullStarted)
	}
	s.forgetPeer(from) // one that brings nothing is not asked again until it tells of itself
	if more {
		s.rememberPeer(from, replica.Position{Epoch: epoch, Seq: last})
	}
	if more && !s.isPulling && s.receiveBudget.has(s.settings.MaxMessageBytes) && len(s.aheadPeers) > 0 {
		s.sendPull(from)
	}
}

// took takes in how long an answer took.
func (s *Replicator) noteRoundTrip(d time.Duration) {
	if s.roundTrip == 0 {
		s.roundTrip = d
	}
	s.roundTrip = max(s.roundTrip+(d-s.roundTrip)/8, 1)
}

func (s *Replicator) handleSegment(from int, p segment) {
	told := p.First+uint64(len(p.Records)) == p.LastSeq+1 && !(s.isPulling && s.pullPeer == from)
	if told { // with the news: it tells how far the sender is as well
		defer s.handleDigest(from, digest{Epoch: p.Epoch, Seq: p.LastSeq, Sum: p.Sum})
	}
	if s.settings.NeverPull {
		return
	}
	taken, err := s.log.AppendSegment(replica.Segment{
		Epoch: p.Epoch, First: p.First, PriorSum: p.PriorSum, Sum: p.Sum,
		Records: p.Records,
	})
	switch {
	case errors.Is(err, replica.ErrDiverged):
		s.noteDiverged(from)
	case told && (errors.Is(err, replica.ErrGap) || errors.Is(err, replica.ErrNewEpoch)):
		return // more than what follows is missing: the digest has it asked for
	case err != nil && !errors.Is(err, replica.ErrFull):
		s.stats.Rejected++
	}
	if taken > 0 {
		s.partial = partialItem{}
	}
	last := s.log.Last()
	more := taken > 0 && p.Epoch == last.Epoch && p.LastSeq > last.Seq
	s.endPull(from, totalBytes(p.Records), p.Epoch, p.LastSeq, more && err == nil)
	if errors.Is(err, replica.ErrFull) {
		s.pullUntil = s.now + s.settings.ReplyTimeout
	}
}

func totalBytes(records [][]byte) (n int) {
	for _, r := range records {
		n += len(r)
	}
	return n
}

// help gives one that is behind what follows, as far as a message goes and enough was not given.
func (s *Replicator) handlePull(from int, p pull) {
	answer := s.pullReply(p)
	switch {
	case answer == nil:
		s.handleDigest(from, digest{Epoch: p.Epoch, Seq: p.Seq, Sum: p.Sum})
	case !s.sendBudget.spend(len(answer)):
		s.stats.Throttled++
	default:
		s.stats.Served++
		s.send(from, answer)
	}
}

// pullReply is the answer to a question, nil where there is nothing that follows.
func (s *Replicator) pullReply(p pull) []byte {
	last, snap := s.log.Last(), s.log.Snapshot()
	if last.Epoch < p.Epoch || last.Epoch == p.Epoch && last.Seq <= p.Seq {
		return nil
	}
	first := p.Seq + 1
	if p.Epoch < last.Epoch {
		first = 1
	} else if sum, ok := s.log.SumAt(p.Seq); ok && sum != p.Sum {
		return nil
	}
	whole := chunk{
		Snapshot: true, Epoch: snap.Epoch, Seq: snap.Seq, PriorSum: snap.Sum, ItemBytes: len(snap.Data),
		LastSeq: last.Seq,
	}
	data := snap.Data
	if records, ok := s.log.Segment(first, s.settings.MaxMessageBytes); ok {
		if data = records.Records[0]; len(data) <= s.settings.MaxMessageBytes {
			return encode(kindSegment, segment{
				Epoch: records.Epoch, First: first, PriorSum: records.PriorSum,
				Sum: records.Sum, Records: records.Records, LastSeq: last.Seq,
			})
		}
		whole = chunk{
			Epoch: records.Epoch, Seq: first, PriorSum: records.PriorSum, ItemSum: records.Sum, ItemBytes: len(data),
			LastSeq: last.Seq,
		}
	} else {
		whole.ItemSum = snap.Digest()
	}
	if p.PartialSum == whole.ItemSum && p.Offset > 0 && p.Offset < len(data) {
		whole.Offset = p.Offset
	}
	whole.Data = data[whole.Offset:min(whole.Offset+s.settings.MaxMessageBytes, len(data))]
	return encode(kindChunk, whole)
}
