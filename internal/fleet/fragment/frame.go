package fragment

import (
	"encoding/binary"
	"hash/crc32"
)

// A datagram consists of a header (FirstByte, Version, and the checksum of the rest) and one or more frames.
// A frame begins with a kind, a channel and the length of its data. In a fragment these are followed by the
// sender's incarnation, the message's number, the fragment's index and count, and the checksum of the
// complete message. An acknowledgement has the same fields up to the message's number. Its data has a bit for
// each fragment that has arrived, and is empty if all have arrived.

const (
	// FirstByte is the first byte of each datagram of this package. Other datagrams between agents begin with
	// other bytes, and agents without this package drop datagrams that begin with it.
	FirstByte = 0xF1
	// Version is the second byte of each datagram. Datagrams with another version are dropped and counted.
	Version = 1
	// MaxDatagramBytes is the maximum size of a datagram.
	MaxDatagramBytes = 256
	// MaxShortBytes is the maximum size of a message that fits into one datagram.
	MaxShortBytes = MaxDatagramBytes - headerBytes - shortHeaderBytes
	// MaxMessageBytes is the maximum size of a message.
	MaxMessageBytes = 160 << 10

	headerBytes         = 2 + 4
	shortHeaderBytes    = 3
	fragmentHeaderBytes = shortHeaderBytes + 8 + 4 + 2 + 2 + 4
	ackHeaderBytes      = shortHeaderBytes + 8 + 4
	// fragmentBytes is the size of the data of each fragment except the last one.
	fragmentBytes = MaxDatagramBytes - headerBytes - fragmentHeaderBytes
	maxFragments  = (MaxMessageBytes + fragmentBytes - 1) / fragmentBytes
)

// The kinds of frames.
const (
	kindShort      = 0 // a complete message
	kindFragment   = 1
	kindAckRequest = 2 // a fragment that the receiver has to acknowledge at once
	kindAck        = 3
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// encodeDatagram returns a datagram with the given encoded frames.
func encodeDatagram(frames []byte) []byte {
	d := make([]byte, headerBytes, headerBytes+len(frames))
	d[0], d[1] = FirstByte, Version
	binary.BigEndian.PutUint32(d[2:], checksum(frames))
	return append(d, frames...)
}

// decodeDatagram returns the encoded frames of a datagram. isIntact is false if the header or the checksum is
// wrong.
func decodeDatagram(d []byte) (frames []byte, isIntact bool) {
	if len(d) <= headerBytes || len(d) > MaxDatagramBytes || d[0] != FirstByte || d[1] != Version {
		return nil, false
	}
	frames = d[headerBytes:]
	return frames, checksum(frames) == binary.BigEndian.Uint32(d[2:])
}

// frame is a decoded frame.
type frame struct {
	kind, channel byte
	incarnation   uint64 // of the sender of the message
	number        uint32 // of the message
	index, count  uint16 // of the fragment
	checksum      uint32 // of the complete message
	data          []byte // refers to the bytes of the datagram
}

// decodeFrame decodes the first frame of b, and returns it with the rest of b.
func decodeFrame(b []byte) (f frame, rest []byte, isValid bool) {
	if len(b) < shortHeaderBytes {
		return f, nil, false
	}
	f.kind, f.channel = b[0], b[1]
	n := int(b[2])
	b = b[shortHeaderBytes:]
	switch f.kind {
	case kindShort:
		isValid = n > 0
	case kindFragment, kindAckRequest:
		if len(b) < fragmentHeaderBytes-shortHeaderBytes {
			return f, nil, false
		}
		f.incarnation, f.number = binary.BigEndian.Uint64(b), binary.BigEndian.Uint32(b[8:])
		f.index, f.count = binary.BigEndian.Uint16(b[12:]), binary.BigEndian.Uint16(b[14:])
		f.checksum = binary.BigEndian.Uint32(b[16:])
		b = b[fragmentHeaderBytes-shortHeaderBytes:]
		isLast := f.index+1 == f.count
		isValid = f.index < f.count && f.count > 1 && f.count <= maxFragments &&
			n > 0 && (isLast || n == fragmentBytes)
	case kindAck:
		if len(b) < ackHeaderBytes-shortHeaderBytes {
			return f, nil, false
		}
		f.incarnation, f.number = binary.BigEndian.Uint64(b), binary.BigEndian.Uint32(b[8:])
		b = b[ackHeaderBytes-shortHeaderBytes:]
		isValid = true
	}
	if !isValid || len(b) < n {
		return f, nil, false
	}
	f.data = b[:n]
	return f, b[n:], true
}

func encodeShort(channel byte, msg []byte) []byte {
	return append([]byte{kindShort, channel, byte(len(msg))}, msg...)
}

// encodeFragment encodes a fragment, of kindFragment or kindAckRequest.
func encodeFragment(kind, channel byte, f frame) []byte {
	b := append(make([]byte, 0, fragmentHeaderBytes+len(f.data)), kind, channel, byte(len(f.data)))
	b = binary.BigEndian.AppendUint64(b, f.incarnation)
	b = binary.BigEndian.AppendUint32(b, f.number)
	b = binary.BigEndian.AppendUint16(b, f.index)
	b = binary.BigEndian.AppendUint16(b, f.count)
	b = binary.BigEndian.AppendUint32(b, f.checksum)
	return append(b, f.data...)
}

// encodeAck encodes the acknowledgement of a fragment's message. arrived has a bit for each fragment that has
// arrived, or is nil if the message has arrived completely.
func encodeAck(f frame, arrived []byte) []byte {
	b := append(make([]byte, 0, ackHeaderBytes+len(arrived)), kindAck, f.channel, byte(len(arrived)))
	b = binary.BigEndian.AppendUint64(b, f.incarnation)
	b = binary.BigEndian.AppendUint32(b, f.number)
	return append(b, arrived...)
}

// fragmentCount returns the number of fragments of a message of n bytes.
func fragmentCount(n int) int { return (n + fragmentBytes - 1) / fragmentBytes }

// fragmentSet is a set of fragment indexes, with a bit for each.
type fragmentSet []byte

func newFragmentSet(n int) fragmentSet { return make(fragmentSet, (n+7)/8) }

func (s fragmentSet) has(i int) bool { return i/8 < len(s) && s[i/8]&(1<<(i%8)) != 0 }

func (s fragmentSet) set(i int) { s[i/8] |= 1 << (i % 8) }

// count returns the number of the first n fragments that are in the set.
func (s fragmentSet) count(n int) (count int) {
	for i := range n {
		if s.has(i) {
			count++
		}
	}
	return count
}
