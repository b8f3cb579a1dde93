// Package judge reads the recording of a scenario run as it is played and evaluates it: the service as the
// deployment defines it, breaches of the four rules, and what kept the service low. It sees what passed on
// the wire and what the machines did, never the internal state of an agent.
package judge

import (
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// wireSlack extends each time limit of the rules, for delays on sockets.
const wireSlack = 50 * time.Millisecond

// Judge is a record.Sink that judges a run. Its memory grows with the run's seconds and servers, not with
// its requests. Use New to create one; it is not safe for concurrent use.
type Judge struct {
	scenario   *scenario.Scenario
	run        record.Run
	servers    []record.Server
	requests   requestTracker
	service    service
	series     timeSeries
	view       *discoveryView
	answers    *answerChecker
	slowStarts *slowStartChecker
	checkers   []checker
	limits     limitTracker
	faults     faultLog
	end        time.Duration
}

// A checker checks one rule. It observes each event together with the event's request as it was before the
// event, nil if there is no known request.
type checker interface {
	observe(e *record.Event, req *request)
	finish(at time.Duration)
	verdict() Rule
}

// New returns a Judge for a scenario.
func New(sc *scenario.Scenario) *Judge {
	j := &Judge{scenario: sc, faults: faultLog{scenario: sc}}
	j.requests = requestTracker{open: map[uint32]*request{}, scenario: sc}
	j.service.start(sc, &j.series)
	return j
}

// Begin implements record.Sink.
func (j *Judge) Begin(run record.Run) {
	j.run = run
	j.service.begin(run)
	j.series.begin(j.scenario.Run.Length, j.scenario.Fleet.Servers)
	view := newDiscoveryView(j.scenario, len(run.Agents))
	d := describer{j.scenario, &j.run, &j.servers}
	j.slowStarts = newSlowStartChecker(d, j.scenario, run, view)
	j.answers = newAnswerChecker(d, &j.requests)
	j.checkers = []checker{
		j.answers, newRepeatChecker(d, j.scenario),
		newDrainChecker(d, j.scenario, view), j.slowStarts,
	}
	if hasWindow(j.scenario) {
		j.checkers = append(j.checkers, newWindowChecker(d, j.scenario))
	}
	j.view = view
	j.limits.begin(j.scenario, d, len(run.Agents))
}

// Server implements record.Sink.
func (j *Judge) Server(n int, s record.Server) {
	j.servers = append(j.servers, s)
	j.series.server(n)
}

// Observe implements record.Sink.
func (j *Judge) Observe(e *record.Event) {
	req := j.requests.requestOf(e)
	j.view.observe(e)
	for _, c := range j.checkers {
		c.observe(e, req)
	}
	j.limits.observe(e, req)
	j.service.observe(e, req)
	j.series.observe(e, req)
	j.faults.observe(e)
	j.requests.apply(e, req)
	if e.Kind == record.AgentPaused || e.Kind == record.AgentResumed {
		j.requests.setPaused(e)
	}
	if e.Kind == record.AgentDown {
		delete(j.requests.paused, e.Agent)
		for _, req := range j.requests.closeAll(e.Agent) {
			j.service.leftUnanswered(e.At, req)
		}
	}
}

// Sample implements record.Sink.
func (j *Judge) Sample(s *record.Sample) {
	j.series.sample(s)
	for _, req := range j.requests.evict(s.At) {
		j.service.finished(req)
	}
}

// End implements record.Sink.
func (j *Judge) End(at time.Duration) {
	j.end = at
	for _, c := range j.checkers {
		c.finish(at)
	}
	j.limits.finish(at)
	for _, req := range j.requests.evict(maxTime) {
		j.service.finished(req)
	}
	j.service.end()
	j.series.end(j.service.seconds)
}
