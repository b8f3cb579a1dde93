package storm

import (
	"time"

	"dunestep/decide"
)

// While nothing is served little is sent, and what comes back is let prove itself.
const (
	endsHalf     = 400 * time.Millisecond
	endsLeast    = 8.0 // ends of attempts in a moment, to judge by their outcomes
	servedLeast  = 0.1 // of the ends: where fewer are served, nothing is
	servedWell   = 0.8 // of the ends: where more are served all is well
	refusedQuick = 500 * time.Millisecond
	failedLeast  = 12 // attempts that failed since the last answer
	silentLeast  = 3  // likewise, where nothing came for some aims
	askedLeast   = 5  // requests since the last answer, before its absence means anything
	silentAims   = 2  // aims without any answer

	trialLeast = 1.0 // a second
	trialMost  = 2.0 // saved up

	usualHalfCrowd = 10 * time.Second
	crowdStart     = 8.0 // in flight at a server, of all agents, where none is usual yet
	easeAfter      = 5 * time.Second
	easeGain       = 0.2 // of the usual, a second: let in more after that
	provenFor      = 2 * time.Second
	stuckAfter     = 300 * time.Millisecond
	settledAfter   = 2 * time.Second
	renewedAfter   = 2 // failures in a row
	// Between attempts at a cold server that fails them, of all agents together: what it turns away weighs as
	// well.
	coldHold   = 80 * time.Millisecond
	leastOrder = 0.5 // of the room: for what comes last in order
	wellFor    = 2 * time.Second
	turnedMost = 0.02 // of what comes: turned away by the gate, for it to be over
)

type phase uint8

// The phases of an outage.
const (
	calm phase = iota
	outage
	returning
)

// damper follows an outage.
type damper struct {
	phase   phase
	began   time.Duration
	back    time.Duration // since when there are answers again
	well    time.Duration // since when all that comes is let in and served; zero: it is not
	ends    faded         // of attempts
	good    faded         // of these, served
	asked   int           // requests since the last answer
	failed  int           // attempts, likewise
	ended   int           // of these, whose connections ended or did not come up: processes that may start anew
	last    time.Duration // answer
	turned  faded         // requests that the gate turned away
	usual   faded         // requests in flight: a mean over a longer time
	trials  float64
	trialAt time.Duration
	refused int           // in this outage
	sent    time.Duration // last attempt
	renewed time.Duration // the module's view of the servers, for want of one
}

func newDamper() damper {
	return damper{
		ends: faded{half: endsHalf}, good: faded{half: endsHalf}, turned: faded{half: endsHalf},
		usual: faded{half: usualHalfCrowd},
	}
}

// noteEnd takes in how an attempt ended at a server.
func (g *Gate) noteEnd(s *server, o decide.Outcome) {
	d := &g.damper
	switch o {
	case decide.Canceled, decide.NotSent:
		return
	case decide.Served:
		d.good.add(g.now, 1)
		d.ends.add(g.now, 1)
		if d.heardOf(g.now); d.phase == calm {
			d.ended = 0
		}
		s.proven = g.now
		s.window = min(max(s.window, 1)+1, g.windowMost())
		switch {
		case d.phase == outage:
			g.returns()
		case d.phase == returning && s.lost >= renewedAfter:
			g.renew(s)
		}
		s.failed, s.lost = 0, 0
		return
	}
	if s.failed++; o != decide.Rejected { // which a server does that is merely full
		s.lost++
	}
	d.ends.add(g.now, 1)
	d.failed++
	if o == decide.ConnectFailed || o == decide.ConnectionLost {
		d.ended++
	}
	s.until = g.now + coldHold*time.Duration(g.there)
	if s.window /= 2; g.now > s.proven+provenFor {
		s.window = 0
	}
}

// settled tells whether answers show how long work takes: not those of an outage, nor those after it while
// servers may be cold.
func (g *Gate) settled() bool {
	d := &g.damper
	wait := settledAfter
	if d.ended > 0 {
		wait = max(wait, g.set.Rules.SlowStartDuration)
	}
	return d.phase == calm || d.phase == returning && g.now > d.back+wait
}

// heardOf starts the count of what has failed anew.
func (d *damper) heardOf(now time.Duration) { d.asked, d.failed, d.last = 0, 0, now }

// windowMost is how many requests may be in flight at a server while an outage is not over: somewhat more
// than is usual, and more with time, or growth would never be let in.
func (g *Gate) windowMost() float64 {
	d := &g.damper
	most := g.fig.ReturnMore*d.usual.weight/max(g.fleet(), 1) + 1
	if d.usual.weight == 0 {
		most = crowdStart / float64(g.there)
	}
	if more := g.now - d.back - easeAfter; d.phase == returning && more > 0 {
		most *= 1 + easeGain*more.Seconds()
	}
	return max(most, 2)
}

// watchOutage moves between the phases.
func (g *Gate) watchOutage() {
	d := &g.damper
	switch d.phase {
	case calm:
		d.usual.follow(g.now, float64(g.crowd.count))
		g.noticeOutage()
	case outage:
	case returning:
		g.noticeOutage()
		g.noticeWell()
	}
}

// noticeOutage sees that nothing is served any more: by what attempts end in, or by silence.
func (g *Gate) noticeOutage() {
	d := &g.damper
	if d.last == 0 {
		d.last = g.now
	}
	none := g.now - d.last
	failing := d.failed >= failedLeast && none >= refusedQuick
	silent := none >= silentAims*g.longestAim && (d.failed >= silentLeast || g.ready() == 0)
	if d.asked < askedLeast || !failing && !silent || g.spell.purging {
		return
	}
	if d.phase == calm {
		d.began, d.refused = g.now, 0
	}
	g.log("outage: nothing is served for %v, %d attempts failed, %d servers listed; of %.0f requests a second "+
		"only trials go on", none.Round(time.Millisecond), d.failed, g.ready(), g.came.perSecond(g.now))
	d.phase = outage
}

// returns begins to let in what the servers prove that they can do.
func (g *Gate) returns() {
	d := &g.damper
	d.phase, d.back, d.well = returning, g.now, 0
	for _, s := range g.inOrder {
		if s.proven < g.now {
			s.window = 0
		}
	}
	g.log("outage: served again after %v, let in by proof; %d requests were turned away",
		(g.now - d.began).Round(time.Millisecond), d.refused)
	g.renew(g.inOrder...)
	g.tellSpell(saysServed)
}

// noticeWell ends it once all that comes is let in and served for a while.
func (g *Gate) noticeWell() {
	d := &g.damper
	well := d.good.perSecond(g.now) >= servedWell*d.ends.perSecond(g.now) &&
		d.turned.perSecond(g.now) <= turnedMost*g.came.perSecond(g.now)
	switch {
	case !well:
		d.well = 0
	case d.well == 0:
		d.well = g.now
	case g.now-d.well >= wellFor:
		d.phase = calm
		g.log("outage over after %v", (g.now - d.began).Round(time.Millisecond))
	}
}

// letIn tells whether a request may pass while an outage is not over.
func (g *Gate) letIn(e *decide.Request, before float64) bool {
	d := &g.damper
	switch d.phase {
	case calm:
		return true
	case returning:
		room := 0.0
		for _, s := range g.inOrder {
			if s.ready {
				room += max(s.window, 1)
			}
		}
		if float64(g.crowd.count) < room*(1-(1-leastOrder)*before) {
			return true
		}
	}
	return g.trial(e)
}

// trial lets a few requests through, of classes that may be repeated where there are any.
func (g *Gate) trial(e *decide.Request) bool {
	d := &g.damper
	rate := max(g.fig.TrialShare*g.repeats.first.perSecond(g.now), trialLeast)
	d.trials = min(d.trials+rate*(g.now-d.trialAt).Seconds(), trialMost)
	d.trialAt = g.now
	if d.trials < 1 || g.hasSafe && !g.repeatable(e.Class) {
		return false
	}
	d.trials--
	if d.phase == outage && g.now-max(d.sent, d.began, d.renewed) > stuckAfter {
		d.renewed = g.now
		g.renew(g.inOrder...) // the module sends no trial: it goes by what it saw before
	}
	return true
}

// repeatable tells whether a failed attempt of a class leaves the client something to do.
func (g *Gate) repeatable(class string) bool {
	i, known := g.order.classes[class]
	return known && g.set.Classes[i].Idempotency != decide.NotIdempotent
}

// renew tells the module that servers are as if started anew, without being any colder: what was seen of them
// is of the outage.
func (g *Gate) renew(servers ...*server) {
	news := &decide.ServerListUpdate{Kind: decide.UpdateIncremental, Watch: decide.WatchStatus{Local: true}}
	for _, s := range servers {
		if s.ready && !g.cold(s) { // what just started is new to the module
			s.renewed++
			s.entry.StartedAt++
			news.Servers = append(news.Servers, s.entry)
		}
	}
	g.next = append(g.next, news)
}
