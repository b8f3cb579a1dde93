package judge

import "fmt"

// keyCount is how many keys a server has.
type keyCount struct {
	server int32
	keys   int
}

// keyCounts is by server, in the order in which they are met.
func (j *Judge) keyCounts(owners *Owners) []keyCount {
	if counts, known := j.countsByOwners[owners]; known {
		return counts
	}
	index := map[int32]int{}
	var counts []keyCount
	for _, owner := range *owners {
		if owner == NoOwner {
			continue
		}
		i, known := index[owner]
		if !known {
			i, index[owner] = len(counts), len(counts)
			counts = append(counts, keyCount{server: owner})
		}
		counts[i].keys++
	}
	j.countsByOwners[owners] = counts
	return counts
}

const (
	// largeLoss is the fraction of the keys after whose loss so few servers are left that no generation can have
	// divided the keys rightly before.
	largeLoss = 0.1
	// slowStartTolerance is by what factor a server in slow start may have more than its fraction.
	slowStartTolerance = 1.75
)

// checkServers: no agent uses a server that its own list has taken away, nor gives a server in slow start
// more than it permits, of what the warm server with the most keys for its capacity has.
func (j *Judge) checkServers(s Sample) {
	counts, densest, made := j.keyCounts(s.Owners), 0.0, j.firstUsedAt[s.Generation]
	inWindows := j.fractionInWindows(s.At, counts)
	for _, c := range counts {
		if j.truth.SlowStartFraction(c.server, made) == 1 {
			densest = max(densest, float64(c.keys)/j.truth.Capacity(c.server))
		}
	}
	for _, c := range counts {
		if j.truth.IsKnownGone(s.Agent, c.server) {
			j.addViolation(s, fmt.Sprintf("server %d is used, though the agent's list takes it away", c.server))
		}
		warm, all := j.truth.SlowStartFraction(c.server, made), float64(len(*s.Owners))
		has := float64(c.keys) / all
		may := slowStartTolerance*warm*densest*j.truth.Capacity(c.server)/all*(1+2*inWindows) +
			j.settings.SampleError/4
		if warm < 1 && densest > 0 && s.HasLease && s.Generation > 0 && has > may &&
			j.lostFraction(s.At, 2*j.settings.MaxMoveBurst) < largeLoss {
			j.addViolation(s, fmt.Sprintf("server %d is cold and has %.3f of the keys, %.3f may", c.server, has, may))
		}
	}
}
