package policy

import "unicode/utf8"

// AnswerCode is an agent's answer to a change: accepted, or the reason for which it rejects the document. The
// numbers are part of the messages between agents.
type AnswerCode uint8

const (
	// Accepted is the promise that the package comment describes.
	Accepted AnswerCode = iota
	// UnreadableDocument means that the document is malformed, or of a later format than this build reads.
	UnreadableDocument
	// UnknownTenant means that the document names a tenant that is not in the agent's settings.
	UnknownTenant
	// UnknownClass means that the document names a class that is not in the agent's settings.
	UnknownClass
	// SharesExceedTotal means that the tenants' quotas exceed the settings' total.
	SharesExceedTotal
	// TooManyAttempts means that the document allows more attempts than the settings permit.
	TooManyAttempts
	// HedgingForbidden means that the document allows hedged requests and the settings forbid them.
	HedgingForbidden
	// BelowFloor means that the document allows less than a floor that agents may be acting within.
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

// Answer is an agent's answer to a change, as its lease requests carry it.
type Answer struct {
	Version uint64 // number of the newest change that the agent has checked; zero if none
	Code    AnswerCode
	Text    string // reason of a rejection, for operators
}

const (
	// MaxAnswerSize is the maximum size of an encoded Answer, in bytes.
	MaxAnswerSize = 64
	// maxVarintSize is the maximum size of an encoded version number, in bytes.
	maxVarintSize = 10
)

// Encode returns the encoded answer, or nil for the zero Answer. The encoding is the code in one byte, the
// version as a varint, and the text up to the end, truncated to fit MaxAnswerSize.
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

// DecodeAnswer decodes an answer; empty data is the zero Answer. It returns false if the data is not a valid
// answer.
func DecodeAnswer(data []byte) (answer Answer, ok bool) {
	if len(data) == 0 {
		return Answer{}, true
	}
	if len(data) > MaxAnswerSize {
		return Answer{}, false
	}
	answer.Code = AnswerCode(data[0])
	for i, b := range data[1:] {
		if i == maxVarintSize-1 && b > 1 || i >= maxVarintSize {
			return Answer{}, false
		}
		answer.Version |= uint64(b&0x7f) << (7 * i)
		if b < 0x80 {
			answer.Text = string(data[2+i:])
			return answer, answer.Version > 0 && utf8.ValidString(answer.Text)
		}
	}
	return Answer{}, false
}
