package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	dedupWindow   = time.Second            // memorySpan in the settings
	dedupDeadline = 5 * time.Second        // deadline and aim in the settings
	failAfter     = 700 * time.Millisecond // a booking server's work on a request that it then answers with 500
	shutFrom      = failAfter - 300*time.Millisecond
	shutUntil     = failAfter + 600*time.Millisecond
	// windowSlack is what the pages add: 50 ms to each time limit, and 0.15 s for an agent that is held up.
	windowSlack = 200 * time.Millisecond
	dedupRounds = 6
)

// playDedup has some connections to booking servers come up 1 s late while a request is repeated whose class
// is safe to repeat within a window only.
func playDedup(trouble bool) int {
	set := settings()
	set["bounds"].(map[string]any)["connectTimeout"] = 1500000
	class := classOf(set, unsafeEffect)
	class["effect"], class["keyScope"], class["memorySpan"] = dedupEffect, "all", dedupWindow.Microseconds()
	class["aim"], class["deadline"] = dedupDeadline.Microseconds(), dedupDeadline.Microseconds()

	var w *world
	var mu sync.Mutex
	shutting := map[string]bool{} // requests that have begun once
	w = newWorld(4, serverOptions{
		Work: 60 * time.Millisecond, CloseAfter: true, FailPath: "/fail", FailAfter: failAfter,
	}, set, func(e serverEvent) {
		mu.Lock()
		defer mu.Unlock()
		if e.Event != "begun" || !strings.HasSuffix(e.Path, "/fail") || shutting[e.ID] {
			return
		}
		shutting[e.ID] = true
		if !trouble {
			return
		}
		time.AfterFunc(shutFrom, func() {
			w.note("connections come up late from now on")
			for _, s := range w.servers {
				s.command("shut")
			}
		})
		time.AfterFunc(shutUntil, func() {
			w.note("connections come up at once again")
			for _, s := range w.servers {
				s.command("open")
			}
		})
	})
	for round := range dedupRounds {
		var ordinary sync.WaitGroup
		for i := range 30 {
			ordinary.Add(1)
			go func() {
				defer ordinary.Done()
				w.lookUp(fmt.Sprintf("chair-%d-%d", round, i))
			}()
			time.Sleep(20 * time.Millisecond)
		}
		ordinary.Wait()
		w.ask(request{
			method: http.MethodPost, path: w.path(dedupEffect, "fail"), key: fmt.Sprintf("booking-%d", round),
			left: dedupDeadline, framing: "Content-Length: 7",
		}, "chair=4")
	}
	begun, twice := map[string]serverEvent{}, 0
	for _, e := range w.eventsOf("begun") {
		if !strings.HasSuffix(e.Path, "/fail") { // the others may be repeated at any time
			continue
		}
		first, isRepeat := begun[e.ID]
		if !isRepeat {
			begun[e.ID] = e
			continue
		}
		after := time.Duration(e.At-first.At) * time.Microsecond
		w.note("repeat of %s at %s, %d ms after it began at %s", e.ID, e.Server, after.Milliseconds(), first.Server)
		// The time left that the agent tells shows when it wrote the repeat, however late the server read it.
		left, _ := strconv.Atoi(e.LeftMS)
		written := dedupDeadline - time.Duration(left)*time.Millisecond
		if after > dedupWindow+windowSlack && written > dedupWindow+windowSlack {
			w.note("RUN TWICE %s", e.ID)
			twice++
		}
	}
	connections := len(w.eventsOf("connected"))
	code := exitHeld
	if twice > 0 {
		code = exitBroken
	}
	return w.finish(code,
		"%d of %d bookings ran a second time later than %d ms after the first (window %d ms); "+
			"%d connections",
		twice, dedupRounds, (dedupWindow + windowSlack).Milliseconds(), dedupWindow.Milliseconds(), connections)
}
