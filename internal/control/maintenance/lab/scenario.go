package lab

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
)

// focus is what a week has more of than others.
type focus int

const (
	mixed           focus = iota
	cutOffBefore          // an agent is cut off shortly before a window is asked for
	cutOffLong            // an agent is cut off for much longer
	cutOffAcross          // agents are cut off in the middle, and across the end
	contractsChange       // contracts change in the middle
	pausedLate            // windows are paused just before all keys are moved
	othersFail            // all other servers fail when all keys are moved, and the leader is lost
	disturbed             // windows are stopped, servers lost, tenants served badly, agents overloaded
	olderBuild            // an agent is of a build that knows no windows
	focuses
)

// String names it for test logs.
func (t focus) String() string {
	return [...]string{
		"mixed", "cut off before", "cut off long", "cut off across", "contracts change", "paused late",
		"others fail", "disturbed", "older build",
	}[t]
}

const day = 24 * time.Hour

// weeks begin on Mondays, 00:00 UTC: those of both nights on which clocks change in Bucharest, on their last
// day, and two others. Nobody changes them.
var weeks = []time.Duration{
	1774224000 * time.Second, 1792368000 * time.Second, 1780272000 * time.Second,
	1798416000 * time.Second,
}

// contractsFormat is a policy document with the contracts of both tenants; the hours of one are left out.
const contractsFormat = `format = 1
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

// eastHours are hours of that tenant; nobody changes them.
var eastHours = []string{
	"mon-sun 21:00-06:00", "mon-sun 22:00-05:00", "mon-sun 00:00-04:00",
	"mon-fri 21:00-01:00", "mon-sun 20:00-07:00",
}

// contractsDocument is a document as an agent proposes it, with one of eastHours.
func (l *Lab) contractsDocument(of int) string {
	document := fmt.Appendf(nil, contractsFormat, eastHours[of])
	text, err := policy.AddZoneRules(document, time.Unix(0, int64(l.beginsAt)))
	if err != nil {
		panic(err) // the document is a constant
	}
	return string(text)
}

// PlayWeek plays a week.
func PlayWeek(set Setup) *Lab {
	l := New(set, weeks[set.Seed/uint64(focuses)%uint64(len(weeks))])
	l.focus = focus(set.Seed % uint64(focuses))
	l.injectFaultsAtRecords()
	l.playScene(l.beginsAt+10*time.Hour, 14*time.Second, nil, func() {
		l.Propose(0, l.contractsDocument(0))
	})
	for d := range set.Days {
		// The last days are those on which clocks change.
		l.playNight(l.beginsAt + time.Duration(7-set.Days+d)*day)
	}
	l.heal()
	l.playScene(l.beginsAt+8*day, 30*time.Second, nil, nil)
	return l
}

// playNight plays a night: one window or two are asked for in the afternoon, or a little before they begin.
func (l *Lab) playNight(midnight time.Duration) {
	rng := l.Rand()
	l.playScene(midnight+11*time.Hour, 8*time.Second, nil, l.heal)
	from := midnight + 18*time.Hour + time.Duration(rng.Int64N(int64(9*time.Hour)))
	requests := []maintenance.WindowRequest{l.drawRequest(from)}
	if rng.IntN(2) == 0 {
		requests = append(requests, l.drawRequest(from+time.Duration(rng.Int64N(int64(2*time.Hour)))))
	}
	at := midnight + 13*time.Hour + time.Duration(rng.Int64N(int64(time.Hour)))
	if l.focus == cutOffBefore || rng.IntN(3) == 0 {
		at = from - 21*time.Minute
	}
	if l.setup.Without == withoutNotice {
		at = from - 4*time.Minute
	}
	cutOff := voters + rng.IntN(l.setup.Agents)
	if l.focus == cutOffLong { // since long before
		l.playScene(at-30*time.Minute, 8*time.Second, nil, nil)
		l.CutOff(cutOff, from+6*time.Hour)
	}
	l.playScene(at-8*time.Second, 6*time.Second, nil, nil)
	if l.focus == cutOffBefore {
		l.CutOff(cutOff, from+6*time.Hour)
	}
	l.playScene(at, 20*time.Second, nil, func() {
		for _, a := range requests {
			l.RequestWindow(a)
		}
	})
	l.playWindows(from - time.Minute)
}

// drawRequest is for one server or more, and one tenant or both.
func (l *Lab) drawRequest(from time.Duration) maintenance.WindowRequest {
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

// playWindows plays the windows that are ahead: around their beginning, their middle and their end.
func (l *Lab) playWindows(after time.Duration) {
	for {
		next, ok := l.nextSpan(after)
		if !ok {
			return
		}
		from := max(next.from, after)
		l.playScene(from, next.to-from, l.injectFault, nil)
		after = next.to
	}
}

// nextSpan is the next span that is not over, joined with those that touch it.
func (l *Lab) nextSpan(after time.Duration) (s span, ok bool) {
	var all []span
	for _, w := range openWindows(l.windows()) {
		middle := (w.DrainedAt + w.ReturnFrom) / 2
		end := w.To
		if w.State == maintenance.Returning {
			end = w.StateSince + w.To - w.ReturnFrom
		}
		for _, s := range []span{
			{w.From - 12*time.Second, w.DrainedAt + clockMargin + maxInFlight + 35*time.Second},
			{middle, middle + 25*time.Second},
			{w.ReturnFrom - 12*time.Second, w.To + clockMargin + 8*time.Second},
			{end, end + clockMargin + 8*time.Second},
		} {
			if s.to > after {
				all = append(all, s)
			}
		}
	}
	slices.SortFunc(all, func(x, y span) int { return int(max(min(x.from-y.from, 1), -1)) })
	for i, s := range all {
		if i > 0 && s.from > all[0].to {
			break
		}
		if i == 0 {
			s.from = max(s.from, after)
			all[0] = s
		}
		all[0].to = max(all[0].to, s.to)
	}
	if len(all) == 0 {
		return s, false
	}
	return span{all[0].from, min(all[0].to, all[0].from+3*time.Minute)}, true
}

// playScene jumps to a time, and plays for some time. Agents wake up some seconds before what happens.
func (l *Lab) playScene(at, length time.Duration, fault, first func()) {
	l.PauseAll(at)
	if first != nil {
		first()
	}
	end := max(l.Now(), at) + length
	offset := time.Duration(l.Rand().Int64N(int64(roundInterval)))
	for t := l.Now() + offset; t < end; t += roundInterval {
		l.At(t, l.Decide)
	}
	if fault != nil {
		for t := l.Now() + time.Duration(l.Rand().Int64N(int64(6*time.Second))); t < end; t += 7 * time.Second {
			l.At(t, fault)
		}
	}
	l.Run(end)
}
