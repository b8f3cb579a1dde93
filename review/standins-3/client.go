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

// readAnswer reads an answer. The error reports that it is not whole.
func readAnswer(c net.Conn) (status int, body string, err error) {
	return readAnswerFrom(bufio.NewReader(c))
}

func readAnswerFrom(in *bufio.Reader) (status int, body string, err error) {
	r, err := http.ReadResponse(in, nil)
	for err == nil && r.StatusCode < 200 {
		r, err = http.ReadResponse(in, nil)
	}
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(r.Body)
	return r.StatusCode, string(raw), err
}

// head returns the head of a request, of which length is the length of the body.
func (w *world) head(id, class, path string, left time.Duration, length int, more string) string {
	method, field := "GET", ""
	if length >= 0 {
		method, field = "POST", fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return fmt.Sprintf("%s /%s%s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\n"+
		"X-Account: group-a\r\nCookie: sid=%s\r\nX-Time-Left-Ms: %d\r\n%s%s\r\n",
		method, class, path, id, id[:6], left.Milliseconds(), field, more)
}

// connect opens a client's connection to the agent.
func (w *world) connect() (net.Conn, error) { return net.DialTimeout("tcp", w.listen, time.Second) }

// ask sends a request on a new connection, and returns its answer.
func (w *world) ask(id, class string, left time.Duration, body string, hasBody bool) (
	status int, text string, err error,
) {
	c, err := net.DialTimeout("tcp", w.listen, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	length := -1
	if hasBody {
		length = len(body)
	}
	if _, err = io.WriteString(c, w.head(id, class, "/x", left, length, "")+body); err != nil {
		w.log("client %s: writing ended: %v", id, err)
	}
	_ = c.SetReadDeadline(time.Now().Add(left + 2*time.Second))
	return readAnswer(c)
}

func short(s string) string {
	if len(s) > 40 {
		return fmt.Sprintf("%q and %d bytes more", s[:40], len(s)-40)
	}
	return fmt.Sprintf("%q", strings.TrimSpace(s))
}
