package gossip

import (
	"dunestep/internal/fleet/internal/compact"
	"dunestep/internal/fleet/replica"
)

// The first byte of a message is its kind. The rest is its struct in the encoding of package compact.
const (
	kindDigest  = 'd'
	kindPull    = 'p'
	kindSegment = 'r'
	kindChunk   = 's'
)

// digest contains the position of a replica.
type digest struct {
	_               struct{} `cbor:",toarray"`
	Epoch, Seq, Sum uint64
	Question        uint32 // request ID: requests a digest with this number in AnswerTo; 0: no request
	AnswerTo        uint32 // request ID to which this digest replies; 0: it is not a reply
	Trusted         bool   // the sender has caught up: agents that start may rely on it
}

func (d digest) position() replica.Position {
	return replica.Position{Epoch: d.Epoch, Seq: d.Seq, Sum: d.Sum}
}

// pull requests the records that follow a position, or the next chunk of a partial item.
type pull struct {
	_               struct{} `cbor:",toarray"`
	Epoch, Seq, Sum uint64   // position of the sender's replica
	PartialSum      uint64   // ItemSum of the partial item; 0: none
	Offset          int      // number of bytes of the partial item that the sender has
}

// segment carries consecutive complete records.
type segment struct {
	_             struct{} `cbor:",toarray"`
	Epoch, First  uint64   // First: sequence number of the first record
	PriorSum, Sum uint64   // checksums of the log before the first record and after the last one
	Records       [][]byte
	LastSeq       uint64 // sequence number of the last record of the sender's replica
}

// chunk carries a part of an item, which is a record or a snapshot larger than a message.
type chunk struct {
	_          struct{} `cbor:",toarray"`
	Snapshot   bool     // the item is a snapshot; false: a record
	Epoch, Seq uint64
	PriorSum   uint64 // checksum of the log before the record, or at the snapshot
	ItemSum    uint64 // checksum of the log after the record, or the digest of the snapshot
	ItemBytes  int    // size of the complete item
	Offset     int    // of Data in the item, in bytes
	Data       []byte
	LastSeq    uint64 // sequence number of the last record of the sender's replica
}

func encode(kind byte, message any) []byte { return append([]byte{kind}, compact.Marshal(message)...) }

// decode returns a digest, pull, segment or chunk, or an error wrapping compact.ErrMalformed.
func decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, compact.ErrMalformed
	}
	switch data[0] {
	case kindDigest:
		return decodeAs[digest](data[1:])
	case kindPull:
		return decodeAs[pull](data[1:])
	case kindSegment:
		return decodeAs[segment](data[1:])
	case kindChunk:
		return decodeAs[chunk](data[1:])
	}
	return nil, compact.ErrMalformed
}

func decodeAs[T any](data []byte) (any, error) {
	var message T
	err := compact.Unmarshal(data, &message)
	return message, err
}
