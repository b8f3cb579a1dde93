package balancer

import (
	"cmp"
	"slices"
)

// The balancer watches the servers whose condition is not the ordinary one: they are ejected, damped or
// avoided, or are about to be. Only these are examined at the end of a round, since a list may have thousands
// of servers.

// isWatchable reports whether the server must be watched.
func (b *Balancer) isWatchable(s *server) bool {
	return s.outlier.NeedsReview() || s.wasDown || s.isDamped(b.now) || s.outlier.IsDamped() ||
		s.outlier.IsAvoided(b.now)
}

// watch begins to watch the server if it must be watched.
func (b *Balancer) watch(s *server) {
	if b.isWatchable(s) {
		b.watched[s], s.isWatched = struct{}{}, true
	}
}

// reviewWatched updates the verdicts and placements of the watched servers at the end of a round, and ends
// the watch of those that are in order again.
func (b *Balancer) reviewWatched() {
	watched := make([]*server, 0, len(b.watched))
	for s := range b.watched {
		watched = append(watched, s)
	}
	slices.SortFunc(watched, func(p, q *server) int { return cmp.Compare(p.ID, q.ID) })
	for _, s := range watched {
		if s.ringPlace.IsMember() {
			b.onOutlierChange(s, b.detector.Reevaluate(b.now, s.outlier), nil)
			b.countFlap(s)
			b.updatePlacement(s)
		}
		if !b.isWatchable(s) {
			delete(b.watched, s)
			s.isWatched = false
		}
	}
}

// updatePlacement informs the outlier detector whether the server is a member of the ring and whether it is
// damped.
func (b *Balancer) updatePlacement(s *server) {
	b.weights.isStale = b.weights.isStale || s.isDamped(b.now) != s.outlier.IsDamped()
	b.detector.SetPlacement(s.outlier, s.ringPlace.IsMember(), s.isDamped(b.now))
}
