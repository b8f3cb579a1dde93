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
		counters := New([]string{"consult", "rezervare"})
		var open []*Request
		started, ended, attempts := 0, map[Ending]int{}, 0
		classes := rapid.SampledFrom([]string{"consult", "rezervare"})
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) { open = append(open, counters.StartRequest(classes.Draw(t, "class"))); started++ },
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
			"attempt": func(*rapid.T) { counters.AttemptSent(); attempts++ },
			"eject":   func(t *rapid.T) { counters.SetEjected(rapid.IntRange(0, 9).Draw(t, "n")) },
			"endpoints": func(t *rapid.T) {
				listed := rapid.IntRange(0, 9).Draw(t, "listed")
				counters.SetEndpoints(Endpoints{Listed: listed, Banned: rapid.IntRange(0, listed).Draw(t, "banned")})
			},
			"": func(t *rapid.T) {
				r := counters.Read()
				var sum Counts
				for _, c := range r.Responses {
					sum.OK, sum.Rejected = sum.OK+c.OK, sum.Rejected+c.Rejected
					sum.Errors, sum.Abandoned = sum.Errors+c.Errors, sum.Abandoned+c.Abandoned
				}
				require.Len(t, r.Responses, 2, "classes without a request are there")
				require.Equal(t, Counts{int64(ended[OK]), int64(ended[Rejected]), int64(ended[Error]), int64(ended[Abandoned])}, sum)
				require.EqualValues(t, len(open), r.Active)
				require.EqualValues(t, started, r.Active+sum.OK+sum.Rejected+sum.Errors+sum.Abandoned)
				require.EqualValues(t, attempts, r.Attempts)
				require.LessOrEqual(t, r.Ejected, r.Listed)
			},
		})
	})
}

// TestUnknownClass: a request of an unknown class is active while it lasts, and counted by no class.
func TestUnknownClass(t *testing.T) {
	counters := New([]string{"consult"})
	o := counters.StartRequest("nothing")
	require.EqualValues(t, 1, counters.Read().Active)
	o.End(Error)
	require.Equal(t, Reading{Responses: map[string]Counts{"consult": {}}}, counters.Read())
}

// BenchmarkRequest is what counting costs for each request.
func BenchmarkRequest(b *testing.B) {
	counters := New([]string{"consult", "rezervare"})
	b.ReportAllocs()
	for b.Loop() {
		o := counters.StartRequest("consult")
		counters.AttemptSent()
		o.End(OK)
	}
}
