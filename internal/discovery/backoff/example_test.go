package backoff_test

import (
	"fmt"
	"time"

	"dunestep/internal/discovery/backoff"
)

// A watch ends, and the call after it is refused twice.
func Example() {
	clock := backoff.New(backoff.Settings{Agents: 300, MaxPollInterval: 10 * time.Second, DrainGrace: 3 * time.Second})
	clock.Answered(true)
	now := time.Minute
	for _, end := range []backoff.CallResult{backoff.WatchLost, backoff.CallFailed, backoff.CallFailed} {
		wait := clock.CallEnded(now, end, 0.5) // the draw that spreads agents
		fmt.Println("call again after", wait)
		now += wait
	}
	// Output:
	// call again after 3.1875s
	// call again after 1.770833333s
	// call again after 1.180555555s
}
