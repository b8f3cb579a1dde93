package slowstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testParams = Params{
	InitialCapacity: 0.25, Duration: 8 * time.Second, OverloadMultiple: 2, OverloadWindow: 3 * time.Second,
	Margin: 0.5, MaxWarmMultiple: 0.75, Balancers: 10,
}

// TestCapacityFraction checks that the capacity grows linearly from the initial one until the server is warm.
func TestCapacityFraction(t *testing.T) {
	start := time.Hour
	for age, want := range map[time.Duration]float64{
		-time.Second: 0.25, 0: 0.25, 4 * time.Second: 0.625, 8*time.Second - 1: 1, 8 * time.Second: 1, time.Hour: 1,
	} {
		require.InDelta(t, want, testParams.CapacityFraction(start+age, start), 1e-9, age)
	}
	require.InDelta(t, 1, testParams.CapacityFraction(start, 0), 0, "zero means a start long ago")
}

// TestBudgetFillsAtItsRate checks that over a long time as many requests are sent as the rate permits.
func TestBudgetFillsAtItsRate(t *testing.T) {
	for name, tt := range map[string]struct {
		capacity, warmRate, weight float64
		kind                       Traffic
		perSecond                  float64
	}{
		"initial capacity":    {0.25, 20, 1, Regular, 5},
		"warm":                {1, 20, 1, Regular, 15},
		"half the weight":     {0.25, 20, 0.5, Regular, 2.5},
		"weight above 1":      {0.25, 20, 3, Regular, 5},
		"probes":              {1, 20, 1, Probes, 1},
		"probes, quiet fleet": {1, 0.01, 1, Probes, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			var b Budget
			now, sent := time.Hour, 0
			b.Start(now, 0)
			for range 100_000 {
				now += 10 * time.Millisecond
				if b.HasCapacity(&testParams, now, tt.capacity, tt.warmRate, tt.weight, tt.kind) {
					b.Spend(1)
					sent++
				}
			}
			require.InDelta(t, 1000*tt.perSecond, sent, 1+10*tt.perSecond)
		})
	}
}

// TestBudgetLimitsBurst checks that a budget that was not used for a long time permits one short burst only.
func TestBudgetLimitsBurst(t *testing.T) {
	var b Budget
	b.Start(0, 0.5)
	burst := 0
	for b.HasCapacity(&testParams, time.Hour, 0.25, 20, 1, Regular) {
		b.Spend(1)
		burst++
	}
	require.Equal(t, 2, burst, "the burst is a sixth of the 3 s window at 5 a second, 2.5 requests")
	require.False(t, b.HasCapacity(&testParams, time.Hour, 0.25, 20, 1, Regular))
}
