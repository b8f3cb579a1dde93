package judge

import (
	"fmt"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// FaultReport is a fault of the run: when it was active, and the service before, during and after it.
type FaultReport struct {
	Kind     string  `json:"kind"`
	BeganS   float64 `json:"began_s"`
	EndedS   float64 `json:"over_s"`         // negative: active until the end of the run
	Before   float64 `json:"service_before"` // in the seconds before it
	During   float64 `json:"service_during"`
	SendsPer float64 `json:"sends_per_first_try"` // while it was active
	// RecoveredS is the time from the end of the fault until the service was back at nine tenths of what it
	// was before, negative if that was not reached before the run's end. IdleBusy is the servers' mean
	// utilization in that time.
	RecoveredS float64 `json:"recovered_s"`
	IdleBusy   float64 `json:"busy_meanwhile"`

	fault        *scenario.FaultSpec
	began, ended time.Duration
}

// Finding is a known cause of low service.
type Finding struct {
	Name  string  `json:"name"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
	Text  string  `json:"text"`
}

// The names of the findings.
const (
	KeptAlive = "kept alive by retries" // metastable: first tries alone would not keep the servers so busy
	LeftIdle  = "left idle"             // the servers had spare capacity while the service was low
)

// faultLog records the faults of the run.
type faultLog struct {
	scenario *scenario.Scenario
	all      []FaultReport
}

func (s *faultLog) observe(e *record.Event) {
	switch e.Kind {
	case record.FaultBegan:
		t := &s.scenario.Faults[e.Fault]
		s.all = append(s.all, FaultReport{Kind: string(t.Kind), fault: t, began: e.At, ended: -1})
	case record.FaultEnded:
		for i := range s.all {
			if s.all[i].fault == &s.scenario.Faults[e.Fault] && s.all[i].ended < 0 {
				s.all[i].ended = e.At
			}
		}
	}
}

const (
	beforeSeconds  = 5
	recoveredShare = 0.9 // of the service before the fault
	settledSeconds = 2   // consecutive seconds that must reach it
)

// evaluate computes the service before, during and after each fault.
func (s *faultLog) evaluate(seconds []Second, arrivals int) {
	for i := range s.all {
		f := &s.all[i]
		from, to := int(f.began/time.Second), arrivals
		f.BeganS, f.EndedS = inSeconds(f.began), -1
		if f.ended >= 0 {
			f.EndedS = inSeconds(f.ended)
			to = min(int(f.ended/time.Second)+1, arrivals)
		}
		f.Before = serviceOf(seconds[max(from-beforeSeconds, 0):min(from, arrivals)])
		f.During = serviceOf(seconds[min(from, to):to])
		f.SendsPer = sendsPer(seconds[min(from, to):to])
		f.measureRecovery(seconds[:arrivals])
	}
}

// serviceOf returns the service over some seconds, or 1 if no worth was requested.
func serviceOf(seconds []Second) float64 {
	var t tally
	for i := range seconds {
		t.requested += seconds[i].RequestedWorth
		t.served += seconds[i].ServedWorth
	}
	return t.share()
}

func sendsPer(seconds []Second) float64 {
	sends, firsts := 0, 0
	for i := range seconds {
		sends += seconds[i].Sends
		firsts += seconds[i].FirstTries
	}
	return float64(sends) / float64(max(firsts, 1))
}

func (f *FaultReport) measureRecovery(seconds []Second) {
	f.RecoveredS = -1
	if f.ended < 0 {
		return
	}
	first := int((f.ended + time.Second - 1) / time.Second)
	busy, n := 0.0, 0
	for at := first; at+settledSeconds <= len(seconds); at++ {
		if serviceOf(seconds[at:at+settledSeconds]) >= recoveredShare*f.Before {
			f.RecoveredS = float64(at - first)
			break
		}
		busy += seconds[at].Busy
		n++
	}
	if n > 0 {
		f.IdleBusy = busy / float64(n)
	}
}

const (
	lowService        = 0.7 // of the requested worth
	fullBusy          = 0.9 // utilization at which the servers are the bottleneck
	idleBusy          = 0.5 // utilization below which a low service is not caused by lack of capacity
	minFindingSeconds = 3
	smoothingSeconds  = 3 // over which work and capacity are summed
)

// findings returns the periods of at least minFindingSeconds with a known cause of low service.
func (s *faultLog) findings(seconds []Second, arrivals int) []Finding {
	kept := runs(arrivals, func(at int) bool { return s.keptAlive(seconds, at) })
	idle := runs(arrivals, func(at int) bool {
		// An active fault may itself keep the servers idle.
		return !s.faultActive(at) && seconds[at].servedShare() < lowService && seconds[at].Busy < idleBusy
	})
	all := []Finding{}
	for _, r := range kept {
		all = append(all, keptAliveFinding(seconds, r))
	}
	for _, r := range idle {
		served, busy := serviceOf(seconds[r[0]:r[1]]), 0.0
		for _, second := range seconds[r[0]:r[1]] {
			busy += second.Busy / float64(r[1]-r[0])
		}
		all = append(all, Finding{LeftIdle, float64(r[0]), float64(r[1]), fmt.Sprintf(
			"the servers were %.0f%% busy and no fault was active, yet %.0f%% of the worth was served in time",
			100*busy, 100*served)})
	}
	return all
}

// runs returns the ranges [from, to) of at least minFindingSeconds seconds that satisfy the
// condition.
func runs(n int, satisfied func(at int) bool) (all [][2]int) {
	from := -1
	for at := 0; at <= n; at++ {
		switch on := at < n && satisfied(at); {
		case on && from < 0:
			from = at
		case !on && from >= 0:
			if at-from >= minFindingSeconds {
				all = append(all, [2]int{from, at})
			}
			from = -1
		}
	}
	return all
}

// demand returns the work that reached the servers over some seconds as a part of their capacity: the first
// tries' alone, and with everything that was sent again.
func demand(seconds []Second) (first, all float64) {
	var capacity, askedOfSent, sent float64
	for i := range seconds {
		s := &seconds[i]
		first += s.WorkRequested
		sent += s.WorkFirst
		askedOfSent += s.workRequestedOfSent
		all += s.WorkFirst + s.WorkAgain + s.WorkRetry
		capacity += s.Capacity
	}
	if capacity <= 0 {
		return 0, 0
	}
	if askedOfSent > 0 {
		first *= sent / askedOfSent
	}
	return first / capacity, all / capacity
}

// keptAlive reports whether repeats alone keep the servers busier than the limit below which the overload
// would end. A slow period that ends once utilization falls below a limit has that limit. Otherwise the limit
// is fullBusy, and the service must be low as well.
func (s *faultLog) keptAlive(seconds []Second, at int) bool {
	from := max(at-smoothingSeconds+1, 0)
	first, all := demand(seconds[from : at+1])
	if limit, healing := s.recoveryLimit(at); healing {
		return seconds[at].Busy >= limit && first < limit && all >= limit
	}
	return seconds[at].Busy >= fullBusy && first < fullBusy && all >= 1 && seconds[at].servedShare() < lowService
}

// recoveryLimit returns the utilization below which a slow period active in that second ends; ok is false
// if there is none.
func (s *faultLog) recoveryLimit(at int) (limit float64, ok bool) {
	for i := range s.all {
		f := &s.all[i]
		if f.fault.HealsBelow.High > 0 && f.covers(at) {
			return f.fault.HealsBelow.High, true
		}
	}
	return 0, false
}

func (s *faultLog) faultActive(at int) bool {
	for i := range s.all {
		if s.all[i].covers(at) {
			return true
		}
	}
	return false
}

// covers reports whether the fault was active in any part of a second.
func (f *FaultReport) covers(at int) bool {
	return int(f.began/time.Second) <= at && (f.ended < 0 || time.Duration(at)*time.Second < f.ended)
}

func keptAliveFinding(seconds []Second, r [2]int) Finding {
	var first, again, retry float64
	for _, s := range seconds[r[0]:r[1]] {
		first += s.WorkFirst
		again += s.WorkAgain
		retry += s.WorkRetry
	}
	all := max(first+again+retry, 1e-9)
	who := "the agents' own further sends"
	if retry > again {
		who = "the clients' retries"
	}
	return Finding{KeptAlive, float64(r[0]), float64(r[1]), fmt.Sprintf(
		"metastable: without repeats the servers would have had room; %s did most to keep them busy "+
			"(of the work: %.0f%% first tries, %.0f%% sent again by agents, %.0f%% clients' retries)",
		who, 100*first/all, 100*again/all, 100*retry/all)}
}
