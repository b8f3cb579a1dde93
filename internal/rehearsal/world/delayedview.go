package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/late"
	"dunestep/internal/routing"
)

const (
	// viewInterval is the time between two views of the servers.
	viewInterval = 100 * time.Millisecond
	// loadSmoothing is the weight of the last interval in the smoothed load.
	loadSmoothing = 0.3
	// maxFailingShare is the fraction of errors from which a server counts as not serving.
	maxFailingShare = 0.5
)

// delayedView holds recent views of the servers' true state, for agents that see it with a delay.
type delayedView struct {
	w           *world
	delay       time.Duration
	views       []*late.FleetView // oldest first; as many as fit into the delay
	arrivedWork float64           // that reached the agents since the last view, in standard seconds
	workPerS    float64           // smoothed work per second that reaches the agents
}

func newDelayedView(w *world, delay time.Duration) *delayedView {
	return &delayedView{w: w, delay: delay}
}

// fire takes a view of the servers.
func (s *delayedView) fire() {
	seen := make([]late.Server, 0, len(s.w.servers))
	for _, v := range s.w.servers {
		p := v.process
		if p == nil || p.state != processUp {
			continue
		}
		p.advance()
		seen = append(seen, late.Server{
			ID: v.id, Capacity: p.capacity(),
			Speed: p.capacity() * p.efficiency(), Cores: float64(v.machine.cores),
			Held:    float64(len(p.running.jobs) + p.waiting.len()),
			Accepts: !v.silent && !v.refusing && v.failing < maxFailingShare && s.w.now >= v.cutUntil,
		})
	}
	s.workPerS += (s.arrivedWork/viewInterval.Seconds() - s.workPerS) * loadSmoothing
	s.arrivedWork = 0
	if s.views = append(s.views, late.NewFleetView(seen, s.workPerS)); len(s.views) >
		int(s.delay/viewInterval)+1 {
		s.views = s.views[1:]
	}
	s.w.scheduleAfter(viewInterval, rankSample, s)
}

// oldest returns the view that agents see now.
func (s *delayedView) oldest() *late.FleetView { return s.views[0] }

// policy returns the balancer of an agent that sees the true state with a delay.
func (s *delayedView) policy(settings balancer.Settings, seed uint64) routing.Module {
	return late.New(settings, s.w.scenario.MeanWork(s.w.meanWork), seed, s.oldest)
}
