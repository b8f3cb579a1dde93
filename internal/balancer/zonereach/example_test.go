package zonereach_test

import (
	"fmt"
	"time"

	"dunestep/internal/balancer/zonereach"
)

// Three servers of a zone in a row do not respond while another zone does: the zone is unreachable until it responds.
func Example() {
	var tracker zonereach.Tracker
	tracker.Answered(time.Second, "north")
	tracker.Answered(time.Second, "south")
	for i, server := range []string{"s-1", "s-2", "s-3"} {
		tracker.Unanswered(time.Duration(2+i)*time.Second, "north", server)
		tracker.Answered(time.Duration(2+i)*time.Second, "south")
	}
	fmt.Println(tracker.IsUnreachable("north"), tracker.IsUnreachable("south"))
	tracker.Answered(6*time.Second, "north")
	fmt.Println(tracker.IsUnreachable("north"))
	// Output:
	// true false
	// false
}
