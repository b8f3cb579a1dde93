package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// logMessage is the constant text of a log call in the agent's code.
type logMessage struct {
	text  string
	level string // empty if the call does not determine it
	// isFormat is true for messages of the decision modules: formats for fmt, logged as a value.
	isFormat bool
	position string
}

// logLevels maps slog's functions that log at a fixed level to that level.
var logLevels = map[string]string{"Debug": "DEBUG", "Info": "INFO", "Warn": "WARN", "Error": "ERROR"}

// kitFolders are folders with programs and tools that do not log as the agent does.
var kitFolders = []string{
	"internal/rehearsal", "internal/standin", "internal/doctest", "internal/ci", "internal/simnet", "cmd/rehearse",
	"cmd/benchlink",
}

// pageRow matches a row of the page's tables whose first cell is between backquotes, and captures that
// cell and the rest of the row.
var pageRow = regexp.MustCompile("(?m)^\\| (`[^|]+`) \\|(.*)$")

// attributes matches the names of attributes after a message on the page, such as " name= listen=".
var attributes = regexp.MustCompile(`( [a-z_]+=)+$`)

// formatVerb matches a verb in a format for fmt.
var formatVerb = regexp.MustCompile(`%[0-9.]*[a-z]`)

func TestOnCallPageHasEveryLogLineAndNoOther(t *testing.T) {
	messages := agentLogMessages(t)
	require.Greater(t, len(messages), 50, "messages found in the code")
	page, err := os.ReadFile("on-call.md")
	require.NoError(t, err)
	_, lines, found := strings.Cut(string(page), "<!-- log lines -->")
	require.True(t, found)
	lines, _, found = strings.Cut(lines, "<!-- end of log lines -->")
	require.True(t, found)

	explained := map[string]string{} // message on the page -> the rest of its row
	for _, row := range pageRow.FindAllStringSubmatch(lines, -1) {
		explained[attributes.ReplaceAllString(strings.Trim(row[1], "`"), "")] = row[2]
	}
	used := map[string]bool{}
	for _, message := range messages {
		isOnPage := false
		for text, rest := range explained {
			if !message.matches(text) {
				continue
			}
			isOnPage, used[text] = true, true
			assert.Contains(t, rest, message.level, "level of %q, logged at %s", message.text, message.position)
		}
		assert.True(t, isOnPage, "%q, logged at %s, is not on the page", message.text, message.position)
	}
	for text := range explained {
		assert.True(t, used[text], "%q is on the page, but no code logs it", text)
	}
}

func (m logMessage) matches(text string) bool {
	if !m.isFormat {
		return m.text == text
	}
	literals := formatVerb.Split(strings.ReplaceAll(m.text, "%%", "%"), -1)
	for i := range literals {
		literals[i] = regexp.QuoteMeta(literals[i])
	}
	return regexp.MustCompile("^" + strings.Join(literals, ".*") + "$").MatchString(text)
}

// agentLogMessages returns the log messages in the agent's code.
func agentLogMessages(t *testing.T) (messages []logMessage) {
	t.Helper()
	for _, root := range []string{"cmd", "internal"} {
		require.NoError(t, filepath.WalkDir(filepath.Join("..", root), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			folder := strings.TrimPrefix(filepath.ToSlash(path), "../")
			for _, kit := range kitFolders {
				if folder == kit || strings.HasPrefix(folder, kit+"/") {
					return fs.SkipDir
				}
			}
			messages = append(messages, packageLogMessages(t, path)...)
			return nil
		}))
	}
	return messages
}

// packageLogMessages returns the log messages of the package in a folder, without test files.
func packageLogMessages(t *testing.T, folder string) (messages []logMessage) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "*.go"))
	require.NoError(t, err)
	set := token.NewFileSet()
	var files []*ast.File
	constants := map[string]string{}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(set, name, nil, 0)
		require.NoError(t, err)
		files = append(files, file)
		collectConstants(file, constants)
	}
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			if function, ok := node.(*ast.FuncDecl); ok && function.Name.Name == "warn" {
				return false // the message is at its callers
			}
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			message, argument := logCall(call)
			if argument == nil {
				return true
			}
			message.position = set.Position(call.Pos()).String()
			message.text, ok = stringValue(argument, constants)
			assert.True(t, ok, "%s: the message must be a constant", message.position)
			messages = append(messages, message)
			return true
		})
	}
	return messages
}

// logCall returns the level of a log call and the argument that is its message; a nil argument for another
// call.
func logCall(call *ast.CallExpr) (message logMessage, argument ast.Expr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return message, nil
	}
	name := selector.Sel.Name
	if receiver, ok := selector.X.(*ast.Ident); ok && receiver.Name == "slog" {
		if level, ok := logLevels[name]; ok {
			return logMessage{level: level}, call.Args[0]
		}
		if name == "Log" {
			return message, call.Args[2]
		}
		return message, nil
	}
	switch name {
	case "logf": // of the decision modules
		return logMessage{isFormat: true}, call.Args[0]
	case "warn": // of internal/transport's limited log
		return logMessage{level: "WARN"}, call.Args[0]
	}
	return message, nil
}

// collectConstants adds a file's package-level string constants to constants.
func collectConstants(file *ast.File, constants map[string]string) {
	for _, declaration := range file.Decls {
		general, ok := declaration.(*ast.GenDecl)
		if !ok || general.Tok != token.CONST {
			continue
		}
		for _, spec := range general.Specs {
			values := spec.(*ast.ValueSpec)
			for i, name := range values.Names {
				if i >= len(values.Values) {
					continue
				}
				if text, ok := stringValue(values.Values[i], constants); ok {
					constants[name.Name] = text
				}
			}
		}
	}
}

// stringValue evaluates string literals, constants and their concatenation; false for other expressions.
func stringValue(expr ast.Expr, constants map[string]string) (string, bool) {
	switch e := expr.(type) {
	case *ast.BasicLit:
		if e.Kind != token.STRING {
			return "", false
		}
		text, err := strconv.Unquote(e.Value)
		return text, err == nil
	case *ast.BinaryExpr:
		left, leftOK := stringValue(e.X, constants)
		right, rightOK := stringValue(e.Y, constants)
		return left + right, e.Op == token.ADD && leftOK && rightOK
	case *ast.Ident:
		text, ok := constants[e.Name]
		return text, ok
	case *ast.ParenExpr:
		return stringValue(e.X, constants)
	}
	return "", false
}
