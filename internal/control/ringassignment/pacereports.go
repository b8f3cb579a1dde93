package ringassignment

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"dunestep/internal/balancer/ring"
	"dunestep/internal/fleet/lease"
)

// A pace report is one byte for the format, and for each machine kind the hash of its name and its pace in
// percent.
const (
	paceReportFormat = 1
	maxReportKinds   = 16
	reportKindSize   = 4 + 2 // bytes
	// MaxPaceReportSize is the maximum size of a pace report, in bytes.
	MaxPaceReportSize = 1 + maxReportKinds*reportKindSize
)

const (
	maxReporters       = 1024             // maximum number of agents whose reports are kept
	minReporters       = 3                // minimum number of reports to change a pace
	paceReportValidity = 90 * time.Second // maximum age of a report
	paceInterval       = 10 * time.Minute // minimum interval between changes of paces
	minPaceChange      = 0.15             // minimum relative difference of the median to change a pace
	maxPaceStep        = 0.1              // maximum relative change of a pace in one step
	minPace, maxPace   = 0.5, 2.0
	maxPacedKindSize   = MaxIDSize / 4 // bytes; a kind with a longer name has no pace
)

// EncodePaceReport returns an agent's pace report to voters. A pace is the measured speed of a machine kind
// relative to its agreed capacity; 1 is as agreed. Paces outside of (0, 100] are left out, and so are kinds
// beyond the first 16 by name.
func EncodePaceReport(paces map[string]float64) []byte {
	kinds := make([]string, 0, len(paces))
	for kind, pace := range paces {
		if pace > 0 && pace <= 100 {
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

// paceReports holds the last report of each agent, at a voter.
type paceReports struct {
	byAgent map[int]paceReport
}

type paceReport struct {
	receivedAt time.Duration      // by the monotonic clock
	paces      map[uint32]float64 // by the hash of a kind's name
}

// add stores a report. It returns false if data is not a valid report or there are too many reporters.
func (r *paceReports) add(from int, data []byte, now time.Duration) bool {
	if len(data) == 0 || len(data) > MaxPaceReportSize || data[0] != paceReportFormat ||
		(len(data)-1)%reportKindSize != 0 {
		return false
	}
	report := paceReport{receivedAt: now, paces: map[uint32]float64{}}
	for data = data[1:]; len(data) > 0; data = data[reportKindSize:] {
		if percent := binary.BigEndian.Uint16(data[4:]); percent > 0 {
			report.paces[binary.BigEndian.Uint32(data)] = float64(percent) / 100
		}
	}
	if r.byAgent == nil {
		r.byAgent = map[int]paceReport{}
	}
	if _, known := r.byAgent[from]; !known && len(r.byAgent) >= maxReporters {
		return false
	}
	r.byAgent[from] = report
	return true
}

// agreedPaces returns the new paces of all kinds, or nil if none changes. A change needs reports from at
// least minReporters agents, so that no single agent can cause it. A pace changes by at most maxPaceStep in
// each paceInterval, however many agents report.
func (r *paceReports) agreedPaces(st State, now lease.ClockReading, servers []ObservedServer) (all []Pace) {
	if len(r.byAgent) < minReporters || now.Unix-time.Duration(st.PacesChangedAt)*time.Second < paceInterval {
		return nil
	}
	kinds, changed := map[string]bool{}, false
	for i := range servers {
		kinds[servers[i].Kind] = true
	}
	for kind := range kinds {
		if len(all) == maxKinds || len(kind) > maxPacedKindSize {
			continue
		}
		pace := st.pace(kind)
		if median := r.median(kind, now.Mono); median > 0 && math.Abs(median/pace-1) > minPaceChange {
			pace = min(max(pace*min(max(median/pace, 1-maxPaceStep), 1+maxPaceStep), minPace), maxPace)
			changed = changed || math.Round(100*pace) != math.Round(100*st.pace(kind))
		}
		if pace != 1 {
			all = append(all, Pace{Kind: kind, Percent: uint16(math.Round(100 * pace))})
		}
	}
	if !changed {
		return nil
	}
	slices.SortFunc(all, func(a, b Pace) int { return strings.Compare(a.Kind, b.Kind) })
	return all
}

// countFresh drops expired reports and returns the number of those left.
func (r *paceReports) countFresh(now time.Duration) int {
	maps.DeleteFunc(r.byAgent, func(_ int, report paceReport) bool {
		return now-report.receivedAt > paceReportValidity
	})
	return len(r.byAgent)
}

// median returns the median of the reported paces of a kind, or zero if fewer than minReporters agents report
// it.
func (r *paceReports) median(kind string, now time.Duration) float64 {
	r.countFresh(now)
	var paces []float64
	for _, report := range r.byAgent {
		if pace := report.paces[ring.Hash(kind)]; pace > 0 {
			paces = append(paces, pace)
		}
	}
	if len(paces) < minReporters {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}
