package outlier

const (
	maxEjectedFraction = 0.5 // fraction of the ring; if more is ejected, one common cause is likely
	manyLocalShortages = 3.0 // decayed count of attempts from which the agent itself may be the cause
)

// distrust is the reason why verdicts should not be followed.
type distrust uint8

const (
	trusted          distrust = iota
	distrustShortage          // the agent itself lacks a resource
	distrustSilence           // most servers are silent at once
	distrustAll               // all servers are ejected
)

// distrustTexts are the reasons as they appear in log lines.
var distrustTexts = [...]string{
	trusted: "", distrustShortage: "the agent itself is short of something",
	distrustSilence: "silent at once: the network near this agent, or a dependency of all servers",
	distrustAll:     "all of them fail",
}

// DistrustReason returns why verdicts should not be followed now, for the log, or "" if they should be
// followed.
func (d *Detector) DistrustReason() string { return distrustTexts[d.distrust] }

// updateDistrust decides whether one common cause explains that much of the ring is ejected. Servers that
// return errors or refuse connects are ejected however many they are, as long as one server remains. If most
// are silent, the cause is more likely near this agent: following the verdicts would then move the load of
// all servers to the last ones.
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
