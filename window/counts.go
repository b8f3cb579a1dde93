package window

import (
	"maps"
	"slices"
	"time"

	"dunestep/fleet/lease"
)

// Count is how a tenant's requests fared at one agent since it told last.
type Count struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	Asked  uint32
	Served uint32
	Failed uint32 // or refused
	First  uint32 // sent to a server that they should have kept off, as no other was left
}

// word is what an agent tells voters while a window moves something.
type word struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Number      uint64 // rises with each
	Storm       bool
	Counts      []Count
}

const (
	// TellEvery is how often agents tell, Summed for how long what they told counts.
	TellEvery = 2 * time.Second
	Summed    = 10 * time.Second
	// HeardFor is for how long, in leases' lengths, a voter has to have heard agents until what it did not hear
	// counts too; never for less than Summed.
	HeardFor = 7
	// silent is how long no agent at all may be silent for what was told to count as unbroken.
	silent = 3 * TellEvery
	// MaxCounts are told at once, of the tenants that a window moves; maxAgents are heard, maxWords of each.
	MaxCounts = 32
	maxAgents = 512
	maxWords  = 6
	// asking is within how many leases' lengths an agent that holds leases has asked each voter, though requests
	// are lost.
	asking = 15
	// enough requests of a tenant, in what counts, say something about its service.
	enough = 20
	// stormy is the part of those that tell whose storm gate is on from which it is trouble.
	stormy = 0.2
)

// Tell returns what an agent tells voters. Counts are those since it told last.
func Tell(incarnation, number uint64, counts []Count, storm bool) []byte {
	return marshal(word{
		Incarnation: incarnation, Number: number, Storm: storm,
		Counts: counts[:min(len(counts), MaxCounts)],
	})
}

// told is a word, and when it came.
type told struct {
	word
	at lease.Reading
}

// hearing is what one voter has heard of late.
type hearing struct {
	agents map[int][]told // the newest last
	since  lease.Reading  // unbroken
	last   lease.Reading
	any    bool
	leases map[int]lease.Reading // when this voter granted an agent one last
	length time.Duration         // of a lease
}

// heard takes a word. What comes twice or too late counts once.
func (h *hearing) heard(now lease.Reading, agent int, data []byte) {
	var w word
	if len(data) > 8<<10 || decoding.Unmarshal(data, &w) != nil || len(w.Counts) > MaxCounts {
		return
	}
	all, known := h.agents[agent]
	if !known && len(h.agents) >= maxAgents {
		return
	}
	for _, t := range all {
		if t.Incarnation > w.Incarnation || t.Incarnation == w.Incarnation && t.Number >= w.Number {
			return
		}
	}
	if !h.any || now.Since(h.last) > silent {
		h.since, h.any = now, true
	}
	h.last = now
	all = append(all, told{w, now})
	h.agents[agent] = all[max(len(all)-maxWords, 0):]
}

// forget drops what counts no more.
func (h *hearing) forget(now lease.Reading) {
	for agent, all := range h.agents {
		all = slices.DeleteFunc(all, func(t told) bool { return now.Since(t.at) >= Summed })
		if h.agents[agent] = all; len(all) == 0 {
			delete(h.agents, agent)
		}
	}
	maps.DeleteFunc(h.leases, func(_ int, at lease.Reading) bool { return now.Since(at) >= asking*h.length })
}

// granted takes that this voter has granted an agent a lease. Agents ask the voters in turn.
func (h *hearing) granted(now lease.Reading, agent int) {
	if _, known := h.leases[agent]; known || len(h.leases) < maxAgents {
		h.leases[agent] = now
	}
}

// stranger tells of an agent that holds leases and tells nothing: it is of a build that knows no windows.
func (h *hearing) stranger(now lease.Reading) (agent int, is bool) {
	for agent, at := range h.leases {
		if since(at, now) < asking*h.length && len(h.agents[agent]) == 0 {
			return agent, true
		}
	}
	return 0, false
}

// whole tells whether what was heard reaches back for long enough: as far as counts are summed, and such that
// each agent that holds leases will have asked for one here.
func (h *hearing) whole(now lease.Reading) bool {
	return h.any && now.Since(h.last) <= silent && since(h.since, now) >= max(HeardFor*h.length, Summed)
}

// sum adds up what was told of a tenant.
func (h *hearing) sum(tenant string) (c Count) {
	for _, all := range h.agents {
		for _, t := range all {
			for _, k := range t.Counts {
				if k.Tenant == tenant {
					c.Asked, c.Served = c.Asked+k.Asked, c.Served+k.Served
					c.Failed, c.First = c.Failed+k.Failed, c.First+k.First
				}
			}
		}
	}
	return c
}

// storms tells whether more than a part of those that tell have their storm gate on.
func (h *hearing) storms() bool {
	n := 0
	for _, all := range h.agents {
		if len(all) > 0 && all[len(all)-1].Storm {
			n++
		}
	}
	return float64(n) > stormy*float64(len(h.agents))
}

// since is how long ago an earlier reading was at the least, by the clock that says less.
func since(earlier, now lease.Reading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}
