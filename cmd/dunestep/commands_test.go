package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/operator"
)

// command runs the program with an empty environment until it exits. It returns the exit code, stdout and stderr.
func command(t *testing.T, args ...string) (code int, out, errs string) {
	c := exec.Command(raceBinary, args...)
	c.Env = []string{}
	var stdout, stderr strings.Builder
	c.Stdout, c.Stderr = &stdout, &stderr
	err := c.Run()
	if err != nil {
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
		require.Equal(t, error(exit), err)
	}
	return c.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

func TestCheck(t *testing.T) {
	w := newTestbed(t, 1)
	w.configPath = filepath.Join(t.TempDir(), "config.json")
	w.writeConfig()
	code, out, errs := command(t, "check", "--config", w.configPath, "--operator", "../../deploy/operator.toml")
	require.Zero(t, code, errs)
	require.NotEmpty(t, out)

	// Faults of both files are reported together.
	w.config["listen"], w.config["seed"] = "here", "xyz"
	w.operatorFile = "[answers]\nlag_ms = -1\n[log]\nlevel = \"all\"\n"
	w.writeConfig()
	code, _, errs = command(t, "check", "--config", w.configPath, "--operator", w.configPath+".toml")
	require.Equal(t, 2, code)
	require.Equal(t, 4, strings.Count(errs, "\n"), errs)
	require.Regexp(t, `config.json:1:\d+: config: listen: "here" is`, errs)
	require.Contains(t, errs, "config.json.toml:2:1: answers.lag_ms: must be")
	require.Contains(t, errs, "config.json.toml:4:1: log.level: must be")

	// Faults that only the balancer detects.
	w.config["listen"], w.config["seed"] = w.addr, "1"
	w.config["settings"].(object)["resolution"] = 0
	w.writeConfig()
	code, _, errs = command(t, "check", "--config", w.configPath)
	require.Equal(t, 2, code)
	require.Regexp(t, `config.json:1:\d+: balancer: `, errs)

	// Conflicts between the files.
	w.config["settings"].(object)["resolution"] = 5000
	w.operatorFile = "[graphql]\nlisten = \"front\"\npath = \"/consult\"\nsafe_class = \"none\"\n"
	w.writeConfig()
	code, _, errs = command(t, "check", "--config", w.configPath, "--operator", w.configPath+".toml")
	require.Equal(t, 2, code)
	require.Equal(t, 2, strings.Count(errs, "operator file: graphql: "), errs)

	code, out, _ = command(t, "check", "--defaults")
	require.Zero(t, code)
	path := filepath.Join(t.TempDir(), "operator.toml")
	require.NoError(t, os.WriteFile(path, []byte(out), 0o600))
	got, err := operator.Read(path)
	require.NoError(t, err)
	require.Equal(t, operator.Default(), got)

	code, _, errs = command(t, "check")
	require.Equal(t, 1, code)
	require.Contains(t, errs, "nothing to check")
	code, out, _ = command(t, "version")
	require.Zero(t, code)
	require.Contains(t, out, "dunestep ")
	require.True(t, strings.HasSuffix(out, ", "+runtime.GOOS+"/"+runtime.GOARCH+"\n"), out)
}

// The operator file sets the log's format and minimum level, also by a reload.
func TestLog(t *testing.T) {
	w := start(t, 1, func(w *testbed) { w.operatorFile = "[log]\nformat = \"json\"\n" })
	served := ""
	for text := range strings.Lines(w.log.String()) { // in any order: discovery is called while the sockets are opened
		var line struct{ Level, Msg, Name string }
		require.NoError(t, json.Unmarshal([]byte(text), &line), text)
		require.Equal(t, "INFO", line.Level)
		if line.Msg == "serving" {
			served = line.Name
		}
	}
	require.Equal(t, "n0", served)

	w.operatorFile = "[log]\nformat = \"text\"\n"
	w.writeConfig()
	require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
	w.waitUntil("log in text format", func() bool { return strings.Contains(w.log.String(), `level=INFO msg="configuration applied"`) })

	quiet := newSerialTestbed(t, 1).start(func(w *testbed) { w.operatorFile = "[log]\nlevel = \"error\"\n" })
	require.Equal(t, 200, quiet.send("consult").status)
	require.Zero(t, quiet.stop())
	require.Empty(t, quiet.log.String())
}
