package membership

import "encoding/binary"

// update is the data that is added to a message to another agent.
type update struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the sender
	Leaving     bool     // the sender leaves
	ReceivedAge byte     // time since the sender last received a message from the addressee, in ageUnit
	FirstAgent  uint16   // agent of the first of Ages; the others belong to the next numbers, cyclically
	Ages        []byte   // time since the last contact of each agent, in ageUnit
	Events      []event
}

// event reports an incarnation of an agent, that it left, or that a path to it is closed.
type event struct {
	_           struct{} `cbor:",toarray"`
	Agent       uint16
	Incarnation uint64
	Left        bool
	By          uint16 // the agent that reports a closed path; equal to Agent: no closed path is reported
	Age         byte   // time since the report of a closed path, in ageUnit
}

const (
	// headerBytes is the maximum size of an update without ages and events; eventBytes is that of an event.
	headerBytes, eventBytes = 22, 20
	// maxEvents is the maximum number of events in an update.
	maxEvents = 4
)

// encode encodes an update with its events and as many ages as fit into maxBytes. It returns nil if the
// events do not fit. The encoding is that of compact.Marshal, which is slower as it uses reflection.
func (u update) encode(maxBytes int) []byte {
	b := append(make([]byte, 0, maxBytes), cborArray|6)
	b = appendNumber(b, cborUint, u.Incarnation)
	b = append(b, cborBool(u.Leaving))
	b = appendNumber(b, cborUint, uint64(u.ReceivedAge))
	b = appendNumber(b, cborUint, uint64(u.FirstAgent))
	events := u.encodeEvents()
	capacity := maxBytes - len(b) - 1 - len(events) - 2 // 1 and 2 bytes for the length of the ages
	if capacity < 0 {
		return nil
	}
	ages := u.Ages[:min(len(u.Ages), capacity)]
	b = append(appendNumber(b, cborBytes, uint64(len(ages))), ages...)
	return append(b, events...)
}

func (u update) encodeEvents() []byte {
	if len(u.Events) == 0 {
		return []byte{cborNull}
	}
	b := append(make([]byte, 0, maxEvents*eventBytes), cborArray|byte(len(u.Events)))
	for _, e := range u.Events {
		b = appendNumber(append(b, cborArray|5), cborUint, uint64(e.Agent))
		b = appendNumber(b, cborUint, e.Incarnation)
		b = appendNumber(append(b, cborBool(e.Left)), cborUint, uint64(e.By))
		b = appendNumber(b, cborUint, uint64(e.Age))
	}
	return b
}

// First bytes of CBOR items: the major types that are combined with a number, and simple values.
const (
	cborUint, cborBytes, cborArray = 0 << 5, 2 << 5, 4 << 5

	cborFalse, cborTrue, cborNull = 0xf4, 0xf5, 0xf6
)

//nolint:revive // flag-parameter: the parameter is the value to be encoded.
func cborBool(value bool) byte {
	if value {
		return cborTrue
	}
	return cborFalse
}

// appendNumber appends the first bytes of an item: a major type with a number, in the shortest form.
func appendNumber(b []byte, cborType byte, n uint64) []byte {
	switch {
	case n < 24:
		return append(b, cborType|byte(n))
	case n < 1<<8:
		return append(b, cborType|24, byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, cborType|25), uint16(n))
	case n < 1<<32:
		return binary.BigEndian.AppendUint32(append(b, cborType|26), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, cborType|27), n)
}
