package overload

import (
	"encoding/binary"
	"math"
	"time"
)

// A message to another agent is the letter 's', what it is, the logarithm of the factor and its weight, and
// for a purge when it begins, on the clock that all machines read.
const (
	messageOverload = 's'
	messageSize     = 14

	messageEvidence    = 0
	messageShedding    = 1
	messageServedAgain = 2 // again, after an outage

	maxFactor = 8.0  // what is said beyond is not believed
	maxWeight = 60.0 // answers: no agent's evidence counts for more
)

type message struct {
	kind      byte
	logFactor float64
	weight    float64
	startsAt  time.Duration
}

func (m message) encode() []byte {
	d := make([]byte, 0, messageSize)
	d = append(d, messageOverload, m.kind)
	d = binary.BigEndian.AppendUint16(d, uint16(int16(clampLog(m.logFactor, maxFactor)*1000)))
	d = binary.BigEndian.AppendUint16(d, uint16(min(m.weight, maxWeight)*10))
	return binary.BigEndian.AppendUint64(d, uint64(m.startsAt))
}

// decodeMessage takes a message apart; a garbled one is not ok.
func decodeMessage(d []byte) (m message, ok bool) {
	if len(d) != messageSize || d[0] != messageOverload || d[1] > messageServedAgain {
		return m, false
	}
	m = message{
		kind: d[1], logFactor: float64(int16(binary.BigEndian.Uint16(d[2:]))) / 1000,
		weight: float64(binary.BigEndian.Uint16(d[4:])) / 10, startsAt: time.Duration(binary.BigEndian.Uint64(d[6:])),
	}
	m.logFactor, m.weight = clampLog(m.logFactor, maxFactor), min(m.weight, maxWeight)
	return m, true
}

// clamp keeps a logarithm within a factor both ways.
func clampLog(log, factor float64) float64 {
	return min(max(log, -math.Log(factor)), math.Log(factor))
}
