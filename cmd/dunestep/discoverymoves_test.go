package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// discoverySeedsEnv names the seeds of a long run of courses, as "first last". Such a run also sends requests, and requires
// that a drain at the last address is applied in time.
const discoverySeedsEnv = "DUNESTEP_DISCOVERY_SEEDS"

// missedKnownAfter is when a change that was not received counts as known, from when discovery has it and can be reached.
const missedKnownAfter = 6 * time.Second

// moveDiscovery has the program read another address of discovery.
func (w *testbed) moveDiscovery(next *discovery) {
	w.config["discovery"] = next.addr
	w.writeConfig()
	require.NoError(w.t, w.process.Process.Signal(syscall.SIGHUP))
}

// A first call to a new address of discovery fails, and a list comes on another call before the next one is due. The
// agent watches the new address all the same: a drain reported there is applied in time.
func TestDrainMissedAfterFailedCallToNewAddress(t *testing.T) {
	t.Parallel()
	refusal := callAnswer{status: http.StatusServiceUnavailable}
	for name, move := range map[string]func(w *testbed, last *discovery){
		"one move": func(w *testbed, last *discovery) {
			last.answerNext(refusal)
			w.moveDiscovery(last)
			time.Sleep(20 * time.Millisecond)
			w.discovery.sendLine(listJSON(42, false, w.servers[1].listEntry("active")))
			time.Sleep(600 * time.Millisecond)
			w.discovery.endWatches()
		},
		"two moves": func(w *testbed, last *discovery) {
			between := newDiscovery(w.t)
			between.answerNext(callAnswer{
				status: http.StatusOK, delay: 150 * time.Millisecond,
				text: listJSON(42, true, w.listEntries()...) + "\n", endAfter: time.Second,
			})
			last.answerNext(refusal)
			w.moveDiscovery(between)
			time.Sleep(100 * time.Millisecond)
			w.moveDiscovery(last)
			time.Sleep(1400 * time.Millisecond)
			w.discovery.endWatches()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 4)
			last := newDiscovery(t)
			w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
			drains := w.startDrainCheck()
			move(w, last)
			drained := listJSON(43, false, w.servers[0].listEntry("leaving"))
			drains.expectDrained(w.servers[0], missedKnownAfter)
			last.setInitialText(drained + "\n")
			last.sendLine(drained)
			drains.check()
			require.Equal(t, 1, last.watchCount(), "watches at the last address; calls there: %v", last.callTargets())
		})
	}
}

// discoveryCourse is a course of moves between addresses of discovery, with failures, which follows from its seed.
type discoveryCourse struct {
	*testbed
	random    *rand.Rand
	addresses []*discovery
	version   int
}

// Whatever happened at the addresses of discovery before, the last one is watched in time once its calls are answered.
func TestLastAddressOfDiscoveryIsWatchedAfterAnyCourse(t *testing.T) {
	t.Parallel()
	const concurrent = 12
	seeds := [2]uint64{0, 47}
	text, isLong := os.LookupEnv(discoverySeedsEnv)
	if isLong {
		_, err := fmt.Sscan(text, &seeds[0], &seeds[1])
		require.NoError(t, err)
	}
	slots := make(chan struct{}, concurrent)
	var runs sync.WaitGroup
	var failures sync.Map
	for seed := seeds[0]; seed <= seeds[1]; seed++ {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			if err := playDiscoveryCourse(t, seed, isLong); err != nil {
				failures.Store(seed, err)
			}
		})
	}
	runs.Wait()
	failures.Range(func(seed, err any) bool {
		t.Errorf("seed %v: %v", seed, err)
		return true
	})
}

//nolint:revive // flag-parameter: what a long run requires beside
func playDiscoveryCourse(t *testing.T, seed uint64, checksDrain bool) error {
	c := &discoveryCourse{testbed: newSerialTestbed(t, 3), random: rand.New(rand.NewPCG(seed, 3)), version: 42}
	usePlainBinary(c.testbed)
	c.start()
	c.waitUntil("watch", func() bool { return c.discovery.watchCount() == 1 })
	c.addresses = []*discovery{c.discovery, newDiscovery(t), newDiscovery(t), newDiscovery(t)}
	last := c.discovery
	for range 2 + c.random.IntN(8) {
		last = c.addresses[c.random.IntN(len(c.addresses))]
		last.answerNext(c.randomAnswers()...)
		c.moveDiscovery(last)
		for range 2 {
			c.pause()
			c.disturb()
		}
	}
	time.Sleep(300 * time.Millisecond)
	if checksDrain {
		c.disturb()
		return c.checkDrain(last)
	}
	last.answerNext() // from now on it answers each call
	healthySince := time.Now()
	c.disturb()
	for _, d := range c.addresses {
		if d != last {
			d.endWatches()
		}
	}
	bound := missedKnownAfter + c.drainGraceWithSlack()
	for last.watchCount() == 0 {
		if time.Since(healthySince) > bound {
			return fmt.Errorf("no watch at the last address for %v, calls there: %v\n%s", bound, last.callTargets(), c.log)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// checkDrain makes an address of discovery answer each call, and requires that a drain that it has then is applied in time,
// though the watches at the other addresses end without it.
func (c *discoveryCourse) checkDrain(last *discovery) error {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				c.send("consult")
			}
		}
	})
	drained := c.servers[0]
	line := listJSON(c.version+1, true, c.listEntries(drained)...)
	last.answerNext()
	last.setInitialText(line + "\n")
	last.sendLine(line)
	deadline := time.Now().Add(missedKnownAfter + c.drainGraceWithSlack())
	for _, d := range c.addresses {
		if d != last {
			d.setResponse(http.StatusServiceUnavailable, false)
			d.endWatches()
		}
	}
	time.Sleep(time.Until(deadline.Add(500 * time.Millisecond)))
	close(stop)
	clients.Wait()
	for _, a := range drained.attempts() {
		if a.receivedAt.After(deadline) {
			return fmt.Errorf("a request %v after the deadline of the drain\n%s", a.receivedAt.Sub(deadline), c.log)
		}
	}
	return nil
}

// pause waits for up to 150 ms: a call that failed is repeated after 100 to 300 ms at first.
func (c *discoveryCourse) pause() {
	time.Sleep(time.Duration(c.random.IntN(150)) * time.Millisecond)
}

// randomAnswers draws how the next calls to an address are answered.
func (c *discoveryCourse) randomAnswers() (answers []callAnswer) {
	statuses := []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusOK, http.StatusOK, 0}
	for range c.random.IntN(3) {
		answer := callAnswer{status: statuses[c.random.IntN(len(statuses))]}
		answer.delay = time.Duration(c.random.IntN(3)*150) * time.Millisecond
		if c.random.IntN(2) == 0 {
			answer.text = listJSON(c.version, true, c.listEntries()...) + "\n"
		}
		answer.endAfter = time.Duration(c.random.IntN(1000)) * time.Millisecond
		answers = append(answers, answer)
	}
	return answers
}

// disturb reports a list at all addresses, or ends the watches of one, or does nothing.
func (c *discoveryCourse) disturb() {
	switch c.random.IntN(3) {
	case 0:
		c.version++
		for _, d := range c.addresses {
			d.sendLine(listJSON(c.version, false, c.servers[1].listEntry("active")))
		}
	case 1:
		c.addresses[c.random.IntN(len(c.addresses))].endWatches()
	}
}
