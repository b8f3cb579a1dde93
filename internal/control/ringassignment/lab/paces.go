package lab

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/control/ringassignment/judge"
	"dunestep/internal/simnet"
)

// PaceProtections can be taken out of a course of paces, to see that the judge finds it.
var PaceProtections = []string{
	"median",  // the words of the one that lies are those of three
	"samples", // what few answers show counts
}

// The kinds of servers.
const (
	rapid = "rapid"
	lent  = "lent"
)

const (
	gaugeEvery = 10 * time.Second
	wordEvery  = 30 * time.Second
	answers    = 4.0 // of each kind, that an agent has a second
)

// paced is what an agent does about paces.
type paced struct {
	gauge ringassignment.PaceMeter
	seen  time.Duration // answers until then, true time
	had   float64       // answers
	word  []byte
	gauged,
	told time.Duration // by the steady clock
}

func kindOf(capacity float64) string {
	if capacity > 1 {
		return rapid
	}
	return lent
}

// paces has an agent measure kinds, and tell voters.
func (l *Lab) paces(nd *node, mono time.Duration) {
	p := &nd.paced
	if mono >= p.gauged {
		p.gauged = mono + gaugeEvery
		p.word = ringassignment.EncodePaceReport(l.says(nd, p.gauge.Measure(mono, l.answered(nd), l.listed(nd))))
	}
	if mono >= p.told && len(p.word) > 1 {
		p.told = mono + wordEvery
		for v := range voters {
			l.send(nd.number, v, message{kind: word, word: p.word})
		}
	}
}

// says is what an agent tells of what it found: one lies.
func (l *Lab) says(nd *node, found map[string]float64) map[string]float64 {
	if l.lies && nd.number == len(l.nodes)-1 {
		return map[string]float64{rapid: 100, lent: 0.01}
	}
	return found
}

// few tells whether an agent has hardly any requests.
func (l *Lab) few(nd *node) bool {
	return l.lies && nd.number < len(l.nodes)-1 && nd.number >= len(l.nodes)-3
}

// answered is what a balancer has seen of the kinds.
func (l *Lab) answered(nd *node) (all []balancer.BaselineLatency) {
	p, rate := &nd.paced, answers
	if l.few(nd) {
		rate = 0.02
	}
	p.had += rate * (l.Now() - p.seen).Seconds()
	p.seen = l.Now()
	for _, kind := range []string{lent, rapid} {
		took := 0.96 + 0.08*l.Rand().Float64()
		if kind == rapid {
			took /= 2 * l.speed
		}
		if l.few(nd) && kind == lent {
			took *= 3
		}
		all = append(all, balancer.BaselineLatency{
			MachineKind: kind, Latency: time.Duration(took * float64(20*time.Millisecond)),
			Samples: p.had,
		})
	}
	return all
}

// listed is an agent's own list, as it sees it.
func (l *Lab) listed(nd *node) (all []ringassignment.Server) {
	for _, s := range l.lists[nd.seen] {
		if s.listed {
			all = append(all, ringassignment.Server{
				ID: s.name, Zone: s.zone, Kind: kindOf(s.capacity), Ready: s.ready,
				Draining: s.draining, StartedAt: s.started, Capacity: s.capacity,
			})
		}
	}
	return all
}

// hearWord has a voter hear what an agent says of the kinds.
func (l *Lab) hearWord(nd *node, from int, data []byte) {
	now := l.reading(nd.number)
	nd.council.PaceReportReceived(now, from, data)
	for i := range 3 {
		if l.set.Without == "median" && from == len(l.nodes)-1 {
			nd.council.PaceReportReceived(now, 100*i+from, data)
		}
	}
}

// Paces plays a fleet whose servers of one kind become half as quick, after a time in which nothing has
// changed; an agent lies, some have hardly any requests, agents are cut off and leaders end.
func Paces(seed uint64, without string, lasts time.Duration) (l *Lab, j *judge.PaceJudge) {
	set := Setup{
		Seed: seed, Agents: 5, Servers: 20, Keys: 4000, Without: without,
		Faults: simnet.Faults{
			Loss: 0.1, Duplicate: 0.1, MinDelay: time.Millisecond,
			MaxDelay: 20 * time.Millisecond,
		},
	}
	set.Figures.UsePaces = true
	l = New(set)
	l.lies = true
	if without == "samples" {
		for _, nd := range l.nodes {
			nd.paced.gauge.MinAnswers = 1
		}
	}
	j = &judge.PaceJudge{}
	l.Run(l.Now() + settles)
	begin := l.Now()
	end := begin + calm + lasts
	l.every(begin, end, 10*time.Second, func() { j.AddDensity(l.Now(), l.density()) })
	l.every(begin, end-time.Minute, 20*time.Second, func() { l.fault(end - time.Minute) })
	l.Run(begin + calm)
	l.speed = 0.5
	j.KindChanged(l.Now())
	l.Run(end)
	return l, j
}

// calm is how long nothing changes first: longer than a pace needs to be another.
const calm = 8 * time.Minute

// density is how many keys the rapid servers have for their capacity, against the others, where most agents
// are.
func (l *Lab) density() float64 {
	st := l.ref.State()
	points := map[string]int{}
	for i := range st.Members {
		points[st.Members[i].ID] = st.Members[i].OnRing()
	}
	owners := l.rings.place(points, nil)
	keys, capacity := map[string]float64{}, map[string]float64{}
	for _, o := range owners {
		keys[kindOf(l.list[o].capacity)]++
	}
	for i := range l.list {
		capacity[kindOf(l.list[i].capacity)] += l.list[i].capacity
	}
	return keys[rapid] / capacity[rapid] / (keys[lent] / capacity[lent])
}
