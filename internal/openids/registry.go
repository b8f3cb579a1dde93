// Package openids knows which request ids are open at the processes of one agent. Two run side by side during
// an upgrade; the earlier one keeps the ids of both, and the later one asks it for each of its own.
package openids

import "sync"

// Owner is the process at which an id is open.
type Owner uint8

// The owners.
const (
	ThisProcess Owner = iota
	NextProcess       // the one that takes over from this process
)

// Registry has the ids that are open. It is safe for concurrent use. It holds as many as there are open
// requests. The zero value has none and is ready for use.
type Registry struct {
	mu   sync.Mutex
	open map[string]Owner
}

// Open opens an id. It returns false if the id is open already, at whichever process.
func (r *Registry) Open(id string, owner Owner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, isOpen := r.open[id]; isOpen {
		return false
	}
	if r.open == nil {
		r.open = map[string]Owner{}
	}
	r.open[id] = owner
	return true
}

// Close closes an id that the owner has opened. It reports whether it was open there.
func (r *Registry) Close(id string, owner Owner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, isOpen := r.open[id]
	if !isOpen || current != owner {
		return false
	}
	delete(r.open, id)
	return true
}

// CloseAll closes all ids of an owner, and returns them in no order.
func (r *Registry) CloseAll(owner Owner) (closed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, current := range r.open {
		if current == owner {
			closed = append(closed, id)
			delete(r.open, id)
		}
	}
	return closed
}
