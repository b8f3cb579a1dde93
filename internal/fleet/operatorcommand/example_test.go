package operatorcommand_test

import (
	"fmt"
	"time"

	"dunestep/internal/fleet/operatorcommand"
)

// An operator takes a server out at one agent. All agents that apply the log have the command.
func Example() {
	record, err := operatorcommand.Command{Server: "s-1", Down: true, IssuedBy: 17, IssuedAt: 1_800_000_000 * time.Second}.Encode()
	if err != nil {
		fmt.Println(err)
	}
	var list operatorcommand.List
	list.Apply(1, record)
	for _, c := range list.All() {
		fmt.Println(c.Server, "down:", c.Down, "by agent", c.IssuedBy)
	}
	// Output:
	// s-1 down: true by agent 17
}
