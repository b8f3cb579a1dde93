package judge

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// windowSeconds is the length of the window for the worst service.
const windowSeconds = 10

// A chain is a client's first try with its retries. Its worth is requested once, and earned by the first
// answer in time to any of its tries.
type chain struct {
	id                   uint32 // RequestID of its first try
	class, tenant        uint8
	start, objectiveTime time.Duration
	worth                float64
	counted              bool // it began after the warm-up, when service counts
	withinQuota          bool // within its tenant's quota
	served               bool // within the latency objective
	answered             bool // served at any time
	outstanding          int  // unanswered tries
	tries, sends         int
}

// A tally is the requested worth and the worth served in time.
type tally struct{ requested, served float64 }

// share returns the part served in time, or 1 if nothing was requested.
func (t tally) share() float64 {
	if t.requested <= 0 {
		return 1
	}
	return t.served / t.requested
}

func (t *tally) add(c *chain) {
	t.requested += c.worth
	if c.served {
		t.served += c.worth
	}
}

// A tokenBucket holds the first tries that a tenant may still send within its quota.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

const minBucket = 3.0 // in first tries; the first tries of a small tenant arrive irregularly

// take reports whether a first try is within the quota, in first tries per second. Up to one second's quota
// is saved up.
func (b *tokenBucket) take(now time.Duration, perS float64) bool {
	b.tokens = min(b.tokens+perS*(now-b.at).Seconds(), max(perS, minBucket))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// A chainQueue holds the chains of a class in order of arrival, which is also the order of their latency
// objectives and deadlines.
type chainQueue struct {
	chains        []*chain
	pastObjective int // number of chains, from the oldest on, whose latency objective has passed
}

// service computes the worth served in time and the requested worth.
type service struct {
	scenario *scenario.Scenario
	series   *timeSeries
	run      record.Run
	chains   map[uint32]*chain
	queues   []chainQueue // by class
	buckets  []tokenBucket

	total   tally
	seconds []tally // by the second of the first try
	classes []tally
	tenants []tally // within their quotas

	classFirsts   []int
	lateFailWorth float64 // worth whose client was still waiting when the latency objective passed

	firstTries, retries, unreached, unanswered int
	tries, closedUnanswered, unsent            int    // see Counts.ClosedUnanswered and Counts.Unsent
	answers                                    [3]int // final answers by record.Answer
	inTime                                     int    // chains served in time
	sends, opened, crossings                   int
	peerBytes                                  float64
	requestedWork, wastedWork                  time.Duration
	latency                                    []*hdrhistogram.Histogram // by class, in microseconds
	byTries, bySends                           [maxCounted + 1]int       // chains by number of tries or sends
}

const maxCounted = 12 // tries or sends of a chain; larger numbers count as this one

// Latencies are recorded in microseconds with three significant digits, up to ten minutes.
const (
	minLatency = 10
	maxLatency = 600e6
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minLatency, maxLatency, 3) }

func (s *service) start(sc *scenario.Scenario, series *timeSeries) {
	s.scenario, s.series, s.chains = sc, series, map[uint32]*chain{}
	s.queues = make([]chainQueue, len(sc.Classes))
	s.classes = make([]tally, len(sc.Classes))
	s.classFirsts = make([]int, len(sc.Classes))
	s.tenants = make([]tally, len(sc.Tenants))
	s.buckets = make([]tokenBucket, len(sc.Tenants))
	s.seconds = make([]tally, int(math.Ceil(sc.Run.Length.Seconds())))
	for range sc.Classes {
		s.latency = append(s.latency, newHistogram())
	}
}

func (s *service) begin(run record.Run) {
	s.run = run
	for i := range s.buckets {
		s.buckets[i].tokens = max(run.Quotas[i], minBucket)
	}
}

func (s *service) observe(e *record.Event, req *request) {
	s.settle(e.At)
	if e.ClosedByShutdown && e.At >= s.scenario.Run.From {
		s.closedUnanswered++
	}
	switch e.Kind {
	case record.RequestReceived, record.RequestUnreached:
		s.received(e)
	case record.Answered:
		if req != nil && !req.closed {
			s.answered(e, req)
		}
	case record.ConnectionLost, record.ClientLeft:
		if req != nil && !req.closed {
			s.leftUnanswered(e.At, req)
		}
	case record.AttemptSent:
		s.sent(e, req)
	case record.ConnOpened:
		if e.At >= s.scenario.Run.From {
			s.opened++
		}
	case record.Datagram:
		if e.At >= s.scenario.Run.From {
			s.peerBytes += float64(e.Bytes)
		}
	}
}

// received processes a try; a first try begins a chain.
func (s *service) received(e *record.Event) {
	counts := e.At >= s.scenario.Run.From
	if counts {
		s.tries++
	}
	if counts && e.Kind == record.RequestUnreached {
		s.unreached++
	}
	c := s.chains[e.Chain]
	if e.Try == 0 {
		c = s.firstTry(e)
	} else if counts {
		s.retries++
	}
	if c != nil {
		c.tries++
		if e.Kind == record.RequestReceived {
			c.outstanding++
		}
	}
}

func (s *service) firstTry(e *record.Event) *chain {
	class := &s.scenario.Classes[e.Class]
	c := &chain{
		id: e.RequestID, class: e.Class, tenant: e.Tenant, start: e.At,
		objectiveTime: e.At + class.LatencyObjective, withinQuota: true,
		counted: e.At >= s.scenario.Run.From, worth: class.Worth,
	}
	if mean := s.run.MeanWork[e.Class]; mean > 0 {
		c.worth *= float64(e.Work) / float64(mean)
	}
	if e.Tenant != record.NoTenant {
		if c.withinQuota = s.buckets[e.Tenant].take(e.At, s.run.Quotas[e.Tenant]); !c.withinQuota {
			c.worth *= s.scenario.Load.OverShareWorth
		}
	}
	if c.counted {
		s.firstTries++
		s.classFirsts[e.Class]++
		s.requestedWork += e.Work
	}
	s.chains[e.RequestID] = c
	s.queues[e.Class].chains = append(s.queues[e.Class].chains, c)
	return c
}

// returned records that a try no longer waits, and returns its chain.
func (s *service) returned(req *request) *chain {
	c := s.chains[req.received.Chain]
	if c != nil {
		c.outstanding--
	}
	return c
}

func (s *service) answered(e *record.Event, req *request) {
	s.answers[e.Answer]++
	if e.Answer == record.Failed && req.received.At >= s.scenario.Run.From && !req.wasSent() {
		s.unsent++
	}
	c := s.returned(req)
	if c == nil || e.Answer != record.Served || e.Attempt < 0 || c.answered {
		s.series.answered(e, false, -1)
		return
	}
	c.answered = true
	took := e.At - c.start
	recordLatency(s.latency[c.class], took)
	if e.At <= c.objectiveTime {
		c.served = true
		if c.counted {
			s.inTime++
		}
	}
	s.series.answered(e, c.served, took)
}

func (s *service) sent(e *record.Event, req *request) {
	if req == nil {
		return
	}
	if c := s.chains[req.received.Chain]; c != nil {
		c.sends++
	}
	if e.At >= s.scenario.Run.From {
		s.sends++
		if e.CrossZone {
			s.crossings++
		}
	}
}

// settle counts the chains whose latency objective has passed: a later answer earns no worth. They are kept
// until their deadline, to record the latency of their answers and the number of their tries.
func (s *service) settle(now time.Duration) {
	for i := range s.queues {
		q, deadline := &s.queues[i], s.scenario.Classes[i].Deadline
		for ; q.pastObjective < len(q.chains) && q.chains[q.pastObjective].objectiveTime < now; q.pastObjective++ {
			s.countChain(q.chains[q.pastObjective])
		}
		n := 0
		for ; n < q.pastObjective && q.chains[n].start+deadline+wireSlack < now; n++ {
			c := q.chains[n]
			s.byTries[min(c.tries, maxCounted)]++
			s.bySends[min(c.sends, maxCounted)]++
			delete(s.chains, c.id)
		}
		q.chains, q.pastObjective = q.chains[n:], q.pastObjective-n
	}
}

// countChain adds a chain to all sums that include its worth.
func (s *service) countChain(c *chain) {
	if second := int(c.start / time.Second); second < len(s.seconds) {
		s.seconds[second].add(c)
	}
	if !c.counted {
		return
	}
	s.total.add(c)
	s.classes[c.class].add(c)
	if c.withinQuota && c.tenant != record.NoTenant {
		s.tenants[c.tenant].add(c)
	}
	if !c.served && c.outstanding > 0 {
		s.lateFailWorth += c.worth
	}
}

// finished processes a request that is done: work on attempts other than the one that served it counts as
// wasted.
func (s *service) finished(req *request) {
	if req.received.At < s.scenario.Run.From {
		return
	}
	for i := range req.attempts {
		if i != req.servedBy {
			s.wastedWork += req.attempts[i].work
		}
	}
}

// leftUnanswered processes a request that ends without an answer because its client left or its agent died.
func (s *service) leftUnanswered(at time.Duration, req *request) {
	s.unanswered++
	s.series.unanswered(at)
	s.returned(req)
}

func (s *service) end() { s.settle(maxTime - time.Hour) }

// worstWindow returns the lowest share of any ten consecutive seconds and the window's first second. For a
// run of at most ten seconds it returns the share of the whole run.
func (s *service) worstWindow() (share float64, from int) {
	first := int((s.scenario.Run.From + time.Second - 1) / time.Second)
	last := int(s.scenario.Run.Length / time.Second) // an incomplete second belongs to no window
	if last-first <= windowSeconds {
		return s.total.share(), first
	}
	share = 2
	for start := first; start+windowSeconds <= last; start++ {
		var sum tally
		for _, second := range s.seconds[start : start+windowSeconds] {
			sum.requested += second.requested
			sum.served += second.served
		}
		if got := sum.share(); got < share {
			share, from = got, start
		}
	}
	return share, from
}

// worst returns the lowest share and its index, or index -1 if there is none.
func worst(all []tally) (share float64, which int) {
	share, which = 2, -1
	for i, t := range all {
		if t.requested > 0 && t.share() < share {
			share, which = t.share(), i
		}
	}
	return share, which
}

// perFirstTry returns n per first try; a run without first tries counts as having one.
func (s *service) perFirstTry(n float64) float64 { return n / float64(max(s.firstTries, 1)) }
