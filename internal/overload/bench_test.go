package overload

import (
	"fmt"
	"testing"
	"time"

	"dunestep/internal/balancer"
)

// BenchmarkServed measures a request that is admitted, sent and served, through the controller with the
// real balancer, and through the balancer alone.
func BenchmarkServed(b *testing.B) {
	for _, balancerOnly := range []bool{true, false} {
		b.Run(fmt.Sprintf("gate=%v", !balancerOnly), func(b *testing.B) {
			var next Balancer
			set := deployment(4, 0)
			realBalancer, err := balancer.New(set, 1)
			next = realBalancer
			stepper := next.(interface {
				Step(time.Duration, balancer.Event) []balancer.Action
			})
			if !balancerOnly && err == nil {
				stepper, err = New(set, Config{}, next, 1)
			}
			if err != nil {
				b.Fatal(err)
			}
			update := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
			for i := range 13 {
				update.Servers = append(update.Servers, balancer.Server{ID: fmt.Sprint("s-", i), MachineKind: "k", Weight: 1})
			}
			stepper.Step(epoch, update)
			keys := make([]string, 1000)
			for i := range keys {
				keys[i] = fmt.Sprint("k", i)
			}
			now := epoch
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 2 * time.Millisecond
				req := balancer.Request{ID: uint32(i + 1), Class: "consult", Key: keys[i%1000], ClientTimeout: time.Second}
				for _, a := range stepper.Step(now, &req) {
					if a.Kind == balancer.Send {
						done := balancer.AttemptDone{ID: a.ID, Server: a.Server, Latency: 50 * time.Millisecond, RequestDone: true}
						stepper.Step(now, &done)
						break
					}
				}
			}
		})
	}
}

// BenchmarkRejected measures a request that is rejected in an outage, each from another client.
func BenchmarkRejected(b *testing.B) {
	c, _ := New(deployment(4, 0), Config{}, &fakeBalancer{maxInFlight: 100, servers: 13}, 1)
	c.outage.phase, c.outage.lastSuccessAt = phaseOutage, epoch
	keys := make([]string, 100_000)
	for i := range keys {
		keys[i] = fmt.Sprint("client-", i)
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 50 * time.Microsecond
		c.Step(now, &balancer.Request{ID: uint32(i + 1), Class: "rezervare", Key: keys[i%len(keys)], ClientTimeout: time.Second})
	}
}
