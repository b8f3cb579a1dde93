package lab

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
	"dunestep/internal/standin"
	"dunestep/internal/standin/program"
)

// Deployment is the settings that a lab's agents have if nobody says otherwise: a class that is safe to
// repeat, "consult", and one that is not, "rezervare"; one clinic group, "acme", of whose traffic the agents
// tell one another; times that a busy machine keeps.
func Deployment() *protocol.Settings {
	return &protocol.Settings{
		ConnIdleTimeout: 15 * time.Second, ConnectTimeout: time.Second,
		Settings: balancer.Settings{
			Zone: "a", Tick: 5 * time.Millisecond, ClientsMarkRetries: true,
			Classes: []balancer.Class{
				{
					Name:             "consult",
					LatencyObjective: time.Second,
					Deadline:         5 * time.Second,
					PriorityWeight:   1,
					Idempotency:      balancer.Idempotent,
				},
				{
					Name:             "rezervare",
					LatencyObjective: time.Second,
					Deadline:         5 * time.Second,
					PriorityWeight:   2,
					Idempotency:      balancer.NotIdempotent,
				},
			},
			Tenants: []balancer.Tenant{{Name: "acme", QuotaPerSecond: 1000, Share: 1}},
			Limits: balancer.Limits{
				MaxAttempts: 3, Hedging: true, Cancel: true, Gossip: true, RetryAfter: true,
				MaxRetryAfter: 2 * time.Second,
			},
			Rules: balancer.Rules{
				DrainGrace: 3 * time.Second, MaxPollInterval: 10 * time.Second, SlowStartCapacity: 0.31,
				SlowStartDuration: 9 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
			},
		},
	}
}

// config is what an agent is started with in a run.
func (a *Agent) config(run int) *Config {
	l := a.lab
	set := *l.o.Settings
	set.Self, set.Balancers = a.Number, len(l.agents)
	l.mu.Lock()
	known := l.list.whole(a)
	l.mu.Unlock()
	file := program.Object{
		"name": a.Name, "listen": a.Addr, "discovery": a.discovery.Addr,
		"seed":   fmt.Sprintf("%016x", l.o.Seed<<32|uint64(a.Number)<<16|uint64(run)),
		"limits": program.Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": program.SettingsObject(set),
	}
	if set.Limits.Gossip {
		file["peer_listen"] = a.Addr
		file["peers"], file["peers_all"] = l.network.Addrs(a.Number)
	}
	return &Config{Agent: a.Number, Run: run, Program: l.o.Program, Folder: a.Folder, File: file}
}

// list is discovery's list of booking servers. It is alike for all agents, but for the addresses.
type list struct {
	version int64
	states  []string    // of each server, as agents are told it
	started []time.Time // of each server; zero: long ago
}

func newList(servers int) list {
	return list{
		version: 1, states: slices.Repeat([]string{"active"}, servers),
		started: make([]time.Time, servers),
	}
}

// of is what is said of a number, or else what is usual.
func of(said []string, n int, usual string) string {
	if n < len(said) {
		return said[n]
	}
	return usual
}

func (v *list) entry(a *Agent, n int) program.Object {
	o, started := &a.lab.o, int64(0)
	if at := v.started[n]; !at.IsZero() {
		started = at.UnixMilli()
	}
	return program.Object{
		"id": fmt.Sprint("s-", n), "addr": a.servers[n].Addr(), "zone": of(o.Zones, n, "a"),
		"kind": of(o.Kinds, n, "rapid"), "cell": 1, "state": v.states[n], "weight": 1.0, "started_ms": started,
	}
}

func (v *list) whole(a *Agent) program.Object {
	entries := []program.Object{}
	for n, state := range v.states {
		if state != "left" {
			entries = append(entries, v.entry(a, n))
		}
	}
	return program.Object{"version": v.version, "full": true, "servers": entries}
}

// List has discovery tell all agents from now on that a booking server is "active", "leaving" or has "left".
func (l *Lab) List(server int, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list.states[server] = state
	l.tell(server)
}

// Restarted has discovery tell all agents that a booking server has started just now.
func (l *Lab) Restarted(server int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list.started[server] = time.Now()
	l.tell(server)
}

// tell tells all agents what the list says of a booking server. The lock is held.
func (l *Lab) tell(server int) {
	l.list.version++
	for _, a := range l.agents {
		text := program.Line(program.Object{
			"version": l.list.version, "full": false,
			"servers": []program.Object{l.list.entry(a, server)},
		})
		a.mu.Lock()
		for c := range a.calls {
			c.Say(text)
		}
		a.mu.Unlock()
	}
}

// called answers an agent's call to discovery: with the whole list where it is not up to date.
func (a *Agent) called(c *standin.Call) {
	if answer := a.lab.o.Call; answer != nil && answer(a.Number, c) {
		return
	}
	a.Tell(c)
}

// Tell answers an agent's call to discovery with the list, as the lab does where nobody else answers it.
func (a *Agent) Tell(c *standin.Call) {
	l := a.lab
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Begin(http.StatusOK)
	if !c.Watch || c.From != l.list.version {
		c.Say(program.Line(l.list.whole(a)))
	}
	if !c.Watch {
		c.End()
		return
	}
	a.mu.Lock()
	a.calls[c] = true
	a.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (a *Agent) uncalled(c *standin.Call) {
	a.mu.Lock()
	delete(a.calls, c)
	a.mu.Unlock()
	a.lab.happened()
}

// Watches is how many watches of discovery the agent has open.
func (a *Agent) Watches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.calls)
}
