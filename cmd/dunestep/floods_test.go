package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// floodRequest returns the n-th request that one connection of a flood sends.
type floodRequest func(n int) string

// flood sends requests at full speed on a number of connections, each as soon as there is room for it, until stop.
type flood struct {
	w        *testbed
	stop     chan struct{}
	clients  sync.WaitGroup
	answered atomic.Int64 // bytes
	opened   atomic.Int64 // connections
}

// floodBurstRequests is the number of requests of one write.
const floodBurstRequests = 50

func (w *testbed) startFlood(connections int, request floodRequest) *flood {
	f := &flood{w: w, stop: make(chan struct{})}
	for i := range connections {
		f.clients.Go(func() {
			for n := i << 40; !f.isStopped(); {
				n = f.playConnection(n, request)
			}
		})
	}
	return f
}

func (f *flood) isStopped() bool {
	select {
	case <-f.stop:
		return true
	default:
		return false
	}
}

// playConnection floods one connection until the agent closes it.
func (f *flood) playConnection(n int, request floodRequest) int {
	c, err := net.Dial("tcp", f.w.addr)
	if err != nil {
		return n
	}
	f.opened.Add(1)
	defer func() { _ = c.Close() }()
	go func() {
		read, _ := io.Copy(io.Discard, c)
		f.answered.Add(read)
	}()
	var burst bytes.Buffer
	for !f.isStopped() {
		burst.Reset()
		for range floodBurstRequests {
			n++
			burst.WriteString(request(n))
		}
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := c.Write(burst.Bytes()); err != nil { // a part of a request may have been written
			return n
		}
	}
	return n
}

func (f *flood) end() {
	close(f.stop)
	f.clients.Wait()
}

// Requests of a flood: small and valid, with little time or much, of a known tenant or of ever new ones, or unsound.
func validFlood(timeLeftMS int) floodRequest {
	return func(n int) string {
		return fmt.Sprintf("GET /consult/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %016x\r\nX-Account: other\r\nX-Time-Left-Ms: %d\r\n\r\n", n, timeLeftMS)
	}
}

func newNamesFlood(timeLeftMS int) floodRequest {
	return func(n int) string {
		return fmt.Sprintf("GET /consult/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %016x\r\nX-Account: t%d\r\nCookie: sid=k%d\r\nX-Time-Left-Ms: %d\r\n\r\n", n, n, n, timeLeftMS)
	}
}

func unknownClassFlood(n int) string {
	return fmt.Sprintf("GET /c%d/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %016x\r\nX-Account: acme\r\nX-Time-Left-Ms: 500\r\n\r\n", n, n)
}

func unsoundFlood(int) string { return "GET /consult/x HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\n\r\n" }

// usualLoad is what usual clients get beside a flood.
type usualLoad struct {
	mu      sync.Mutex
	status  map[int]int
	late    []string
	slowest time.Duration // beyond the client's time; negative: before its end
	all     int
}

// playUsualLoad sends a request every few milliseconds from clients that keep their connections.
func (w *testbed) playUsualLoad(clients int, pause, duration, timeLeft time.Duration) *usualLoad {
	load := &usualLoad{status: map[int]int{}, slowest: -timeLeft}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}, Timeout: waitTimeout}
	var group sync.WaitGroup
	for end := time.Now().Add(duration); clients > 0; clients-- {
		group.Go(func() {
			for time.Now().Before(end) {
				load.send(client, w, timeLeft)
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	return load
}

func (l *usualLoad) send(client *http.Client, w *testbed, timeLeft time.Duration) {
	r := w.request("consult", int(timeLeft.Milliseconds()))
	began := time.Now()
	response, err := client.Do(r)
	status := 0
	if err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	over := time.Since(began) - timeLeft
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all++
	l.status[status]++
	l.slowest = max(l.slowest, over)
	if status == 0 || over > maxResponseDelay+measuringSlack {
		l.late = append(l.late, fmt.Sprintf("%s: status %d %v after its time: %v", r.Header.Get("X-Correlation-Id"), status, over, err))
	}
}

// Guards against clients that get their answers late or never, or nearly all refused, while another client sends requests on a
// few connections at full speed. A request whose time was over left its place on its connection, but not in the queue of
// decisions, and connections with further requests kept the processor.
func TestAnswersBesideFloodComeInTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		request floodRequest
	}{
		{"valid", validFlood(322)},
		{"with no time left", validFlood(0)},
		{"with little time left", validFlood(3)},
		{"new names", newNamesFlood(322)},
		{"unknown classes", unknownClassFlood},
		{"without an id", unsoundFlood},
	} {
		t.Run(test.name, func(t *testing.T) {
			retryIfStalled(t, func() error { return playFlood(t, test.request) })
		})
	}
}

// playFlood floods an agent, and returns an error if usual clients do not get their answers.
func playFlood(t *testing.T, request floodRequest) error {
	const connections, clients = 8, 20
	w := newSerialTestbed(t, 6).start(usePlainBinary, func(w *testbed) { w.config["limits"].(object)["memory_mb"] = 64 })
	w.answerAll(func(a upstreamAttempt) string { time.Sleep(10 * time.Millisecond); return ok(a) })
	f := w.startFlood(connections, request)
	load := w.playUsualLoad(clients, 40*time.Millisecond, 3*time.Second, 322*time.Millisecond)
	f.end()
	peak, _ := w.memoryKiB()
	t.Logf("%d requests, by status %v, slowest %v after its time, %d kB", load.all, load.status, load.slowest, peak)
	switch {
	case len(load.late) > 0:
		return fmt.Errorf("%d of %d requests were lost: %s", len(load.late), load.all, load.late[0])
	case load.slowest > measuringSlack:
		return fmt.Errorf("an answer came %v after its time", load.slowest)
	case 2*load.status[http.StatusOK] < load.all:
		return fmt.Errorf("of %d requests %d were served", load.all, load.status[http.StatusOK])
	}
	return nil
}

// Guards against connections that keep others from their turn: behind a request that is answered, they send a part of the next
// one, of its header or of its body, and nothing more.
func TestHalfRequestBehindAnotherHoldsUpNoOther(t *testing.T) {
	w := start(t, 2, usePlainBinary)
	whole := validFlood(900)
	post := "POST /rezervare/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %016x\r\nX-Account: acme\r\nX-Time-Left-Ms: 900\r\n" +
		"Content-Length: 10\r\n\r\n12345"
	for i := range 20 {
		half := whole(1000 + i)
		w.sendRaw(whole(2000+i) + half[:len(half)/2])
		w.sendRaw(whole(3000+i) + fmt.Sprintf(post, 4000+i))
	}
	for i := range 20 {
		c := w.sendRaw(whole(5000+2*i) + whole(5001+2*i))
		_ = c.SetReadDeadline(time.Now().Add(900 * time.Millisecond))
		in := bufio.NewReader(c)
		for range 2 {
			answer, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, answer.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, answer.StatusCode)
		}
	}
}

// Guards against a connection that ends while it has its turn, and keeps it: behind a request that is answered, what follows is
// malformed, or its client closes or resets the connection.
func TestMalformedRequestBehindAnotherHoldsUpNoOther(t *testing.T) {
	w := start(t, 2, usePlainBinary)
	whole := validFlood(900)
	for i := range 20 {
		w.sendRaw(whole(1000+i) + "GET /consult HTTP/9\r\n\r\n" + whole(2000+i))
		w.sendRaw(whole(3000+i) + "Host : x\r\n\r\n" + whole(4000+i))
		closeConn(w.sendRaw(whole(5000+i) + whole(6000+i)).(*net.TCPConn))
		abortConn(w.sendRaw(whole(7000+i) + whole(8000+i)).(*net.TCPConn))
	}
	for i := range 10 {
		c := w.sendRaw(whole(9000+2*i) + whole(9001+2*i))
		_ = c.SetReadDeadline(time.Now().Add(900 * time.Millisecond))
		in := bufio.NewReader(c)
		for range 2 {
			answer, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, answer.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, answer.StatusCode)
		}
	}
}
