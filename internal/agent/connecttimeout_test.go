package agent_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unresponsiveEndpoint returns the address of an endpoint where connects time out: its accept queue is full.
func unresponsiveEndpoint(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			var netErr net.Error
			require.ErrorAs(t, err, &netErr)
			require.True(t, netErr.Timeout())
			return addr
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// An attempt whose connection is not established gives up early enough for the request to be sent to another endpoint, even
// though the configured connect timeout is longer than the request's time.
func TestRequestGoesToAnotherEndpointWhenConnectTimesOut(t *testing.T) {
	t.Parallel()
	const objective = 4 * time.Second
	addr := startAgentWithObjective(t, objective, unresponsiveEndpoint(t), startEndpoint(t, 100))
	for i := range 12 {
		r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/consult", nil)
		require.NoError(t, err)
		r.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", i+1))
		r.Header.Set("X-Time-Left-Ms", fmt.Sprint(objective.Milliseconds()))
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode, i)
	}
}
