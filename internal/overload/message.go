package overload

import (
	"encoding/binary"
	"math"
	"time"
)

// messageKind is the kind of a message between agents. The values are part of the wire format.
type messageKind byte

const (
	messageEvidence    messageKind = 0 // the ratio of service times to the usual ones
	messageShedding    messageKind = 1 // the same, and when the sender starts to shed load
	messageServedAgain messageKind = 2 // a server responds again after an outage
)

const (
	messageOverload = 's' // first byte of each message
	messageSize     = 14  // bytes

	maxFactor = 8.0  // bound of a factor, in either direction
	maxWeight = 60.0 // responses: bound of the weight of each agent's evidence
)

// message is a message between agents. On the wire, big-endian: messageOverload, the kind, the logarithm of
// the factor in thousandths (int16), its weight in tenths (uint16), and for messageShedding the start in
// nanoseconds on the clock that all agents share (uint64).
type message struct {
	kind      messageKind
	logFactor float64 // natural logarithm of the ratio of service times to the usual ones
	weight    float64 // number of responses behind the factor
	startsAt  time.Duration
}

func (m message) encode() []byte {
	d := make([]byte, 0, messageSize)
	d = append(d, messageOverload, byte(m.kind))
	d = binary.BigEndian.AppendUint16(d, uint16(int16(clampLog(m.logFactor, maxFactor)*1000)))
	d = binary.BigEndian.AppendUint16(d, uint16(min(m.weight, maxWeight)*10))
	return binary.BigEndian.AppendUint64(d, uint64(m.startsAt))
}

// decodeMessage decodes a message; ok is false if it is malformed.
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

// clampLog limits a logarithm to that of the factor, and of its inverse.
func clampLog(log, factor float64) float64 {
	return min(max(log, -math.Log(factor)), math.Log(factor))
}
