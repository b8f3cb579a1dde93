package main

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// versionCommand prints which program this is.
type versionCommand struct{}

const noRevision = "of no revision"

// Run prints what the build knows of itself.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the program was built without a note of its version")
	}
	revision, modified := noRevision, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", modified"
		}
	}
	fmt.Printf("dunestep %s, %s%s, %s\n", info.Main.Version, revision, modified, info.GoVersion)
	return nil
}
