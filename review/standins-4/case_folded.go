package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// playFolded: a bad client sends a request with both Content-Length and Transfer-Encoding, which hides
// another one in its body. With the disruption, the field Content-Length of the request before it is folded
// over two lines.
func playFolded(w *world) (string, error) {
	servers, a, err := small(w, 3, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	const times = 5
	for i := range times {
		if err := sendHidden(w, a.listen, i); err != nil {
			return "", err
		}
		// the usual clients
		id := fmt.Sprintf("00000000000%d00aa", i)
		status, text, err := postOnce(w, a.listen, id, "chair=4")
		w.note("usual client: id %s: %d %q %v", id, status, text, err)
		if err != nil || status != http.StatusOK {
			return "", fmt.Errorf("%w: a usual request was answered %d, %w", errCannotRun, status, err)
		}
	}
	hidden := 0
	for _, s := range servers {
		for _, r := range s.all() {
			if strings.HasSuffix(r.target, "/hidden") {
				hidden++
			}
		}
	}
	if hidden > 0 {
		return fmt.Sprintf("booking servers ran %d of %d requests that were hidden in the body of one with "+
			"Content-Length and Transfer-Encoding", hidden, times), nil
	}
	return "", nil
}

// sendHidden sends two requests at once on a new connection. The second has both lengths and hides a third.
func sendHidden(w *world, address string, number int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	fold := " "
	if w.trouble {
		fold = "\r\n "
	}
	head := func(name string, last int) string {
		return fmt.Sprintf("POST /booking/%s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: "+
			"000000000000%d0%02x\r\nX-Account: group-a\r\nX-Time-Left-Ms: 900\r\n", name, number, last)
	}
	firstBody := "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
	first := head("first", 1) + fmt.Sprintf("Content-Length:%s%d\r\n\r\n%s", fold, len(firstBody), firstBody)
	secondBody := "0\r\n\r\n" + head("hidden", 3) + "Content-Length: 7\r\n\r\nchair=9"
	second := head("second", 2) +
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(secondBody), secondBody)
	w.note("bad client sends %q", first+second)
	if _, err := io.WriteString(c, first+second); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
	in := bufio.NewReader(c)
	for {
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			w.note("bad client: end of the answers: %v", err)
			return nil
		}
		body, err := io.ReadAll(answer.Body)
		w.note("bad client: answer %s %q %v", answer.Status, body, err)
	}
}
