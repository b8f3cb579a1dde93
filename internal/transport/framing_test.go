package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/protocol"
)

// framingCasesEnv names an environment variable with the number of random inputs of TestFramingAgreesWithNetHTTP.
const framingCasesEnv = "FRAMING_CASES"

const (
	defaultFramingCases = 1_000_000
	framingSeed         = 20261205
)

// frameEnd is where a request ends in the input.
type frameEnd struct {
	frame requestFrame
	end   int
}

// scanByByte returns the requests that a requestFraming finds in an input, and how many of its bytes may be passed on.
func scanByByte(input []byte) (f requestFraming, ends []frameEnd, passed int) {
	for ; passed < len(input); passed++ {
		if f.advance(input[passed:passed+1], time.Time{}) == 0 {
			break
		}
		if n := len(f.unanswered); n > len(ends) && f.unanswered[n-1].isComplete {
			ends = append(ends, frameEnd{f.unanswered[n-1], passed + 1})
		}
	}
	return f, ends, passed
}

// scanInPieces is scanByByte for an input that arrives in random pieces.
func scanInPieces(input []byte, rng *rand.Rand) (f requestFraming, passed int) {
	for rest := input; len(rest) > 0; {
		piece := rest[:1+rng.IntN(len(rest))]
		n := f.advance(piece, time.Time{})
		passed += n
		if n < len(piece) {
			break
		}
		rest = rest[n:]
	}
	return f, passed
}

// errRefused is what follows the bytes that are passed on of a malformed input.
var errRefused = errors.New("refused")

type refusingReader struct{}

func (refusingReader) Read([]byte) (int, error) { return 0, errRefused }

// netHTTPReader reads requests as net/http's server does.
type netHTTPReader struct {
	source *bytes.Reader
	buffer *bufio.Reader
	last   string // method of the last request
}

func newNetHTTPReader(input []byte) *netHTTPReader {
	source := bytes.NewReader(input)
	return &netHTTPReader{source: source, buffer: bufio.NewReader(io.MultiReader(source, refusingReader{}))}
}

// offset returns how many bytes have been consumed.
func (r *netHTTPReader) offset() int {
	return int(r.source.Size()) - r.source.Len() - r.buffer.Buffered()
}

// next reads the header of the next request.
func (r *netHTTPReader) next() (*http.Request, error) {
	if r.last == http.MethodPost { // tolerance for line ends after a body
		peeked, _ := r.buffer.Peek(4)
		n := 0
		for n < len(peeked) && (peeked[n] == '\r' || peeked[n] == '\n') {
			n++
		}
		_, _ = r.buffer.Discard(n)
	}
	request, err := http.ReadRequest(r.buffer)
	if err == nil {
		r.last = request.Method
	}
	return request, err
}

// checkFraming returns how net/http and requestFraming disagree about an input; nil if they agree on each request until
// either refuses one.
func checkFraming(input []byte, rng *rand.Rand) error {
	whole, ends, passed := scanByByte(input)
	pieces, passedInPieces := scanInPieces(input, rng)
	if passed != passedInPieces || len(whole.unanswered) != len(pieces.unanswered) || !errors.Is(pieces.malformed, whole.malformed) {
		return fmt.Errorf("by bytes %d passed, %d requests, %w; in pieces %d, %d, %w", passed, len(whole.unanswered),
			whole.malformed, passedInPieces, len(pieces.unanswered), pieces.malformed)
	}
	reader := newNetHTTPReader(input[:passed])
	for i := 0; ; i++ {
		request, err := reader.next()
		if err != nil {
			return nil // net/http closes the connection
		}
		if i >= len(whole.unanswered) {
			return fmt.Errorf("net/http reads request %d at byte %d, which was not found", i+1, reader.offset())
		}
		if !whole.unanswered[i].matches(request) {
			return nil // it is refused, and the connection closed
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return nil
		}
		if i >= len(ends) || ends[i].end != reader.offset() {
			return fmt.Errorf("net/http ends request %d at byte %d, of %v", i+1, reader.offset(), ends)
		}
	}
}

// Random inputs are read alike by net/http and by requestFraming, or refused before anything after the first malformed
// request is read: no part of one request is taken for another.
func TestFramingAgreesWithNetHTTP(t *testing.T) {
	t.Parallel()
	cases := defaultFramingCases
	if text := os.Getenv(framingCasesEnv); text != "" {
		var err error
		cases, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	workers := runtime.GOMAXPROCS(0)
	var wait sync.WaitGroup
	for worker := range workers {
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(framingSeed, uint64(worker)))
			for range cases / workers {
				input := randomInput(rng)
				if err := checkFraming(input, rng); err != nil {
					t.Errorf("%q: %v", input, err)
					return
				}
			}
		})
	}
	wait.Wait()
}

func FuzzFramingAgreesWithNetHTTP(f *testing.F) {
	rng := rand.New(rand.NewPCG(framingSeed, 0))
	for range 200 {
		f.Add(randomInput(rng))
	}
	for _, attack := range foldedLengths() {
		f.Add([]byte(attack))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		require.NoError(t, checkFraming(input, rand.New(rand.NewPCG(framingSeed, 1))))
	})
}

func pick(rng *rand.Rand, from ...string) string { return from[rng.IntN(len(from))] }

// usually returns the first text in most cases, else any of the others.
func usually(rng *rand.Rand, first string, others ...string) string {
	if rng.IntN(8) > 0 {
		return first
	}
	return pick(rng, others...)
}

// randomInput returns some requests, of which many are malformed in a place that says where they end.
func randomInput(rng *rand.Rand) []byte {
	var b []byte
	for range 1 + rng.IntN(3) {
		b = append(b, usually(rng, "", "\r\n", "\n", "\r", "\r\n\r\n")...)
		b = append(b, randomRequest(rng)...)
	}
	for rng.IntN(4) == 0 && len(b) > 0 { // a byte is lost, added or changed
		at, c := rng.IntN(len(b)), pick(rng, "\r", "\n", " ", "\t", ":", ";", "0", "7", "a", ",", "\x00")
		switch rng.IntN(3) {
		case 0:
			b = append(b[:at], b[at+1:]...)
		case 1:
			b = append(b[:at], append([]byte(c), b[at:]...)...)
		default:
			b[at] = c[0]
		}
	}
	return b
}

const hiddenRequest = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"

func randomRequest(rng *rand.Rand) string {
	end := usually(rng, "\r\n", "\n", "\r\r\n", "\r")
	head := pick(rng, "GET", "POST", "PUT", "HEAD") + " /x HTTP/" + usually(rng, "1.1", "1.0", "1.2", "2.0") + end +
		"Host: x" + end
	body := pick(rng, "", "hello", hiddenRequest)
	hasLength, isChunked := rng.IntN(2) == 0, rng.IntN(3) == 0
	if isChunked {
		head += randomField(rng, "Transfer-Encoding", "chunked", end,
			"Chunked", "chunked, chunked", "gzip, chunked", "identity", "xchunked", "chunked;q=1", "", "chunked\x0b", "chunke")
	}
	if hasLength && (!isChunked || rng.IntN(4) == 0) {
		n := len(body)
		head += randomField(rng, "Content-Length", strconv.Itoa(n), end,
			fmt.Sprintf("+%d", n), fmt.Sprintf("0%d", n), fmt.Sprintf("%d, %d", n, n), fmt.Sprintf("%d %d", n, n), "", "-1",
			fmt.Sprintf("%#x", n), fmt.Sprintf("%d", n+1), "9223372036854775807", "99999999999999999999")
	}
	head += usually(rng, "", "X-A: b"+end, "X-A: b"+end+" c"+end, "X-A"+end, ": a"+end, strings.Repeat("a:"+end, 110))
	if isChunked {
		body = randomChunks(rng, body)
	}
	return head + end + body
}

// randomField returns a header line, or two.
func randomField(rng *rand.Rand, name, value, end string, others ...string) (line string) {
	for range 1 + rng.IntN(8)/7 {
		spelled := usually(rng, name, strings.ToLower(name), strings.ToUpper(name), name+" ", " "+name, strings.ReplaceAll(name, "-", "_"))
		space := usually(rng, " ", "", "\t", "  ", end+" ", end+"\t", " "+end+" ")
		line += spelled + ":" + space + usually(rng, value, others...) + usually(rng, "", " ", "\t", end+" ", end+" 5") + end
	}
	return line
}

func randomChunks(rng *rand.Rand, body string) (text string) {
	if len(body) > 0 {
		at := rng.IntN(len(body))
		for _, part := range []string{body[:at], body[at:]} {
			if part != "" {
				text += randomChunkSize(rng, len(part)) + part + usually(rng, "\r\n", "\n", "", "\r\n\r\n")
			}
		}
	}
	return text + randomChunkSize(rng, 0) + usually(rng, "", "A: b\r\n", "A: b\n", " A: b\r\n", "A: b\r\n c\r\n", "A\r\n") +
		usually(rng, "\r\n", "\n", "\r", "", "\n\n")
}

func randomChunkSize(rng *rand.Rand, n int) string {
	size := usually(rng, fmt.Sprintf("%x", n), fmt.Sprintf("%X", n), fmt.Sprintf("00%x", n), fmt.Sprintf("%#x", n), fmt.Sprintf("%x", n+1),
		fmt.Sprintf("+%x", n), " "+fmt.Sprintf("%x", n), fmt.Sprintf("fffffffffffffff%x", n), "")
	return size + usually(rng, "", ";a=b", ";a=\"\n\"", " ", " ;a", "\t", ";") + usually(rng, "\r\n", "\n", "\r\r\n", "\r")
}

// foldedLengths returns the requests whose Content-Length goes on in another line, which a reader that does not know folded
// lines takes for absent. Behind each stands a request with two lengths, which hides another.
func foldedLengths() (attacks []string) {
	smuggler := "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hiddenRequest
	body := "Content-Length: 100000\r\n\r\n"
	for _, blank := range []string{" ", "\t"} {
		for _, end := range []string{"\r\n", "\n"} {
			for _, value := range []string{
				end + blank + strconv.Itoa(len(body)),
				blank + end + blank + strconv.Itoa(len(body)),
				"0" + end + blank + strconv.Itoa(len(body)),
			} {
				attacks = append(attacks, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length:"+value+"\r\n\r\n"+body+
					fmt.Sprintf(smuggler, len(hiddenRequest)+5))
			}
		}
	}
	return attacks
}

// targetsHandler records the targets of the requests that it answers.
type targetsHandler struct {
	mu      sync.Mutex
	targets []string
}

func (h *targetsHandler) HandleRequest(_ context.Context, r *protocol.Request) (protocol.Response, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = append(h.targets, r.Target)
	return busyResponse(), true
}

func (*targetsHandler) Ready() bool { return true }

// requireResponse reads a complete response with a status.
func requireResponse(t *testing.T, reader *bufio.Reader, status int) {
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
}

// A malformed request ends its connection with one 400, after the responses to the requests before it. Nothing behind it runs.
func TestNothingBehindMalformedRequestRuns(t *testing.T) {
	good := func(target string) string {
		return "GET /consult/" + target + " HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 0123456789abcdef\r\nX-Time-Left-Ms: 9000\r\n\r\n"
	}
	malformed := map[string]string{
		"two lengths":           "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks of HTTP/1.0":    "POST /x HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"bare carriage return":  "GET /x HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n",
		"space before colon":    "GET /x HTTP/1.1\r\nHost: x\r\nContent-Length : 0\r\n\r\n",
		"length with a sign":    "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: +0\r\n\r\n",
		"two different lengths": "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
		"other encoding":        "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"too many lines":        "GET /x HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("1a:\r\n", maxHeaderLines) + "\r\n",
	}
	for i, attack := range foldedLengths() {
		malformed[fmt.Sprint("folded length ", i)] = attack
	}
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handler := &targetsHandler{}
			conn := serveHandler(t, 1024, handler, NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute}), protocol.HTTP)()
			_, err := io.WriteString(conn, good("a")+good("b")+text+good("hidden"))
			require.NoError(t, err)
			reader := bufio.NewReader(conn)
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusBadRequest} {
				requireResponse(t, reader, status)
			}
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, []string{"/consult/a", "/consult/b"}, handler.targets)
		})
	}
}

// Requests in chunks are answered in turn with others on their connection, wherever the input is cut.
func TestPipelinedRequestsInChunks(t *testing.T) {
	t.Parallel()
	const head = "POST /consult/%s HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 0123456789abcdef\r\nX-Time-Left-Ms: 9000\r\n%s\r\n\r\n%s"
	input := fmt.Sprintf(head, "a", "Content-Length: 5", "hello") +
		fmt.Sprintf(head, "b", "Transfer-Encoding: chunked", "5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\n") +
		fmt.Sprintf(head, "c", "Transfer-Encoding: chunked", "0\r\n\r\n") + fmt.Sprintf(head, "d", "Content-Length: 0", "")
	for _, cut := range []int{1, 100, 190, 240, 330, len(input)} {
		handler := &targetsHandler{}
		conn := serveHandler(t, 1024, handler, NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute}), protocol.HTTP)()
		reader := bufio.NewReader(conn)
		for _, part := range []string{input[:cut], input[cut:]} {
			_, err := io.WriteString(conn, part)
			require.NoError(t, err)
			time.Sleep(5 * time.Millisecond) // so that the parts are mostly read apart
		}
		for range 4 {
			requireResponse(t, reader, http.StatusServiceUnavailable)
		}
		require.Equal(t, []string{"/consult/a", "/consult/b", "/consult/c", "/consult/d"}, handler.targets)
	}
}
