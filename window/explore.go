package window

import (
	"encoding/binary"
	"maps"
	"time"

	"dunestep/fleet/lease"
)

// For searches that try all that can happen (package search): parts of a world are copied before each step,
// and told apart by their fingerprints.

// Fork returns a copy that goes its own way.
func (c *Council) Fork() *Council {
	d := *c
	d.learnt, d.last = maps.Clone(c.learnt), maps.Clone(c.last)
	d.hearing.agents, d.hearing.leases = maps.Clone(c.hearing.agents), maps.Clone(c.hearing.leases)
	return &d
}

// Hurry has the council propose again at once what it proposed, and forget what it heard: time stands still
// between a search's steps.
func (c *Council) Hurry() {
	c.last, c.hearing = map[string]proposed{}, hearing{
		agents: map[int][]told{}, leases: map[int]lease.Reading{},
		length: c.hearing.length,
	}
}

// Told has the council have heard one agent for long, which tells this now.
func (c *Council) Told(now lease.Reading, counts []Count) {
	ago := max(HeardFor*c.hearing.length, Summed)
	c.hearing.any, c.hearing.last = true, now
	c.hearing.since = lease.Reading{Unix: now.Unix - ago, Mono: now.Mono - ago}
	c.hearing.agents = map[int][]told{0: {{word{Counts: counts}, now}}}
}

// Detail is how much a fingerprint tells.
type Detail uint8

const (
	// Everything there is.
	Everything Detail = iota
	// Alive leaves out what can't matter any more to one that knows all that is agreed: when what is not planned
	// was applied, how long all has been well where it can't be paused any more, and everything once it returns.
	Alive
	// Lagging is of one that does not know all: what it proposes counts for nothing, and it applies what it
	// lacks later.
	Lagging
	// Quiet is Alive where no trouble is to come: what there was is over at the next look, and how long all has
	// been well matters to a paused one alone.
	Quiet
	// QuietLagging is both, where it may be paused.
	QuietLagging
	Details
)

// Fingerprint appends what tells the council from others that have learnt the same records and have hurried.
// Most is the longest that it waits after records.
func (c *Council) Fingerprint(now lease.Reading, most time.Duration, d Detail, b []byte) []byte {
	for _, f := range c.forms {
		l := c.learnt[f.ID]
		if d != Everything && (f.State == Returning || f.over()) {
			continue
		}
		if d == Everything || (d == Alive || d == Quiet) && f.State == Planned {
			b = age(b, l.at, now, most)
		}
		if d >= Quiet {
			if d == QuietLagging || f.State == Paused {
				b = l.calmed(b, now)
			}
			continue
		}
		if b = append(b, byte(len(l.trouble))); l.trouble != "" {
			b = age(b, l.troubled, now, patience)
		} else if d == Everything || f.State != Free {
			b = l.calmed(b, now)
		}
	}
	return b
}

// calmed appends since when all is well, or that the next look without trouble is the first.
func (l *learnt) calmed(b []byte, now lease.Reading) []byte {
	if l.trouble != "" || l.calm == (lease.Reading{}) {
		return append(b, 0xff)
	}
	return age(b, l.calm, now, calmed)
}

// age appends how old a reading is, as far as that counts.
func age(b []byte, r, now lease.Reading, most time.Duration) []byte {
	return binary.AppendVarint(b, int64(min(since(r, now), most)))
}

// Frees tells whether a record has a window be free.
func Frees(data []byte) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == freed
}
