package lab

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
)

// focus is the kind of event that a week emphasizes.
type focus int

const (
	mixed           focus = iota
	cutOffBefore          // an agent is cut off shortly before a window is requested
	cutOffLong            // an agent is cut off long before a window is requested
	cutOffAcross          // agents are cut off during a window and across its end
	contractsChange       // contracts change during a window
	pausedLate            // windows are paused just before all keys are moved
	othersFail            // all other servers fail when all keys are moved, and the voters are stopped
	disturbed             // windows are stopped, servers not listed, requests of tenants fail, agents overloaded
	olderBuild            // an agent runs a build without maintenance windows
	focusCount
)

// String returns the name of the focus for test logs.
func (t focus) String() string {
	return [...]string{
		"mixed", "cut off before", "cut off long", "cut off across", "contracts change", "paused late",
		"others fail", "disturbed", "older build",
	}[t]
}

const day = 24 * time.Hour

// weekStarts are the starts of weeks, Mondays 00:00 UTC: two weeks whose last day has a change to or from
// summer time in Bucharest, and two others. They are not modified.
var weekStarts = []time.Duration{
	1774224000 * time.Second, 1792368000 * time.Second, 1780272000 * time.Second,
	1798416000 * time.Second,
}

// contractsFormat is the format of a policy document with the contracts of both tenants. Its argument is the
// hours of tenant east.
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

// eastHours are hours of tenant east's contract. They are not modified.
var eastHours = []string{
	"mon-sun 21:00-06:00", "mon-sun 22:00-05:00", "mon-sun 00:00-04:00",
	"mon-fri 21:00-01:00", "mon-sun 20:00-07:00",
}

// contractsDocument returns a policy document with one of eastHours and the zone rules that an agent adds.
func (l *Lab) contractsDocument(hours int) string {
	document := fmt.Appendf(nil, contractsFormat, eastHours[hours])
	text, err := policy.AddZoneRules(document, time.Unix(0, int64(l.startsAt)))
	if err != nil {
		panic(err) // the document is a constant
	}
	return string(text)
}

// RunWeek runs a week, then heals all faults, and returns the Lab at the end.
func RunWeek(setup Setup) *Lab {
	l := New(setup, weekStarts[setup.Seed/uint64(focusCount)%uint64(len(weekStarts))])
	l.focus = focus(setup.Seed % uint64(focusCount))
	l.injectFaultsAtRecords()
	l.runPhase(l.startsAt+10*time.Hour, 14*time.Second, nil, func() {
		l.Propose(0, l.contractsDocument(0))
	})
	for d := range setup.Days {
		// Summer time changes in the last days of a week.
		l.runNight(l.startsAt + time.Duration(7-setup.Days+d)*day)
	}
	l.heal()
	l.runPhase(l.startsAt+8*day, 30*time.Second, nil, nil)
	return l
}

// runNight runs a night with one or two windows, which are requested in the afternoon or shortly before
// they start.
func (l *Lab) runNight(midnight time.Duration) {
	rng := l.Rand()
	l.runPhase(midnight+11*time.Hour, 8*time.Second, nil, l.heal)
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
	if l.focus == cutOffLong {
		l.runPhase(at-30*time.Minute, 8*time.Second, nil, nil)
		l.CutOff(cutOff, from+6*time.Hour)
	}
	l.runPhase(at-8*time.Second, 6*time.Second, nil, nil)
	if l.focus == cutOffBefore {
		l.CutOff(cutOff, from+6*time.Hour)
	}
	l.runPhase(at, 20*time.Second, nil, func() {
		for _, request := range requests {
			l.RequestWindow(request)
		}
	})
	l.runWindows(from - time.Minute)
}

// drawRequest draws a window request for 1 to 3 servers of the present turn, and one tenant or both.
func (l *Lab) drawRequest(from time.Duration) maintenance.WindowRequest {
	rng := l.Rand()
	request := maintenance.WindowRequest{From: from, MoveRate: 0.02}
	request.To = from + 10*time.Minute + time.Duration(rng.Int64N(int64(2*time.Hour)))
	turn, _ := maintenance.Turns(turns).At(from)
	for _, s := range rng.Perm(servers) {
		if id := serverID(s); len(request.Nodes) < 3 && maintenance.Turns(turns).Of(id, "") == turn {
			if request.Nodes = append(request.Nodes, id); rng.IntN(2) == 0 {
				break
			}
		}
	}
	request.Tenants = [][]string{{"east"}, {"west"}, {"east", "west"}, {"east", "west"}}[rng.IntN(4)]
	return request
}

// span is an interval of time that is simulated in full.
type span struct{ from, to time.Duration }

// runWindows runs the open windows: their start, a part in the middle, and their end.
func (l *Lab) runWindows(after time.Duration) {
	for {
		next, ok := l.nextSpan(after)
		if !ok {
			return
		}
		from := max(next.from, after)
		l.runPhase(from, next.to-from, l.injectFault, nil)
		after = next.to
	}
}

// nextSpan returns the first span that ends after a time, joined with the spans that overlap it, but 3 min
// long at most. It returns false if there is none.
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

// runPhase pauses all nodes until a time, calls first if it is not nil, and then simulates the fleet for a
// length of time, with decisions each second and calls of fault every 7 s. Callers start it some seconds
// before an event, so that agents run again by then.
func (l *Lab) runPhase(at, length time.Duration, fault, first func()) {
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
