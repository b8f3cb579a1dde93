package core

import (
	"time"

	"dunestep/decide"
	"dunestep/internal/protocol"
)

// Roster is the list as it was last had, for whoever keeps it over a restart, and what came of it since.
type Roster struct {
	version   int64
	servers   map[string]protocol.PoolServer
	sorted    []protocol.PoolServer // the same, by id; nil: not put in order since they changed
	confirmed time.Duration         // by discovery, on the clock; zero: not that anyone knows
	told      bool                  // since the start
	live      bool                  // discovery would say so, were it not so any more
}

// NewRoster begins with the list that an agent starts from, and when discovery last said that this is it, on
// the clock; zero: nobody knows.
func NewRoster(saved protocol.PoolConfig, confirmed time.Duration) *Roster {
	r := &Roster{servers: map[string]protocol.PoolServer{}, confirmed: confirmed}
	r.Take(0, decide.SyncSaved, saved, false)
	return r
}

// Take takes news of the list in. Confirms: by them discovery has said what the list is, and it will say what
// changes. It returns those servers that turn out to be others than the list of the start had under their
// names, by address or start: what was learned before the start is not of them.
func (r *Roster) Take(now time.Duration, kind decide.SyncKind, config protocol.PoolConfig,
	confirms bool,
) (replaced []string) {
	if confirms || r.live {
		r.confirmed = now
	}
	r.live = confirms || r.live && kind != decide.SyncFailed
	if kind == decide.SyncFailed {
		return nil
	}
	old := r.servers
	if kind != decide.SyncChange {
		r.servers = make(map[string]protocol.PoolServer, len(config.Servers))
	}
	if config.Full {
		r.version = config.Version
	}
	r.version = max(r.version, config.Version)
	if len(config.Servers) > 0 || kind != decide.SyncChange {
		r.sorted = nil
	}
	for _, s := range config.Servers {
		before, known := old[s.ID]
		if known && !r.told && (before.Started != s.Started || s.Addr.IsValid() && before.Addr != s.Addr) {
			replaced = append(replaced, s.ID)
		}
		if s.State == decide.Gone {
			delete(r.servers, s.ID)
			continue
		}
		if !s.Addr.IsValid() {
			s.Addr = before.Addr
		}
		r.servers[s.ID] = s
	}
	r.told = r.told || confirms
	return replaced
}

// Told tells whether discovery has said what the list is since the start.
func (r *Roster) Told() bool { return r.told }

// Confirmed is when discovery last said what the list is, on the clock; zero: nobody knows.
func (r *Roster) Confirmed(now time.Duration) time.Duration {
	if r.live {
		return now
	}
	return r.confirmed
}

// Version is the version of the list as it is known.
func (r *Roster) Version() int64 { return r.version }

// Config returns the whole list as it is known, by id. It is not to be changed.
func (r *Roster) Config() protocol.PoolConfig {
	if r.sorted == nil {
		r.sorted = make([]protocol.PoolServer, 0, len(r.servers))
		for _, id := range sorted(r.servers) {
			r.sorted = append(r.sorted, r.servers[id])
		}
	}
	return protocol.PoolConfig{Version: r.version, Full: true, Servers: r.sorted}
}
