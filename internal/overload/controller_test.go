package overload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
)

// propertyRun feeds an arbitrary sequence of events to a controller with the real balancer, and checks the
// invariants of requests and attempts.
type propertyRun struct {
	controller *Controller
	now        time.Duration
	requests   map[uint32]*simulatedRequest
	timers     map[uint64]time.Duration
	history    string
	t          *rapid.T
}

// simulatedRequest is a request of a propertyRun.
type simulatedRequest struct {
	class          string
	attemptServers []string // servers of its attempts, by attempt number; empty: the attempt has ended
	mayHaveRun     bool     // processed by a server, or possibly so
	isAnswered     bool
}

func newPropertyRun(t *rapid.T, config Config) *propertyRun {
	set := deployment(3, 0)
	set.Tenants = []balancer.Tenant{{Name: "t0", QuotaPerSecond: 5, Share: 0.5}, {Name: "t1", QuotaPerSecond: 50, Share: 0.5}}
	set.Limits.Hedging = true
	c, err := NewWithBalancer(set, config, 3)
	require.NoError(t, err)
	return &propertyRun{controller: c, now: epoch, requests: map[uint32]*simulatedRequest{}, timers: map[uint64]time.Duration{}, t: t}
}

func (p *propertyRun) step(ev balancer.Event) {
	for _, a := range p.controller.Step(p.now, ev) {
		p.history += fmt.Sprintln(p.now, a)
		r := p.requests[a.ID]
		switch a.Kind {
		case balancer.Send:
			if r == nil || r.isAnswered {
				p.t.Fatalf("attempt sent for a request that is already answered: %v", a)
			}
			if r.class == "rezervare" && r.mayHaveRun {
				p.t.Fatalf("retry of a non-idempotent request that a server may have processed: %v", a)
			}
			r.attemptServers = append(r.attemptServers, a.Server)
		case balancer.Reject, balancer.Fail:
			if r == nil || r.isAnswered {
				p.t.Fatalf("second answer to a request: %v", a)
			}
			if a.Kind == balancer.Reject && r.class == "rezervare" && r.mayHaveRun {
				p.t.Fatalf("rejection of a non-idempotent request that a server may have processed: %v", a)
			}
			r.isAnswered = true
		case balancer.SetTimer:
			p.timers[a.Tag] = p.now + a.After
		case balancer.Cancel:
			if r != nil && a.Attempt >= len(r.attemptServers) {
				p.t.Fatalf("cancellation of an attempt that was never sent: %v", a)
			}
		}
	}
}

// advance moves the time forward and fires the timers that are due.
func (p *propertyRun) advance(d time.Duration) {
	p.now += d
	for _, tag := range slices.Sorted(maps.Keys(p.timers)) {
		if p.timers[tag] <= p.now {
			delete(p.timers, tag)
			p.step(&balancer.TimerDue{Tag: tag})
		}
	}
}

// endAttempt ends an attempt in flight with the outcome.
func (p *propertyRun) endAttempt(id uint32, r *simulatedRequest, attempt int, outcome balancer.Outcome) {
	server := r.attemptServers[attempt]
	r.attemptServers[attempt] = ""
	if !outcome.Unprocessed() {
		r.mayHaveRun = true
	}
	requestDone := r.isAnswered
	if outcome == balancer.Served && !r.isAnswered {
		r.isAnswered, requestDone = true, true
	}
	p.step(&balancer.AttemptDone{
		ID: id, Attempt: attempt, Server: server, Outcome: outcome,
		Latency: time.Duration(rapid.IntRange(1, 600).Draw(p.t, "ms")) * time.Millisecond, RequestDone: requestDone,
	})
}

// TestEventSequenceInvariants checks that for any sequence of events, in normal operation, in outages and after
// them, each request gets exactly one answer; that a non-idempotent request that may have been processed is
// neither retried nor rejected; and that no state is left over.
func TestEventSequenceInvariants(t *testing.T) {
	phasesSeen := map[string]int{}
	defer func() { require.Len(t, phasesSeen, 2, "the runs must include outages and recoveries") }()
	rapid.Check(t, func(t *rapid.T) {
		p := newPropertyRun(t, Config{})
		setServers := func(n int) {
			update := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
			for i := range n {
				update.Servers = append(update.Servers, balancer.Server{ID: fmt.Sprint("s-", i), MachineKind: "k", Weight: 1})
			}
			p.step(update)
		}
		setServers(4)
		var ids uint32
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			servedPercent := rapid.SampledFrom([]int{0, 0, 50, 98}).Draw(t, "served percent")
			failure := rapid.SampledFrom([]balancer.Outcome{
				balancer.TimedOut, balancer.Rejected, balancer.ConnectFailed,
				balancer.ConnectionLost, balancer.ServerError,
			}).Draw(t, "failure")
			for range rapid.IntRange(20, 250).Draw(t, "events") {
				p.advance(10 * time.Millisecond)
				switch rapid.IntRange(0, 99).Draw(t, "event") {
				case 0:
					setServers(rapid.IntRange(0, 5).Draw(t, "servers"))
				case 1:
					p.step(&balancer.PeerMessage{From: 1, Data: message{
						kind:      messageKind(rapid.IntRange(0, 2).Draw(t, "message kind")),
						logFactor: 1, weight: 50, startsAt: p.now + 50*time.Millisecond,
					}.encode()})
				default:
					ids++
					p.requests[ids] = &simulatedRequest{class: []string{"consult", "rezervare"}[ids%2]}
					p.step(&balancer.Request{
						ID: ids, Class: p.requests[ids].class, Key: fmt.Sprint(ids % 7),
						Tenant: fmt.Sprint("t", ids%3), ClientTimeout: time.Second, ClientRetry: ids%5 == 0,
					})
					for id := ids - min(ids-1, 30); id <= ids; id++ {
						r := p.requests[id]
						for n := range r.attemptServers {
							if r.attemptServers[n] != "" && !r.isAnswered && rapid.IntRange(0, 9).Draw(t, "starts") == 0 {
								r.isAnswered, r.mayHaveRun = true, true // this response is the answer, however it ends
								p.step(&balancer.StreamStarted{ID: id, Attempt: n})
							}
							if r.attemptServers[n] == "" || rapid.IntRange(0, 2).Draw(t, "ends") > 0 {
								continue
							}
							if rapid.IntRange(1, 100).Draw(t, "percent") <= servedPercent {
								p.endAttempt(id, r, n, balancer.Served)
							} else {
								p.endAttempt(id, r, n, failure)
							}
						}
					}
				}
			}
		}
		history := p.history
		for range 4 * 3 { // end all attempts in flight and those that they cause
			for id := uint32(1); id <= ids; id++ {
				r := p.requests[id]
				for n := range r.attemptServers {
					if r.attemptServers[n] != "" {
						p.endAttempt(id, r, n, balancer.Rejected)
					}
				}
			}
			p.advance(200 * time.Millisecond)
		}
		for id, r := range p.requests {
			if !r.isAnswered {
				t.Fatalf("request %d got no answer", id)
			}
		}
		if n := len(p.controller.requests); n > 0 {
			t.Fatalf("%d requests are kept although they have ended", n)
		}
		for _, text := range []string{"nothing was served", "served again"} {
			if strings.Contains(history, text) {
				phasesSeen[text]++
			}
		}
		if p.controller.inFlight.count != 0 {
			t.Fatalf("%d ended attempts are counted as in flight", p.controller.inFlight.count)
		}
		for _, s := range p.controller.serversByID {
			if s.inFlight != 0 {
				t.Fatalf("%d ended attempts are counted as in flight at %s", s.inFlight, s.entry.ID)
			}
		}
	})
}

// TestDisabledForwardsEverything checks that a disabled controller returns the same actions as the balancer
// alone.
func TestDisabledForwardsEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := deployment(3, 0)
		forwardTarget, err := balancer.New(set, 3)
		require.NoError(t, err)
		p := newPropertyRun(t, Config{Disabled: true})
		c, err := New(set, p.controller.config, forwardTarget, 3)
		require.NoError(t, err)
		reference, err := balancer.New(set, 3)
		require.NoError(t, err)
		for i := range uint32(200) {
			var ev balancer.Event = &balancer.Request{ID: i, Class: "consult", Key: fmt.Sprint(i % 9), ClientTimeout: time.Second}
			switch {
			case i == 0:
				ev = &balancer.ServerListUpdate{Kind: balancer.UpdateFull, Servers: []balancer.Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}}
			case i%2 == 0:
				ev = &balancer.AttemptDone{
					ID: i - 1, Server: "a", Latency: 50 * time.Millisecond,
					Outcome: balancer.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")),
				}
			}
			now := epoch + time.Duration(i)*20*time.Millisecond
			want := fmt.Sprint(reference.Step(now, ev))
			require.Equal(t, want, fmt.Sprint(c.Step(now, ev)))
		}
	})
}

// TestConfigValidation checks that an invalid number is an error in New and in SetConfig.
func TestConfigValidation(t *testing.T) {
	bad := DefaultConfig()
	bad.EpisodeFactor = 0
	_, err := NewWithBalancer(deployment(1, 0), bad, 1)
	require.ErrorContains(t, err, "EpisodeFactor")
	c, err := NewWithBalancer(deployment(1, 0), Config{}, 1)
	require.NoError(t, err)
	require.Error(t, c.SetConfig(bad))
	require.Equal(t, DefaultConfig(), c.config)
	_, err = New(balancer.Settings{}, Config{}, nil, 1)
	require.Error(t, err)
}
