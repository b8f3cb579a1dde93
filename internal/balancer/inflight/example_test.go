package inflight_test

import (
	"fmt"

	"dunestep/internal/balancer/inflight"
)

// Of two servers with an equal part one takes ten times as long: it is sent fewer.
func Example() {
	var book inflight.Accounts
	var quick, slow inflight.Account
	book.Open(&quick, 0.5)
	book.Open(&slow, 0.5)
	sent := map[*inflight.Account]int{}
	for range 1000 {
		to, took := &quick, 0.02
		if book.Credit(&slow, 0.5) > book.Credit(&quick, 0.5) {
			to, took = &slow, 0.2
		}
		book.RequestSent(to, 1)
		book.RequestEnded(to, took)
		sent[to]++
	}
	fmt.Println("quick", sent[&quick], "slow", sent[&slow])
	// Output:
	// quick 839 slow 161
}
