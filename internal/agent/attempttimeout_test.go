package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a response that begins while the timer of its attempt has fired and gives the attempt more time: it was
// taken for one that had timed out, and dropped.
func TestTimeoutThatIsExtendedIsNotOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timeout attemptTimeout
		asked, answer := make(chan struct{}), make(chan time.Duration)
		timeout.start(time.Second, func() time.Duration { asked <- struct{}{}; return <-answer })
		<-asked
		stopped := make(chan bool)
		go func() { stopped <- timeout.stop() }() // the response has begun
		answer <- time.Second
		require.True(t, <-stopped)
		time.Sleep(2 * time.Second) // it does not fire again
		synctest.Wait()
	})
}

func TestAttemptTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timeout attemptTimeout
		began := time.Now()
		var firedAfter []time.Duration
		extensions := []time.Duration{time.Second, 0}
		timeout.start(time.Second, func() time.Duration {
			firedAfter = append(firedAfter, time.Since(began))
			return extensions[len(firedAfter)-1]
		})
		timeout.reset(3 * time.Second)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, []time.Duration{3 * time.Second, 4 * time.Second}, firedAfter)
		timeout.reset(time.Second) // it is over
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Len(t, firedAfter, 2)
		require.False(t, timeout.stop())
	})
}
