// Package docs has the test of the pages: what they tell readers to do is done.
package docs

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"dunestep/internal/control/policy"
	"dunestep/internal/doctest"
	"dunestep/internal/operator"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/standin/program"
)

// notRun is how many blocks of commands the pages have that are not run, each with its reason. It may only
// fall.
const notRun = 3

// readers are for the tables in pages, by what they are of.
func readers(t *testing.T) map[string]doctest.TableReader {
	return map[string]doctest.TableReader{
		"operator": func(text string) error {
			file := filepath.Join(t.TempDir(), "operator.toml")
			require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
			_, err := operator.Read(file)
			return err
		},
		"scenario": func(text string) error {
			_, err := scenario.Parse("scenario.toml", []byte(text))
			return err
		},
		"policy": func(text string) error {
			_, err := policy.ParseDocument("policy.toml", []byte(text))
			return err
		},
	}
}

// Guards against pages that tell readers to do what does not work, or does something else.
func TestPages(t *testing.T) {
	var all []doctest.Page
	count := 0
	for _, pattern := range []string{"README.md", "example/README.md", "docs/*.md", "docs/design/*.md"} {
		found, err := filepath.Glob(filepath.Join("..", pattern))
		require.NoError(t, err)
		for _, path := range found {
			page, problems := doctest.Read(filepath.ToSlash(strings.TrimPrefix(path, "../")), path)
			for _, problem := range append(problems, page.Check("..", readers(t))...) {
				t.Error(problem)
			}
			all = append(all, page)
			count += page.CountSkipped()
		}
	}
	t.Logf("%d pages, %d blocks not run", len(all), count)
	if count != notRun {
		t.Errorf("%d blocks are not run, where %d are noted: fewer are a lower number here, more are a page "+
			"that promises what nobody has tried", count, notRun)
	}
	player := &doctest.Runner{Root: ".."}
	require.NoError(t, program.Sources())
	require.NoError(t, player.Build(t.TempDir()))
	params, err := player.Params(t.TempDir(), all)
	require.NoError(t, err)
	testscript.Run(t, params)
}
