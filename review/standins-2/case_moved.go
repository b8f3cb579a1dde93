package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["moved"] = upgradeAfterMove }

// upgradeAfterMove has a new configuration move discovery, then a booking server drain. With trouble, the
// agent is upgraded between the two, with the environment of the first start.
func upgradeAfterMove(root string, r *record, trouble bool) (broken []string) {
	w := newWorld(root, r, trouble, 3)
	defer w.close()
	w.writeConfig(w.discovery.addr)
	first := w.discovery
	a := w.startAgent("old", first.addr)
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
	time.Sleep(1500 * time.Millisecond)
	second := startDiscoveryAt(w, "discovery-2", first.list)
	w.writeConfig(second.addr)
	a.signal(syscall.SIGHUP)
	first.refuse()
	time.Sleep(1500 * time.Millisecond)
	first.end()
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		next := w.startAgent("new", first.addr)
		next.waitReady(6 * time.Second)
		a.signal(syscall.SIGTERM)
		go func() { time.Sleep(3200 * time.Millisecond); a.signal(syscall.SIGKILL) }()
	}
	time.Sleep(4 * time.Second)
	leaving := w.servers[0]
	told := time.Now()
	second.list.set(leaving.entry("leaving"))
	r.logf("discovery knows that %s drains", leaving.id)
	time.Sleep(16 * time.Second)
	close(stop)
	<-stopped
	time.Sleep(300 * time.Millisecond)
	// What discovery has to tell counts as told 6 s later at the latest, and sends have to end 3 s after that;
	// limits on sockets are 50 ms longer.
	limit := told.Add(9*time.Second + 50*time.Millisecond)
	late := 0
	for _, x := range leaving.all() {
		if x.firstByte.After(limit) {
			late++
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d requests were sent to %s over 9.05 s after discovery had its drain",
			late, leaving.id))
	}
	return broken
}
