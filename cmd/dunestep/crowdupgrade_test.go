package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two processes of an upgrade that pass the agent's memory limit together while a crowd holds their
// connections. The pages of the binary, which both map, count once.
func TestCrowdDuringUpgradeStaysWithinMemory(t *testing.T) {
	const spanBefore, spanBeside, spanAfter = time.Second, 1500 * time.Millisecond, time.Second
	w := newSerialTestbed(t, 6)
	w.start(withOpsSocket, usePlainBinary, withLongAnswers, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = leastMemoryMB
	})
	for _, kind := range crowdKinds {
		end := w.startCrowd(kind, crowdClients/len(crowdKinds))
		defer end()
	}
	processes, peak := []*testbed{w}, 0
	watch := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			private, file := 0, 0
			for _, p := range processes {
				private, file = private+p.processStatusKB("RssAnon"), max(file, p.processStatusKB("RssFile"))
			}
			peak = max(peak, private+file)
		}
	}
	watch(spanBefore)
	before := peak
	next := w.nextProcess()
	next.launch()
	processes = append(processes, next)
	next.awaitReady()
	require.Contains(t, next.log.String(), "taking over from the running process")
	watch(spanBeside)
	beside := peak
	require.Zero(t, w.stop())
	processes = processes[1:]
	watch(spanAfter)
	t.Logf("at most %d kB before, %d with both processes, %d in all", before, beside, peak)
	require.LessOrEqual(t, peak, leastMemoryMB<<10)
	require.Zero(t, next.stop())
}
