package stricttoml

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Name   string                            `toml:"name,need"`
	Mode   string                            `toml:"mode" oneof:"slow,fast" default:"'slow'"`
	On     bool                              `toml:"on" default:"true"`
	Count  int                               `toml:"count" range:"1..9" default:"1"`
	Long   int64                             `toml:"long" min:"64" max:"1048576"`
	Seed   uint64                            `toml:"seed"`
	Free   float64                           `toml:"free"`
	Wait   time.Duration                     `toml:"wait_ms" range:"0..60000"`
	Reach  struct{ Low, High float64 }       `toml:"reach" range:"0.01..1" default:"[0.1, 0.2]"`
	Gap    struct{ Low, High time.Duration } `toml:"gap_s" range:"0..10"`
	Words  []string                          `toml:"words"`
	Inner  inner                             `toml:"inner"`
	Entry  []inner                           `toml:"entry"`
	Named  map[string]string                 `toml:"named"`
	Deeper map[string][]inner                `toml:"deeper"`
}

type inner struct {
	Share float64 `toml:"share,need" range:"0..1"`
	Kept  int64   `toml:"kept" range:"0..100"`
}

type tables struct {
	One inner `toml:"one"`
	Two inner `toml:"two"`
}

func checkBetweenKeys(d *Document) {
	if d.IsValid("inner") && d.Has("inner", "kept") {
		d.AddProblem("inner.kept", "contradicts %v", d.Keys("inner"))
	}
}

func TestRead(t *testing.T) {
	got := sample{Inner: inner{Kept: 7}}
	require.NoError(t, Read("f", []byte(`name = "x"
wait_ms = 1.001
reach = 1
gap_s = [1, 2.5]
inner = {share = 1}
entry = [{share = 0}, {share = 0.5, kept = 3}]
deeper.'a b' = [{share = 1}]
[named]
"" = "nothing"
'c.d' = "both"
`), &got, checkBetweenKeys))
	want := sample{
		Name: "x", Mode: "slow", On: true, Count: 1, Wait: 1001 * time.Microsecond,
		Inner: inner{1, 7}, Entry: []inner{{0, 0}, {0.5, 3}},
		Named: map[string]string{"": "nothing", "c.d": "both"}, Deeper: map[string][]inner{"a b": {{1, 0}}},
	}
	want.Reach.Low, want.Reach.High = 1, 1
	want.Gap.Low, want.Gap.High = time.Second, 2500*time.Millisecond
	require.Equal(t, want, got)
}

// Read reports all problems in the order of the document, each with its position and what is allowed.
func TestProblems(t *testing.T) {
	valid := "name = \"x\"\ninner.share = 1\n"
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"empty":                              {"", []string{"f: needs the key name", "f: inner: needs the key share"}},
		"invalid TOML":                       {"name = = 3", []string{"f:1:8: "}},
		"duplicate key":                      {valid + "on = true\non = true", []string{"f:4:1: on: "}},
		"unknown key":                        {valid + "typo = 1\ninner.b = 2", []string{"f:3:1: typo: unknown key; there are name, mode, ", "f:4:7: inner.b: unknown key; there are share, kept"}},
		"empty key":                          {valid + "\"\" = 1", []string{`f:3:1: "": unknown key`}},
		"missing key":                        {valid + "[[entry]]\nshare = 1\n[[entry]]", []string{"f:5:3: entry[1]: needs the key share"}},
		"not a string":                       {"name = 1\ninner.share = 1", []string{"f:1:1: name: must be a string"}},
		"empty string":                       {"name = ''\ninner.share = 1", []string{"f:1:1: name: must not be empty"}},
		"long string":                        {valid + "named.a = '" + strings.Repeat("a", maxStringBytes+1) + "'", []string{"f:3:7: named.a: is longer than 4096 bytes"}},
		"string not allowed":                 {valid + "mode = 'rapid'", []string{`f:3:1: mode: "rapid" is unknown; allowed: slow, fast`}},
		"not a bool":                         {valid + "on = 1", []string{"f:3:1: on: must be true or false"}},
		"integers":                           {valid + "count = 0\nlong = 1.5\nseed = -1", []string{"f:3:1: count: must be a whole number from 1 to 9", "f:4:1: long: must be a whole number from 64 to 1048576", "f:5:1: seed: must be a whole number from 0"}},
		"not numbers":                        {valid + "free = inf\nreach = nan\nwait_ms = 2026-04-13", []string{"f:3:1: free: must be a number", "f:4:1: reach: must be a number from 0.01 to 1", "f:5:1: wait_ms: must be a number from 0 to 60000"}},
		"spans":                              {valid + "reach = [2, 1]\ngap_s = [1, 2, 3]\n", []string{"f:3:1: reach: must be a number from 0.01 to 1", "f:4:1: gap_s: must be a number from 0 to 10, or an array of two"}},
		"span reversed":                      {valid + "gap_s = [2, 1.5]", []string{"f:3:1: gap_s: the minimum, 2, is above the maximum, 1.5"}},
		"not arrays":                         {valid + "words = 'a'\nentry = {share = 1}", []string{"f:3:1: words: must be an array of at most 1000 entries", "f:4:1: entry: must be an array"}},
		"in arrays":                          {valid + "words = ['a', 1]\nentry = [{share = 1}, {share = 2, kept = 1}]", []string{"f:3:1: words[1]: must be a string", "f:4:24: entry[1].share: must be a number"}},
		"not tables":                         {"name = 'x'\ninner = 1\nnamed = 2\n[[deeper]]", []string{"f:2:1: inner: must be a table", "f:3:1: named: must be a table", "f:4:3: deeper: must be a table"}},
		"in maps":                            {valid + "named = {a = 'b', 'c d' = 5}\ndeeper.e = [{share = -1}]", []string{"f:3:19: named.c d: must be a string", "f:4:14: deeper.e[0].share: must be"}},
		"between keys":                       {valid + "inner.kept = 1", []string{"f:3:7: inner.kept: contradicts [kept share]"}},
		"rules between keys need valid keys": {valid + "inner.kept = 101", []string{"f:3:7: inner.kept: must be"}},
		"too many bytes":                     {valid + strings.Repeat("#\n", MaxBytes/2), []string{"f: is longer than 262144 bytes"}},
	} {
		t.Run(name, func(t *testing.T) {
			var problems Problems
			require.ErrorAs(t, Read("f", []byte(c.text), &sample{}, checkBetweenKeys), &problems)
			require.Len(t, problems, len(c.want), "%v", problems)
			for i, want := range c.want {
				require.True(t, strings.HasPrefix(problems[i].Error(), want), "%v", problems[i])
			}
		})
	}
	err := Read("f", []byte("[three]"), &tables{}, func(*Document) {})
	require.ErrorContains(t, err, "f:1:2: three: unknown table; there are one, two")
	many := Read("f", []byte(valid+"[entry_]\n"+strings.Repeat("[[entry]]\n", 60)), &sample{}, checkBetweenKeys)
	require.ErrorContains(t, many, "f:3:2: entry_: unknown key")
	require.ErrorContains(t, many, "f: and 11 more")
}

func TestReadFile(t *testing.T) {
	require.ErrorIs(t, ReadFile("nowhere.toml", &sample{}, checkBetweenKeys), os.ErrNotExist)
	path := filepath.Join(t.TempDir(), "long.toml")
	require.NoError(t, os.WriteFile(path, make([]byte, 2*MaxBytes), 0o600))
	require.ErrorContains(t, ReadFile(path, &sample{}, checkBetweenKeys), path+": is longer than")
}

// The memory used is proportional to a document's size, also with many repetitions, deep nesting or long keys.
func TestReadMemoryIsBounded(t *testing.T) {
	var numbered strings.Builder
	for i := 0; numbered.Len() < MaxBytes/8; i++ {
		fmt.Fprintf(&numbered, "%d=1\n", i)
	}
	for name, text := range map[string]string{
		"parts":   strings.Repeat("a.", MaxBytes/2-10) + "a = 1",
		"nested":  "a = " + strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		"tables":  strings.Repeat("[[a]]\nb = 1\n", MaxBytes/13),
		"unknown": numbered.String(),
		"longest": "[named." + strings.Repeat("a", MaxBytes/2-100) + "]\n" + numbered.String(),
		"inline":  "named." + strings.Repeat("a", MaxBytes/2-100) + " = {" + strings.ReplaceAll(numbered.String(), "\n", ",") + "a=1}",
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := Read("f", []byte(text), &sample{}, func(*Document) {})
			runtime.ReadMemStats(&after)
			require.ErrorContains(t, err, "f:1:")
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1000*MaxBytes))
		})
	}
}

// FuzzRead checks that any document is either rejected with Problems, or has values that are in range and can be
// written and read back.
func FuzzRead(f *testing.F) {
	f.Add([]byte("name = 'x'\ninner.share = 1\nnamed = {a = 'b'}\nreach = [0.1, 0.5]\n[[entry]]\nshare = 1\nkept = 5"))
	f.Add([]byte("a = [[[[{b.c = 1}]]]]\n[[a.b]]\n[a.b.c]\nd = nan"))
	f.Add([]byte("entry = { kept = -1, 'x y' = [1, {a = 2}] }\n\"\\u0061\".b = 1979-05-27"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var got, again sample
		if err := Read("fuzz", text, &got, func(*Document) {}); err != nil {
			var problems Problems
			require.ErrorAs(t, err, &problems)
			require.NotEmpty(t, problems.Error())
			return
		}
		require.True(t, got.Count >= 1 && got.Count <= 9 && math.Abs(got.Free) <= math.MaxFloat64, "%+v", got)
		require.True(t, got.Reach.Low >= 0.01 && got.Reach.Low <= got.Reach.High && got.Reach.High <= 1, "%+v", got)
		written, err := Write(&got)
		require.NoError(t, err)
		require.NoError(t, Read("again", written, &again, func(*Document) {}), "%s", written)
		require.Equal(t, got, again)
	})
}
