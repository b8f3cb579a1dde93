package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An exchange is a short series of events. The table of this file has a pause between any two of them, by the endpoint, the
// client or the agent's own process, in each phase of the agent's life, and what its client is owed then.

// pausePoint is the event after which an exchange pauses.
type pausePoint string

const (
	whileTaken   pausePoint = "the endpoint takes the request slowly"
	whileSent    pausePoint = "the client sends the request slowly"
	beforeHead   pausePoint = "before the head"
	withinHead   pausePoint = "within the head"
	afterInterim pausePoint = "after an informational response"
	afterHead    pausePoint = "after the head"
	afterFirst   pausePoint = "after the first bytes"
	afterBuffer  pausePoint = "after 64 KiB"
	beforeLast   pausePoint = "before the last byte"
)

// exchangePhase is the phase of the agent's life in which an exchange takes place.
type exchangePhase string

const (
	steadyPhase  exchangePhase = "steady"
	termPhase    exchangePhase = "SIGTERM"
	upgradePhase exchangePhase = "upgrade"
	memoryPhase  exchangePhase = "memory short"
	stoppedPhase exchangePhase = "process stopped" // the process pauses, not its peer
)

const (
	pauseLongBytes     = 266_317
	pauseLatency       = 10 * time.Millisecond  // of an endpoint, before its head
	pauseRequestDelay  = 300 * time.Millisecond // from SIGTERM to the request
	pauseMemoryTime    = 800 * time.Millisecond // for which others hold the memory
	pauseHogs          = 12
	pauseHogBytes      = 3 << 20
	pauseEndMargin     = 300 * time.Millisecond // before the kill: answers that end later may be cut off
	pauseTimeMargin    = 150 * time.Millisecond // before the client's time: short answers that end later may be too late
	pauseObjective     = 500 * time.Millisecond // of both classes
	pauseObjectiveSlip = 100 * time.Millisecond // before it: heads that come later may come too late
	pauseBodyMargin    = time.Second            // a request's body may not stand still for longer
	pauseWait          = 8 * time.Second        // for the end of an answer
	pauseParallel      = 24                     // cells that are played at once
	pausePartBytes     = 32 << 10               // of one write of an endpoint
)

// pauseCell is one cell of the table.
type pauseCell struct {
	phase        exchangePhase
	class        string
	timeLeft     time.Duration
	requestBytes int // zero: the short request of its class
	isChunked    bool
	framing      string
	answerBytes  int
	point        pausePoint
	pause        time.Duration
}

func (c pauseCell) String() string {
	return fmt.Sprintf("%s, %s with %v and %d bytes (chunked %v), answer of %d bytes by %s, %v %s", c.phase, c.class, c.timeLeft,
		c.requestBytes, c.isChunked, c.answerBytes, c.framing, c.pause, c.point)
}

// pauseFramings are the ways to frame an answer.
var pauseFramings = []string{"length", "chunked", "close"}

// pauseClient is a class with a time that its clients give.
type pauseClient struct {
	class    string
	timeLeft time.Duration
}

// allPauseCells returns the whole table.
func allPauseCells() (cells []pauseCell) {
	for _, phase := range []exchangePhase{steadyPhase, termPhase, upgradePhase, memoryPhase, stoppedPhase} {
		for _, client := range []pauseClient{{"consult", 2500 * time.Millisecond}, {"consult", time.Second}, {"rezervare", time.Second}} {
			cell := pauseCell{phase: phase, class: client.class, timeLeft: client.timeLeft}
			cells = append(cells, answerPauses(cell)...)
			cells = append(cells, requestPauses(cell)...)
		}
	}
	return cells
}

// answerPauses returns the cells with a pause in the answer.
func answerPauses(cell pauseCell) (cells []pauseCell) {
	pauses := []int{300, 800, 1200, 2200, 2700, 3300}
	if cell.phase == stoppedPhase {
		pauses = []int{300, 600}
	}
	for _, cell.framing = range pauseFramings {
		for _, cell.answerBytes = range []int{0, 3000, 60_000, pauseLongBytes} {
			points := []pausePoint{beforeHead, withinHead, afterInterim, afterHead}
			if cell.answerBytes > 0 {
				points = append(points, afterFirst, beforeLast)
			}
			if cell.answerBytes == pauseLongBytes {
				points = append(points, afterBuffer)
			}
			if cell.answerBytes == 0 && cell.framing == "length" {
				points = points[:3] // it ends with its head
			}
			for _, cell.point = range points {
				for _, ms := range pauses {
					cell.pause = time.Duration(ms) * time.Millisecond
					cells = append(cells, cell)
				}
			}
		}
	}
	return cells
}

// requestPauses returns the cells with a pause in the request, of a class whose requests have bodies.
func requestPauses(cell pauseCell) (cells []pauseCell) {
	if cell.class != "rezervare" || cell.phase == stoppedPhase || cell.phase == memoryPhase {
		return nil
	}
	cell.timeLeft, cell.framing, cell.answerBytes = 2500*time.Millisecond, "length", 3000
	for _, cell.requestBytes = range []int{40_000, 120_000} {
		for _, cell.isChunked = range []bool{false, true} {
			for _, cell.point = range []pausePoint{whileTaken, whileSent} {
				for _, ms := range []int{300, 800} {
					cell.pause = time.Duration(ms) * time.Millisecond
					cells = append(cells, cell)
				}
			}
		}
	}
	return cells
}

// pauseRun is one cell while it is played.
type pauseRun struct {
	*testbed
	cell pauseCell
	id   string
	hogs sync.WaitGroup
	// scripts are the endpoints' answers under way.
	scripts sync.WaitGroup
	gave    atomic.Int64 // bytes that endpoints wrote of the answer, as far as their system took them

	mu           sync.Mutex
	sentAt       time.Time // of the request's last byte
	headAt       time.Time // when an endpoint had given the whole head
	wholeAt      time.Time // when an endpoint had given the whole answer
	terminatedAt time.Time
	processes    []*testbed
}

// pauseResult is what the client saw.
type pauseResult struct {
	firstAt, endedAt time.Time
	answer           receivedAnswer
}

func (r *pauseRun) note(at *time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.IsZero() {
		*at = time.Now()
	}
}

// answerPieces returns the answer's text in two pieces, with the pause between them; the head ends within the piece of that
// number.
func (r *pauseRun) answerPieces(id string) (pieces [2]string, headPiece int) {
	c := r.cell
	body := uniqueBody(c.answerBytes, id)
	head := map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", c.answerBytes),
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	}[c.framing]
	part, last := func(s string) string { return s }, ""
	if c.framing == "chunked" {
		last = "0\r\n\r\n"
		part = func(s string) string {
			if s == "" {
				return ""
			}
			return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
		}
	}
	at := map[pausePoint]int{
		afterFirst: min(c.answerBytes/4, 15_000), afterBuffer: maxBufferedBytes + 100, beforeLast: max(c.answerBytes-1, 0),
	}[c.point]
	switch c.point {
	case beforeHead:
		return [2]string{"", head + part(body) + last}, 1
	case withinHead:
		return [2]string{head[:20], head[20:] + part(body) + last}, 1
	case afterInterim:
		return [2]string{"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", head + part(body) + last}, 1
	}
	return [2]string{head + part(body[:at]), part(body[at:]) + last}, 0
}

// serve is the script of the endpoints.
func (r *pauseRun) serve(a upstreamAttempt, c net.Conn) bool {
	if strings.Contains(a.URL.Path, "hog") {
		_, err := io.WriteString(c, reply("200 OK", strings.Repeat("x", pauseHogBytes)))
		return err == nil
	}
	r.scripts.Add(1)
	defer r.scripts.Done()
	time.Sleep(pauseLatency)
	pieces, headPiece := r.answerPieces(correlationID(a))
	for i, piece := range pieces {
		if i == 1 && r.cell.point != whileTaken && r.cell.point != whileSent {
			r.playPause()
		}
		if !r.give(c, piece) {
			return false
		}
		if i == headPiece {
			r.note(&r.headAt)
		}
	}
	r.note(&r.wholeAt)
	return r.cell.framing != "close"
}

// give writes a piece of the answer in parts, and reports whether the connection took all of them.
func (r *pauseRun) give(c net.Conn, piece string) bool {
	for len(piece) > 0 {
		n, err := io.WriteString(c, piece[:min(len(piece), pausePartBytes)])
		r.gave.Add(int64(n))
		if err != nil {
			return false
		}
		piece = piece[n:]
	}
	return true
}

// playPause pauses the endpoint, or the agent's process, which finds the rest when it goes on.
func (r *pauseRun) playPause() {
	if r.cell.phase != stoppedPhase {
		time.Sleep(r.cell.pause)
		return
	}
	time.Sleep(20 * time.Millisecond) // what was written is read
	_ = r.process.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(r.cell.pause, func() { _ = r.process.Process.Signal(syscall.SIGCONT) })
}

// playPauseCell plays a cell with an agent of its own, and returns an error if its client did not get what it is owed.
func playPauseCell(t *testing.T, cell pauseCell) error {
	w := newSerialTestbed(t, 2)
	r := &pauseRun{testbed: w, cell: cell, id: w.nextID(), processes: []*testbed{w}}
	w.operatorFile = "[log]\nlevel = \"debug\"\n"
	edits := []func(*testbed){usePlainBinary, withOpsSocket}
	if cell.phase == memoryPhase {
		edits = append(edits, func(w *testbed) { w.config["limits"].(object)["memory_mb"] = 8 })
	}
	if cell.point == whileTaken {
		edits = append(edits, withSmallReceiveBuffers)
	}
	for _, edit := range edits {
		edit(w)
	}
	for _, s := range w.servers {
		s.setScript(r.serve)
	}
	w.launch()
	w.waitUntil("ready", func() bool { return w.readyStatus() == http.StatusOK })
	if cell.point == whileTaken {
		w.readRequestsSlowly(cell.requestBytes, cell.pause)
	}
	result := r.exchange()
	err := r.judge(result)
	if err != nil {
		r.scripts.Wait()
	}
	r.end()
	if err != nil {
		return fmt.Errorf("%v: %w; the endpoint gave %d bytes, the head after %v\n%s", cell, err, r.gave.Load(),
			r.headAt.Sub(r.sentAt), w.log.String())
	}
	return nil
}

// end ends the processes.
func (r *pauseRun) end() {
	for _, p := range r.processes {
		_ = p.process.Process.Kill()
		<-p.exited
	}
	r.hogs.Wait()
	for _, s := range r.servers {
		s.stop()
	}
}

// exchange sends the request on a connection that was opened before the phase began, and reads the answer.
func (r *pauseRun) exchange() (result pauseResult) {
	c, err := net.Dial("tcp", r.addr)
	require.NoError(r.t, err)
	defer func() { _ = c.Close() }()
	r.beginPhase()
	r.sendRequest(c)
	_ = c.SetReadDeadline(time.Now().Add(pauseWait))
	in := bufio.NewReader(c)
	if _, result.answer.err = in.Peek(1); result.answer.err == nil {
		result.firstAt = time.Now()
		result.answer = readAnswer(in)
	}
	result.endedAt = time.Now()
	return result
}

// readAnswer reads an answer as far as it comes.
func readAnswer(in *bufio.Reader) receivedAnswer {
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		return receivedAnswer{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return receivedAnswer{answer.StatusCode, string(body), err}
}

// beginPhase brings the agent into the cell's phase.
func (r *pauseRun) beginPhase() {
	switch r.cell.phase {
	case termPhase:
		r.terminateWithKill()
		time.Sleep(pauseRequestDelay)
	case upgradePhase:
		next := r.nextProcess()
		next.launch()
		r.processes = append(r.processes, next)
		next.awaitReady()
		r.terminateWithKill()
		time.Sleep(pauseRequestDelay)
	case memoryPhase:
		r.holdMemory()
	}
}

// terminateWithKill sends SIGTERM now and SIGKILL at its earliest.
func (r *pauseRun) terminateWithKill() {
	_ = r.process.Process.Signal(syscall.SIGTERM)
	r.note(&r.terminatedAt)
	time.AfterFunc(2500*time.Millisecond+killGrace, func() { _ = r.process.Process.Kill() })
}

// holdMemory lets clients hold the memory for bodies for pauseMemoryTime.
func (r *pauseRun) holdMemory() {
	for i := range pauseHogs {
		r.hogs.Go(func() {
			c, err := net.Dial("tcp", r.addr)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = fmt.Fprintf(c, "GET /consult/hog HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Account: acme\r\n"+
				"Cookie: sid=h%d\r\nX-Time-Left-Ms: 2500\r\n\r\n", r.nextID(), i)
			time.Sleep(pauseMemoryTime)
		})
	}
	time.Sleep(50 * time.Millisecond)
}

// sendRequest sends the request, with a pause where the cell has one there.
func (r *pauseRun) sendRequest(c net.Conn) {
	text := fmt.Sprintf("GET /consult/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Account: acme\r\nCookie: sid=k\r\n"+
		"X-Time-Left-Ms: %d\r\n\r\n", r.id, r.cell.timeLeft.Milliseconds())
	if r.cell.class == "rezervare" {
		body := longBody{size: max(r.cell.requestBytes, 10), isChunked: r.cell.isChunked}
		text = longRequestText(r.id, "k", body, r.cell.timeLeft)
	}
	if r.cell.point == whileSent {
		_, _ = io.WriteString(c, text[:len(text)/2])
		time.Sleep(r.cell.pause)
		text = text[len(text)/2:]
	}
	_, _ = io.WriteString(c, text)
	r.note(&r.sentAt)
}

// judge returns an error if the client did not get what it is owed.
func (r *pauseRun) judge(g pauseResult) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.judgeAs(g, r.cell.owesWhole(r.endMargin()))
}

// describe returns what the client saw.
func (r *pauseRun) describe(g pauseResult) string {
	text := fmt.Sprintf("status %d, %d bytes, first after %v, ended after %v", g.answer.status, len(g.answer.body),
		g.firstAt.Sub(r.sentAt), g.endedAt.Sub(r.sentAt))
	if g.answer.err != nil {
		text += ", " + g.answer.err.Error()
	}
	return text
}

// latest returns when a final answer is owed at the latest.
func (r *pauseRun) latest() time.Time {
	return r.sentAt.Add(r.cell.timeLeft + maxResponseDelay + measuringSlack)
}

// judgeFinal returns an error if a refusal or failure came late.
func (r *pauseRun) judgeFinal(g pauseResult) error {
	if g.answer.status == 0 || g.answer.err != nil || g.endedAt.After(r.latest()) {
		return fmt.Errorf("no final answer in time: %s", r.describe(g))
	}
	return nil
}

// judgeAs is judge for a client that is owed the whole answer, or any final one.
func (r *pauseRun) judgeAs(g pauseResult, owesWhole bool) error {
	whole := receivedAnswer{200, uniqueBody(r.cell.answerBytes, r.id), nil}
	received := r.receivedTimes()
	isInTime := !g.firstAt.After(r.latest())
	isBegun := g.answer.status == 200 && g.answer.err != nil && strings.HasPrefix(whole.body, g.answer.body)
	switch {
	case r.cell.class == "rezervare" && received > 1:
		return fmt.Errorf("it ran %d times: %s", received, r.describe(g))
	case r.cell.class == "rezervare" && received > 0 && g.answer.status == 503:
		return fmt.Errorf("refused, and it has run: %s", r.describe(g))
	case g.answer.status == 200 && g.answer.err == nil && g.answer != whole:
		return fmt.Errorf("another answer: %s", r.describe(g))
	case g.answer == whole && isInTime:
		return nil
	case owesWhole && g.answer != whole:
		return fmt.Errorf("not whole: %s", r.describe(g))
	case owesWhole:
		return fmt.Errorf("late: %s", r.describe(g))
	case isBegun && r.cell.mayBreakOff() && isInTime:
		return nil
	case g.answer.status == 200:
		return fmt.Errorf("no final answer in time: %s", r.describe(g))
	}
	return r.judgeFinal(g)
}

// receivedTimes returns how often endpoints have received the request.
func (r *pauseRun) receivedTimes() (times int) {
	for _, s := range r.servers {
		for _, a := range s.attempts() {
			if correlationID(a) == r.id {
				times++
			}
		}
	}
	return times
}

// endMargin returns how long after the request the answer must have ended, if the process is killed; else a long time.
func (r *pauseRun) endMargin() time.Duration {
	if r.terminatedAt.IsZero() {
		return time.Hour
	}
	return r.terminatedAt.Add(2500*time.Millisecond + killGrace - pauseEndMargin).Sub(r.sentAt)
}

// owesWhole reports whether the client is owed the whole answer. A head that comes within the objective binds the agent: a
// short answer has to be whole in the client's time then, and a long one may take as long as its endpoint gives, since only
// its first bytes are timed.
func (c pauseCell) owesWhole(end time.Duration) bool {
	takes := c.pause + pauseLatency
	if c.phase == memoryPhase {
		takes = max(takes, pauseMemoryTime)
	}
	switch c.point {
	case whileSent:
		return c.pause < pauseBodyMargin && c.pause < end
	case whileTaken:
		return takes < min(c.timeLeft-pauseTimeMargin, end)
	case beforeHead, withinHead, afterInterim:
		return takes < pauseObjective-pauseObjectiveSlip && takes < end
	}
	if c.answerBytes > maxBufferedBytes {
		return takes < end
	}
	return takes < min(c.timeLeft-pauseTimeMargin, end)
}

// mayBreakOff reports whether an answer that is not owed whole may end short, so that its client can tell.
func (c pauseCell) mayBreakOff() bool {
	return c.answerBytes > maxBufferedBytes || c.framing != "length"
}

const (
	// pauseSeedEnv names the seed and the number of the cells to play, as "seed cells"; "all" plays each cell once.
	pauseSeedEnv = "DUNESTEP_PAUSES"
	// shortPauseSeed and shortPauseCells are those that are played with all other tests.
	shortPauseSeed, shortPauseCells = 69, 120
)

// drawPauseCells returns the cells that are to be played.
func drawPauseCells(t *testing.T) []pauseCell {
	cells, seed, count := allPauseCells(), uint64(shortPauseSeed), shortPauseCells
	text := os.Getenv(pauseSeedEnv)
	if text == "all" {
		return cells
	}
	if text != "" {
		_, err := fmt.Sscan(text, &seed, &count)
		require.NoError(t, err)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	random.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	return cells[:min(count, len(cells))]
}

// Guards against exchanges that are ended, or answered late, because one end or the agent's process paused between two events:
// each client gets what it is owed.
func TestPausesInExchanges(t *testing.T) { // not in parallel with others, whose bounds are in real time
	cells := drawPauseCells(t)
	slots := make(chan struct{}, pauseParallel)
	var runs sync.WaitGroup
	var passed atomic.Int32
	for _, cell := range cells {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			retryIfStalled(t, func() error { return playPauseCell(t, cell) })
			passed.Add(1)
		})
	}
	runs.Wait()
	t.Logf("%d of %d cells passed", passed.Load(), len(cells))
}
