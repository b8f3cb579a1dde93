package live

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// Latencies count from the due time of a request, also while no connection is idle. A load generator that waits for
// each answer would record a stall of the server as a single slow request.
func TestLatencyCountsFromDueTime(t *testing.T) {
	defer goleak.VerifyNone(t)
	const stall = 300 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var lock sync.Mutex // stalls all connections of the server together
	stalled := time.Time{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					lock.Lock()
					if stalled.IsZero() {
						stalled = time.Now()
						time.Sleep(stall)
					}
					lock.Unlock()
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	load, err := newLoader(l.Addr().String(), 4, benchRequest)
	require.NoError(t, err)
	defer load.close()
	due := Schedule(7, 500, time.Second)
	got, err := load.runSchedule(due)
	require.NoError(t, err)
	require.Zero(t, got.Errors)
	require.Equal(t, len(due), got.Requests)
	// About 150 of the 500 requests are due during the stall; their latencies fall from its full length to zero.
	require.Greater(t, got.Latency.ValueAtQuantile(85), int64(stall.Microseconds()/3))
	require.GreaterOrEqual(t, got.Latency.Max(), stall.Microseconds()*9/10)
}
