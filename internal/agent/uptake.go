package agent

import (
	"sync"
	"time"

	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// minWatchedBody is the length of a buffered body, in bytes, from which on its uptake is watched. A shorter
// request fits into any server's receive buffer.
const minWatchedBody = 4 << 10

// uptakeWatch watches how an upstream server's machine takes the request of one exchange, every
// progressInterval until stop. It is safe for concurrent use.
type uptakeWatch struct {
	conn   *transport.UpstreamConn
	clock  clock
	onLook func() // called after each look of the timer

	mu        sync.Mutex
	uptake    routing.RequestUptake
	isWritten bool
	isStopped bool
	timer     *time.Timer
}

func startUptakeWatch(conn *transport.UpstreamConn, c clock, onLook func()) *uptakeWatch {
	w := &uptakeWatch{conn: conn, clock: c, onLook: onLook}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(progressInterval, w.tick)
	return w
}

func (w *uptakeWatch) tick() {
	w.look()
	w.onLook()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isStopped {
		w.timer.Reset(progressInterval)
	}
}

// look asks the system once.
func (w *uptakeWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	sample, isKnown := w.conn.Uptake()
	if !isKnown || w.isStopped {
		return
	}
	sample.IsWritten = w.isWritten
	w.uptake.Observe(w.clock.now(), sample)
}

// recordWritten records that the request's last byte was handed to the system.
func (w *uptakeWatch) recordWritten() {
	w.mu.Lock()
	w.isWritten = true
	w.mu.Unlock()
	w.look()
}

// stop ends the watch; what it has seen stays.
func (w *uptakeWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	w.timer.Stop()
}

func (w *uptakeWatch) stalledFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.uptake.StalledFor(w.clock.now())
}

func (w *uptakeWatch) isBeingTaken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.uptake.IsBeingTaken(w.clock.now())
}

// serverStart returns the earliest time at which the server can have had the last byte.
func (w *uptakeWatch) serverStart(writtenAt time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.time(w.uptake.ServerStart(w.clock.at(writtenAt)))
}

// attemptEnd returns when an attempt ends, after one more look.
func (w *uptakeWatch) attemptEnd(given time.Time, timeout time.Duration) time.Time {
	w.look()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.time(w.uptake.AttemptEnd(w.clock.at(given), timeout))
}
