package lease_test

import (
	"fmt"
	"time"

	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/replica"
)

// An agent asks a voter, which asks the leader first. Then the voter is cut off, and the lease runs out.
func Example() {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: 1_800_000_000*time.Second + d, Mono: d}
	}
	terms := lease.Terms{}.WithDefaults()
	voter := lease.NewGranter(lease.GranterSettings{Terms: terms, Agents: 300})
	agent := lease.NewHolder(lease.HolderSettings{Terms: terms, Self: 17, Voters: []int{0}, Seed: 1}, at(0))
	agent.SetApplied(replica.Position{Epoch: 1, Seq: 5})
	asked := agent.Next()
	_, request, _ := agent.Tick(at(asked))
	_, ask := voter.HandleRequest(at(asked), 17, request)
	fmt.Println("the leader is asked:", ask)
	for _, answer := range voter.HandleConfirmed(at(asked+time.Millisecond), at(asked), replica.Position{Epoch: 1, Seq: 5}) {
		agent.HandleGrant(at(asked+2*time.Millisecond), 0, answer.Grant)
	}
	for _, after := range []time.Duration{time.Second, terms.Duration - 1, terms.Duration} {
		fmt.Println(after, agent.Standing(at(asked+after)))
	}
	committed := at(asked).Unix
	fmt.Println("nobody acts without it", (terms.Fence(committed) - committed).Round(time.Millisecond), "later")
	// Output:
	// the leader is asked: true
	// 1s full
	// 3.999999999s full
	// 4s floor
	// nobody acts without it 5.205s later
}
