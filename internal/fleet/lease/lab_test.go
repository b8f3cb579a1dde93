package lease

import (
	"math"
	"time"

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
