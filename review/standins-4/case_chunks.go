package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// playChunks: clients send two requests each, the second one with its body in chunks. With the disruption,
// they send both at once; else the second one after the answer to the first.
func playChunks(w *world) (string, error) {
	_, a, err := small(w, 3, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	const clients = 10
	lost := 0
	for i := range clients {
		head := func(line string, last int) string {
			return fmt.Sprintf("%s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: 000000000000%02x%02x\r\n"+
				"X-Account: group-a\r\nX-Time-Left-Ms: 900\r\n", line, i, last)
		}
		requests := []string{
			head("GET /lookup/slots", 1) + "\r\n",
			head("POST /booking/slot", 2) + "Transfer-Encoding: chunked\r\n\r\n7\r\nchair=4\r\n0\r\n\r\n",
		}
		answers, err := sendOn(w, a.listen, requests)
		w.note("client %d: %d answers to %d requests: %v", i, answers, len(requests), err)
		if answers < len(requests) {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Sprintf("of %d clients, %d got no answer to a request that the agent had before it answered "+
			"the one before, on the same connection", clients, lost), nil
	}
	return "", nil
}

// sendOn sends requests: with the disruption all at once on one connection, else each after the answer to
// the one before, on a new connection if the agent has closed the last one. It returns the number of whole
// answers.
func sendOn(w *world, address string, requests []string) (answers int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	read := func() (closes bool, err error) {
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			return true, err
		}
		body, err := io.ReadAll(answer.Body)
		w.note("client: answer %s, closes the connection: %v, %q %v", answer.Status, answer.Close, body, err)
		return answer.Close, err
	}
	if w.trouble {
		all := ""
		for _, r := range requests {
			all += r
		}
		w.note("client sends at once %q", all)
		if _, err := io.WriteString(c, all); err != nil {
			return 0, err
		}
		for range requests {
			if _, err := read(); err != nil {
				return answers, err
			}
			answers++
		}
		return answers, nil
	}
	for _, r := range requests {
		w.note("client sends %q", r)
		if _, err := io.WriteString(c, r); err != nil {
			return answers, err
		}
		closes, err := read()
		if err != nil {
			return answers, err
		}
		answers++
		if closes {
			_ = c.Close()
			if c, err = net.Dial("tcp", address); err != nil {
				return answers, err
			}
			in = bufio.NewReader(c)
		}
	}
	return answers, nil
}
