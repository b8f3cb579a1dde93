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

// recordingT is a testscript.T that records the output and the failure of a script.
type recordingT struct {
	mu     sync.Mutex
	failed bool
	output string
}

func (v *recordingT) record(failed bool, args []any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failed, v.output = v.failed || failed, v.output+fmt.Sprintln(args...)
}
func (v *recordingT) Skip(args ...any)  { panic("skipped") }
func (v *recordingT) Log(args ...any)   { v.record(false, args) }
func (v *recordingT) Parallel()         {}
func (v *recordingT) Verbose() bool     { return false }
func (v *recordingT) FailNow()          { v.record(true, nil); panic(v) }
func (v *recordingT) Fatal(args ...any) { v.record(true, args); panic(v) }
func (v *recordingT) Run(_ string, f func(testscript.T)) {
	defer func() {
		if r := recover(); r != nil && r != any(v) {
			panic(r)
		}
	}()
	f(v)
}

var readers = map[string]TableReader{"storm": func(text string) error {
	if text != "purge = 1\n" {
		return errors.New("unknown key")
	}
	return nil
}}

// problemsOf returns all problems of a page's text, as the test of the pages reports them.
func problemsOf(t *testing.T, text string) string {
	page, problems := Parse("page.md", []byte(text))
	all := ""
	for _, p := range append(problems, page.Check("testdata", readers)...) {
		all += p.Error() + "\n"
	}
	p := &Runner{Root: t.TempDir()}
	params, err := p.Params(t.TempDir(), []Page{page})
	require.NoError(t, err)
	if len(params.Files) == 0 {
		return all
	}
	v := &recordingT{}
	testscript.RunT(v, params)
	if v.failed {
		all += v.output
	}
	return all
}

// A correct page passes, and each single fault in it is reported, with its line.
func TestFaultsAreReportedWithLine(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "right.md"))
	require.NoError(t, err)
	right := string(raw)
	require.Empty(t, problemsOf(t, right))
	for _, fault := range []struct{ old, new, want string }{
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
		{"\nbegun\n", "\nbegone\n", "the command ended"},
		{"ended: ticker", "ended: tikcer", "tikcer"},
		{"\nover\n", "\n127.0.0.1\n", "page.md:42"},
		{`"seq 1000000" is`, `"seq 99" is`, "page.md:46"},
		{"not run: there is no such program", "not run:", "page.md:53: \"not run:\" has no value"},
		{"not run: there is", "not rum: there is", "unknown directive"},
		{"<!-- not run: there is no such program -->", "<!-- not run: so -->\n\nWords between.\n", "no block follows the directive"},
		{"purge = 1", "pruge = 1", "page.md:59: unknown key"},
		{"toml storm", "toml strom", `unknown table reader "strom"`},
		{`{"b": 2}`, `{"b": 2`, "page.md:63"},
		{"func f()", "fucn f()", "page.md:68"},
		{"func f()", "func g()", "page.md:68: these lines are not in right.go.txt"},
		{"```go right.go.txt", "```go", "name the Go file"},
		{"```go right.go.txt", "```golang", `block of unknown kind "golang"`},
		{"```go right.go.txt\nfunc f() {}", "```text\ncurl http://127.0.0.1", "with a command"},
		{"test -f before", "curl http://127.0.0.1", "must be shown"},
	} {
		text := strings.Replace(right, fault.old, fault.new, 1)
		require.NotEqual(t, right, text, fault.old)
		if fault.old == "\nbegun\n" { // the run would wait until commandTimeout for the missing output
			text = strings.Replace(text, "while :;", "while false;", 1)
		}
		require.Contains(t, problemsOf(t, text), fault.want, fault.new)
	}
}

// Indented blocks in design notes are drawings, unless they contain a command.
func TestIndentedBlocksInDesignNotes(t *testing.T) {
	for text, kind := range map[string]Kind{
		"    a -> b\n": Text, "    bin/rehearse list\n": Commands,
		"    A=1 go run ./example/toy\n": Commands,
	} {
		page, problems := Parse("docs/design/page.md", []byte(text))
		require.Empty(t, problems)
		require.Equal(t, kind, page.Blocks[0].Kind, text)
	}
}

// The whole process group of a block ends when the process that started it is killed; closing keepAlive
// has the same effect.
func TestProcessGroupEndsWithItsStarter(t *testing.T) {
	s, err := startShell("sleep 1000 & echo begun; sleep 1000", t.TempDir(), os.Environ())
	require.NoError(t, err)
	require.NoError(t, s.waitForOutput(func(output string) bool { return strings.Contains(output, "begun") }))
	require.NoError(t, s.keepAlive.Close())
	require.NoError(t, s.wait()) // returns once all processes have closed the output
}
