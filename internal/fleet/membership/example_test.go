package membership_test

import (
	"fmt"
	"time"

	"dunestep/internal/fleet/membership"
)

// Only agent 1 receives messages from agent 2. Its updates report to agent 0 that agent 2 is alive, and later that it has
// left.
func Example() {
	var agents [3]*membership.List
	for i := range agents {
		agents[i] = membership.New(membership.Settings{Agents: 3, Self: i, StartedAt: 1_800_000_000 * time.Second, Seed: 1}, 0)
	}
	send := func(now time.Duration, from, to int) {
		if err := agents[to].ApplyUpdate(now, from, agents[from].Update(now, to, 64)); err != nil {
			fmt.Println(err)
		}
	}
	send(time.Second, 2, 1)
	send(2*time.Second, 1, 0)
	fmt.Println(agents[0].Status(2*time.Second, 2) == membership.Alive)
	agents[2].Leave()
	send(3*time.Second, 2, 1)
	send(4*time.Second, 1, 0)
	fmt.Println(agents[0].Status(4*time.Second, 2) == membership.Left)
	// Output:
	// true
	// true
}
