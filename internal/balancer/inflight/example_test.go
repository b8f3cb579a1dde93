package inflight_test

import (
	"fmt"

	"dunestep/internal/balancer/inflight"
)

// One of two servers with equal capacity takes ten times as long, and gets fewer requests.
func Example() {
	var accounts inflight.Accounts
	var quick, slow inflight.Account
	accounts.Open(&quick, 0.5)
	accounts.Open(&slow, 0.5)
	sent := map[*inflight.Account]int{}
	for range 1000 {
		account, took := &quick, 0.02
		if accounts.Credit(&slow, 0.5) > accounts.Credit(&quick, 0.5) {
			account, took = &slow, 0.2
		}
		accounts.RequestSent(account, 1)
		accounts.RequestEnded(account, took)
		sent[account]++
	}
	fmt.Println("quick", sent[&quick], "slow", sent[&slow])
	// Output:
	// quick 839 slow 161
}
