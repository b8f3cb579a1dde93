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

// confinedProgramEnv names an environment variable. Where it is set, this test binary replaces itself with the program at
// that path, confined.
const confinedProgramEnv = "DUNESTEP_CONFINED"

func init() {
	if program := os.Getenv(confinedProgramEnv); program != "" {
		fmt.Fprintln(os.Stderr, standin.ExecConfined(program, os.Args, os.Environ()))
		os.Exit(3)
	}
}

// externallyLinkedBinary builds the program as the deploy file does, with the external linker.
var externallyLinkedBinary = sync.OnceValues(func() (string, error) {
	if err := os.Setenv("CGO_ENABLED", "1"); err != nil {
		return "", err
	}
	return build("linked", "-ldflags=-linkmode=external")
})

// requireFilters skips the test where the machine allows no system call filter.
func requireFilters(t *testing.T) {
	if refusal := standin.FilterRefusal(); refusal != nil {
		t.Skip("programs cannot be confined on this machine:", refusal)
	}
}

// The operators' bench loads a library of its own into the agent, so that the binary must be linked against the C library.
// It refuses system calls that start other programs or move data without passing through the process. Here, such a call
// ends the agent. The agent must make none: for short and long answers, request and response bodies, endpoint list
// updates, a reload, datagrams and its exit.
func TestConfined(t *testing.T) {
	requireFilters(t)
	program, err := externallyLinkedBinary()
	require.NoError(t, err)
	file, err := elf.Open(program)
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, libraries, "libc.so.6")
	w := start(t, 2, (*testbed).useLongTimeouts, func(w *testbed) {
		w.program, w.env = os.Args[0], []string{confinedProgramEnv + "=" + program}
		w.answerAll(func(s upstreamAttempt) string { return reply("200 OK", uniqueBody(3_000_000, correlationID(s))) })
	})
	for _, class := range []string{"consult", "rezervare"} {
		require.Equal(t, http.StatusOK, w.send(class).status)
	}
	echoBodyLength(w)
	c, id := w.upload(fmt.Sprint("Content-Length: ", 3_000_000))
	go func() { _, _ = c.Write([]byte(uniqueBody(3_000_000, id))) }()
	status, body := readResponse(t, c)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "3000000 true", body)
	_, err = w.peer.WriteTo([]byte("nothing known"), w.peer.LocalAddr())
	require.NoError(t, err)
	require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
	require.Equal(t, http.StatusOK, w.send("consult").status)
}

// The confinement that TestConfined relies on kills a program that starts another one.
func TestConfinementKillsProgramThatStartsAnother(t *testing.T) {
	requireFilters(t)
	t.Parallel()
	for script, killed := range map[string]bool{"exit 0": false, "/bin/true; exit 0": true} {
		c := exec.Command(os.Args[0], "-c", script)
		c.Env = []string{confinedProgramEnv + "=/bin/sh"}
		err := c.Run()
		if !killed {
			require.NoError(t, err, script)
			continue
		}
		require.Error(t, err, script)
		require.Equal(t, syscall.SIGSYS, c.ProcessState.Sys().(syscall.WaitStatus).Signal(), script)
	}
}
