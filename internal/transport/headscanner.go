package transport

import (
	"errors"
	"math"
)

// maxHeaderLines is the maximum number of lines of a request's header or trailer. net/http needs many times
// the memory of a short line for it.
const maxHeaderLines = 100

// Why a request is malformed. Where readers could disagree about where it ends, one of them could take a part
// of it for another request.
var (
	errBareCR             = errors.New("a carriage return without a line feed")
	errFoldedLine         = errors.New("a header line goes on in the next one")
	errNoColon            = errors.New("a header line without a name")
	errSpaceBeforeColon   = errors.New("white space between a header's name and its colon")
	errContentLength      = errors.New("the content length is not one number")
	errTransferEncoding   = errors.New("the transfer encoding is not chunked alone")
	errTwoLengths         = errors.New("two lengths")
	errTooManyHeaderLines = errors.New("too many header lines")
)

const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
	chunkedEncoding      = "chunked"
)

// headScanner reads the header of one request for what it says of the body's length. The zero value is ready
// for use, from the first byte of the request line.
type headScanner struct {
	length    int64 // of the body; meaningful if hasLength
	hasLength bool
	isChunked bool

	lines       int // complete lines so far, with the request line
	isLineBegun bool
	isAfterCR   bool
	isInValue   bool
	name        [18]byte // beginning of the current line's name, in lower case
	nameLength  int      // at most len(name)+1
	lastOfName  byte
	value       fieldValue
}

// fieldValue is the value of a header line that says something of the length, as far as it was read.
type fieldValue struct {
	read     int // bytes, without white space around them
	number   int64
	hasEnded bool // white space after the value
	isOther  bool // no number, or not the beginning of the encoding's name
}

// consume reads the next byte. isEnd is true with the last byte of the header, also if it has two lengths.
// After an error the header is malformed.
func (s *headScanner) consume(c byte) (isEnd bool, err error) {
	if s.isAfterCR && c != '\n' {
		return false, errBareCR
	}
	s.isAfterCR = c == '\r'
	switch {
	case c == '\r':
		return false, nil
	case c == '\n' && !s.isLineBegun:
		return true, s.checkLengths()
	case c == '\n':
		return false, s.endLine()
	}
	isFirst := !s.isLineBegun
	s.isLineBegun = true
	switch {
	case s.lines == 0: // the request line
	case isFirst && isBlank(c):
		return false, errFoldedLine
	case s.isInValue:
		s.consumeValue(c)
	case c == ':':
		return false, s.beginValue()
	default:
		s.consumeName(c)
	}
	return false, nil
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

func (s *headScanner) consumeName(c byte) {
	s.lastOfName = c
	if c >= 'A' && c <= 'Z' {
		c += 'a' - 'A'
	}
	if s.nameLength < len(s.name) {
		s.name[s.nameLength] = c
	}
	s.nameLength = min(s.nameLength+1, len(s.name)+1)
}

// nameIs reports whether the current line's name is name, which is shorter than the array.
func (s *headScanner) nameIs(name string) bool {
	return s.nameLength == len(name) && string(s.name[:s.nameLength]) == name
}

func (s *headScanner) beginValue() error {
	if isBlank(s.lastOfName) {
		return errSpaceBeforeColon
	}
	s.isInValue = true
	return nil
}

// consumeValue reads a byte of a value, in either of the two forms that say something of the length.
func (s *headScanner) consumeValue(c byte) {
	v := &s.value
	switch {
	case isBlank(c):
		v.hasEnded = v.read > 0
		return
	case v.hasEnded:
		v.isOther = true
	case s.nameIs(contentLengthName):
		v.consumeDigit(c)
	case s.nameIs(transferEncodingName):
		lower := c | ('a' - 'A')
		v.isOther = v.isOther || v.read >= len(chunkedEncoding) || lower != chunkedEncoding[v.read]
	}
	v.read++
}

func (v *fieldValue) consumeDigit(c byte) {
	if c < '0' || c > '9' || v.number > (math.MaxInt64-9)/10 {
		v.isOther = true
		return
	}
	v.number = 10*v.number + int64(c-'0')
}

// endLine handles the end of a line that is not empty.
func (s *headScanner) endLine() (err error) {
	switch {
	case s.lines == 0:
	case !s.isInValue:
		return errNoColon
	case s.nameIs(contentLengthName):
		err = s.recordLength()
	case s.nameIs(transferEncodingName):
		err = s.recordEncoding()
	}
	s.lines++
	if err == nil && s.lines > maxHeaderLines {
		err = errTooManyHeaderLines
	}
	s.isLineBegun, s.isInValue, s.nameLength, s.lastOfName, s.value = false, false, 0, 0, fieldValue{}
	return err
}

func (s *headScanner) recordLength() error {
	v := s.value
	if v.isOther || v.read == 0 || s.hasLength && v.number != s.length {
		return errContentLength
	}
	s.hasLength, s.length = true, v.number
	return nil
}

func (s *headScanner) recordEncoding() error {
	if s.value.isOther || s.value.read != len(chunkedEncoding) || s.isChunked {
		return errTransferEncoding
	}
	s.isChunked = true
	return nil
}

// checkLengths handles the end of the header.
func (s *headScanner) checkLengths() error {
	if s.hasLength && s.isChunked {
		return errTwoLengths
	}
	return nil
}
