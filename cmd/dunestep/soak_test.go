package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// soakSeedsEnv names the seeds of a long soak, as "first last". A short one has those of shortSoak.
	soakSeedsEnv = "DUNESTEP_SOAK_SEEDS"
	// soakConcurrency is how many runs of a soak are played at once.
	soakConcurrency = 3
	maxHeldUp       = 150 * time.Millisecond // for which an agent may not be scheduled
)

// shortSoak are the seeds that are played with all other tests, with and without a crowd.
var shortSoak = [2]uint64{1, 6}

// soakRun is one run of a soak: what happens to the agent follows from its seed.
type soakRun struct {
	*testbed
	random   *rand.Rand
	deadline time.Duration // the longest; SIGKILL comes killGrace after it
	isCrowd  bool          // idle clients fill the descriptors
	hanging  atomic.Int32  // so many of the servers, the first ones, do not answer
	// addresses of discovery; the configuration names one after the other.
	addresses []*discovery
}

// In any of these runs the endpoints are released and some hang, the agent is held up, reloads, and is told to end by
// several signals while its clients send on all open connections, until it is killed at the earliest time. Each request
// that it has read gets its final answer in time, or crosses a close and is not forwarded; the next process serves at once.
// Discovery moves meanwhile, and its first calls fail; before and after the kill its last address is watched in time.
func TestSoak(t *testing.T) {
	t.Parallel()
	seeds := shortSoak
	if text := os.Getenv(soakSeedsEnv); text != "" {
		_, err := fmt.Sscan(text, &seeds[0], &seeds[1])
		require.NoError(t, err)
	}
	slots := make(chan struct{}, soakConcurrency)
	var failures []string
	var mu sync.Mutex
	var runs sync.WaitGroup
	for seed := seeds[0]; seed <= seeds[1]; seed++ {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			retryIfStalled(t, func() error {
				err := playSoak(t, seed)
				if err != nil {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("seed %d: %v", seed, err))
					mu.Unlock()
				}
				return err
			})
		})
	}
	runs.Wait()
	t.Logf("seeds %d to %d, failures, retried ones included: %v", seeds[0], seeds[1], failures)
}

func playSoak(t *testing.T, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 2))
	r := &soakRun{random: random, isCrowd: seed%4 == 0}
	r.deadline = []time.Duration{800, 1500, 2500}[random.IntN(3)] * time.Millisecond
	r.testbed = newSerialTestbed(t, 6)
	usePlainBinary(r.testbed)
	endpoints := []int{6, 60, 800}[random.IntN(3)]
	all := r.manyEndpoints(endpoints)
	r.config["known"] = object{"version": 41, "full": true, "servers": all}
	for _, class := range r.config["settings"].(object)["categories"].([]object) {
		class["aim"], class["deadline"] = r.deadline.Microseconds()*9/10, r.deadline.Microseconds()
	}
	if r.isCrowd {
		r.config["limits"].(object)["sockets"] = 160
	}
	r.addresses = []*discovery{r.discovery, newDiscovery(t), newDiscovery(t)}
	r.answer()
	r.start()
	callers := r.startSeededCallers(20+random.IntN(30), r.think, r.deadline, seed)
	released := make(chan struct{})
	var trouble sync.WaitGroup
	trouble.Go(func() { r.release(all, 400*time.Millisecond, released) })
	if r.isCrowd {
		r.crowd(200)
	}
	r.interrupt(1500 * time.Millisecond)
	err := r.checkWatched()
	err = errors.Join(err, r.terminate(callers))
	callers.mayDial.Store(true)
	r.move()
	time.Sleep(time.Second)
	err = errors.Join(err, r.checkWatched())
	callers.stop()
	close(released)
	trouble.Wait()
	require.Zero(t, r.stop(), "seed %d", seed)
	if err == nil {
		err = r.checkCallers(callers)
	}
	return err
}

// answer makes the servers answer after a random time, and those that hang not at all.
func (r *soakRun) answer() {
	for number, s := range r.servers {
		s.setAnswer(func(a upstreamAttempt) string {
			wait := 20*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(60*time.Millisecond))
			if strings.HasPrefix(a.URL.RawQuery, unansweredMark) || number < int(r.hanging.Load()) {
				wait = waitTimeout // longer than any client waits
			}
			time.Sleep(wait)
			var size int
			_, _ = fmt.Sscan(path.Base(a.URL.Path), &size)
			return reply("200 OK", uniqueBody(size, correlationID(a)))
		})
	}
}

func (r *soakRun) think() time.Duration { return rand.N(150 * time.Millisecond) }

// crowd opens connections of clients that send one request at most, and stay.
func (r *soakRun) crowd(clients int) {
	for i := range clients {
		text := ""
		if i%2 == 0 {
			text = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n"
		}
		r.sendRaw(text)
	}
}

// interrupt holds the agent up, makes servers hang, and has it reload several times in a row, for a time.
func (r *soakRun) interrupt(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(r.random.IntN(200)) * time.Millisecond)
		switch r.random.IntN(4) {
		case 0:
			r.holdUp()
		case 1:
			r.hanging.Store(int32(r.random.IntN(len(r.servers)/2 + 1)))
		case 2:
			r.writeConfig()
			r.signalInSeries(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP)
		case 3:
			r.move()
		}
	}
}

// move has the agent watch another address of discovery, whose first calls may fail, and ends the watches at another.
func (r *soakRun) move() {
	next := r.addresses[r.random.IntN(len(r.addresses))]
	refusal := callAnswer{status: http.StatusServiceUnavailable}
	next.answerNext([]callAnswer{refusal, refusal}[:r.random.IntN(3)]...)
	r.moveDiscovery(next)
	if r.random.IntN(2) == 0 {
		time.Sleep(time.Duration(r.random.IntN(100)) * time.Millisecond)
		r.addresses[r.random.IntN(len(r.addresses))].endWatches()
	}
}

// checkWatched returns an error if the address of discovery that the agent read last is not watched in time.
func (r *soakRun) checkWatched() error {
	began := time.Now()
	for _, d := range r.addresses {
		if d.addr != r.config["discovery"] {
			continue
		}
		for d.watchCount() == 0 {
			if waited := time.Since(began); waited > missedKnownAfter+r.drainGraceWithSlack() {
				return fmt.Errorf("%s is not watched for %v, calls there: %v\n%s", d.addr, waited, d.callTargets(), r.log)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// holdUp keeps the agent from being scheduled for a moment.
func (r *soakRun) holdUp() {
	_ = r.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(time.Duration(r.random.Int64N(int64(maxHeldUp))))
	_ = r.process.Process.Signal(syscall.SIGCONT)
}

// signalInSeries sends signals with short pauses.
func (r *soakRun) signalInSeries(signals ...syscall.Signal) {
	for _, s := range signals {
		_ = r.process.Process.Signal(s)
		time.Sleep(time.Duration(r.random.IntN(30)) * time.Millisecond)
	}
}

// terminate ends the agent by several signals while a quarter to a half of the servers hang, kills it at the earliest time,
// and starts the next process.
func (r *soakRun) terminate(callers *callers) error {
	r.hanging.Store(int32(len(r.servers)/4 + r.random.IntN(len(r.servers)/4+1)))
	require.NoError(r.t, r.process.Process.Signal(syscall.SIGTERM))
	terminatedAt := time.Now()
	kill := time.AfterFunc(r.deadline+killGrace, func() { _ = r.process.Process.Kill() })
	r.signalInSeries(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM)
	time.Sleep(time.Until(terminatedAt.Add(lateConnectPeriod)))
	callers.mayDial.Store(false)
	await(r.t, r.exited)
	kill.Stop()
	code := r.process.ProcessState.ExitCode()
	r.relaunch()
	r.hanging.Store(0)
	if code != 0 {
		return fmt.Errorf("exit code %d, %v after SIGTERM", code, time.Since(terminatedAt))
	}
	return nil
}

// checkCallers returns an error if requests were lost. In a crowd, new connections may be closed unread.
func (r *soakRun) checkCallers(callers *callers) error {
	err := callers.check()
	if err != nil && r.isCrowd && len(callers.lost) == 0 {
		return nil
	}
	if callers.outcomes[fmt.Sprint(http.StatusOK)] == 0 {
		return fmt.Errorf("nothing was served: %v", callers.outcomes)
	}
	return err
}
