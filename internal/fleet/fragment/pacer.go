package fragment

import (
	"math"
	"time"
)

// tokenBucket paces what is sent; tokens are bytes.
type tokenBucket struct {
	rate, burst, tokens float64 // rate: per second
	updatedAt           time.Time
}

func newTokenBucket(cfg Config) tokenBucket {
	return tokenBucket{
		rate: float64(cfg.BytesPerSecond), burst: float64(cfg.BurstBytes), tokens: float64(cfg.BurstBytes),
	}
}

func (b *tokenBucket) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	if d := now.Sub(b.updatedAt); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.burst)
		b.updatedAt = now
	}
}

// take takes n bytes if they are available.
func (b *tokenBucket) take(now time.Time, n int) bool {
	b.refill(now)
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// takeWithDebt takes n bytes, if necessary of those that become available later, up to one burst.
func (b *tokenBucket) takeWithDebt(now time.Time, n int) bool {
	b.refill(now)
	if b.tokens-float64(n) < -b.burst {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// availableAt returns when n bytes are available.
func (b *tokenBucket) availableAt(n int) time.Time {
	if b.tokens >= float64(n) {
		return b.updatedAt
	}
	return b.updatedAt.Add(time.Duration(math.Ceil((float64(n) - b.tokens) / b.rate * float64(time.Second))))
}
