package fragment

import (
	"encoding/binary"
	"hash/crc32"
)

// frame is one of the parts of a datagram: kind, channel, length, then for a long message the sender's
// incarnation, the message's number, the piece's and how many there are, and the checksum of the whole. An
// acknowledgement has the same beginning, and a bit for each piece that is there, or nothing if all are.
type frame struct {
	kind, channel byte
	incarnation   uint64
	number        uint32
	index, count  uint16
	checksum      uint32
	data          []byte
}

// readFrame takes one off the front; data lies in b.
func readFrame(b []byte) (f frame, rest []byte, ok bool) {
	if len(b) < shortHeaderBytes {
		return f, nil, false
	}
	f.kind, f.channel = b[0], b[1]
	n := int(b[2])
	b = b[shortHeaderBytes:]
	switch f.kind {
	case kindShort:
		ok = n > 0
	case kindFragment, kindAckRequest:
		if len(b) < fragmentHeaderBytes-shortHeaderBytes {
			return f, nil, false
		}
		f.incarnation, f.number = binary.BigEndian.Uint64(b), binary.BigEndian.Uint32(b[8:])
		f.index, f.count = binary.BigEndian.Uint16(b[12:]), binary.BigEndian.Uint16(b[14:])
		f.checksum = binary.BigEndian.Uint32(b[16:])
		b = b[fragmentHeaderBytes-shortHeaderBytes:]
		last := f.index+1 == f.count
		ok = f.index < f.count && f.count > 1 && f.count <= maxFragments && n > 0 && (last || n == fragmentBytes)
	case kindAck:
		if len(b) < ackHeaderBytes-shortHeaderBytes {
			return f, nil, false
		}
		f.incarnation, f.number = binary.BigEndian.Uint64(b), binary.BigEndian.Uint32(b[8:])
		b = b[ackHeaderBytes-shortHeaderBytes:]
		ok = true
	}
	if !ok || len(b) < n {
		return f, nil, false
	}
	f.data = b[:n]
	return f, b[n:], true
}

func encodeFragment(kind, channel byte, f frame) []byte {
	b := append(make([]byte, 0, fragmentHeaderBytes+len(f.data)), kind, channel, byte(len(f.data)))
	b = binary.BigEndian.AppendUint64(b, f.incarnation)
	b = binary.BigEndian.AppendUint32(b, f.number)
	b = binary.BigEndian.AppendUint16(b, f.index)
	b = binary.BigEndian.AppendUint16(b, f.count)
	b = binary.BigEndian.AppendUint32(b, f.checksum)
	return append(b, f.data...)
}

func encodeAck(f frame, have []byte) []byte {
	b := append(make([]byte, 0, ackHeaderBytes+len(have)), kindAck, f.channel, byte(len(have)))
	b = binary.BigEndian.AppendUint64(b, f.incarnation)
	b = binary.BigEndian.AppendUint32(b, f.number)
	return append(b, have...)
}

// cut returns how many pieces a message of n bytes has.
func fragmentCount(n int) int { return (n + fragmentBytes - 1) / fragmentBytes }

func checksum(msg []byte) uint32 { return crc32.Checksum(msg, castagnoli) }

// bits is a set of pieces.
type fragmentSet []byte

func newFragmentSet(n int) fragmentSet { return make(fragmentSet, (n+7)/8) }
func (b fragmentSet) has(i int) bool   { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
func (b fragmentSet) set(i int)        { b[i/8] |= 1 << (i % 8) }
func (b fragmentSet) count(of int) (n int) {
	for i := range of {
		if b.has(i) {
			n++
		}
	}
	return n
}
