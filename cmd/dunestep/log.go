package main

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"

	"dunestep/internal/operator"
)

// logging is the program's log. The handler is never replaced; a reload may change its format and level.
var logging = newLogHandler(os.Stderr)

// logHandler writes the log in the current format, from the current level on. It is safe for concurrent use.
type logHandler struct {
	text, json slog.Handler
	level      *slog.LevelVar
	useJSON    *atomic.Bool
}

func newLogHandler(out *os.File) logHandler {
	h := logHandler{level: &slog.LevelVar{}, useJSON: &atomic.Bool{}}
	options := &slog.HandlerOptions{Level: h.level}
	h.text, h.json = slog.NewTextHandler(out, options), slog.NewJSONHandler(out, options)
	return h
}

// set applies an operator file's settings.
func (h logHandler) set(l operator.Log) {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level)) // was validated when the file was read
	h.level.Set(level)
	h.useJSON.Store(l.Format == operator.FormatJSON)
}

// current returns the handler of the current format.
func (h logHandler) current() slog.Handler {
	if h.useJSON.Load() {
		return h.json
	}
	return h.text
}

// Enabled implements slog.Handler.
func (h logHandler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.level.Level() }

// Handle implements slog.Handler.
func (h logHandler) Handle(ctx context.Context, r slog.Record) error {
	return h.current().Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h logHandler) WithAttrs(a []slog.Attr) slog.Handler {
	h.text, h.json = h.text.WithAttrs(a), h.json.WithAttrs(a)
	return h
}

// WithGroup implements slog.Handler.
func (h logHandler) WithGroup(name string) slog.Handler {
	h.text, h.json = h.text.WithGroup(name), h.json.WithGroup(name)
	return h
}
