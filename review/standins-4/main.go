// Command review-4-play plays one case of the review: it starts agents and stand-ins, causes the disruption
// unless TROUBLE=0, and judges what clients, booking servers and the platform saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime is the time after which a case is ended; a script may run for 120 s.
const maxRunTime = 110 * time.Second

// endInTime ends the case, with all processes that it started, when its time is over or at a signal, until
// the returned function is called.
func endInTime(w *world) (stop func()) {
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-time.After(maxRunTime):
		case <-signals:
		case <-done:
			return
		}
		w.note("ended from outside, or for want of time")
		w.close()
		os.Exit(2)
	}()
	return func() { close(done) }
}

// cases are the cases by name. Each returns whether the rule was broken, and why.
var cases = map[string]func(*world) (broken string, err error){
	"chunks": playChunks,
	"folded": playFolded,
	"longer": playLonger,
	"old":    playOld,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-4-play CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	defer endInTime(w)()
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		w.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	w.note("held")
	fmt.Println("held")
	return 0
}
