package metrics

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestCounters: in any order of endings, all responses together are the requests that ended, active is what was started
// less that, no ending counts twice, and no more servers are ejected than are listed.
func TestCounters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New([]string{"consult", "rezervare"})
		var open []*Operation
		started, ended, attempts := 0, map[Ending]int{}, 0
		classes := rapid.SampledFrom([]string{"consult", "rezervare"})
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) { open = append(open, f.Begin(classes.Draw(t, "class"))); started++ },
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "i")
				how := Ending(rapid.IntRange(0, int(endingCount)-1).Draw(t, "how"))
				open[i].End(how)
				open[i].End(OK) // counts for nothing
				ended[how]++
				open = append(open[:i], open[i+1:]...)
			},
			"attempt": func(*rapid.T) { f.Tried(); attempts++ },
			"eject":   func(t *rapid.T) { f.SetAvoided(rapid.IntRange(0, 9).Draw(t, "n")) },
			"endpoints": func(t *rapid.T) {
				listed := rapid.IntRange(0, 9).Draw(t, "listed")
				f.SetPool(Pool{Listed: listed, Banned: rapid.IntRange(0, listed).Draw(t, "banned")})
			},
			"": func(t *rapid.T) {
				r := f.Read()
				var sum Counts
				for _, c := range r.Responses {
					sum.OK, sum.Shed = sum.OK+c.OK, sum.Shed+c.Shed
					sum.Errors, sum.Abandoned = sum.Errors+c.Errors, sum.Abandoned+c.Abandoned
				}
				require.Len(t, r.Responses, 2, "classes without a request are there")
				require.Equal(t, Counts{int64(ended[OK]), int64(ended[Shed]), int64(ended[Error]), int64(ended[Abandoned])}, sum)
				require.EqualValues(t, len(open), r.Active)
				require.EqualValues(t, started, r.Active+sum.OK+sum.Shed+sum.Errors+sum.Abandoned)
				require.EqualValues(t, attempts, r.Tries)
				require.LessOrEqual(t, r.Ejected, r.Listed)
			},
		})
	})
}

// TestUnknownClass: a request of an unknown class is active while it lasts, and counted by no class.
func TestUnknownClass(t *testing.T) {
	f := New([]string{"consult"})
	o := f.Begin("nothing")
	require.EqualValues(t, 1, f.Read().Active)
	o.End(Error)
	require.Equal(t, Reading{Responses: map[string]Counts{"consult": {}}}, f.Read())
}

// BenchmarkRequest is what counting costs for each request.
func BenchmarkRequest(b *testing.B) {
	f := New([]string{"consult", "rezervare"})
	b.ReportAllocs()
	for b.Loop() {
		o := f.Begin("consult")
		f.Tried()
		o.End(OK)
	}
}
