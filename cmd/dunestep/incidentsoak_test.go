package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// incidentSoakSeedsEnv names the seeds of a long soak, as "first last". A short one has those of shortIncidentSoak.
	incidentSoakSeedsEnv = "DUNESTEP_INCIDENT_SOAK_SEEDS"
	incidentSoakTime     = 3 * time.Second // of one run, until SIGTERM
	incidentSoakMemoryMB = 40
	incidentSoakCrowd    = 150 // clients
	// soakStop is the longest time for which a soak stops the process.
	soakStop = 150 * time.Millisecond
)

// shortIncidentSoak are the seeds that are played with all other tests.
var shortIncidentSoak = [2]uint64{1, 6}

// incidentSoak is one run: endpoints that read slowly, with large and small receive buffers, clients with long and short
// requests that use their connections until the kill, clients that leave and repeat their ids, signals in series, and in some
// runs a crowd or a flood.
type incidentSoak struct {
	*testbed
	random       *rand.Rand
	mu           sync.Mutex
	long         []*longRequest
	short        []error
	served       int
	terminatedAt time.Time
	over         chan struct{} // closed at the end of the process
}

// Each request that the agent has taken gets its final answer in time, whoever is slow, up to the kill at the earliest moment
// that the operators name; those that were rejected have not run, and no booking runs twice; the process stays within its memory and ends by itself.
func TestIncidentSoak(t *testing.T) { // not in parallel with others, whose bounds are in real time
	seeds := shortIncidentSoak
	if text := os.Getenv(incidentSoakSeedsEnv); text != "" {
		_, err := fmt.Sscan(text, &seeds[0], &seeds[1])
		require.NoError(t, err)
	}
	slots := make(chan struct{}, 2)
	var runs sync.WaitGroup
	for seed := seeds[0]; seed <= seeds[1]; seed++ {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			retryIfStalled(t, func() error { return playIncidentSoak(t, seed) })
		})
	}
	runs.Wait()
}

func playIncidentSoak(t *testing.T, seed uint64) error {
	s := &incidentSoak{
		testbed: newSerialTestbed(t, 5), random: rand.New(rand.NewPCG(seed, 66)), over: make(chan struct{}),
	}
	s.start(usePlainBinary, withLongAnswers, s.slowEndpoints, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = incidentSoakMemoryMB
	})
	var clients sync.WaitGroup
	for i := range 8 {
		long, short := rand.New(rand.NewPCG(seed, uint64(100+i))), rand.New(rand.NewPCG(seed, uint64(200+i)))
		clients.Go(func() { s.sendLongRequests(long) })
		clients.Go(func() { s.sendShortRequests(short) })
	}
	leaving := rand.New(rand.NewPCG(seed, 300))
	clients.Go(func() { s.leaveAndRepeat(leaving) })
	endTrouble := s.startTrouble(seed)
	s.sendSignals(s.random, incidentSoakTime, soakStop)
	peak, _ := s.memoryKiB()
	s.terminate()
	endTrouble()
	clients.Wait()
	return s.check(seed, peak)
}

// slowEndpoints makes endpoints read slowly, some of them with small receive buffers.
func (s *incidentSoak) slowEndpoints(w *testbed) {
	for i, server := range w.servers {
		if i%2 == 0 {
			require.NoError(w.t, server.socket.SetReceiveBuffer(smallReceiveBuffer))
		}
		server.socket.SetReadPause(time.Duration(s.random.IntN(20)) * time.Millisecond)
	}
}

// startTrouble starts a crowd in every third run, and a flood in every third.
func (s *incidentSoak) startTrouble(seed uint64) (end func()) {
	switch seed % 3 {
	case 0:
		names := []string{"heads written slowly", "halves of 400 kB", "halves of 60 kB", "long heads"}
		return s.startCrowd(crowdKinds[names[s.random.IntN(len(names))]], incidentSoakCrowd)
	case 1:
		f := s.startFlood(4, newNamesFlood(200))
		return f.end
	}
	return func() {}
}

// sendSignals sends SIGHUP now and then for a time, and stops the process for a moment.
func (w *testbed) sendSignals(random *rand.Rand, duration, longestStop time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
		if random.IntN(3) > 0 {
			_ = w.process.Process.Signal(syscall.SIGHUP)
			continue
		}
		_ = w.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(random.Int64N(int64(longestStop))))
		_ = w.process.Process.Signal(syscall.SIGCONT)
	}
}

// terminateInSeries sends SIGTERM, then SIGHUP and SIGTERM again, and SIGKILL at its earliest. It returns when the process has ended.
func (w *testbed) terminateInSeries(random *rand.Rand) {
	_ = w.process.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(2500*time.Millisecond+killGrace, func() { _ = w.process.Process.Kill() })
	defer kill.Stop()
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	_ = w.process.Process.Signal(syscall.SIGHUP)
	_ = w.process.Process.Signal(syscall.SIGTERM)
	await(w.t, w.exited)
}

// terminate ends the process and the run.
func (s *incidentSoak) terminate() {
	s.mu.Lock()
	s.terminatedAt = time.Now()
	s.mu.Unlock()
	s.terminateInSeries(s.random)
	close(s.over)
}

func (s *incidentSoak) isOver() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

// sendLongRequests sends requests with bodies until the process has ended.
func (s *incidentSoak) sendLongRequests(random *rand.Rand) {
	for !s.isOver() {
		body := longBody{size: 1000 + random.IntN(300_000), isChunked: random.IntN(2) == 0}
		if random.IntN(4) == 0 {
			body.pieceInterval = time.Duration(random.IntN(60)) * time.Millisecond
		}
		class := []string{"consult", "rezervare"}[random.IntN(2)]
		r, err := s.trySendLongOf(class, fmt.Sprint("k", random.IntN(30)), body, time.Duration(300+random.IntN(2200))*time.Millisecond)
		if err == nil {
			s.mu.Lock()
			s.long = append(s.long, r)
			s.mu.Unlock()
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

// sendShortRequests sends short requests on kept connections until the process has ended.
func (s *incidentSoak) sendShortRequests(random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: waitTimeout}
	for !s.isOver() {
		timeLeft := time.Duration(200+random.IntN(1500)) * time.Millisecond
		load := &usualLoad{status: map[int]int{}, slowest: -timeLeft}
		load.send(client, s.testbed, timeLeft)
		s.recordShort(load)
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// leaveAndRepeat sends bookings, leaves after a moment, and sends their ids again while they are open or later, until the
// process has ended.
func (s *incidentSoak) leaveAndRepeat(random *rand.Rand) {
	var ids []string
	for !s.isOver() {
		id := s.nextID()
		if len(ids) > 0 && random.IntN(2) == 0 {
			id = ids[random.IntN(len(ids))]
		}
		ids = append(ids, id)
		if c, err := net.DialTimeout("tcp", s.addr, time.Second); err == nil {
			_, _ = io.WriteString(c, s.idRequest("rezervare", id))
			time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			_ = c.Close()
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// recordShort records how a short request ended. From SIGTERM on, its connection may be closed or refused unread.
func (s *incidentSoak) recordShort(load *usualLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served += load.status[http.StatusOK]
	isEnding := !s.terminatedAt.IsZero()
	if len(load.late) > 0 && (!isEnding || load.status[0] == 0) {
		s.short = append(s.short, errors.New(load.late[0]))
	}
}

func (s *incidentSoak) check(seed uint64, peakKB int) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rejected := map[string]bool{}
	statuses := map[int]int{}
	for _, r := range s.long {
		// A process that has ended by its plan has closed what came after its last answer.
		if r.status != 0 || r.takenAt.Before(s.terminatedAt) {
			err = errors.Join(err, r.check())
		}
		rejected[r.id] = r.status == http.StatusServiceUnavailable
		statuses[r.status]++
	}
	bookings := map[string]int{}
	for _, server := range s.servers {
		for _, a := range server.attempts() {
			if strings.HasPrefix(a.URL.Path, "/rezervare/") {
				bookings[correlationID(a)]++
			}
			if rejected[correlationID(a)] && strings.HasPrefix(a.URL.Path, "/rezervare/") {
				err = errors.Join(err, fmt.Errorf("%s was rejected, and has run", correlationID(a)))
			}
		}
	}
	for id, runs := range bookings {
		if runs > 1 {
			err = errors.Join(err, fmt.Errorf("%s has run %d times", id, runs))
		}
	}
	s.t.Logf("seed %d: long %v, short served %d, peak %d kB", seed, statuses, s.served, peakKB)
	err = errors.Join(err, errors.Join(s.short...))
	if code := s.process.ProcessState.ExitCode(); code != 0 {
		err = errors.Join(err, fmt.Errorf("exit code %d", code))
	}
	if peakKB > incidentSoakMemoryMB<<10 {
		err = errors.Join(err, fmt.Errorf("%d kB of %d MB", peakKB, incidentSoakMemoryMB))
	}
	if err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	return nil
}
