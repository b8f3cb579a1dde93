package balancer

import (
	"slices"
	"time"
)

const (
	// maxBlameFailureFraction of all attempts: where more fail, no key is to blame.
	maxBlameFailureFraction = 0.02
	// poisonServers is how many healthy servers a key must fail at to be poisoned.
	poisonServers = 3
	// blameServers is how many of them it takes to blame a failure on the key and not on the server.
	blameServers = 2
	// poisonDuration is how long requests with a poisoned key are rejected before one is let through.
	poisonDuration = 10 * time.Second
)

// blamedKey is a key whose requests fail at servers that serve others.
type blamedKey struct {
	servers       []*server
	lastFailureAt time.Duration
	until         time.Duration // poisoned until then; zero: not yet
}

// hasExpired reports whether the key has not failed for long enough to be forgotten.
func (k *blamedKey) hasExpired(now time.Duration) bool {
	return now > max(k.lastFailureAt+poisonDuration, k.until)
}

// blameKey notes a key's failure at a server that serves others, and reports whether the key is to blame:
// some requests break whichever server gets them. Where many attempts fail whatever their keys, a failure is
// no evidence against the key.
func (b *Balancer) blameKey(key uint32, s *server, sent time.Duration) bool {
	if s.lastServedAt+roundInterval < sent || b.failureFraction > maxBlameFailureFraction {
		return false
	}
	k := b.blamedKeys[key]
	if k == nil {
		k = &blamedKey{}
		b.blamedKeys[key] = k
	}
	k.lastFailureAt = b.now
	if len(k.servers) < poisonServers && !slices.Contains(k.servers, s) {
		if k.servers = append(k.servers, s); len(k.servers) == poisonServers {
			k.until = b.now + poisonDuration
			b.logf("requests with key hash %08x rejected for %v: they failed at %d healthy servers",
				key, poisonDuration, poisonServers)
		}
	}
	return len(k.servers) >= blameServers
}

// isPoisoned reports whether requests with the key are rejected. Now and then one is let through, to see
// whether it still fails.
func (b *Balancer) isPoisoned(key uint32) bool {
	k := b.blamedKeys[key]
	if k == nil || len(k.servers) < poisonServers {
		return false
	}
	if b.now >= k.until {
		k.until = b.now + poisonDuration
		return false
	}
	return true
}
