// Package doctest checks the documentation pages as a reader would use them: it runs their blocks of
// commands, and parses their tables and objects with the code that parses them in production.
// docs/design/pages.md describes how a page declares the kind of a block.
package doctest

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/yuin/goldmark"
	"github.com/yuin/goldmark/ast"
	"github.com/yuin/goldmark/text"
)

// Kind is the kind of a block.
type Kind string

// The kinds, named as in the info string of a fence. An indented block is of kind Commands.
const (
	Commands Kind = "sh"      // run as a whole; output not compared
	Console  Kind = "console" // commands after "$ ", each followed by its output
	TOML     Kind = "toml"
	JSON     Kind = "json"
	Go       Kind = "go"
	Text     Kind = "text" // drawings and output of other programs
)

var kinds = []Kind{Commands, Console, TOML, JSON, Go, Text}

// designDir is the folder of design notes. An indented block there is a drawing, unless it contains a
// command.
const designDir = "docs/design/"

// Block is a code block of a page.
type Block struct {
	Kind    Kind
	Line    int    // first line in the page
	Text    string // content without fence or indent
	InfoArg string // text after the language: the reader of a table, or the file of Go code

	// Set by directives in the comments before the block.
	SkipReason         string      // reason why the block is not run; empty if it is run
	Before             string      // commands to run first, not shown to readers
	RequiredBackground string      // page and names of its background commands to start first
	BackgroundName     string      // name of the command if it keeps running during later blocks
	Stops              []string    // names of background commands to stop first
	ExitCode           int         // expected exit code of the last command
	Replacements       [][2]string // pairs of text and replacement, for faster runs
}

// Page is a page of the documentation.
type Page struct {
	Name   string
	Blocks []Block
}

// Problem is a fault in a page.
type Problem struct {
	Page string
	Line int
	Text string
}

// Error returns the position and the description of the fault.
func (p Problem) Error() string { return fmt.Sprintf("%s:%d: %s", p.Page, p.Line, p.Text) }

// Read parses a page's file. The name identifies the page in problems. An unreadable file is a problem
// too.
func Read(name, path string) (Page, []Problem) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Page{}, []Problem{{Page: name, Text: err.Error()}}
	}
	return Parse(name, raw)
}

// Parse parses a page's text. The page has all blocks that could be parsed, even if there are problems.
func Parse(name string, raw []byte) (Page, []Problem) {
	r := pageParser{raw: raw, page: Page{Name: name}}
	tree := goldmark.DefaultParser().Parse(text.NewReader(raw))
	// Walk only returns errors of the function, which returns none.
	_ = ast.Walk(tree, func(n ast.Node, entering bool) (ast.WalkStatus, error) {
		if entering && n.Type() == ast.TypeBlock {
			r.node(n)
		}
		return ast.WalkContinue, nil
	})
	return r.page, r.problems
}

// pageParser collects the blocks and problems of a page, in page order.
type pageParser struct {
	raw      []byte
	page     Page
	problems []Problem
}

func (r *pageParser) report(line int, format string, args ...any) {
	r.problems = append(r.problems, Problem{Page: r.page.Name, Line: line, Text: fmt.Sprintf(format, args...)})
}

// line returns the page's line on which a node starts; zero if the node has no lines.
func (r *pageParser) line(n ast.Node) int {
	if n.Lines().Len() == 0 {
		return 0
	}
	return 1 + bytes.Count(r.raw[:n.Lines().At(0).Start], []byte("\n"))
}

// text returns the lines of a node.
func (r *pageParser) text(n ast.Node) string {
	var b strings.Builder
	for i := range n.Lines().Len() {
		line := n.Lines().At(i)
		b.Write(line.Value(r.raw))
	}
	if h, is := n.(*ast.HTMLBlock); is && h.HasClosure() {
		b.Write(h.ClosureLine.Value(r.raw))
	}
	return b.String()
}

func (r *pageParser) node(n ast.Node) {
	b := Block{Line: r.line(n)}
	switch n := n.(type) {
	case *ast.CodeBlock:
		b.Kind = Commands
		if strings.Contains(r.page.Name, designDir) && !commandPattern.MatchString(r.text(n)) {
			b.Kind = Text
		}
	case *ast.FencedCodeBlock:
		info := ""
		if n.Info != nil {
			info = string(n.Info.Segment.Value(r.raw))
		}
		language, infoArg, _ := strings.Cut(strings.TrimSpace(info), " ")
		b.Kind, b.InfoArg = Kind(language), strings.TrimSpace(infoArg)
		if !slices.Contains(kinds, b.Kind) {
			r.report(b.Line, "block of unknown kind %q: the kinds are %v", language, kinds)
			return
		}
	case *ast.HTMLBlock:
		r.checkDetachedComment(n)
		return
	default:
		return
	}
	b.Text = r.text(n)
	for before := n.PreviousSibling(); before != nil && before.Kind() == ast.KindHTMLBlock; {
		for _, comment := range comments(r.text(before)) {
			if err := b.applyDirective(comment); err != nil {
				r.report(r.line(before), "%v", err)
			}
		}
		before = before.PreviousSibling()
	}
	r.page.Blocks = append(r.page.Blocks, b)
}

// checkDetachedComment reports a directive that no block follows: it would have no effect.
func (r *pageParser) checkDetachedComment(n *ast.HTMLBlock) {
	var next ast.Node = n
	for next != nil && next.Kind() == ast.KindHTMLBlock {
		next = next.NextSibling()
	}
	if next != nil && (next.Kind() == ast.KindCodeBlock || next.Kind() == ast.KindFencedCodeBlock) {
		return
	}
	for _, comment := range comments(r.text(n)) {
		name, _, found := strings.Cut(comment, ":")
		if found && directives[name] != nil {
			r.report(r.line(n), "no block follows the directive %q", comment)
		}
	}
}

var commentPattern = regexp.MustCompile(`(?s)<!--(.*?)-->`)

func comments(html string) (all []string) {
	for _, one := range commentPattern.FindAllStringSubmatch(html, -1) {
		all = append(all, strings.TrimSpace(one[1]))
	}
	return all
}

var replacementPattern = regexp.MustCompile(`^"([^"]+)" is "([^"]*)"$`)

// directives maps the name of each directive, the start of a comment before a block, to the function that
// applies it.
var directives = map[string]func(b *Block, value string) error{
	"not run": func(b *Block, value string) error { b.SkipReason = value; return nil },
	"before":  func(b *Block, value string) error { b.Before = value; return nil },
	"beside":  func(b *Block, value string) error { b.RequiredBackground = value; return nil },
	"goes on": func(b *Block, value string) error { b.BackgroundName = value; return nil },
	"ended":   func(b *Block, value string) error { b.Stops = append(b.Stops, value); return nil },
	"exits": func(b *Block, value string) error {
		_, err := fmt.Sscanf(value, "%d", &b.ExitCode)
		return err
	},
	"run as": func(b *Block, value string) error {
		match := replacementPattern.FindStringSubmatch(value)
		if match == nil || !strings.Contains(b.Text, match[1]) {
			return fmt.Errorf("must be \"TEXT OF THE BLOCK\" is \"OTHER TEXT\"")
		}
		b.Replacements = append(b.Replacements, [2]string{match[1], match[2]})
		return nil
	},
}

// applyDirective applies a comment to the block. It returns an error for an unknown directive or an
// invalid value.
func (b *Block) applyDirective(comment string) error {
	name, value, _ := strings.Cut(comment, ":")
	apply := directives[name]
	if apply == nil {
		return fmt.Errorf("unknown directive in the comment before a block: %q", comment)
	}
	if value = strings.TrimSpace(value); value == "" {
		return fmt.Errorf("%q has no value: it needs a reason or a name", comment)
	}
	if err := apply(b, value); err != nil {
		return fmt.Errorf("%q: %w", comment, err)
	}
	return nil
}
