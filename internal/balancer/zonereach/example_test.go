package zonereach_test

import (
	"fmt"
	"time"

	"dunestep/internal/balancer/zonereach"
)

func Example() {
	var z zonereach.Tracker
	z.Answered(time.Second, "north")
	z.Answered(time.Second, "south")
	for i, server := range []string{"s-1", "s-2", "s-3"} {
		z.Unanswered(time.Duration(2+i)*time.Second, "north", server)
		z.Answered(time.Duration(2+i)*time.Second, "south")
	}
	fmt.Println(z.IsUnreachable("north"), z.IsUnreachable("south"))
	z.Answered(6*time.Second, "north")
	fmt.Println(z.IsUnreachable("north"))
	// Output:
	// true false
	// false
}
