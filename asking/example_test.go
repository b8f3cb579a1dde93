package asking_test

import (
	"fmt"
	"time"

	"dunestep/asking"
)

// A watch ends, and the call after it is refused twice.
func Example() {
	clock := asking.New(asking.Terms{Agents: 300, AskWithin: 10 * time.Second, DrainGrace: 3 * time.Second})
	clock.Answered(true)
	now := time.Minute
	for _, end := range []asking.End{asking.Lost, asking.Refused, asking.Refused} {
		wait := clock.Ended(now, end, 0.5) // the draw that spreads agents
		fmt.Println("call again after", wait)
		now += wait
	}
	// Output:
	// call again after 3.1875s
	// call again after 1.770833333s
	// call again after 1.180555555s
}
