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

var updateGolden = flag.Bool("update", false, "write testdata/golden/replies.txt anew")

// reason is the text of a log line or an error: it is for people, and may change.
var reason = regexp.MustCompile(`"reasonText":"[^"]*"`)

// The batches of the file are answered line by line as they were: settings, lists, requests and what becomes of them.
func TestGoldenTranscript(t *testing.T) {
	batches, err := os.ReadFile(filepath.Join("testdata", "golden", "batches.txt"))
	require.NoError(t, err)
	var made bytes.Buffer
	require.NoError(t, run(bytes.NewReader(batches), &made))
	got := reason.ReplaceAll(made.Bytes(), []byte(`"reasonText":"(any)"`))
	path := filepath.Join("testdata", "golden", "replies.txt")
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}
