// Package lab plays changes of policy in virtual time, with all that can go wrong on the way: what is lost,
// late, doubled and out of order, ways that are cut in one direction, voters and agents that stand still or
// end at any step, clocks that are off. The agreed log is reduced to what it promises: records come one after
// the other, from a leader that reaches a majority, and each node learns them some time later. Leases are
// package lease's own. What the agents decide is judged from the outside (package judge).
package lab

import (
	"encoding/binary"
	"fmt"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/judge"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/replica"
	"dunestep/internal/simnet"
)

// Setup is one course. The same one is the same course.
type Setup struct {
	Seed           uint64
	Voters, Agents int
	Begin          time.Duration // true time, which is Unix time; 1e6 s
	Faults         simnet.Faults
	Times          policy.Times
	LeadTime       time.Duration // how far ahead changes are made
	Without        string        // a protection that is taken out: one of Protections
	// Beside, where set, makes what stands beside the policy in a node's process; below zero: in none, to follow
	// what is agreed.
	Beside func(n int, now lease.ClockReading) Beside
}

// Protections can be taken out, to see that the judge finds it.
var Protections = []string{
	"promise",     // agents act on the former version until they know of the new one
	"prepare",     // what is proposed is activated at once
	"fence",       // a tenth of the fence is waited for
	"outstanding", // voters report without a thought of leases that still hold
	"begin",       // nor of those that a former process of theirs granted
	"check",       // agents say yes to what allows less than the floor
	"settle",      // a floor that was replaced counts no longer at once
	"run out",     // cut-off agents go by the floor that they know for ever
	"decline",     // voters grant leases whatever the answer, and forget it
	"own",         // leaders activate what they have not looked at themselves
}

// Lab is one course.
type Lab struct {
	*simnet.Network
	Judge *judge.Judge
	// Acted is when each agent first acted on a version, by version and agent; since true time zero.
	Acted map[uint64]map[int]time.Duration
	// Unfit counts agents that acted on the version before as one took hold that they cannot use.
	Unfit int
	// Longest is the longest time for which a change was open while the leader had a majority all along.
	Longest time.Duration

	// Decided is told of each decision, OnBeside of each record of what stands beside.
	Decided  func(agent int, now lease.ClockReading, standing lease.Standing, acting policy.Active)
	OnBeside func()

	set      Setup
	asleep   time.Duration // until when all nodes stand still
	pruned   int           // messages that are forgotten
	beside   Beside        // of all that is agreed
	theme    theme
	log      [][]byte
	ref      *policy.StateMachine // of all that is agreed
	voters   []*voter
	agents   []*agent
	messages []message
	leader   int // below zero: none
	lonely   time.Duration
	opened   time.Duration
	onRecord func(open bool) // after each that is agreed
	calls    []*call
}

// node is what voters and agents have in common.
type node struct {
	number int
	life   int // of its process; zero: none runs
	lives  int
	known  int // records
	member *policy.Replica
	beside Beside
	pull   time.Duration
}

type voter struct {
	node
	granter  *lease.Granter
	reads    []message
	requests map[uint64]message
}

type agent struct {
	node
	holder *lease.Holder
	own    policy.LocalSettings
}

// call is a change that somebody asks for, again and again until it is settled.
type call struct {
	node int
	id   string
	data []byte
	end  policy.ProposalStatus
}

type kind uint8

const (
	news     kind = iota // n: records that the sender has
	have                 // n: the same, and asks for more
	request              // for a lease
	grant                // or a refusal
	told                 // a note
	heard                // that it was
	propose              // data, for the leader
	question             // a voter asks the leader what is agreed
	reply                // n is
	aside                // data, between what stands beside
)

type message struct {
	kind  kind
	n     int
	life  int // of the sender
	note  []byte
	r     lease.Request
	g     lease.Grant
	data  []byte
	asked lease.ClockReading
}

// Own are the settings of all agents.
func Own() policy.LocalSettings {
	return policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}, {Name: "west", QuotaPerSecond: 40}},
		Classes: []balancer.Class{{Name: "find"}, {Name: "book"}},
		Limits:  balancer.Limits{MaxAttempts: 3, Hedging: true},
	}}
}

// New returns a course at its beginning, with all nodes running and version 0.
func New(set Setup) *Lab {
	set.Times = set.Times.WithDefaults()
	if set.Begin == 0 {
		set.Begin = 1e6 * time.Second
	}
	l := &Lab{
		Network: simnet.NewNetwork(set.Seed, set.Voters+set.Agents, set.Begin, set.Faults), set: set,
		ref: policy.NewStateMachine(), Acted: map[uint64]map[int]time.Duration{},
	}
	own := Own()
	plain, err := mean(own, "format = 1\n")
	if err != nil {
		panic(err) // of constants
	}
	l.Judge = judge.New(2*set.Times.Terms.MaxClockError+time.Millisecond, plain)
	l.OnMessage, l.OnTimer = l.deliver, l.tick
	if set.Beside != nil {
		l.beside = set.Beside(-1, lease.ClockReading{})
	}
	for i := range set.Voters {
		l.voters = append(l.voters, &voter{node: node{number: i}})
	}
	for i := range set.Agents {
		l.agents = append(l.agents, &agent{node: node{number: set.Voters + i}, own: own})
	}
	for i := range set.Voters + set.Agents {
		l.Start(i, false)
	}
	l.watchLeader()
	return l
}

// mean is what a document does at an agent with these settings.
func mean(own policy.LocalSettings, document string) (v judge.Version, err error) {
	d, err := policy.ParseDocument("lab", []byte(document))
	if err != nil {
		return v, err
	}
	if v.Effect, err = d.Effect(own); err != nil {
		return v, err
	}
	v.Floor = d.Floor().Effect(own)
	return v, nil
}

func (l *Lab) reading(n int) lease.ClockReading {
	return lease.ClockReading{Unix: l.UnixTime(n), Mono: l.SteadyTime(n)}
}

func (l *Lab) node(n int) *node {
	if n < len(l.voters) {
		return &l.voters[n].node
	}
	return &l.agents[n-len(l.voters)].node
}

// Odd has an agent whose settings permit two attempts: it cannot use what others can.
func (l *Lab) Odd(agent int) {
	own := Own()
	own.Settings.Limits.MaxAttempts = 2
	l.agents[agent].own = own
	l.agents[agent].member.Agent.SetLocalSettings(own)
}

// Stop ends a node's process.
func (l *Lab) Stop(n int) { l.node(n).life = 0 }

// Start begins a process anew. Keeps tells whether it finds the records that it had: on a folder that lasts.
func (l *Lab) Start(n int, keeps bool) {
	nd, now := l.node(n), l.reading(n)
	nd.lives++
	nd.life = nd.lives
	was := nd.member
	if !keeps || was == nil {
		nd.known = 0
	}
	if n < len(l.voters) {
		l.startVoter(l.voters[n], now)
	} else {
		a := l.agents[n-len(l.voters)]
		a.holder = lease.NewHolder(lease.HolderSettings{
			Terms: l.set.Times.Terms, Self: n - len(l.voters),
			Incarnation: uint64(nd.life), Voters: l.voterNumbers(), Seed: l.set.Seed ^ uint64(n)<<32,
		}, now)
		times := l.set.Times
		if l.set.Without == "run out" {
			times.FloorValidity = time.Hour
		}
		a.member = policy.NewReplica(a.own, times, now)
	}
	if nd.known > 0 {
		if err := nd.member.StateMachine.Restore(was.StateMachine.Snapshot()); err != nil {
			panic(err) // of its own
		}
	}
	l.startBeside(nd, now)
	l.learned(n)
	l.SetTimer(n, now.Mono)
}

func (l *Lab) voterNumbers() (all []int) {
	for i := range l.voters {
		all = append(all, i)
	}
	return all
}

func (l *Lab) startVoter(v *voter, now lease.ClockReading) {
	times, councils, begin := l.set.Times, l.set.Times, now
	switch l.set.Without {
	case "prepare":
		councils.Terms.Duration, councils.Terms.MaxKnowledgeAge = 1, 1
	case "fence":
		councils.Terms.Duration = times.Terms.Duration / 10
		councils.Terms.MaxKnowledgeAge = times.Terms.MaxKnowledgeAge / 10
	case "settle":
		councils.Terms.Duration, councils.Terms.MaxKnowledgeAge, councils.FloorValidity = 1, 1, 1
	case "outstanding":
		times.Terms.Duration = 1
	case "begin":
		begin = lease.ClockReading{}
	}
	v.granter = lease.NewGranter(lease.GranterSettings{Terms: l.set.Times.Terms, Agents: l.set.Agents})
	v.member = policy.NewVoterReplica(v.number, Own(), l.set.Times, now)
	v.member.Voter = policy.NewVoter(v.number, times, begin)
	v.member.Proposer = policy.NewProposer(v.number, councils)
	v.member.Proposer.SetVoters(now, l.voterNumbers(), 1)
	v.reads, v.requests = nil, map[uint64]message{}
}

func at(n int) replica.Position { return replica.Position{Epoch: 1, Seq: uint64(n)} }

func (l *Lab) send(from, to int, m message) {
	m.life = l.node(from).life
	l.messages = append(l.messages, m)
	l.Send(from, to, binary.AppendUvarint(nil, uint64(l.pruned+len(l.messages)-1)))
}

func (l *Lab) deliver(to, from int, data []byte) {
	i, _ := binary.Uvarint(data)
	nd := l.node(to)
	if nd.life == 0 || int(i) < l.pruned {
		return
	}
	m := l.messages[int(i)-l.pruned]
	switch m.kind {
	case aside:
		nd.beside.HandleMessage(l.reading(to), from, m.data)
		return
	case news, have:
		l.learn(to, m.n)
		if nd.known > m.n {
			l.send(to, from, message{kind: news, n: nd.known})
		}
		return
	case propose:
		l.commit(to, m.data)
		return
	case question:
		if to == l.leader && l.majority() {
			l.send(to, from, message{kind: reply, n: len(l.log), asked: m.asked})
		}
		return
	}
	if to < len(l.voters) {
		l.toVoter(l.voters[to], from, m)
	} else {
		l.toAgent(l.agents[to-len(l.voters)], from, m)
	}
}

// learn has a node apply records up to a number.
func (l *Lab) learn(n, upTo int) {
	nd := l.node(n)
	if nd.known >= upTo {
		return
	}
	for ; nd.known < upTo; nd.known++ {
		if data := l.log[nd.known]; data[0] == besides {
			nd.beside.Apply(uint64(nd.known+1), data[1:])
		} else {
			nd.member.StateMachine.Apply(uint64(nd.known+1), data)
		}
	}
	l.learned(n)
	for range 3 {
		l.send(n, l.Rand().IntN(len(l.voters)+len(l.agents)), message{kind: news, n: nd.known})
	}
}

func (l *Lab) learned(n int) {
	now := l.reading(n)
	l.node(n).member.Learn(now)
	if b := l.node(n).beside; b != nil {
		b.RecordsApplied(now, false)
	}
	if n < len(l.voters) {
		v := l.voters[n]
		if l.set.Without == "own" || l.set.Without == "check" {
			v.member.Proposer.Learn(now, v.member.StateMachine, yes(v.member.Agent.EncodedAnswer()))
		}
		l.confirm(v)
		return
	}
	a := l.agents[n-len(l.voters)]
	a.holder.SetApplied(at(a.known))
	l.tell(a, now)
}

func (l *Lab) tick(n int) {
	nd, now := l.node(n), l.reading(n)
	if nd.life == 0 {
		return
	}
	if now.Mono >= nd.pull {
		nd.pull = now.Mono + 400*time.Millisecond
		l.send(n, l.Rand().IntN(len(l.voters)+len(l.agents)), message{kind: have, n: nd.known})
	}
	next := now.Mono + l.look(nd)
	if n < len(l.voters) {
		next = l.propose(l.voters[n], now)
	} else {
		a := l.agents[n-len(l.voters)]
		if to, r, send := a.holder.Tick(now); send {
			l.send(n, to, message{kind: request, r: r, note: l.note(a)})
		}
		l.tell(a, now)
		next = min(next, a.holder.Next())
	}
	l.SetTimer(n, max(min(next, l.dueBeside(nd, now)), now.Mono+time.Millisecond))
}

// note is the agent's, or yes to all where agents do not look.
func (l *Lab) note(a *agent) []byte {
	if l.set.Without == "check" {
		return yes(a.member.Agent.EncodedAnswer())
	}
	return a.member.Agent.EncodedAnswer()
}

// yes is the same note, but for the answer.
func yes(note []byte) []byte {
	n, _ := policy.DecodeAnswer(note)
	return policy.Answer{Version: n.Version}.Encode()
}

func (l *Lab) tell(a *agent, now lease.ClockReading) {
	for _, v := range a.member.Agent.VotersToNotify(now, l.voterNumbers()) {
		l.send(a.number, v, message{kind: told, note: l.note(a)})
	}
}

func (l *Lab) toAgent(a *agent, from int, m message) {
	now := l.reading(a.number)
	switch m.kind {
	case grant:
		a.holder.HandleGrant(now, from, m.g)
	case heard:
		a.member.Agent.Acknowledged(from, m.note)
	}
	l.SetTimer(a.number, now.Mono)
}

func (l *Lab) toVoter(v *voter, from int, m message) {
	now, who := l.reading(v.number), from-len(l.voters)
	switch m.kind {
	case request:
		v.requests[m.r.Nonce] = m
		out, ask := v.granter.HandleRequest(now, who, m.r)
		l.grants(v, now, out)
		if ask {
			l.ask(v, now)
		}
	case told:
		if l.set.Without != "decline" {
			v.member.Voter.AnswerReceived(who, uint64(m.life), m.note)
		}
		l.send(v.number, from, message{kind: heard, note: m.note})
		l.propose(v, now)
	case reply:
		v.reads = append(v.reads, m)
		l.confirm(v)
	}
}

func (l *Lab) ask(v *voter, now lease.ClockReading) {
	life := v.life
	if v.number != l.leader {
		for i := range 3 { // as a leader's beats come again and again
			l.At(l.Now()+time.Duration(i)*100*time.Millisecond, func() {
				if v.life == life && l.leader >= 0 {
					l.send(v.number, l.leader, message{kind: question, asked: now})
				}
			})
		}
		return
	}
	l.At(l.Now()+5*time.Millisecond, func() {
		if v.life == life && v.number == l.leader && l.majority() {
			v.reads = append(v.reads, message{n: len(l.log), asked: now})
			l.confirm(v)
		}
	})
}

// confirm takes the leader's replies for which all that they name is applied.
func (l *Lab) confirm(v *voter) {
	now, later := l.reading(v.number), v.reads[:0]
	for _, m := range v.reads {
		if m.n > v.known {
			later = append(later, m)
			continue
		}
		l.grants(v, now, v.granter.HandleConfirmed(now, m.asked, at(m.n)))
	}
	v.reads = later
}

func (l *Lab) grants(v *voter, now lease.ClockReading, out []lease.Reply) {
	for _, a := range out {
		r := v.requests[a.Grant.Nonce]
		delete(v.requests, a.Grant.Nonce)
		if !a.Grant.Rejected && !l.mayGrant(v, now, a.To, r) {
			a.Grant = lease.Grant{Nonce: a.Grant.Nonce, Rejected: true}
		}
		l.send(v.number, len(l.voters)+a.To, message{kind: grant, g: a.Grant})
	}
}

func (l *Lab) mayGrant(v *voter, now lease.ClockReading, to int, r message) bool {
	if l.set.Without == "decline" {
		if open := v.member.StateMachine.State().OpenChange; open != nil {
			r.note = policy.Answer{Version: open.Number}.Encode()
		}
	}
	return v.member.AllowLease(now, to, r.r.Incarnation, r.note) &&
		(v.beside == nil || v.beside.MayGrantLease(now, len(l.voters)+to, r.r.Incarnation, r.note))
}

// propose does what is due at a voter, and tells when it is again.
func (l *Lab) propose(v *voter, now lease.ClockReading) (next time.Duration) {
	due := v.member.Due
	if v.number == l.leader {
		due = v.member.DueAsLeader
	}
	records, next := due(now)
	for _, data := range records {
		l.submit(v.number, data)
	}
	return max(min(next, now.Mono+l.look(&v.node)), now.Mono+10*time.Millisecond)
}

// submit asks the leader for a record.
func (l *Lab) submit(from int, data []byte) {
	if from == l.leader {
		l.commit(from, data)
	} else if l.leader >= 0 {
		l.send(from, l.leader, message{kind: propose, data: data})
	}
}

// commit has a record agreed after some time, if the leader is there still and reaches a majority.
func (l *Lab) commit(by int, data []byte) {
	life := l.node(by).life
	l.At(l.Now()+time.Duration(2+l.Rand().IntN(15))*time.Millisecond, func() {
		if by != l.leader || l.node(by).life != life || l.IsPaused(by) || !l.majority() {
			return
		}
		l.log = append(l.log, data)
		l.agreed()
		l.learn(by, len(l.log))
		for i := range l.voters {
			l.send(by, i, message{kind: news, n: len(l.log)})
		}
	})
}

// agreed follows the log from the outside.
func (l *Lab) agreed() {
	if data := l.log[len(l.log)-1]; data[0] == besides {
		l.beside.Apply(uint64(len(l.log)), data[1:])
		l.OnBeside()
		return
	}
	before := l.ref.State()
	l.ref.Apply(uint64(len(l.log)), l.log[len(l.log)-1])
	st := l.ref.State()
	if before.OpenChange == nil && st.OpenChange != nil {
		l.opened = l.Now()
	}
	if before.OpenChange != nil && st.OpenChange == nil {
		l.Longest = max(l.Longest, l.Now()-l.opened)
	}
	if st.InForce.Number != before.InForce.Number {
		v, err := mean(Own(), string(st.InForce.Document))
		if err != nil {
			panic(fmt.Sprint("an agent has said yes to what none can use: ", err))
		}
		v.Number, v.EffectiveAt = st.InForce.Number, st.InForce.EffectiveAt
		l.Judge.VersionActivated(l.Now(), v)
		l.countUnfit(st.InForce.Document)
	}
	if l.onRecord != nil {
		l.onRecord(st.OpenChange != nil)
	}
}

func (l *Lab) countUnfit(document []byte) {
	for _, a := range l.agents {
		acts := a.life > 0 && a.holder.Standing(l.reading(a.number)) == lease.Full
		if acts && policy.CheckDocument(document, a.own) != nil {
			l.Unfit++
		}
	}
}

// majority tells whether the leader reaches one, both ways.
func (l *Lab) majority() bool { return l.leader >= 0 && l.reaches(l.leader) }

func (l *Lab) reaches(n int) bool {
	if l.voters[n].life == 0 || l.IsPaused(n) {
		return false
	}
	count := 0
	for i, v := range l.voters {
		if v.life > 0 && !l.IsPaused(i) && !l.IsCut(n, i) && !l.IsCut(i, n) {
			count++
		}
	}
	return 2*count > len(l.voters)
}

// watchLeader has another voter lead where the leader has reached no majority for a second. It has all that
// was agreed, as a majority has.
func (l *Lab) watchLeader() {
	l.At(max(l.Now()+100*time.Millisecond, l.asleep), l.watchLeader)
	if l.majority() {
		l.lonely = l.Now()
		return
	}
	l.opened = max(l.opened, l.Now())
	if l.leader >= 0 && l.Now()-l.lonely < time.Second {
		return
	}
	l.leader = -1
	first := l.Rand().IntN(len(l.voters))
	for i := range l.voters {
		if n := (first + i) % len(l.voters); l.reaches(n) {
			l.leader, l.lonely = n, l.Now()
			l.learn(n, len(l.log))
			return
		}
	}
}

// Propose asks for a change at a node, until it is settled.
func (l *Lab) Propose(n int, document string) {
	st := l.node(n).member.StateMachine.State()
	c := &call{node: n, id: fmt.Sprint("change ", len(l.calls))}
	now := l.UnixTime(n)
	data, err := policy.EncodeProposal(policy.Proposal{
		ID: c.id, Agent: n, BaseVersion: st.InForce.Number, Now: now,
		EffectiveAt: now + l.set.LeadTime, Document: []byte(document),
	})
	if err != nil {
		panic(err)
	}
	c.data = data
	l.calls = append(l.calls, c)
	l.call(c)
}

func (l *Lab) call(c *call) {
	if c.end = l.node(c.node).member.StateMachine.Outcome(c.id).Status; c.end != policy.StatusUnknown {
		return
	}
	if l.node(c.node).life > 0 && !l.IsPaused(c.node) {
		l.submit(c.node, c.data)
	}
	l.At(l.Now()+500*time.Millisecond, func() { l.call(c) })
}

// Decide has every agent that runs make a decision.
func (l *Lab) Decide() {
	for i, a := range l.agents {
		if a.life > 0 && !l.IsPaused(a.number) {
			l.decide(i, a)
		}
	}
}

func (l *Lab) decide(i int, a *agent) {
	now := l.reading(a.number)
	standing := a.holder.Standing(now)
	act := a.member.Agent.Active(now, standing)
	if l.Decided != nil {
		l.Decided(i, now, standing, act)
	}
	bound := standing == lease.Full && act.Mode == policy.ModeFloor && a.member.Agent.IsUsable()
	if bound && l.set.Without == "promise" {
		act.Mode = policy.ModeFull
	}
	l.Judge.DecisionMade(judge.Decision{At: l.Now(), Agent: i, Mode: act.Mode, Version: act.Version})
	if act.Mode != policy.ModeFull {
		return
	}
	acted := l.Acted[act.Version]
	if acted == nil {
		acted = map[int]time.Duration{}
		l.Acted[act.Version] = acted
	}
	if _, is := acted[i]; !is {
		acted[i] = l.Now()
	}
}

// State is that of all that is agreed.
func (l *Lab) State() policy.State { return l.ref.State() }

// Unsettled counts the changes that were asked for of which it is not known how they ended.
func (l *Lab) Unsettled() (n int) {
	for _, c := range l.calls {
		if l.ref.Outcome(c.id).Status == policy.StatusUnknown {
			n++
		}
	}
	return n
}
