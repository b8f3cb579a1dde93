package state

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/routing"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares got with a file in testdata/golden. With -update it writes the file first.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata/golden", name)
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), name)
}

// fillDistinct sets every exported field below v to a distinct value, in declaration order. Slices get two
// elements.
func fillDistinct(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillDistinct(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fillDistinct(v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fillDistinct(v.Index(i), n)
		}
	case reflect.Array:
		for i := range v.Len() {
			fillDistinct(v.Index(i), n)
		}
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("text-" + string(rune('a'+*n%26)) + string(rune('a'+*n/26%26)))
	case reflect.Int8, reflect.Int16, reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n % 120))
	case reflect.Uint8, reflect.Uint16, reflect.Uint, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n % 120))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.25)
	default:
		panic("no value for a " + v.Kind().String())
	}
}

// The file in testdata/golden was written by the build of commit 3bec2d9. Every field is decoded, keeps its name
// in the exported JSON, and is encoded byte for byte as before.
func TestGoldenFormat2(t *testing.T) {
	if *updateGolden {
		n := 0
		f := sampleFile(3)
		f.Balancer, f.IdleConnections, f.Overload = &balancer.Snapshot{}, &routing.IdleSnapshot{}, &overload.Snapshot{}
		fillDistinct(reflect.ValueOf(f.Balancer).Elem(), &n)
		fillDistinct(reflect.ValueOf(f.IdleConnections).Elem(), &n)
		fillDistinct(reflect.ValueOf(f.Overload).Elem(), &n)
		raw, err := Encode(f)
		require.NoError(t, err)
		checkGolden(t, "format-2.state", raw)
	}
	raw, err := os.ReadFile("testdata/golden/format-2.state")
	require.NoError(t, err)
	f, err := Decode(raw)
	require.NoError(t, err)
	require.Empty(t, f.SkippedSections)
	require.Equal(t, owner, f.Owner)
	require.Equal(t, uint64(7), f.Generation)
	require.Equal(t, sampleFile(3).List, f.List)
	again, err := Encode(f)
	require.NoError(t, err)
	checkGolden(t, "format-2.state", again)
	exported, err := json.MarshalIndent(f, "", "  ")
	require.NoError(t, err)
	checkGolden(t, "format-2.json", exported)
}

// A format 1 file is converted to the current format with the same result as in the build of commit 3bec2d9.
func TestGoldenFormat1(t *testing.T) {
	raw, err := os.ReadFile("testdata/format-1.state")
	require.NoError(t, err)
	f, err := Decode(raw)
	require.NoError(t, err)
	exported, err := json.MarshalIndent(f, "", "  ")
	require.NoError(t, err)
	checkGolden(t, "format-1.json", exported)
	again, err := Encode(f)
	require.NoError(t, err)
	checkGolden(t, "format-1-as-2.state", again)
}
