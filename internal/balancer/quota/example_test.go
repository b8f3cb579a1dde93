package quota_test

import (
	"fmt"
	"time"

	"dunestep/internal/balancer/quota"
)

// A tenant with a share of 10 requests a second sends 40, at the only balancer that there is.
func Example() {
	book := quota.New(1, false)
	book.Add("acme", 10)
	over := 0
	for i := range 400 {
		now := time.Duration(i) * 25 * time.Millisecond
		if i%40 == 0 {
			book.EndRound()
		}
		if book.IsOverQuota(now, "acme") {
			over++
		}
	}
	fmt.Println(over, "of 400 are beyond it")
	// Output:
	// 301 of 400 are beyond it
}
