// Package mishap injects faults into the datagrams between agents: loss, delay, reordering, duplication,
// flipped bits and truncation, separately for each direction of each pair of agents. It has no I/O, clock
// or goroutine: the caller passes the time with each datagram and gets the copies to deliver with their
// delays. Virtual-time rehearsals and the sockets of a live fleet share this code, and the same seed gives
// the same faults.
package mishap

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dunestep/internal/rehearsal/scenario"
)

// Burst is the Gilbert-Elliott model of bursty loss: a direction alternates between a calm and a bad state,
// whose durations are exponential with the means Calm and Bad. In the bad state the share Loss of the
// datagrams is lost. The zero value is always calm.
type Burst struct {
	Calm, Bad time.Duration
	Loss      float64
}

// Impairment describes the faults of a direction. The zero value has no faults. Shares are from 0 to 1;
// delays are drawn uniformly for each copy.
type Impairment struct {
	Cut       bool    // drops every datagram
	Loss      float64 // share of datagrams that are lost, independently of one another
	Burst     Burst
	Delay     scenario.TimeSpan // delay of each copy
	Reorder   float64           // share of copies that are held back so that others overtake them
	HoldTime  scenario.TimeSpan // additional delay of a copy that is held back
	Duplicate float64           // share of datagrams delivered twice, with other faults drawn for each copy
	Flip      float64           // share of copies with up to maxFlips bits flipped
	Truncate  float64           // share of copies that are truncated
}

// Fault applies an Impairment to the datagrams between some agents.
type Fault struct {
	Impairment
	From, To []int // agent numbers, from 0; empty: all
}

// FromFaultSpec returns the fault that a FaultSpec of kind datagrams describes. Its shares and mean times are
// drawn.
func FromFaultSpec(t *scenario.FaultSpec, random *rand.Rand) Fault {
	return Fault{From: t.From, To: t.To, Impairment: Impairment{
		Cut: t.Cut, Loss: t.Loss.Draw(random),
		Burst: Burst{Calm: t.Calm.Draw(random), Bad: t.Bad.Draw(random), Loss: t.BurstLoss.Draw(random)},
		Delay: t.Delay, Reorder: t.Reorder.Draw(random), HoldTime: t.HoldBack, Duplicate: t.Duplicate.Draw(random),
		Flip: t.Flip.Draw(random), Truncate: t.Shorten.Draw(random),
	}}
}

// String lists the faults in words.
func (w Impairment) String() string {
	var parts []string
	add := func(condition bool, format string, args ...any) {
		if condition {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add(w.Cut, "cut")
	add(w.Loss > 0, "loses %.3g", w.Loss)
	add(w.Burst.Loss > 0, "loses %.3g for %v after %v", w.Burst.Loss, w.Burst.Bad, w.Burst.Calm)
	add(w.Delay.High > 0, "late by %v to %v", w.Delay.Low, w.Delay.High)
	add(w.Reorder > 0, "holds %.3g back for %v to %v", w.Reorder, w.HoldTime.Low, w.HoldTime.High)
	add(w.Duplicate > 0, "doubles %.3g", w.Duplicate)
	add(w.Flip > 0, "flips bits in %.3g", w.Flip)
	add(w.Truncate > 0, "shortens %.3g", w.Truncate)
	return strings.Join(parts, ", ")
}

// Limits of a fault.
const (
	maxDelay = 10 * time.Minute
	maxFlips = 8
	// maxDirections limits the directions with stored state. A fleet of more than a thousand agents that all
	// exchange datagrams exceeds it; all state is then dropped at once, and bursts restart.
	maxDirections = 1 << 20
)

// Check returns an error for a value of the fault that is out of range for the given number of agents.
func (f *Fault) Check(agents int) error {
	for _, s := range []struct {
		name  string
		share float64
	}{
		{"loss", f.Loss},
		{"loss in bursts", f.Burst.Loss},
		{"reorder", f.Reorder},
		{"double", f.Duplicate},
		{"flip", f.Flip},
		{"shorten", f.Truncate},
	} {
		if !(s.share >= 0 && s.share <= 1) {
			return fmt.Errorf("mishap: %s is %v; allowed: 0 to 1", s.name, s.share)
		}
	}
	for _, s := range []scenario.TimeSpan{f.Delay, f.HoldTime} {
		if s.Low < 0 || s.High < s.Low || s.High > maxDelay {
			return fmt.Errorf("mishap: a delay from %v to %v; allowed: 0 to %v", s.Low, s.High, maxDelay)
		}
	}
	if b := f.Burst; b.Calm < 0 || b.Bad < 0 || b.Loss > 0 && (b.Calm == 0 || b.Bad == 0) {
		return fmt.Errorf("mishap: bursts need mean times above zero; calm is %v, bad is %v", b.Calm, b.Bad)
	}
	for _, a := range append(slices.Clone(f.From), f.To...) {
		if a < 0 || a >= agents {
			return fmt.Errorf("mishap: no agent %d of %d", a, agents)
		}
	}
	return nil
}

func (f *Fault) appliesTo(from, to int) bool {
	return (len(f.From) == 0 || slices.Contains(f.From, from)) && (len(f.To) == 0 || slices.Contains(f.To, to))
}

// Delivery is a copy of a datagram to deliver, Delay later than without faults.
type Delivery struct {
	Delay time.Duration
	Data  []byte
}

// Counts counts the datagrams that were sent while a fault applied to their direction, by what happened to
// them.
type Counts struct {
	Sent       int // datagrams sent
	Cut        int // datagrams dropped by Impairment.Cut
	Lost       int // datagrams dropped at random
	Duplicated int // datagrams delivered twice
	HeldBack   int // copies held back
	Flipped    int // copies with flipped bits
	Truncated  int // truncated copies
	Copies     int // copies to deliver: Sent - Cut - Lost + Duplicated
}

// Network is the network between the agents. It is not safe for concurrent use.
type Network struct {
	seed       uint64
	agents     int
	lastID     int
	active     []activeFault
	states     map[direction]*directionState
	generation uint64 // number of times that states was cleared; part of the random seed
	counts     Counts
}

type activeFault struct {
	id int
	Fault
}

type direction struct{ from, to int32 }

// directionState is the stored state of a direction.
type directionState struct {
	datagrams uint64 // number of datagrams so far
	bursts    []burstState
}

// burstState is the state of a fault's burst model in a direction at a time.
type burstState struct {
	id  int
	bad bool
	at  time.Duration
}

// New returns a network without faults between the given number of agents.
func New(seed uint64, agents int) *Network {
	return &Network{seed: seed, agents: agents, states: map[direction]*directionState{}}
}

// Begin adds a fault to the network and returns the ID with which End removes it. Concurrent faults combine:
// losses as independent events, delays by addition. The error is that of Fault.Check.
func (n *Network) Begin(f Fault) (id int, err error) {
	if err := f.Check(n.agents); err != nil {
		return 0, err
	}
	n.lastID++
	n.active = append(n.active, activeFault{n.lastID, f})
	return n.lastID, nil
}

// End removes a fault. An unknown ID is ignored.
func (n *Network) End(id int) {
	n.active = slices.DeleteFunc(n.active, func(a activeFault) bool { return a.id == id })
	if len(n.active) == 0 { // makes later faults independent of the datagrams sent before
		clear(n.states)
		n.generation++
	}
}

// Counts returns the counts so far.
func (n *Network) Counts() Counts { return n.counts }

// Transmit applies the faults to a datagram that one agent sends to another at time now, and returns the
// copies to deliver: none, one or two. It does not change data; unchanged copies share it.
func (n *Network) Transmit(now time.Duration, from, to int, data []byte) []Delivery {
	faults, applies := Impairment{}, false
	var state *directionState
	for i := range n.active {
		a := &n.active[i]
		if !a.appliesTo(from, to) {
			continue
		}
		if !applies {
			applies, state = true, n.state(direction{int32(from), int32(to)})
		}
		faults.add(a.Impairment)
		if a.Burst.Loss > 0 && state.inLossBurst(now, a, n.newRand(from, to, uint64(a.id)<<32|state.datagrams)) {
			faults.Loss = eitherProbability(faults.Loss, a.Burst.Loss)
		}
	}
	if !applies {
		return []Delivery{{Data: data}}
	}
	state.datagrams++
	n.counts.Sent++
	return n.deliveries(&faults, n.newRand(from, to, state.datagrams), data)
}

// newRand returns the random source of one datagram of a direction, independent of draws for other datagrams.
func (n *Network) newRand(from, to int, nth uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.seed+n.generation<<48, mix(uint64(from)<<32|uint64(uint32(to)))^mix(nth)))
}

// deliveries draws the faults of a datagram. All values are drawn, used or not, in a fixed order.
func (n *Network) deliveries(faults *Impairment, random *rand.Rand, data []byte) []Delivery {
	lost, doubled := random.Float64() < faults.Loss, random.Float64() < faults.Duplicate
	switch {
	case faults.Cut:
		n.counts.Cut++
		return nil
	case lost:
		n.counts.Lost++
		return nil
	}
	out := make([]Delivery, 1, 2)
	if doubled {
		n.counts.Duplicated++
		out = out[:2]
	}
	for i := range out {
		out[i] = n.delivery(faults, random, data)
	}
	n.counts.Copies += len(out)
	return out
}

func (n *Network) delivery(faults *Impairment, random *rand.Rand, data []byte) Delivery {
	c := Delivery{Delay: faults.Delay.Draw(random), Data: data}
	held, holdTime := random.Float64() < faults.Reorder, faults.HoldTime.Draw(random)
	flip, shorten := random.Float64() < faults.Flip, random.Float64() < faults.Truncate
	if held {
		n.counts.HeldBack++
		c.Delay += holdTime
	}
	if shorten && len(data) > 0 {
		n.counts.Truncated++
		c.Data = data[:random.IntN(len(data)):len(data)]
	}
	if flip && len(c.Data) > 0 {
		n.counts.Flipped++
		c.Data = slices.Clone(c.Data)
		first := random.IntN(8 * len(c.Data))
		c.Data[first/8] ^= 1 << (first % 8) // this bit stays flipped; further flips may cancel each other out
		for range random.IntN(maxFlips) {
			if bit := random.IntN(8 * len(c.Data)); bit != first {
				c.Data[bit/8] ^= 1 << (bit % 8)
			}
		}
	}
	return c
}

// state returns the stored state of a direction and creates it if necessary.
func (n *Network) state(d direction) *directionState {
	s := n.states[d]
	if s == nil {
		if len(n.states) >= maxDirections {
			clear(n.states)
			n.generation++
		}
		s = &directionState{}
		n.states[d] = s
	}
	return s
}

// inLossBurst reports whether a fault's burst model is in the bad state in this direction. It draws the state
// directly from the previous one and the time since, which is exact and has the same cost for any interval.
func (s *directionState) inLossBurst(now time.Duration, a *activeFault, random *rand.Rand) bool {
	i := slices.IndexFunc(s.bursts, func(b burstState) bool { return b.id == a.id })
	share := a.Burst.Bad.Seconds() / (a.Burst.Bad + a.Burst.Calm).Seconds()
	probability := share // probability of the bad state
	if i < 0 {
		if len(s.bursts) >= 64 { // entries of faults that have ended accumulate
			s.bursts = s.bursts[:0]
		}
		i = len(s.bursts)
		s.bursts = append(s.bursts, burstState{id: a.id})
	} else {
		previous := 0.0
		if s.bursts[i].bad {
			previous = 1
		}
		elapsed := max(now-s.bursts[i].at, 0).Seconds()
		probability += (previous - share) * math.Exp(-elapsed/a.Burst.Bad.Seconds()-elapsed/a.Burst.Calm.Seconds())
	}
	s.bursts[i].bad, s.bursts[i].at = random.Float64() < probability, now
	return s.bursts[i].bad
}

// add combines w with the faults of v.
func (w *Impairment) add(v Impairment) {
	w.Cut = w.Cut || v.Cut
	w.Loss, w.Duplicate = eitherProbability(w.Loss, v.Loss), eitherProbability(w.Duplicate, v.Duplicate)
	w.Flip, w.Truncate = eitherProbability(w.Flip, v.Flip), eitherProbability(w.Truncate, v.Truncate)
	w.Delay.Low, w.Delay.High = w.Delay.Low+v.Delay.Low, w.Delay.High+v.Delay.High
	if v.Reorder > 0 { // if both hold copies back, the longer range applies
		w.Reorder = eitherProbability(w.Reorder, v.Reorder)
		w.HoldTime.Low, w.HoldTime.High = max(w.HoldTime.Low, v.HoldTime.Low), max(w.HoldTime.High, v.HoldTime.High)
	}
}

// eitherProbability returns the probability that at least one of two independent events occurs.
func eitherProbability(a, b float64) float64 { return 1 - (1-a)*(1-b) }

// mix is the finalizer of SplitMix64: every bit of the result depends on every bit of v.
func mix(v uint64) uint64 {
	v += 0x9E3779B97F4A7C15
	v = (v ^ v>>30) * 0xBF58476D1CE4E5B9
	v = (v ^ v>>27) * 0x94D049BB133111EB
	return v ^ v>>31
}
