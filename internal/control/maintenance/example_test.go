package maintenance_test

import (
	"fmt"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// An agent follows an accepted window by its own clock.
func Example() {
	const monday = 1798459200 * time.Second // noon, UTC
	at := func(after time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: monday + after, Mono: after}
	}
	m := maintenance.NewStateMachine(func() uint64 { return 7 })
	record, err := maintenance.EncodeProposal(maintenance.Proposal{Now: monday, PolicyVersion: 7, Window: &maintenance.Window{
		ID:    "disk of n1",
		Nodes: []string{"n1"}, Tenants: []string{"clinics"}, From: monday + 9*time.Hour, Steps: 100,
		DrainedAt: monday + 9*time.Hour + 100*time.Second, ReturnFrom: monday + 11*time.Hour,
		To: monday + 11*time.Hour + 100*time.Second,
	}})
	if err != nil {
		panic(err)
	}
	m.Apply(1, record)
	hours, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-fri 20:00-06:00"}, NoticeMin: 20, MaxLengthMin: 240,
		MaxPerMonth: 4, KeptCapacity: 0.5, MinServed: 0.9,
	}.Contract()
	if err != nil {
		panic(err)
	}
	agent := maintenance.NewAgent(4)
	agent.Learn(m)
	active := policy.Active{
		Mode: policy.ModeFull, Version: 7,
		Effect: &policy.Effect{Contracts: map[string]*contract.Contract{"clinics": hours}},
	}
	for _, after := range []time.Duration{8 * time.Hour, 9*time.Hour + 25*time.Second, 10 * time.Hour} {
		exclusions := agent.Exclusions(at(after), lease.Full, active)
		if exclusions == nil {
			fmt.Println("nothing is moved")
			continue
		}
		fmt.Printf("%.2f of the keys keep off n1\n", float64(exclusions.Tenants["clinics"]["n1"])/(1<<32))
	}
	// Output:
	// nothing is moved
	// 0.25 of the keys keep off n1
	// 1.00 of the keys keep off n1
}
