package quota_test

import (
	"fmt"
	"time"

	"dunestep/internal/balancer/quota"
)

// A tenant with a quota of 10 requests a second sends 40, at the only agent.
func Example() {
	tracker := quota.New(1, false)
	tracker.Add("acme", 10)
	over := 0
	for i := range 400 {
		now := time.Duration(i) * 25 * time.Millisecond
		if i%40 == 0 {
			tracker.EndRound()
		}
		if tracker.IsOverQuota(now, "acme") {
			over++
		}
	}
	fmt.Println(over, "of 400 are over the quota")
	// Output:
	// 301 of 400 are over the quota
}
