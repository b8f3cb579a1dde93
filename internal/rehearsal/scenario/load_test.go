package scenario

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/stricttoml"
)

const minimalScenario = `schema = 1
name = "small"
floor = 0.5
day = {length_s = 10}
load = {per_s = 20}
agents = {count = 1}
fleet = {servers = 2}

[[kind]]
name = "rapid"
share = 1
cores = 2
speed = 1

[[class]]
name = "consult"
share = 1
work_ms = 50
aim_ms = 500
deadline_ms = 1000
worth = 1
effect = "safe"
`

// All problems are reported at once, each with its position.
func TestParseReportsAllProblems(t *testing.T) {
	with := func(old, new string) string {
		require.Contains(t, minimalScenario, old)
		return strings.Replace(minimalScenario, old, new, 1)
	}
	withFault := func(text string) string { return minimalScenario + "\n[[trouble]]\n" + text }
	for name, test := range map[string]struct{ text, want string }{
		"empty":                   {"", "needs the key schema"},
		"invalid name":            {with(`"small"`, `"../small"`), "2:1: name: must be at most 100 small letters"},
		"negative":                {with("length_s = 10", "length_s = -10"), "4:8: day.length_s: must be a number from 1 to 86400"},
		"no servers":              {with("servers = 2", "servers = 0"), "fleet.servers: must be a whole number from 1 to 5000"},
		"no kinds":                {strings.Replace(minimalScenario, "[[kind]]", "[[tenant]]", 1), "needs the key kind"},
		"shares":                  {with("share = 1\ncores", "share = 0.7\ncores"), "9:3: kind: the shares add up to 0.7"},
		"two loads":               {with("{per_s = 20}", "{per_s = 20, of_capacity = 1}"), "either per_s or of_capacity"},
		"no traffic":              {with("{per_s = 20}", "{per_s = 0}"), "the traffic must be above zero"},
		"aim after deadline":      {with("aim_ms = 500", "aim_ms = 1500"), "19:1: class[0].aim_ms: the aim is after the deadline"},
		"too large":               {with("per_s = 20", "per_s = 1e6") + "\n[[trouble]]\nkind = \"surge\"\nat_s = 1\nfor_s = 1\nsize = 9", "about 90000000 first tries"},
		"window too short":        {withFault("kind = \"window\"\nat_s = 1\nfor_s = 9\npart = 0.1\ntenants = [\"*\"]\nmoves_s = 5\n"), "must be less than half of for_s"},
		"unknown tenant":          {withFault("kind = \"window\"\nat_s = 1\nfor_s = 9\npart = 0.1\ntenants = [\"acme\"]\nmoves_s = 1\n"), "there is no tenant"},
		"too many pairs":          {strings.Replace(with("servers = 2", "servers = 5000"), "count = 1", "count = 5000", 1), "5000 agents times 5000 servers"},
		"colder than the rules":   {with("speed = 1", "speed = 1\ncold_from = 0.1"), "starts colder than rules.cold_share"},
		"quota, no tenants":       {with("{per_s = 20}", "{per_s = 20, quota_per_s = 5}"), "quota"},
		"unknown kind":            {withFault("kind = \"flood\"\nat_s = 1\nfor_s = 1"), `"flood" is unknown; allowed: agents_killed, `},
		"fault after the end":     {withFault("kind = \"surge\"\nat_s = 10\nfor_s = 1\nsize = 4"), "26:1: trouble[0].at_s: is not before the run's end, 10s"},
		"required key missing":    {withFault("kind = \"surge\"\nat_s = 1\nfor_s = 1"), "trouble[0]: a trouble of kind surge needs the key size"},
		"key of another kind":     {withFault("kind = \"silent\"\nat_s = 1\nfor_s = 1\npart = 1\nsize = 1"), "trouble[0].size: means nothing for silent"},
		"size out of range":       {withFault("kind = \"spoilt\"\nat_s = 1\nfor_s = 1\npart = 1\nsize = 2"), "trouble[0].size: is out of range for spoilt: 0 to 1"},
		"unknown zone":            {withFault("kind = \"partition\"\nat_s = 1\nfor_s = 1\nzone = \"mars\""), `"mars" is unknown; allowed: buc-pipera`},
		"heals_rest_s missing":    {withFault("kind = \"slow\"\nat_s = 1\nfor_s = 1\nsize = 2\nheals_below = 0.5"), "go together"},
		"more agents than exist":  {withFault("kind = \"agents_killed\"\nat_s = 1\nfor_s = 1\ncount = 2"), "there are only 1 agents"},
		"no key of oneOf":         {withFault("kind = \"agents_paused\"\nat_s = 1\nfor_s = 1"), "needs one of the keys count, agents"},
		"two keys of oneOf":       {withFault("kind = \"agents_paused\"\nat_s = 1\nfor_s = 1\ncount = 1\nagents = [0]"), "only one of the keys count, agents"},
		"paused too long":         {withFault("kind = \"agents_paused\"\nat_s = 1\nfor_s = 61\ncount = 1"), "27:1: trouble[0].for_s: an agent may be paused for at most 1m0s"},
		"no such agent":           {withFault("kind = \"datagrams\"\nat_s = 1\nfor_s = 1\nloss = 1\nfrom = [0]\nto = [1]"), "30:1: trouble[0].to[0]: there are only 1 agents, from 0"},
		"no effect":               {withFault("kind = \"datagrams\"\nat_s = 1\nfor_s = 1\nfrom = [0]"), "needs one of the keys cut, loss"},
		"no share":                {withFault("kind = \"datagrams\"\nat_s = 1\nfor_s = 1\nloss = 1.5"), "28:1: trouble[0].loss: must be a number from 0 to 1"},
		"burst without means":     {withFault("kind = \"datagrams\"\nat_s = 1\nfor_s = 1\nburst_loss = 1\nbad_ms = 5"), "burst_loss, calm_ms and bad_ms go together"},
		"reorder without held_ms": {withFault("kind = \"datagrams\"\nat_s = 1\nfor_s = 1\nreorder = 1"), "reorder and held_ms go together"},
		"unknown stream":          {withFault("kind = \"streams\"\nat_s = 1\nfor_s = 1\nfault = \"silent\"\nstream = \"peers\""), "29:1: trouble[0].stream: \"peers\" is unknown; allowed: discovery, servers, both"},
		"fault of another kind":   {withFault("kind = \"streams\"\nat_s = 1\nfor_s = 1\nfault = \"noise\""), "allowed: silent, reset, from_agent, to_agent"},
		"name with a space":       {withFault("kind = \"discovery_down\"\nat_s = 1\nfor_s = 1") + "\n[[tenant]]\nname = \"a b\"\nshare = 1", "not a plain word"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("day.toml", []byte(test.text))
			var problems stricttoml.Problems
			require.True(t, errors.As(err, &problems), "%v", err)
			require.Contains(t, err.Error(), test.want)
		})
	}
	_, err := Parse("day.toml", []byte(strings.NewReplacer("floor = 0.5", "floor = 5", "cores = 2", "cores = 0").Replace(minimalScenario)))
	require.ErrorContains(t, err, "day.toml:3:1: floor: must be a number from 0 to 1\nday.toml:12:1: kind[0].cores: ")
}

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("", []byte(minimalScenario))
	require.NoError(t, err)
	require.Equal(t, 3, s.Allow.MaxAttempts)
	require.Len(t, s.Network.Zones, 4)
	require.Equal(t, TimeSpan{700e3, 1300e3}, s.Network.Cross)
	require.Equal(t, Span{1, 1}, s.Kinds[0].Speed)
}

// Every shipped scenario can be read, and reads back the same after encoding.
func TestShippedScenariosRoundTrip(t *testing.T) {
	files, err := filepath.Glob("../../../rehearsals/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		s, err := Load(file)
		require.NoError(t, err)
		require.Equal(t, strings.TrimSuffix(filepath.Base(file), ".toml"), s.Name)
		requireRoundTrip(t, s)
	}
}

func requireRoundTrip(t *testing.T, s *Scenario) {
	text, err := Encode(s)
	require.NoError(t, err)
	again, err := Parse("again", text)
	require.NoError(t, err, "%s", text)
	require.Equal(t, s, again)
}

// The operators' page names every key and every kind of fault.
func TestPageNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../../docs/rehearsal.md")
	require.NoError(t, err)
	var named func(table reflect.Type)
	named = func(table reflect.Type) {
		for i := range table.NumField() {
			field := table.Field(i).Type
			if field.Kind() == reflect.Slice {
				field = field.Elem()
			}
			key, _, _ := strings.Cut(table.Field(i).Tag.Get("toml"), ",")
			if field.Kind() == reflect.Struct && field != reflect.TypeFor[Span]() && field != reflect.TypeFor[TimeSpan]() {
				named(field)
			} else {
				require.Contains(t, string(page), "`"+key+"`", table.Name())
			}
		}
	}
	named(reflect.TypeFor[Scenario]())
	for kind := range faultKinds {
		require.Contains(t, string(page), "| `"+string(kind)+"` |")
	}
}

// Any input is either rejected with Problems or is a scenario with finite values that can be encoded and
// read back.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalScenario))
	if text, err := os.ReadFile("../../../rehearsals/calm-monday.toml"); err == nil {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz", text)
		var problems stricttoml.Problems
		if err != nil {
			require.True(t, errors.As(err, &problems))
			require.NotEmpty(t, err.Error())
			return
		}
		require.False(t, math.IsNaN(s.firstTries()) || s.firstTries() > maxRequests)
		requireRoundTrip(t, s)
	})
}

// Check validates injected faults built by a program like those of a file, and returns them unchanged.
func TestCheckFaults(t *testing.T) {
	good := FaultSpec{
		Kind: Datagrams, At: ExactTime(time.Second), For: ExactTime(2 * time.Second), From: []int{1}, Loss: ExactSpan(0.3),
		Delay: TimeSpan{0, 30 * time.Millisecond},
	}
	got, err := Check(2, []FaultSpec{good, {Kind: AgentsKilled, At: ExactTime(0), For: ExactTime(time.Second), Agents: []int{0}}})
	require.NoError(t, err)
	require.Equal(t, good.Loss, got[0].Loss)
	require.Equal(t, good.Delay, got[0].Delay)
	require.Equal(t, "lasts", got[1].StateDir)
	require.Equal(t, "datagrams from n1", got[0].Describe())
	for want, change := range map[string]func(*FaultSpec){
		"trouble[0].loss: must be a number from 0 to 1":          func(t *FaultSpec) { t.Loss = ExactSpan(2) },
		"trouble[0].from[0]: there are only 2 agents":            func(t *FaultSpec) { t.From = []int{2} },
		"trouble[0].part: means nothing for datagrams":           func(t *FaultSpec) { t.Part = ExactSpan(1) },
		"trouble[0].for_s: must be a number from 0.1":            func(t *FaultSpec) { t.For = ExactTime(0) },
		"trouble[0].kind: \"flood\" is unknown":                  func(t *FaultSpec) { t.Kind = "flood" },
		"trouble[0].delay_ms: must be a number from 0 to 600000": func(t *FaultSpec) { t.Delay = ExactTime(time.Hour) },
	} {
		bad := good
		change(&bad)
		_, err := Check(2, []FaultSpec{bad})
		require.ErrorContains(t, err, want)
	}
}
