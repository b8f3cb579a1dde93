package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// side is one of the two programs that are compared.
type side struct {
	name     string
	rehearse string // path of its rehearsal kit, which has its routing code
	agent    string // path of its agent
}

// UnknownBaseError reports a base that names no commit.
type UnknownBaseError struct{ Base string }

func (e UnknownBaseError) Error() string { return "no commit is named " + e.Base }

// BuildError reports a side that does not build, with the compiler's output.
type BuildError struct {
	Side   string
	Output string
	Err    error
}

func (e BuildError) Error() string {
	return fmt.Sprintf("%s does not build: %v\n%s", e.Side, e.Err, e.Output)
}

// Unwrap returns the error of the build command.
func (e BuildError) Unwrap() error { return e.Err }

// buildSides builds the programs of a commit and of the work tree in a folder.
func buildSides(ctx context.Context, base, folder string) (sides [2]side, err error) {
	tree, err := output(ctx, "", "git", "rev-parse", "--show-toplevel")
	if err != nil {
		return sides, fmt.Errorf("the folder is in no repository: %w", err)
	}
	commit, err := output(ctx, tree, "git", "rev-parse", "--verify", "--quiet", base+"^{commit}")
	if err != nil {
		return sides, UnknownBaseError{base}
	}
	baseTree := filepath.Join(folder, "base")
	if err = checkOut(ctx, tree, commit, baseTree); err != nil {
		return sides, err
	}
	if sides[0], err = build(ctx, base, baseTree, filepath.Join(folder, "bin-base")); err != nil {
		return sides, err
	}
	sides[1], err = build(ctx, "the work tree", tree, filepath.Join(folder, "bin-tree"))
	return sides, err
}

// checkOut puts the files of a repository's commit into a new folder.
func checkOut(ctx context.Context, repository, commit, folder string) error {
	_, err := output(ctx, "", "git", "clone", "--quiet", "--shared", "--no-checkout", repository, folder)
	if err != nil {
		return fmt.Errorf("clone of the repository: %w", err)
	}
	if _, err := output(ctx, folder, "git", "checkout", "--quiet", commit); err != nil {
		return fmt.Errorf("checkout of %s: %w", commit, err)
	}
	return nil
}

// build builds the programs of a source tree as the deploy file does.
func build(ctx context.Context, name, tree, folder string) (side, error) {
	if err := os.Mkdir(folder, 0o700); err != nil {
		return side{}, fmt.Errorf("folder for the programs of %s: %w", name, err)
	}
	c := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", folder+"/", "./cmd/...")
	c.Dir, c.Env = tree, append(os.Environ(), "CGO_ENABLED=1")
	if text, err := c.CombinedOutput(); err != nil {
		return side{}, BuildError{Side: name, Output: strings.TrimSpace(string(text)), Err: err}
	}
	return side{name, filepath.Join(folder, "rehearse"), filepath.Join(folder, "dunestep")}, nil
}

// output runs a command in a folder and returns what it prints, without white space at its ends.
func output(ctx context.Context, folder string, command ...string) (string, error) {
	c := exec.CommandContext(ctx, command[0], command[1:]...)
	c.Dir = folder
	text, err := c.Output()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		err = fmt.Errorf("%w: %s", err, strings.TrimSpace(string(failed.Stderr)))
	}
	return strings.TrimSpace(string(text)), err
}
