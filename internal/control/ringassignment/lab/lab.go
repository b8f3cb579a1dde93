// Package lab plays a fleet's ring in virtual time, with all that can go wrong: servers that join, drain,
// vanish, flap, come back cold, lists that are late or hear nothing, capacities told wildly, agents that are
// cut off, stand still or end, leaders that end at any step. The agreed log and leases are reduced to what
// they promise: records come one after the other, from a leader that reaches a majority; a lease covers all
// that was agreed Heard before it was asked for, and holds for Length since then (see package lease). What
// the agents place by is judged from the outside (package judge).
package lab

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/control/ringassignment/judge"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/simnet"
)

// Setup is one course. The same one is the same course.
type Setup struct {
	Seed    uint64
	Agents  int // the first three of them vote
	Servers int
	Keys    int
	Faults  simnet.Faults
	Figures ringassignment.Parameters // zero: Usual
	Warm    time.Duration             // how long servers take to be warm; zero: 9 s
	Without string                    // a protection that is taken out: one of Protections, or All
}

// All has agents place by their own lists alone, as without generations.
const All = "all"

// Protections can be taken out, to see that the judge finds it.
var Protections = []string{
	"hold-down",   // what is back is used at once, however often it went
	"outstanding", // voters report without a thought of leases that still hold
	"begin",       // nor of those that a former process of theirs granted
	"fence",       // the next generation is proposed after a tenth of the fence
	"bound",       // all moves at once
	"nested",      // points of another number are others
	"own list",    // agents use what the generation names
	"warmth",      // cold servers join with all their points
	"hysteresis",  // each word on a capacity counts at once
	"emptied",     // the leader is not told which servers windows have emptied
	"stays",       // and takes those that they have off the ring
}

const (
	voters = 3
	// mostLate is how late any agent hears of a change, but for those whose list is late on purpose.
	mostLate = 300 * time.Millisecond
)

// Cold are the terms on cold servers.
func (s *Setup) Cold() slowstart.Params {
	warm := s.Warm
	if warm == 0 {
		warm = 9 * time.Second
	}
	return slowstart.Params{
		InitialCapacity: 0.31, Duration: warm, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
		Margin: 0.4, MaxOfWarm: 1,
	}
}

// Lab is one course.
type Lab struct {
	*simnet.Network
	Judge *judge.Judge

	set      Setup
	f        ringassignment.Parameters
	terms    lease.Terms                  // by which leases are granted, whatever is taken out
	ref      *ringassignment.StateMachine // of all that is agreed
	planned  *maintenance.StateMachine    // the same
	log      []agreed
	nodes    []*node
	messages []message
	leader   int // below zero: none
	lonely   time.Duration
	rings    rings
	list     []server // as it truly is
	lists    [][]server
	proposed func()         // after each record
	slow     time.Duration  // by how much some agents heard late on purpose
	wild     bool           // capacities are told wildly
	thought  func(int) bool // servers that leaders take for draining, before they do
	lies     bool           // some agents' words on paces are worth nothing
	speed    float64        // of the rapid servers, for what is agreed
}

type agreed struct {
	data   []byte
	at     time.Duration
	window bool // it is about windows
}

// node is an agent's process.
type node struct {
	number  int
	life    int // zero: none runs
	lives   int
	known   int // records
	machine *ringassignment.StateMachine
	agent   *ringassignment.Agent
	council *ringassignment.Proposer // nil: not a voter
	windows *maintenance.StateMachine
	keeps   *maintenance.Agent // off servers in windows
	paced   paced
	leases  []granted
	held    bool
	asks    time.Duration // by the steady clock
	pull    time.Duration
	late    time.Duration           // by how much it hears of changes
	deaf    bool                    // it hears of none
	seen    int                     // the list that it has
	missing map[int32]time.Duration // since when its list says of a server that it is not ready
	has     ringassignment.Mark
	since   time.Duration
	heard   [voters]bool  // of the mark
	told    time.Duration // when it last gave its council a view
}

type granted struct {
	asked  time.Duration // by the steady clock
	covers int
}

type message struct {
	kind kind
	n    int
	more bool // the sender asks for more
	life int  // of the sender
	mark ringassignment.Mark
	word []byte
}

type kind uint8

const (
	news   kind = iota
	told        // what the sender has
	heard       // that it was
	report      // a voter's
	word        // how quick the sender finds the kinds of servers
)

// server is one as it is at a time.
type server struct {
	name     string
	zone     string
	capacity float64
	listed   bool
	ready    bool
	draining bool
	started  time.Duration
	window   bool          // one is planned, or was
	lost     time.Duration // when it was last
	losses   []time.Duration
}

func (s *server) there() bool { return s.listed && s.ready && !s.draining }

// New returns a course at its beginning: all run, no generation yet.
func New(set Setup) *Lab {
	f := set.Figures
	f.SlowStart = set.Cold()
	judged := f.WithDefaults()
	switch set.Without {
	case "hold-down":
		f.MinReadyTime, f.PenaltyHalfLife = time.Nanosecond, time.Nanosecond
	case "fence":
		f.Terms.Duration, f.Terms.MaxKnowledgeAge = 400*time.Millisecond, 100*time.Millisecond
	case "bound":
		f.MaxMoveRate = 1000
	case "warmth":
		f.SlowStart.Duration = 0
	case "hysteresis":
		f.CapacitySettleTime, f.MinCapacityChange = time.Nanosecond, 0.01
	}
	l := &Lab{
		Network: simnet.NewNetwork(set.Seed, set.Agents, 1e6*time.Second, set.Faults), set: set,
		speed: 1, f: f.WithDefaults(), terms: judged.Terms,
		ref: ringassignment.NewStateMachine(), planned: newWindows(),
	}
	l.rings = rings{lab: l, owners: map[owning]*judge.Owners{}}
	l.Judge = judge.New(judge.Settings{
		MaxMoveRate: judged.MaxMoveRate, MaxMoveBurst: judged.MaxMoveBurst, OwedValidity: judged.OwedValidity,
		SampleError: 1.2 / math.Sqrt(float64(set.Keys)),
	}, truth{l})
	l.OnMessage, l.OnTimer = l.deliver, l.tick
	for i := range set.Servers {
		s := server{name: name(i), zone: string(rune('a' + i%3)), capacity: 0.9, listed: true, ready: true}
		if i%9 < 4 {
			s.capacity = 1.8
		}
		l.list = append(l.list, s)
	}
	l.lists = [][]server{append([]server(nil), l.list...)}
	for i := range set.Agents {
		l.nodes = append(l.nodes, &node{
			number: i, missing: map[int32]time.Duration{},
			late: time.Duration(l.Rand().Int64N(int64(mostLate))),
		})
		l.Start(i, false)
	}
	l.watchLeader()
	return l
}

// name is one of which none is the beginning of another, as the points of these would fall together.
func name(i int) string { return fmt.Sprintf("s-%08x", uint32(i+1)*2654435761) }

func (l *Lab) reading(n int) lease.ClockReading {
	return lease.ClockReading{Unix: l.UnixTime(n), Mono: l.SteadyTime(n)}
}

// Stop ends an agent's process.
func (l *Lab) Stop(n int) {
	l.nodes[n].life = 0
	l.Judge.ProcessEnded(n)
}

// Start begins a process anew. Keeps tells whether it finds the records that it had.
func (l *Lab) Start(n int, keeps bool) {
	nd, now := l.nodes[n], l.reading(n)
	nd.lives++
	was := nd.machine
	windows := nd.windows
	nd.life, nd.machine, nd.agent = nd.lives, ringassignment.NewStateMachine(), ringassignment.NewAgent()
	nd.windows, nd.keeps = newWindows(), maintenance.NewAgent(0)
	nd.leases, nd.held, nd.council = nil, false, nil
	if !keeps || was == nil {
		nd.known = 0
	} else {
		nd.restore(was, windows)
	}
	if n < voters {
		begin := now
		if l.set.Without == "begin" {
			begin = lease.ClockReading{Unix: now.Unix - time.Minute, Mono: now.Mono - time.Minute}
		}
		nd.council = ringassignment.NewProposer(l.f, begin)
		nd.council.SetMembers(begin, []int{0, 1, 2}, 1)
	}
	l.hears(nd, len(l.lists)-1)
	l.learned(nd)
	l.SetTimer(n, now.Mono)
}

func (l *Lab) send(from, to int, m message) {
	l.messages = append(l.messages, m)
	l.Send(from, to, binary.AppendUvarint(nil, uint64(len(l.messages)-1)))
}

func (l *Lab) deliver(to, from int, data []byte) {
	i, _ := binary.Uvarint(data)
	m, nd := l.messages[i], l.nodes[to]
	if nd.life == 0 {
		return
	}
	switch m.kind {
	case news:
		l.learn(nd, m.n)
		if m.more && nd.known > m.n {
			l.send(to, from, message{n: nd.known})
		}
	case told:
		nd.council.MarkReceived(l.reading(to), from, uint64(m.life), m.mark)
		l.send(to, from, message{kind: heard, mark: m.mark})
	case heard:
		if m.mark == nd.agent.Applied() {
			nd.heard[from] = true
		}
	case report:
		nd.council.ReportReceived(from, m.mark)
	case word:
		l.hearWord(nd, from, m.word)
	}
}

// marks has a node tell voters what it has, and a voter the others that all have.
func (l *Lab) marks(nd *node, now lease.ClockReading) {
	has := nd.agent.Applied()
	if has != nd.has {
		nd.has, nd.since, nd.heard = has, now.Mono, [voters]bool{}
	}
	if has.Number == 0 || now.Mono-nd.since > 5*time.Second {
		return
	}
	for v := range voters {
		if !nd.heard[v] {
			l.send(nd.number, v, message{kind: told, life: nd.life, mark: has})
		}
	}
	if nd.council == nil {
		return
	}
	if m, tell := nd.council.Report(now); tell || l.set.Without == "outstanding" {
		for v := range voters {
			l.send(nd.number, v, message{kind: report, mark: m})
		}
	}
}

// learn has a node apply records up to a number, and tell others.
func (l *Lab) learn(nd *node, upTo int) {
	if nd.known >= upTo {
		return
	}
	for ; nd.known < upTo; nd.known++ {
		apply(l.log[nd.known], uint64(nd.known+1), nd.machine, nd.windows)
	}
	l.learned(nd)
	for range 3 {
		l.send(nd.number, l.Rand().IntN(len(l.nodes)), message{n: nd.known})
	}
}

// restore has a process go on from what its former one had.
func (nd *node) restore(ring *ringassignment.StateMachine, windows *maintenance.StateMachine) {
	err := errors.Join(nd.machine.Restore(ring.Snapshot()), nd.windows.Restore(windows.Snapshot()))
	if err != nil {
		panic(err) // of its own
	}
}

// apply has the machine that a record is for apply it.
func apply(a agreed, seq uint64, ring *ringassignment.StateMachine, windows *maintenance.StateMachine) {
	if a.window {
		windows.Apply(seq, a.data)
	} else {
		ring.Apply(seq, a.data)
	}
}

func (l *Lab) learned(nd *node) {
	nd.agent.Learn(nd.machine)
	nd.keeps.Learn(nd.windows)
	if nd.council != nil {
		nd.council.Learn(l.reading(nd.number), nd.machine)
	}
}

func (l *Lab) tick(n int) {
	nd, now := l.nodes[n], l.reading(n)
	if nd.life == 0 {
		return
	}
	if now.Mono >= nd.pull {
		nd.pull = now.Mono + 400*time.Millisecond
		l.send(n, l.Rand().IntN(len(l.nodes)), message{n: nd.known, more: true})
	}
	if now.Mono >= nd.asks {
		nd.asks = now.Mono + l.terms.Duration/4
		l.lease(nd, now)
	}
	l.marks(nd, now)
	if l.f.UsePaces {
		l.paces(nd, now.Mono)
	}
	if nd.council != nil {
		l.council(nd, now)
	}
	l.SetTimer(n, now.Mono+100*time.Millisecond)
}

// lease has an agent ask some voter, which has heard of the leader some time before.
func (l *Lab) lease(nd *node, now lease.ClockReading) {
	v := l.Rand().IntN(voters)
	reached := nd.number == v || !l.IsCut(nd.number, v) && !l.IsCut(v, nd.number)
	if !reached || l.nodes[v].life == 0 || l.IsPaused(v) || !l.majority() || !l.linked(v, l.leader) {
		return
	}
	at, covers := l.Now()-time.Duration(l.Rand().Int64N(int64(l.terms.MaxKnowledgeAge))), len(l.log)
	for covers > 0 && l.log[covers-1].at > at {
		covers--
	}
	l.nodes[v].council.LeaseGranted(l.reading(v), nd.number, uint64(nd.life))
	nd.leases = append(nd.leases, granted{now.Mono, covers})
	if len(nd.leases) > 8 {
		nd.leases = nd.leases[1:]
	}
}

func (l *Lab) standing(nd *node) lease.Standing {
	now := l.SteadyTime(nd.number)
	for _, g := range nd.leases {
		if now-g.asked < l.terms.Duration && nd.known >= g.covers {
			nd.held = true
			return lease.Full
		}
	}
	if nd.held {
		return lease.Floor
	}
	return lease.New
}

// council has a voter look, and the leader propose.
func (l *Lab) council(nd *node, now lease.ClockReading) {
	if now.Mono-nd.told >= time.Second {
		l.see(nd)
	}
	if nd.number != l.leader {
		return
	}
	records, _ := nd.council.Due(now)
	for _, r := range records {
		l.commit(nd, r, false)
	}
}

// see gives a voter's council what its list says.
func (l *Lab) see(nd *node) {
	now := l.reading(nd.number)
	nd.told = now.Mono
	v := ringassignment.View{Now: now.Unix, FullyDrained: l.emptied(nd)}
	taken := v.FullyDrained
	if l.set.Without == "emptied" || l.set.Without == "stays" {
		v.FullyDrained = nil
	}
	for i, s := range l.lists[nd.seen] {
		if !s.listed {
			continue
		}
		capacity := s.capacity
		if l.wild && l.Rand().IntN(2) == 0 {
			capacity *= []float64{0.5, 2}[l.Rand().IntN(2)]
		}
		v.Servers = append(v.Servers, ringassignment.Server{
			ID: s.name, Zone: s.zone, Kind: kindOf(s.capacity),
			Ready:     s.ready,
			Draining:  s.draining || l.set.Without == "stays" && taken[s.name] || l.thought != nil && l.thought(i),
			StartedAt: s.started, Capacity: capacity,
		})
	}
	nd.council.SetView(now, v)
}

// commit has a record agreed after some time, if the leader is there still and reaches a majority.
func (l *Lab) commit(by *node, data []byte, window bool) {
	life := by.life
	l.At(l.Now()+time.Duration(2+l.Rand().IntN(15))*time.Millisecond, func() {
		if by.number != l.leader || by.life != life || l.IsPaused(by.number) || !l.majority() {
			return
		}
		l.log = append(l.log, agreed{data, l.Now(), window})
		apply(l.log[len(l.log)-1], uint64(len(l.log)), l.ref, l.planned)
		l.learn(by, len(l.log))
		for i := range voters {
			l.send(by.number, i, message{n: len(l.log)})
		}
		if l.proposed != nil {
			l.proposed()
		}
	})
}

func (l *Lab) linked(a, b int) bool { return a == b || !l.IsCut(a, b) && !l.IsCut(b, a) }

func (l *Lab) majority() bool { return l.leader >= 0 && l.reaches(l.leader) }

func (l *Lab) reaches(n int) bool {
	if l.nodes[n].life == 0 || l.IsPaused(n) {
		return false
	}
	count := 0
	for i := range voters {
		if l.nodes[i].life > 0 && !l.IsPaused(i) && l.linked(n, i) {
			count++
		}
	}
	return 2*count > voters
}

// watchLeader has another voter lead where the leader has reached no majority for a second. It has all that
// was agreed, as a majority has.
func (l *Lab) watchLeader() {
	l.At(l.Now()+100*time.Millisecond, l.watchLeader)
	if l.majority() {
		l.lonely = l.Now()
		return
	}
	if l.leader >= 0 && l.Now()-l.lonely < time.Second {
		return
	}
	l.leader = -1
	first := l.Rand().IntN(voters)
	for i := range voters {
		if n := (first + i) % voters; l.reaches(n) {
			l.leader, l.lonely = n, l.Now()
			l.learn(l.nodes[n], len(l.log))
			return
		}
	}
}

// State is that of all that is agreed.
func (l *Lab) State() ringassignment.State { return l.ref.State() }

// Sample has the judge hear of every agent that runs.
func (l *Lab) Sample() {
	for i, nd := range l.nodes {
		if nd.life == 0 || l.IsPaused(i) {
			continue
		}
		standing := l.standing(nd)
		p := nd.agent.Assignment(l.reading(i), standing)
		s := judge.Sample{At: l.Now(), Agent: i, HasLease: standing == lease.Full}
		if l.set.Without == All {
			p = nil
		}
		if p != nil {
			s.Generation = p.Generation
		}
		s.Owners = l.rings.of(p, nd.seen, l.avoid(nd))
		l.Judge.AddSample(s)
	}
}
