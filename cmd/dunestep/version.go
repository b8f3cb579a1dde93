package main

import (
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCommand prints the program's version.
type versionCommand struct{}

const unknownRevision = "unknown revision"

// Run prints the module's version, the revision and the Go version from the binary's build information, and
// the platform.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the program was built without version information")
	}
	revision, modified := unknownRevision, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", modified"
		}
	}
	platform := runtime.GOOS + "/" + runtime.GOARCH
	fmt.Printf("dunestep %s, %s%s, %s, %s\n", info.Main.Version, revision, modified, info.GoVersion, platform)
	return nil
}
