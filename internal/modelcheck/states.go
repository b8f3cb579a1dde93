package modelcheck

import "sync"

// shards is the number of parts of a StateSet, each with a lock of its own.
const shards = 256

// StateSet is the set of visited states, each identified by a 64-bit hash. With n states the chance that any
// two have the same hash, so that one of them is not visited, is n*n/2^65: 1 in 3,700 with 100 million.
type StateSet [shards]stateShard

type stateShard struct {
	mu     sync.Mutex
	hashes map[uint64]struct{}
}

// NewStateSet returns an empty set.
func NewStateSet() *StateSet {
	s := &StateSet{}
	for i := range s {
		s[i].hashes = map[uint64]struct{}{}
	}
	return s
}

// Add adds a state by its hash and reports whether it is new.
func (s *StateSet) Add(hash uint64) (isNew bool) {
	shard := &s[hash%shards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, known := shard.hashes[hash]; known {
		return false
	}
	shard.hashes[hash] = struct{}{}
	return true
}

// Count returns the number of states. It takes no lock: call it when all workers have returned.
func (s *StateSet) Count() (n int) {
	for i := range s {
		n += len(s[i].hashes)
	}
	return n
}
