package overload

import (
	"fmt"
	"testing"
	"time"

	"dunestep/internal/balancer"
)

// BenchmarkServed is a request that is admitted, sent and served, through the controller and the real
// balancer; and without the controller.
func BenchmarkServed(b *testing.B) {
	for _, off := range []bool{true, false} {
		b.Run(fmt.Sprintf("gate=%v", !off), func(b *testing.B) {
			var next Balancer
			set := deployment(4, 0)
			decisions, err := balancer.New(set, 1)
			next = decisions
			step := next.(interface {
				Step(time.Duration, balancer.Event) []balancer.Action
			})
			if !off && err == nil {
				step, err = New(set, Config{}, next, 1)
			}
			if err != nil {
				b.Fatal(err)
			}
			update := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
			for i := range 13 {
				update.Servers = append(update.Servers, balancer.Server{ID: fmt.Sprint("s-", i), MachineKind: "k", Weight: 1})
			}
			step.Step(epoch, update)
			keys := make([]string, 1000)
			for i := range keys {
				keys[i] = fmt.Sprint("k", i)
			}
			now := epoch
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 2 * time.Millisecond
				req := balancer.Request{ID: uint32(i + 1), Class: "consult", Key: keys[i%1000], ClientTimeout: time.Second}
				for _, a := range step.Step(now, &req) {
					if a.Kind == balancer.Send {
						done := balancer.AttemptDone{ID: a.ID, Server: a.Server, Latency: 50 * time.Millisecond, RequestDone: true}
						step.Step(now, &done)
						break
					}
				}
			}
		})
	}
}

// BenchmarkRejected is a request that is rejected in an outage, each from another client.
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
