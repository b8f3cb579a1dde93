package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/late"
	"dunestep/internal/routing"
)

const (
	sightStep = 100 * time.Millisecond // between two looks at the servers
	sightFade = 0.3                    // weight of the last look in what comes
	// wellEnough is the part of its requests that a server may fail and still count as one that answers.
	wellEnough = 0.5
)

// sights are how the servers stood lately, for agents that see it late.
type sights struct {
	w     *world
	delay time.Duration
	looks []*late.Sight // the oldest first; as many as fit into the delay
	asked float64       // work that came to the agents since the last look, seconds of standard work
	came  float64       // the same a second, of late
}

func newSights(w *world, delay time.Duration) *sights { return &sights{w: w, delay: delay} }

// happen looks at the servers.
func (s *sights) happen() {
	all := make([]late.Server, 0, len(s.w.servers))
	for _, v := range s.w.servers {
		p := v.process
		if p == nil || p.state != processUp {
			continue
		}
		p.reckon()
		all = append(all, late.Server{
			ID: v.id, Capacity: p.capacity(),
			Speed: p.capacity() * p.efficiency(), Cores: float64(v.machine.cores),
			Held:  float64(len(p.running.jobs) + p.waiting.len()),
			Takes: !v.silent && !v.refusing && v.failing < wellEnough && s.w.now >= v.cutUntil,
		})
	}
	s.came += (s.asked/sightStep.Seconds() - s.came) * sightFade
	s.asked = 0
	if s.looks = append(s.looks, late.NewSight(all, s.came)); len(s.looks) > int(s.delay/sightStep)+1 {
		s.looks = s.looks[1:]
	}
	s.w.after(sightStep, rankSample, s)
}

// late is what is seen now: the oldest look.
func (s *sights) late() *late.Sight { return s.looks[0] }

// policy is an agent's module on a day of agents that see the true state late.
func (s *sights) policy(set balancer.Settings, seed uint64) routing.Module {
	return late.New(set, s.w.set.MeanWork(s.w.meanWork), seed, s.late)
}
