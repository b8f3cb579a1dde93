package judge

import "fmt"

// keyCount is the number of keys of a server.
type keyCount struct {
	server int32
	keys   int
}

// keyCounts returns the number of keys of each server that owns any, in the order of each server's first key.
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
	// largeLoss is the fraction of lost keys from which slow start is not checked: too few servers are left for
	// the generation, which was proposed before the loss, to divide the keys as it should.
	largeLoss = 0.1
	// slowStartTolerance is the factor by which a server in slow start may exceed its fraction.
	slowStartTolerance = 1.75
)

// checkServers checks that no agent uses a server that its own list reports as draining or gone, and that no
// server in slow start has more keys than permitted. The reference is the warm server with the most keys for
// its capacity.
func (j *Judge) checkServers(s Sample) {
	counts, densest, firstUsedAt := j.keyCounts(s.Owners), 0.0, j.firstUsedAt[s.Generation]
	inWindows := j.fractionInWindows(s.At, counts)
	for _, c := range counts {
		if j.truth.SlowStartFraction(c.server, firstUsedAt) == 1 {
			densest = max(densest, float64(c.keys)/j.truth.Capacity(c.server))
		}
	}
	for _, c := range counts {
		if j.truth.IsKnownGone(s.Agent, c.server) {
			j.addViolation(s, fmt.Sprintf("server %d is used, but draining or gone in the agent's list", c.server))
		}
		fraction, all := j.truth.SlowStartFraction(c.server, firstUsedAt), float64(len(*s.Owners))
		has := float64(c.keys) / all
		limit := slowStartTolerance*fraction*densest*j.truth.Capacity(c.server)/all*(1+2*inWindows) +
			j.settings.SampleError/4
		if fraction < 1 && densest > 0 && s.HasLease && s.Generation > 0 && has > limit &&
			j.lostFraction(s.At, 2*j.settings.MaxMoveBurst) < largeLoss {
			j.addViolation(s, fmt.Sprintf("server %d in slow start has %.3f of the keys, limit %.3f",
				c.server, has, limit))
		}
	}
}
