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

// Reader reads a table as the program does that it is meant for.
type Reader func(text string) error

// commandForm is how a line begins that is a command of this project.
var commandForm = regexp.MustCompile(
	`(?m)^\s*(\$ |(\w+=\S+ )*((bin/)?(dunestep|rehearse|benchlink)|go (run|build|test|tool)|curl|bash) )`)

// Check reads all blocks that are not commands: tables by the reader of their name, or, where they have none,
// by any; Go by the file below the root that it is said to be from, which is compiled as a test. And it has
// commands be such that a run of them can fail.
func (p Page) Check(root string, readers map[string]Reader) (all []Problem) {
	for i := range p.Blocks {
		b := &p.Blocks[i]
		err := b.check(readers)
		if err == nil && b.Kind == Go && (b.Of != "" || !strings.Contains(p.Name, design)) {
			err = b.checkFrom(root)
		}
		if err != nil {
			all = append(all, Problem{Page: p.Name, Line: b.Line, Text: err.Error()})
		}
	}
	return all
}

func (b *Block) check(readers map[string]Reader) error {
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
		if line := commandForm.FindString(b.Text); line != "" {
			return fmt.Errorf("a block of text with a command, %q: put it into one of sh or console", line)
		}
	case Commands:
		// curl ends with 0 whatever the answer is.
		if b.runs() && strings.Contains(b.Text, "curl ") {
			return errors.New("what curl gets must be shown: make the block one of console")
		}
	}
	return nil
}

// checkFrom looks for the block's lines, one after another, in the file that it is from.
func (b *Block) checkFrom(root string) error {
	if b.Of == "" {
		return errors.New("name the Go file after the fence that has these lines, so that they are compiled")
	}
	raw, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(b.Of)))
	if err != nil {
		return err
	}
	if !strings.Contains(flush(string(raw)), flush(b.Text)) {
		return fmt.Errorf("these lines are not in %s", b.Of)
	}
	return nil
}

// flush is a text without indents.
func flush(text string) (all string) {
	for line := range strings.SplitSeq(strings.Trim(text, "\n"), "\n") {
		all += strings.TrimSpace(line) + "\n"
	}
	return "\n" + all
}

func (b *Block) checkTable(readers map[string]Reader) error {
	if b.Of != "" {
		if readers[b.Of] == nil {
			return fmt.Errorf("a table of %q: there are readers for %q", b.Of, slices.Sorted(maps.Keys(readers)))
		}
		return readers[b.Of](b.Text)
	}
	var all error
	for _, name := range slices.Sorted(maps.Keys(readers)) {
		err := readers[name](b.Text)
		if err == nil {
			return nil
		}
		all = errors.Join(all, fmt.Errorf("as one of %s: %w", name, err))
	}
	return all
}

// NotRun counts the blocks that say why they are not run.
func (p Page) NotRun() (count int) {
	for _, b := range p.Blocks {
		if b.NotRun != "" {
			count++
		}
	}
	return count
}
