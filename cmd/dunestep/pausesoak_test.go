package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// pauseSoakSeedsEnv names the seeds of a long soak, as "first last". A short one has those of shortPauseSoak.
	pauseSoakSeedsEnv = "DUNESTEP_PAUSE_SOAK_SEEDS"
	pauseSoakTime     = 3 * time.Second // of one run, until SIGTERM
	pauseSoakClients  = 16
	pauseSoakCrowd    = 150
	pauseSoakMemoryMB = 48
	// crossingTime is how long after its request a close may come that has crossed it.
	crossingTime = 50 * time.Millisecond
)

// shortPauseSoak are the seeds that are played with all other tests.
var shortPauseSoak = [2]uint64{1, 6}

// pauseSoak is one run: clients that use their connections until the kill send requests whose answers pause anywhere, signals
// come in series, and in some runs a crowd holds connections or SIGTERM meets an upgrade.
type pauseSoak struct {
	*testbed
	random *rand.Rand
	over   chan struct{} // closed at the end of the process

	mu      sync.Mutex
	runs    map[string]*pauseRun // by id
	results map[string]pauseResult
	killAt  time.Time
}

// Each request gets what its client is owed, whatever pauses: see TestPausesInExchanges. No booking runs twice, none that has run is
// refused, and the process stays within its memory and ends by itself.
func TestPauseSoak(t *testing.T) { // not in parallel with others, whose bounds are in real time
	seeds := shortPauseSoak
	if text := os.Getenv(pauseSoakSeedsEnv); text != "" {
		_, err := fmt.Sscan(text, &seeds[0], &seeds[1])
		require.NoError(t, err)
	}
	slots := make(chan struct{}, 2)
	var runs sync.WaitGroup
	for seed := seeds[0]; seed <= seeds[1]; seed++ {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			retryIfStalled(t, func() error { return playPauseSoak(t, seed) })
		})
	}
	runs.Wait()
}

func playPauseSoak(t *testing.T, seed uint64) error {
	s := &pauseSoak{
		testbed: newSerialTestbed(t, 6), random: rand.New(rand.NewPCG(seed, 69)), over: make(chan struct{}),
		runs: map[string]*pauseRun{}, results: map[string]pauseResult{},
	}
	for _, server := range s.servers {
		server.setScript(s.serve)
	}
	s.start(usePlainBinary, withOpsSocket, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = pauseSoakMemoryMB
		w.operatorFile = "[log]\nlevel = \"debug\"\n"
	})
	var clients sync.WaitGroup
	for i := range pauseSoakClients {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		clients.Go(func() { s.sendUntilKill(random) })
	}
	endCrowd := func() {}
	if seed%3 == 0 {
		endCrowd = s.startCrowd(crowdKinds["heads written slowly"], pauseSoakCrowd)
	}
	s.sendSignals(s.random, pauseSoakTime, soakStop)
	peak, _ := s.memoryKiB()
	var next *testbed
	if seed%3 == 1 {
		next = s.upgrade()
	}
	s.terminate()
	endCrowd()
	clients.Wait()
	if next != nil {
		require.Zero(t, next.stop())
	}
	if err := s.check(peak); err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	return nil
}

// drawCell draws what happens to a request. Three in four answers come at once.
func (s *pauseSoak) drawCell(random *rand.Rand) pauseCell {
	client := []pauseClient{{"consult", 2500 * time.Millisecond}, {"consult", time.Second}, {"rezervare", time.Second}}[random.IntN(3)]
	cells := answerPauses(pauseCell{phase: steadyPhase, class: client.class, timeLeft: client.timeLeft})
	cell := cells[random.IntN(len(cells))]
	if random.IntN(4) > 0 {
		cell.pause = 0
	}
	return cell
}

// serve is the script of the endpoints.
func (s *pauseSoak) serve(a upstreamAttempt, c net.Conn) bool {
	s.mu.Lock()
	run := s.runs[correlationID(a)]
	s.mu.Unlock()
	if run == nil { // of a crowd
		_, err := io.WriteString(c, ok(a))
		return err == nil
	}
	return run.serve(a, c)
}

// sendUntilKill sends requests on one connection until the process has ended. From SIGTERM on, the agent may close it between two
// requests; then the client goes on with another, as long as one is accepted.
func (s *pauseSoak) sendUntilKill(random *rand.Rand) {
	for !s.isOver() {
		c, err := net.DialTimeout("tcp", s.addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(c)
		for s.sendOne(c, in, random) && !s.isOver() {
			time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
		}
		_ = c.Close()
	}
}

// sendOne sends a request and reads its answer, and reports whether the connection can be used again.
func (s *pauseSoak) sendOne(c net.Conn, in *bufio.Reader, random *rand.Rand) bool {
	run := &pauseRun{testbed: s.testbed, cell: s.drawCell(random), id: s.nextID()}
	s.mu.Lock()
	s.runs[run.id] = run
	s.mu.Unlock()
	run.sendRequest(c)
	_ = c.SetReadDeadline(time.Now().Add(pauseWait))
	var result pauseResult
	if _, result.answer.err = in.Peek(1); result.answer.err == nil {
		result.firstAt = time.Now()
		result.answer = readAnswer(in)
	}
	result.endedAt = time.Now()
	s.mu.Lock()
	s.results[run.id] = result
	s.mu.Unlock()
	return result.answer.err == nil
}

// terminate ends the process and the run.
func (s *pauseSoak) terminate() {
	terminatedAt := time.Now()
	s.mu.Lock()
	s.killAt = terminatedAt.Add(2500*time.Millisecond + killGrace)
	for _, run := range s.runs {
		run.note(&run.terminatedAt)
	}
	s.mu.Unlock()
	s.terminateInSeries(s.random)
	close(s.over)
}

func (s *pauseSoak) isOver() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

// check returns an error for each request whose client did not get what it is owed.
func (s *pauseSoak) check(peakKB int) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for id, result := range s.results {
		run := s.runs[id]
		outcome, problem := s.judge(run, result)
		counts[outcome]++
		if problem != nil {
			err = errors.Join(err, fmt.Errorf("%s, sent %v before the kill, %v: %w\n%s", id, s.killAt.Sub(run.sentAt), run.cell, problem,
				s.linesOf(id)))
		}
	}
	s.t.Logf("%d requests: %v, peak %d kB", len(s.results), counts, peakKB)
	if code := s.process.ProcessState.ExitCode(); code != 0 {
		err = errors.Join(err, fmt.Errorf("exit code %d", code))
	}
	if peakKB > pauseSoakMemoryMB<<10 {
		err = errors.Join(err, fmt.Errorf("%d kB of %d MB", peakKB, pauseSoakMemoryMB))
	}
	return err
}

// linesOf returns the lines of the log about a request.
func (s *pauseSoak) linesOf(id string) string {
	var lines []string
	for line := range strings.Lines(s.log.String()) {
		if strings.Contains(line, id) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// judge returns what became of a request, and what is wrong with that.
func (s *pauseSoak) judge(run *pauseRun, result pauseResult) (outcome string, problem error) {
	received := run.receivedTimes()
	isUnread := result.answer.status == 0 && received == 0 && !s.killAt.IsZero()
	switch {
	case isUnread && (result.endedAt.Sub(run.sentAt) < crossingTime || run.sentAt.After(s.killAt.Add(-killGrace))):
		return "crossed a close", nil // the client may send it again
	case received == 0 && (result.answer.status == 503 || result.answer.status == 429):
		return "refused without an attempt", run.judgeFinal(result)
	}
	if run.sentAt.Add(run.cell.timeLeft).After(s.killAt) && !s.killAt.IsZero() {
		run.note(&run.terminatedAt) // what is not whole by then is not owed
		run.terminatedAt = s.killAt.Add(-2500*time.Millisecond - killGrace)
	}
	run.cell.pause += soakStop // the process may have been stopped
	owesWhole := run.cell.owesWhole(s.killAt.Add(-pauseEndMargin).Sub(run.sentAt))
	run.cell.pause -= soakStop
	if problem = run.judgeAs(result, owesWhole); problem != nil {
		return "wrong", problem
	}
	return fmt.Sprint(result.answer.status, " ", result.answer.err == nil), nil
}
