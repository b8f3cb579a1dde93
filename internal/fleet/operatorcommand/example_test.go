package operatorcommand_test

import (
	"fmt"
	"time"

	"dunestep/internal/fleet/operatorcommand"
)

// Staff take a booking server out at one agent; all that apply the log know it.
func Example() {
	record, err := operatorcommand.Command{Server: "s-1", Down: true, IssuedBy: 17, IssuedAt: 1_800_000_000 * time.Second}.Encode()
	if err != nil {
		fmt.Println(err)
	}
	var book operatorcommand.List
	book.Apply(1, record)
	for _, o := range book.All() {
		fmt.Println(o.Server, "down:", o.Down, "by agent", o.IssuedBy)
	}
	// Output:
	// s-1 down: true by agent 17
}
