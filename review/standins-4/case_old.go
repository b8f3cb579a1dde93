package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// playOld: a bad client sends a booking request whose body comes in chunks. With the disruption, its
// request line says HTTP/1.0, which has no chunks.
func playOld(w *world) (string, error) {
	servers, a, err := small(w, 3, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	version := "HTTP/1.1"
	if w.trouble {
		version = "HTTP/1.0"
	}
	const booking = "chair=4&day=monday"
	const times = 5
	served := 0
	for i := range times {
		id := fmt.Sprintf("00000000000000%02x", i)
		text := fmt.Sprintf("POST /booking/slot %s\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\n"+
			"X-Account: group-a\r\nX-Time-Left-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			version, id, len(booking), booking)
		w.note("bad client sends %q", text)
		c, err := net.Dial("tcp", a.listen)
		if err != nil {
			return "", err
		}
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			body, err := io.ReadAll(answer.Body)
			w.note("bad client: answer %s %q %v", answer.Status, body, err)
			if answer.StatusCode == http.StatusOK {
				served++
			}
		} else {
			w.note("bad client: no answer: %v", err)
		}
		_ = c.Close()
	}
	other := 0
	for _, s := range servers {
		for _, r := range s.all() {
			if r.body != booking {
				other++
			}
		}
	}
	if other > 0 {
		return fmt.Sprintf("booking servers ran %d of %d requests without the body that their client had sent; "+
			"%d were answered 200", other, times, served), nil
	}
	return "", nil
}
