package policy

import "unicode/utf8"

// AnswerCode is an agent's answer to a change: accepted, or why it rejects the document. The numbers are part
// of what agents send to each other.
type AnswerCode uint8

const (
	// Accepted is the promise that the package comment describes.
	Accepted AnswerCode = iota
	// UnreadableDocument means malformed, or of a later format than this build reads.
	UnreadableDocument
	// UnknownTenant means that the document names a tenant that is not in the agent's settings.
	UnknownTenant
	// UnknownClass means that the document names a class that is not in the agent's settings.
	UnknownClass
	// SharesExceedTotal means that the tenants' quotas exceed the settings' total.
	SharesExceedTotal
	// TooManyAttempts means more attempts than the settings permit.
	TooManyAttempts
	// HedgingForbidden means that the document asks for hedged requests and the settings forbid them.
	HedgingForbidden
	// BelowFloor means that the document allows less than a floor which agents may act by.
	BelowFloor
	// BelowOwnFloor means that the document allows less than the floor that it sets itself.
	BelowOwnFloor
	// FloorMismatch means that the floor in the record is not the document's.
	FloorMismatch
)

// Rejection is the error of a document that cannot be used with an agent's settings.
type Rejection struct {
	Code AnswerCode
	Text string // for operators
}

func (r Rejection) Error() string { return r.Text }

// Answer is an agent's answer to a change, as it goes with its requests for leases.
type Answer struct {
	Version uint64 // the newest version that the agent was asked about; zero: none yet
	Code    AnswerCode
	Text    string // for operators, where the change is rejected
}

const (
	// MaxAnswerSize is the most bytes of an encoded Answer.
	MaxAnswerSize = 64
	// maxVarintSize is the most bytes of an encoded version number.
	maxVarintSize = 10
)

// Encode returns the answer's bytes; none for the zero Answer. The form is the code, the version as a varint,
// and the text up to the end, truncated to fit MaxAnswerSize.
func (n Answer) Encode() []byte {
	if n.Version == 0 {
		return nil
	}
	n.Text = truncate(n.Text, MaxAnswerSize-maxVarintSize-2)
	data := []byte{byte(n.Code)}
	for v := n.Version; ; v >>= 7 {
		if v < 0x80 {
			data = append(data, byte(v))
			break
		}
		data = append(data, byte(v)|0x80)
	}
	return append(data, n.Text...)
}

// DecodeAnswer reads an encoded answer; no bytes are the zero Answer. It is false where the bytes are not an
// answer.
func DecodeAnswer(data []byte) (n Answer, ok bool) {
	if len(data) == 0 {
		return Answer{}, true
	}
	if len(data) > MaxAnswerSize {
		return Answer{}, false
	}
	n.Code = AnswerCode(data[0])
	for i, b := range data[1:] {
		if i == maxVarintSize-1 && b > 1 || i >= maxVarintSize {
			return Answer{}, false
		}
		n.Version |= uint64(b&0x7f) << (7 * i)
		if b < 0x80 {
			n.Text = string(data[2+i:])
			return n, n.Version > 0 && utf8.ValidString(n.Text)
		}
	}
	return Answer{}, false
}
