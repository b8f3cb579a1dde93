package world

import (
	"context"
	"testing"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// discardingSink is a sink that discards everything.
type discardingSink struct{}

func (discardingSink) Begin(record.Run)          {}
func (discardingSink) Server(int, record.Server) {}
func (discardingSink) Observe(*record.Event)     {}
func (discardingSink) Sample(*record.Sample)     {}
func (discardingSink) End(time.Duration)         {}

func benchmarkMinute(b *testing.B, faults ...scenario.FaultSpec) {
	sc := deployment(time.Minute)
	sc.Faults = faults
	b.ReportAllocs()
	for i := range b.N {
		if err := Play(context.Background(), sc, uint64(i), discardingSink{}, Options{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMinute simulates one minute: 13 servers, 5 agents, 330 requests a second.
func BenchmarkMinute(b *testing.B) { benchmarkMinute(b) }

// BenchmarkMinuteWithFaults simulates a minute with silent servers during a rolling deploy and four
// times the traffic.
func BenchmarkMinuteWithFaults(b *testing.B) {
	at, duration := ms(10000, 10000), ms(25000, 25000)
	benchmarkMinute(b, scenario.FaultSpec{Kind: scenario.Silent, At: at, For: duration, Part: span(0.19, 0.19)},
		scenario.FaultSpec{
			Kind: scenario.Deploy, At: at, For: duration, Part: span(0.8, 0.8), Size: span(0.18, 0.18),
			Drain: ms(4000, 4000),
		}, scenario.FaultSpec{Kind: scenario.Surge, At: at, For: duration, Size: span(4, 4)})
}
