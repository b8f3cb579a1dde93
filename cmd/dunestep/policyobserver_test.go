package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/judge"
	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/standin"
)

// Each policy version limits attempts to a number of its own, so that the number of attempts for a request that every
// endpoint rejects shows which version the agent applied. Version 0 has the largest limit. Each version that a test
// proposes has one attempt less than the version before. The floor has floorMaxAttempts.
const (
	initialMaxAttempts = 5
	floorMaxAttempts   = 2
)

// policyObserver sends requests to all agents of a lab continuously. The endpoints reject some of them unprocessed. From
// the attempts that arrive, it derives what each agent decided and passes that to the policy judge. The program has no
// part in the observation.
type policyObserver struct {
	t    *testing.T
	lab  *lab.Lab
	stop context.CancelFunc
	wait sync.WaitGroup

	mu           sync.Mutex
	open         map[string]*observedRequest // requests in progress, by id
	finished     []observedRequest
	pending      int // number of requests that wait for their last attempt
	history      *judge.History
	firstVersion uint64                   // the history begins with this version
	versions     map[uint64]policyVersion // by number
	maxAttempts  map[uint64]int           // limits of attempts, by version
}

// observedRequest is a request as the endpoints and its caller observed it. Times are Unix times.
type observedRequest struct {
	id                                         string
	agent, attempts                            int
	firstAttemptAt                             time.Duration // arrival of the first attempt
	priorAnswerAt, lastAttemptAt, lastAnswerAt time.Duration // answer of the last but one attempt; arrival and answer of the last
	wasPending                                 bool          // it waited for its last attempt: see startPendingRequest
	endedAt                                    time.Duration // when the caller received the response; 0: it received none
}

// sinceEpoch returns the current Unix time.
func sinceEpoch() time.Duration { return time.Duration(time.Now().UnixNano()) }

// newPolicyObserver starts a fleet with policies, and observes its decisions.
func newPolicyObserver(t *testing.T, agents int, stores durability, configure func(*lab.Config)) *policyObserver {
	t.Helper()
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	folders := t.TempDir()
	w := &policyObserver{
		t: t, open: map[string]*observedRequest{}, history: judge.NewHistory(clockSlack), versions: map[uint64]policyVersion{},
		maxAttempts: map[uint64]int{0: initialMaxAttempts},
	}
	set := lab.DefaultSettings()
	set.Limits.MaxAttempts = initialMaxAttempts
	set.Classes = append(set.Classes, balancer.Class{Name: pendingClass, LatencyObjective: 10 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent})
	for i := range set.Classes { // no request reaches its deadline
		set.Classes[i].Deadline = 60 * time.Second
	}
	w.lab = lab.Open(t, lab.Options{
		Agents: agents, Servers: 2 * initialMaxAttempts, Program: program, OperatorListener: true, Seed: 5,
		Settings: set, Respond: w.answerAttempt, Configure: func(c *lab.Config) {
			c.OperatorFile = "[fleet]\non = true\npolicy = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
			if stores == inFolders {
				c.OperatorFile += fmt.Sprintf("folder = %q\n", voterFolder(t, folders, c.Agent))
			}
			c.OperatorFile += "[storm]\non = false\n"
			if configure != nil {
				configure(c)
			}
		},
	})
	ctx := t.Context()
	require.NoError(t, w.lab.StartAll(ctx))
	require.NoError(t, w.lab.Wait(ctx, "leases", allAgents(w.lab, hasFullStanding)))
	ctx, w.stop = context.WithCancel(ctx)
	for _, a := range w.lab.Agents() {
		for caller := range callersPerAgent {
			w.wait.Go(func() { w.sendRequests(ctx, a, caller) })
		}
		w.wait.Go(func() { w.pollVersions(ctx, a) })
	}
	t.Cleanup(func() { w.stop(); w.wait.Wait() })
	return w
}

// callersPerAgent is how many callers send requests to each agent concurrently.
const callersPerAgent = 2

// rejectionInterval is how many requests there are per rejected one: an agent would eject servers that reject all.
const rejectionInterval = 8

// requestPause is a caller's pause between requests. It only limits the load.
const requestPause = 15 * time.Millisecond

func (w *policyObserver) sendRequests(ctx context.Context, a *lab.Agent, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		w.sendRequest(ctx, a, "consult", fmt.Sprintf("%08x%08x", (a.Number+1)*callersPerAgent+caller, n))
		select {
		case <-ctx.Done():
		case <-time.After(requestPause):
		}
	}
}

var noKeepAliveClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (w *policyObserver) sendRequest(ctx context.Context, a *lab.Agent, class, id string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Addr+"/"+class+"/book", nil)
	if err != nil {
		return
	}
	r.Host = "backend.local"
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Time-Left-Ms", "60000")
	r.Header.Set("X-Account", "acme")
	r.Header.Set("Cookie", "sid="+id)
	resp, err := noKeepAliveClient.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	w.recordEnd(id, outcomeOf(err))
}

// outcome reports whether a request received its response.
type outcome bool

const hasResponse outcome = true

func outcomeOf(err error) outcome { return outcome(err == nil) }

// recordEnd records the end of a request that endpoints have rejected.
func (w *policyObserver) recordEnd(id string, result outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.open[id]
	if delete(w.open, id); s == nil {
		return
	}
	if result == hasResponse {
		s.endedAt = sinceEpoch()
	}
	w.finished = append(w.finished, *s)
}

// answerAttempt answers an attempt. Of every rejectionInterval requests, it rejects one and records its attempts.
func (w *policyObserver) answerAttempt(s lab.Attempt) standin.Reply {
	id := s.Request.Header.Get("X-Correlation-Id")
	if n, _ := strconv.ParseUint(id, 16, 64); n%rejectionInterval != 0 {
		return standin.Reply{Status: http.StatusOK}
	}
	w.mu.Lock()
	seen := w.open[id]
	if seen == nil {
		seen = &observedRequest{id: id, agent: s.Agent, firstAttemptAt: sinceEpoch()}
		w.open[id] = seen
	}
	seen.priorAnswerAt, seen.lastAttemptAt, seen.lastAnswerAt = seen.lastAnswerAt, sinceEpoch(), 0
	seen.attempts++
	seen.lastAnswerAt = seen.lastAttemptAt
	waits := strings.HasPrefix(s.Request.URL.Path, "/"+pendingClass) && seen.attempts == initialMaxAttempts-1
	if waits {
		w.pending++
		seen.wasPending = true
	}
	w.mu.Unlock()
	if waits {
		w.lab.RecordEvent("request pending", fmt.Sprint("n", s.Agent), id)
	}
	return standin.Reply{Status: http.StatusServiceUnavailable, Headers: "X-Unprocessed: 1\r\n"}
}

// pendingClass is a class whose latency objective is so long that its requests wait for seconds before the last attempt
// that the settings permit. Tests use it to have a request pending at an agent when a fault occurs.
const pendingClass = "laborator"

// startPendingRequest sends a request of pendingClass to an agent, and returns once it waits for its last attempt.
func (w *policyObserver) startPendingRequest(ctx context.Context, a *lab.Agent) {
	w.wait.Go(func() { w.sendRequest(ctx, a, pendingClass, fmt.Sprintf("%08x%08x", 0xff00+a.Number, 0)) })
	require.NoError(w.t, w.lab.Wait(w.t.Context(), "a request waits", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.pending > 0
	}))
}

// document returns a policy document that limits attempts to the number.
func (w *policyObserver) document(attempts int) string {
	return attemptsDocument(w.t, attempts, fmt.Sprintf("[classes.%s]\nattempts = %d\n", pendingClass, attempts))
}

// propose proposes document(attempts) at an agent, and returns the command's output.
func (w *policyObserver) propose(a *lab.Agent, attempts int, args ...string) (string, error) {
	id := fmt.Sprint("attempts-", attempts)
	w.mu.Lock()
	w.history.ProposalMade(sinceEpoch(), id)
	w.mu.Unlock()
	text, err := fleetCommand(w.t, a, append([]string{"policy", "propose", w.document(attempts), "--id", id}, args...)...)
	w.mu.Lock()
	defer w.mu.Unlock()
	var version uint64
	if n, _ := fmt.Sscanf(text, "taken: version %d is in force", &version); n == 1 {
		w.history.ProposalAnswered(sinceEpoch(), id, version, 0) // the command ends once the version is in force
	} else if strings.Contains(text, "not taken: ") && !strings.Contains(text, "usage") {
		w.history.ProposalAnswered(sinceEpoch(), id, 0, 0)
	}
	return text, err
}

// resetHistory restarts the history at the version that is in force at an agent: earlier ones were not proposed by
// propose.
func (w *policyObserver) resetHistory(a *lab.Agent) {
	s, ok := policyStateAt(a)
	require.True(w.t, ok)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history, w.firstVersion = judge.NewHistory(clockSlack), s.InForce.Number
	w.history.ProposalMade(0, s.InForce.ProposalID)
	w.history.ProposalAnswered(0, s.InForce.ProposalID, s.InForce.Number, time.Duration(s.InForce.EffectiveAt.UnixNano()))
}

// clockSlack is the tolerated difference between the agents' clocks. In these tests all agents share one clock.
const clockSlack = 2*100*time.Millisecond + time.Millisecond

// pollVersions polls an agent's operators' socket, and records each version that the agent applies in full mode.
func (w *policyObserver) pollVersions(ctx context.Context, a *lab.Agent) {
	for ctx.Err() == nil {
		from := sinceEpoch()
		if s, ok := policyStateAt(a); ok && s.Mode == policy.ModeFull.String() {
			w.mu.Lock()
			if s.Version >= w.firstVersion {
				w.history.VersionRead(from, sinceEpoch(), s.Version)
			}
			w.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * requestPause):
		}
	}
}

// policyStateAt returns an agent's policy status; false: it did not respond.
func policyStateAt(a *lab.Agent) (s policyState, ok bool) {
	err := opsClient{a.OperatorAddr}.call(http.MethodGet, "/ops/fleet/policy", "", &s)
	return s, err == nil
}

// recordVersions records the activated versions that an agent reports. All agents must report the same.
func (w *policyObserver) recordVersions(s policyState) {
	for _, v := range append(slices.Clone(s.Past), s.InForce) {
		if v.Number == 0 {
			continue
		}
		if known, ok := w.versions[v.Number]; ok {
			require.Equal(w.t, known, v)
		}
		w.versions[v.Number] = v
		text, _, _ := strings.Cut(strings.TrimPrefix(v.ProposalID, "attempts-"), "-")
		attempts, err := strconv.Atoi(text)
		require.NoError(w.t, err)
		w.maxAttempts[v.Number] = attempts
	}
}

// awaitMoreRequests waits until each running agent has completed some more rejected requests.
func (w *policyObserver) awaitMoreRequests() {
	w.t.Helper()
	count := func() (perAgent [16]int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, s := range w.finished {
			perAgent[s.agent]++
		}
		return perAgent
	}
	before := count()
	require.NoError(w.t, w.lab.Wait(w.t.Context(), "more requests", func() bool {
		now := count()
		for _, a := range w.lab.Agents() {
			if a.IsRunning() && now[a.Number] < before[a.Number]+4*callersPerAgent {
				return false
			}
		}
		return true
	}))
}

// awaitInForce waits until every running agent reports that it applies the version with this limit of attempts.
func (w *policyObserver) awaitInForce(attempts int) {
	w.t.Helper()
	for _, a := range w.lab.Agents() {
		if !a.IsRunning() {
			continue
		}
		require.NoError(w.t, w.lab.Wait(w.t.Context(), fmt.Sprint(a.Name, " applies the version with attempts = ", attempts), func() bool {
			s, ok := policyStateAt(a)
			return ok && s.Mode == policy.ModeFull.String() && (s.InForce.ProposalID == fmt.Sprint("attempts-", attempts) ||
				s.InForce.Number == 0 && attempts == initialMaxAttempts)
		}))
	}
	w.awaitMoreRequests()
}

// checkDecisions ends the requests and judges all observed decisions. Each activated version must have been observed.
func (w *policyObserver) checkDecisions() {
	w.t.Helper()
	for _, a := range w.lab.Agents() {
		if s, ok := policyStateAt(a); ok {
			w.recordVersions(s)
		}
	}
	w.stop()
	w.wait.Wait()
	require.True(w.t, w.history.IsLinearizable(), "what commands and operators' sockets returned is not linearizable")
	j := judge.New(clockSlack, w.version(0, 0))
	numbers := []uint64{0}
	for n := range w.versions {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers[1:] {
		effectiveAt := time.Duration(w.versions[n].EffectiveAt.UnixNano())
		j.VersionActivated(effectiveAt, w.version(n, effectiveAt))
	}
	decisions := w.decisions(numbers)
	counts := map[string]int{} // of decisions, by mode and version
	for _, d := range decisions {
		j.DecisionMade(d)
		counts[fmt.Sprint(d.Mode, " ", d.Version)]++
	}
	w.t.Logf("%d decisions: %v, versions %v", len(decisions), counts, w.versions)
	if j.Count > 0 {
		for _, s := range w.finished {
			w.t.Logf("agent %d, caller %s: %d attempts from %v, the last one at %v, ended %v", s.agent, s.id, s.attempts, s.firstAttemptAt, s.lastAttemptAt-s.firstAttemptAt,
				s.endedAt-s.firstAttemptAt)
		}
	}
	require.Empty(w.t, j.Violations)
	for i, n := range numbers {
		if slices.ContainsFunc(numbers[i+1:], func(later uint64) bool { return w.maxAttempts[later] == w.maxAttempts[n] }) {
			continue // observations cannot distinguish the two
		}
		require.NotZero(w.t, counts[fmt.Sprint(policy.ModeFull, " ", n)], "no decision by version %d was observed", n)
	}
}

// version returns the version with a number in the judge's form.
func (w *policyObserver) version(n uint64, effectiveAt time.Duration) judge.Version {
	own := policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Classes: []balancer.Class{{Name: "consult"}, {Name: pendingClass}},
		Limits:  balancer.Limits{MaxAttempts: initialMaxAttempts, Hedging: true},
	}}
	text := "format = 1\n"
	if n > 0 {
		text += fmt.Sprintf("[classes.consult]\nattempts = %d\n[classes.%s]\nattempts = %[1]d\n", w.maxAttempts[n], pendingClass)
	}
	d, err := policy.ParseDocument("document", []byte(text))
	require.NoError(w.t, err)
	effect, err := d.Effect(own)
	require.NoError(w.t, err)
	return judge.Version{Number: n, EffectiveAt: effectiveAt, Effect: effect, Floor: d.Floor().Effect(own)}
}

// maxExhaustedDelay is the longest time from the last attempt's answer to the end of a request that has used up its
// attempts. A request that fails for lack of time or capacity waits longer before it ends.
const maxExhaustedDelay = 50 * time.Millisecond

// decisions returns the decisions that the observed requests prove, one for each request, sorted by time.
//
// A request with fewer attempts than floorMaxAttempts counts as ModeBottom, and one with exactly as many as ModeFloor. A
// request with more attempts counts for the newest version that was in force before the last attempt and whose limit
// matches:
//   - The last attempt proves that the limit was at least the number of attempts.
//   - The end of the request proves that the limit was exactly this number, if the request used up its attempts and the
//     caller's previous or next request had as many. Otherwise the version may have changed during the request.
//
// If only versions that were not yet in force have exactly this limit, the oldest of them counts, for the judge to check.
func (w *policyObserver) decisions(numbers []uint64) (out []judge.Decision) {
	byCaller := map[string][]observedRequest{} // in the order of the requests
	for _, s := range w.finished {
		byCaller[s.id[:8]] = append(byCaller[s.id[:8]], s)
	}
	for _, requests := range byCaller {
		for i, s := range requests {
			d := judge.Decision{Agent: s.agent, At: s.priorAnswerAt, LatestAt: s.lastAttemptAt}
			if s.attempts <= floorMaxAttempts {
				d.Mode, d.At = policy.ModeFloor, s.lastAttemptAt
				if s.attempts < floorMaxAttempts {
					d.Mode = policy.ModeBottom
				}
				out = append(out, d)
				continue
			}
			sameAttempts := func(k int) bool {
				return k >= 0 && k < len(requests) && requests[k].attempts == s.attempts && requests[k].endedAt > 0
			}
			isExact := s.endedAt > 0 && s.endedAt-s.lastAnswerAt < maxExhaustedDelay && (sameAttempts(i-1) || sameAttempts(i+1))
			found := false
			for _, n := range numbers { // of several with one limit, the newest that may have been in force
				inForce := n == 0 || time.Duration(w.versions[n].EffectiveAt.UnixNano()) <= s.priorAnswerAt
				if limit := w.maxAttempts[n]; isExact && limit == s.attempts && (inForce || !found) || !isExact && limit >= s.attempts && inForce {
					d.Version, found = n, true
				}
			}
			require.True(w.t, found, "agent %d made %d attempts, which no version allows: %+v", s.agent, s.attempts, s)
			d.Mode = policy.ModeFull
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b judge.Decision) int { return cmp.Compare(a.At, b.At) })
	return out
}
