package decide_test

import (
	"fmt"
	"time"

	"dunestep/decide"
)

// A process embeds one Balancer, feeds it what happens and carries out the actions that come back.
func Example() {
	b, err := decide.New(decide.Settings{
		Balancers: 1,
		Zone:      "a",
		Tick:      time.Millisecond,
		Classes: []decide.Class{{
			Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second,
			Idempotency: decide.Idempotent, PriorityWeight: 1,
		}},
		Limits: decide.Limits{MaxAttempts: 3},
		Rules:  decide.Rules{SlowStartCapacity: 0.3, SlowStartDuration: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Step(0, &decide.ServerListUpdate{Kind: decide.UpdateFull, Servers: []decide.Server{
		{ID: "server-1", Zone: "a", Weight: 1}, {ID: "server-2", Zone: "a", Weight: 1},
	}})
	now := 10 * time.Millisecond
	for _, a := range b.Step(now, &decide.Request{ID: 1, Class: "read", Key: "user-7", ClientTimeout: time.Second}) {
		if a.Kind == decide.Send {
			fmt.Println("send request", a.ID, "to", a.Server)
			// ... and when it failed before it ran:
			done := &decide.AttemptDone{ID: a.ID, Server: a.Server, Outcome: decide.ConnectFailed}
			for _, next := range b.Step(now+time.Millisecond, done) {
				if next.Kind == decide.Send {
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
