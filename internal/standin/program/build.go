package program

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
)

// Build builds a main package of this module into the file to.
func Build(to, pkg string, flags ...string) error {
	args := append(append([]string{"build", "-o", to}, flags...), pkg)
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("building %s: %w: %s", pkg, err, out)
	}
	return nil
}

// DependOnSources makes the result that go test caches for the calling test depend on the sources of this
// module's programs. Without it, go test reuses a result for an earlier version of a program that the test
// starts, as that program is not part of the test's binary. go test checks what a test has opened below the
// module's root, a folder by the sizes and times of its entries, but not what TestMain opens.
func DependOnSources() error {
	all, err := sourceFolders()
	if err != nil {
		return err
	}
	for _, folder := range all {
		if _, err := os.ReadDir(folder); err != nil {
			return err
		}
	}
	return nil
}

// sourceFolders returns the folders of the packages of which the module's programs are built.
var sourceFolders = sync.OnceValues(func() ([]string, error) {
	format := "{{with .Module}}{{if .Main}}{{$.Dir}}{{end}}{{end}}"
	out, err := exec.Command("go", "list", "-deps", "-f", format, "dunestep/cmd/...").Output()
	if err != nil {
		return nil, fmt.Errorf("listing the source folders of the programs: %w", err)
	}
	return strings.Fields(string(out)), nil
})
