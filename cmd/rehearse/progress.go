package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/term"
)

const (
	progressDelay    = 2 * time.Second        // commands that take less show no progress
	progressInterval = 200 * time.Millisecond // as a fast hunt would spend most of its time writing
)

// progress shows the progress of a command as one line on a terminal, and nothing if stderr is not a
// terminal. It is the only part of the kit that reads a clock, and it does not affect reports.
type progress struct {
	out       io.Writer // nil: not a terminal
	startedAt time.Time
	lastShown time.Time
	shown     bool
}

func (inv invocation) progress() *progress {
	p := &progress{startedAt: time.Now()}
	if f, ok := inv.stderr.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		p.out = f
	}
	return p
}

const clearLine = "\r\x1b[K"

// show replaces the line.
func (p *progress) show(format string, args ...any) {
	now := time.Now()
	if p.out == nil || now.Sub(p.startedAt) < progressDelay || now.Sub(p.lastShown) < progressInterval {
		return
	}
	p.lastShown, p.shown = now, true
	fmt.Fprintf(p.out, clearLine+format, args...)
}

// clear removes the line.
func (p *progress) clear() {
	if p.shown {
		fmt.Fprint(p.out, clearLine)
	}
}
