package window

import (
	"slices"
	"time"

	"dunestep/fleet/lease"
	"dunestep/policy"
)

// Council brings windows through their course. Each voter has one, and the leader proposes what its says;
// whoever becomes leader goes on from the log, and from when it applied things itself.
type Council struct {
	set     CouncilSettings
	begin   lease.Reading
	forms   []*form
	learnt  map[string]learnt
	hearing hearing
	whole   float64 // the most capacity that was listed while windows were known
	last    map[string]proposed
}

// CouncilSettings are the same at all voters.
type CouncilSettings struct {
	Times policy.Times
	// Linger is the longest that a request may still be on its way; 30 s.
	Linger time.Duration
	// Margin is waited for beside, for clocks that differ; 10 s.
	Margin time.Duration
}

// Usual returns the settings with the defaults for what is zero.
func (s CouncilSettings) Usual() CouncilSettings {
	s.Times = s.Times.Usual()
	if s.Linger == 0 {
		s.Linger = 30 * time.Second
	}
	if s.Margin == 0 {
		s.Margin = 10 * time.Second
	}
	return s
}

// learnt is when a window was applied here, as it is now, and what has come of it since.
type learnt struct {
	changes  uint64
	at       lease.Reading
	trouble  string
	first    bool          // the trouble is that no other server is left
	troubled lease.Reading // since when there has been some
	calm     lease.Reading // since when there has been none
}

// proposed is what was proposed last: not again before a while.
type proposed struct {
	kind    kind
	changes uint64
	again   time.Duration
}

// View is what the leader's own process sees.
type View struct {
	Standing lease.Standing
	Acting   policy.Acting // by it
	InForce  uint64        // the newest version that was activated
	Open     bool          // a change of policy is open
	Nodes    []Node        // its own list; those that are not ready are Absent, or left out
}

const (
	// proposeAgain is after how long what was proposed and is not in the log is proposed again; lookAgain how
	// often windows that move something are looked at, lookAhead the others.
	proposeAgain = 200 * time.Millisecond
	lookAgain    = 250 * time.Millisecond
	lookAhead    = 5 * time.Second
	// patience is for how long there may be trouble until a window returns, calmed how long there has to be none
	// until one that was paused goes on.
	patience = 30 * time.Second
	calmed   = 10 * time.Second
	// restless is how often a window may change: one that is paused ever again returns.
	restless = 24
)

// NewCouncil returns the Council of a process that begins now.
func NewCouncil(set CouncilSettings, now lease.Reading) *Council {
	set = set.Usual()
	return &Council{
		set: set, begin: now, learnt: map[string]learnt{}, last: map[string]proposed{},
		hearing: hearing{
			agents: map[int][]told{}, leases: map[int]lease.Reading{},
			length: set.Times.Terms.Length,
		},
	}
}

// Learn takes what the log says now, as soon as records were applied, by any voter.
func (c *Council) Learn(now lease.Reading, m *Machine) {
	c.forms = m.st.Windows
	known := map[string]learnt{}
	for _, f := range c.forms {
		l, was := c.learnt[f.ID]
		if !was || l.changes != f.Changes {
			l.changes, l.at = f.Changes, now
		}
		known[f.ID] = l
	}
	c.learnt = known
	for id := range c.last {
		if _, is := known[id]; !is {
			delete(c.last, id)
		}
	}
	if len(known) == 0 {
		c.whole = 0
	}
}

// Heard takes what an agent told.
func (c *Council) Heard(now lease.Reading, agent int, data []byte) { c.hearing.heard(now, agent, data) }

// Granted takes that this voter has granted an agent a lease.
func (c *Council) Granted(now lease.Reading, agent int) {
	if !c.Idle() {
		c.hearing.granted(now, agent)
	}
}

// Idle tells whether no window is ahead or under way.
func (c *Council) Idle() bool {
	return !slices.ContainsFunc(c.forms, func(f *form) bool { return !f.over() })
}

// Due returns what the leader is to propose to the log, and when to ask again at the latest, by the steady
// clock. See is asked only where there are windows.
func (c *Council) Due(now lease.Reading, see func() View) (records [][]byte, next time.Duration) {
	if c.Idle() {
		return nil, now.Mono + lookAhead
	}
	next = now.Mono + lookAhead
	c.hearing.forget(now)
	v := see()
	c.whole = max(c.whole, capacity(v.Nodes))
	for _, f := range c.forms {
		if f.over() {
			continue
		}
		if now.Unix >= f.From-lookAhead {
			next = min(next, now.Mono+lookAgain)
		}
		if r, is := c.step(now, v, f); is {
			if data := c.once(now, f, r); data != nil {
				records = append(records, data)
			}
			next = min(next, now.Mono+proposeAgain)
		}
	}
	return records, next
}

// once gives the record, unless it may be on its way.
func (c *Council) once(now lease.Reading, f *form, r record) []byte {
	p := proposed{kind: r.Kind, changes: f.Changes}
	if was := c.last[f.ID]; was.kind == p.kind && was.changes == p.changes && now.Mono < was.again {
		return nil
	}
	p.again = now.Mono + proposeAgain
	c.last[f.ID] = p
	r.ID, r.Changes = f.ID, f.Changes
	return marshal(r)
}

// step is what is to become of a window next; is false: nothing yet.
func (c *Council) step(now lease.Reading, v View, f *form) (r record, is bool) {
	l := c.learnt[f.ID]
	r.Now = now.Unix
	switch {
	case f.Noted == 0:
		r.Kind, r.Now = noted, l.at.Unix
		return r, true
	case now.Unix >= f.To+c.set.Margin, f.State == Returning && f.moved(now.Unix) == 0:
		r.Kind = ended
		return r, now.Unix >= f.To || now.Unix >= f.Since+c.set.Margin
	}
	if reason := c.forbidden(now.Unix, v, f); reason != "" && f.State != Returning {
		r.Kind, r.Reason = returned, reason
		return r, true
	}
	if now.Unix < f.From || now.Unix >= f.Back || f.State == Returning {
		return r, false
	}
	c.look(now, v, f, &l)
	c.learnt[f.ID] = l
	return c.under(now, v, f, l, r)
}

// under is what is to become of one that is under way.
func (c *Council) under(now lease.Reading, v View, f *form, l learnt, r record) (record, bool) {
	switch {
	case l.first && f.State == Free:
		r.Kind, r.Reason = returned, l.trouble // it is not true any more
	case l.trouble != "" && (f.Changes >= restless || since(l.troubled, now) >= patience && f.State != Planned):
		r.Kind, r.Reason = returned, l.trouble
	case l.trouble != "" && f.State == Planned && f.planned(now.Unix) > 0:
		r.Kind, r.Reason = paused, l.trouble
	case l.trouble == "" && f.State == Paused && since(l.calm, now) >= calmed:
		r.Kind = resumed
	case l.trouble == "" && f.State == Planned && c.clear(now, v, f, l):
		r.Kind = freed
	default:
		return r, false
	}
	return r, true
}

// forbidden tells why a contract does not allow the rest of a window any more; empty: all do.
func (c *Council) forbidden(at time.Duration, v View, f *form) string {
	if v.Standing != lease.Full || v.Acting.How == policy.Bottom || v.Acting.Version < f.Policy ||
		v.Acting.Effect == nil || v.Acting.How == policy.Within && v.Acting.Effect.Contracts == nil {
		return "" // not known here
	}
	at = max(at, f.From)
	for _, t := range f.Tenants {
		k := v.Acting.Effect.Contracts[t]
		if k == nil {
			return "tenant " + t + " has no contract any more"
		}
		if _, to, ok := k.Run(at); at < f.To && (!ok || to < f.To) {
			return "the contract of tenant " + t + " does not allow it any more"
		}
	}
	return ""
}

// look notes whether there is trouble, and since when.
func (c *Council) look(now lease.Reading, v View, f *form, l *learnt) {
	was := l.trouble
	l.trouble, l.first = c.trouble(now, v, f), false
	if c.first(f) {
		l.trouble, l.first = "requests were sent there, as no other server was left", true
	}
	if l.trouble != "" && was == "" {
		l.troubled = now
	}
	if l.trouble == "" && (was != "" || l.calm == (lease.Reading{})) {
		l.calm = now
	}
}

// trouble tells what is wrong while a window is under way; empty: nothing.
func (c *Council) trouble(now lease.Reading, v View, f *form) string {
	if len(c.hearing.agents) > 0 && c.hearing.storms() {
		return "a storm"
	}
	for _, t := range f.Tenants {
		var least, keep float64
		if v.Acting.Effect != nil && v.Acting.Effect.Contracts[t] != nil {
			least, keep = v.Acting.Effect.Contracts[t].Served(), v.Acting.Effect.Contracts[t].Keep()
		}
		if s := c.hearing.sum(t); s.Asked >= enough && float64(s.Served) < least*float64(s.Served+s.Failed) {
			return "tenant " + t + " is served less than its contract keeps"
		}
		if left := c.left(now.Unix, v, t); left < keep*c.whole*(1-1e-9) {
			return "less capacity remains for tenant " + t + " than its contract keeps"
		}
	}
	return ""
}

// capacity is the fleet's, what is not ready with it.
func capacity(nodes []Node) (sum float64) {
	for _, n := range nodes {
		sum += n.Capacity
	}
	return sum
}

// left is the capacity that a tenant has, without nodes that a window holds.
func (c *Council) left(at time.Duration, v View, tenant string) (sum float64) {
	held := map[string]bool{}
	for _, f := range c.forms {
		if !f.over() && f.planned(at) > 0 && slices.Contains(f.Tenants, tenant) {
			for _, n := range f.Nodes {
				held[n] = true
			}
		}
	}
	for _, n := range v.Nodes {
		if !held[n.ID] && !n.Absent {
			sum += n.Capacity
		}
	}
	return sum
}

// clear tells whether no request of its tenants can arrive at the nodes any more.
//
// All has been moved, by the clock, for longer than clocks differ and a request may be on its way. An agent
// with a lease knows what has been agreed since the fence, so also that a paused window went on; one without
// goes by the plan, and knows the window, as it was noted long before; one at the bottom keeps off by turns.
// So nobody needs to be asked. But an agent of a build that knows no windows does none of it: it is found by
// its leases, as it tells nothing.
func (c *Council) clear(now lease.Reading, v View, f *form, l learnt) bool {
	full, ok := f.full()
	if !ok || now.Unix < full+c.set.Margin+c.set.Linger {
		return false
	}
	if since(l.at, now) < c.set.Times.Terms.Wait()+c.set.Linger {
		return false
	}
	if v.Standing != lease.Full || v.Acting.How != policy.Full || v.Open || v.Acting.Version != v.InForce ||
		!c.hearing.whole(now) {
		return false
	}
	_, strange := c.hearing.stranger(now)
	return !strange && !c.first(f)
}

// first tells whether serving went first of late.
func (c *Council) first(f *form) bool {
	return slices.ContainsFunc(f.Tenants, func(t string) bool { return c.hearing.sum(t).First > 0 })
}
