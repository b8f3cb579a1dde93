package ringassignment_test

import (
	"fmt"
	"time"

	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet/lease"
)

// A leader sees two servers and proposes the first generation, and an agent uses it from its time on.
func Example() {
	clock := lease.ClockReading{Unix: 1_000 * time.Hour}
	later := func(d time.Duration) lease.ClockReading {
		clock.Unix, clock.Mono = clock.Unix+d, clock.Mono+d
		return clock
	}
	machine, agent := ringassignment.NewStateMachine(), ringassignment.NewAgent()
	proposer := ringassignment.NewProposer(ringassignment.Parameters{}, clock)
	agent.Assignment(clock, lease.Full)

	now := later(6 * time.Second)
	proposer.SetView(now, ringassignment.View{Now: now.Unix, Servers: []ringassignment.Server{
		{ID: "s-1", Ready: true, Capacity: 1.8}, {ID: "s-2", Ready: true, Capacity: 0.9},
	}})
	proposer.Due(now)
	records, _ := proposer.Due(later(time.Second))
	machine.Apply(1, records[0])
	agent.Learn(machine)
	fmt.Println("before:", agent.Assignment(clock, lease.Full))
	p := agent.Assignment(later(time.Second), lease.Full)
	fmt.Println("at its time:", p.Generation, p.Points)
	for _, n := range machine.State().Members {
		fmt.Println(n.ID, n.Phase, "on the way from", n.Points, "to", n.FullPoints)
	}
	// Output:
	// before: <nil>
	// at its time: 1 map[s-1:100 s-2:100]
	// s-1 whole on the way from 100 to 360
	// s-2 whole on the way from 100 to 180
}
