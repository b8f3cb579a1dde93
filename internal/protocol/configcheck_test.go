package protocol

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validConfig = `{"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c",
 "limits": {"cores": 1, "memory_mb": 64, "sockets": 64},
 "settings": {"bounds": {"connIdle": 5, "connectTimeout": 5},
  "categories": [{"name": "a", "aim": 5}, {"name": "b", "aim": 6}]}}`

// Every problem is reported at once with its position. A value of the wrong type does not hide others.
func TestCheckConfig(t *testing.T) {
	acceptAll := func(Config) (string, error) { return "", nil }
	require.Empty(t, CheckConfig([]byte(validConfig), acceptAll))
	replaced := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(validConfig) }
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"not JSON": {replaced(`"limits":`, `"limits"`), []string{"2:11: config: invalid character '{'"}},
		"cut off":  {validConfig[:100], []string{"2:"}},
		"empty":    {"", []string{"1:1: config: unexpected end"}},
		"values": {replaced("127.0.0.1:1", "here", `"8c"`, `"xyz"`, `"connIdle": 5`, `"connIdle": 0`), []string{
			`1:26: config: listen: "here" is not an address`, "1:70: config: seed: ", "3:25: config: settings: bounds: ",
		}},
		"types": {replaced(`"n0"`, "5", `"cores": 1`, `"cores": "1"`, `"aim": 5`, `"aim": "x"`, `"aim": 6`, `"aim": {}`), []string{
			"1:10: config: name: must not be of type number", "2:22: config: limits.cores: must not be of type string",
			"4:39: config: settings.categories[0].aim: must not be of type string",
			"4:66: config: settings.categories[1].aim: must not be of type object",
		}},
		"missing": {"{}", []string{
			"1:1: config: listen", "1:1: config: discovery", "1:1: config: seed", "1:1: config: limits",
			"1:1: config: no settings",
		}},
	} {
		t.Run(name, func(t *testing.T) {
			got := CheckConfig([]byte(c.text), acceptAll)
			require.Len(t, got, len(c.want), "%v", got)
			for i, want := range c.want {
				require.True(t, strings.HasPrefix(got[i].String(), want), "%v, not %s", got, want)
			}
		})
	}
	got := CheckConfig([]byte(validConfig), func(Config) (string, error) { return "settings.categories", errors.New("none") })
	require.Equal(t, []ConfigProblem{{4, 17, "none"}}, got)
}

// For any file, CheckConfig reports a problem exactly if DecodeConfig fails.
func FuzzCheckConfig(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(strings.Replace(validConfig, "1,", `"x",`, 1)))
	f.Add([]byte(`{"settings":{"categories":[1,2,{"aim":"x"}]},"known":{"servers":7},"limits":[]}`))
	f.Add([]byte(`[[["a"]]]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got := CheckConfig(raw, func(Config) (string, error) { return "", nil })
		if _, err := DecodeConfig(raw); (err == nil) != (len(got) == 0) {
			t.Errorf("DecodeConfig returned %v, CheckConfig %v", err, got)
		}
		for _, p := range got {
			if p.Line < 1 || p.Column < 1 {
				t.Errorf("problem without a position: %v", p)
			}
		}
	})
}
