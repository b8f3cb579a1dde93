// Command standins has the stand-ins of the review's cases, and plays each case.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	runtime.LockOSThread() // the system ends the agent with the thread that started it
	switch {
	case len(os.Args) == 3 && os.Args[1] == "server":
		var o serverOptions
		must(json.Unmarshal([]byte(os.Args[2]), &o))
		serveBooking(o)
	case len(os.Args) == 2 && cases[os.Args[1]] != nil:
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
		go func() {
			<-interrupted
			fatal(fmt.Errorf("interrupted"))
		}()
		time.AfterFunc(115*time.Second, func() { fatal(fmt.Errorf("the case took too long")) })
		code := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
		endAll()
		os.Exit(code)
	default:
		fmt.Fprintln(os.Stderr, "usage: standins CASE")
		os.Exit(exitNotRun)
	}
}

var (
	endMu sync.Mutex
	ends  []func()
)

// atEnd has f called at the end of the process, however the case ends.
func atEnd(f func()) {
	endMu.Lock()
	defer endMu.Unlock()
	ends = append(ends, f)
}

func endAll() {
	endMu.Lock()
	defer endMu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	ends = nil
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	endAll()
	os.Exit(exitNotRun)
}

func must(err error) {
	if err != nil {
		fatal(err)
	}
}

func mustEnv(name string) string {
	v := os.Getenv(name)
	if v == "" {
		fatal(fmt.Errorf("%s is not set", name))
	}
	return v
}
