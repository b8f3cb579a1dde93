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

// DefaultSettings returns the default settings of a lab's agents: an idempotent class, "consult", and one
// that is not, "rezervare"; one tenant, "acme", whose traffic the agents gossip about; and timeouts long
// enough for a busy machine.
func DefaultSettings() *protocol.Settings {
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

// config returns the configuration of a run of an agent.
func (a *Agent) config(run int) *Config {
	l := a.lab
	settings := *l.options.Settings
	settings.Self, settings.Balancers = a.Number, len(l.agents)
	l.mu.Lock()
	known := l.list.full(a)
	l.mu.Unlock()
	file := program.Object{
		"name": a.Name, "listen": a.Addr, "discovery": a.discovery.Addr,
		"seed":   fmt.Sprintf("%016x", l.options.Seed<<32|uint64(a.Number)<<16|uint64(run)),
		"limits": program.Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": program.ConfigObject(settings),
	}
	if settings.Limits.Gossip {
		file["peer_listen"] = a.Addr
		file["peers"], file["peers_all"] = l.network.Addrs(a.Number)
	}
	return &Config{Agent: a.Number, Run: run, Program: l.options.Program, TempDir: a.TempDir, ConfigFile: file}
}

// endpointList is discovery's endpoint list. It is the same for all agents except for the addresses.
type endpointList struct {
	version int64
	states  []string    // state of each server: "active", "leaving" or "left"
	started []time.Time // start of each server; zero: long ago
}

func newEndpointList(servers int) endpointList {
	return endpointList{
		version: 1, states: slices.Repeat([]string{"active"}, servers),
		started: make([]time.Time, servers),
	}
}

// valueOr returns values[n], or fallback if there is no such entry.
func valueOr(values []string, n int, fallback string) string {
	if n < len(values) {
		return values[n]
	}
	return fallback
}

func (v *endpointList) entry(a *Agent, n int) program.Object {
	o, started := &a.lab.options, int64(0)
	if at := v.started[n]; !at.IsZero() {
		started = at.UnixMilli()
	}
	return program.Object{
		"id": fmt.Sprint("s-", n), "addr": a.servers[n].Addr(), "zone": valueOr(o.Zones, n, "a"),
		"kind": valueOr(o.Kinds, n, "rapid"), "cell": 1, "state": v.states[n], "weight": 1.0, "started_ms": started,
	}
}

func (v *endpointList) full(a *Agent) program.Object {
	entries := []program.Object{}
	for n, state := range v.states {
		if state != "left" {
			entries = append(entries, v.entry(a, n))
		}
	}
	return program.Object{"version": v.version, "full": true, "servers": entries}
}

// SetServerState sets an upstream server's state in discovery to "active", "leaving" or "left" and notifies
// all agents.
func (l *Lab) SetServerState(server int, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list.states[server] = state
	l.sendUpdate(server)
}

// SetServerRestarted sets an upstream server's start time in discovery to now and notifies all agents.
func (l *Lab) SetServerRestarted(server int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list.started[server] = time.Now()
	l.sendUpdate(server)
}

// sendUpdate sends the list entry of an upstream server to all agents. The caller holds the lock.
func (l *Lab) sendUpdate(server int) {
	l.list.version++
	for _, a := range l.agents {
		text := program.JSON(program.Object{
			"version": l.list.version, "full": false,
			"servers": []program.Object{l.list.entry(a, server)},
		})
		a.mu.Lock()
		for c := range a.watches {
			c.WriteLine(text)
		}
		a.mu.Unlock()
	}
}

// discoveryCalled answers an agent's poll or watch of discovery.
func (a *Agent) discoveryCalled(c *standin.Call) {
	if answer := a.lab.options.HandleDiscovery; answer != nil && answer(a.Number, c) {
		return
	}
	a.SendEndpointList(c)
}

// SendEndpointList answers an agent's poll or watch of discovery with the endpoint list, as the lab does
// unless Options.HandleDiscovery answers. A watch whose version is current gets no list.
func (a *Agent) SendEndpointList(c *standin.Call) {
	l := a.lab
	l.mu.Lock()
	defer l.mu.Unlock()
	c.WriteStatus(http.StatusOK)
	if !c.Watch || c.From != l.list.version {
		c.WriteLine(program.JSON(l.list.full(a)))
	}
	if !c.Watch {
		c.End()
		return
	}
	a.mu.Lock()
	a.watches[c] = true
	a.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (a *Agent) discoveryEnded(c *standin.Call) {
	a.mu.Lock()
	delete(a.watches, c)
	a.mu.Unlock()
	a.lab.signalEvent()
}

// Watches returns the number of watches of discovery that the agent has open.
func (a *Agent) Watches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.watches)
}
