package backoff_test

import (
	"fmt"
	"time"

	"dunestep/internal/discovery/backoff"
)

// A watch ends, and the calls after it fail twice.
func Example() {
	schedule := backoff.New(backoff.Settings{Agents: 300, MaxPollInterval: 10 * time.Second, DrainGrace: 3 * time.Second})
	schedule.Answered(backoff.HasEntries)
	now := time.Minute
	for _, result := range []backoff.CallResult{backoff.WatchLost, backoff.CallFailed, backoff.CallFailed} {
		wait := schedule.CallEnded(now, result, 0.5) // the mean of the random draw
		fmt.Println("call again after", wait)
		now += wait
	}
	// Output:
	// call again after 3.1875s
	// call again after 1.770833333s
	// call again after 1.180555555s
}
