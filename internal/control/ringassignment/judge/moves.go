package judge

import (
	"fmt"
	"time"
)

// checkMoves: keys that move without need are limited. Keys that windows move do not count. Needed is what a
// lost server had: that may be made up for, and where the server was back before a generation took it off,
// its keys move away and come back once more.
func (j *Judge) checkMoves(a *agent, before, now Sample) {
	move := j.movedKeys(before, now)
	j.Moved[now.Agent] += move.moved
	j.Needed[now.Agent] += move.needed
	a.recentMoves = append(a.recentMoves, move)
	for now.At-a.recentMoves[0].at > j.settings.OwedValidity+2*j.settings.MaxMoveBurst {
		a.recentMoves = a.recentMoves[1:]
	}
	if !before.HasLease || !now.HasLease || now.Generation > before.Generation+1 || before.Generation == 0 {
		// It was cut off, and uses at once what it has missed.
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
		return // whatever was lost lately
	}
	lost := j.lostFraction(now.At, j.settings.OwedValidity+2*j.settings.MaxMoveBurst)
	if allowed += 3*lost + j.settings.SampleError; withoutNeed > allowed {
		j.addViolation(now, fmt.Sprintf("%.3f of the keys moved without need within %v, %.3f may", withoutNeed,
			j.settings.MaxMoveBurst, allowed))
	}
}

// movedKeys is which fractions of the keys moved between two samples.
func (j *Judge) movedKeys(before, now Sample) recentMove {
	moved, needed, all := 0, 0, len(*now.Owners)
	for key, owner := range *now.Owners {
		was := (*before.Owners)[key]
		if was == owner || was == NoOwner || j.mayBeMovedByWindow(was, owner, now.At) {
			continue
		}
		if moved++; !j.truth.IsReady(was) {
			needed++
		}
	}
	return recentMove{now.At, float64(moved) / float64(all), float64(needed) / float64(all)}
}

// lostFraction is the fraction of the keys that was lost lately, at the agent that saw most of it.
func (j *Judge) lostFraction(at, within time.Duration) (most float64) {
	for _, a := range j.agents {
		sum := 0.0
		for _, m := range a.recentMoves {
			if at-m.at <= within {
				sum += m.needed
			}
		}
		most = max(most, sum)
	}
	return most
}
