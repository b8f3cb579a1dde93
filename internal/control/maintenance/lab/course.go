package lab

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	policylab "dunestep/internal/control/policy/lab"
)

// theme is what a week has more of than others.
type theme int

const (
	mixed   theme = iota
	floor         // an agent is cut off shortly before a window is asked for
	bottom        // one is cut off for much longer
	across        // agents are cut off in the middle, and across the end
	changed       // contracts change in the middle
	rough         // windows are paused just before all is moved; who hears of it misses that they go on
	scarce        // all other servers fail when all is moved, and the leader is lost
	cramped       // staff stop windows, servers are lost, tenants are served badly, storms
	older         // an agent is of a build that knows no windows
	themes
)

func (t theme) String() string {
	return [...]string{"mixed", "floor", "bottom", "across", "changed", "rough", "scarce", "cramped", "older"}[t]
}

const day = 24 * time.Hour

// weeks begin on Mondays, 00:00 UTC: of both nights when clocks change in Bucharest, on their last day, and
// two others.
var weeks = []time.Duration{
	1774224000 * time.Second, 1792368000 * time.Second, 1780272000 * time.Second,
	1798416000 * time.Second,
}

// Contracts are the tables of a policy: hours of one tenant, and the other's.
const document = `format = 1
[contracts.east]
zone = "Europe/Bucharest"
hours = [%q]
notice_min = 20
longest_min = 400
monthly = 31
keep = 0.5
served = 0.9
[contracts.west]
zone = "Europe/Bucharest"
hours = ["mon-sun 20:00-07:00"]
notice_min = 20
longest_min = 400
monthly = 31
keep = 0.5
served = 0.9
`

// hours are east's.
var hours = []string{
	"mon-sun 21:00-06:00", "mon-sun 22:00-05:00", "mon-sun 00:00-04:00",
	"mon-fri 21:00-01:00", "mon-sun 20:00-07:00",
}

// contracts are a document as an agent proposes it, with one of east's hours.
func (l *Lab) contracts(of int) string {
	text, err := policy.AddZoneRules(fmt.Appendf(nil, document, hours[of]), time.Unix(0, int64(l.monday)))
	if err != nil {
		panic(err) // of constants
	}
	return string(text)
}

// Week plays one.
func Week(set Setup) *Lab {
	l := New(set, weeks[set.Seed/uint64(themes)%uint64(len(weeks))])
	l.theme = theme(set.Seed % uint64(themes))
	l.atSteps()
	l.scene(l.monday+10*time.Hour, 14*time.Second, nil, func() {
		l.Propose(0, l.contracts(0))
	})
	for d := range set.Days {
		// The last days are those on which clocks change.
		l.night(l.monday + time.Duration(7-set.Days+d)*day)
	}
	l.heal()
	l.scene(l.monday+8*day, 30*time.Second, nil, nil)
	return l
}

// night plays one: a window or two are asked for in the afternoon or a little before they begin.
func (l *Lab) night(midnight time.Duration) {
	rng := l.Rand()
	l.scene(midnight+11*time.Hour, 8*time.Second, nil, l.heal)
	from := midnight + 18*time.Hour + time.Duration(rng.Int64N(int64(9*time.Hour)))
	asks := []maintenance.WindowRequest{l.anAsk(from)}
	if rng.IntN(2) == 0 {
		asks = append(asks, l.anAsk(from+time.Duration(rng.Int64N(int64(2*time.Hour)))))
	}
	at := midnight + 13*time.Hour + time.Duration(rng.Int64N(int64(time.Hour)))
	if l.theme == floor || rng.IntN(3) == 0 {
		at = from - 21*time.Minute
	}
	if l.set.Without == "notice" {
		at = from - 4*time.Minute
	}
	away := voters + rng.IntN(l.set.Agents)
	if l.theme == bottom { // since long before
		l.scene(at-30*time.Minute, 8*time.Second, nil, nil)
		l.CutOff(away, from+6*time.Hour)
	}
	l.scene(at-8*time.Second, 6*time.Second, nil, nil)
	if l.theme == floor {
		l.CutOff(away, from+6*time.Hour)
	}
	l.scene(at, 20*time.Second, nil, func() {
		for _, a := range asks {
			l.Ask(a)
		}
	})
	l.play(from - time.Minute)
}

// anAsk is for one server or some, one tenant or both.
func (l *Lab) anAsk(from time.Duration) maintenance.WindowRequest {
	rng := l.Rand()
	a := maintenance.WindowRequest{From: from, MoveRate: 0.02}
	a.To = from + 10*time.Minute + time.Duration(rng.Int64N(int64(2*time.Hour)))
	turn, _ := maintenance.Turns(turns).At(from)
	for _, s := range rng.Perm(servers) {
		if id := server(s); len(a.Nodes) < 3 && maintenance.Turns(turns).Of(id, "") == turn {
			if a.Nodes = append(a.Nodes, id); rng.IntN(2) == 0 {
				break
			}
		}
	}
	a.Tenants = [][]string{{"east"}, {"west"}, {"east", "west"}, {"east", "west"}}[rng.IntN(4)]
	return a
}

// span is a time in which much happens.
type span struct{ from, to time.Duration }

// play goes through the windows that are ahead: around their beginning, their middle and their end.
func (l *Lab) play(after time.Duration) {
	for {
		next, ok := l.next(after)
		if !ok {
			return
		}
		from := max(next.from, after)
		l.scene(from, next.to-from, l.trouble, nil)
		after = next.to
	}
}

// next is the next span that is not over, joined with those that touch it.
func (l *Lab) next(after time.Duration) (s span, ok bool) {
	var all []span
	for _, w := range live(l.windows()) {
		middle := (w.DrainedAt + w.ReturnFrom) / 2
		end := w.To
		if w.State == maintenance.Returning {
			end = w.StateSince + w.To - w.ReturnFrom
		}
		for _, s := range []span{
			{w.From - 12*time.Second, w.DrainedAt + margin + linger + 35*time.Second},
			{middle, middle + 25*time.Second},
			{w.ReturnFrom - 12*time.Second, w.To + margin + 8*time.Second},
			{end, end + margin + 8*time.Second},
		} {
			if s.to > after {
				all = append(all, s)
			}
		}
	}
	slices.SortFunc(all, func(x, y span) int { return int(max(min(x.from-y.from, 1), -1)) })
	for i, s := range all {
		if i == 0 {
			s.from = max(s.from, after)
			all[0] = s
		} else if s.from <= all[0].to {
			all[0].to = max(all[0].to, s.to)
		} else {
			break
		}
	}
	if len(all) == 0 {
		return s, false
	}
	return span{all[0].from, min(all[0].to, all[0].from+3*time.Minute)}, true
}

// scene jumps to a time, and plays so long. Agents wake up some seconds before what happens.
func (l *Lab) scene(at, length time.Duration, trouble, first func()) {
	l.PauseAll(at)
	if first != nil {
		first()
	}
	end := max(l.Now(), at) + length
	offset := time.Duration(l.Rand().Int64N(int64(round)))
	for t := l.Now() + offset; t < end; t += round {
		l.At(t, l.Decide)
	}
	if trouble != nil {
		for t := l.Now() + time.Duration(l.Rand().Int64N(int64(6*time.Second))); t < end; t += 7 * time.Second {
			l.At(t, trouble)
		}
	}
	l.Run(end)
}

// trouble has one thing go wrong.
func (l *Lab) trouble() {
	rng := l.Rand()
	l.themed()
	if l.theme != mixed && rng.IntN(4) > 0 || l.theme == older {
		return
	}
	n := rng.IntN(voters + l.set.Agents)
	until := l.Now() + time.Duration(rng.Int64N(int64(20*time.Second)))
	switch rng.IntN(8) {
	case 0:
		l.Pause(n, l.Now()+time.Minute)
	case 1:
		l.Pause(n, until)
	case 2:
		l.CutOff(n, until)
	case 3:
		l.CutOff(voters+rng.IntN(l.set.Agents), l.Now()+time.Duration(rng.Int64N(int64(3*time.Hour))))
	case 4:
		l.SetClock(n, time.Duration((2*rng.Float64()-1)*float64(100*time.Millisecond)),
			1+(2*rng.Float64()-1)*0.001)
	case 5:
		l.restart(n, until)
	case 6:
		l.restart(max(l.Leader(), 0), until)
	case 7:
		for i := range voters { // one way
			l.SetCut(i, n, true)
			l.At(until, func() { l.SetCut(i, n, false) })
		}
	}
}

// themed has go wrong what the week's theme is about.
func (l *Lab) themed() {
	rng := l.Rand()
	all := live(l.windows())
	if len(all) == 0 {
		return
	}
	w := all[rng.IntN(len(all))]
	if l.Now() < w.From || l.Now() >= w.To {
		return
	}
	switch l.theme {
	case across:
		if rng.IntN(4) == 0 {
			l.CutOff(voters+rng.IntN(l.set.Agents), w.To+time.Duration(rng.Int64N(int64(time.Hour))))
		}
	case changed:
		if rng.IntN(6) == 0 && l.State().OpenChange == nil {
			l.Propose(rng.IntN(voters), l.contracts(rng.IntN(len(hours))))
			if rng.IntN(2) == 0 {
				l.restart(max(l.Leader(), 0), l.Now()+10*time.Second)
			}
		}
	case rough:
		if w.State == maintenance.Planned && l.Now() < w.DrainedAt && l.Now() > w.DrainedAt-10*time.Second {
			l.bad[w.Tenants[0]] = l.Now() + 3*time.Second
		}
	case scarce:
		if l.Now() > w.DrainedAt && l.Now() < w.DrainedAt+20*time.Second && w.State == maintenance.Planned {
			l.allFail(w)
		}
	case cramped:
		l.cramp(w)
	}
}

// allFail has all servers but a window's be down while there are no voters, who begin anew when it would be
// free else: nobody has told them.
func (l *Lab) allFail(w *maintenance.Window) {
	for i := range servers {
		if !slices.Contains(w.Nodes, server(i)) {
			l.failing[server(i)] = l.Now() + 90*time.Second
		}
	}
	at := w.DrainedAt + margin + linger + time.Duration(l.Rand().Int64N(int64(5*time.Second)))
	for n := range voters {
		l.Stop(n)
		l.At(at, func() { l.begin(n, policylab.StorageKept) })
	}
}

func (l *Lab) begin(n int, storage policylab.Storage) {
	if l.Incarnation(n) == 0 {
		l.Start(n, storage)
	}
}

func (l *Lab) cramp(w *maintenance.Window) {
	rng := l.Rand()
	until := l.Now() + time.Duration(rng.Int64N(int64(time.Minute)))
	switch rng.IntN(12) {
	case 0:
		n := rng.IntN(voters)
		if l.runs(n) {
			l.SubmitApplicationRecord(n, l.Application(n).(*part).EncodeStop(l.Reading(n), w.ID, "staff have had enough"))
		}
	case 1, 2:
		for range 4 {
			l.lost[server(rng.IntN(servers))] = until
		}
	case 3:
		l.bad[w.Tenants[0]] = until
	case 4:
		for i := range 1 + l.set.Agents/3 {
			l.stormy[i] = until
		}
	}
}

func (l *Lab) restart(n int, until time.Duration) {
	l.Stop(n)
	storage := policylab.StorageLost
	if l.Rand().IntN(2) == 0 {
		storage = policylab.StorageKept
	}
	l.At(until, func() { l.begin(n, storage) })
}

// atSteps has things go wrong right after one of a window's records: the leader ends, or an agent is cut off
// which still holds a lease.
func (l *Lab) atSteps() {
	l.onState = func(_ string, was, is maintenance.State) {
		rng := l.Rand()
		goesOn := was == maintenance.Paused && is == maintenance.Planned
		if goesOn {
			l.slow = l.Now() + 8*time.Second
		}
		if goesOn || rng.IntN(6) == 0 && l.theme != older {
			l.CutOff(voters+rng.IntN(l.set.Agents), l.Now()+time.Duration(rng.Int64N(int64(time.Minute))))
		}
		if l.theme == rough {
			return
		}
		if rng.IntN(4) == 0 && l.Leader() >= 0 {
			l.restart(l.Leader(), l.Now()+time.Duration(rng.Int64N(int64(8*time.Second))))
		}
	}
}

// heal has all run and reach each other.
func (l *Lab) heal() {
	for n := range voters + l.set.Agents {
		l.begin(n, policylab.StorageKept)
		for i := range voters + l.set.Agents {
			l.SetCut(n, i, false)
		}
	}
}
