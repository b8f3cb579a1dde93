package agent

import (
	"log/slog"
	"reflect"
	"strings"
	"time"

	"dunestep/internal/metrics"
)

const (
	// maxUnloggedWait and maxUnloggedHandling are the delays above which a message of the actor is logged.
	// Either delays every request, some of which have no more than a tenth of a second.
	maxUnloggedWait     = 50 * time.Millisecond
	maxUnloggedHandling = 20 * time.Millisecond
	// delayLogInterval is the minimum time between two log lines about delays.
	delayLogInterval = time.Second
)

// delayLog records how long the messages of an actor wait and take, and logs long delays. It is accessed only
// by the actor.
type delayLog struct {
	metrics  *metrics.Counters
	kinds    map[reflect.Type]string // names of messages
	loggedAt time.Time
	unlogged int // delays since the last log line
}

func newDelayLog(m *metrics.Counters) *delayLog {
	return &delayLog{metrics: m, kinds: map[reflect.Type]string{}}
}

// observe records the delays of one message.
func (l *delayLog) observe(message any, waited, took time.Duration) {
	kind := l.kindOf(message)
	l.metrics.MessageHandled(kind, waited, took)
	if waited < maxUnloggedWait && took < maxUnloggedHandling {
		return
	}
	if now := time.Now(); now.Sub(l.loggedAt) >= delayLogInterval {
		slog.Warn("decisions delayed", "message", kind, "waited", waited, "took", took, "unlogged", l.unlogged)
		l.loggedAt, l.unlogged = now, 0
		return
	}
	l.unlogged++
}

// kindOf returns the name of a message's type, without its package.
func (l *delayLog) kindOf(message any) string {
	messageType := reflect.TypeOf(message)
	kind, known := l.kinds[messageType]
	if !known {
		name := messageType.String()
		kind = name[strings.LastIndexByte(name, '.')+1:]
		l.kinds[messageType] = kind
	}
	return kind
}
