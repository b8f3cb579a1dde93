package routing

import "time"

// minServerStall is the minimum time for which an upstream server may take nothing of a request's body.
const minServerStall = time.Second

// CheckServerStall returns TimedOut if an upstream server has taken nothing of a request's body for longer
// than its whole response may take, though there was something to take, else NotEnded. timeout is that of
// the attempt, counted from the body's last byte.
func CheckServerStall(stalledFor, timeout time.Duration) EndReason {
	if stalledFor > max(timeout, minServerStall) {
		return TimedOut
	}
	return NotEnded
}
