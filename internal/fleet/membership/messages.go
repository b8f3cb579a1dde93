package membership

import "encoding/binary"

// word is what is put into another message.
type update struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Leaving     bool
	ReceivedAge byte   // how long ago the one it is for was heard directly
	FirstAgent  uint16 // the number of the first of Ages
	Ages        []byte // how long ago each was heard by anybody
	Events      []event
}

// event tells of what does not fit an age.
type event struct {
	_           struct{} `cbor:",toarray"`
	Agent       uint16
	Incarnation uint64
	Left        bool
	By          uint16 // who said that it hears the agent, and is not heard by it; the agent itself: nobody
	Age         byte   // how long ago that was
}

const (
	// headerBytes is what a word takes at most beside ages and events; one event takes eventBytes at most.
	headerBytes, eventBytes = 22, 20
	// maxEvents bounds those of one word.
	maxEvents = 4
)

// encode returns at most so many bytes: the events, and as many ages as have room; nil where the events have
// none. It is what compact.Marshal makes, by reflection, which took a sixth of all that an agent does for its
// fleet.
func (w update) encode(most int) []byte {
	b := append(make([]byte, 0, most), arrayType|6)
	b = appendNumber(b, uintType, w.Incarnation)
	b = append(b, cborBool(w.Leaving))
	b = appendNumber(b, uintType, uint64(w.ReceivedAge))
	b = appendNumber(b, uintType, uint64(w.FirstAgent))
	events := w.encodeEvents()
	room := most - len(b) - 1 - len(events) - 2 // for the number of ages
	if room < 0 {
		return nil
	}
	ages := w.Ages[:min(len(w.Ages), room)]
	b = append(appendNumber(b, bytesType, uint64(len(ages))), ages...)
	return append(b, events...)
}

func (w update) encodeEvents() []byte {
	if len(w.Events) == 0 {
		return []byte{cborNull}
	}
	b := append(make([]byte, 0, maxEvents*eventBytes), arrayType|byte(len(w.Events)))
	for _, e := range w.Events {
		b = appendNumber(append(b, arrayType|5), uintType, uint64(e.Agent))
		b = appendNumber(b, uintType, e.Incarnation)
		b = appendNumber(append(b, cborBool(e.Left)), uintType, uint64(e.By))
		b = appendNumber(b, uintType, uint64(e.Age))
	}
	return b
}

// CBOR's first bytes: a type with a number, and values.
const (
	uintType, bytesType, arrayType = 0 << 5, 2 << 5, 4 << 5
	cborNull                       = 0xf6
)

func cborBool(is bool) byte {
	if is {
		return 0xf5
	}
	return 0xf4
}

func appendNumber(b []byte, kind byte, n uint64) []byte {
	switch {
	case n < 24:
		return append(b, kind|byte(n))
	case n < 1<<8:
		return append(b, kind|24, byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, kind|25), uint16(n))
	case n < 1<<32:
		return binary.BigEndian.AppendUint32(append(b, kind|26), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, kind|27), n)
}
