package transport

import (
	"log/slog"
	"sync"
	"time"
)

// rateLimitedLog logs warnings that peers or clients can cause, at most one per second. Each line contains
// the number of warnings skipped since the previous line.
type rateLimitedLog struct {
	mu         sync.Mutex
	lastLogged time.Time
	skipped    int
}

func (l *rateLimitedLog) warn(text string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.lastLogged) >= time.Second {
		slog.Warn(text, append(args, "unlogged", l.skipped)...)
		l.lastLogged, l.skipped = now, 0
		return
	}
	l.skipped++
}
