package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each plays one on a world, and reports by world.breaks where the rule is
// broken.
var cases = map[string]func(w *world){
	"cut": playCut, "stuck": playStuck, "crowded": playCrowded, "hung": playHung,
	"ended": playEnded, "begun": playBegun, "late": playLate,
}

// timeLimit bounds a play.
const timeLimit = 110 * time.Second

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3-play CASE RECORD, with ROOT and RUN in the environment")
		os.Exit(exitNotRun)
	}
	w := &world{
		start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", root: os.Getenv("ROOT"), run: os.Getenv("RUN"),
	}
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
		select {
		case <-ended:
		case <-time.After(timeLimit):
		}
		fmt.Fprintln(os.Stderr, "could not run: ended from outside, or out of time")
		w.endAll()
		os.Exit(exitNotRun)
	}()
	os.Exit(play(w, cases[os.Args[1]], os.Args[2]))
}

// play plays a case, and returns the exit code.
func play(w *world, run func(*world), record string) (code int) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintln(os.Stderr, "could not run:", p)
			w.endAll()
			code = exitNotRun
		}
	}()
	w.open(record)
	run(w)
	w.endAll()
	return w.verdict()
}
