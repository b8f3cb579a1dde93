package lease

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/fleet/replica"
	"dunestep/internal/simnet"
)

// lab simulates voters, whose leader is node 0, and agents. The lab itself knows what was committed and when: the leader
// answers each read with what is committed as it answers.
type lab struct {
	*simnet.Network
	terms      Terms
	granters   []*Granter
	holders    []*Holder
	applied    []uint64 // the last record by the agent
	lastInput  []ClockReading
	commits    []ClockReading // of the leader's clocks, by the record
	without    string         // the protection that is left out; empty: none
	decisions  int
	underLease int
	violation  string
}

const (
	voters = 3
	// suspended is an agent whose steady clock stands nearly still while it is paused, and whose Unix time is right.
	suspended = voters
)

func newLab(seed uint64, agents int, faults simnet.Faults, terms Terms, without string) *lab {
	l := &lab{
		Network: simnet.NewNetwork(seed, voters+agents, 1e6*time.Second, faults), terms: terms.WithDefaults(), without: without,
		applied: make([]uint64, agents), lastInput: make([]ClockReading, agents),
	}
	granting := l.terms
	if without == "knowledge age" {
		granting.MaxKnowledgeAge, granting.MaxPause = time.Hour, time.Hour
	}
	l.OnMessage, l.OnTimer = l.deliver, l.tick
	for range voters {
		l.granters = append(l.granters, NewGranter(GranterSettings{Terms: granting, Agents: agents}))
	}
	l.holders = make([]*Holder, agents)
	for a := range agents {
		l.restart(a, 1)
	}
	return l
}

func (l *lab) reading(node int) ClockReading {
	r := ClockReading{Unix: l.UnixTime(node), Mono: l.SteadyTime(node)}
	switch l.without {
	case "steady clock":
		r.Mono = r.Unix - 1e6*time.Second
	case "Unix time":
		r.Unix = r.Mono
	}
	return r
}

func (l *lab) restart(a int, incarnation uint64) {
	l.holders[a] = NewHolder(HolderSettings{
		Terms: l.terms, Self: a, Incarnation: incarnation,
		Voters: []int{0, 1, 2}, Seed: uint64(a) + 7,
	}, l.reading(voters+a))
	l.holders[a].SetApplied(replica.Position{Epoch: 1, Seq: l.applied[a]})
	l.SetTimer(voters+a, l.holders[a].Next())
}

func (l *lab) tick(node int) {
	a := node - voters
	now := l.reading(node)
	l.lastInput[a] = now
	if to, r, send := l.holders[a].Tick(now); send {
		l.Send(node, to, append([]byte{'r'}, r.Encode()...))
	}
	l.SetTimer(node, max(l.holders[a].Next(), l.SteadyTime(node)+10*time.Millisecond))
}

// read is a linearizable read on its way between a voter and the leader.
type read struct {
	startedAt ClockReading
	committed uint64
}

func (l *lab) deliver(to, from int, data []byte) {
	now := l.reading(to)
	switch {
	case to < voters && data[0] == 'r':
		r, err := DecodeRequest(data[1:])
		if err != nil {
			panic(err)
		}
		replies, startRead := l.granters[to].HandleRequest(now, from-voters, r)
		l.reply(to, replies)
		if startRead {
			l.startRead(to, now)
		}
	case to >= voters && data[0] == 'g':
		g, err := DecodeGrant(data[1:])
		if err != nil {
			panic(err)
		}
		a := to - voters
		if l.without == "request time" { // count from when the grant came
			for i := range l.holders[a].outstanding {
				l.holders[a].outstanding[i].sent = now
			}
		}
		l.lastInput[a] = now
		l.holders[a].HandleGrant(now, from, g)
		l.SetTimer(to, l.holders[a].Next())
	}
}

// startRead has a voter do a linearizable read at the leader, over the same network as everything else.
func (l *lab) startRead(voter int, startedAt ClockReading) {
	w := l.Network
	exchange := func(done func(read)) {
		if l.isLost(voter, 0) {
			return
		}
		w.At(w.Now()+l.delay(), func() {
			answer := read{startedAt: startedAt, committed: uint64(len(l.commits))}
			if !l.isLost(0, voter) {
				w.At(w.Now()+l.delay(), func() { done(answer) })
			}
		})
	}
	exchange(func(r read) {
		var confirm func()
		confirm = func() {
			if w.IsPaused(voter) {
				w.At(w.Now()+50*time.Millisecond, confirm)
				return
			}
			now := l.reading(voter)
			if l.without == "read start" { // count from when the answer came
				r.startedAt = now
			}
			l.reply(voter, l.granters[voter].HandleConfirmed(now, r.startedAt, replica.Position{Epoch: 1, Seq: r.committed}))
		}
		confirm()
	})
}

func (l *lab) isLost(from, to int) bool {
	return from != to && (l.Rand().Float64() < l.Faults.Loss || l.IsCut(from, to))
}

func (l *lab) delay() time.Duration {
	d := l.Faults.MinDelay
	if l.Rand().Float64() < l.Faults.Late {
		d += time.Duration(l.Rand().Int64N(int64(l.Faults.Lateness)))
	}
	return d
}

func (l *lab) reply(voter int, replies []Reply) {
	for _, r := range replies {
		l.Send(voter, voters+r.To, append([]byte{'g'}, r.Grant.Encode()...))
	}
}

// commit adds a record, which each agent learns some time later, or much later.
func (l *lab) commit() {
	l.commits = append(l.commits, l.reading(0))
	n := uint64(len(l.commits))
	for a := range l.holders {
		wait := time.Duration(l.Rand().ExpFloat64() * float64(200*time.Millisecond))
		if l.Rand().IntN(8) == 0 {
			wait = time.Duration(l.Rand().Int64N(int64(40 * time.Second)))
		}
		l.At(l.Now()+wait, func() {
			l.applied[a] = max(l.applied[a], n)
			l.holders[a].SetApplied(replica.Position{Epoch: 1, Seq: l.applied[a]})
		})
	}
}

// decide has every running agent make a decision, and checks whether it may: by the leader's own clocks, and by the Unix
// time of another machine.
func (l *lab) decide() {
	leader, other := l.reading(0), l.UnixTime(l.Rand().IntN(voters))
	for a, h := range l.holders {
		if l.IsPaused(voters + a) {
			continue
		}
		now := l.reading(voters + a)
		if l.without == "decision time" { // the clocks are not read for the decision itself
			now = l.lastInput[a]
		}
		if l.without == "applied" {
			h.SetApplied(replica.Position{Epoch: 1, Seq: math.MaxUint64})
		}
		l.decisions++
		if !h.Holds(now) {
			continue
		}
		l.underLease++
		for i, committed := range l.commits {
			if l.applied[a] > uint64(i) {
				continue
			}
			if l.terms.FencePassed(committed, leader) || other >= l.terms.Fence(committed.Unix) {
				l.violation = "an agent acts without a record after its fence"
			}
		}
	}
}

// simulate runs 90 s with all kinds of faults.
func simulate(seed uint64, without string) *lab {
	terms := Terms{Duration: 2 * time.Second, MaxKnowledgeAge: 500 * time.Millisecond, MaxClockError: 400 * time.Millisecond, MaxDrift: 0.01}
	l := newLab(seed, 6, simnet.Faults{
		Loss: 0.1, Duplicate: 0.1, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond,
		Late: 0.1, Lateness: 4 * time.Second,
	}, terms, without)
	rng, begin := l.Rand(), l.Now()
	end := begin + 90*time.Second
	incarnation := uint64(1)
	every(l, begin, end, 1500*time.Millisecond, l.commit)
	every(l, begin, end, 100*time.Millisecond, l.decide)
	every(l, begin, end, 2*time.Second, func() {
		node := rng.IntN(voters + len(l.holders))
		switch rng.IntN(5) {
		case 0:
			until := l.Now() + time.Duration(rng.Int64N(int64(10*time.Second)))
			l.Pause(node, until)
			if node == suspended {
				l.SetClock(node, 0, 0.01)
				l.At(until, func() { l.SetClock(node, 0, 1) })
			}
		case 1: // one direction, for a while
			other := rng.IntN(voters)
			l.SetCut(node, other, true)
			l.At(l.Now()+8*time.Second, func() { l.SetCut(node, other, false) })
		case 2:
			other := rng.IntN(voters)
			l.SetCut(other, node, true)
			l.At(l.Now()+8*time.Second, func() { l.SetCut(other, node, false) })
		case 3: // within the terms; an agent's Unix time may be off by more, as nobody else depends on it
			offset := (2*rng.Float64() - 1) * float64(terms.MaxClockError)
			if node >= voters {
				offset *= 10
			}
			if node != suspended {
				l.SetClock(node, time.Duration(offset), 1+(2*rng.Float64()-1)*terms.MaxDrift)
			}
		case 4:
			if node >= voters {
				incarnation++
				l.restart(node-voters, incarnation)
			}
		}
	})
	l.Run(end)
	return l
}

func every(l *lab, from, to, step time.Duration, do func()) {
	for at := from; at < to; at += step {
		l.At(at+time.Duration(l.Rand().Int64N(int64(step))), do)
	}
}

// No agent acts without a record after its fence.
func TestNobodyActsWithoutARecordAfterItsFence(t *testing.T) {
	decisions, underLease := 0, 0
	for seed := range uint64(200) {
		l := simulate(seed, "")
		require.Empty(t, l.violation, "seed %d", seed)
		decisions, underLease = decisions+l.decisions, underLease+l.underLease
	}
	require.Greater(t, float64(underLease)/float64(decisions), 0.25, "the property would hold if nobody ever acted")
	t.Logf("%d decisions, %.2f of them under a lease", decisions, float64(underLease)/float64(decisions))
}

// Each protection is needed: without it, a violation is found.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range []string{"knowledge age", "request time", "decision time", "read start", "applied", "steady clock", "Unix time"} {
		t.Run(without, func(t *testing.T) {
			for seed := range uint64(200) {
				if simulate(seed, without).violation != "" {
					t.Logf("found by seed %d", seed)
					return
				}
			}
			t.Error("no violation within 200 seeds without this protection")
		})
	}
}

// With loss as the only fault, an agent hardly ever lacks a lease, and the voters share the load.
func TestLeasesAreKeptUnderLoss(t *testing.T) {
	for _, c := range []struct {
		loss, leased, perVoter float64
		isVoterDown            bool // one of the three
	}{{0, 1, 52, false}, {0.1, 0.999, 75, false}, {0.3, 0.98, 110, false}, {0, 1, 80, true}, {0.1, 0.99, 110, true}} {
		l := newLab(1, 300, simnet.Faults{Loss: c.loss, MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond}, Terms{}, "")
		l.Run(l.Now() + 5*time.Second)
		if c.isVoterDown {
			l.Pause(2, l.Now()+time.Hour)
		}
		begin, sent := l.Now(), l.SentMessages[0]
		every(l, begin, begin+60*time.Second, 200*time.Millisecond, l.decide)
		l.Run(begin + 60*time.Second)
		leased, rate := float64(l.underLease)/float64(l.decisions), float64(l.SentMessages[0]-sent)/60
		t.Logf("loss %.0f%%, one of 3 voters down %v: under a lease %.4f, a voter sends %.0f/s", c.loss*100, c.isVoterDown, leased, rate)
		require.GreaterOrEqual(t, leased, c.leased)
		require.Less(t, rate, c.perVoter)
	}
}

// TestHolder checks which grants count as a lease and until when.
func TestHolder(t *testing.T) {
	at := func(s float64) ClockReading { // with both clocks
		return ClockReading{Unix: 1e6*time.Second + time.Duration(s*1e9), Mono: time.Duration(s * 1e9)}
	}
	h := NewHolder(HolderSettings{Self: 1, Incarnation: 3, Voters: []int{4}, Seed: 9}, at(0))
	require.Equal(t, New, h.Standing(at(0)))
	to, r, send := h.Tick(at(0.5))
	require.True(t, send)
	h.HandleGrant(at(0.6), to+1, Grant{Nonce: r.Nonce})
	h.HandleGrant(at(0.6), to, Grant{Nonce: r.Nonce + 1})
	require.Equal(t, New, h.Standing(at(0.6)), "from another voter, for another request")
	h.HandleGrant(at(0.6), to, Grant{Nonce: r.Nonce, Epoch: 1, Seq: 5})
	require.Equal(t, New, h.Standing(at(0.7)), "not applied")
	h.SetApplied(replica.Position{Epoch: 1, Seq: 5})
	require.Equal(t, Full, h.Standing(at(4.4)))
	setForward := at(0.7)
	setForward.Unix += 5 * time.Second
	require.Equal(t, Floor, h.Standing(setForward), "a clock was set forward")
	require.Equal(t, Floor, h.Standing(at(0.7)), "and back: an expired lease does not come back")

	_, r, send = h.Tick(at(5))
	require.True(t, send)
	setBack := at(8.9)
	setBack.Unix -= time.Hour
	h.HandleGrant(setBack, to, Grant{Nonce: r.Nonce, Epoch: 1, Seq: 4})
	require.Equal(t, Full, h.Standing(setBack), "a clock that was set back does not count")
	setBack.Mono += 200 * time.Millisecond
	require.Equal(t, Floor, h.Standing(setBack))
	_, r, _ = h.Tick(at(10))
	h.HandleGrant(at(14), to, Grant{Nonce: r.Nonce, Epoch: 1, Seq: 4})
	require.Equal(t, HolderStats{Requests: 3, Granted: 2, Late: 1, Unmatched: 2}, h.Stats())
}

// A voter is waited for as long as replies take, and the voters count as unreachable after as many requests as the
// known loss explains, not before.
func TestRetrySchedule(t *testing.T) {
	for _, lost := range []int{0, 2} { // requests that are lost before each one that is answered
		h := NewHolder(HolderSettings{Voters: []int{4, 5, 6}, Seed: 9}, ClockReading{})
		now := ClockReading{}
		request := func() (int, Request, time.Duration) {
			since := now.Mono
			now.Mono = h.Next()
			now.Unix = now.Mono
			to, r, send := h.Tick(now)
			require.True(t, send)
			return to, r, now.Mono - since
		}
		request()
		_, _, first := request()
		require.Greater(t, first, 200*time.Millisecond, "no reply came yet")
		for range 60 {
			for range lost {
				request()
			}
			to, r, _ := request()
			now.Mono, now.Unix = now.Mono+5*time.Millisecond, now.Unix+5*time.Millisecond
			h.HandleGrant(now, to, Grant{Nonce: r.Nonce})
		}
		var waits []time.Duration
		request()
		for range 40 {
			_, _, wait := request()
			waits = append(waits, wait)
		}
		require.Less(t, waits[0]+waits[1]+waits[2], 150*time.Millisecond)
		eager := 0
		for eager < len(waits) && waits[eager] < 300*time.Millisecond {
			eager++
		}
		require.InDelta(t, 16+6*lost, eager, 1, "lost %d", lost)
		require.Greater(t, waits[39], 1700*time.Millisecond)
	}
}

// An older grant never replaces a newer one, nor one of an earlier epoch one of a later.
func TestGrantsOutOfOrder(t *testing.T) {
	h := NewHolder(HolderSettings{Voters: []int{4}, Seed: 9}, ClockReading{})
	h.SetApplied(replica.Position{Epoch: 2, Seq: 5})
	request := func(s float64) Request {
		h.nextRequest = 0
		_, r, _ := h.Tick(at(s))
		return r
	}
	first, second, third := request(1), request(2), request(2.5)
	h.HandleGrant(at(2.6), 4, Grant{Nonce: third.Nonce, Epoch: 1, Seq: 9})
	require.Equal(t, New, h.Standing(at(2.6)))
	h.HandleGrant(at(2.6), 4, Grant{Nonce: second.Nonce, Epoch: 2, Seq: 5})
	h.HandleGrant(at(2.7), 4, Grant{Nonce: first.Nonce, Epoch: 2, Seq: 5})
	require.Equal(t, 3300*time.Millisecond, h.Remaining(at(2.7)))
	h.HandleGrant(at(3), 4, Grant{Nonce: request(3).Nonce, Epoch: 2, Seq: 6})
	behind, isBehind := h.Behind()
	require.True(t, isBehind && behind.Seq == 6 && h.Holds(at(5.9)) && !h.Holds(at(6)), "the former grant holds until it expires")

	rejected := request(4)
	before := h.nextRequest
	h.HandleGrant(at(4), 4, Grant{Nonce: rejected.Nonce, Rejected: true})
	require.Equal(t, before, h.nextRequest, "the only voter is not asked again at once after it rejected")
}

func at(s float64) ClockReading { return ClockReading{Mono: time.Duration(s * 1e9)} }

// TestGranter checks when requests wait, are granted and are rejected.
func TestGranter(t *testing.T) {
	g := NewGranter(GranterSettings{Agents: 2})
	out, startRead := g.HandleRequest(at(1), 1, Request{Agent: 1, Nonce: 7})
	require.True(t, startRead)
	require.Empty(t, out, "waits for the leader's confirmation")
	position := replica.Position{Epoch: 1, Seq: 3}
	require.Equal(t, []Reply{{To: 1, Grant: Grant{Nonce: 7, Epoch: 1, Seq: 3}}}, g.HandleConfirmed(at(1.1), at(1), position))
	require.Len(t, g.ActiveHolders(at(5)), 1)
	require.Empty(t, g.ActiveHolders(at(5.2)))
	for _, c := range []struct {
		now        float64
		isRejected bool
		startRead  bool
	}{{1.3, false, false}, {1.9, false, true}, {2.1, true, false}, {2.6, true, true}, {4, true, true}} {
		out, startRead = g.HandleRequest(at(c.now), 0, Request{})
		require.Equal(t, c.startRead, startRead, "%v", c.now)
		if c.now != 2.1 { // that one waits: a read was started a short while ago
			require.Equal(t, c.isRejected, out[0].Grant.Rejected, "%v", c.now)
		} else {
			require.Empty(t, out)
		}
	}
	require.Empty(t, g.HandleConfirmed(at(5.5), at(4), position), "the read started too long ago")
	_, _ = g.HandleRequest(at(5.6), 7, Request{Agent: 7})
	_, _ = g.HandleRequest(at(5.6), 0, Request{Agent: 1})
	require.Equal(t, uint64(2), g.Stats().Dropped)
	_ = g.HandleConfirmed(at(5.7), at(5.6), position)
	g.HandleConfirmed(at(7.5), at(7.4), position)
	require.Equal(t, uint64(3), g.Stats().Pauses)

	g = NewGranter(GranterSettings{Agents: 1, Terms: Terms{MaxPause: 200 * time.Millisecond}})
	g.HandleConfirmed(at(1), at(0.9), position)
	g.HandleConfirmed(at(1.1), at(0.5), replica.Position{Epoch: 1, Seq: 2})
	out, _ = g.HandleRequest(at(1.2), 0, Request{})
	require.Equal(t, uint64(3), out[0].Grant.Seq, "an older confirmation came later")
	out, _ = g.HandleRequest(at(1.5), 0, Request{})
	require.Empty(t, out, "what was known before a pause is not used")
}

// TestDecodeAnyBytes checks that decoding accepts only what encodes within the bounds, and the bounds of Terms.
func TestDecodeAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		r, err := DecodeRequest(data)
		if err == nil {
			require.LessOrEqual(t, len(r.Encode()), 60)
		}
		_, _ = DecodeGrant(data)
	})
	r := Request{Agent: 7, Incarnation: math.MaxUint64, Nonce: 1, Epoch: 2, Seq: 3}
	decoded, err := DecodeRequest(r.Encode())
	require.NoError(t, err)
	require.Equal(t, r, decoded)
	require.ErrorIs(t, Terms{Duration: 1, MaxKnowledgeAge: 1}.Validate(), ErrInvalidTerms)
	require.NoError(t, Terms{}.WithDefaults().Validate())
}

// A clock that is off from most voters' clocks is detected, within the time between request and grant. An agent that may
// not have a lease is rejected, by its note, at the time of the grant.
func TestClockCheckAndMayGrant(t *testing.T) {
	terms := Terms{}.WithDefaults()
	var notes []string
	g := NewGranter(GranterSettings{Terms: terms, Agents: 4, MayGrant: func(_ ClockReading, from int, r Request) bool {
		notes = append(notes, string(r.Note))
		return string(r.Note) != "no"
	}})
	h := NewHolder(HolderSettings{Terms: terms, Self: 3, Voters: []int{0, 1, 2}, Seed: 1}, ClockReading{})
	for i, c := range []struct {
		off  time.Duration
		note string
		want bool
	}{{0, "", false}, {time.Second, "", false}, {time.Second, "", true}, {0, "", true}, {0, "no", true}, {0, "", false}} {
		now := ClockReading{Unix: time.Duration(i+1) * 10 * time.Second, Mono: time.Duration(i+1) * 10 * time.Second}
		to, r, send := h.Tick(now)
		require.True(t, send)
		r.Note = []byte(c.note)
		decoded, err := DecodeRequest(r.Encode())
		require.NoError(t, err)
		voter := ClockReading{Unix: now.Unix + c.off, Mono: now.Mono}
		g.HandleRequest(voter, 3, decoded)
		answers := g.HandleConfirmed(voter, voter, replica.Position{Epoch: 1})
		require.Len(t, answers, 1)
		grant, err := DecodeGrant(answers[0].Grant.Encode())
		require.NoError(t, err)
		require.Equal(t, c.note == "no", grant.Rejected)
		h.HandleGrant(now, to, grant)
		require.Equal(t, c.want, h.IsClockOff(now), i)
		set := ClockReading{Unix: now.Unix + 5*time.Second, Mono: now.Mono}
		require.True(t, h.IsClockOff(set), "set since")
	}
	require.Len(t, notes, 6)
	long, err := DecodeRequest(Request{Note: make([]byte, MaxNoteBytes+1)}.Encode())
	require.Error(t, err, long)
}
