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

// Marks: how many attempts agents make for a request that is rejected everywhere tells what they act on. Version 0
// has the most, each later one that a test proposes one less than the one before, the floor as below.
const (
	markAtFirst = 5
	markFloor   = 2
)

// witness asks all agents of a lab without an end, one request at a time each, before endpoints that turn all
// away unheard, and tells the judge of policies what each of them decided: nothing in the program is told of it.
type witness struct {
	t    *testing.T
	l    *lab.Lab
	stop context.CancelFunc
	wait sync.WaitGroup

	mu       sync.Mutex
	open     map[string]*sighting // by the request's id
	seen     []sighting
	waits    int // requests that wait for their last attempt
	history  *judge.History
	since    uint64 // versions before it are left out of the history
	versions map[uint64]policyVersion
	marks    map[uint64]int
}

// sighting is a request as it was seen: the times are Unix.
type sighting struct {
	id                    string
	agent, tries          int
	began                 time.Duration // the first attempt's coming
	turned, last, replied time.Duration // the last but one attempt's answer, the last one's coming, and its answer
	waited                bool          // it was in hand: see giveInHand
	ended                 time.Duration // when the caller had the answer; 0: it had none
}

func unix() time.Duration { return time.Duration(time.Now().UnixNano()) }

// watchedLab is a fleet with policies whose every decision is judged.
func watchedLab(t *testing.T, agents int, keeps durability, shape func(*lab.Config)) *witness {
	t.Helper()
	t.Parallel()
	program, err := plain()
	require.NoError(t, err)
	folders := t.TempDir()
	w := &witness{
		t: t, open: map[string]*sighting{}, history: judge.NewHistory(slack), versions: map[uint64]policyVersion{},
		marks: map[uint64]int{0: markAtFirst},
	}
	set := lab.Deployment()
	set.Limits.MaxAttempts = markAtFirst
	set.Classes = append(set.Classes, balancer.Class{Name: inHand, LatencyObjective: 10 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent})
	for i := range set.Classes { // that nothing ends for want of time
		set.Classes[i].Deadline = 60 * time.Second
	}
	w.l = lab.Open(t, lab.Options{
		Agents: agents, Servers: 2 * markAtFirst, Program: program, Ops: true, Seed: 5,
		Settings: set, Answer: w.answer, Shape: func(c *lab.Config) {
			c.Operator = "[fleet]\non = true\npolicy = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
			if keeps == inFolders {
				c.Operator += fmt.Sprintf("folder = %q\n", voterFolder(t, folders, c.Agent))
			}
			c.Operator += "[storm]\non = false\n"
			if shape != nil {
				shape(c)
			}
		},
	})
	ctx := t.Context()
	require.NoError(t, w.l.StartAll(ctx))
	require.NoError(t, w.l.Wait(ctx, "leases", all(w.l, full)))
	ctx, w.stop = context.WithCancel(ctx)
	for _, a := range w.l.Agents() {
		for caller := range perAgent {
			w.wait.Go(func() { w.ask(ctx, a, caller) })
		}
		w.wait.Go(func() { w.read(ctx, a) })
	}
	t.Cleanup(func() { w.stop(); w.wait.Wait() })
	return w
}

// perAgent callers ask each agent at a time.
const perAgent = 2

// served requests are between two that are rejected, less one: servers that turn all away would be let alone.
const served = 8

// between requests of one agent: they are load, and order nothing.
const between = 15 * time.Millisecond

func (w *witness) ask(ctx context.Context, a *lab.Agent, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		w.askOne(ctx, a, "consult", fmt.Sprintf("%08x%08x", (a.Number+1)*perAgent+caller, n))
		select {
		case <-ctx.Done():
		case <-time.After(between):
		}
	}
}

var patient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (w *witness) askOne(ctx context.Context, a *lab.Agent, class, id string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Addr+"/"+class+"/book", nil)
	if err != nil {
		return
	}
	r.Host = "backend.local"
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Time-Left-Ms", "60000")
	r.Header.Set("X-Account", "acme")
	r.Header.Set("Cookie", "sid="+id)
	resp, err := patient.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	w.ended(id, outcomeOf(err))
}

// outcome tells whether a request has its response.
type outcome bool

const hasResponse outcome = true

func outcomeOf(err error) outcome { return outcome(err == nil) }

// ended notes the end of a request.
func (w *witness) ended(id string, as outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.open[id]
	if delete(w.open, id); s == nil {
		return
	}
	if as == hasResponse {
		s.ended = unix()
	}
	w.seen = append(w.seen, *s)
}

// answer turns an attempt away.
func (w *witness) answer(s lab.Step) standin.Reply {
	id := s.Request.Header.Get("X-Correlation-Id")
	if n, _ := strconv.ParseUint(id, 16, 64); n%served != 0 {
		return standin.Reply{Status: http.StatusOK}
	}
	w.mu.Lock()
	seen := w.open[id]
	if seen == nil {
		seen = &sighting{id: id, agent: s.Agent, began: unix()}
		w.open[id] = seen
	}
	seen.turned, seen.last, seen.replied = seen.replied, unix(), 0
	seen.tries++
	seen.replied = seen.last
	waits := strings.HasPrefix(s.Request.URL.Path, "/"+inHand) && seen.tries == markAtFirst-1
	if waits {
		w.waits++
		seen.waited = true
	}
	w.mu.Unlock()
	if waits {
		w.l.Mark("in hand", fmt.Sprint("n", s.Agent), id)
	}
	return standin.Reply{Status: http.StatusServiceUnavailable, Headers: "X-Unprocessed: 1\r\n"}
}

// inHand is a class with an aim so long that its requests wait for seconds before the last attempt that the settings
// permit: what an agent has in hand while something happens to it.
const inHand = "laborator"

// giveInHand gives an agent such a request, and returns once it waits.
func (w *witness) giveInHand(ctx context.Context, a *lab.Agent) {
	w.wait.Go(func() { w.askOne(ctx, a, inHand, fmt.Sprintf("%08x%08x", 0xff00+a.Number, 0)) })
	require.NoError(w.t, w.l.Wait(w.t.Context(), "a request waits", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.waits > 0
	}))
}

// document is that of a mark.
func (w *witness) document(mark int) string {
	return attemptsDocument(w.t, mark, fmt.Sprintf("[classes.%s]\nattempts = %d\n", inHand, mark))
}

// propose proposes the document of a mark at an agent, and tells what was said.
func (w *witness) propose(a *lab.Agent, mark int, args ...string) (string, error) {
	id := fmt.Sprint("mark-", mark)
	w.mu.Lock()
	w.history.ProposalMade(unix(), id)
	w.mu.Unlock()
	text, err := fleetCommand(w.t, a, append([]string{"policy", "propose", w.document(mark), "--id", id}, args...)...)
	w.mu.Lock()
	defer w.mu.Unlock()
	var version uint64
	if n, _ := fmt.Sscanf(text, "taken: version %d holds", &version); n == 1 {
		w.history.ProposalAnswered(unix(), id, version, 0) // it is said once it holds
	} else if strings.Contains(text, "not taken: ") && !strings.Contains(text, "usage") {
		w.history.ProposalAnswered(unix(), id, 0, 0)
	}
	return text, err
}

// startOver has the history begin with the version that an agent has in force: those before were not proposed by propose.
func (w *witness) startOver(a *lab.Agent) {
	s, ok := policiesAt(a)
	require.True(w.t, ok)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history, w.since = judge.NewHistory(slack), s.InForce.Number
	w.history.ProposalMade(0, s.InForce.ProposalID)
	w.history.ProposalAnswered(0, s.InForce.ProposalID, s.InForce.Number, time.Duration(s.InForce.EffectiveAt.UnixNano()))
}

// slack is how far the agents' clocks may be apart; here it is one.
const slack = 2*100*time.Millisecond + time.Millisecond

// read asks an agent at its door, again and again, what it acts on.
func (w *witness) read(ctx context.Context, a *lab.Agent) {
	for ctx.Err() == nil {
		from := unix()
		if s, ok := policiesAt(a); ok && s.Mode == policy.ModeFull.String() {
			w.mu.Lock()
			if s.Version >= w.since {
				w.history.VersionRead(from, unix(), s.Version)
			}
			w.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * between):
		}
	}
}

// policies is what an agent says of them; false: nothing.
func policiesAt(a *lab.Agent) (s policyState, ok bool) {
	err := opsClient{a.Ops}.call(http.MethodGet, "/ops/fleet/policy", "", &s)
	return s, err == nil
}

// learn takes an agent's word for what was activated; all have to say the same.
func (w *witness) learn(s policyState) {
	for _, v := range append(slices.Clone(s.Past), s.InForce) {
		if v.Number == 0 {
			continue
		}
		if known, is := w.versions[v.Number]; is {
			require.Equal(w.t, known, v)
		}
		w.versions[v.Number] = v
		text, _, _ := strings.Cut(strings.TrimPrefix(v.ProposalID, "mark-"), "-")
		mark, err := strconv.Atoi(text)
		require.NoError(w.t, err)
		w.marks[v.Number] = mark
	}
}

// asked waits until each agent that runs has had some more requests.
func (w *witness) asked() {
	w.t.Helper()
	count := func() (of [16]int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, s := range w.seen {
			of[s.agent]++
		}
		return of
	}
	before := count()
	require.NoError(w.t, w.l.Wait(w.t.Context(), "more requests", func() bool {
		now := count()
		for _, a := range w.l.Agents() {
			if a.Runs() && now[a.Number] < before[a.Number]+4*perAgent {
				return false
			}
		}
		return true
	}))
}

// actAll waits until all agents that run act on the version of a mark, by their own word.
func (w *witness) actAll(mark int) {
	w.t.Helper()
	for _, a := range w.l.Agents() {
		if !a.Runs() {
			continue
		}
		require.NoError(w.t, w.l.Wait(w.t.Context(), fmt.Sprint(a.Name, " acts on mark ", mark), func() bool {
			s, ok := policiesAt(a)
			return ok && s.Mode == policy.ModeFull.String() && (s.InForce.ProposalID == fmt.Sprint("mark-", mark) ||
				s.InForce.Number == 0 && mark == markAtFirst)
		}))
	}
	w.asked()
}

// verdict ends the requests and judges all that was seen: each version that was acted on has to have been seen.
func (w *witness) verdict() {
	w.t.Helper()
	for _, a := range w.l.Agents() {
		if s, ok := policiesAt(a); ok {
			w.learn(s)
		}
	}
	w.stop()
	w.wait.Wait()
	require.True(w.t, w.history.IsLinearizable(), "no one register shows what the callers and the doors were told")
	j := judge.New(slack, w.version(0, 0))
	numbers := []uint64{0}
	for n := range w.versions {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers[1:] {
		by := time.Duration(w.versions[n].EffectiveAt.UnixNano())
		j.VersionActivated(by, w.version(n, by))
	}
	decisions := w.decisions(numbers)
	counts := map[string]int{}
	for _, d := range decisions {
		j.DecisionMade(d)
		counts[fmt.Sprint(d.Mode, " ", d.Version)]++
	}
	w.t.Logf("%d decisions: %v, versions %v", len(decisions), counts, w.versions)
	if j.Count > 0 {
		for _, s := range w.seen {
			w.t.Logf("agent %d, caller %s: %d attempts from %v, the last one at %v, ended %v", s.agent, s.id, s.tries, s.began, s.last-s.began,
				s.ended-s.began)
		}
	}
	require.Empty(w.t, j.Violations)
	for i, n := range numbers {
		if slices.ContainsFunc(numbers[i+1:], func(later uint64) bool { return w.marks[later] == w.marks[n] }) {
			continue // they can't be told apart
		}
		require.NotZero(w.t, counts[fmt.Sprint(policy.ModeFull, " ", n)], "version %d was never seen", n)
	}
}

func (w *witness) version(n uint64, by time.Duration) judge.Version {
	own := policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Classes: []balancer.Class{{Name: "consult"}, {Name: inHand}},
		Limits:  balancer.Limits{MaxAttempts: markAtFirst, Hedging: true},
	}}
	text := "format = 1\n"
	if n > 0 {
		text += fmt.Sprintf("[classes.consult]\nattempts = %d\n[classes.%s]\nattempts = %[1]d\n", w.marks[n], inHand)
	}
	d, err := policy.ParseDocument("mark", []byte(text))
	require.NoError(w.t, err)
	effect, err := d.Effect(own)
	require.NoError(w.t, err)
	return judge.Version{Number: n, EffectiveAt: by, Effect: effect, Floor: d.Floor().Effect(own)}
}

// atOnce is how soon after its last attempt a request ends whose attempts are used up. One that is given up for want of
// time or room has waited before.
const atOnce = 50 * time.Millisecond

// decisions are what the sightings prove. A request's last attempt shows that as many were allowed when it was decided on;
// that there was no further one shows what was acted on only where the request before or after it had as many: else
// it may be that what was acted on has changed in its middle, and it counts for the newest version that allows it.
func (w *witness) decisions(numbers []uint64) (out []judge.Decision) {
	of := map[string][]sighting{} // by caller, one request after the other
	for _, s := range w.seen {
		of[s.id[:8]] = append(of[s.id[:8]], s)
	}
	for _, seen := range of {
		for i, s := range seen {
			d := judge.Decision{Agent: s.agent, At: s.turned, LatestAt: s.last}
			if s.tries <= markFloor {
				d.Mode, d.At = policy.ModeFloor, s.last
				if s.tries < markFloor {
					d.Mode = policy.ModeBottom
				}
				out = append(out, d)
				continue
			}
			alike := func(k int) bool {
				return k >= 0 && k < len(seen) && seen[k].tries == s.tries && seen[k].ended > 0
			}
			sure := s.ended > 0 && s.ended-s.replied < atOnce && (alike(i-1) || alike(i+1))
			found := false
			for _, n := range numbers { // of several with one mark, the newest that may have held by then
				held := n == 0 || time.Duration(w.versions[n].EffectiveAt.UnixNano()) <= s.turned
				if mark := w.marks[n]; sure && mark == s.tries && (held || !found) || !sure && mark >= s.tries && held {
					d.Version, found = n, true
				}
			}
			require.True(w.t, found, "agent %d made %d attempts, of which no version has so many: %+v", s.agent, s.tries, s)
			d.Mode = policy.ModeFull
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b judge.Decision) int { return cmp.Compare(a.At, b.At) })
	return out
}
