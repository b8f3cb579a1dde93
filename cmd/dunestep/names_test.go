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

// deploymentNames are the names of the deployment that the agent is developed with: its own, and those of its service,
// classes, tenants, zones and machine kinds.
var deploymentNames = []string{
	"carpatica", "carpatica-programari", "programari", "consult", "rezervare", "rapid", "lent",
	"buc-pipera", "buc-militari", "cluj-est", "brasov-nord", "zambet-plus", "dentamed-nord", "clinica-olt", "dent-somes",
	"surasul-mures", "stoma-vaslui",
}

// allowedNames lists the deployment names that the code of rehearsals and labs may contain. No shipped program contains
// that code.
var allowedNames = []struct {
	file   string
	names  []string
	reason string
}{
	{
		"internal/rehearsal/lab/deployment.go",
		[]string{"consult", "rezervare", "rapid"},
		"the settings of a lab's agents, which process tests pass to the program",
	},
	{"internal/rehearsal/lab/lab.go", []string{"rapid"}, "describes the same settings"},
	{
		"internal/rehearsal/scenario/scenario.go",
		[]string{"buc-pipera", "buc-militari", "cluj-est", "brasov-nord"},
		"the zones of a rehearsal that names none: delays are drawn by zone name, so the results of all rehearsals depend on them",
	},
	{"internal/control/ringassignment/lab/paces.go", []string{"rapid", "lent"}, "two machine kinds in virtual time"},
	{"internal/control/ringassignment/lab/lab.go", []string{"rapid"}, "describes the same settings"},
}

// siteNames returns the names in a site file for the bench.
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
	for _, entry := range all {
		names = append(names, entry.Name)
	}
	require.Greater(t, len(names), 6, file)
	return names
}

// namesIn returns those of the names that a text contains as words, in any case.
func namesIn(names []string, text string) (found []string) {
	for _, name := range names {
		if regexp.MustCompile(`(?i)\b` + regexp.QuoteMeta(name) + `\b`).MatchString(text) {
			found = append(found, name)
		}
	}
	return found
}

// codeFiles returns the Go files without tests, and the files of deploy/ without those copied there from a kit.
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

// The code and deploy/ contain no names of a deployment, except those of allowedNames and a site file's own. Each of
// allowedNames still occurs in its file, and no shipped program contains it.
func TestNoDeploymentIsNamedInCode(t *testing.T) {
	t.Parallel()
	sites, err := filepath.Glob(filepath.Join(root, "deploy/sites/*.toml"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(sites), 2)
	bySite := map[string][]string{} // names by site file
	for _, file := range sites {
		bySite["deploy/sites/"+filepath.Base(file)] = siteNames(t, file)
	}
	files := codeFiles(t)
	require.Greater(t, len(files), 100)
	for _, file := range files {
		raw, err := os.ReadFile(filepath.Join(root, file))
		require.NoError(t, err)
		names := slices.Clone(deploymentNames)
		for site, own := range bySite {
			if site != file {
				names = append(names, own...)
			}
		}
		var listed []string
		for _, allowed := range allowedNames {
			if allowed.file == file {
				listed = allowed.names
			}
		}
		require.ElementsMatch(t, listed, namesIn(names, string(raw)), file)
	}
	for _, pkg := range shippedPackages(t) {
		for _, allowed := range allowedNames {
			require.NotEqual(t, path.Dir(allowed.file), pkg, "%s is part of a shipped program", allowed.file)
		}
	}
}

// shippedPackages returns the folders of this module's packages that the agent and the simulator's adapter are built of.
func shippedPackages(t *testing.T) (folders []string) {
	out, err := exec.Command("go", "list", "-deps", "dunestep/cmd/dunestep", "dunestep/cmd/benchlink").Output()
	require.NoError(t, err)
	for _, pkg := range strings.Fields(string(out)) {
		if folder, ours := strings.CutPrefix(pkg, "dunestep/"); ours {
			folders = append(folders, folder)
		}
	}
	require.Greater(t, len(folders), 20)
	return folders
}
