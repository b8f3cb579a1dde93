package handover

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
)

// Updates of a settings file that could not lock it are stored beside it, each in a file of its own, until an
// update that holds the lock merges them. Nothing is overwritten without the lock.

// pendingSuffix follows the settings file's name in the name of a pending update.
const pendingSuffix = ".pending-"

// newPendingPath returns the path for a pending update, which no other update has.
func (f *SettingsFile) newPendingPath() string {
	return fmt.Sprintf("%s%s%016x", f.path, pendingSuffix, rand.Uint64())
}

// pendingPaths returns the paths of all pending updates; none if the folder can't be read.
func (f *SettingsFile) pendingPaths() (paths []string) {
	entries, _ := os.ReadDir(filepath.Dir(f.path))
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), filepath.Base(f.path)+pendingSuffix) {
			paths = append(paths, filepath.Join(filepath.Dir(f.path), entry.Name()))
		}
	}
	return paths
}

// removeAll removes files; one that can't be removed is merged again by the next update.
func removeAll(paths []string) {
	for _, path := range paths {
		_ = os.Remove(path)
	}
}
