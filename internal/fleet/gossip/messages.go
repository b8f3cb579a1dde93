package gossip

import (
	"dunestep/internal/fleet/internal/compact"
	"dunestep/internal/fleet/replica"
)

// The first byte of a message is its kind; what follows is the compact form of its struct.
const (
	kindDigest  = 'd'
	kindPull    = 'p'
	kindSegment = 'r'
	kindChunk   = 's'
)

// digest states how far a replica goes.
type digest struct {
	_               struct{} `cbor:",toarray"`
	Epoch, Seq, Sum uint64
	Question        uint32 // not 0: a digest is requested in reply, with this number as AnswerTo
	AnswerTo        uint32 // the number of the question that this answers; 0: none
	Trusted         bool   // the sender has caught up: agents that start may rely on it
}

func (d digest) position() replica.Position {
	return replica.Position{Epoch: d.Epoch, Seq: d.Seq, Sum: d.Sum}
}

// pull requests what follows a position, or the next chunk of a partial item.
type pull struct {
	_               struct{} `cbor:",toarray"`
	Epoch, Seq, Sum uint64   // the sender's position
	PartialSum      uint64   // the ItemSum of the partial item; 0: none
	Offset          int      // the bytes of it that the sender has
}

// segment carries some complete records.
type segment struct {
	_             struct{} `cbor:",toarray"`
	Epoch, First  uint64
	PriorSum, Sum uint64
	Records       [][]byte
	LastSeq       uint64 // the last record of the sender's replica
}

// chunk carries some bytes of an item, a record or a snapshot, that is larger than a message.
type chunk struct {
	_          struct{} `cbor:",toarray"`
	Snapshot   bool     // else a record
	Epoch, Seq uint64
	PriorSum   uint64 // of the log: before the record, or at the snapshot
	ItemSum    uint64 // of the log after the record, or the snapshot's digest
	ItemBytes  int    // of the complete item
	Offset     int
	Data       []byte
	LastSeq    uint64 // the last record of the sender's replica
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
