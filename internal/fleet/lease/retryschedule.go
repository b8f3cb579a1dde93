package lease

import (
	"math"
	"time"

	"dunestep/internal/fleet/internal/roundtrip"
)

const (
	// fastRequests is the number of requests in a row that are spaced by the round trip only, before the spacing
	// grows.
	fastRequests = 4
	// minEagerRequests is the number of requests in a row that are sent before the voters count as unreachable
	// if all requests were granted so far. maxEagerRequests is the maximum of that number if requests were lost.
	minEagerRequests, maxEagerRequests = 16, 32
	// allLostProbability is the probability, at the known loss, that all requests in a row are lost although the
	// voters are reachable. It determines the number of eager requests.
	allLostProbability = 1e-5
	// rateSmoothing is the divisor of the difference by which a new sample changes the success rate.
	rateSmoothing = 8
	// minDelayDivisor is the divisor of the usual delay that gives the minimum wait for a reply.
	minDelayDivisor = 6
	// maxFailuresMargin is added to the maximum of the counted failures.
	maxFailuresMargin = 4
)

// retrySchedule spaces the requests for leases.
type retrySchedule struct {
	leaseDuration time.Duration
	failuresInRow int // consecutive requests without a grant
	roundTrip     roundtrip.Estimate
	successRate   float64 // smoothed fraction of the requests that were granted, 0 to 1
}

func newRetrySchedule(leaseDuration time.Duration) retrySchedule {
	return retrySchedule{leaseDuration: leaseDuration, successRate: 1}
}

// noteRequest counts a request as failed until noteSuccess is called.
func (s *retrySchedule) noteRequest(voters int) {
	s.failuresInRow = min(s.failuresInRow+1, maxEagerRequests+voters+maxFailuresMargin)
}

// noteSuccess updates the success rate after a request was granted.
func (s *retrySchedule) noteSuccess() {
	if s.failuresInRow > 0 {
		s.successRate += (1/float64(s.failuresInRow) - s.successRate) / rateSmoothing
	}
	s.failuresInRow = 0
}

// delay returns the time between a request and the next one, to the next voter. For the first requests it
// follows the usual round trip. It then grows up to a sixteenth of a lease's duration, as long as the
// known loss explains that all requests were lost. After that the voters count as unreachable, and the delay
// grows up to half a lease's duration.
func (s *retrySchedule) delay() time.Duration {
	usual, eager := s.leaseDuration/16, s.eagerRequests()
	if s.failuresInRow > eager {
		return min(usual<<(s.failuresInRow-eager), s.leaseDuration/2)
	}
	first := s.roundTrip.Timeout(usual, minDelayDivisor)
	return min(first<<max(s.failuresInRow-fastRequests, 0), usual)
}

// eagerRequests returns the number of requests in a row that are sent before the voters count as unreachable.
func (s *retrySchedule) eagerRequests() int {
	if s.successRate >= 1 {
		return minEagerRequests
	}
	requests := math.Log(allLostProbability) / math.Log(1-s.successRate)
	return int(min(max(requests, minEagerRequests), maxEagerRequests))
}
