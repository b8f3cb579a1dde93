package gossip

import "time"

// byteBudget bounds bytes per second; what was not used is available for a second.
type byteBudget struct {
	rate      float64 // bytes per second
	available float64 // bytes; negative: a debt
	burst     float64 // the maximum of available: at least two messages
	updatedAt time.Duration
}

func newByteBudget(settings Settings, now time.Duration) byteBudget {
	burst := float64(max(settings.BytesPerSecond, 2*settings.MaxMessageBytes))
	return byteBudget{rate: float64(settings.BytesPerSecond), available: burst, burst: burst, updatedAt: now}
}

func (b *byteBudget) refill(now time.Duration) {
	b.available = min(b.available+b.rate*(now-b.updatedAt).Seconds(), b.burst)
	b.updatedAt = now
}

func (b *byteBudget) covers(bytes int) bool { return b.available >= float64(bytes) }

// spend takes the bytes if they are available.
func (b *byteBudget) spend(bytes int) bool {
	if !b.covers(bytes) {
		return false
	}
	b.charge(bytes)
	return true
}

// charge takes bytes that were received in any case. The debt is bounded, so that others cannot block an
// agent for long.
func (b *byteBudget) charge(bytes int) { b.available = max(b.available-float64(bytes), -b.burst) }

// waitFor returns how long it takes until the bytes are available.
func (b *byteBudget) waitFor(bytes int) time.Duration {
	return time.Duration((float64(bytes)-b.available)/b.rate*float64(time.Second)) + time.Millisecond
}
