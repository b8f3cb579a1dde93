package lease_test

import (
	"fmt"
	"time"

	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/replica"
)

// An agent requests a lease from a voter, which first confirms its position with the leader. The agent then gets no
// further grant, and the lease expires.
func Example() {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: 1_800_000_000*time.Second + d, Mono: d}
	}
	terms := lease.Terms{}.WithDefaults()
	voter := lease.NewGranter(lease.GranterSettings{Terms: terms, Agents: 300})
	agent := lease.NewHolder(lease.HolderSettings{Terms: terms, Self: 17, Voters: []int{0}, Seed: 1}, at(0))
	agent.SetApplied(replica.Position{Epoch: 1, Seq: 5})
	requestedAt := agent.Next()
	_, request, _ := agent.Tick(at(requestedAt))
	_, startRead := voter.HandleRequest(at(requestedAt), 17, request)
	fmt.Println("a read is started:", startRead)
	for _, reply := range voter.HandleConfirmed(at(requestedAt+time.Millisecond), at(requestedAt), replica.Position{Epoch: 1, Seq: 5}) {
		agent.HandleGrant(at(requestedAt+2*time.Millisecond), 0, reply.Grant)
	}
	for _, after := range []time.Duration{time.Second, terms.Duration - 1, terms.Duration} {
		fmt.Println(after, agent.Standing(at(requestedAt+after)))
	}
	committed := at(requestedAt).Unix
	fmt.Println("no agent acts without it after", (terms.Fence(committed) - committed).Round(time.Millisecond))
	// Output:
	// a read is started: true
	// 1s full
	// 3.999999999s full
	// 4s floor
	// no agent acts without it after 5.205s
}
