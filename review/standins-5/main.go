// Command standins5 plays one case of the review: it starts the agent by the deploy file's run command and
// takes the place of its clients, servers, discovery and platform, all on loopback and the real clock.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// options are the flags of a case. The names of the classes come from outside, as those of a deployment.
type options struct {
	root, record string
	safe, unsafe string
	trouble      bool
	short        bool
	second       bool
	lateMS       int
	full         bool
	memoryMB     int
	sockets      int
	bad          int
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	var o options
	var name string
	flag.StringVar(&name, "case", "", "heads, crowd or second")
	flag.StringVar(&o.root, "root", ".", "root of the repository")
	flag.StringVar(&o.record, "record", "record.txt", "file for the record")
	flag.StringVar(&o.safe, "safe", "", "class that is safe to repeat")
	flag.StringVar(&o.unsafe, "unsafe", "", "class that is unsafe to repeat")
	flag.BoolVar(&o.short, "short", false, "heads: the shortest lines")
	flag.IntVar(&o.lateMS, "late", 0, "second: how many ms each second answer is late; 0: 4 to 12")
	flag.BoolVar(&o.full, "full", false, "second: servers turn away one request in twenty")
	flag.IntVar(&o.memoryMB, "memory", 64, "the agent's memory limit, in MB")
	flag.IntVar(&o.sockets, "sockets", 1024, "the agent's descriptors")
	flag.IntVar(&o.bad, "bad", 300, "number of bad clients")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	o.second = name == "second"
	file, err := os.Create(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	rec := &record{file: file, start: time.Now()}
	plays := map[string]func(*world) int{"heads": playHeads, "crowd": playCrowd, "second": playSecond}
	play, known := plays[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(notRun)
	}
	os.Exit(run(o, rec, play))
}

// run plays a case in a world of its own, and ends what it has started.
func run(o options, rec *record, play func(*world) int) int {
	w, err := newWorld(o, rec)
	if err != nil {
		rec.line("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(100 * time.Second):
		}
		rec.line("the case was ended")
		w.close()
		os.Exit(notRun)
	}()
	if err := w.startAgent(); err != nil {
		rec.line("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	}
	code := play(w)
	verdict := map[int]string{ruleHeld: "held", ruleBroken: "BROKEN", notRun: "not run"}[code]
	rec.line("the rule: %s", verdict)
	fmt.Println("the rule:", verdict)
	return code
}
