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

// ringTally counts servers on the ring.
type ringTally struct{ members, ejected, silent int }

// tallied is what a server contributes to the tallies.
type tallied struct{ isMember, isEjected, isSilent bool }

// contribution returns what the server's present state contributes to the tally.
func (s *Server) contribution() tallied {
	if !s.onRing {
		return tallied{}
	}
	return tallied{
		isMember: true, isEjected: s.isEjected || s.damped,
		isSilent: s.isEjected && s.isSilent || s.damped && !s.isEjected,
	}
}

// add adds a server's contribution, times is 1 or -1.
func (t *ringTally) add(c tallied, times int) {
	if c.isMember {
		t.members += times
	}
	if c.isEjected {
		t.ejected += times
	}
	if c.isSilent {
		t.silent += times
	}
}

// updateDistrust updates the tallies after a server's state has changed, and decides again whether to
// distrust the verdicts. Only the changed server is examined, since a list change changes many of thousands.
func (d *Detector) updateDistrust(changed *Server) {
	d.tally.add(changed.tallied, -1)
	changed.tallied = changed.contribution()
	d.tally.add(changed.tallied, 1)
	for class := range changed.classes {
		c := &changed.classes[class]
		if isTallied := changed.onRing && c.isEjected; isTallied != c.isTallied {
			c.isTallied = isTallied
			if isTallied {
				d.ejectedForClass[class]++
			} else {
				d.ejectedForClass[class]--
			}
		}
	}
	d.decideDistrust()
}

// decideDistrust decides whether one common cause explains that much of the ring is ejected. Servers that
// return errors or refuse connects are ejected however many they are, as long as one server remains. If most
// are silent, the cause is more likely near this agent: following the verdicts would then move the load of
// all servers to the last ones.
func (d *Detector) decideDistrust() {
	members, ejected, silent := d.tally.members, d.tally.ejected, d.tally.silent
	isMany := func(n int) bool { return float64(n) > maxEjectedFraction*float64(members) }
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
	case ejected == members:
		d.distrust = distrustAll
	default:
		d.distrust = trusted
	}
}
