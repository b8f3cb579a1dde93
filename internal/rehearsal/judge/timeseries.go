package judge

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestep/internal/rehearsal/record"
)

// Second is what happened in one second of the run. Tries and answers are counted in the second of their
// own event; RequestedWorth and ServedWorth in the second of the first try.
type Second struct {
	RequestedWorth float64 `json:"asked_worth"`
	ServedWorth    float64 `json:"served_worth"` // served within the latency objective

	FirstTries int `json:"first_tries"`
	Retries    int `json:"retries"` // by clients
	Unreached  int `json:"unreached"`
	InTime     int `json:"in_time"`
	Late       int `json:"late"` // served after the latency objective
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"unanswered"` // the client left or lost its agent

	Sends        int `json:"sends"`
	FurtherSends int `json:"again"`  // sends other than a request's first
	Opened       int `json:"opened"` // connections
	Conns        int `json:"conns"`  // connections open at the end of the second

	// Work in seconds of standard work. WorkRequested is that of all first tries that arrived, sent or not,
	// before savings by warm keys. The others are work that reached upstream servers: WorkFirst by the first
	// sends of first tries, WorkAgain by the agents' further sends, WorkRetry by the first sends of clients'
	// retries.
	WorkRequested float64 `json:"work_asked"`
	WorkFirst     float64 `json:"work_first"`
	WorkAgain     float64 `json:"work_again"`
	WorkRetry     float64 `json:"work_retry"`
	Capacity      float64 `json:"capacity"` // at the end of the second, in seconds of standard work per second
	Busy          float64 `json:"busy"`     // mean utilization of the servers, weighted by capacity

	P50MS float64 `json:"p50_ms"` // of the answers served in the second, from the first try on
	P99MS float64 `json:"p99_ms"`

	workRequestedOfSent float64 // WorkRequested of the first tries counted in WorkFirst
}

// servedShare returns the part of the requested worth that was served in time, or 1 if nothing was
// requested.
func (s *Second) servedShare() float64 {
	if s.RequestedWorth <= 0 {
		return 1
	}
	return s.ServedWorth / s.RequestedWorth
}

// tailSeconds is how long after the last arrivals the run is still recorded second by second.
const tailSeconds = 30

// A serverSeries is the load of one server over the run, in steps that are several seconds long in a long
// run.
type serverSeries struct {
	busy, held                 []float32 // mean of each step; negative: the server was not running
	seconds                    []uint8   // samples in each step
	sum, peak                  float64
	samples, maxHeld, maxConns int
}

// timeSeries records the run second by second.
type timeSeries struct {
	seconds []Second
	step    int // seconds in a step of the servers' series
	servers []serverSeries
	latency *hdrhistogram.Histogram // of the current second
	current int
}

const (
	maxSteps  = 600
	minSteps  = 60
	maxPoints = 1_000_000 // steps of all servers together
)

func (c *timeSeries) begin(length time.Duration, servers int) {
	n := int(math.Ceil(length.Seconds())) + tailSeconds
	c.seconds = make([]Second, n)
	steps := min(max(maxPoints/max(servers, 1), minSteps), maxSteps)
	c.step = (n + steps - 1) / steps
	c.latency = newHistogram()
}

func (c *timeSeries) server(n int) {
	for len(c.servers) <= n {
		c.servers = append(c.servers, serverSeries{})
	}
}

// secondOf returns the second of a time; the last second includes everything later.
func (c *timeSeries) secondOf(t time.Duration) *Second {
	n := min(int(t/time.Second), len(c.seconds)-1)
	if n != c.current {
		c.closeSecond()
		c.current = n
	}
	return &c.seconds[n]
}

func (c *timeSeries) closeSecond() {
	if c.latency.TotalCount() > 0 {
		s := &c.seconds[c.current]
		s.P50MS = float64(c.latency.ValueAtQuantile(50)) / 1000
		s.P99MS = float64(c.latency.ValueAtQuantile(99)) / 1000
		c.latency.Reset()
	}
}

func (c *timeSeries) observe(e *record.Event, req *request) {
	s := c.secondOf(e.At)
	switch e.Kind {
	case record.RequestReceived:
		c.received(s, e)
	case record.RequestUnreached:
		c.received(s, e)
		s.Unreached++
	case record.AttemptSent:
		s.Sends++
		if e.Attempt > 0 {
			s.FurtherSends++
		}
	case record.AttemptReached:
		work := e.Work.Seconds()
		switch {
		case e.Attempt > 0:
			s.WorkAgain += work
		case req != nil && req.received.Try > 0:
			s.WorkRetry += work
		default:
			s.WorkFirst += work
			if req != nil {
				s.workRequestedOfSent += req.received.Work.Seconds()
			}
		}
	case record.ConnOpened:
		s.Opened++
	}
}

func (c *timeSeries) received(s *Second, e *record.Event) {
	if e.Try > 0 {
		s.Retries++
	} else {
		s.FirstTries++
		s.WorkRequested += e.Work.Seconds()
	}
}

// answered counts a final answer. took is the time since the first try, negative if unknown.
func (c *timeSeries) answered(e *record.Event, inTime bool, took time.Duration) {
	s := c.secondOf(e.At)
	switch {
	case e.Answer == record.Refused:
		s.Refused++
	case e.Answer == record.Failed:
		s.Failed++
	case inTime:
		s.InTime++
	default:
		s.Late++
	}
	if e.Answer == record.Served && took >= 0 {
		recordLatency(c.latency, took)
	}
}

func (c *timeSeries) unanswered(at time.Duration) { c.secondOf(at).Unanswered++ }

// sample processes the state of the servers at the end of a second, sample.At.
func (c *timeSeries) sample(sample *record.Sample) {
	n := min(max(int(sample.At/time.Second)-1, 0), len(c.seconds)-1)
	s := &c.seconds[n]
	s.Conns, s.Capacity, s.Busy = 0, 0, 0
	for i := range sample.Servers {
		l := &sample.Servers[i]
		s.Conns += l.Conns
		s.Capacity += l.Capacity
		s.Busy += l.Busy * l.Capacity
		c.servers[l.Server].sample(n/c.step, l)
	}
	if s.Capacity > 0 {
		s.Busy /= s.Capacity
	}
}

func (c *serverSeries) sample(step int, l *record.Load) {
	for len(c.busy) <= step {
		c.busy, c.held, c.seconds = append(c.busy, -1), append(c.held, -1), append(c.seconds, 0)
	}
	n := float32(c.seconds[step])
	if n == 0 {
		c.busy[step], c.held[step] = 0, 0
	}
	held := l.Running + l.Waiting
	c.busy[step] += (float32(l.Busy) - c.busy[step]) / (n + 1)
	c.held[step] += (float32(held) - c.held[step]) / (n + 1)
	c.seconds[step]++
	c.samples++
	c.sum += l.Busy
	c.peak = max(c.peak, l.Busy)
	c.maxHeld = max(c.maxHeld, held)
	c.maxConns = max(c.maxConns, l.Conns)
}

// end fills in the worth of each second.
func (c *timeSeries) end(worth []tally) {
	c.closeSecond()
	for i, t := range worth {
		c.seconds[i].RequestedWorth, c.seconds[i].ServedWorth = t.requested, t.served
	}
}
