package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// codeReference matches a file, a folder or a declaration of the repository between backquotes, such as
// `internal/agent/agent.go#Agent.HandleRequest`.
var codeReference = regexp.MustCompile("`((?:cmd|deploy|docs|example|internal|rehearsals|tools)(?:/[\\w.-]+)+)(?:#([\\w.]+))?`")

func TestArchitectureReferencesExist(t *testing.T) {
	text, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	references := codeReference.FindAllStringSubmatch(string(text), -1)
	require.Greater(t, len(references), 50, "references found on the page")
	for _, reference := range references {
		path, declaration := filepath.Join("..", filepath.FromSlash(reference[1])), reference[2]
		if !exists(t, path, reference[0]) || declaration == "" {
			continue
		}
		assert.True(t, declares(t, path, declaration), "%s is not declared there", reference[0])
	}
}

func TestArchitectureNamesEveryPackageOfTheAgent(t *testing.T) {
	text, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	deployFile, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	require.NoError(t, err)
	nodeLine := regexp.MustCompile(`(?m)^node = \[(.*)\]`).FindStringSubmatch(string(deployFile))
	require.NotNil(t, nodeLine)
	for _, folder := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(nodeLine[1], -1) {
		assert.Contains(t, string(text), folder[1], "package of the agent, by deploy/balancer.toml")
	}
}

// layerLine matches a line of the page's diagram: the layer's name, if the line begins one, and a folder.
var layerLine = regexp.MustCompile(`(?m)^([a-z]*)[a-z ]* +((?:cmd|internal)/[\w/]+)`)

func TestPackagesImportOwnAndLowerLayersOnly(t *testing.T) {
	text, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	_, diagram, found := strings.Cut(string(text), "```text\n")
	require.True(t, found)
	diagram, _, found = strings.Cut(diagram, "```")
	require.True(t, found)
	layerOf, layer := map[string]int{}, 0
	for _, line := range layerLine.FindAllStringSubmatch(diagram, -1) {
		if line[1] != "" && line[1] != "and" {
			layer++
		}
		layerOf[line[2]] = layer
	}
	require.Len(t, layerOf, 21, "folders in the diagram")
	for folder, own := range layerOf {
		for _, imported := range importsBelow(t, folder) {
			if other, ok := layerOf[folderOf(imported, layerOf)]; assert.True(t, ok, "%s has no layer", imported) {
				assert.GreaterOrEqual(t, other, own, "%s imports %s of a higher layer", folder, imported)
			}
		}
	}
}

// folderOf returns the longest folder of the diagram that contains a package; empty if there is none.
func folderOf(path string, layerOf map[string]int) string {
	for path != "." {
		if _, ok := layerOf[path]; ok {
			return path
		}
		path = filepath.ToSlash(filepath.Dir(path))
	}
	return ""
}

// importsBelow returns the folders that the packages in and below a folder import. It skips tests and the
// test kits of the fleet and of what it agrees on.
func importsBelow(t *testing.T, folder string) (imports []string) {
	t.Helper()
	root := filepath.Join("..", filepath.FromSlash(folder))
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			switch entry.Name() {
			case "lab", "search", "judge", "fleetlab", "voterlab", "hunting":
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		for _, spec := range file.Imports {
			if name, ok := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), "dunestep/"); ok {
				imports = append(imports, name)
			}
		}
		return err
	}))
	return imports
}

// declares reports whether a Go file declares a function, a type, or a method written as Type.Name.
func declares(t *testing.T, path, declaration string) bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	typeName, member, isMember := strings.Cut(declaration, ".")
	for _, d := range file.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			if isMember && d.Recv != nil && receiverType(d) == typeName && d.Name.Name == member ||
				!isMember && d.Recv == nil && d.Name.Name == declaration {
				return true
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if s, ok := spec.(*ast.TypeSpec); ok && !isMember && s.Name.Name == declaration {
					return true
				}
			}
		}
	}
	return false
}

// receiverType returns the name of a method's receiver type, without pointer and type parameters.
func receiverType(method *ast.FuncDecl) string {
	expr := method.Recv.List[0].Type
	for {
		switch e := expr.(type) {
		case *ast.StarExpr:
			expr = e.X
		case *ast.IndexExpr:
			expr = e.X
		case *ast.Ident:
			return e.Name
		default:
			return ""
		}
	}
}

// exists reports whether a file or folder exists, and fails the test if not.
func exists(t *testing.T, path, reference string) bool {
	t.Helper()
	_, err := os.Stat(path)
	return assert.NoError(t, err, reference)
}
