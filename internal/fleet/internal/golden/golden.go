// Package golden compares encoded forms with files, for tests of what must not change: what agents of other
// builds send, write and read. It is for tests only.
package golden

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files from what the code encodes now")

// lineBytes is how many bytes a line of a file shows, in hexadecimal digits.
const lineBytes = 40

// Bytes requires that encoded is what testdata/golden/NAME.hex holds, and returns the file's bytes, to be
// decoded. With -update it writes the file first.
func Bytes(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".hex")
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(lines(encoded)), 0o600))
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	want, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	require.NoError(t, err, path)
	require.Equal(t, hex.EncodeToString(want), hex.EncodeToString(encoded), path)
	return want
}

func lines(b []byte) string {
	var text strings.Builder
	for ; len(b) > lineBytes; b = b[lineBytes:] {
		text.WriteString(hex.EncodeToString(b[:lineBytes]) + "\n")
	}
	return text.String() + hex.EncodeToString(b) + "\n"
}
