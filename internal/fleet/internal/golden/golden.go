// Package golden compares encodings with golden files. It is for tests of encodings that must not change, as
// agents of other builds send, store and read them.
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

// lineBytes is the number of bytes in a line of a file, which are written as hexadecimal digits.
const lineBytes = 40

// Bytes requires that encoded equals the bytes in testdata/golden/NAME.hex, and returns the bytes of the
// file, for the test to decode. With -update it writes the file first.
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
