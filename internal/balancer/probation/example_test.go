package probation_test

import (
	"fmt"
	"time"

	"dunestep/internal/balancer/probation"
)

// An old list of one server that answers: it is sent one request at a time, then more, and is proved by four.
func Example() {
	var book probation.List
	book.Start(probation.Trust(time.Hour, 15*time.Minute))
	s := book.Add()
	write := probation.Request{LatencyObjective: 500 * time.Millisecond, MaxAttempts: 3}
	fmt.Println("for what must not run twice:", s.HasCapacity(0, write.NeedsAnsweringServer(0)))
	for n := 1; ; n++ {
		s.AttemptSent()
		if book.AttemptEnded(s, 0, probation.Served) {
			fmt.Println("proved by", n)
			break
		}
		fmt.Println("for what must not run twice:", s.HasCapacity(0, write.NeedsAnsweringServer(0)))
	}
	write.WaitUntil = book.WaitDeadline(write, 0, time.Second)
	fmt.Println("worth waiting for:", book.ShouldWait(write, 0))
	// Output:
	// for what must not run twice: false
	// for what must not run twice: true
	// for what must not run twice: true
	// for what must not run twice: true
	// proved by 4
	// worth waiting for: false
}
