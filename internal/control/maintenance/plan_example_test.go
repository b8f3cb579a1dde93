package maintenance_test

import (
	"errors"
	"fmt"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
)

// A request is planned, or rejected with a reason and the first time at which it would fit.
func ExamplePlan() {
	hours, err := contract.Table{Zone: "Europe/Bucharest", Hours: []string{"mon-fri 20:00-06:00"}}.Contract()
	if err != nil {
		panic(err)
	}
	noon := time.Date(2026, 10, 23, 12, 0, 0, 0, time.UTC) // a Friday
	input := maintenance.PlanInput{
		Now: time.Duration(noon.UnixNano()), PolicyVersion: 7, PeakLoad: 0.5,
		TenantLoads: map[string]float64{"east": 0.6},
		Contracts:   map[string]*contract.Contract{"east": hours},
	}
	for _, id := range []string{"server-1", "server-2", "server-3", "server-4"} {
		input.Servers = append(input.Servers, maintenance.Server{ID: id, Capacity: 1})
	}
	request := maintenance.WindowRequest{
		ID: "disks", Nodes: []string{"server-1"}, Tenants: []string{"east"},
		From: input.Now + 26*time.Hour, To: input.Now + 27*time.Hour,
	}
	_, err = maintenance.Plan(request, input)
	fmt.Println(err)
	if conflict := (maintenance.Conflict{}); errors.As(err, &conflict) {
		fmt.Println("it would fit from", hours.InZone(conflict.NextFit).Format(time.RFC1123), "on")
		request.From, request.To = conflict.NextFit, conflict.NextFit+time.Hour
	}
	w, err := maintenance.Plan(request, input)
	if err != nil {
		panic(err)
	}
	fmt.Println("drained after", w.DrainedAt-w.From, "and until", w.ReturnFrom-w.From)
	fmt.Println(w.PlannedFraction(w.From+42*time.Second), "of the keys are moved after 42 s")
	request.ID, request.Nodes = "memory", []string{"server-2"}
	input.Windows = append(input.Windows, w)
	_, err = maintenance.Plan(request, input)
	fmt.Println(err)
	// Output:
	// tenant east: its contract's hours do not allow Sat 2026-10-24 17:00:00 EEST
	// it would fit from Mon, 26 Oct 2026 20:00:10 EET on
	// drained after 1m40s and until 58m20s
	// 0.42 of the keys are moved after 42 s
	// tenant east: 0.5 of the capacity remains, its contract requires 0.7, with windows disks
}
