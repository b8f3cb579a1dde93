package overload

import (
	"fmt"
	"testing"
	"time"

	"dunestep/internal/balancer"
)

// BenchmarkServed is a request that is let in, sent and served, through the gate and the real module; without
// the gate beside it.
func BenchmarkServed(b *testing.B) {
	for _, off := range []bool{true, false} {
		b.Run(fmt.Sprintf("gate=%v", !off), func(b *testing.B) {
			var m Balancer
			set := deployment(4, 0)
			decisions, err := balancer.New(set, 1)
			m = decisions
			step := m.(interface {
				Step(time.Duration, balancer.Event) []balancer.Action
			})
			if !off && err == nil {
				step, err = New(set, Config{}, m, 1)
			}
			if err != nil {
				b.Fatal(err)
			}
			news := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
			for i := range 13 {
				news.Servers = append(news.Servers, balancer.Server{ID: fmt.Sprint("s-", i), MachineKind: "k", Weight: 1})
			}
			step.Step(epoch, news)
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

// BenchmarkRejected is a request that is turned away in an outage, each from another client.
func BenchmarkRejected(b *testing.B) {
	g, _ := New(deployment(4, 0), Config{}, &fakeBalancer{most: 100, servers: 13}, 1)
	g.outage.phase, g.outage.lastSuccessAt = phaseOutage, epoch
	keys := make([]string, 100_000)
	for i := range keys {
		keys[i] = fmt.Sprint("client-", i)
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 50 * time.Microsecond
		g.Step(now, &balancer.Request{ID: uint32(i + 1), Class: "rezervare", Key: keys[i%len(keys)], ClientTimeout: time.Second})
	}
}
