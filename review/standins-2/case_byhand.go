package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["byhand"] = byHandAtUpgrade }

// byHandAtUpgrade has staff take a booking server out by hand. With trouble, the agent is being upgraded just
// then: staff call at the door of the old process, which answers yes. The folder $TMPDIR, which the two
// processes share, has a path of over 100 characters.
func byHandAtUpgrade(root string, r *record, trouble bool) (broken []string) {
	w := newWorld(root, r, trouble, 4)
	defer w.close()
	if os.Getenv("SHORT") == "" { // to compare: with a short path the two processes meet
		w.tmp = w.dir + "/" + strings.Repeat("a-folder-of-the-platform/", 4)
	}
	w.writeConfig(w.discovery.addr)
	a := w.startAgent("old", w.discovery.addr)
	a.waitReady(6 * time.Second)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { // ordinary traffic
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			go w.ask("client", "lookup", w.correlationID(), 2*time.Second, fmt.Sprint("k", i%100))
		}
	}()
	time.Sleep(2 * time.Second)
	last := a
	if trouble {
		if _, err := w.connect("client-that-rests"); err != nil { // the old process ends with its last client
			cannotRun("%v", err)
		}
		last = w.startAgent("new", w.discovery.addr)
		last.waitReady(6 * time.Second)
		a.signal(syscall.SIGTERM)
		go func() { time.Sleep(3200 * time.Millisecond); a.signal(syscall.SIGKILL) }()
		time.Sleep(300 * time.Millisecond)
	}
	out := w.servers[0]
	status := a.opsCall(http.MethodPost, "/ops/booking-servers/down", out.id)
	said := time.Now()
	r.logf("staff: takes %s out at the door of %s, answered %d", out.id, a.name, status)
	if status != http.StatusOK {
		cannotRun("the call is answered %d", status)
	}
	time.Sleep(9 * time.Second)
	close(stop)
	<-stopped
	time.Sleep(300 * time.Millisecond)
	late := 0
	for _, x := range out.all() {
		if x.firstByte.After(said.Add(3*time.Second + 50*time.Millisecond)) {
			late++
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d requests were sent to %s over 3.05 s after the yes", late, out.id))
	}
	if last.hasExited() {
		cannotRun("%s has ended", last.name)
	}
	return broken
}
