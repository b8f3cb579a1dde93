package main

import (
	"io/fs"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

const root = "../.."

// deploymentNames are those of the deployment that the agent is developed beside: of itself, its classes, tenants, zones,
// kinds of machine and service.
var deploymentNames = []string{
	"carpatica", "carpatica-programari", "programari", "consult", "rezervare", "rapid", "lent",
	"buc-pipera", "buc-militari", "cluj-est", "brasov-nord", "zambet-plus", "dentamed-nord", "clinica-olt", "dent-somes",
	"surasul-mures", "stoma-vaslui",
}

// data are names in code of rehearsals and labs, which is in no program that ships.
var allowedNames = []struct {
	file   string
	names  []string
	reason string
}{
	{
		"internal/rehearsal/lab/deployment.go",
		[]string{"consult", "rezervare", "rapid"},
		"the settings of a lab's agents: process tests hand them to the program as any others",
	},
	{"internal/rehearsal/lab/lab.go", []string{"rapid"}, "tells of the same"},
	{
		"internal/rehearsal/scenario/scenario.go",
		[]string{"buc-pipera", "buc-militari", "cluj-est", "brasov-nord"},
		"the zones of a rehearsal that names none: each delay is drawn by a zone's name, so all days' figures rest on them",
	},
	{"internal/control/ringassignment/lab/paces.go", []string{"rapid", "lent"}, "two kinds of machine in virtual time"},
	{"internal/control/ringassignment/lab/lab.go", []string{"rapid"}, "tells of the same"},
}

// siteNames are the names in a site file for the bench.
func siteNames(t *testing.T, file string) []string {
	type named []struct{ Name string }
	var site struct {
		Name          string
		Net           struct{ Zones []string }
		Class, Tenant named
		Tier          []struct {
			Name string
			Kind named
		}
	}
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, toml.Unmarshal(raw, &site), file)
	names := append([]string{site.Name}, site.Net.Zones...)
	all := slices.Concat(site.Class, site.Tenant)
	for _, tier := range site.Tier {
		names, all = append(names, tier.Name), append(all, tier.Kind...)
	}
	for _, n := range all {
		names = append(names, n.Name)
	}
	require.Greater(t, len(names), 6, file)
	return names
}

// found are which of the names stand in a text as words, in any case.
func namesIn(names []string, text string) (found []string) {
	for _, name := range names {
		if regexp.MustCompile(`(?i)\b` + regexp.QuoteMeta(name) + `\b`).MatchString(text) {
			found = append(found, name)
		}
	}
	return found
}

// codeFiles are the Go files that are no tests, and those of deploy/ but for what is copied there from a kit.
func codeFiles(t *testing.T) (files []string) {
	kits := []string{"deploy/sites/design.json", "deploy/sites/real.json", "deploy/sites/unlock.txt", "deploy/sites/wire.json"}
	require.NoError(t, filepath.WalkDir(root, func(at string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(at, filepath.FromSlash(root+"/")))
		switch {
		case entry.IsDir() && at != filepath.FromSlash(root) &&
			(strings.HasPrefix(entry.Name(), ".") || slices.Contains([]string{"bin", "journal", "example/graphql/node_modules"}, name)):
			return filepath.SkipDir
		case entry.IsDir() || slices.Contains(kits, name):
		case strings.HasPrefix(name, "deploy/"), strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go"):
			files = append(files, name)
		}
		return nil
	}))
	return files
}

// No deployment's names stand in the code or in deploy/, but for what is listed above as data and, in a site file, its
// own. What is listed stands there still, and is in nothing that the deploy file runs.
func TestNoDeploymentIsNamedInCode(t *testing.T) {
	t.Parallel()
	sites, err := filepath.Glob(filepath.Join(root, "deploy/sites/*.toml"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(sites), 2)
	of := map[string][]string{} // by site file
	for _, file := range sites {
		of["deploy/sites/"+filepath.Base(file)] = siteNames(t, file)
	}
	files := codeFiles(t)
	require.Greater(t, len(files), 100)
	for _, file := range files {
		raw, err := os.ReadFile(filepath.Join(root, file))
		require.NoError(t, err)
		names := slices.Clone(deploymentNames)
		for site, own := range of {
			if site != file {
				names = append(names, own...)
			}
		}
		var listed []string
		for _, d := range allowedNames {
			if d.file == file {
				listed = d.names
			}
		}
		require.ElementsMatch(t, listed, namesIn(names, string(raw)), file)
	}
	for _, pkg := range shippedPackages(t) {
		for _, d := range allowedNames {
			require.NotEqual(t, path.Dir(d.file), pkg, "%s is in a program that ships", d.file)
		}
	}
}

// shipped are the folders of this module's packages of which the agent and the simulator's adapter are built.
func shippedPackages(t *testing.T) (folders []string) {
	out, err := exec.Command("go", "list", "-deps", "dunestep/cmd/dunestep", "dunestep/cmd/benchlink").Output()
	require.NoError(t, err)
	for _, pkg := range strings.Fields(string(out)) {
		if folder, own := strings.CutPrefix(pkg, "dunestep/"); own {
			folders = append(folders, folder)
		}
	}
	require.Greater(t, len(folders), 20)
	return folders
}
