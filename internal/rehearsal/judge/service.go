package judge

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// windowSeconds is how long the worst window is.
const windowSeconds = 10

// A chain is a client's first try with its retries: its worth is asked for once, and earned by the first
// answer that any of them gets in time.
type chain struct {
	op            uint32 // of its first try
	class, tenant uint8
	at, aimBy     time.Duration
	worth         float64
	counts        bool // it came once service counts
	within        bool // its tenant's share
	served        bool // within the aim
	answered      bool // served at all
	waiting       int  // tries that are out
	tries, sends  int
}

// A tally is worth asked for and worth answered in time.
type tally struct{ asked, served float64 }

// share is the part answered in time; of nothing asked for, all.
func (t tally) share() float64 {
	if t.asked <= 0 {
		return 1
	}
	return t.served / t.asked
}

func (t *tally) add(c *chain) {
	t.asked += c.worth
	if c.served {
		t.served += c.worth
	}
}

// A bucket holds what a tenant may still ask for within its share.
type bucket struct {
	tokens float64
	at     time.Duration
}

const leastBucket = 3.0 // first tries: a small tenant's come now and then, not evenly

// take tells whether a first try is within a share of so many a second. A second's worth may be saved up.
func (b *bucket) take(now time.Duration, perS float64) bool {
	b.tokens = min(b.tokens+perS*(now-b.at).Seconds(), max(perS, leastBucket))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// A queue holds the chains of a class in the order in which they came: so do their aims and deadlines pass.
type queue struct {
	chains []*chain
	aimed  int // those from the first on whose aim has passed
}

// service reckons the worth answered in time over the worth asked for.
type service struct {
	set     *scenario.Scenario
	course  *course
	day     record.Day
	chains  map[uint32]*chain
	queues  []queue // of each class
	buckets []bucket

	whole   tally
	seconds []tally // by the second of the first try
	classes []tally
	tenants []tally // within their shares

	classFirsts []int
	lateFail    float64 // worth whose client was still waiting when the aim passed

	firstTries, retries, unreached, unanswered int
	tries, shut, unsent                        int    // shut and unsent: see Counts
	answers                                    [3]int // final answers, by record.Answer
	inTime                                     int    // chains
	sends, opened, crossings                   int
	peerBytes                                  float64
	asked, wasted                              time.Duration             // work
	latency                                    []*hdrhistogram.Histogram // of each class, in microseconds
	byTries, bySends                           [maxCounted + 1]int       // chains, by how many they had
}

const maxCounted = 12 // tries or sends of a chain; more are counted as so many

// Latencies are kept in microseconds, to three digits, and up to ten minutes.
const (
	leastLatency = 10
	mostLatency  = 600e6
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(leastLatency, mostLatency, 3) }

func (s *service) start(set *scenario.Scenario, course *course) {
	s.set, s.course, s.chains = set, course, map[uint32]*chain{}
	s.queues = make([]queue, len(set.Classes))
	s.classes = make([]tally, len(set.Classes))
	s.classFirsts = make([]int, len(set.Classes))
	s.tenants = make([]tally, len(set.Tenants))
	s.buckets = make([]bucket, len(set.Tenants))
	s.seconds = make([]tally, int(math.Ceil(set.Day.Length.Seconds())))
	for range set.Classes {
		s.latency = append(s.latency, newHistogram())
	}
}

func (s *service) begin(day record.Day) {
	s.day = day
	for i := range s.buckets {
		s.buckets[i].tokens = max(day.Quotas[i], leastBucket)
	}
}

func (s *service) take(e *record.Event, op *operation) {
	s.settle(e.At)
	if e.Shut && e.At >= s.set.Day.From {
		s.shut++
	}
	switch e.Kind {
	case record.Asked, record.Unreached:
		s.ask(e)
	case record.Answered:
		if op != nil && !op.over {
			s.answer(e, op)
		}
	case record.Lost, record.Left:
		if op != nil && !op.over {
			s.leave(e.At, op)
		}
	case record.Sent:
		s.send(e, op)
	case record.Opened:
		if e.At >= s.set.Day.From {
			s.opened++
		}
	case record.Datagram:
		if e.At >= s.set.Day.From {
			s.peerBytes += float64(e.Bytes)
		}
	}
}

// ask takes in a try, and a chain with a first one.
func (s *service) ask(e *record.Event) {
	counts := e.At >= s.set.Day.From
	if counts {
		s.tries++
	}
	if counts && e.Kind == record.Unreached {
		s.unreached++
	}
	c := s.chains[e.Chain]
	if e.Try == 0 {
		c = s.first(e)
	} else if counts {
		s.retries++
	}
	if c != nil {
		c.tries++
		if e.Kind == record.Asked {
			c.waiting++
		}
	}
}

func (s *service) first(e *record.Event) *chain {
	class := &s.set.Classes[e.Class]
	c := &chain{
		op: e.Op, class: e.Class, tenant: e.Tenant, at: e.At, aimBy: e.At + class.Aim, within: true,
		counts: e.At >= s.set.Day.From, worth: class.Worth,
	}
	if mean := s.day.MeanWork[e.Class]; mean > 0 {
		c.worth *= float64(e.Work) / float64(mean)
	}
	if e.Tenant != record.NoTenant {
		if c.within = s.buckets[e.Tenant].take(e.At, s.day.Quotas[e.Tenant]); !c.within {
			c.worth *= s.set.Load.OverShareWorth
		}
	}
	if c.counts {
		s.firstTries++
		s.classFirsts[e.Class]++
		s.asked += e.Work
	}
	s.chains[e.Op] = c
	s.queues[e.Class].chains = append(s.queues[e.Class].chains, c)
	return c
}

// back notes that a try is out no more.
func (s *service) back(op *operation) *chain {
	c := s.chains[op.asked.Chain]
	if c != nil {
		c.waiting--
	}
	return c
}

func (s *service) answer(e *record.Event, op *operation) {
	s.answers[e.Answer]++
	if e.Answer == record.Failed && op.asked.At >= s.set.Day.From && !op.sentOn() {
		s.unsent++
	}
	c := s.back(op)
	if c == nil || e.Answer != record.Served || e.Attempt < 0 || c.answered {
		s.course.answered(e, false, -1)
		return
	}
	c.answered = true
	took := e.At - c.at
	recordLatency(s.latency[c.class], took)
	if e.At <= c.aimBy {
		c.served = true
		if c.counts {
			s.inTime++
		}
	}
	s.course.answered(e, c.served, took)
}

func (s *service) send(e *record.Event, op *operation) {
	if op == nil {
		return
	}
	if c := s.chains[op.asked.Chain]; c != nil {
		c.sends++
	}
	if e.At >= s.set.Day.From {
		s.sends++
		if e.Crossed {
			s.crossings++
		}
	}
}

// settle counts the chains whose aim has passed: nothing that comes later can be worth anything. They are
// kept until their deadline, for how late their answers come and how often they are tried.
func (s *service) settle(now time.Duration) {
	for i := range s.queues {
		q, deadline := &s.queues[i], s.set.Classes[i].Deadline
		for ; q.aimed < len(q.chains) && q.chains[q.aimed].aimBy < now; q.aimed++ {
			s.count(q.chains[q.aimed])
		}
		n := 0
		for ; n < q.aimed && q.chains[n].at+deadline+wireSlack < now; n++ {
			c := q.chains[n]
			s.byTries[min(c.tries, maxCounted)]++
			s.bySends[min(c.sends, maxCounted)]++
			delete(s.chains, c.op)
		}
		q.chains, q.aimed = q.chains[n:], q.aimed-n
	}
}

// count adds a chain to all that its worth goes into.
func (s *service) count(c *chain) {
	if second := int(c.at / time.Second); second < len(s.seconds) {
		s.seconds[second].add(c)
	}
	if !c.counts {
		return
	}
	s.whole.add(c)
	s.classes[c.class].add(c)
	if c.within && c.tenant != record.NoTenant {
		s.tenants[c.tenant].add(c)
	}
	if !c.served && c.waiting > 0 {
		s.lateFail += c.worth
	}
}

// finished takes in an operation of which nothing more will come: its work that served no answer was wasted.
func (s *service) finished(op *operation) {
	if op.asked.At < s.set.Day.From {
		return
	}
	for i := range op.attempts {
		if i != op.servedBy {
			s.wasted += op.attempts[i].work
		}
	}
}

// leave takes in an operation that ends without an answer: its client left, or its agent died.
func (s *service) leave(at time.Duration, op *operation) {
	s.unanswered++
	s.course.unanswered(at)
	s.back(op)
}

func (s *service) end() { s.settle(forever - time.Hour) }

// worstWindow is the lowest share of any ten seconds in a row, of a shorter day all of it, and where it
// begins.
func (s *service) worstWindow() (share float64, from int) {
	first := int((s.set.Day.From + time.Second - 1) / time.Second)
	last := int(s.set.Day.Length / time.Second) // a second begun but not over is in no window
	if last-first <= windowSeconds {
		return s.whole.share(), first
	}
	share = 2
	for from0 := first; from0+windowSeconds <= last; from0++ {
		var sum tally
		for _, second := range s.seconds[from0 : from0+windowSeconds] {
			sum.asked += second.asked
			sum.served += second.served
		}
		if got := sum.share(); got < share {
			share, from = got, from0
		}
	}
	return share, from
}

// worst is the lowest share, and whose it is.
func worst(all []tally) (share float64, which int) {
	share, which = 2, -1
	for i, t := range all {
		if t.asked > 0 && t.share() < share {
			share, which = t.share(), i
		}
	}
	return share, which
}

// perFirstTry is a count for each first try; zero on a day without any.
func (s *service) perFirstTry(n float64) float64 { return n / float64(max(s.firstTries, 1)) }
