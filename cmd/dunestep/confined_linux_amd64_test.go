package main

import (
	"debug/elf"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/standin"
)

// confinedProgram, in its environment, has this test's binary put a program in its own place, confined.
const confinedProgram = "DUNESTEP_CONFINED"

func init() {
	if program := os.Getenv(confinedProgram); program != "" {
		fmt.Fprintln(os.Stderr, standin.Confined(program, os.Args, os.Environ()))
		os.Exit(3)
	}
}

// linked builds the program as the deploy file does.
var linked = sync.OnceValues(func() (string, error) {
	if err := os.Setenv("CGO_ENABLED", "1"); err != nil {
		return "", err
	}
	return build("linked", "-ldflags=-linkmode=external")
})

// The operators' bench loads a library of its own into the agent, which needs one that is linked against the C
// library, and refuses the calls that start other programs or move data past the process. So an agent that
// makes one is ended here, whatever it passes on: short answers and long ones, bodies both ways, a list that
// changes, other files at SIGHUP, datagrams, the end.
func TestConfined(t *testing.T) {
	program, err := linked()
	require.NoError(t, err)
	file, err := elf.Open(program)
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, libraries, "libc.so.6")
	w := start(t, 2, (*testbed).useLongTimeouts, func(w *testbed) {
		w.program, w.env = os.Args[0], []string{confinedProgram + "=" + program}
		w.answerAll(func(s upstreamAttempt) string { return reply("200 OK", long(3_000_000, idOf(s))) })
	})
	for _, class := range []string{"consult", "rezervare"} {
		require.Equal(t, http.StatusOK, w.send(class).status)
	}
	counted(w)
	c, id := w.upload(fmt.Sprint("Content-Length: ", 3_000_000))
	go func() { _, _ = c.Write([]byte(long(3_000_000, id))) }()
	status, body := answered(t, c)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "3000000 true", body)
	_, err = w.peer.WriteTo([]byte("nothing known"), w.peer.LocalAddr())
	require.NoError(t, err)
	require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
	require.Equal(t, http.StatusOK, w.send("consult").status)
}

// What TestConfined rests on: a program that starts another one is ended.
func TestConfinementEndsWhoStartsAnother(t *testing.T) {
	t.Parallel()
	for script, ended := range map[string]bool{"exit 0": false, "/bin/true; exit 0": true} {
		c := exec.Command(os.Args[0], "-c", script)
		c.Env = []string{confinedProgram + "=/bin/sh"}
		err := c.Run()
		if !ended {
			require.NoError(t, err, script)
			continue
		}
		require.Error(t, err, script)
		require.Equal(t, syscall.SIGSYS, c.ProcessState.Sys().(syscall.WaitStatus).Signal(), script)
	}
}
