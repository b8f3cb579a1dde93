package storm

import (
	"encoding/binary"
	"math"
	"time"
)

// A message to another agent is the letter 's', what it is, the logarithm of the factor and its weight, and
// for a purge when it begins, on the clock that all machines read.
const (
	msgStorm = 's'
	msgSize  = 14

	saysEvidence = 0
	saysPurge    = 1
	saysServed   = 2 // again, after an outage

	mostFactor = 8.0  // what is said beyond is not believed
	mostWeight = 60.0 // answers: no agent's evidence counts for more
)

type message struct {
	says   byte
	log    float64
	weight float64
	begins time.Duration
}

func (m message) encode() []byte {
	d := make([]byte, 0, msgSize)
	d = append(d, msgStorm, m.says)
	d = binary.BigEndian.AppendUint16(d, uint16(int16(clamp(m.log, mostFactor)*1000)))
	d = binary.BigEndian.AppendUint16(d, uint16(min(m.weight, mostWeight)*10))
	return binary.BigEndian.AppendUint64(d, uint64(m.begins))
}

// decodeMessage takes a message apart; a garbled one is not ok.
func decodeMessage(d []byte) (m message, ok bool) {
	if len(d) != msgSize || d[0] != msgStorm || d[1] > saysServed {
		return m, false
	}
	m = message{
		says: d[1], log: float64(int16(binary.BigEndian.Uint16(d[2:]))) / 1000,
		weight: float64(binary.BigEndian.Uint16(d[4:])) / 10, begins: time.Duration(binary.BigEndian.Uint64(d[6:])),
	}
	m.log, m.weight = clamp(m.log, mostFactor), min(m.weight, mostWeight)
	return m, true
}

// clamp keeps a logarithm within a factor both ways.
func clamp(log, factor float64) float64 {
	return min(max(log, -math.Log(factor)), math.Log(factor))
}
