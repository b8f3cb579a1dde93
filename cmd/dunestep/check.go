package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/pelletier/go-toml/v2"

	"dunestep/internal/balancer"
	"dunestep/internal/operator"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// badFiles is the exit code of a check that has found something.
const badFiles = 2

// errFound ends a check that has told what is wrong.
var errFound = errors.New("the files can't be used")

// checkCommand tells what is wrong with the files that the agent would be started with.
type checkCommand struct {
	Config   string `help:"Check the configuration FILE." placeholder:"FILE" env:"LB_CONFIG"`
	Defaults bool   `help:"Print an operator file with every default, and check nothing."`
}

// Run tells all that is wrong, a line each with the file, the line and the column.
func (c checkCommand) Run(line *commandLine) error {
	if c.Defaults {
		text, err := toml.Marshal(operator.Default())
		if err == nil {
			_, err = os.Stdout.Write(text)
		}
		return err
	}
	if c.Config == "" && line.Operator == "" {
		return errors.New("there is nothing to check: name a file by --config, LB_CONFIG or --operator")
	}
	found := checkConfig(c.Config)
	if _, err := operator.Read(line.Operator); err != nil {
		for _, one := range operator.Problems(err) {
			found = append(found, one.Error())
		}
	}
	if len(found) == 0 && c.Config != "" {
		found = checkTogether(c.Config, line.Operator)
	}
	for _, one := range found {
		fmt.Fprintln(os.Stderr, one)
	}
	if len(found) > 0 {
		return errFound
	}
	fmt.Println("the files can be used")
	return nil
}

// checkTogether tells what is wrong between two files that are right by themselves.
func checkTogether(config, operatorFile string) (found []string) {
	s, err := readSettings(config, operatorFile)
	if err == nil && s.operator.GraphQL.Listen != "" {
		if _, err = s.graphQL(); err != nil {
			err = graphQLProblems(err)
		}
	}
	if err != nil {
		for _, one := range operator.Problems(err) {
			found = append(found, one.Error())
		}
	}
	return found
}

// checkConfig tells what is wrong with a configuration's file; an empty name: there is none.
func checkConfig(name string) (found []string) {
	if name == "" {
		return nil
	}
	f, err := os.Open(name)
	if err != nil {
		return []string{err.Error()}
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxConfig))
	if err != nil {
		return []string{err.Error()}
	}
	for _, p := range protocol.CheckConfig(raw, checkSettings) {
		found = append(found, fmt.Sprintf("%s:%v", name, p))
	}
	return found
}

// checkSettings tells whether the module can serve the settings.
func checkSettings(c protocol.Config) (key string, err error) {
	_, err = balancer.New(routing.Permitted(c.Settings.Settings), c.Seed)
	return "settings", err
}

// versionCommand says which program this is.
type versionCommand struct{}

// Run prints what the build knows of itself.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the program was built without a note of its version")
	}
	revision := "of no revision"
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value + revision[len("of no revision"):]
		case s.Key == "vcs.modified" && s.Value == "true":
			revision += ", modified"
		}
	}
	fmt.Printf("dunestep %s, %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
