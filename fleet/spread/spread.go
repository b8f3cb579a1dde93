// Package spread brings the agreed records from agent to agent, so that no voter talks to hundreds of them.
//
// Who has something new tells a few others, drawn at random, how far its copy goes (a digest of some 40
// bytes); who is behind asks one that is ahead for what follows, and is given a bounded part; then it has
// something new itself. The first digests follow each other quickly, later ones ever more slowly, down to one
// in Quiet, which goes on: by it those who missed all find out. So the quiet cost of an agent is the same in
// a fleet of any size. Whoever is told less than it has answers with its own digest. Who is too far behind,
// or of an earlier epoch, is given the snapshot; what is larger than a message goes in pieces, which can come
// from one agent after the other. Copies that differ are never mixed (package chronicle); it is told.
//
// Helping is bounded in bytes a second, and so is what an agent asks for: above it, it answers nothing, and
// the others ask elsewhere.
//
// One that starts asks some others, a voter among them, how far they are, and says CaughtUp once one voter or
// several agents that were caught up themselves have answered its question and it has all that they know. A
// fleet whose agents all start at once vouches for nothing: only voters that know (Vouch) begin it.
//
// It does no input or output, and knows no clock: time is that of one steady clock. The same settings and
// calls give the same messages. A Spreader is not safe for concurrent use.
package spread

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/fleet/chronicle"
)

// Settings are one agent's. Zero values are the defaults.
type Settings struct {
	Agents   int // numbers 0 to Agents-1
	Self     int
	Voters   []int
	Seed     uint64 // another one for each agent and process
	GiveOnly bool   // never asks for records: a voter, whose copy comes from the others' agreement

	Fanout         int           // partners that news are told at once; 3
	Round          time.Duration // between the first digests of news, then twice that, and so on; 50 ms
	Quiet          time.Duration // between digests when nothing changes; 1.5 s
	Patience       time.Duration // how long a partner is waited for; 150 ms
	MessageBytes   int           // of records or of a snapshot, in a message; 1024
	NewsBytes      int           // of a message that brings the newest records unasked; 200
	BytesPerSecond int           // given, and asked for, each by itself; 64 KiB
	Answers        int           // how many agents' word is a voter's; 3
	Deadline       time.Duration // for catching up at the start; 3 s
}

func (s Settings) usual() Settings {
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
	number(&s.MessageBytes, 1024)
	number(&s.NewsBytes, 200)
	number(&s.BytesPerSecond, 64<<10)
	number(&s.Answers, 3)
	span(&s.Round, 50*time.Millisecond)
	span(&s.Quiet, 1500*time.Millisecond)
	span(&s.Patience, 150*time.Millisecond)
	span(&s.Deadline, 3*time.Second)
	return s
}

// Send is a message to another agent.
type Send struct {
	To   int
	Data []byte
}

// Output is what is to be done after an input.
type Output struct {
	Sends []Send
	// Grew: the log has more records. Anew: it begins with another snapshot, from which the state machine
	// goes on.
	Grew, Anew bool
	// Diverged: a partner's copy differs from this one in the same record, which staff have to be told.
	Diverged bool
	With     int
}

// Figures count since the start.
type Figures struct {
	Malformed uint64 // messages that are none, or from nobody
	Refused   uint64 // parts and pieces that did not fit
	Unhelped  uint64 // questions that were passed over as enough was given
	Diverged  uint64
	Helped    uint64 // parts and pieces given
	Snapshots uint64 // taken
}

const (
	// mostAhead is how many partners are remembered that have more.
	mostAhead = 8
	// tries is how often one is asked that does not answer: more than one of ten messages may be lost.
	tries = 6
	// leastPatience is how long a partner is waited for at the least, as a part of Patience: one that is
	// busy for a moment is not to be asked again.
	leastPatience = 4
)

// Spreader is one agent's part in it.
type Spreader struct {
	set  Settings
	log  *chronicle.Log
	rng  *rand.Rand
	fig  Figures
	out  Output
	now  time.Duration
	last chronicle.Position // that was told of

	interval time.Duration // until the push after the next
	nextPush time.Duration
	pushed   time.Duration
	same     int // digests since the news that told the same

	ahead   []partner
	pulling bool
	from    int
	until   time.Duration // when the partner is waited for no longer, or when to ask again
	asked   time.Duration
	trip    time.Duration // from a question to what it brought, smoothed; zero: none was answered yet
	given   bucket
	taken   bucket
	begun   assembly

	start start
}

type partner struct {
	number int
	at     chronicle.Position
	asked  int // in a row, in vain
}

// New returns a Spreader for a log, which has to be told of what others append to it (News). It asks at once.
func New(set Settings, log *chronicle.Log, now time.Duration) *Spreader {
	set = set.usual()
	s := &Spreader{
		set: set, log: log, rng: rand.New(rand.NewPCG(set.Seed, uint64(set.Self))), now: now,
		last: log.Last(), interval: set.Quiet, pushed: now - set.Round,
	}
	s.nextPush = now + s.around(set.Quiet)
	s.given, s.taken = newBucket(set, now), newBucket(set, now)
	s.start = start{deadline: now + set.Deadline, next: now, ask: s.rng.Uint32() | 1}
	return s
}

// Figures are counts since the start.
func (s *Spreader) Figures() Figures { return s.fig }

// around is a time up to a quarter off.
func (s *Spreader) around(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d)/2+1))
}

// Next is when Tick is due.
func (s *Spreader) Next() time.Duration {
	next := s.nextPush
	if s.start.state == Asking || s.start.state == Late || s.start.state == Alone {
		next = min(next, s.start.next)
	}
	if s.pulling || len(s.ahead) > 0 {
		next = min(next, s.until)
	}
	return next
}

// Tick does what is due.
func (s *Spreader) Tick(now time.Duration) Output {
	s.begin(now)
	s.askAtStart()
	if s.pulling && now >= s.until {
		s.giveUp()
	}
	if now >= s.nextPush {
		s.push()
	}
	s.pull()
	return s.out
}

// News tells that the log has more records than before, by the caller's doing.
func (s *Spreader) News(now time.Duration) Output {
	s.begin(now)
	s.noteNews()
	return s.out
}

// Step takes a message of another agent's.
func (s *Spreader) Step(now time.Duration, from int, data []byte) Output {
	s.begin(now)
	message, err := decode(data)
	if err != nil || from < 0 || from >= s.set.Agents || from == s.set.Self {
		s.fig.Malformed++
		return s.out
	}
	switch m := message.(type) {
	case digest:
		s.digest(from, m)
	case pull:
		s.help(from, m)
	case part:
		s.part(from, m)
	case piece:
		s.piece(from, m)
	}
	s.noteNews()
	s.pull()
	return s.out
}

func (s *Spreader) begin(now time.Duration) {
	s.now = max(now, s.now)
	s.out = Output{}
	s.given.refill(s.now)
	s.taken.refill(s.now)
}

func (s *Spreader) send(to int, data []byte) {
	s.out.Sends = append(s.out.Sends, Send{To: to, Data: data})
}

// noteNews begins to tell, where the log has grown.
func (s *Spreader) noteNews() {
	last := s.log.Last()
	if last == s.last {
		return
	}
	s.out.Grew = true
	s.out.Anew = s.out.Anew || last.Epoch != s.last.Epoch
	s.last, s.same = last, 0
	s.interval = s.set.Round
	soon := max(s.now, s.pushed+s.set.Round) + time.Duration(s.rng.Int64N(int64(s.set.Round)/4+1))
	s.nextPush = min(s.nextPush, soon)
	s.ahead = slices.DeleteFunc(s.ahead, func(p partner) bool { return last.Covers(p.at) })
	s.start.look(s)
}

// push tells some partners how far the copy goes; ever more slowly, and to one at a time in the end, where
// others tell the same.
func (s *Spreader) push() {
	count := s.set.Fanout
	if s.interval >= s.set.Quiet || s.same >= 2*s.set.Fanout {
		count = 1
	}
	told := s.news()
	for _, to := range s.draw(count) {
		s.send(to, told)
	}
	s.pushed, s.nextPush = s.now, s.now+s.around(s.interval)
	s.interval = min(2*s.interval, s.set.Quiet)
}

// news is what partners are told: the newest records themselves while they are new and fit into one datagram,
// so that one message brings what a digest, a question and its answer would, each as easily lost as it.
func (s *Spreader) news() []byte {
	if s.interval < s.set.Quiet {
		if p, ok := s.newest(); ok {
			return p
		}
	}
	return encode(kindDigest, s.mine())
}

// newest is a part with as many of the newest records as fit.
func (s *Spreader) newest() (message []byte, fits bool) {
	last := s.log.Last()
	for first := last.Seq; first > s.log.Snapshot().Seq; first-- {
		records, ok := s.log.Part(first, s.set.NewsBytes)
		if !ok || uint64(len(records.Records)) != last.Seq-first+1 {
			break
		}
		p := encode(kindPart, part{
			Epoch: records.Epoch, First: first, Prior: records.Prior, After: records.After,
			Records: records.Records, Last: last.Seq,
		})
		if len(p) > s.set.NewsBytes {
			break
		}
		message, fits = p, true
	}
	return message, fits
}

func (s *Spreader) mine() digest {
	at := s.log.Last()
	return digest{Epoch: at.Epoch, Seq: at.Seq, Sum: at.Sum, Ready: s.start.vouches()}
}

// draw is some other agents, each once.
func (s *Spreader) draw(count int) (some []int) {
	count = min(count, s.set.Agents-1)
	for len(some) < count {
		to := s.rng.IntN(s.set.Agents)
		if to != s.set.Self && !slices.Contains(some, to) {
			some = append(some, to)
		}
	}
	return some
}

func (s *Spreader) digest(from int, d digest) {
	order, err := s.log.Compare(d.at())
	s.start.answered(s, from, d)
	switch {
	case err != nil:
		s.diverged(from)
	case order > 0:
		s.remember(from, d.at())
	case order == 0:
		s.same++
	}
	if d.Ask != 0 || order < 0 && err == nil && d.Answer == 0 {
		mine := s.mine()
		mine.Answer = d.Ask
		if answer := encode(kindDigest, mine); s.given.pay(len(answer)) {
			s.send(from, answer)
		} else {
			s.fig.Unhelped++
		}
	}
}

func (s *Spreader) diverged(from int) {
	s.fig.Diverged++
	s.out.Diverged, s.out.With = true, from
	s.forget(from)
}

func (s *Spreader) forget(from int) {
	s.ahead = slices.DeleteFunc(s.ahead, func(p partner) bool { return p.number == from })
}

// remember keeps a partner that has more; the oldest gives way.
func (s *Spreader) remember(from int, at chronicle.Position) {
	s.forget(from)
	if s.set.GiveOnly || s.log.Last().Covers(at) {
		return
	}
	if len(s.ahead) >= mostAhead {
		s.ahead = s.ahead[1:]
	}
	s.ahead = append(s.ahead, partner{number: from, at: at})
}

// pull asks one partner that is ahead, where none is waited for.
func (s *Spreader) pull() {
	if s.pulling || len(s.ahead) == 0 || s.now < s.until {
		return
	}
	if !s.taken.has(s.set.MessageBytes) {
		s.until = s.now + s.taken.wait(s.set.MessageBytes)
		return
	}
	s.ask(s.ahead[s.rng.IntN(len(s.ahead))].number)
}

func (s *Spreader) ask(from int) {
	at := s.log.Last()
	p := pull{Epoch: at.Epoch, Seq: at.Seq, Sum: at.Sum}
	if s.begun.is {
		p.Check, p.Offset = s.begun.of.Check, len(s.begun.data)
	}
	s.pulling, s.from, s.asked, s.until = true, from, s.now, s.now+s.patience()
	s.send(from, encode(kindPull, p))
}

// patience is how long a partner is waited for: as answers take, and Patience at the most.
func (s *Spreader) patience() time.Duration {
	if s.trip == 0 {
		return s.set.Patience
	}
	return min(max(4*s.trip, s.set.Patience/leastPatience), s.set.Patience)
}

// giveUp ends the wait for a partner, and leaves one that has not answered some times until it tells of
// itself again.
func (s *Spreader) giveUp() {
	s.pulling, s.until = false, s.now
	for i := range s.ahead {
		if p := &s.ahead[i]; p.number == s.from {
			if p.asked++; p.asked >= tries {
				s.forget(s.from)
			}
			return
		}
	}
}

// got ends the wait for a partner, whose copy goes so far, and goes on with it where that is more.
func (s *Spreader) got(from, bytes int, epoch, last uint64, more bool) {
	s.taken.charge(bytes)
	if s.pulling && s.from == from {
		s.pulling, s.until = false, s.now
		s.took(s.now - s.asked)
	}
	s.forget(from) // one that brings nothing is not asked again until it tells of itself
	if more {
		s.remember(from, chronicle.Position{Epoch: epoch, Seq: last})
	}
	if more && !s.pulling && s.taken.has(s.set.MessageBytes) && len(s.ahead) > 0 {
		s.ask(from)
	}
}

// took takes in how long an answer took.
func (s *Spreader) took(d time.Duration) {
	if s.trip == 0 {
		s.trip = d
	}
	s.trip = max(s.trip+(d-s.trip)/8, 1)
}

func (s *Spreader) part(from int, p part) {
	told := p.First+uint64(len(p.Records)) == p.Last+1 && !(s.pulling && s.from == from)
	if told { // with the news: it tells how far the sender is as well
		defer s.digest(from, digest{Epoch: p.Epoch, Seq: p.Last, Sum: p.After})
	}
	if s.set.GiveOnly {
		return
	}
	taken, err := s.log.Take(chronicle.Part{
		Epoch: p.Epoch, First: p.First, Prior: p.Prior, After: p.After,
		Records: p.Records,
	})
	switch {
	case errors.Is(err, chronicle.ErrDiverged):
		s.diverged(from)
	case told && (errors.Is(err, chronicle.ErrGap) || errors.Is(err, chronicle.ErrNewEpoch)):
		return // more than what follows is missing: the digest has it asked for
	case err != nil && !errors.Is(err, chronicle.ErrFull):
		s.fig.Refused++
	}
	if taken > 0 {
		s.begun = assembly{}
	}
	last := s.log.Last()
	more := taken > 0 && p.Epoch == last.Epoch && p.Last > last.Seq
	s.got(from, size(p.Records), p.Epoch, p.Last, more && err == nil)
	if errors.Is(err, chronicle.ErrFull) {
		s.until = s.now + s.set.Patience
	}
}

func size(records [][]byte) (n int) {
	for _, r := range records {
		n += len(r)
	}
	return n
}

// help gives one that is behind what follows, as far as a message goes and enough was not given.
func (s *Spreader) help(from int, p pull) {
	answer := s.helpWith(p)
	switch {
	case answer == nil:
		s.digest(from, digest{Epoch: p.Epoch, Seq: p.Seq, Sum: p.Sum})
	case !s.given.pay(len(answer)):
		s.fig.Unhelped++
	default:
		s.fig.Helped++
		s.send(from, answer)
	}
}

// helpWith is the answer to a question, nil where there is nothing that follows.
func (s *Spreader) helpWith(p pull) []byte {
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
	whole := piece{
		Snapshot: true, Epoch: snap.Epoch, Seq: snap.Seq, Sum: snap.Sum, Size: len(snap.Data),
		Last: last.Seq,
	}
	data := snap.Data
	if records, ok := s.log.Part(first, s.set.MessageBytes); ok {
		if data = records.Records[0]; len(data) <= s.set.MessageBytes {
			return encode(kindPart, part{
				Epoch: records.Epoch, First: first, Prior: records.Prior,
				After: records.After, Records: records.Records, Last: last.Seq,
			})
		}
		whole = piece{
			Epoch: records.Epoch, Seq: first, Sum: records.Prior, Check: records.After, Size: len(data),
			Last: last.Seq,
		}
	} else {
		whole.Check = snap.Digest()
	}
	if p.Check == whole.Check && p.Offset > 0 && p.Offset < len(data) {
		whole.Offset = p.Offset
	}
	whole.Data = data[whole.Offset:min(whole.Offset+s.set.MessageBytes, len(data))]
	return encode(kindPiece, whole)
}
