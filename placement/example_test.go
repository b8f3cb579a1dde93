package placement_test

import (
	"fmt"
	"time"

	"dunestep/fleet/lease"
	"dunestep/placement"
)

// A leader sees two servers, proposes the first generation, and an agent takes it up at its time.
func Example() {
	clock := lease.Reading{Unix: 1_000 * time.Hour}
	later := func(d time.Duration) lease.Reading {
		clock.Unix, clock.Mono = clock.Unix+d, clock.Mono+d
		return clock
	}
	machine, agent := placement.NewMachine(), placement.NewAgent()
	council := placement.NewCouncil(placement.Figures{}, clock)
	agent.Placed(clock, lease.Full)

	now := later(6 * time.Second)
	council.See(now, placement.View{Now: now.Unix, Servers: []placement.Seen{
		{ID: "s-1", Ready: true, Capacity: 1.8}, {ID: "s-2", Ready: true, Capacity: 0.9},
	}})
	council.Due(now)
	records, _ := council.Due(later(time.Second))
	machine.Apply(1, records[0])
	agent.Learn(machine)
	fmt.Println("before:", agent.Placed(clock, lease.Full))
	p := agent.Placed(later(time.Second), lease.Full)
	fmt.Println("at its time:", p.Number, p.Points)
	for _, n := range machine.State().Nodes {
		fmt.Println(n.ID, n.Phase, "on the way from", n.Points, "to", n.Full)
	}
	// Output:
	// before: <nil>
	// at its time: 1 map[s-1:100 s-2:100]
	// s-1 whole on the way from 100 to 360
	// s-2 whole on the way from 100 to 180
}
