package doctest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// verdict is a testscript.T that keeps what a script says instead of failing.
type verdict struct {
	mu     sync.Mutex
	failed bool
	said   string
}

func (v *verdict) note(failed bool, args []any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failed, v.said = v.failed || failed, v.said+fmt.Sprintln(args...)
}
func (v *verdict) Skip(args ...any)  { panic("skipped") }
func (v *verdict) Log(args ...any)   { v.note(false, args) }
func (v *verdict) Parallel()         {}
func (v *verdict) Verbose() bool     { return false }
func (v *verdict) FailNow()          { v.note(true, nil); panic(v) }
func (v *verdict) Fatal(args ...any) { v.note(true, args); panic(v) }
func (v *verdict) Run(_ string, f func(testscript.T)) {
	defer func() {
		if r := recover(); r != nil && r != any(v) {
			panic(r)
		}
	}()
	f(v)
}

var readers = map[string]Reader{"storm": func(text string) error {
	if text != "purge = 1\n" {
		return errors.New("unknown key")
	}
	return nil
}}

// tell is all that is wrong with a page's text, as the pages' test would tell it.
func tell(t *testing.T, text string) string {
	page, problems := Parse("page.md", []byte(text))
	all := ""
	for _, p := range append(problems, page.Check("testdata", readers)...) {
		all += p.Error() + "\n"
	}
	p := &Player{Root: t.TempDir()}
	params, err := p.Params(t.TempDir(), []Page{page})
	require.NoError(t, err)
	if len(params.Files) == 0 {
		return all
	}
	v := &verdict{}
	testscript.RunT(v, params)
	if v.failed {
		all += v.said
	}
	return all
}

// A page that is right passes, and each wrong word in it is told, with its line.
func TestWrongWords(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "right.md"))
	require.NoError(t, err)
	right := string(raw)
	require.Empty(t, tell(t, right))
	for _, wrong := range []struct{ old, new, told string }{
		{"grep told", "gerp told", "page.md:7"},
		{"before: echo told", "before: echo tald", "exit code 1"},
		{"echo one; echo two", "ecoh one; echo two", "page.md:12"},
		{"\none\ntwo\n", "\none\ntoo\n", "page.md:12"},
		{"\none\ntwo\n", "\none\ntwo\nthree\n", "page.md:12"},
		{"at 127.0.0.1:7999, pid ...", "at 127.0.0.1:7998, pid ...", "page.md:15"},
		{"a\n...\nc\n", "a\n...\nd\n", "page.md:17"},
		{"one two\n", "one, two\n", "page.md:21"},
		{"exit 3", "exit 4", "ended with exit code 4"},
		{"(exit 3)", "(exit 3", "the shell ended"},
		{"\nbegun\n", "\nbegone\n", "it ended"},
		{"ended: ticker", "ended: tikcer", "tikcer"},
		{"\nover\n", "\n127.0.0.1\n", "page.md:42"},
		{`"seq 1000000" is`, `"seq 99" is`, "page.md:46"},
		{"not run: there is no such program", "not run:", "page.md:53: \"not run:\" says nothing"},
		{"not run: there is", "not rum: there is", "a word that is not known"},
		{"<!-- not run: there is no such program -->", "<!-- not run: so -->\n\nWords between.\n", "no block"},
		{"purge = 1", "pruge = 1", "page.md:59: unknown key"},
		{"toml storm", "toml strom", `a table of "strom"`},
		{`{"b": 2}`, `{"b": 2`, "page.md:63"},
		{"func f()", "fucn f()", "page.md:68"},
		{"func f()", "func g()", "page.md:68: these lines are not in right.go.txt"},
		{"```go right.go.txt", "```go", "name the Go file"},
		{"```go right.go.txt", "```golang", `a block in "golang"`},
		{"```go right.go.txt\nfunc f() {}", "```text\ncurl http://127.0.0.1", "with a command"},
		{"test -f before", "curl http://127.0.0.1", "must be shown"},
	} {
		text := strings.Replace(right, wrong.old, wrong.new, 1)
		require.NotEqual(t, right, text, wrong.old)
		if wrong.old == "\nbegun\n" { // it would be waited for as long as it goes on
			text = strings.Replace(text, "while :;", "while false;", 1)
		}
		require.Contains(t, tell(t, text), wrong.told, wrong.new)
	}
}

// Drawings are indented in notes of design, commands are not taken for them.
func TestDrawings(t *testing.T) {
	for text, kind := range map[string]Kind{
		"    a -> b\n": Text, "    bin/rehearse list\n": Commands,
		"    A=1 go run ./example/toy\n": Commands,
	} {
		page, problems := Parse("docs/design/page.md", []byte(text))
		require.Empty(t, problems)
		require.Equal(t, kind, page.Blocks[0].Kind, text)
	}
}

// Where what holds it is gone, as with a kill of the test, the whole group of a block ends.
func TestNothingStays(t *testing.T) {
	s, err := run("sleep 1000 & echo begun; sleep 1000", t.TempDir(), os.Environ())
	require.NoError(t, err)
	require.NoError(t, s.until(func(output string) bool { return strings.Contains(output, "begun") }))
	require.NoError(t, s.hold.Close())
	require.NoError(t, s.wait()) // all ends of its output are closed
}
