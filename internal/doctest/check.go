package doctest

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/format"
	"io"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// TableReader parses a table with the code that parses it in production.
type TableReader func(text string) error

// commandPattern matches the start of a line that is a command of this project.
var commandPattern = regexp.MustCompile(
	`(?m)^\s*(\$ |(\w+=\S+ )*((bin/)?(dunestep|rehearse|benchlink)|go (run|build|test|tool)|curl|bash) )`)

// Check checks all blocks. It parses each table with the reader that the block names, or with any reader
// if it names none. It checks that Go code is part of the file that the block names, relative to the root,
// so that it is compiled. It also checks that a run of the commands can fail.
func (p Page) Check(root string, readers map[string]TableReader) (all []Problem) {
	for i := range p.Blocks {
		b := &p.Blocks[i]
		err := b.check(readers)
		if err == nil && b.Kind == Go && (b.InfoArg != "" || !strings.Contains(p.Name, designDir)) {
			err = b.checkSourceFile(root)
		}
		if err != nil {
			all = append(all, Problem{Page: p.Name, Line: b.Line, Text: err.Error()})
		}
	}
	return all
}

func (b *Block) check(readers map[string]TableReader) error {
	switch b.Kind {
	case TOML:
		return b.checkTable(readers)
	case JSON:
		for d := json.NewDecoder(strings.NewReader(b.Text)); ; {
			var value any
			if err := d.Decode(&value); errors.Is(err, io.EOF) {
				return nil
			} else if err != nil {
				return err
			}
		}
	case Go:
		_, err := format.Source([]byte(b.Text))
		return err
	case Text:
		if line := commandPattern.FindString(b.Text); line != "" {
			return fmt.Errorf("a text block with a command, %q: use a block of kind sh or console", line)
		}
	case Commands:
		// curl exits with 0 whatever the response is.
		if b.isRun() && strings.Contains(b.Text, "curl ") {
			return errors.New("the response to curl must be shown: use a console block")
		}
	}
	return nil
}

// checkSourceFile checks that the block's lines occur, in sequence, in the file that it names.
func (b *Block) checkSourceFile(root string) error {
	if b.InfoArg == "" {
		return errors.New("name the Go file with these lines after the fence, so that they are compiled")
	}
	raw, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(b.InfoArg)))
	if err != nil {
		return err
	}
	if !strings.Contains(withoutIndents(string(raw)), withoutIndents(b.Text)) {
		return fmt.Errorf("these lines are not in %s", b.InfoArg)
	}
	return nil
}

// withoutIndents returns a text with the white space around each line removed.
func withoutIndents(text string) (all string) {
	for line := range strings.SplitSeq(strings.Trim(text, "\n"), "\n") {
		all += strings.TrimSpace(line) + "\n"
	}
	return "\n" + all
}

func (b *Block) checkTable(readers map[string]TableReader) error {
	if b.InfoArg != "" {
		if readers[b.InfoArg] == nil {
			return fmt.Errorf("unknown table reader %q: there are readers for %q", b.InfoArg,
				slices.Sorted(maps.Keys(readers)))
		}
		return readers[b.InfoArg](b.Text)
	}
	var all error
	for _, name := range slices.Sorted(maps.Keys(readers)) {
		err := readers[name](b.Text)
		if err == nil {
			return nil
		}
		all = errors.Join(all, fmt.Errorf("as a table of %s: %w", name, err))
	}
	return all
}

// CountSkipped returns the number of blocks with a reason not to be run.
func (p Page) CountSkipped() (count int) {
	for _, b := range p.Blocks {
		if b.SkipReason != "" {
			count++
		}
	}
	return count
}
