// Package doctest does with the pages of the documentation what a reader would: their blocks of commands are
// run, their tables and objects are read by the code that reads them in earnest. How a block says what it is
// stands in docs/design/pages.md.
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

// Kind is what a block is.
type Kind string

// The kinds, as the languages of fences have them. An indented block is one of commands.
const (
	Commands Kind = "sh"      // run as a whole; nothing is said of its output
	Console  Kind = "console" // commands after "$ ", each with its output
	TOML     Kind = "toml"
	JSON     Kind = "json"
	Go       Kind = "go"
	Text     Kind = "text" // drawings, and what other programs say
)

var kinds = []Kind{Commands, Console, TOML, JSON, Go, Text}

// design is the folder of notes whose indented blocks are drawings, unless they begin as a command does.
const design = "docs/design/"

// Block is a block of code in a page.
type Block struct {
	Kind Kind
	Line int    // its first, in the page
	Text string // without fence or indent
	Of   string // what a table is part of: the second word after the fence

	// What comments before it say.
	NotRun string      // why not; empty: it is run
	Before string      // commands that are run first, which readers do not see
	Beside string      // a page, and names of what goes on there: begun first
	GoesOn string      // its name, for what runs on beside the blocks that follow
	Ends   []string    // the names of what is ended first
	Exits  int         // the exit code of its last command
	As     [][2]string // texts that are run as others, to take less
}

// Page is a page of the documentation.
type Page struct {
	Name   string
	Blocks []Block
}

// Problem is what is wrong in a page.
type Problem struct {
	Page string
	Line int
	Text string
}

// Error is the place, and what is wrong there.
func (p Problem) Error() string { return fmt.Sprintf("%s:%d: %s", p.Page, p.Line, p.Text) }

// Read reads a page's file. The name is for the problems, each of which is the page's own.
func Read(name, path string) (Page, []Problem) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Page{}, []Problem{{Page: name, Text: err.Error()}}
	}
	return Parse(name, raw)
}

// Parse reads a page's text. A page with problems has all blocks that could be made out.
func Parse(name string, raw []byte) (Page, []Problem) {
	r := reader{raw: raw, page: Page{Name: name}}
	tree := goldmark.DefaultParser().Parse(text.NewReader(raw))
	// The error could only come from the walker.
	_ = ast.Walk(tree, func(n ast.Node, entering bool) (ast.WalkStatus, error) {
		if entering && n.Type() == ast.TypeBlock {
			r.node(n)
		}
		return ast.WalkContinue, nil
	})
	return r.page, r.problems
}

// reader goes through a page's nodes in their order.
type reader struct {
	raw      []byte
	page     Page
	problems []Problem
}

func (r *reader) complain(line int, format string, args ...any) {
	r.problems = append(r.problems, Problem{Page: r.page.Name, Line: line, Text: fmt.Sprintf(format, args...)})
}

// line is where a node begins in the page.
func (r *reader) line(n ast.Node) int {
	if n.Lines().Len() == 0 {
		return 0
	}
	return 1 + bytes.Count(r.raw[:n.Lines().At(0).Start], []byte("\n"))
}

// text is a node's lines.
func (r *reader) text(n ast.Node) string {
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

func (r *reader) node(n ast.Node) {
	b := Block{Line: r.line(n)}
	switch n := n.(type) {
	case *ast.CodeBlock:
		b.Kind = Commands
		if strings.Contains(r.page.Name, design) && !commandForm.MatchString(r.text(n)) {
			b.Kind = Text
		}
	case *ast.FencedCodeBlock:
		info := ""
		if n.Info != nil {
			info = string(n.Info.Segment.Value(r.raw))
		}
		language, of, _ := strings.Cut(strings.TrimSpace(info), " ")
		b.Kind, b.Of = Kind(language), strings.TrimSpace(of)
		if !slices.Contains(kinds, b.Kind) {
			r.complain(b.Line, "a block in %q: the kinds are %v", language, kinds)
			return
		}
	case *ast.HTMLBlock:
		r.alone(n)
		return
	default:
		return
	}
	b.Text = r.text(n)
	for before := n.PreviousSibling(); before != nil && before.Kind() == ast.KindHTMLBlock; {
		for _, comment := range comments(r.text(before)) {
			if err := b.heed(comment); err != nil {
				r.complain(r.line(before), "%v", err)
			}
		}
		before = before.PreviousSibling()
	}
	r.page.Blocks = append(r.page.Blocks, b)
}

// alone guards against a comment that is meant for a block and stands before none: it would say nothing.
func (r *reader) alone(n *ast.HTMLBlock) {
	var next ast.Node = n
	for next != nil && next.Kind() == ast.KindHTMLBlock {
		next = next.NextSibling()
	}
	if next != nil && (next.Kind() == ast.KindCodeBlock || next.Kind() == ast.KindFencedCodeBlock) {
		return
	}
	for _, comment := range comments(r.text(n)) {
		word, _, said := strings.Cut(comment, ":")
		if said && words[word] != nil {
			r.complain(r.line(n), "a comment on no block: %q", comment)
		}
	}
}

var commentForm = regexp.MustCompile(`(?s)<!--(.*?)-->`)

func comments(html string) (all []string) {
	for _, one := range commentForm.FindAllStringSubmatch(html, -1) {
		all = append(all, strings.TrimSpace(one[1]))
	}
	return all
}

var asForm = regexp.MustCompile(`^"([^"]+)" is "([^"]*)"$`)

// words are what comments before a block may begin with.
var words = map[string]func(b *Block, value string) error{
	"not run": func(b *Block, value string) error { b.NotRun = value; return nil },
	"before":  func(b *Block, value string) error { b.Before = value; return nil },
	"beside":  func(b *Block, value string) error { b.Beside = value; return nil },
	"goes on": func(b *Block, value string) error { b.GoesOn = value; return nil },
	"ended":   func(b *Block, value string) error { b.Ends = append(b.Ends, value); return nil },
	"exits": func(b *Block, value string) error {
		_, err := fmt.Sscanf(value, "%d", &b.Exits)
		return err
	},
	"run as": func(b *Block, value string) error {
		as := asForm.FindStringSubmatch(value)
		if as == nil || !strings.Contains(b.Text, as[1]) {
			return fmt.Errorf("must be \"TEXT OF THE BLOCK\" is \"OTHER TEXT\"")
		}
		b.As = append(b.As, [2]string{as[1], as[2]})
		return nil
	},
}

// heed takes over what a comment says of the block.
func (b *Block) heed(comment string) error {
	word, value, _ := strings.Cut(comment, ":")
	take := words[word]
	if take == nil {
		return fmt.Errorf("a comment before a block begins with a word that is not known: %q", comment)
	}
	if value = strings.TrimSpace(value); value == "" {
		return fmt.Errorf("%q says nothing: it needs a reason or a name", comment)
	}
	if err := take(b, value); err != nil {
		return fmt.Errorf("%q: %w", comment, err)
	}
	return nil
}
