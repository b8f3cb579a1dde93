// Package mishap decides what becomes of the datagrams between agents on a network that fails on purpose,
// for each direction of each pair by itself: lost, late, overtaken, doubled, with bits flipped, cut short,
// or nothing at all. It has no I/O, clock or goroutine: the time comes with each datagram, and the copies to
// deliver come back, each with how much later it is to arrive. So the rehearsal's virtual time and the
// sockets of a live fleet fail by the same code, and the same seed gives the same fate.
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

// Burst is a way that is calm or bad by turns (Gilbert and Elliott): both last for exponential times of these
// means, and in bad ones Loss of the datagrams are lost. The zero value is never bad.
type Burst struct {
	Calm, Bad time.Duration
	Loss      float64
}

// Way is what a direction does to datagrams. The zero value does nothing; shares are from 0 to 1, and times
// are drawn evenly for each copy.
type Way struct {
	Cut     bool    // nothing passes
	Loss    float64 // share that is lost
	Burst   Burst
	Delay   scenario.TimeSpan // by how much each copy is late
	Reorder float64           // share of the copies that are held back further, so that others overtake them,
	Held    scenario.TimeSpan // by so much
	Double  float64           // share that comes twice, each copy with a fate of its own
	Flip    float64           // share of the copies with up to maxFlips bits flipped
	Shorten float64           // share of the copies that lose their end
}

// Fault is a way between some agents.
type Fault struct {
	Way
	From, To []int // agents' numbers; empty: all
}

// FromTrouble is the fault of a scenario's trouble between agents; the shares and mean times that a day draws
// are drawn.
func FromTrouble(t *scenario.Trouble, chance *rand.Rand) Fault {
	return Fault{From: t.From, To: t.To, Way: Way{
		Cut: t.Cut, Loss: t.Loss.Draw(chance),
		Burst: Burst{Calm: t.Calm.Draw(chance), Bad: t.Bad.Draw(chance), Loss: t.BurstLoss.Draw(chance)},
		Delay: t.Delay, Reorder: t.Reorder.Draw(chance), Held: t.Held, Double: t.Double.Draw(chance),
		Flip: t.Flip.Draw(chance), Shorten: t.Shorten.Draw(chance),
	}}
}

// String says what the way does, in words.
func (w Way) String() string {
	var words []string
	add := func(does bool, format string, args ...any) {
		if does {
			words = append(words, fmt.Sprintf(format, args...))
		}
	}
	add(w.Cut, "cut")
	add(w.Loss > 0, "loses %.3g", w.Loss)
	add(w.Burst.Loss > 0, "loses %.3g for %v after %v", w.Burst.Loss, w.Burst.Bad, w.Burst.Calm)
	add(w.Delay.High > 0, "late by %v to %v", w.Delay.Low, w.Delay.High)
	add(w.Reorder > 0, "holds %.3g back for %v to %v", w.Reorder, w.Held.Low, w.Held.High)
	add(w.Double > 0, "doubles %.3g", w.Double)
	add(w.Flip > 0, "flips bits in %.3g", w.Flip)
	add(w.Shorten > 0, "shortens %.3g", w.Shorten)
	return strings.Join(words, ", ")
}

// The most that a fault may hold.
const (
	maxDelay = 10 * time.Minute
	maxFlips = 8
	// maxDirections bounds what is remembered of directions. Past it all is forgotten at once, and bursts begin
	// anew: a fleet of over a thousand agents that all talk to all.
	maxDirections = 1 << 20
)

// Check tells what is out of range in a fault among so many agents.
func (f *Fault) Check(agents int) error {
	for _, s := range []struct {
		name  string
		share float64
	}{
		{"loss", f.Loss},
		{"loss in bursts", f.Burst.Loss},
		{"reorder", f.Reorder},
		{"double", f.Double},
		{"flip", f.Flip},
		{"shorten", f.Shorten},
	} {
		if !(s.share >= 0 && s.share <= 1) {
			return fmt.Errorf("mishap: %s is %v, which is no share from 0 to 1", s.name, s.share)
		}
	}
	for _, s := range []scenario.TimeSpan{f.Delay, f.Held} {
		if s.Low < 0 || s.High < s.Low || s.High > maxDelay {
			return fmt.Errorf("mishap: a delay from %v to %v; allowed: 0 to %v", s.Low, s.High, maxDelay)
		}
	}
	if b := f.Burst; b.Calm < 0 || b.Bad < 0 || b.Loss > 0 && (b.Calm == 0 || b.Bad == 0) {
		return fmt.Errorf("mishap: bursts need mean times above zero for calm, %v, and bad, %v", b.Calm, b.Bad)
	}
	for _, a := range append(slices.Clone(f.From), f.To...) {
		if a < 0 || a >= agents {
			return fmt.Errorf("mishap: there is no agent %d of %d", a, agents)
		}
	}
	return nil
}

func (f *Fault) concerns(from, to int) bool {
	return (len(f.From) == 0 || slices.Contains(f.From, from)) && (len(f.To) == 0 || slices.Contains(f.To, to))
}

// Copy is a datagram to deliver, so much later than it would have come.
type Copy struct {
	After time.Duration
	Data  []byte
}

// Counts is what became of the datagrams that came while a fault concerned their direction.
type Counts struct {
	Came    int // to the network
	Cut     int // and did not pass
	Lost    int // by chance
	Doubled int
	Held    int // copies, as are those that follow
	Flipped int
	Short   int
	Copies  int // to deliver: Came - Cut - Lost + Doubled
}

// Net is the network between the agents. It is for one goroutine.
type Net struct {
	seed   uint64
	agents int
	next   int
	active []active
	states map[direction]*state
	era    uint64 // how often the directions were forgotten
	counts Counts
}

type active struct {
	id int
	Fault
}

type direction struct{ from, to int32 }

// state is what is remembered of a direction.
type state struct {
	n      uint64 // datagrams so far
	bursts []burst
}

// burst is whether a fault's bursts had the direction at a time.
type burst struct {
	id  int
	bad bool
	at  time.Duration
}

// New is a network without faults between so many agents.
func New(seed uint64, agents int) *Net {
	return &Net{seed: seed, agents: agents, states: map[direction]*state{}}
}

// Begin has a fault come over the network, beside those that there are: losses add up as independent ones do,
// delays one after the other. End with the number that it returns takes it away. The error is Check's.
func (n *Net) Begin(f Fault) (id int, err error) {
	if err := f.Check(n.agents); err != nil {
		return 0, err
	}
	n.next++
	n.active = append(n.active, active{n.next, f})
	return n.next, nil
}

// End takes a fault away; one that there is not is none.
func (n *Net) End(id int) {
	n.active = slices.DeleteFunc(n.active, func(a active) bool { return a.id == id })
	if len(n.active) == 0 { // so that a spell's fate does not hang on how many came in the one before
		clear(n.states)
		n.era++
	}
}

// Counts is what became of the datagrams so far.
func (n *Net) Counts() Counts { return n.counts }

// Pass tells what becomes of a datagram that an agent sends to another at a time: the copies to deliver.
// Data is not changed; copies that are whole share it.
func (n *Net) Pass(now time.Duration, from, to int, data []byte) []Copy {
	w, concerned := Way{}, false
	var s *state
	for i := range n.active {
		a := &n.active[i]
		if !a.concerns(from, to) {
			continue
		}
		if !concerned {
			concerned, s = true, n.state(direction{int32(from), int32(to)})
		}
		w.add(a.Way)
		if a.Burst.Loss > 0 && s.isBad(now, a, n.chance(from, to, uint64(a.id)<<32|s.n)) {
			w.Loss = either(w.Loss, a.Burst.Loss)
		}
	}
	if !concerned {
		return []Copy{{Data: data}}
	}
	s.n++
	n.counts.Came++
	return n.copies(&w, n.chance(from, to, s.n), data)
}

// chance is a source for one datagram of a direction: what is drawn for others does not change its fate.
func (n *Net) chance(from, to int, nth uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.seed+n.era<<48, mix(uint64(from)<<32|uint64(uint32(to)))^mix(nth)))
}

// copies draws a datagram's fate. All is drawn, used or not, in one order.
func (n *Net) copies(w *Way, chance *rand.Rand, data []byte) []Copy {
	lost, doubled := chance.Float64() < w.Loss, chance.Float64() < w.Double
	switch {
	case w.Cut:
		n.counts.Cut++
		return nil
	case lost:
		n.counts.Lost++
		return nil
	}
	out := make([]Copy, 1, 2)
	if doubled {
		n.counts.Doubled++
		out = out[:2]
	}
	for i := range out {
		out[i] = n.copy(w, chance, data)
	}
	n.counts.Copies += len(out)
	return out
}

func (n *Net) copy(w *Way, chance *rand.Rand, data []byte) Copy {
	c := Copy{After: w.Delay.Draw(chance), Data: data}
	held, by := chance.Float64() < w.Reorder, w.Held.Draw(chance)
	flips, short := chance.Float64() < w.Flip, chance.Float64() < w.Shorten
	if held {
		n.counts.Held++
		c.After += by
	}
	if short && len(data) > 0 {
		n.counts.Short++
		c.Data = data[:chance.IntN(len(data)):len(data)]
	}
	if flips && len(c.Data) > 0 {
		n.counts.Flipped++
		c.Data = slices.Clone(c.Data)
		first := chance.IntN(8 * len(c.Data))
		c.Data[first/8] ^= 1 << (first % 8) // one for sure: two others might cancel out
		for range chance.IntN(maxFlips) {
			if bit := chance.IntN(8 * len(c.Data)); bit != first {
				c.Data[bit/8] ^= 1 << (bit % 8)
			}
		}
	}
	return c
}

// state is what is known of a direction.
func (n *Net) state(d direction) *state {
	s := n.states[d]
	if s == nil {
		if len(n.states) >= maxDirections {
			clear(n.states)
			n.era++
		}
		s = &state{}
		n.states[d] = s
	}
	return s
}

// isBad tells whether a fault's burst has the direction now. Between two datagrams the chain is not followed:
// its state after any time is drawn at once, which is exact and costs the same after an hour.
func (s *state) isBad(now time.Duration, a *active, chance *rand.Rand) bool {
	i := slices.IndexFunc(s.bursts, func(b burst) bool { return b.id == a.id })
	share := a.Burst.Bad.Seconds() / (a.Burst.Bad + a.Burst.Calm).Seconds()
	bad := share // the chance of it
	if i < 0 {
		if len(s.bursts) >= 64 { // of faults that have ended
			s.bursts = s.bursts[:0]
		}
		i = len(s.bursts)
		s.bursts = append(s.bursts, burst{id: a.id})
	} else {
		was := 0.0
		if s.bursts[i].bad {
			was = 1
		}
		passed := max(now-s.bursts[i].at, 0).Seconds()
		bad += (was - share) * math.Exp(-passed/a.Burst.Bad.Seconds()-passed/a.Burst.Calm.Seconds())
	}
	s.bursts[i].bad, s.bursts[i].at = chance.Float64() < bad, now
	return s.bursts[i].bad
}

// add puts a way after another.
func (w *Way) add(v Way) {
	w.Cut = w.Cut || v.Cut
	w.Loss, w.Double = either(w.Loss, v.Loss), either(w.Double, v.Double)
	w.Flip, w.Shorten = either(w.Flip, v.Flip), either(w.Shorten, v.Shorten)
	w.Delay.Low, w.Delay.High = w.Delay.Low+v.Delay.Low, w.Delay.High+v.Delay.High
	if v.Reorder > 0 { // of two that hold back, the longer
		w.Reorder = either(w.Reorder, v.Reorder)
		w.Held.Low, w.Held.High = max(w.Held.Low, v.Held.Low), max(w.Held.High, v.Held.High)
	}
}

// either is the chance of one or both of two.
func either(a, b float64) float64 { return 1 - (1-a)*(1-b) }

// mix is the finaliser of SplitMix64: every bit of the result hangs on every bit of v.
func mix(v uint64) uint64 {
	v += 0x9E3779B97F4A7C15
	v = (v ^ v>>30) * 0xBF58476D1CE4E5B9
	v = (v ^ v>>27) * 0x94D049BB133111EB
	return v ^ v>>31
}
