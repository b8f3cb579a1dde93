// Command play plays one case of the review: it starts the agent with stand-ins around it and brings about
// the trouble unless TROUBLE=0 is set. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name. Each returns what broke the rule; empty: nothing.
var cases = map[string]func(root string, r *record, trouble bool) []string{}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE ROOT RECORD")
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &record{file: file, started: time.Now()}
	defer func() {
		if why, ok := recover().(noRun); ok {
			r.logf("could not run: %s", why.why)
			fmt.Println("could not run:", why.why)
			code = 2
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken := cases[os.Args[1]](os.Args[2], r, trouble)
	for _, b := range broken {
		r.logf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	r.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
