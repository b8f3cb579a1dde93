package transport

import "errors"

// errMalformedChunk means that a chunked body does not follow RFC 9112.
var errMalformedChunk = errors.New("malformed chunk")

// maxChunkSizeDigits keeps a chunk's size within 63 bits.
const maxChunkSizeDigits = 15

// chunkPhase is what the next byte of a chunked body belongs to.
type chunkPhase uint8

const (
	chunkSize      chunkPhase = iota
	chunkSizeBlank            // white space after the size
	chunkExtension
	chunkSizeLF // the end of the line with the size
	chunkData
	chunkDataCR // the line end after the data
	chunkDataLF
	trailerLineStart
	trailerLine
	trailerLineLF
	trailerEndLF // the line feed of the empty line that ends the body
)

// chunkScanner finds the end of a chunked body. The zero value is ready for use, from the body's first byte.
type chunkScanner struct {
	phase        chunkPhase
	size         int64 // of the current chunk
	sizeDigits   int
	dataLeft     int64 // bytes of the current chunk's data not received yet, in chunkData
	trailerLines int
}

// skipData consumes data of the current chunk at the beginning of b, and returns its length.
func (s *chunkScanner) skipData(b []byte) int {
	if s.phase != chunkData {
		return 0
	}
	skipped := min(s.dataLeft, int64(len(b)))
	s.dataLeft -= skipped
	if s.dataLeft == 0 {
		s.phase = chunkDataCR
	}
	return int(skipped)
}

// consume reads the next byte, which is no data of a chunk. isEnd is true with the last byte of the body.
func (s *chunkScanner) consume(c byte) (isEnd bool, err error) {
	next, ok := s.next(c)
	if !ok {
		return false, errMalformedChunk
	}
	s.phase = next
	switch {
	case next == trailerLine && s.trailerLines >= maxHeaderLines:
		return false, errTooManyHeaderLines
	case next == trailerLineLF:
		s.trailerLines++
	}
	return next == chunkSize && s.isLast() && c == '\n', nil
}

// isLast reports whether the current chunk is the last one, which is empty.
func (s *chunkScanner) isLast() bool { return s.sizeDigits > 0 && s.size == 0 }

// next returns what follows a byte; false if it is not allowed where it stands.
func (s *chunkScanner) next(c byte) (chunkPhase, bool) {
	switch s.phase {
	case chunkSize, chunkSizeBlank:
		return s.nextOfSize(c)
	case chunkExtension:
		if c == '\r' {
			return chunkSizeLF, true
		}
		return chunkExtension, c != '\n'
	case chunkSizeLF:
		return s.beginChunk(), c == '\n'
	case chunkDataCR:
		return chunkDataLF, c == '\r'
	case chunkDataLF:
		s.size, s.sizeDigits = 0, 0
		return chunkSize, c == '\n'
	case trailerLineStart:
		if c == '\r' {
			return trailerEndLF, true
		}
		return trailerLine, c != '\n' && !isBlank(c)
	case trailerLine:
		if c == '\r' {
			return trailerLineLF, true
		}
		return trailerLine, c != '\n'
	case trailerLineLF:
		return trailerLineStart, c == '\n'
	case trailerEndLF:
		return chunkSize, c == '\n'
	default:
		return s.phase, false
	}
}

// nextOfSize returns what follows a byte of the line with a chunk's size, before its extension.
func (s *chunkScanner) nextOfSize(c byte) (chunkPhase, bool) {
	digit, isDigit := hexDigit(c)
	switch {
	case s.phase == chunkSize && isDigit:
		s.size = s.size<<4 | digit
		s.sizeDigits++
		return chunkSize, s.sizeDigits <= maxChunkSizeDigits
	case s.sizeDigits == 0:
		return chunkSize, false
	case isBlank(c):
		return chunkSizeBlank, true
	case c == ';' && s.phase == chunkSize:
		return chunkExtension, true
	}
	return chunkSizeLF, c == '\r'
}

// beginChunk returns what follows the line with a chunk's size.
func (s *chunkScanner) beginChunk() chunkPhase {
	if s.size == 0 {
		return trailerLineStart
	}
	s.dataLeft = s.size
	return chunkData
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
