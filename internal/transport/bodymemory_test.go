package transport

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/bytebudget"
)

// Guards against requests whose body has arrived and waits for memory that others hold, longer than their clients wait.
func TestArrivedBodyWaitsForMemoryWithinItsTime(t *testing.T) {
	const timeLeft = 300 * time.Millisecond
	for name, text := range map[string]string{
		"length":  longRequestText(timeLeft, "Content-Length: 100000", strings.Repeat("x", 100_000)),
		"chunked": longRequestText(timeLeft, "Transfer-Encoding: chunked", "5\r\nchair\r\n0\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			x := newCloseRace(t, 64, &recordingHandler{})
			held, err := x.listener.bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: "c", IsRequest: true}, 1<<19)
			require.NoError(t, err)
			defer held.Release()
			c := x.connect()
			x.send(c, text)
			began := time.Now()
			response, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Less(t, time.Since(began), timeLeft+maxTestDelay)
		})
	}
}
