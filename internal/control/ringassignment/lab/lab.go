// Package lab simulates a fleet's ring assignment in virtual time, with fault injection: servers that join,
// drain, vanish, flap and restart cold, endpoint lists that are late, capacities that are wrong, agents
// that are cut off, paused or stopped, and leaders that stop at any step. The agreed log and leases are
// reduced to their guarantees: a leader that reaches a majority appends records in sequence; a lease covers
// all records that were agreed up to Terms.MaxKnowledgeAge before its request, and is valid for
// Terms.Duration from then (see package lease). Package judge checks the key owners that the agents
// compute.
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

// Setup configures a Lab. The same Setup gives the same events.
type Setup struct {
	Seed              uint64
	Agents            int // number of agents; the first three are voters
	Servers           int
	Keys              int
	Faults            simnet.Faults
	Parameters        ringassignment.Parameters // zero fields: defaults
	SlowStartDuration time.Duration             // zero: 9 s
	// Without is one of Protections, PaceProtections or WithoutGenerations; empty: none.
	Without string
}

// WithoutGenerations is a value of Setup.Without: agents assign keys by their own lists alone, as if there
// were no generations.
const WithoutGenerations = "all"

// Protections can be disabled, to check that the judge detects their absence.
var Protections = []string{
	"hold-down",   // restored servers are used at once, however often they were lost
	"outstanding", // voters report while leases are still valid
	"begin",       // voters ignore leases that their earlier processes granted
	"fence",       // the next generation is proposed after a tenth of the fence
	"bound",       // all keys move at once
	"nested",      // a different number of points gives different points
	"own list",    // agents use the generation's servers even if their own list lacks them
	"warmth",      // cold servers join with all their points
	"hysteresis",  // each reported capacity counts at once
	"emptied",     // the leader does not know which servers are drained by windows
	"stays",       // as "emptied", and the leader takes drained servers off the ring
}

const (
	voters = 3
	// maxListDelay is the maximum delay with which an agent receives a list, unless a fault delays it.
	maxListDelay = 300 * time.Millisecond
)

// SlowStart returns the parameters of the servers' slow start.
func (s *Setup) SlowStart() slowstart.Params {
	duration := s.SlowStartDuration
	if duration == 0 {
		duration = 9 * time.Second
	}
	return slowstart.Params{
		InitialCapacity: 0.31, Duration: duration, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
		Margin: 0.4, MaxWarmMultiple: 1,
	}
}

// Lab is a simulated fleet of agents and servers in virtual time.
type Lab struct {
	*simnet.Network
	Judge *judge.Judge

	setup              Setup
	parameters         ringassignment.Parameters
	terms              lease.Terms                  // of leases, whatever protection is disabled
	reference          *ringassignment.StateMachine // has applied the whole agreed log
	plannedWindows     *maintenance.StateMachine    // has applied the whole agreed log
	log                []agreedRecord
	nodes              []*node
	messages           []message
	leader             int // below zero: no leader
	lastMajorityAt     time.Duration
	rings              ringCache
	servers            []server // true state
	lists              [][]server
	onRecord           func()         // called after each agreed record
	maxInjectedDelay   time.Duration  // maximum list delay that was injected
	hasWrongCapacities bool           // views have wrong capacities
	assumedDraining    func(int) bool // servers that leaders assume to be draining; nil: none
	hasFalseReports    bool           // one agent reports false paces, two measure few requests
	fastKindSpeed      float64        // true speed of the servers of kind rapid, relative to the initial one
}

type agreedRecord struct {
	data     []byte
	at       time.Duration
	isWindow bool // the record belongs to maintenance windows
}

// node is an agent and its process.
type node struct {
	number           int
	incarnation      int // of the process; zero: not running
	incarnations     int // number of processes started so far
	applied          int // number of records applied
	stateMachine     *ringassignment.StateMachine
	agent            *ringassignment.Agent
	proposer         *ringassignment.Proposer // nil if the agent is not a voter
	windows          *maintenance.StateMachine
	windowAgent      *maintenance.Agent // determines the excluded servers
	pace             paceState
	leases           []leaseGrant
	hadLease         bool
	nextLeaseRequest time.Duration // by the monotonic clock
	nextPull         time.Duration
	listDelay        time.Duration           // delay with which it receives lists
	isCutFromLists   bool                    // it receives no lists
	list             int                     // index of its list in Lab.lists
	unusableSince    map[int32]time.Duration // time since which its list has a server as unusable
	generation       ringassignment.GenerationID
	generationSince  time.Duration
	generationAcked  [voters]bool  // voters that acknowledged generation
	viewSetAt        time.Duration // when its proposer last got a view, by the monotonic clock
}

type leaseGrant struct {
	requestedAt    time.Duration // by the monotonic clock
	coveredRecords int
}

type message struct {
	kind        messageKind
	records     int
	wantsNewer  bool // the sender requests newer records
	incarnation int  // of the sender's process
	generation  ringassignment.GenerationID
	paceReport  []byte
}

type messageKind uint8

const (
	messageRecords      messageKind = iota // records: number of records that the sender has applied
	messageApplied                         // generation that the sender has applied
	messageAcknowledged                    // acknowledges messageApplied
	messageVoterReport                     // all holders of the sender's leases have applied a generation
	messagePaceReport                      // paces of machine kinds that the sender measured
)

// server is the true state of a server.
type server struct {
	name      string
	zone      string
	capacity  float64
	listed    bool
	ready     bool
	draining  bool
	startedAt time.Duration
	hasWindow bool          // a window was planned for it
	lostAt    time.Duration // time of the last loss; zero: never
	lossTimes []time.Duration
}

func (s *server) isUsable() bool { return s.listed && s.ready && !s.draining }

// New returns a Lab in which all agents are running and no generation exists.
func New(setup Setup) *Lab {
	parameters := setup.Parameters
	parameters.SlowStart = setup.SlowStart()
	defaults := parameters.WithDefaults()
	switch setup.Without {
	case "hold-down":
		parameters.MinReadyTime, parameters.PenaltyHalfLife = time.Nanosecond, time.Nanosecond
	case "fence":
		parameters.Terms.Duration, parameters.Terms.MaxKnowledgeAge = 400*time.Millisecond, 100*time.Millisecond
	case "bound":
		parameters.MaxMoveRate = 1000
	case "warmth":
		parameters.SlowStart.Duration = 0
	case "hysteresis":
		parameters.CapacitySettleTime, parameters.MinCapacityChange = time.Nanosecond, 0.01
	}
	l := &Lab{
		Network: simnet.NewNetwork(setup.Seed, setup.Agents, 1e6*time.Second, setup.Faults), setup: setup,
		fastKindSpeed: 1, parameters: parameters.WithDefaults(), terms: defaults.Terms,
		reference: ringassignment.NewStateMachine(), plannedWindows: newWindows(),
	}
	l.rings = ringCache{lab: l, owners: map[ownersKey]*judge.Owners{}}
	l.Judge = judge.New(judge.Settings{
		MaxMoveRate: defaults.MaxMoveRate, MaxMoveBurst: defaults.MaxMoveBurst, OwedValidity: defaults.OwedValidity,
		SampleError: 1.2 / math.Sqrt(float64(setup.Keys)),
	}, truth{l})
	l.OnMessage, l.OnTimer = l.deliver, l.tick
	for i := range setup.Servers {
		s := server{name: serverName(i), zone: string(rune('a' + i%3)), capacity: 0.9, listed: true, ready: true}
		if i%9 < 4 {
			s.capacity = 1.8
		}
		l.servers = append(l.servers, s)
	}
	l.lists = [][]server{append([]server(nil), l.servers...)}
	for i := range setup.Agents {
		l.nodes = append(l.nodes, &node{
			number: i, unusableSince: map[int32]time.Duration{},
			listDelay: time.Duration(l.Rand().Int64N(int64(maxListDelay))),
		})
		l.Start(i, false)
	}
	l.checkLeader()
	return l
}

// serverName returns the name of a server. No name is a prefix of another, because the points of such
// servers would coincide.
func serverName(i int) string { return fmt.Sprintf("s-%08x", uint32(i+1)*2654435761) }

func (l *Lab) reading(n int) lease.ClockReading {
	return lease.ClockReading{Unix: l.UnixTime(n), Mono: l.SteadyTime(n)}
}

// Stop ends an agent's process.
func (l *Lab) Stop(n int) {
	l.nodes[n].incarnation = 0
	l.Judge.ProcessEnded(n)
}

// Start starts a new process of an agent. keepsRecords is whether it finds the records of its predecessor.
func (l *Lab) Start(n int, keepsRecords bool) {
	nd, now := l.nodes[n], l.reading(n)
	nd.incarnations++
	former := nd.stateMachine
	windows := nd.windows
	nd.incarnation, nd.stateMachine,
		nd.agent = nd.incarnations, ringassignment.NewStateMachine(), ringassignment.NewAgent()
	nd.windows, nd.windowAgent = newWindows(), maintenance.NewAgent(0)
	nd.leases, nd.hadLease, nd.proposer = nil, false, nil
	if !keepsRecords || former == nil {
		nd.applied = 0
	} else {
		nd.restore(former, windows)
	}
	if n < voters {
		startedAt := now
		if l.setup.Without == "begin" {
			startedAt = lease.ClockReading{Unix: now.Unix - time.Minute, Mono: now.Mono - time.Minute}
		}
		nd.proposer = ringassignment.NewProposer(l.parameters, startedAt)
		nd.proposer.SetMembers(startedAt, []int{0, 1, 2}, 1)
	}
	l.receiveList(nd, len(l.lists)-1)
	l.recordsApplied(nd)
	l.SetTimer(n, now.Mono)
}

func (l *Lab) send(from, to int, m message) {
	l.messages = append(l.messages, m)
	l.Send(from, to, binary.AppendUvarint(nil, uint64(len(l.messages)-1)))
}

func (l *Lab) deliver(to, from int, data []byte) {
	i, _ := binary.Uvarint(data)
	m, nd := l.messages[i], l.nodes[to]
	if nd.incarnation == 0 {
		return
	}
	switch m.kind {
	case messageRecords:
		l.applyRecords(nd, m.records)
		if m.wantsNewer && nd.applied > m.records {
			l.send(to, from, message{records: nd.applied})
		}
	case messageApplied:
		nd.proposer.AppliedGenerationReceived(l.reading(to), from, uint64(m.incarnation), m.generation)
		l.send(to, from, message{kind: messageAcknowledged, generation: m.generation})
	case messageAcknowledged:
		if m.generation == nd.agent.Applied() {
			nd.generationAcked[from] = true
		}
	case messageVoterReport:
		nd.proposer.ReportReceived(from, m.generation)
	case messagePaceReport:
		l.receivePaceReport(nd, from, m.paceReport)
	}
}

// reportGeneration reports the generation that an agent has applied to the voters until they acknowledge
// it, for 5 s at most. A voter also reports to the other voters that all holders of its leases have applied
// a generation.
func (l *Lab) reportGeneration(nd *node, now lease.ClockReading) {
	applied := nd.agent.Applied()
	if applied != nd.generation {
		nd.generation, nd.generationSince, nd.generationAcked = applied, now.Mono, [voters]bool{}
	}
	if applied.Number == 0 || now.Mono-nd.generationSince > 5*time.Second {
		return
	}
	for v := range voters {
		if !nd.generationAcked[v] {
			l.send(nd.number, v, message{kind: messageApplied, incarnation: nd.incarnation, generation: applied})
		}
	}
	if nd.proposer == nil {
		return
	}
	if generation, isDue := nd.proposer.Report(now); isDue || l.setup.Without == "outstanding" {
		for v := range voters {
			l.send(nd.number, v, message{kind: messageVoterReport, generation: generation})
		}
	}
}

// applyRecords applies the agreed records up to number upTo at an agent, and informs three random agents of
// them.
func (l *Lab) applyRecords(nd *node, upTo int) {
	if nd.applied >= upTo {
		return
	}
	for ; nd.applied < upTo; nd.applied++ {
		applyRecord(l.log[nd.applied], uint64(nd.applied+1), nd.stateMachine, nd.windows)
	}
	l.recordsApplied(nd)
	for range 3 {
		l.send(nd.number, l.Rand().IntN(len(l.nodes)), message{records: nd.applied})
	}
}

// restore restores the state machines of a process from those of its predecessor.
func (nd *node) restore(ring *ringassignment.StateMachine, windows *maintenance.StateMachine) {
	err := errors.Join(nd.stateMachine.Restore(ring.Snapshot()), nd.windows.Restore(windows.Snapshot()))
	if err != nil {
		panic(err) // the snapshots are of the same build
	}
}

// applyRecord applies a record to the state machine that it belongs to.
func applyRecord(r agreedRecord, seq uint64,
	ringState *ringassignment.StateMachine, windowState *maintenance.StateMachine,
) {
	if r.isWindow {
		windowState.Apply(seq, r.data)
	} else {
		ringState.Apply(seq, r.data)
	}
}

// recordsApplied updates the components of an agent after records were applied.
func (l *Lab) recordsApplied(nd *node) {
	nd.agent.Learn(nd.stateMachine)
	nd.windowAgent.Learn(nd.windows)
	if nd.proposer != nil {
		nd.proposer.Learn(l.reading(nd.number), nd.stateMachine)
	}
}

// tick executes the due actions of an agent, and sets its next timer.
func (l *Lab) tick(n int) {
	nd, now := l.nodes[n], l.reading(n)
	if nd.incarnation == 0 {
		return
	}
	if now.Mono >= nd.nextPull {
		nd.nextPull = now.Mono + 400*time.Millisecond
		l.send(n, l.Rand().IntN(len(l.nodes)), message{records: nd.applied, wantsNewer: true})
	}
	if now.Mono >= nd.nextLeaseRequest {
		nd.nextLeaseRequest = now.Mono + l.terms.Duration/4
		l.requestLease(nd, now)
	}
	l.reportGeneration(nd, now)
	if l.parameters.UsePaces {
		l.runPaceReports(nd, now.Mono)
	}
	if nd.proposer != nil {
		l.runProposer(nd, now)
	}
	l.SetTimer(n, now.Mono+100*time.Millisecond)
}

// requestLease requests a lease from a random voter, whose knowledge of the leader may be MaxKnowledgeAge
// old.
func (l *Lab) requestLease(nd *node, now lease.ClockReading) {
	v := l.Rand().IntN(voters)
	reached := nd.number == v || !l.IsCut(nd.number, v) && !l.IsCut(v, nd.number)
	if !reached || l.nodes[v].incarnation == 0 || l.IsPaused(v) || !l.hasMajority() ||
		!l.isConnected(v, l.leader) {
		return
	}
	at, coveredRecords := l.Now()-time.Duration(l.Rand().Int64N(int64(l.terms.MaxKnowledgeAge))), len(l.log)
	for coveredRecords > 0 && l.log[coveredRecords-1].at > at {
		coveredRecords--
	}
	l.nodes[v].proposer.LeaseGranted(l.reading(v), nd.number, uint64(nd.incarnation))
	nd.leases = append(nd.leases, leaseGrant{now.Mono, coveredRecords})
	if len(nd.leases) > 8 {
		nd.leases = nd.leases[1:]
	}
}

// standing returns the standing of an agent's lease.
func (l *Lab) standing(nd *node) lease.Standing {
	now := l.SteadyTime(nd.number)
	for _, g := range nd.leases {
		if now-g.requestedAt < l.terms.Duration && nd.applied >= g.coveredRecords {
			nd.hadLease = true
			return lease.Full
		}
	}
	if nd.hadLease {
		return lease.Floor
	}
	return lease.New
}

// runProposer updates the view of a voter's proposer each second, and commits what the leader's proposes.
func (l *Lab) runProposer(nd *node, now lease.ClockReading) {
	if now.Mono-nd.viewSetAt >= time.Second {
		l.setView(nd)
	}
	if nd.number != l.leader {
		return
	}
	records, _ := nd.proposer.Due(now)
	for _, r := range records {
		l.commit(nd, r, false)
	}
}

// setView passes the voter's endpoint list and the drained servers to its proposer.
func (l *Lab) setView(nd *node) {
	now := l.reading(nd.number)
	nd.viewSetAt = now.Mono
	v := ringassignment.View{Now: now.Unix, FullyDrained: l.drainedServers(nd)}
	drained := v.FullyDrained
	if l.setup.Without == "emptied" || l.setup.Without == "stays" {
		v.FullyDrained = nil
	}
	for i, s := range l.lists[nd.list] {
		if !s.listed {
			continue
		}
		capacity := s.capacity
		if l.hasWrongCapacities && l.Rand().IntN(2) == 0 {
			capacity *= []float64{0.5, 2}[l.Rand().IntN(2)]
		}
		v.Servers = append(v.Servers, ringassignment.Server{
			ID: s.name, Zone: s.zone, Kind: kindOf(s.capacity),
			Ready: s.ready,
			Draining: s.draining || l.setup.Without == "stays" && drained[s.name] ||
				l.assumedDraining != nil && l.assumedDraining(i),
			StartedAt: s.startedAt, Capacity: capacity,
		})
	}
	nd.proposer.SetView(now, v)
}

// commit appends a record to the agreed log after 2 to 16 ms, if the process still leads then and reaches a
// majority.
func (l *Lab) commit(by *node, data []byte, isWindow bool) {
	incarnation := by.incarnation
	l.At(l.Now()+time.Duration(2+l.Rand().IntN(15))*time.Millisecond, func() {
		if by.number != l.leader || by.incarnation != incarnation || l.IsPaused(by.number) || !l.hasMajority() {
			return
		}
		l.log = append(l.log, agreedRecord{data, l.Now(), isWindow})
		applyRecord(l.log[len(l.log)-1], uint64(len(l.log)), l.reference, l.plannedWindows)
		l.applyRecords(by, len(l.log))
		for i := range voters {
			l.send(by.number, i, message{records: len(l.log)})
		}
		if l.onRecord != nil {
			l.onRecord()
		}
	})
}

// isConnected reports whether two agents are the same one or reach each other in both directions.
func (l *Lab) isConnected(a, b int) bool { return a == b || !l.IsCut(a, b) && !l.IsCut(b, a) }

// hasMajority reports whether there is a leader that reaches a majority.
func (l *Lab) hasMajority() bool { return l.leader >= 0 && l.reachesMajority(l.leader) }

// reachesMajority reports whether a voter runs and reaches a majority, itself included.
func (l *Lab) reachesMajority(n int) bool {
	if l.nodes[n].incarnation == 0 || l.IsPaused(n) {
		return false
	}
	count := 0
	for i := range voters {
		if l.nodes[i].incarnation > 0 && !l.IsPaused(i) && l.isConnected(n, i) {
			count++
		}
	}
	return 2*count > voters
}

// checkLeader runs every 100 ms. It replaces a leader that has reached no majority for a second by another
// voter, which applies the whole agreed log, as a majority holds it.
func (l *Lab) checkLeader() {
	l.At(l.Now()+100*time.Millisecond, l.checkLeader)
	if l.hasMajority() {
		l.lastMajorityAt = l.Now()
		return
	}
	if l.leader >= 0 && l.Now()-l.lastMajorityAt < time.Second {
		return
	}
	l.leader = -1
	first := l.Rand().IntN(voters)
	for i := range voters {
		if n := (first + i) % voters; l.reachesMajority(n) {
			l.leader, l.lastMajorityAt = n, l.Now()
			l.applyRecords(l.nodes[n], len(l.log))
			return
		}
	}
}

// State returns the agreed state of the ring assignment.
func (l *Lab) State() ringassignment.State { return l.reference.State() }

// Sample passes the owners of all keys at each agent that is running and not paused to the judge.
func (l *Lab) Sample() {
	for i, nd := range l.nodes {
		if nd.incarnation == 0 || l.IsPaused(i) {
			continue
		}
		standing := l.standing(nd)
		assignment := nd.agent.Assignment(l.reading(i), standing)
		sample := judge.Sample{At: l.Now(), Agent: i, HasLease: standing == lease.Full}
		if l.setup.Without == WithoutGenerations {
			assignment = nil
		}
		if assignment != nil {
			sample.Generation = assignment.Generation
		}
		sample.Owners = l.rings.ownersFor(assignment, nd.list, l.exclusions(nd))
		l.Judge.AddSample(sample)
	}
}
