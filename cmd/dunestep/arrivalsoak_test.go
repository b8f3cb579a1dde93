package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// arrivalSoakSeedsEnv names the seeds of a long soak, as "first last". A short one has those of shortArrivalSoak.
	arrivalSoakSeedsEnv = "DUNESTEP_ARRIVAL_SOAK_SEEDS"
	arrivalSoakTime     = 6 * time.Second // of one run
	arrivalSoakClients  = 10              // of each kind
)

// shortArrivalSoak are the seeds that are played with all other tests.
var shortArrivalSoak = [2]uint64{1, 8}

// stopPeriod is a time in which an endpoint did not read.
type stopPeriod struct{ from, to time.Time }

// arrivalSoak is one run of a soak in which what has arrived at the agent's machine and what the agent has read differ.
type arrivalSoak struct {
	*testbed
	random *rand.Rand
	done   chan struct{}

	mu      sync.Mutex
	long    []*longRequest
	leaving []leavingClient
	stops   map[string][]stopPeriod // by endpoint
}

// In any of these runs endpoints stop reading for a while, and clients send long bodies, at once or in pieces, or send many
// requests at once and leave. Each request that the agent's machine has taken gets its final answer in time, whatever the
// endpoints take; none that was rejected has run; no attempt begins for a client that has left, and none passes on more
// time than its client had at its last byte. At the end the agent is told to end, in every other run while endpoints are stopped.
func TestArrivalSoak(t *testing.T) { // not in parallel with others, whose bounds are in real time
	seeds := shortArrivalSoak
	if text := os.Getenv(arrivalSoakSeedsEnv); text != "" {
		_, err := fmt.Sscan(text, &seeds[0], &seeds[1])
		require.NoError(t, err)
	}
	slots := make(chan struct{}, soakConcurrency)
	var runs sync.WaitGroup
	for seed := seeds[0]; seed <= seeds[1]; seed++ {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			retryIfStalled(t, func() error { return playArrivalSoak(t, seed) })
		})
	}
	runs.Wait()
}

func playArrivalSoak(t *testing.T, seed uint64) error {
	s := &arrivalSoak{
		testbed: newSerialTestbed(t, 5), random: rand.New(rand.NewPCG(seed, 7)), done: make(chan struct{}),
		stops: map[string][]stopPeriod{},
	}
	usePlainBinary(s.testbed)
	if seed%3 == 0 {
		s.config["limits"].(object)["memory_mb"] = 40
	}
	for _, server := range s.servers {
		server.keepsNoBody = true
		wait := time.Duration(10+s.random.IntN(150)) * time.Millisecond
		server.setAnswer(func(a upstreamAttempt) string { time.Sleep(wait); return ok(a) })
	}
	s.start()
	var clients sync.WaitGroup
	for range arrivalSoakClients {
		bodies, leavers := s.newRandom(), s.newRandom()
		clients.Go(func() { s.repeat(bodies, s.sendLongBody) })
		clients.Go(func() { s.repeat(leavers, s.sendMuchAndLeave) })
	}
	s.stopServers()
	resume := func() {}
	if seed%2 == 0 {
		resume = s.stopServer(s.servers[0])
	}
	defer resume()
	close(s.done)
	require.NoError(t, s.process.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(3*time.Second+killGrace, func() { _ = s.process.Process.Kill() })
	defer kill.Stop()
	clients.Wait()
	await(t, s.exited)
	resume()
	time.Sleep(100 * time.Millisecond) // the endpoint reads what it still has
	err := errors.Join(s.checkLong(), s.checkLeaving(), s.checkAnnounced())
	if code := s.process.ProcessState.ExitCode(); code != 0 {
		err = errors.Join(err, fmt.Errorf("exit code %d", code))
	}
	if err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	return nil
}

// newRandom returns a source for one client. Whatever the others do, it draws the same.
func (s *arrivalSoak) newRandom() *rand.Rand { return rand.New(rand.NewPCG(s.random.Uint64(), 0)) }

// repeat calls send with random pauses until the run is over.
func (s *arrivalSoak) repeat(random *rand.Rand, send func(*rand.Rand)) {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(time.Duration(random.IntN(400)) * time.Millisecond):
			send(random)
		}
	}
}

// stopServers makes up to three endpoints at once stop reading, for random times, until the run is over.
func (s *arrivalSoak) stopServers() {
	var stopping sync.WaitGroup
	for end := time.Now().Add(arrivalSoakTime); time.Now().Before(end); {
		for _, number := range s.random.Perm(len(s.servers))[:1+s.random.IntN(3)] {
			server, duration := s.servers[number], time.Duration(100+s.random.IntN(2400))*time.Millisecond
			stopping.Go(func() {
				resume := s.stopServer(server)
				time.Sleep(duration)
				resume()
			})
		}
		stopping.Wait()
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	}
}

// stopServer makes an endpoint stop reading, and records for how long.
func (s *arrivalSoak) stopServer(server *server) (resume func()) {
	from := time.Now()
	server.socket.SetReading(false)
	return sync.OnceFunc(func() {
		server.socket.SetReading(true)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stops[server.id] = append(s.stops[server.id], stopPeriod{from, time.Now()})
	})
}

// sendLongBody sends a request with a long body, at once or in pieces.
func (s *arrivalSoak) sendLongBody(random *rand.Rand) {
	body := longBody{size: 1000 + random.IntN(6<<20), isChunked: random.IntN(2) == 0}
	if random.IntN(3) == 0 {
		body.size, body.pieceInterval = 1000+random.IntN(1<<20), time.Duration(random.IntN(100))*time.Millisecond
	}
	timeLeft := time.Duration(200+random.IntN(1800)) * time.Millisecond
	r, err := s.trySendLong(fmt.Sprint("k", random.IntN(30)), body, timeLeft)
	if err != nil {
		return // the agent has ended
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.long = append(s.long, r)
}

// sendMuchAndLeave sends many requests at once, or one with a long body, and leaves.
func (s *arrivalSoak) sendMuchAndLeave(random *rand.Rand) {
	leave := []func(*net.TCPConn){closeConn, abortConn}[random.IntN(2)]
	stay := time.Duration(random.IntN(600)) * time.Millisecond
	text := s.manyRequests(1+random.IntN(80), 2500)
	if random.IntN(2) == 0 {
		id := s.nextID()
		body := longBody{size: 100_000 + random.IntN(5<<20), isChunked: random.IntN(2) == 0}
		text = longRequestText(id, fmt.Sprint("k", random.IntN(30)), body, 2500*time.Millisecond)
	}
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		return // the agent has ended
	}
	written := make(chan struct{})
	go func() { defer close(written); _, _ = io.WriteString(c, text) }()
	time.Sleep(stay)
	client := leavingClient{ids: requestIDs(text[:min(len(text), maxRequestsText)]), leftAt: time.Now()}
	leave(c.(*net.TCPConn))
	<-written
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, client)
}

// maxRequestsText is more than many requests without long bodies take, in bytes.
const maxRequestsText = 64 << 10

// checkLong returns an error if a request that was taken had no final answer in time, or one that was rejected has run.
func (s *arrivalSoak) checkLong() (err error) {
	rejected := map[string]bool{}
	outcomes := map[int]int{}
	for _, r := range s.long {
		err = errors.Join(err, r.check())
		rejected[r.id] = r.status == 503
		outcomes[r.status]++
	}
	s.t.Log("answers to long bodies, by status:", outcomes)
	if outcomes[200] == 0 {
		err = errors.Join(err, errors.New("nothing was served"))
	}
	for _, server := range s.servers {
		for _, a := range server.attempts() {
			if rejected[correlationID(a)] {
				err = errors.Join(err, fmt.Errorf("%s was rejected, and has run", correlationID(a)))
			}
		}
	}
	return err
}

// checkLeaving returns an error if an attempt began for a client that had left. What an endpoint that did not read had
// received by then, it may read later.
func (s *arrivalSoak) checkLeaving() error {
	leftAt := map[string]time.Time{}
	for _, c := range s.leaving {
		for _, id := range c.ids {
			leftAt[id] = c.leftAt
		}
	}
	for _, server := range s.servers {
		for _, a := range server.attempts() {
			at, isLeaver := leftAt[correlationID(a)]
			late := a.receivedAt.Sub(at)
			if isLeaver && late > maxAttemptDelay+measuringSlack && !s.wasStopped(server.id, at, a.receivedAt) {
				return fmt.Errorf("attempt of %s began %v after its client had left", correlationID(a), late)
			}
		}
	}
	return nil
}

// wasStopped reports whether an endpoint did not read at some moment of a time.
func (s *arrivalSoak) wasStopped(id string, from, to time.Time) bool {
	for _, stop := range s.stops[id] {
		if stop.from.Before(to) && stop.to.After(from) {
			return true
		}
	}
	return false
}

// checkAnnounced returns an error if an attempt passed on more time than its client had at its last byte. That an
// attempt which begins later passes on less is checked by TestTimeAnnouncedWithBodySentBeforeItsAttempt.
func (s *arrivalSoak) checkAnnounced() error {
	timeLeft := map[string]time.Duration{}
	for _, r := range s.long {
		timeLeft[r.id] = r.timeLeft
	}
	for _, server := range s.servers {
		for _, a := range server.attempts() {
			had, isLong := timeLeft[correlationID(a)]
			announced, err := strconv.Atoi(a.Header.Get("X-Time-Left-Ms"))
			if err != nil || isLong && time.Duration(announced)*time.Millisecond > had+maxAnnouncedExcess {
				return fmt.Errorf("attempt of %s passed on %q of %v", correlationID(a), a.Header.Get("X-Time-Left-Ms"), had)
			}
		}
	}
	return nil
}
