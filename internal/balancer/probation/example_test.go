package probation_test

import (
	"fmt"
	"time"

	"dunestep/internal/balancer/probation"
)

// A server of an old list responds: it gets one request at a time at first, then more, and is proven by four responses.
func Example() {
	var list probation.List
	list.Start(probation.Trust(time.Hour, 15*time.Minute))
	s := list.Add()
	write := probation.Request{LatencyObjective: 500 * time.Millisecond, MaxAttempts: 3}
	fmt.Println("for a request that is not idempotent:", s.HasCapacity(0, write.NeedsAnsweringServer(0)))
	for n := 1; ; n++ {
		s.AttemptSent()
		if list.AttemptEnded(s, 0, probation.Served) {
			fmt.Println("proved by", n)
			break
		}
		fmt.Println("for a request that is not idempotent:", s.HasCapacity(0, write.NeedsAnsweringServer(0)))
	}
	write.WaitUntil = list.WaitDeadline(write, 0, time.Second)
	fmt.Println("should wait:", list.ShouldWait(write, 0))
	// Output:
	// for a request that is not idempotent: false
	// for a request that is not idempotent: true
	// for a request that is not idempotent: true
	// for a request that is not idempotent: true
	// proved by 4
	// should wait: false
}
