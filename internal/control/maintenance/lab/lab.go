// Package lab plays weeks with maintenance windows in virtual time, with all that can go wrong: agents cut
// off before, in the middle and across the end of the hours, paused, restarted, leaders killed at each step
// of a course, contracts that change in the middle, nights when clocks change, servers that fail, storms,
// stops. The agreed log, leases and the policy are package policy/lab's; what stands beside is window/seat
// as it is shipped. Time in which nothing happens is jumped over: all stand still then, and find by their
// own clocks where they are. What the agents' requests do is judged from the outside (package judge).
package lab

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/maintenance/judge"
	"dunestep/internal/control/maintenance/maintenancelog"
	"dunestep/internal/control/policy"
	policylab "dunestep/internal/control/policy/lab"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/simnet"
)

// Protections can be taken out, to see that the judge finds it.
var Protections = []string{
	"notice",       // windows are accepted a few minutes ahead, and nobody notes when that was agreed
	"own clock",    // an agent that hears nothing stays where it was
	"fence",        // `free` does not wait until all that have a lease know that a paused window goes on
	"linger",       // nor until what was sent before has arrived
	"contract",     // agents do not look at the contract at each moment
	"turns",        // at the bottom agents use all servers
	"early return", // agents begin to return at the end
	"begin",        // a voter that begins anew counts from long ago
	"strangers",    // agents that tell nothing are passed over
}

const (
	voters  = 3
	servers = 8
	round   = time.Second
	linger  = 30 * time.Second
	margin  = 10 * time.Second
	turns   = 2
)

var tenants = []string{"east", "west"}

// Lab is one week.
type Lab struct {
	*policylab.Lab
	Judge *judge.Judge
	// Accepted, Freed, Back and Ended count windows; Back those that returned early.
	Accepted, Freed, Back, Ended int
	Refused                      map[string]int // asks, by the tenant whose contract or load it was
	Reasons                      map[string]int // windows that were paused or returned early
	Requests, First, Unserved    int

	set     Setup
	theme   theme
	monday  time.Duration // when it begins
	slow    time.Duration // until when requests take as long as they may
	version uint64        // whose contracts the judge knows
	last    map[string]maintenance.State
	paces   map[string]float64
	asks    int
	orders  map[string][]key // by tenant
	lost    map[string]time.Duration
	failing map[string]time.Duration // listed, and known to be down
	bad     map[string]time.Duration // tenants that are served badly
	stormy  map[int]time.Duration
	counts  []map[string]*maintenance.TenantCounts // by agent, since it told last
	told    []time.Duration
	leased  []lease.ClockReading // when each agent held a lease last
	onState func(id string, was, is maintenance.State)
}

// Setup is one week. The same one is the same week.
type Setup struct {
	Seed    uint64
	Agents  int
	Days    int
	Keys    int // of each tenant, asked for by each agent in each round; 40
	Without string
}

// key is one that agents are asked for, with the servers in its order.
type key struct {
	hash  uint32
	order []string
}

// part is what stands beside the policy at a node.
type part struct {
	*maintenancelog.Adapter
	lab *Lab
	n   int
}

// NextActions is the seat's; of an older build there is none.
func (p *part) NextActions(now lease.ClockReading, v fleet.VoterState) fleet.Actions {
	if p.lab.theme == older && p.n == voters {
		return fleet.Actions{Next: now.Mono + time.Hour}
	}
	return p.Adapter.NextActions(now, v)
}

// MayGrantLease is the seat's.
func (p *part) MayGrantLease(now lease.ClockReading, agent int, incarnation uint64, note []byte) bool {
	return p.lab.set.Without == "strangers" || p.Adapter.MayGrantLease(now, agent, incarnation, note)
}

// RecordsApplied is the seat's. Without notice, what was agreed is told to be so since long ago, as without a
// voter's begin.
func (p *part) RecordsApplied(now lease.ClockReading, anew bool) {
	if p.n >= 0 && p.n < voters {
		switch p.lab.set.Without {
		case "notice":
			now.Unix -= maintenance.MinNotice
		case "begin":
			now.Unix, now.Mono = now.Unix-time.Hour, now.Mono-time.Hour
		}
	}
	p.Adapter.RecordsApplied(now, anew)
}

// New returns a week at its beginning.
func New(set Setup, begin time.Duration) *Lab {
	if set.Keys == 0 {
		set.Keys = 40
	}
	l := &Lab{
		set: set, monday: begin, Refused: map[string]int{},
		Reasons: map[string]int{}, last: map[string]maintenance.State{},
		paces: map[string]float64{}, orders: map[string][]key{}, lost: map[string]time.Duration{},
		failing: map[string]time.Duration{}, bad: map[string]time.Duration{}, stormy: map[int]time.Duration{},
		told: make([]time.Duration, set.Agents), leased: make([]lease.ClockReading, set.Agents),
	}
	times := policy.Times{}.WithDefaults()
	l.Lab = policylab.New(policylab.Setup{
		Seed: set.Seed, Voters: voters, Agents: set.Agents, Begin: begin,
		Times: times, LeadTime: 2 * time.Second, NewApplication: l.part,
		Faults: simnet.Faults{
			Loss: 0.05, Duplicate: 0.05, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond,
			Late: 0.02, Lateness: 3 * time.Second,
		},
	})
	l.Judge = judge.New(judge.Settings{
		ClockError: 2*times.Terms.MaxClockError + time.Millisecond, Turns: turns,
		LearnDelay: times.Terms.FenceWait(), Keys: set.Keys, ReportPeriod: 12 * time.Second,
	})
	l.Decided, l.OnApplicationRecord = l.decided, l.follow
	for range set.Agents {
		l.counts = append(l.counts, map[string]*maintenance.TenantCounts{})
	}
	for _, t := range tenants {
		for range set.Keys {
			k := key{hash: l.Rand().Uint32()}
			for _, s := range l.Rand().Perm(servers) {
				k.order = append(k.order, server(s))
			}
			l.orders[t] = append(l.orders[t], k)
		}
	}
	return l
}

func server(i int) string { return fmt.Sprint("s", i) }

// part makes what stands beside the policy in a process.
func (l *Lab) part(n int, now lease.ClockReading) policylab.Application {
	set := maintenancelog.Settings{
		Self: n, IsVoter: n >= 0 && n < voters, Incarnation: uint64(now.Mono) + 1, MachineNumber: 2,
		Turns: turns, MaxInFlight: linger, ClockMargin: margin, InForce: func() uint64 { return l.inForce(n) },
		View: func(fleet.ClockReading) maintenance.LeaderView { return l.view(n) },
	}
	switch l.set.Without {
	case "linger":
		set.MaxInFlight = 1
	case "fence":
		set.ClockMargin, set.Times.Terms = 1, lease.Terms{Duration: 1, MaxKnowledgeAge: 1, MaxClockError: 1}
	case "turns":
		if n >= voters {
			set.Turns = 0
		}
	}
	p := &part{Adapter: maintenancelog.New(set), lab: l, n: n}
	if l.set.Without == "begin" {
		for i := range uint64(31) { // of nobody
			at := time.Duration(30-i) * time.Second
			report := maintenance.EncodeReport(maintenance.Report{Incarnation: 1, Number: i})
			p.HandleMessage(lease.ClockReading{Unix: now.Unix - at, Mono: now.Mono - at}, 99, report)
		}
	}
	return p
}

func (l *Lab) inForce(n int) uint64 {
	if n < 0 {
		return l.State().InForce.Number
	}
	return l.StateMachine(n).State().InForce.Number
}

// view is what a voter's process sees.
func (l *Lab) view(n int) maintenance.LeaderView {
	v := maintenance.LeaderView{InForce: l.inForce(n), ChangeOpen: l.StateMachine(n).State().OpenChange != nil}
	v.Standing, v.Active = l.Active(n)
	v.Servers = l.nodes()
	return v
}

func (l *Lab) nodes() (all []maintenance.Server) {
	for i := range servers {
		if l.lost[server(i)] <= l.Now() {
			all = append(all, maintenance.Server{ID: server(i), Capacity: 1})
		}
	}
	return all
}

// follow looks from the outside at what was agreed.
func (l *Lab) follow() {
	for _, w := range l.windows() {
		was, known := l.last[w.ID]
		l.last[w.ID] = w.State
		if !known {
			l.Accepted++
			l.Judge.WindowAccepted(w, l.paces[w.ID])
		}
		if known && was == w.State {
			continue
		}
		if w.Reason != "" && was != w.State {
			l.Reasons[w.Reason]++
		}
		switch w.State {
		case maintenance.Free:
			l.Freed++
			l.Judge.SetFree(l.Now(), w.ID, true)
		case maintenance.Returning:
			l.Back++
			l.Judge.SetFree(l.Now(), w.ID, false)
		case maintenance.Ended, maintenance.Stopped:
			l.Ended++
			l.Judge.SetFree(l.Now(), w.ID, false)
		}
		if l.onState != nil {
			l.onState(w.ID, was, w.State)
		}
	}
}

// windows are those that were agreed, with the states that were.
func (l *Lab) windows() []*maintenance.Window { return l.AgreedApplication().(*part).AgreedWindows() }

// learnContracts tells the judge those of a version that somebody acts on.
func (l *Lab) learnContracts(act policy.Active) {
	if act.Mode == policy.ModeFull && act.Version > l.version {
		l.version = act.Version
	}
	if act.Mode != policy.ModeBottom && act.Effect != nil {
		l.Judge.SetContracts(act.Version, act.Effect.Contracts)
	}
}

// decided has an agent send a round of requests.
func (l *Lab) decided(i int, now lease.ClockReading, standing lease.Standing, act policy.Active) {
	n := voters + i
	l.learnContracts(act)
	if standing == lease.Full {
		l.leased[i] = now
	}
	p := l.Application(n).(*part)
	avoid := p.Exclusions(l.tamper(i, now, &act), standing, act)
	if l.theme == older && i == 0 {
		avoid = nil
	}
	for _, t := range tenants {
		for _, k := range l.orders[t] {
			l.request(i, t, k, act, avoid)
		}
	}
	l.tell(i, now, p)
}

// tamper takes out what an agent goes by.
func (l *Lab) tamper(i int, now lease.ClockReading, act *policy.Active) lease.ClockReading {
	switch l.set.Without {
	case "own clock":
		now.Unix = l.leased[i].Unix
	case "early return":
		for _, w := range l.windows() {
			if now.Unix >= w.ReturnFrom && now.Unix < 2*w.To-w.ReturnFrom {
				now.Unix -= w.To - w.ReturnFrom
			}
		}
	case "contract":
		if act.Mode != policy.ModeBottom {
			e := *act.Effect
			e.Contracts = map[string]*contract.Contract{}
			for _, t := range tenants {
				e.Contracts[t] = anytime
			}
			act.Effect = &e
		}
	}
	return now
}

var anytime = func() *contract.Contract {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 00:00-24:00"}, NoticeMin: 20, MaxLengthMin: 600,
		MaxPerMonth: 31, KeptCapacity: 0.1, MinServed: 0.9,
	}.Contract()
	if err != nil {
		panic(err) // of constants
	}
	return c
}()

// request is one: to the first of its key's servers that is listed, not known to be down, and not to be kept
// off; and where there is none, to the first that is listed and not down, or listed.
func (l *Lab) request(i int, tenant string, k key, act policy.Active, avoid *balancer.Exclusions) {
	l.Requests++
	r := judge.Request{
		At: l.Now(), ArrivesAt: l.Now() + 20*time.Millisecond, Agent: i, Incarnation: l.Incarnation(voters + i),
		Tenant: tenant, Hash: k.hash, Mode: act.Mode, Version: act.Version,
	}
	if l.Rand().IntN(10) == 0 {
		r.ArrivesAt = l.Now() + time.Duration(l.Rand().Int64N(int64(linger)))
	}
	if l.slow > l.Now() {
		r.ArrivesAt = l.Now() + linger - time.Duration(l.Rand().Int64N(int64(time.Second)))
	}
	spare, any := "", ""
	for _, s := range k.order {
		if l.lost[s] > l.Now() {
			continue
		}
		r.Listed++
		if any == "" {
			any = s
		}
		switch {
		case r.Server != "" || l.failing[s] > l.Now():
		case keepsOff(avoid, tenant, k.hash, s):
			if r.Excluded = append(r.Excluded, s); spare == "" {
				spare = s
			}
		default:
			r.Server = s
		}
	}
	if r.Server == "" {
		r.Server, r.OverridesExclusions, r.Excluded = spare, spare != "", nil
	}
	if r.Server == "" {
		r.Server = any
	}
	l.Judge.RequestSent(r)
	l.count(i, r)
}

func keepsOff(a *balancer.Exclusions, tenant string, hash uint32, server string) bool {
	if a == nil {
		return false
	}
	below := a.Tenants[tenant][server]
	return below > 0 && (below == 1<<32-1 || balancer.KeyRank(hash, server) < below) ||
		a.AllTenants != nil && a.AllTenants(server, "")
}

func (l *Lab) count(i int, r judge.Request) {
	c := l.counts[i][r.Tenant]
	if c == nil {
		c = &maintenance.TenantCounts{Tenant: r.Tenant}
		l.counts[i][r.Tenant] = c
	}
	c.Requests++
	switch {
	case r.Server == "" || l.failing[r.Server] > l.Now() || l.bad[r.Tenant] > l.Now() && r.Hash%2 == 0:
		c.Failed++
		l.Unserved++
	default:
		c.Served++
	}
	if r.OverridesExclusions {
		c.ExclusionOverrides++
		l.First++
	}
}

// tell has an agent's counts be told.
func (l *Lab) tell(i int, now lease.ClockReading, p *part) {
	if now.Mono < l.told[i]+maintenance.ReportInterval && now.Mono >= l.told[i] {
		return
	}
	l.told[i] = now.Mono
	var all []maintenance.TenantCounts
	for _, t := range tenants {
		if c := l.counts[i][t]; c != nil {
			all = append(all, *c)
		}
	}
	l.counts[i] = map[string]*maintenance.TenantCounts{}
	p.SetOverloaded(l.stormy[i] > l.Now())
	p.AddCounts(now, all)
}

// runs is whether a node takes part now.
func (l *Lab) runs(n int) bool { return l.Incarnation(n) > 0 && !l.IsPaused(n) }

// Ask has some node that can ask for a window, until it is known what became of it.
func (l *Lab) Ask(ask maintenance.WindowRequest) {
	l.asks++
	ask.ID = fmt.Sprint("window ", l.asks)
	l.paces[ask.ID] = ask.MoveRate
	tries := 0
	var again func()
	again = func() {
		if tries++; tries > 30 || l.known(ask.ID) || !l.propose(&ask) {
			return
		}
		l.At(l.Now()+400*time.Millisecond, again)
	}
	again()
}

func (l *Lab) known(id string) bool {
	return l.AgreedApplication().(*part).Outcome(id).Status != policy.StatusUnknown
}

// propose has one node that holds a lease ask. Where it does not fit, it asks for the next time that it is
// told, if that is in the same night.
func (l *Lab) propose(ask *maintenance.WindowRequest) (again bool) {
	n := l.Rand().IntN(voters)
	if !l.runs(n) {
		return true
	}
	standing, act := l.Active(n)
	if standing != lease.Full || act.Mode != policy.ModeFull {
		return true
	}
	p, now := l.Application(n).(*part), l.Reading(n)
	if l.set.Without == "notice" {
		now.Unix -= maintenance.MinNotice
	}
	data, _, err := p.EncodeProposal(now, *ask, maintenance.PlanInput{
		Servers: l.nodes(), Contracts: act.Effect.Contracts,
		PeakLoad: 0.5, TenantLoads: map[string]float64{"east": 0.5, "west": 0.3}, PolicyVersion: act.Version,
		ClockMargin: margin,
	})
	var misfit maintenance.Conflict
	if errors.As(err, &misfit) {
		l.Refused[misfit.Tenant]++
		if d := misfit.NextFit - ask.From; misfit.NextFit > 0 && d < 8*time.Hour {
			ask.From, ask.To = ask.From+d, ask.To+d
			return true
		}
		return false
	}
	if err == nil {
		l.SubmitApplicationRecord(n, data)
	}
	return true
}

// after tells whether a list of windows has one that is not over.
func live(all []*maintenance.Window) []*maintenance.Window {
	return slices.DeleteFunc(all, func(w *maintenance.Window) bool {
		return w.State == maintenance.Ended || w.State == maintenance.Stopped
	})
}
