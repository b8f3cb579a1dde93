package inflight_test

import (
	"fmt"

	"dunestep/internal/balancer/inflight"
)

// Of two servers with equal capacity one takes ten times as long: it is sent fewer requests.
func Example() {
	var accounts inflight.Accounts
	var quick, slow inflight.Account
	accounts.Open(&quick, 0.5)
	accounts.Open(&slow, 0.5)
	sent := map[*inflight.Account]int{}
	for range 1000 {
		to, took := &quick, 0.02
		if accounts.Credit(&slow, 0.5) > accounts.Credit(&quick, 0.5) {
			to, took = &slow, 0.2
		}
		accounts.RequestSent(to, 1)
		accounts.RequestEnded(to, took)
		sent[to]++
	}
	fmt.Println("quick", sent[&quick], "slow", sent[&slow])
	// Output:
	// quick 839 slow 161
}
