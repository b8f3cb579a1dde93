package balancer

import (
	"slices"
	"time"
)

const (
	// maxBlameFailureFraction is the fraction of failed attempts above which no failure is blamed on a key.
	maxBlameFailureFraction = 0.02
	// poisonServers is the number of healthy servers a key must fail at to be poisoned.
	poisonServers = 3
	// blameServers is the number of healthy servers a key must fail at for its failures to be blamed on the key
	// and not on the server.
	blameServers = 2
	// poisonDuration is how long requests with a poisoned key are rejected before one is sent as a test.
	poisonDuration = 10 * time.Second
)

// blamedKey is a key whose requests fail at servers that serve other requests.
type blamedKey struct {
	servers       []*server // distinct servers where it failed, at most poisonServers
	lastFailureAt time.Duration
	until         time.Duration // end of the poisoning; zero: not poisoned yet
}

// hasExpired reports whether the key's last failure and its poisoning are long enough ago to forget the key.
func (k *blamedKey) hasExpired(now time.Duration) bool {
	return now > max(k.lastFailureAt+poisonDuration, k.until)
}

// blameKey records the failure of an attempt, sent at the given time, and reports whether it is blamed on the
// key: some requests make every server fail that gets them. Only failures at a server that recently served
// other requests count, and none count while many attempts fail whatever their keys.
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

// isPoisoned reports whether a request with the key must be rejected. Once in poisonDuration it permits one,
// to test whether it still fails.
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
