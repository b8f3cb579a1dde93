package outlier

const (
	maxEjectedFraction = 0.5 // of the ring: where more is ejected, one cause is likelier
	manyLocalShortages = 3.0 // attempts, decayed: the agent doubts itself
)

// distrust is why verdicts should not be followed.
type distrust uint8

const (
	trusted          distrust = iota
	distrustShortage          // the agent itself is short of something
	distrustSilence           // most servers are silent at once
	distrustAll               // no server is left
)

// distrustTexts stand in log lines.
var distrustTexts = [...]string{
	trusted: "", distrustShortage: "the agent itself is short of something",
	distrustSilence: "silent at once: the network near this agent, or what all depend on",
	distrustAll:     "all of them fail",
}

// DistrustReason is why verdicts should not be followed now, for the log; empty: they should.
func (d *Detector) DistrustReason() string { return distrustTexts[d.distrust] }

// updateDistrust looks for one cause where much of the ring is ejected. Servers that said so, by errors and
// refused connects, are ejected however many they are, as long as one is left. Silence of most is likelier
// near this agent: then its verdicts are not to be followed, lest the last servers get the load of all the
// others.
func (d *Detector) updateDistrust() {
	ring, ejected, silent := 0, 0, 0
	clear(d.ejectedForClass)
	for _, s := range d.servers {
		if !s.onRing {
			continue
		}
		ring++
		if s.isEjected || s.damped {
			ejected++
		}
		if s.isEjected && s.isSilent || s.damped && !s.isEjected {
			silent++
		}
		for class := range s.classes {
			if s.classes[class].isEjected {
				d.ejectedForClass[class]++
			}
		}
	}
	isMany := func(n int) bool { return float64(n) > maxEjectedFraction*float64(ring) }
	for class, n := range d.ejectedForClass {
		d.ignoreClassVerdict[class] = isMany(n)
	}
	switch {
	case !isMany(ejected):
		d.distrust = trusted
	case d.localShortages >= manyLocalShortages:
		d.distrust = distrustShortage
	case 2*silent > ejected:
		d.distrust = distrustSilence
	case ejected == ring:
		d.distrust = distrustAll
	default:
		d.distrust = trusted
	}
}
