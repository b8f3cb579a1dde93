// Command benchlink runs balancers for the simulator. It reads one batch of messages per line from standard
// input, and writes one reply per line to standard output. It makes no decisions, and its balancers share
// nothing but the decoded server lists. It runs until the end of its input; a line that it cannot handle ends
// it with exit code 1.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
)

const (
	// gcPercent trades memory for speed: a simulation runs few processes and produces much garbage.
	gcPercent = 400
	// inputBuffer is the length, in bytes, up to which a line is read without copying it.
	inputBuffer = 1 << 20
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run answers each line of in with a line to out.
func run(in io.Reader, out io.Writer) error {
	lines := &lineReader{in: bufio.NewReaderSize(in, inputBuffer)}
	h := newHost()
	for n := 1; ; n++ {
		line, err := lines.next()
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("cannot read line %d: %w", n, err)
		}
		reply, err := h.reply(bytes.TrimRight(line, "\r\n"))
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("cannot write the reply to line %d: %w", n, err)
		}
	}
}

// lineReader reads lines of any length.
type lineReader struct {
	in   *bufio.Reader
	long []byte // copy of a line that is longer than the reader's buffer
}

// next returns the next line with its line feed, valid until the next call. The last line may be returned
// together with io.EOF.
func (r *lineReader) next() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	r.long = append(r.long[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.in.ReadSlice('\n')
		r.long = append(r.long, line...)
	}
	return r.long, err
}
