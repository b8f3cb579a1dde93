package metrics

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestCounters checks for any order of calls that all responses together are the requests that ended, that
// the other started requests are active, that no ending counts twice, and that no more servers are ejected
// than listed.
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
				ending := Ending(rapid.IntRange(0, int(endingCount)-1).Draw(t, "ending"))
				open[i].End(ending)
				open[i].End(OK) // must have no effect
				ended[ending]++
				open = append(open[:i], open[i+1:]...)
			},
			"attempt": func(*rapid.T) { counters.AttemptSent(); attempts++ },
			"eject":   func(t *rapid.T) { counters.SetEjected(rapid.IntRange(0, 9).Draw(t, "n")) },
			"endpoints": func(t *rapid.T) {
				listed := rapid.IntRange(0, 9).Draw(t, "listed")
				counters.SetEndpoints(Endpoints{Listed: listed, Disabled: rapid.IntRange(0, listed).Draw(t, "disabled")})
			},
			"": func(t *rapid.T) {
				r := counters.Read()
				var sum Counts
				for _, c := range r.Responses {
					sum.OK, sum.Rejected = sum.OK+c.OK, sum.Rejected+c.Rejected
					sum.Errors, sum.Abandoned = sum.Errors+c.Errors, sum.Abandoned+c.Abandoned
				}
				require.Len(t, r.Responses, 2, "classes without a request must be included")
				require.Equal(t, Counts{int64(ended[OK]), int64(ended[Rejected]), int64(ended[Error]), int64(ended[Abandoned])}, sum)
				require.EqualValues(t, len(open), r.Active)
				require.EqualValues(t, started, r.Active+sum.OK+sum.Rejected+sum.Errors+sum.Abandoned)
				require.EqualValues(t, attempts, r.Attempts)
				require.LessOrEqual(t, r.Ejected, r.Listed)
			},
		})
	})
}

// TestUnknownClass checks that a request of an unknown class is active until its end, and is not counted in
// any class.
func TestUnknownClass(t *testing.T) {
	counters := New([]string{"consult"})
	r := counters.StartRequest("unknown")
	require.EqualValues(t, 1, counters.Read().Active)
	r.End(Error)
	require.Equal(t, Reading{Responses: map[string]Counts{"consult": {}}}, counters.Read())
}

// BenchmarkRequest measures the cost of counting one request.
func BenchmarkRequest(b *testing.B) {
	counters := New([]string{"consult", "rezervare"})
	b.ReportAllocs()
	for b.Loop() {
		r := counters.StartRequest("consult")
		counters.AttemptSent()
		r.End(OK)
	}
}
