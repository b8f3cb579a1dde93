package main

import "time"

// playCrowd lets many clients stop in the middle of a request and stay, beside a few usual clients.
func playCrowd(w *world) int {
	usual := startClients(w, 24)
	time.Sleep(3 * time.Second)
	endBad := func() {}
	if w.trouble {
		half := "POST /" + w.unsafe + "/x HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: "
		endBad = startBadClients(w, w.bad, []byte(half))
	}
	time.Sleep(8 * time.Second)
	count := usual.end()
	endBad()
	for o, n := range count {
		w.rec.line("requests of usual clients %s: %d", outcomeNames[o], n)
	}
	switch {
	case w.hasExited() || count[answered] < 100:
		return notRun
	case count[lost] > 0:
		return ruleBroken
	}
	return ruleHeld
}
