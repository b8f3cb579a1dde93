package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update", false, "rewrite testdata/golden/replies.txt")

// reason matches the text of a log line or an error. It is meant for people and may change.
var reason = regexp.MustCompile(`"reasonText":"[^"]*"`)

// The replies to the batches of the file are compared line by line: settings, lists, requests and their outcomes.
func TestGoldenTranscript(t *testing.T) {
	batches, err := os.ReadFile(filepath.Join("testdata", "golden", "batches.txt"))
	require.NoError(t, err)
	var output bytes.Buffer
	require.NoError(t, run(bytes.NewReader(batches), &output))
	got := reason.ReplaceAll(output.Bytes(), []byte(`"reasonText":"(any)"`))
	path := filepath.Join("testdata", "golden", "replies.txt")
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}
