package transport

import (
	"sync"
	"time"
)

// silenceTimer ends a call on which nothing complete is received for a time, and records that time. Only
// discovery's silence counts: while this process handles what it has received, or has not yet read what
// there is, the call goes on.
type silenceTimer struct {
	hasInput  func() bool // whether something received was not read yet; nil: not known
	onExpired func()

	mu         sync.Mutex
	timer      *time.Timer
	silentFor  time.Duration // when the timer expires
	expiresAt  time.Time
	isHandling bool
	isExpired  bool
}

// unreadInputInterval is the interval at which an expired timer looks again while there is something to
// handle or to read.
const unreadInputInterval = 50 * time.Millisecond

func newSilenceTimer(timeout time.Duration, hasInput func() bool, onExpired func()) *silenceTimer {
	s := &silenceTimer{hasInput: hasInput, onExpired: onExpired}
	s.timer = time.AfterFunc(time.Hour, s.expire) // reset below, once timer is set
	s.reset(timeout, 0)
	return s
}

// reset restarts the timer with a timeout. Nothing complete has been received for silentFor.
func (s *silenceTimer) reset(timeout, silentFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentFor, s.expiresAt = silentFor+timeout, time.Now().Add(timeout)
	s.timer.Reset(timeout)
}

// expire ends the call, unless the timer was reset meanwhile or there is something to handle or to read.
func (s *silenceTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := time.Until(s.expiresAt)
	if wait <= 0 && (s.isHandling || s.hasInput != nil && s.hasInput()) {
		wait = unreadInputInterval
	}
	if wait > 0 {
		s.timer.Reset(wait)
		return
	}
	s.isExpired = true
	s.onExpired()
}

// stop ends the timer. It returns for how long nothing complete was received if it has expired, else zero.
func (s *silenceTimer) stop() (silentFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
	if s.isExpired {
		return s.silentFor
	}
	return 0
}

// handle calls handler, whose time does not count as silence. handler resets the timer at its end.
func (s *silenceTimer) handle(handler func()) {
	s.setHandling(true)
	defer s.setHandling(false)
	handler()
}

func (s *silenceTimer) setHandling(isHandling bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isHandling = isHandling
}
