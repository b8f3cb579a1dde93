package gossip

import (
	"dunestep/internal/fleet/internal/compact"
	"dunestep/internal/fleet/replica"
)

// The kinds of message: the first byte.
const (
	kindDigest  = 'd'
	kindPull    = 'p'
	kindSegment = 'r'
	kindChunk   = 's'
)

// digest tells how far a copy goes.
type digest struct {
	_               struct{} `cbor:",toarray"`
	Epoch, Seq, Sum uint64
	Question        uint32 // not zero: an answer is wanted, with this number
	AnswerTo        uint32 // the number of the question that this answers
	Trusted         bool   // the sender had caught up: its word counts for those who start
}

func (d digest) position() replica.Position {
	return replica.Position{Epoch: d.Epoch, Seq: d.Seq, Sum: d.Sum}
}

// pull asks for what follows a place, or for more of what comes in pieces.
type pull struct {
	_               struct{} `cbor:",toarray"`
	Epoch, Seq, Sum uint64   // what the sender has
	PartialSum      uint64   // of what it has the beginning of; zero: of nothing
	Offset          int
}

// part is some whole records.
type segment struct {
	_             struct{} `cbor:",toarray"`
	Epoch, First  uint64
	PriorSum, Sum uint64
	Records       [][]byte
	LastSeq       uint64 // how far the sender's copy goes
}

// piece is some of the bytes of a record or a snapshot that is larger than a message.
type chunk struct {
	_          struct{} `cbor:",toarray"`
	Snapshot   bool
	Epoch, Seq uint64
	PriorSum   uint64 // of the log: before a record, at a snapshot
	ItemSum    uint64 // of the log after a record; of all of a snapshot
	ItemBytes  int    // of the whole
	Offset     int
	Data       []byte
	LastSeq    uint64
}

func encode(kind byte, message any) []byte { return append([]byte{kind}, compact.Marshal(message)...) }

// decode gives the message by its kind, or an error.
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
