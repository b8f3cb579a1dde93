package world

import (
	"crypto/sha256"
	"fmt"
	"math"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/routing"
)

// TestFirstTriesFollowLoad checks that first tries arrive at the rate that the scenario sets, in each
// half of the run, with the class shares, work and key popularity that it sets.
func TestFirstTriesFollowLoad(t *testing.T) {
	for _, shape := range []scenario.Shape{scenario.Steady, scenario.Ramp, scenario.Wave} {
		for _, arrivals := range []scenario.Arrivals{scenario.Poisson, scenario.Bursty} {
			sc := deployment(runLength)
			sc.Load.Shape, sc.Load.Swing, sc.Load.Arrivals = shape, span(0.5, 0.5), arrivals
			d := play(t, sc, 7, Options{})
			first, second := d.count(record.RequestReceived, 0, runLength/2, firstTry), d.count(record.RequestReceived, runLength/2, runLength, firstTry)
			scatter := math.Sqrt(330 * 20)
			if arrivals == scenario.Bursty {
				scatter *= math.Sqrt(2 * sc.Load.BurstMean)
			}
			lean := map[scenario.Shape]float64{scenario.Ramp: -0.25, scenario.Wave: 1 / math.Pi}[shape]
			require.InDelta(t, 330*20*(1+lean), first, 4*scatter, "%s %s", shape, arrivals)
			require.InDelta(t, 330*20*(1-lean), second, 4*scatter, "%s %s", shape, arrivals)
			classes, keys := [2]float64{}, map[uint32]int{}
			work := [2]float64{}
			for _, e := range d.ofKind(record.RequestReceived) {
				if e.Try == 0 {
					classes[e.Class]++
					keys[e.Key]++
					work[e.Class] += e.Work.Seconds()
				}
			}
			n := classes[0] + classes[1]
			require.InDelta(t, 0.72, classes[0]/n, 0.02)
			require.InDelta(t, d.run.MeanWork[0].Seconds(), work[0]/classes[0], 0.006)
			require.InDelta(t, d.run.MeanWork[1].Seconds(), work[1]/classes[1], 0.006)
			require.Greater(t, keys[1], 3*keys[100], "some keys are far more popular")
		}
	}
}

// TestClientRetryBackoff checks how often and after which waits clients retry when every server rejects
// all attempts.
func TestClientRetryBackoff(t *testing.T) {
	const wait = 60 * time.Millisecond
	for _, c := range []struct {
		backoff scenario.Backoff
		retries int
		honour  float64
		waits   []time.Duration
	}{
		{scenario.AtOnce, 2, 0, []time.Duration{0, 0}},
		{scenario.Fixed, 3, 0, []time.Duration{wait, wait, wait}},
		{scenario.Exponential, 3, 0, []time.Duration{wait, 2 * wait, 4 * wait}},
		{scenario.Fixed, 0, 0, nil},
		{scenario.Fixed, 1, 1, nil},
	} {
		d := playFault(t, scenario.FaultSpec{Kind: scenario.Refusing, Part: span(1, 1)}, func(sc *scenario.Scenario) {
			sc.Clients.Backoff, sc.Clients.Retries, sc.Clients.BackoffWait = c.backoff, c.retries, ms(60, 60)
			sc.Clients.HonorRetryAfter, sc.Clients.Impatient = span(c.honour, c.honour), span(0, 0)
			sc.Clients.TryShare = span(1, 1)
		})
		type tryKey struct {
			chain uint32
			try   uint8
		}
		sent := map[uint32]tryKey{}
		rejected := map[tryKey]record.Event{}
		waits := map[int][]time.Duration{}
		honored := 0
		for _, e := range d.events {
			if e.At < faultStart+time.Second || e.At > faultEnd-time.Second {
				continue
			}
			switch e.Kind {
			case record.Answered:
				rejected[sent[e.RequestID]] = e
			case record.RequestReceived:
				sent[e.RequestID] = tryKey{e.Chain, e.Try}
				before, known := rejected[tryKey{e.Chain, e.Try - 1}]
				if !known {
					continue
				}
				waits[int(e.Try)] = append(waits[int(e.Try)], e.At-before.At)
				if before.After > 0 && c.honour > 0 {
					require.GreaterOrEqual(t, e.At-before.At, min(before.After, 2*time.Second))
					honored++
				}
			}
		}
		if c.honour > 0 {
			require.Greater(t, honored, 10)
			continue
		}
		require.Len(t, waits, c.retries)
		for n, all := range waits {
			for _, w := range all {
				require.InDelta(t, c.waits[n-1].Seconds(), w.Seconds(), 0.001, "%s, try %d", c.backoff, n)
			}
		}
	}
}

// TestSameRunOnAnyCoreCount checks that one seed gives the same run in processes with one core and with
// eight.
func TestSameRunOnAnyCoreCount(t *testing.T) {
	if os.Getenv("WORLD_PRINT_DAY") != "" {
		sc := deployment(20 * time.Second)
		for _, k := range []scenario.FaultKind{scenario.Deploy, scenario.AgentsKilled, scenario.Silent, scenario.Reset} {
			sc.Faults = append(sc.Faults, scenario.FaultSpec{
				Kind: k, At: ms(2000, 5000), For: ms(5000, 9000),
				Part: span(0.1, 0.5), Size: span(0.1, 0.2), Count: 2, Drain: ms(2000, 3000), SameAddress: span(0.5, 0.5),
			})
		}
		d := play(t, sc, 11, Options{})
		fmt.Printf("day %x\n", sha256.Sum256(fmt.Append(nil, d.run, d.servers, d.events, d.samples)))
		return
	}
	var runs []string
	for _, cores := range []string{"1", "8", "8"} {
		child := exec.Command(os.Args[0], "-test.run=^TestSameRunOnAnyCoreCount$", "-test.v")
		child.Env = append(os.Environ(), "WORLD_PRINT_DAY=1", "GOMAXPROCS="+cores)
		out, err := child.CombinedOutput()
		require.NoError(t, err, "%s", out)
		require.Contains(t, string(out), "day ")
		var run string
		_, err = fmt.Sscanf(string(out[len("=== RUN   TestSameRunOnAnyCoreCount\n"):]), "day %s", &run)
		require.NoError(t, err, "%s", out)
		runs = append(runs, run)
	}
	require.Equal(t, runs[0], runs[1])
	require.Equal(t, runs[1], runs[2])
}

// TestSecondAnswerIsRecorded checks that a second answer to a request is recorded for the judge,
// although the client ignores it.
func TestSecondAnswerIsRecorded(t *testing.T) {
	l := newTestbed(func(*scenario.Scenario, *machine) {})
	proc := &agentProcess{w: l.world, agent: l.agents[0], descriptors: routing.NewDescriptors(1024)}
	l.agents[0].client = &client{w: l.world, agent: l.agents[0]}
	q := &request{client: l.agents[0].client}
	tried := &try{
		request: q, agent: l.agents[0], proc: proc, id: 1, accepted: true,
		conn: &clientConn{client: l.agents[0].client, proc: proc},
	}
	proc.requests = map[uint32]*agentRequest{7: {try: tried}}
	answer := routing.Output{Kind: routing.Respond, Request: 7, Result: protocol.Failed}
	proc.respond(&answer)
	l.advance(time.Second)
	require.Len(t, l.sink.ofKind(record.Answered), 1)
	proc.respond(&answer)
	l.advance(time.Second)
	require.Len(t, l.sink.ofKind(record.Answered), 2)
}
