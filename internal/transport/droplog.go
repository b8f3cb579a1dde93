package transport

import (
	"log/slog"
	"sync"
	"time"
)

// dropLog logs what is dropped, once a second at most: the log is no way to fill the machine.
type dropLog struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

func (d *dropLog) warn(text string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); now.Sub(d.last) >= time.Second {
		slog.Warn(text, append(args, "unlogged", d.skipped)...)
		d.last, d.skipped = now, 0
		return
	}
	d.skipped++
}
