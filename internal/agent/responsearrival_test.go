package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/transport"
)

// Guards against clients that hold a connection with a head whose body waits for this process's memory: a crowd of them kept all
// others from being accepted.
func TestResponseThatWaitsForMemoryIsNotForwarded(t *testing.T) {
	stream := bodystream.New(-1, bytebudget.Grant{}, 0)
	granted, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		_ = stream.WaitForMemory(func() (bytebudget.Grant, error) { <-granted; return bytebudget.Grant{}, nil }, 0)
	}()
	require.Eventually(t, func() bool { return stream.Progress().WaitsForMemory }, 10*time.Second, time.Millisecond)
	started := 0
	var r responseArrival
	r.begin(transport.ResponseHead{Length: -1, Body: stream, Start: func() { started++ }})
	r.forward()
	require.Zero(t, started)
	close(granted)
	<-done
	r.forward()
	require.Equal(t, 1, started)
}
