package gossip

import "time"

// byteBudget is a token bucket that bounds the bytes per second, with a burst of one second.
type byteBudget struct {
	rate      float64 // bytes per second
	available float64 // bytes; negative: a debt
	burst     float64 // maximum of available in bytes, enough for at least two messages
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

// covers reports whether the bytes are available.
func (b *byteBudget) covers(bytes int) bool { return b.available >= float64(bytes) }

// spend deducts the bytes if they are available, and reports whether they were.
func (b *byteBudget) spend(bytes int) bool {
	if !b.covers(bytes) {
		return false
	}
	b.charge(bytes)
	return true
}

// charge deducts the bytes of a message that was received, whether or not they are available. The debt is
// bounded, so that other agents cannot block this one for long.
func (b *byteBudget) charge(bytes int) { b.available = max(b.available-float64(bytes), -b.burst) }

// waitFor returns the time until the bytes are available.
func (b *byteBudget) waitFor(bytes int) time.Duration {
	return time.Duration((float64(bytes)-b.available)/b.rate*float64(time.Second)) + time.Millisecond
}
