package world

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/routing"
)

// testbed is a simulation of one upstream server, to which a test sends attempts directly.
type testbed struct {
	*world
	sink   *recordingSink
	server *server
	sent   uint64
}

// newTestbed puts a server on a plain machine of three cores, which a test may change before the server
// starts.
func newTestbed(change func(*scenario.Scenario, *machine)) *testbed {
	sc := deployment(time.Minute)
	l := &testbed{sink: &recordingSink{}}
	l.world = &world{seed: 1, scenario: sc, sink: l.sink, slowdown: 1, trafficKept: 1, byAddr: map[netip.AddrPort]*server{}}
	l.record.w = l.world
	m := machine{cores: 3, speed: 1.5, slots: 10, queue: 5, conns: 1000, thrashAt: math.Inf(1), initialCapacity: 1}
	change(sc, &m)
	l.network = newNetwork(sc, 1)
	l.zoneCut = make([]time.Duration, len(sc.Network.Zones))
	l.datagramLossByZone = make([]float64, len(sc.Network.Zones))
	l.agents = []*agent{{w: l.world, name: "n0"}}
	l.discovery = newDiscovery(l.world)
	l.server = l.newServer(0, m, netip.AddrPort{})
	return l
}

// deliver makes an attempt arrive at the server's process on a connection of its own. The agent ignores
// its end.
func (l *testbed) deliver(work float64, key uint32) *attempt {
	l.sent++
	c := &conn{
		link: l.agents[0].link(l.server), proc: &agentProcess{w: l.world, agent: l.agents[0]}, processIndex: -1, handshakeDone: true,
		closed: true,
	}
	c.process = l.server.process
	s := &attempt{
		w: l.world, proc: c.proc, try: &try{id: uint32(l.sent), request: &request{key: key}}, conn: c,
		drawSeed: l.sent, work: work, ended: true,
	}
	c.attempt = s
	if l.server.process.accept(c) {
		l.record.reached(s, c.process)
		l.server.process.arrive(s)
	}
	return s
}

// advance runs the simulation for a time.
func (l *testbed) advance(duration time.Duration) {
	until := l.now + duration
	for ev, ok := l.next(until); ok; ev, ok = l.next(until) {
		ev.fire()
	}
	l.now = until
}

// workOf returns when the server was done with an attempt, the work spent on it, and whether it ran; at
// is negative if it is not done.
func (l *testbed) workOf(s *attempt) (at time.Duration, work time.Duration, ran bool) {
	for _, e := range l.sink.ofKind(record.WorkDone) {
		if e.RequestID == s.try.id {
			return e.At, e.Work, e.Ran
		}
	}
	return -1, 0, false
}

// TestProcessSharesCores compares a process with a time-stepped model: cores are shared evenly among
// the requests in slots, others wait in order of arrival, and efficiency falls with the requests in
// slots.
func TestProcessSharesCores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		thrash := rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "thrash")
		l := newTestbed(func(_ *scenario.Scenario, m *machine) {
			m.slots, m.queue, m.thrash, m.thrashAt = slots, 100, thrash, 1
		})
		l.server.start(false)
		type job struct{ at, left, done float64 }
		var jobs []job
		var attempts []*attempt
		at := 0.0
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			at += rapid.Float64Range(0, 0.2).Draw(t, "gap")
			work := rapid.Float64Range(0.001, 0.5).Draw(t, "work")
			jobs = append(jobs, job{at: at, left: work})
			l.advance(seconds(at) - l.now)
			attempts = append(attempts, l.deliver(work, 0))
		}
		l.advance(time.Minute)
		const tick = 50e-6
		for now := 0.0; slices.ContainsFunc(jobs, func(j job) bool { return j.done == 0 }); now += tick {
			var in []*job
			for i := range jobs {
				if j := &jobs[i]; j.at <= now && j.done == 0 && len(in) < slots {
					in = append(in, j)
				}
			}
			n := float64(len(in))
			rate := 1.5 * min(1, 3/n) * max(1-thrash*max(n/3-1, 0), minEfficiency)
			for _, j := range in {
				if j.left -= rate * tick; j.left <= 0 {
					j.done = now + tick
				}
			}
		}
		for i, s := range attempts {
			done, _, ran := l.workOf(s)
			require.True(t, ran)
			require.InDelta(t, jobs[i].done, done.Seconds(), 0.005, "request %d", i)
		}
	})
}

func TestProcessRejectsAndDrops(t *testing.T) {
	l := newTestbed(func(_ *scenario.Scenario, m *machine) { m.slots, m.queue, m.dropsWaiting = 1, 2, true })
	l.server.start(false)
	running, waiting, later, rejected := l.deliver(1, 0), l.deliver(1, 0), l.deliver(1, 0), l.deliver(1, 0)
	_, _, ran := l.workOf(rejected)
	require.Equal(t, replyUnprocessed, rejected.reply)
	require.False(t, ran, "the queue was full")
	running.conn.closedByAgent()
	waiting.conn.closedByAgent()
	l.advance(10 * time.Second)
	at, work, ran := l.workOf(running)
	require.True(t, ran, "a running attempt continues after its connection has closed")
	require.InDelta(t, 1/1.5, at.Seconds(), 1e-6)
	require.InDelta(t, 1, work.Seconds(), 1e-6)
	_, _, ran = l.workOf(waiting)
	require.False(t, ran, "a waiting attempt is dropped")
	at, _, _ = l.workOf(later)
	require.InDelta(t, 2/1.5, at.Seconds(), 1e-6)

	l.server.machine.dropsExpired = true
	l.deliver(1, 0)
	patient, expired := l.deliver(1, 0), l.deliver(1, 0)
	patient.deadline, expired.deadline = l.now+time.Minute, l.now+500*time.Millisecond
	l.advance(10 * time.Second)
	_, _, ran = l.workOf(patient)
	require.True(t, ran)
	_, _, ran = l.workOf(expired)
	require.False(t, ran, "its deadline had passed before a slot was free")
	require.Equal(t, replyUnprocessed, expired.reply)

	l.server.drain()
	drained := l.deliver(1, 0)
	require.Equal(t, replyUnprocessed, drained.reply, "a draining process rejects new attempts")
}

func TestCachedKeysAreLessWork(t *testing.T) {
	l := newTestbed(func(_ *scenario.Scenario, m *machine) { m.cacheSaving, m.cacheTTL, m.cacheKeys = 0.5, 5*time.Second, 2 })
	l.server.start(false)
	took := func(key uint32) float64 {
		s := l.deliver(0.3, key)
		l.advance(time.Second)
		_, work, _ := l.workOf(s)
		return work.Seconds()
	}
	require.InDelta(t, 0.3, took(1), 1e-6)
	require.InDelta(t, 0.15, took(1), 1e-6, "seen a second ago")
	l.advance(5 * time.Second)
	require.InDelta(t, 0.3, took(1), 1e-6, "seen too long ago")
	took(2)
	took(3)
	require.InDelta(t, 0.3, took(1), 1e-6, "evicted by two other keys")
}

// TestKeyCache compares the cache with a plain list that has the most recent key last.
func TestKeyCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 4).Draw(t, "most")
		m := keyCache{limit: limit, ttl: 10, lastSeen: map[uint32]time.Duration{}}
		var list []keyUse
		for now := time.Duration(0); now < 300; now++ {
			key := rapid.Uint32Range(1, 7).Draw(t, "key")
			at := slices.IndexFunc(list, func(k keyUse) bool { return k.key == key })
			cached := at >= 0 && now-list[at].at <= 10
			if at >= 0 {
				list = slices.Delete(list, at, at+1)
			}
			list = append(list, keyUse{key, now})
			list = list[max(len(list)-limit, 0):]
			require.Equal(t, cached, m.touch(key, now))
			require.LessOrEqual(t, len(m.lastSeen), limit)
			require.LessOrEqual(t, len(m.order), 8*limit+65, "its size is bounded")
		}
	})
}

// TestProcessWarmsUp checks that a process warms up by its work within its warm-up time, and without
// work within the rules' slow start duration.
func TestProcessWarmsUp(t *testing.T) {
	for _, busy := range []bool{true, false} {
		l := newTestbed(func(sc *scenario.Scenario, m *machine) {
			m.initialCapacity, m.warmupTime, m.slots = 0.4, 4*time.Second, 100
			sc.Rules.SlowStartTime, sc.Rules.OverloadMultiple = 8*time.Second, 1e9
		})
		l.advance(time.Second)
		l.server.start(true)
		if busy {
			for range 10 {
				l.deliver(20, 0)
			}
		}
		p := l.server.process
		require.InDelta(t, 0.4*4.5, p.capacity(), 0.01)
		for range 30 {
			before := p.capacity()
			l.advance(100 * time.Millisecond)
			p.advance()
			require.GreaterOrEqual(t, p.capacity(), before)
		}
		level := 0.4 + 0.6*3/8
		if busy {
			level = 0.4 + 0.6*3/4
		}
		require.InDelta(t, level*4.5, p.capacity(), 0.02)
		l.advance(map[bool]time.Duration{true: 1100 * time.Millisecond, false: 5100 * time.Millisecond}[busy])
		require.False(t, p.warming)
		require.InDelta(t, 4.5, p.capacity(), 1e-9)
	}
}

// TestWarmingProcessCrashesOnOverload checks that a process that is warming up crashes at a little more
// than its overload limit and not at a little less, that rejected attempts count, and that a warm
// process withstands far more.
func TestWarmingProcessCrashesOnOverload(t *testing.T) {
	for _, c := range []struct {
		name    string
		times   float64
		warming bool
		falls   bool
	}{{"under", 2.9, true, false}, {"over", 3.6, true, true}, {"warm", 9, false, false}} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestbed(func(sc *scenario.Scenario, m *machine) {
				m.initialCapacity, m.warmupTime, m.slots, m.queue = 0.4, time.Hour, 1, 0
				sc.Rules.SlowStartTime = time.Hour
			})
			l.advance(time.Second)
			l.server.start(c.warming)
			for range 600 {
				l.advance(10 * time.Millisecond)
				l.deliver(0.01*c.times*0.4*4.5, 0)
			}
			require.Len(t, l.sink.ofKind(record.ServerOverloaded), map[bool]int{true: 1, false: 0}[c.falls])
			l.advance(time.Minute)
			if c.falls {
				require.Greater(t, l.sink.ofKind(record.ServerOverloaded)[0].At, 3*time.Second)
				require.Equal(t, processDown, l.server.process.state, "a crashed process stays down")
				require.Empty(t, l.server.process.conns)
			}
			require.Len(t, l.sink.ofKind(record.WorkDone), len(l.sink.ofKind(record.AttemptReached)))
		})
	}
}

// TestCalendarOrder checks that events fire by time, then by rank, then in the order of scheduling,
// whatever is scheduled in between.
func TestCalendarOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c calendar
		var due []*testEvent
		scheduled := 0
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			if rapid.Bool().Draw(t, "enter") {
				scheduled++
				p := &testEvent{
					at:   c.now + time.Duration(rapid.IntRange(0, 5).Draw(t, "wait")),
					rank: rank(rapid.IntRange(0, int(rankSample)).Draw(t, "rank")), number: scheduled,
				}
				due = append(due, p)
				c.schedule(p.at, p.rank, p)
				continue
			}
			ev, ok := c.next(c.now + 100)
			require.Equal(t, len(due) > 0, ok)
			if ok {
				first := slices.MinFunc(due, func(a, b *testEvent) int {
					return slices.Compare([]int{int(a.at), int(a.rank), a.number}, []int{int(b.at), int(b.rank), b.number})
				})
				require.Same(t, first, ev)
				require.Equal(t, first.at, c.now)
				due = slices.DeleteFunc(due, func(p *testEvent) bool { return p == first })
			}
		}
	})
}

// TestAnswerAtDeadlineCounts checks that an answer which arrives at the instant of its client's or its
// attempt's timeout counts as received, although it was scheduled later.
func TestAnswerAtDeadlineCounts(t *testing.T) {
	l := newTestbed(func(*scenario.Scenario, *machine) {})
	a := l.agents[0]
	a.client = &client{w: l.world, agent: a}
	proc := &agentProcess{w: l.world, agent: a, descriptors: routing.NewDescriptors(1024)}
	sent := &try{
		request: &request{client: a.client, deadline: time.Hour}, agent: a, proc: proc, id: 1,
		conn: &clientConn{client: a.client, proc: proc}, accepted: true,
	}
	l.schedule(time.Second, rankClient, (*tryTimesOut)(sent))
	l.schedule(time.Second, rankClient, (*clientLeaves)(sent))
	l.schedule(time.Second, rankArrival, (*tryAnswered)(sent))
	l.advance(time.Second)
	require.Len(t, l.sink.ofKind(record.Answered), 1)
	require.Empty(t, l.sink.ofKind(record.ClientLeft))

	outcomeWith := func(timeout time.Duration) record.Event {
		l := newTestbed(func(*scenario.Scenario, *machine) {})
		l.server.start(false)
		idle := routing.NewIdleLimit(0, time.Minute)
		proc := &agentProcess{
			w: l.world, agent: l.agents[0], idleLimit: idle, descriptors: routing.NewDescriptors(1024),
			router: routing.NewRouter(balancer.Settings{}, nil),
		}
		timed := &attempt{}
		l.schedule(timeout, rankTimer, (*connTimeout)(timed))
		s := l.deliver(1.5, 0)
		s.ended, s.proc, s.agentRequest = false, proc, &agentRequest{}
		s.upstream = &upstream{proc: proc, pool: routing.NewPool[*conn](l.server.addr, idle, noSettleTime)}
		s.phase, s.conn.proc, s.conn.closed = routing.AwaitingResponse, proc, false
		proc.openConns = []*conn{s.conn}
		timed.conn = s.conn
		l.advance(time.Minute)
		require.Len(t, l.sink.ofKind(record.AttemptEnded), 1)
		return l.sink.ofKind(record.AttemptEnded)[0]
	}
	answered := outcomeWith(30 * time.Second)
	require.Equal(t, record.OK, answered.Outcome)
	require.Equal(t, record.OK, outcomeWith(answered.At).Outcome)
	require.Equal(t, record.Abandoned, outcomeWith(answered.At-1).Outcome)
}

// connTimeout is the timeout of the attempt that is on its connection at that time.
type connTimeout attempt

func (l *connTimeout) fire() { (*attemptTimesOut)(l.conn.attempt).fire() }

// testEvent is an event without an effect.
type testEvent struct {
	at     time.Duration
	rank   rank
	number int
}

func (*testEvent) fire() {}
