package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// playLonger: the settings say that clients don't mark their retries. Clients give up a lookup request after
// 60% of the class's time, each first try, 20 a second. With the disruption, one client before them waits for
// the whole of that time.
func playLonger(w *world) (string, error) {
	set := settings()
	set["clientHabits"] = map[string]any{"marksRetry": false}
	servers, a, err := smallWith(w, 4, 30*time.Millisecond, set)
	if err != nil {
		return "", err
	}
	number := 0
	ask := func(wait time.Duration) (status int, err error) {
		number++
		c, err := net.Dial("tcp", a.listen)
		if err != nil {
			return 0, err
		}
		defer c.Close()
		_, err = fmt.Fprintf(c, "GET /lookup/slots HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %016x\r\n"+
			"X-Account: group-a\r\nCookie: sid=chair-%d\r\nX-Time-Left-Ms: %d\r\n\r\n",
			number, number%50, wait.Milliseconds())
		if err != nil {
			return 0, err
		}
		_ = c.SetReadDeadline(time.Now().Add(wait + 500*time.Millisecond))
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, answer.Body)
		return answer.StatusCode, err
	}
	const classTime, usual = 2500 * time.Millisecond, 1500 * time.Millisecond
	if w.trouble {
		status, err := ask(classTime)
		w.note("client: one request with %v is answered %d %v", classTime, status, err)
	}
	// The rule has 4 s and 15 requests.
	const watched = 20 * time.Second
	before, answers := attempts(servers), map[int]int{}
	for began := time.Now(); time.Since(began) < watched; time.Sleep(50 * time.Millisecond) {
		status, err := ask(usual)
		if err != nil {
			return "", fmt.Errorf("%w: %w", errCannotRun, err)
		}
		answers[status]++
	}
	tried := attempts(servers) - before
	w.note("clients: requests with %v in %v by answer: %v; attempts: %d", usual, watched, answers, tried)
	if tried == 0 {
		return fmt.Sprintf("the agent refused all requests of %v, with no attempt: %v", watched, answers), nil
	}
	return "", nil
}

// attempts returns how many requests the booking servers have received.
func attempts(servers []*server) (n int) {
	for _, s := range servers {
		n += len(s.all())
	}
	return n
}
