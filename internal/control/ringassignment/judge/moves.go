package judge

import (
	"fmt"
	"time"
)

// checkMoves checks the limit on unneeded key moves. Moves that windows cause do not count. Moves from a lost
// server are needed, and permit further moves: its points may be replaced, and if the server returned before
// a generation took it off the ring, its keys move away and back once more.
func (j *Judge) checkMoves(a *agentState, before, now Sample) {
	move := j.movedKeys(before, now)
	j.Moved[now.Agent] += move.moved
	j.Needed[now.Agent] += move.needed
	a.recentMoves = append(a.recentMoves, move)
	for now.At-a.recentMoves[0].at > j.settings.OwedValidity+2*j.settings.MaxMoveBurst {
		a.recentMoves = a.recentMoves[1:]
	}
	if !before.HasLease || !now.HasLease || now.Generation > before.Generation+1 || before.Generation == 0 {
		// The agent was cut off, and uses a newer generation at once, without a limit on moves.
		a.recentMoves[len(a.recentMoves)-1].moved = move.needed
		return
	}
	withoutNeed := 0.0
	for _, m := range a.recentMoves {
		if now.At-m.at < j.settings.MaxMoveBurst {
			withoutNeed += m.moved - m.needed
		}
	}
	allowed := j.settings.MaxMoveRate * 2 * j.settings.MaxMoveBurst.Seconds()
	if withoutNeed <= allowed {
		return // within the limit even without recent losses
	}
	lost := j.lostFraction(now.At, j.settings.OwedValidity+2*j.settings.MaxMoveBurst)
	if allowed += 3*lost + j.settings.SampleError; withoutNeed > allowed {
		j.addViolation(now, fmt.Sprintf("%.3f of the keys moved without need within %v, limit %.3f", withoutNeed,
			j.settings.MaxMoveBurst, allowed))
	}
}

// movedKeys returns the fractions of the keys that moved between two samples, in all and from lost servers.
func (j *Judge) movedKeys(before, now Sample) recentMove {
	moved, needed, all := 0, 0, len(*now.Owners)
	for key, owner := range *now.Owners {
		previous := (*before.Owners)[key]
		if previous == owner || previous == NoOwner || j.mayBeMovedByWindow(previous, owner, now.At) {
			continue
		}
		if moved++; !j.truth.IsReady(previous) {
			needed++
		}
	}
	return recentMove{now.At, float64(moved) / float64(all), float64(needed) / float64(all)}
}

// lostFraction returns the fraction of the keys that moved from lost servers in the given time, at the agent
// where it was largest.
func (j *Judge) lostFraction(at, within time.Duration) (largest float64) {
	for _, a := range j.agents {
		sum := 0.0
		for _, m := range a.recentMoves {
			if at-m.at <= within {
				sum += m.needed
			}
		}
		largest = max(largest, sum)
	}
	return largest
}
