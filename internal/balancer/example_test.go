package balancer_test

import (
	"fmt"
	"time"

	"dunestep/internal/balancer"
)

// A process has one Balancer, passes it events and carries out the actions it returns.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Balancers: 1,
		Zone:      "a",
		Tick:      time.Millisecond,
		Classes: []balancer.Class{{
			Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second,
			Idempotency: balancer.Idempotent, PriorityWeight: 1,
		}},
		Limits: balancer.Limits{MaxAttempts: 3},
		Rules:  balancer.Rules{SlowStartCapacity: 0.3, SlowStartDuration: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Step(0, &balancer.ServerListUpdate{Kind: balancer.UpdateFull, Servers: []balancer.Server{
		{ID: "server-1", Zone: "a", Weight: 1}, {ID: "server-2", Zone: "a", Weight: 1},
	}})
	now := 10 * time.Millisecond
	for _, a := range b.Step(now, &balancer.Request{ID: 1, Class: "read", Key: "user-7", ClientTimeout: time.Second}) {
		if a.Kind == balancer.Send {
			fmt.Println("send request", a.ID, "to", a.Server)
			// If the attempt fails before it was processed, it is retried elsewhere:
			done := &balancer.AttemptDone{ID: a.ID, Server: a.Server, Outcome: balancer.ConnectFailed}
			for _, next := range b.Step(now+time.Millisecond, done) {
				if next.Kind == balancer.Send {
					fmt.Println("then to", next.Server)
				}
			}
			break
		}
	}
	// Output:
	// send request 1 to server-1
	// then to server-2
}
