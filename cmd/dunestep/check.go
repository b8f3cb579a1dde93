package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"dunestep/internal/balancer"
	"dunestep/internal/operator"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// checkCommand checks the files that the agent would be started with.
type checkCommand struct {
	Config   string `help:"Check the configuration FILE." placeholder:"FILE" env:"LB_CONFIG"`
	Defaults bool   `help:"Print an operator file with all defaults, and check nothing."`
}

// Run prints each problem on a line of its own, with the file, line and column. It returns errInvalidFiles if
// there are any.
func (c checkCommand) Run(line *commandLine) error {
	if c.Defaults {
		text, err := toml.Marshal(operator.Default())
		if err == nil {
			_, err = os.Stdout.Write(text)
		}
		return err
	}
	if c.Config == "" && line.Operator == "" {
		return errors.New("nothing to check: name a file with --config, LB_CONFIG or --operator")
	}
	problems := checkConfig(c.Config)
	if _, err := operator.Read(line.Operator); err != nil {
		problems = append(problems, texts(operator.Problems(err))...)
	}
	if len(problems) == 0 && c.Config != "" {
		problems = checkTogether(c.Config, line.Operator)
	}
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, problem)
	}
	if len(problems) > 0 {
		return errInvalidFiles
	}
	fmt.Println("the files can be used")
	return nil
}

// checkTogether returns the conflicts between a configuration and an operator file that are each valid.
func checkTogether(configFile, operatorFile string) (problems []string) {
	s, err := readSettings(configFile, operatorFile)
	if err == nil && s.operator.GraphQL.Listen != "" {
		if _, err = s.graphQL(); err != nil {
			err = graphQLProblems(err)
		}
	}
	if err != nil {
		problems = texts(operator.Problems(err))
	}
	return problems
}

// checkConfig returns the problems of a configuration file. An empty path has none.
func checkConfig(path string) (problems []string) {
	if path == "" {
		return nil
	}
	raw, err := readBounded(path, maxConfigBytes)
	if err != nil {
		return []string{err.Error()}
	}
	for _, p := range protocol.CheckConfig(raw, checkSettings) {
		problems = append(problems, fmt.Sprintf("%s:%v", path, p))
	}
	return problems
}

// checkSettings checks that the balancer accepts the settings.
func checkSettings(c protocol.Config) (key string, err error) {
	_, err = balancer.New(routing.Permitted(c.Settings.Settings), c.Seed)
	return "settings", err
}

func texts(errs []error) (all []string) {
	for _, err := range errs {
		all = append(all, err.Error())
	}
	return all
}
