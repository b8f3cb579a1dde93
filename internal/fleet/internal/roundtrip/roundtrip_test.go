package roundtrip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTimeout checks that the timeout follows the samples within its limits.
func TestTimeout(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		samples []time.Duration
		timeout time.Duration
	}{
		{nil, 200 * ms},
		{[]time.Duration{20 * ms}, 80 * ms},
		{[]time.Duration{20 * ms, 28 * ms}, 84 * ms},
		{[]time.Duration{ms}, 50 * ms},
		{[]time.Duration{time.Second}, 200 * ms},
		{[]time.Duration{0}, 50 * ms},
		{[]time.Duration{-time.Hour}, 50 * ms},
	} {
		var e Estimate
		for _, s := range c.samples {
			e.AddSample(s)
		}
		require.Equal(t, c.timeout, e.Timeout(200*ms, 4), "%v", c.samples)
	}
}
