package lease

import (
	"math"
	"time"

	"dunestep/internal/fleet/internal/roundtrip"
)

const (
	// fastRequests is how many requests in a row are spaced by the round trip only, before the spacing grows.
	fastRequests = 4
	// minEagerRequests is how many requests in a row are sent before the voters count as unreachable if all
	// requests were answered so far; maxEagerRequests is how many are at most, if many were lost.
	minEagerRequests, maxEagerRequests = 16, 32
	// allLostProbability is the probability with which that many requests in a row may all be lost by chance.
	allLostProbability = 1e-5
	// rateSmoothing is the divisor by which a new sample moves the success rate.
	rateSmoothing = 8
	// minDelayDivisor is the part of the usual delay for which a reply is waited for at least.
	minDelayDivisor = 6
	// maxFailuresMargin is added to the bound of the counted failures.
	maxFailuresMargin = 4
)

// retrySchedule spaces the requests for leases.
type retrySchedule struct {
	leaseDuration time.Duration
	failuresInRow int // requests in a row that brought no lease
	roundTrip     roundtrip.Estimate
	successRate   float64 // of the requests, smoothed: the network and the voters lose the rest
}

func newRetrySchedule(leaseDuration time.Duration) retrySchedule {
	return retrySchedule{leaseDuration: leaseDuration, successRate: 1}
}

func (s *retrySchedule) noteRequest(voters int) {
	s.failuresInRow = min(s.failuresInRow+1, maxEagerRequests+voters+maxFailuresMargin)
}

// noteSuccess updates the success rate after a request brought a lease.
func (s *retrySchedule) noteSuccess() {
	if s.failuresInRow > 0 {
		s.successRate += (1/float64(s.failuresInRow) - s.successRate) / rateSmoothing
	}
	s.failuresInRow = 0
}

// delay returns how long a voter is waited for before the next one is asked. The first requests wait for as
// long as replies take, the following ones for up to a sixteenth of a lease while the known loss explains
// that all were lost. After that the voters count as unreachable, and the delay grows up to half a lease.
func (s *retrySchedule) delay() time.Duration {
	usual, eager := s.leaseDuration/16, s.eagerRequests()
	if s.failuresInRow > eager {
		return min(usual<<(s.failuresInRow-eager), s.leaseDuration/2)
	}
	first := s.roundTrip.Timeout(usual, minDelayDivisor)
	return min(first<<max(s.failuresInRow-fastRequests, 0), usual)
}

// eagerRequests returns how many requests in a row are sent before the voters count as unreachable.
func (s *retrySchedule) eagerRequests() int {
	if s.successRate >= 1 {
		return minEagerRequests
	}
	requests := math.Log(allLostProbability) / math.Log(1-s.successRate)
	return int(min(max(requests, minEagerRequests), maxEagerRequests))
}
