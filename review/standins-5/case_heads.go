package main

import (
	"fmt"
	"strconv"
	"time"
)

// headBytes is how much bad clients send of a head that never ends. It is under the bound from which on the
// agent answers 431.
const headBytes = 19500

// endlessHead returns the beginning of a head of short lines, or of the shortest ones.
func endlessHead(class string, shortest bool) []byte {
	text := fmt.Appendf(nil, "GET /%s/x HTTP/1.1\r\nHost: backend.local\r\n", class)
	for i := 0; len(text) < headBytes; i++ {
		if shortest {
			text = fmt.Appendf(text, "%s:\n", strconv.FormatInt(int64(i)+36, 36))
		} else {
			text = fmt.Appendf(text, "X-%d: 1\r\n", i)
		}
	}
	return text[:headBytes]
}

// playHeads lets bad clients send heads of short lines that never end, and holds the agent's memory against
// its limit, over which the platform kills it.
func playHeads(w *world) int {
	usual := startClients(w, 10)
	time.Sleep(3 * time.Second)
	quiet, _ := w.memory()
	w.rec.line("before: %d KB of private memory", quiet)
	endBad := func() {}
	if w.trouble {
		endBad = startBadClients(w, w.bad, endlessHead(w.safe, w.short))
	}
	most, over, limit := 0, false, w.memoryMB<<10
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && !w.hasExited(); {
		private, resident := w.memory()
		if private > most {
			most = private
		}
		if private > limit && !over {
			over = true
			w.rec.line("OVER THE LIMIT: %d KB of private memory (%d KB resident), limit %d KB",
				private, resident, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.rec.line("at most: %d KB of private memory, limit %d KB", most, limit)
	if over && !w.hasExited() {
		w.rec.line("the platform kills the agent, as it does over memory_mb")
		_ = w.agent.Process.Kill()
		<-w.exited
	}
	count := usual.end()
	endBad()
	for o, n := range count {
		w.rec.line("requests of usual clients %s: %d", outcomeNames[o], n)
	}
	switch {
	case over:
		return ruleBroken
	case w.hasExited() || count[answered] < 100:
		return notRun
	}
	return ruleHeld
}
