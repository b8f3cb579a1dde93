package lease

import (
	"math"
	"time"

	"dunestep/internal/fleet/replica"
	"dunestep/internal/simnet"
)

// lab simulates voters, whose leader is node 0, and agents. It records the time of each commit. The leader answers each
// read with the number of records that are committed at the time of the answer.
type lab struct {
	*simnet.Network
	terms              Terms
	granters           []*Granter
	holders            []*Holder
	applied            []uint64 // last applied record, by agent
	lastInput          []ClockReading
	commits            []ClockReading // the leader's clocks at each commit, by record
	disabledProtection string         // protection that is disabled; empty: none
	decisions          int
	underLease         int
	violation          string
}

const (
	voters = 3
	// suspended is the node of an agent whose steady clock nearly stops while it is paused, and whose Unix time is right.
	suspended = voters
)

func newLab(seed uint64, agents int, faults simnet.Faults, terms Terms, disabledProtection string) *lab {
	l := &lab{
		Network: simnet.NewNetwork(seed, voters+agents, 1e6*time.Second, faults), terms: terms.WithDefaults(), disabledProtection: disabledProtection,
		applied: make([]uint64, agents), lastInput: make([]ClockReading, agents),
	}
	grantTerms := l.terms
	if disabledProtection == "knowledge age" {
		grantTerms.MaxKnowledgeAge, grantTerms.MaxPause = time.Hour, time.Hour
	}
	l.OnMessage, l.OnTimer = l.deliver, l.tick
	for range voters {
		l.granters = append(l.granters, NewGranter(GranterSettings{Terms: grantTerms, Agents: agents}))
	}
	l.holders = make([]*Holder, agents)
	for a := range agents {
		l.restart(a, 1)
	}
	return l
}

// reading returns the reading of a node's clocks.
func (l *lab) reading(node int) ClockReading {
	r := ClockReading{Unix: l.UnixTime(node), Mono: l.SteadyTime(node)}
	switch l.disabledProtection {
	case "steady clock":
		r.Mono = r.Unix - 1e6*time.Second
	case "Unix time":
		r.Unix = r.Mono
	}
	return r
}

// restart replaces an agent's holder, as a restart of its process does.
func (l *lab) restart(a int, incarnation uint64) {
	l.holders[a] = NewHolder(HolderSettings{
		Terms: l.terms, Self: a, Incarnation: incarnation,
		Voters: []int{0, 1, 2}, Seed: uint64(a) + 7,
	}, l.reading(voters+a))
	l.holders[a].SetApplied(replica.Position{Epoch: 1, Seq: l.applied[a]})
	l.SetTimer(voters+a, l.holders[a].Next())
}

// tick sends the request of an agent if one is due.
func (l *lab) tick(node int) {
	a := node - voters
	now := l.reading(node)
	l.lastInput[a] = now
	if to, r, send := l.holders[a].Tick(now); send {
		l.Send(node, to, append([]byte{'r'}, r.Encode()...))
	}
	l.SetTimer(node, max(l.holders[a].Next(), l.SteadyTime(node)+10*time.Millisecond))
}

// read is the result of a linearizable read.
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
		if l.disabledProtection == "request time" { // count from the arrival of the grant
			for i := range l.holders[a].outstanding {
				l.holders[a].outstanding[i].sent = now
			}
		}
		l.lastInput[a] = now
		l.holders[a].HandleGrant(now, from, g)
		l.SetTimer(to, l.holders[a].Next())
	}
}

// startRead simulates a linearizable read of a voter at the leader, over the same network as all messages.
func (l *lab) startRead(voter int, startedAt ClockReading) {
	network := l.Network
	exchange := func(done func(read)) {
		if l.isLost(voter, 0) {
			return
		}
		network.At(network.Now()+l.delay(), func() {
			answer := read{startedAt: startedAt, committed: uint64(len(l.commits))}
			if !l.isLost(0, voter) {
				network.At(network.Now()+l.delay(), func() { done(answer) })
			}
		})
	}
	exchange(func(r read) {
		var confirm func()
		confirm = func() {
			if network.IsPaused(voter) {
				network.At(network.Now()+50*time.Millisecond, confirm)
				return
			}
			now := l.reading(voter)
			if l.disabledProtection == "read start" { // count from the arrival of the answer
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

// commit adds a record, which each agent applies after a random delay, in one of 8 cases a long one.
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

// decide lets every running agent make a decision, and checks that no agent acts without a record after its fence, by
// the leader's own clocks and by the Unix time of a random voter.
func (l *lab) decide() {
	leader, voterTime := l.reading(0), l.UnixTime(l.Rand().IntN(voters))
	for a, h := range l.holders {
		if l.IsPaused(voters + a) {
			continue
		}
		now := l.reading(voters + a)
		if l.disabledProtection == "decision time" { // the clocks are not read for the decision itself
			now = l.lastInput[a]
		}
		if l.disabledProtection == "applied" {
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
			if l.terms.FencePassed(committed, leader) || voterTime >= l.terms.Fence(committed.Unix) {
				l.violation = "an agent acts without a record after its fence"
			}
		}
	}
}

// simulate runs 90 s with all kinds of faults, and with one protection disabled.
func simulate(seed uint64, disabledProtection string) *lab {
	terms := Terms{Duration: 2 * time.Second, MaxKnowledgeAge: 500 * time.Millisecond, MaxClockError: 400 * time.Millisecond, MaxDrift: 0.01}
	l := newLab(seed, 6, simnet.Faults{
		Loss: 0.1, Duplicate: 0.1, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond,
		Late: 0.1, Lateness: 4 * time.Second,
	}, terms, disabledProtection)
	rng, begin := l.Rand(), l.Now()
	end := begin + 90*time.Second
	incarnation := uint64(1)
	scheduleEvery(l, begin, end, 1500*time.Millisecond, l.commit)
	scheduleEvery(l, begin, end, 100*time.Millisecond, l.decide)
	scheduleEvery(l, begin, end, 2*time.Second, func() {
		node := rng.IntN(voters + len(l.holders))
		switch rng.IntN(5) {
		case 0:
			until := l.Now() + time.Duration(rng.Int64N(int64(10*time.Second)))
			l.Pause(node, until)
			if node == suspended {
				l.SetClock(node, 0, 0.01)
				l.At(until, func() { l.SetClock(node, 0, 1) })
			}
		case 1: // cut one direction for 8 s
			other := rng.IntN(voters)
			l.SetCut(node, other, true)
			l.At(l.Now()+8*time.Second, func() { l.SetCut(node, other, false) })
		case 2:
			other := rng.IntN(voters)
			l.SetCut(other, node, true)
			l.At(l.Now()+8*time.Second, func() { l.SetCut(other, node, false) })
		case 3: // clock errors within the terms; the Unix time of an agent may be off by more, as no other node depends on it
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

// scheduleEvery calls do once in each interval of length step, at a random time within it.
func scheduleEvery(l *lab, from, to, step time.Duration, do func()) {
	for at := from; at < to; at += step {
		l.At(at+time.Duration(l.Rand().Int64N(int64(step))), do)
	}
}
