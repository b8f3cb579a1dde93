package world

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/routing"
)

// agentIdle is how long an agent leaves a client's connection idle; crowdedIdle, where clients hold many.
const (
	agentIdle   = 30 * time.Second
	crowdedIdle = 2 * time.Second
	// wireSlack is what the time for an answer is longer by on sockets.
	wireSlack = 50 * time.Millisecond
)

// client is a copy of the calling application, with its connections to the agent beside it.
type client struct {
	w     *world
	agent *agent
	idle  []*frontConn // the one used last at the end
}

// frontConn is a client's connection to an agent.
type frontConn struct {
	client    *client
	life      *life
	counted   bool // the agent holds a descriptor for it
	answered  bool
	closed    bool
	idleSince time.Duration
	checking  bool // an idle check is entered
	trying    *try // of a real connection: that it is used for
	Handle    FrontHandle
}

// frontSocket is the agent's end: the tries whose connections wait for a descriptor.
type frontSocket struct {
	waiting []*try
	held    int // connections that were taken
}

// request is what a caller wants, over all its tries.
type request struct {
	client   *client
	class    int
	tenant   uint8
	key      uint32 // counted from one; zero: none
	work     float64
	lots     uint64 // for what is drawn by lot
	deadline time.Duration
	chain    uint32 // the number of its first try
}

// try is one try at a request.
type try struct {
	request   *request
	agent     *agent
	life      *life
	conn      *frontConn
	operation *operation
	op        uint32
	nth       int
	asked     time.Duration
	leaves    time.Duration // when its time is over
	impatient bool          // the client leaves before that, for good
	sends     int           // of a real agent's, that booking servers have seen
	taken     bool          // by the agent
	untaken   bool          // there was no agent to take it
	shut      bool          // there was one, which is ending: it closed the new connection with no answer
	late      bool          // its time is over: an answer is of no use any more
	over      bool
	told      bool // its answer is on its way
	answer    record.Answer
	advice    time.Duration
	attempt   int // whose answer it is; below zero: no booking server's
}

// ask makes a request's next try, at the agent beside the client or, where that is down and the clients
// do so, at the next one that is up; the first try too, where the agent has said that it takes no clients.
func (q *request) ask(nth int) {
	w := q.client.w
	a := q.client.agent
	if (nth > 0 || a.life != nil && a.life.away) && w.set.Clients.Elsewhere {
		for range w.agents {
			if a.takes() {
				break
			}
			a = w.agents[(a.number+1)%len(w.agents)]
		}
	}
	w.ops++
	w.open++
	t := &try{request: q, agent: a, nth: nth, op: w.ops, asked: w.now, attempt: -1}
	if a.takes() {
		t.life = a.life
	}
	if nth == 0 {
		q.chain = t.op
	}
	deadline := w.set.Classes[q.class].Deadline
	t.leaves = min(w.now+time.Duration(w.tryShare*float64(deadline)), q.deadline)
	if t.impatient = lot(q.lots, uint64(nth), lotLeaves) < w.impatient; t.impatient {
		leaves := time.Duration(lot(q.lots, uint64(nth), lotLeavesWhen) * float64(t.leaves-w.now))
		w.after(leaves, rankClient, (*tryLeaves)(t))
	} else {
		w.enter(t.leaves, rankClient, (*tryLate)(t))
	}
	if t.conn = a.client.connection(t.life); t.life != nil {
		t.life = t.conn.life // which another life may have replaced
	}
	w.after(w.network.client, rankArrival, (*tryReaches)(t))
}

// connection takes an idle connection, or begins a new one.
func (c *client) connection(l *life) *frontConn {
	if n := len(c.idle); n > 0 {
		f := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return f
	}
	return &frontConn{client: c, life: l}
}

// The happenings of a try.
type (
	tryReaches   try // its last byte is at the agent
	tryUnreached try // the client learns that there is no agent
	tryAnswered  try // the answer's last byte is at the client
	tryLost      try // the client learns that the agent has ended the connection
	tryLate      try // its time is over
	tryLeaves    try // its client leaves
	tryAgain     try // its client tries again
	tryLeft      try // the agent learns that the client has left
)

func (r *tryReaches) happen() {
	t := (*try)(r)
	l := t.life
	switch {
	case t.over:
	case l == nil || l.dead:
		t.unreached()
	case l.remote:
		t.askRemote()
	case t.conn.counted:
		t.take()
	case l.end.closing:
		t.unreached()
	default:
		l.clients.waiting = append(l.clients.waiting, t)
		l.clients.freed(l)
	}
}

func (t *try) unreached() {
	w := t.agent.w
	t.untaken = true
	t.shut = t.life != nil && (t.life.end.closing || t.life.end.over)
	t.conn.closed = true
	w.record.try(record.Unreached, t)
	w.after(w.network.client, rankArrival, (*tryUnreached)(t))
}

// freed takes waiting connections in as far as there are descriptors.
func (f *frontSocket) freed(l *life) {
	for len(f.waiting) > 0 {
		t := f.waiting[0]
		if !t.over {
			if ok, _ := l.descriptors.AcquireDownstream(); !ok {
				return
			}
		}
		f.waiting = f.waiting[1:] // before it is taken, which may free others
		if !t.over {
			t.conn.counted = true
			f.held++
			t.take()
		}
	}
}

// take has the agent take the try.
func (t *try) take() {
	t.taken = true
	t.agent.w.record.try(record.Asked, t)
	if s := t.agent.w.sights; s != nil {
		s.asked += t.request.work
	}
	t.life.post(message{kind: operationCame, try: t})
}

// answer sends the router's one final answer to the client, and closes the connection where clients crowd
// the agent.
func (l *life) answer(o *routing.Output) {
	t := l.operations[o.Request].try
	if t.told { // the judge is to see it: the client, with one answer, would wait for no other
		l.w.record.answered(t)
		return
	}
	t.told = true
	switch o.Result {
	case protocol.Served:
		t.answer, t.attempt = record.Served, o.Attempt
	case protocol.Rejected:
		t.answer, t.advice = record.Refused, o.After
	default:
		t.answer = record.Failed
	}
	f := t.conn
	crowded, pressing := l.descriptors.Pressure()
	if pressing || crowded && !f.answered || l.end.closing || l.away {
		f.close()
	}
	f.answered = true
	l.w.after(l.w.network.client, rankArrival, (*tryAnswered)(t))
}

// close closes the connection at both ends.
func (f *frontConn) close() {
	if f.closed {
		return
	}
	f.closed = true
	if f.life.remote {
		f.client.w.wire.HangUp(f)
	}
	if f.counted && !f.life.dead {
		f.counted = false
		f.life.descriptors.ReleaseDownstream()
		f.life.clients.held--
		f.life.clients.freed(f.life)
		f.life.endIfEmpty()
	}
}

func (a *tryAnswered) happen() {
	t := (*try)(a)
	if t.life.dead { // what its machine had not delivered is gone with it
		(*tryLost)(t).happen()
		return
	}
	if t.over {
		return
	}
	t.end()
	w := t.agent.w
	w.record.answered(t)
	t.conn.rest()
	if t.answer != record.Served {
		t.again(t.answer == record.Refused)
	}
}

// rest puts a connection back for the next try, unless it is closed or connections are not kept.
func (f *frontConn) rest() {
	w := f.client.w
	keep := w.set.Clients.KeepIdle
	switch {
	case f.closed || f.life.dead:
	case keep == 0:
		f.close()
	default:
		f.idleSince = w.now
		f.client.idle = append(f.client.idle, f)
		if !f.checking {
			f.checking = true
			w.after(f.mayRest(), rankClient, (*frontIdle)(f))
		}
	}
}

// mayRest is how long the connection may stand idle as things are.
func (f *frontConn) mayRest() time.Duration {
	most := min(f.client.w.set.Clients.KeepIdle, agentIdle)
	if crowded, _ := f.life.descriptors.Pressure(); crowded {
		most = min(most, crowdedIdle)
	}
	return most
}

type frontIdle frontConn

func (i *frontIdle) happen() {
	f := (*frontConn)(i)
	f.checking = false
	at := slices.Index(f.client.idle, f)
	if f.closed || f.life.dead || at < 0 {
		return
	}
	w := f.client.w
	if left := f.idleSince + f.mayRest() - w.now; left > 0 {
		f.checking = true
		w.after(left, rankClient, i)
		return
	}
	f.client.idle = slices.Delete(f.client.idle, at, at+1)
	f.close()
}

// happen has the client try again, or give up. It leaves a little later: an answer that comes by then is
// late but not missing.
func (l *tryLate) happen() {
	t := (*try)(l)
	if t.over {
		return
	}
	t.agent.w.after(t.agent.w.set.Rules.AnswerSlack+wireSlack, rankClient, (*tryLeaves)(t))
	t.again(false)
	t.late = true
}

func (l *tryLeaves) happen() {
	t := (*try)(l)
	if t.over {
		return
	}
	t.end()
	w := t.agent.w
	if t.taken {
		w.record.take(record.Event{Kind: record.Left, Op: t.op, Agent: int32(t.agent.number)})
	} else if !t.untaken { // it never got as far as the agent
		w.record.try(record.Unreached, t)
	}
	w.after(w.network.client, rankArrival, (*tryLeft)(t))
}

func (l *tryLeft) happen() {
	t := (*try)(l)
	t.conn.close()
	if t.taken && t.life.remote {
		delete(t.life.operations, t.op)
	}
	if t.taken && !t.life.dead {
		t.life.post(message{kind: clientGone, try: t})
	}
}

// resetAll breaks the connections of a client whose agent was killed.
func (c *client) resetAll(l *life) {
	c.idle = slices.DeleteFunc(c.idle, func(f *frontConn) bool { return f.life == l })
	w := c.w
	for _, t := range l.unanswered() {
		w.after(w.network.client, rankArrival, (*tryLost)(t))
	}
	for _, t := range l.clients.waiting {
		if !t.over {
			t.unreached()
		}
	}
}

// unanswered returns the tries that the agent has taken and whose clients still wait, in the order in which
// they came.
func (l *life) unanswered() []*try {
	var held []*try
	for _, o := range l.operations {
		if !o.try.over && !o.try.told {
			held = append(held, o.try)
		}
	}
	slices.SortFunc(held, func(a, b *try) int { return cmp.Compare(a.op, b.op) })
	return held
}

func (l *tryLost) happen() {
	t := (*try)(l)
	if t.over {
		return
	}
	t.end()
	t.agent.w.record.take(record.Event{Kind: record.Lost, Op: t.op, Agent: int32(t.agent.number)})
	t.again(false)
}

func (u *tryUnreached) happen() {
	if t := (*try)(u); !t.over {
		t.end()
		t.again(true)
	}
}

// end ends the try: the client waits for nothing more of it.
func (t *try) end() {
	t.over = true
	t.agent.w.open--
}

// again has the client try again after what cannot have run, or what may be repeated, as often as it does
// so and while there is time. Where its time was over it has done so already.
func (t *try) again(neverRan bool) {
	if t.late {
		return
	}
	q := t.request
	w := t.agent.w
	set := &w.set.Clients
	class := &w.set.Classes[q.class]
	wait := w.backoff
	switch set.Backoff {
	case scenario.AtOnce:
		wait = 0
	case scenario.Exponential:
		wait <<= min(t.nth, 20)
	}
	if w.set.Allow.RetryAfter && lot(q.lots, 0, lotHonours) < w.honour {
		wait = max(wait, min(t.advice, w.set.Allow.MaxRetryAfter))
	}
	may := neverRan || class.Effect == scenario.Safe
	if !may || t.nth >= set.Retries || w.now+wait >= q.deadline {
		return
	}
	w.open++
	w.after(wait, rankClient, (*tryAgain)(t))
}

func (a *tryAgain) happen() {
	t := (*try)(a)
	t.agent.w.open--
	t.request.ask(t.nth + 1)
}

// source draws a client's requests ahead of whatever becomes of them: first tries come whether or not those
// before are answered.
type source struct {
	client *client
	chance stream
	perS   float64 // the mean
	from   time.Duration
	until  time.Duration
	next   time.Duration
}

// start draws the first request.
func (s *source) start() {
	s.next = s.from
	s.plan()
}

// plan finds when the next request, or burst of them, comes: at the highest rate of the day, of which so
// many are passed over that the rate at that time is left.
func (s *source) plan() {
	w := s.client.w
	highest := s.perS * w.highest
	if w.set.Load.Arrivals == scenario.Bursty {
		highest /= max(w.set.Load.BurstMean, 1)
	}
	if highest <= 0 {
		return
	}
	for {
		s.next += time.Duration(s.chance.ExpFloat64() / highest * float64(time.Second))
		if s.next >= s.until || s.next < 0 {
			return
		}
		if s.chance.Float64()*w.highest < w.swings(s.next) {
			break
		}
	}
	w.enter(s.next, rankClient, s)
}

func (s *source) happen() {
	w := s.client.w
	n, span := 1, time.Duration(0)
	if w.set.Load.Arrivals == scenario.Bursty {
		span = w.set.Load.BurstSpan
		if mean := w.set.Load.BurstMean; mean > 1 {
			n += int(math.Log(1-s.chance.Float64()) / math.Log(1-1/mean))
		}
	}
	for range n {
		q := s.draw()
		wait := time.Duration(s.chance.Float64() * float64(span))
		left := w.keeps < 1 && lot(q.lots, 0, lotKept) >= w.keeps
		if left || s.next+wait >= s.until { // a burst is cut off by the day's end
			continue
		}
		w.open++
		w.after(wait, rankClient, (*requestComes)(q))
	}
	s.plan()
}

type requestComes request

func (r *requestComes) happen() {
	q := (*request)(r)
	w := q.client.w
	w.open--
	if w.plan != nil {
		w.plan.planned(w.now, q)
		return
	}
	q.deadline = w.now + w.set.Classes[q.class].Deadline
	q.ask(0)
}

// draw draws what a request is.
func (s *source) draw() *request {
	w := s.client.w
	q := &request{client: s.client, class: w.classes.pick(s.chance), tenant: record.NoTenant}
	if len(w.tenants) > 0 {
		q.tenant = uint8(w.tenants.pick(s.chance))
	}
	if len(w.keys) > 0 {
		q.key = uint32(w.keys.pick(s.chance)) + 1
	}
	class := &w.set.Classes[q.class]
	exp, normal := s.chance.ExpFloat64(), s.chance.NormFloat64()
	q.work = w.meanWork[q.class].Seconds()
	switch class.Dist {
	case "exp":
		q.work *= exp
	case "lognormal":
		q.work *= lognormal(w.workCV[q.class], normal)
	}
	q.work = max(q.work, 1e-6)
	q.lots = s.chance.Uint64()
	return q
}
