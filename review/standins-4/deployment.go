package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// small starts discovery, a number of booking servers and one agent, and waits until it is ready.
func small(w *world, servers int, work time.Duration) ([]*server, *agent, error) {
	return smallWith(w, servers, work, settings())
}

// smallWith is small with other settings.
func smallWith(w *world, servers int, work time.Duration, set map[string]any) (
	all []*server, a *agent, err error,
) {
	d, err := startDiscovery(w)
	if err != nil {
		return nil, nil, err
	}
	for i := range servers {
		s, err := startServer(w, fmt.Sprintf("s-%d", i), work)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, s)
		d.set(s.entry())
	}
	if a, err = w.startAgent("n0", d.addr(), set); err != nil {
		return nil, nil, err
	}
	return all, a, a.waitReady(10 * time.Second)
}

// postOnce sends one booking request on a new connection, and returns its answer.
func postOnce(w *world, address, id, body string) (status int, answer string, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	w.note("client: sends POST /booking/slot id %s with %d bytes", id, len(body))
	_, err = fmt.Fprintf(c, "POST /booking/slot HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\n"+
		"X-Account: group-a\r\nCookie: sid=chair-%s\r\nX-Time-Left-Ms: 1000\r\nContent-Length: %d\r\n\r\n%s",
		id, id[len(id)-1:], len(body), body)
	if err != nil {
		return 0, "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}
