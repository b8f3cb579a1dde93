package ringassignment_test

import (
	"fmt"
	"time"

	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet/lease"
)

// The leader proposes the first generation from its view of two servers, and an agent uses it from its effective
// time on.
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
	fmt.Println("before the effective time:", agent.Assignment(clock, lease.Full))
	assignment := agent.Assignment(later(time.Second), lease.Full)
	fmt.Println("at the effective time:", assignment.Generation, assignment.Points)
	for _, member := range machine.State().Members {
		fmt.Println(member.ID, member.Phase, "points", member.Points, "of", member.FullPoints)
	}
	// Output:
	// before the effective time: <nil>
	// at the effective time: 1 map[s-1:100 s-2:100]
	// s-1 whole points 100 of 360
	// s-2 whole points 100 of 180
}
