package ringassignment

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"dunestep/internal/balancer/ring"
	"dunestep/internal/fleet/lease"
)

// MaxPaceReportSize is the most bytes that an EncodePaceReport has.
const MaxPaceReportSize = 1 + maxReportKinds*6

const (
	maxReportKinds     = 16
	paceReportFormat   = 1
	maxReporters       = 1024 // whose opinions are kept
	paceReportValidity = 90 * time.Second
	minReporters       = 3
	// A kind's pace changes where the median differs by so much, by so much at once, so seldom, and within
	// these.
	minPaceChange, maxPaceStep = 0.15, 0.1
	paceInterval               = 10 * time.Minute
	minPace, maxPace           = 0.5, 2.0
)

// EncodePaceReport is what an agent tells voters of the kinds of servers: how quick each is against its agreed capacity,
// 1 being just so. What makes no sense is left out.
func EncodePaceReport(paces map[string]float64) []byte {
	kinds := make([]string, 0, len(paces))
	for kind, p := range paces {
		if p > 0 && p <= 100 {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	data := []byte{paceReportFormat}
	for _, kind := range kinds[:min(len(kinds), maxReportKinds)] {
		data = binary.BigEndian.AppendUint32(data, ring.Hash(kind))
		data = binary.BigEndian.AppendUint16(data, uint16(math.Round(100*paces[kind])))
	}
	return data
}

// opinions are the last words of agents, at a voter.
type paceReports struct {
	byAgent map[int]paceReport
}

type paceReport struct {
	receivedAt time.Duration
	paces      map[uint32]float64 // by the hash of a kind
}

// hear takes a word; false: it is none.
func (o *paceReports) add(from int, data []byte, now time.Duration) bool {
	if len(data) == 0 || len(data) > MaxPaceReportSize || data[0] != paceReportFormat || (len(data)-1)%6 != 0 {
		return false
	}
	word := paceReport{receivedAt: now, paces: map[uint32]float64{}}
	for data = data[1:]; len(data) > 0; data = data[6:] {
		if p := binary.BigEndian.Uint16(data[4:]); p > 0 {
			word.paces[binary.BigEndian.Uint32(data)] = float64(p) / 100
		}
	}
	if o.byAgent == nil {
		o.byAgent = map[int]paceReport{}
	}
	if _, is := o.byAgent[from]; !is && len(o.byAgent) >= maxReporters {
		return false
	}
	o.byAgent[from] = word
	return true
}

// paces are all kinds' from now on; nil: as before. It takes several agents to change one, whatever a single
// one says, and some time, however many say it.
func (o *paceReports) agreedPaces(st State, now lease.ClockReading, sights []ObservedServer) (all []Pace) {
	if len(o.byAgent) < minReporters || now.Unix-time.Duration(st.PacesChangedAt)*time.Second < paceInterval {
		return nil
	}
	kinds, changed := map[string]bool{}, false
	for i := range sights {
		kinds[sights[i].Kind] = true
	}
	for kind := range kinds {
		if len(all) == maxKinds || len(kind) > MaxIDSize/4 {
			continue
		}
		pace := st.pace(kind)
		if said := o.median(kind, now.Mono); said > 0 && math.Abs(said/pace-1) > minPaceChange {
			pace = min(max(pace*min(max(said/pace, 1-maxPaceStep), 1+maxPaceStep), minPace), maxPace)
			changed = changed || math.Round(100*pace) != math.Round(100*st.pace(kind))
		}
		if pace != 1 {
			all = append(all, Pace{Kind: kind, Percent: uint16(math.Round(100 * pace))})
		}
	}
	if !changed {
		return nil
	}
	slices.SortFunc(all, func(a, b Pace) int { return slices.Compare([]byte(a.Kind), []byte(b.Kind)) })
	return all
}

// count forgets what is old, and tells how many are left.
func (o *paceReports) countFresh(now time.Duration) int {
	maps.DeleteFunc(o.byAgent, func(_ int, word paceReport) bool { return now-word.receivedAt > paceReportValidity })
	return len(o.byAgent)
}

// median is of what agents say of a kind; zero: too few do.
func (o *paceReports) median(kind string, now time.Duration) float64 {
	o.countFresh(now)
	var said []float64
	for _, word := range o.byAgent {
		if p := word.paces[ring.Hash(kind)]; p > 0 {
			said = append(said, p)
		}
	}
	if len(said) < minReporters {
		return 0
	}
	slices.Sort(said)
	return said[len(said)/2]
}
