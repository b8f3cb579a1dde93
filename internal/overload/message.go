package overload

import (
	"encoding/binary"
	"math"
	"time"
)

// messageKind is the kind of a message between agents. The values are part of the wire format.
type messageKind byte

const (
	messageEvidence    messageKind = 0 // how service times compare with the usual ones
	messageShedding    messageKind = 1 // the same, and when this agent starts to shed load
	messageServedAgain messageKind = 2 // a server responds again, after an outage
)

const (
	messageOverload = 's' // the first byte
	messageSize     = 14  // bytes

	maxFactor = 8.0  // a factor that another agent claims is bounded by this, both ways
	maxWeight = 60.0 // responses: no agent's evidence counts for more
)

// message is what agents send one another. On the wire, big-endian: messageOverload, the kind, the logarithm
// of the factor in thousandths (int16), its weight in tenths (uint16), and for messageShedding the start in
// nanoseconds on the clock that all agents share (uint64).
type message struct {
	kind      messageKind
	logFactor float64 // natural logarithm of how many times the usual service time responses take
	weight    float64 // responses that the factor rests on
	startsAt  time.Duration
}

func (m message) encode() []byte {
	d := make([]byte, 0, messageSize)
	d = append(d, messageOverload, byte(m.kind))
	d = binary.BigEndian.AppendUint16(d, uint16(int16(clampLog(m.logFactor, maxFactor)*1000)))
	d = binary.BigEndian.AppendUint16(d, uint16(min(m.weight, maxWeight)*10))
	return binary.BigEndian.AppendUint64(d, uint64(m.startsAt))
}

// decodeMessage decodes a message; ok is false for a malformed one.
func decodeMessage(d []byte) (m message, ok bool) {
	if len(d) != messageSize || d[0] != messageOverload || messageKind(d[1]) > messageServedAgain {
		return m, false
	}
	m = message{
		kind: messageKind(d[1]), logFactor: float64(int16(binary.BigEndian.Uint16(d[2:]))) / 1000,
		weight:   float64(binary.BigEndian.Uint16(d[4:])) / 10,
		startsAt: time.Duration(binary.BigEndian.Uint64(d[6:])),
	}
	m.logFactor, m.weight = clampLog(m.logFactor, maxFactor), min(m.weight, maxWeight)
	return m, true
}

// clampLog keeps a logarithm within a factor, both ways.
func clampLog(log, factor float64) float64 {
	return min(max(log, -math.Log(factor)), math.Log(factor))
}
