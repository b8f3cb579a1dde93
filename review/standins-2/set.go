package main

import "sync"

// set is a set of ids.
type set struct {
	mu  sync.Mutex
	ids map[string]bool
}

func newSet() *set { return &set{ids: map[string]bool{}} }

// add reports whether the id was not there.
func (s *set) add(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.ids[id]
	s.ids[id] = true
	return !was
}

// has reports whether the id is there.
func (s *set) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}
