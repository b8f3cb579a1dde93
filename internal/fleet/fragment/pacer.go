package fragment

import (
	"math"
	"time"
)

// tokenBucket bounds the bytes sent; a token is a byte.
type tokenBucket struct {
	rate, burst, tokens float64 // rate in bytes per second, the others in bytes
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

// spend deducts n bytes if they are available, and reports whether they were.
func (b *tokenBucket) spend(now time.Time, n int) bool {
	b.refill(now)
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// spendWithDebt deducts n bytes, and reports whether it did. It allows a debt of up to one burst.
func (b *tokenBucket) spendWithDebt(now time.Time, n int) bool {
	b.refill(now)
	if b.tokens-float64(n) < -b.burst {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// availableAt returns the time when n bytes are available.
func (b *tokenBucket) availableAt(n int) time.Time {
	if b.tokens >= float64(n) {
		return b.updatedAt
	}
	return b.updatedAt.Add(time.Duration(math.Ceil((float64(n) - b.tokens) / b.rate * float64(time.Second))))
}
