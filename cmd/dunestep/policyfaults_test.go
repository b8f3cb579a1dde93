package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/policy"
	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/scenario"
)

// voterFolder is where a voter keeps the log, over all runs of a test.
func voterFolder(t *testing.T, of string, agent int) string {
	folder := filepath.Join(of, fmt.Sprint(agent))
	require.NoError(t, os.MkdirAll(folder, 0o700))
	return folder
}

// With nothing wrong, two changes: the judge sees each version at the agents.
func TestPolicyVersionsObserved(t *testing.T) {
	w := newObservedLab(t, 5, inMemory, nil)
	for _, mark := range []int{4, 3} {
		text, err := w.propose(w.lab.Agent(mark%5), mark)
		require.NoError(t, err, text)
		w.awaitInForce(mark)
	}
	w.checkDecisions()
	require.Empty(t, w.lab.EndAll())
}

// later is what a command says in the end.
type commandResult struct {
	text string
	err  error
}

// start proposes in the background.
func (w *policyObserver) proposeInBackground(a *lab.Agent, mark int, args ...string) <-chan commandResult {
	done := make(chan commandResult, 1)
	w.wait.Go(func() {
		text, err := w.propose(a, mark, args...)
		done <- commandResult{text, err}
	})
	return done
}

// settled makes the same call again until it is known what became of it, and then once more: it changes once.
func (w *policyObserver) awaitOutcome(a *lab.Agent, mark int) (taken bool) {
	w.t.Helper()
	text := ""
	require.NoError(w.t, w.lab.Wait(w.t.Context(), "the call is settled", func() bool {
		var err error
		text, err = w.propose(a, mark)
		taken = err == nil
		return taken || strings.Contains(text, "not taken: ")
	}))
	again, _ := w.propose(a, mark)
	require.Equal(w.t, text, again)
	return taken
}

// opened waits until an agent knows of a change that is open.
func (w *policyObserver) awaitOpenChange(a *lab.Agent) {
	w.t.Helper()
	require.NoError(w.t, w.lab.Wait(w.t.Context(), "a change is open", func() bool {
		s, ok := policiesAt(a)
		return ok && s.Open != nil
	}))
}

// acceptance tells whether a proposal was accepted.
type acceptance bool

const (
	accepted acceptance = true
	rejected acceptance = false
)

// end has whatever became of a mark hold at all, and judges.
func (w *policyObserver) finish(mark int, as acceptance) {
	w.t.Helper()
	if as == rejected {
		mark = initialMaxAttempts
	}
	w.awaitInForce(mark)
	w.checkDecisions()
	require.Empty(w.t, w.lab.EndAll())
}

// The leader is killed at a step of a change: once it is proposed and only voters have answered, as the others stand still;
// once all but one have; once it is activated and an agent knows. It ends either way, at all alike, and the call that is made
// again says which.
func TestPolicyLeaderKilled(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]struct {
		still     []int // agents that stand still meanwhile
		activated bool
	}{"proposed": {[]int{3, 4}, false}, "half answered": {[]int{4}, false}, "activated": {[]int{4}, true}} {
		t.Run(name, func(t *testing.T) {
			w := newObservedLab(t, 5, inMemory, nil)
			led := leader(w.lab)
			require.NotNil(t, led)
			other := w.lab.Agent((led.Number + 1) % 3)
			for _, n := range step.still {
				w.lab.Agent(n).Pause()
			}
			said := w.proposeInBackground(other, 4)
			if w.awaitOpenChange(other); step.activated {
				require.NoError(t, w.lab.Wait(t.Context(), "it is activated", func() bool {
					s, ok := policiesAt(w.lab.Agent(3))
					return ok && s.InForce.Number > 0
				}))
			}
			led.Kill()
			for _, n := range step.still {
				w.lab.Agent(n).Resume()
			}
			first := <-said
			require.NoError(t, led.Start(t.Context()))
			taken := w.awaitOutcome(other, 4)
			require.True(t, taken || !step.activated, first.text)
			w.finish(4, acceptance(taken))
		})
	}
}

// Of three voters with folders two are killed: nothing is agreed, and agents come to the floor and serve. When they are back
// the call is settled, and the next one holds.
func TestPolicyVotersKilled(t *testing.T) {
	w := newObservedLab(t, 5, inFolders, nil)
	ctx := t.Context()
	w.lab.Agent(0).Kill()
	w.lab.Agent(2).Kill()
	require.NoError(t, w.lab.Wait(ctx, "the floor", func() bool {
		return statusAt(w.lab.Agent(3)).Standing == "floor" && statusAt(w.lab.Agent(1)).Standing == "floor"
	}))
	text, err := w.propose(w.lab.Agent(3), 4, "--wait", "1s")
	require.ErrorContains(t, err, "exit status", text)
	require.NoError(t, w.lab.StartAll(ctx))
	require.NoError(t, w.lab.Wait(ctx, "leases again", all(w.lab, full)))
	if taken := w.awaitOutcome(w.lab.Agent(3), 4); taken {
		w.awaitInForce(4)
	}
	text, err = w.propose(w.lab.Agent(0), 3)
	require.NoError(t, err, text)
	w.finish(3, accepted)
}

// All processes are killed at once. With folders the policy that held is the first that they act on again; without, the log
// begins anew and the settings hold.
func TestPolicyAfterAllAgentsKilled(t *testing.T) {
	t.Parallel()
	for _, keeps := range []durability{inFolders, inMemory} {
		t.Run(fmt.Sprint("folders ", keeps), func(t *testing.T) {
			w := newObservedLab(t, 5, keeps, nil)
			text, err := w.propose(w.lab.Agent(3), 4)
			require.NoError(t, err, text)
			w.awaitInForce(4)
			epoch := statusAt(w.lab.Agent(3)).Epoch
			for _, a := range w.lab.Agents() {
				a.Kill()
			}
			require.NoError(t, w.lab.StartAll(t.Context()))
			require.NoError(t, w.lab.Wait(t.Context(), "leases again", all(w.lab, full)))
			if keeps == inFolders {
				w.finish(4, accepted)
				return
			}
			w.awaitInForce(initialMaxAttempts)
			require.Greater(t, statusAt(w.lab.Agent(3)).Epoch, epoch)
			require.Empty(t, w.lab.EndAll())
		})
	}
}

// All agents are restarted, one after the other, while two changes are made; voters keep nothing.
func TestPolicyDuringRollingRestart(t *testing.T) {
	w := newObservedLab(t, 7, inMemory, nil)
	said := w.proposeInBackground(w.lab.Agent(6), 4)
	for _, a := range w.lab.Agents() {
		if a.Number == 4 { // half way
			first := <-said
			require.True(t, w.awaitOutcome(w.lab.Agent(0), 4), first.text)
			said = w.proposeInBackground(w.lab.Agent(0), 3)
		}
		a.Drain()
		require.NoError(t, w.lab.Wait(t.Context(), a.Name+" has ended", func() bool { return !a.Runs() }))
		require.NoError(t, a.Start(t.Context()))
	}
	second := <-said
	require.True(t, w.awaitOutcome(w.lab.Agent(1), 3), second.text)
	w.finish(3, accepted)
}

// An agent stands still across an activation, with a request in hand whose next attempt is due meanwhile and permitted by
// the former version alone: what it does when it wakes goes by the floor or by the new version.
func TestPolicyAfterPauseWithPendingRequest(t *testing.T) {
	w := newObservedLab(t, 5, inMemory, nil)
	paused := w.lab.Agent(4)
	w.startPendingRequest(t.Context(), paused)
	paused.Pause()
	stood := sinceEpoch()
	heal, err := w.lab.Spoil(mishap.Fault{To: []int{4}, Way: mishap.Way{Cut: true}}) // it hears of nothing as it wakes
	require.NoError(t, err)
	text, err := w.propose(w.lab.Agent(1), 4)
	require.NoError(t, err, text)
	for _, a := range w.lab.Agents()[:4] {
		s, ok := policiesAt(a)
		require.True(t, ok && s.InForce.Number == 1)
	}
	paused.Resume()
	w.awaitMoreRequests()
	heal()
	w.finish(4, accepted)
	i := slices.IndexFunc(w.finished, func(s observedRequest) bool { return s.wasPending })
	require.GreaterOrEqual(t, i, 0)
	s := w.finished[i]
	t.Logf("%d attempts, the first one at %v, the last one at %v, ended at %v from when it stood still", s.attempts, s.firstAttemptAt-stood,
		s.lastAttemptAt-stood, s.endedAt-stood)
	require.False(t, s.attempts == initialMaxAttempts && s.lastAttemptAt > stood, "the attempt that the former version permits")
}

// With three datagrams in ten lost, two doubled and two held back by up to two seconds, changes end and hold.
func TestPolicyUnderDatagramLoss(t *testing.T) {
	w := newObservedLab(t, 5, inMemory, nil)
	_, err := w.lab.Spoil(mishap.Fault{Way: mishap.Way{
		Loss: 0.3, Double: 0.2, Reorder: 0.2,
		Held: scenario.TimeSpan{High: 2 * time.Second},
	}})
	require.NoError(t, err)
	taken := 0
	for _, mark := range []int{4, 3} {
		if w.awaitOutcome(w.lab.Agent(mark), mark) {
			taken = mark
			w.awaitInForce(mark)
		}
	}
	require.NotZero(t, taken, "neither of the two")
	w.finish(taken, accepted)
}

// Of two changes that are open at once the first one holds and the other is told why it does not.
func TestPolicyConcurrentProposals(t *testing.T) {
	w := newObservedLab(t, 5, inMemory, nil)
	w.lab.Agent(4).Pause() // so that the first stays open until its lease is over
	said := w.proposeInBackground(w.lab.Agent(0), 4)
	w.awaitOpenChange(w.lab.Agent(1))
	text, err := w.propose(w.lab.Agent(1), 3)
	require.Error(t, err, text)
	require.Contains(t, text, "not taken: another change, version 1, is open")
	w.lab.Agent(4).Resume()
	first := <-said
	require.NoError(t, first.err, first.text)
	w.finish(4, accepted)
}

// The way from the leader to all others is cut, or the way back, while a change is open: another one leads, and it ends.
func TestPolicyOneWayPartition(t *testing.T) {
	t.Parallel()
	for _, back := range []bool{false, true} {
		t.Run(fmt.Sprint("back ", back), func(t *testing.T) {
			w := newObservedLab(t, 5, inMemory, nil)
			led := leader(w.lab)
			require.NotNil(t, led)
			other := w.lab.Agent((led.Number + 1) % 3)
			w.lab.Agent(4).Pause()
			said := w.proposeInBackground(other, 4)
			w.awaitOpenChange(other)
			f := mishap.Fault{From: []int{led.Number}, Way: mishap.Way{Cut: true}}
			if back {
				f = mishap.Fault{To: []int{led.Number}, Way: mishap.Way{Cut: true}}
			}
			heal, err := w.lab.Spoil(f)
			require.NoError(t, err)
			w.lab.Agent(4).Resume()
			require.NoError(t, w.lab.Wait(t.Context(), "another one leads", func() bool {
				for _, a := range w.lab.Agents()[:3] {
					if s := statusAt(a); a != led && s.Voter != nil && s.Voter.Phase == "leading" {
						return true
					}
				}
				return false
			}))
			first := <-said
			heal()
			t.Log(first.text)
			w.finish(4, acceptance(w.awaitOutcome(other, 4)))
		})
	}
}

// Two of five are cut off with one voter: what is proposed among them is agreed nowhere, what the others agree on holds
// there, and at all once they are back; those that are cut off act within the floor by then.
func TestPolicyMinorityPartition(t *testing.T) {
	w := newObservedLab(t, 5, inMemory, nil)
	apart, rest := []int{0, 3}, []int{1, 2, 4}
	var heal []func()
	for _, f := range []mishap.Fault{
		{From: apart, To: rest, Way: mishap.Way{Cut: true}},
		{From: rest, To: apart, Way: mishap.Way{Cut: true}},
	} {
		end, err := w.lab.Spoil(f)
		require.NoError(t, err)
		heal = append(heal, end)
	}
	said := w.proposeInBackground(w.lab.Agent(3), 4, "--wait", "4s")
	require.True(t, w.awaitOutcome(w.lab.Agent(4), 3))
	for _, n := range rest {
		s, ok := policiesAt(w.lab.Agent(n))
		require.True(t, ok && s.InForce.ProposalID == "attempts-3", "%+v", s)
	}
	w.awaitMoreRequests()
	for _, end := range heal {
		end()
	}
	first := <-said
	require.Error(t, first.err, first.text)
	if w.awaitOutcome(w.lab.Agent(3), 4) { // asked again, it is made from what is in force by now
		w.finish(4, accepted)
		return
	}
	w.finish(3, accepted)
}

// damaged does something to a voter's store.
var storeDamage = map[string]func([]byte) []byte{
	"torn":         func(b []byte) []byte { return b[:len(b)-len(b)/3] },
	"other build":  func(b []byte) []byte { return append([]byte("fleet of an older build"), b[23:]...) },
	"not a record": func(b []byte) []byte { clear(b[40:300]); return b },
}

// A voter's store is torn, or not of this build: it starts, serves and follows, goes by what is agreed and says what is
// wrong; the others go on. With its folder emptied it is a voter again, a new one.
func TestPolicyDamagedVoterStore(t *testing.T) {
	t.Parallel()
	for name, damage := range storeDamage {
		t.Run(name, func(t *testing.T) {
			folder := ""
			w := newObservedLab(t, 5, inFolders, func(c *lab.Config) {
				if _, rest, is := strings.Cut(c.Operator, "folder = "); is && c.Agent == 1 {
					_, err := fmt.Sscanf(rest, "%q", &folder)
					require.NoError(t, err)
				}
			})
			ctx := t.Context()
			text, err := w.propose(w.lab.Agent(3), 4)
			require.NoError(t, err, text)
			hurt := w.lab.Agent(1)
			hurt.Kill()
			files, err := filepath.Glob(filepath.Join(folder, "*.log"))
			require.NoError(t, err)
			require.Len(t, files, 1)
			b, err := os.ReadFile(files[0])
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(files[0], damage(b), 0o600))
			require.NoError(t, hurt.Start(ctx))
			require.True(t, hurt.Said("the voter's store cannot be used"))
			require.Nil(t, statusAt(hurt).Voter)
			require.True(t, w.awaitOutcome(hurt, 3))
			w.awaitInForce(3)
			hurt.Kill()
			require.NoError(t, os.RemoveAll(folder))
			require.NoError(t, hurt.Start(ctx))
			require.NoError(t, w.lab.Wait(ctx, "it votes again", func() bool {
				v := statusAt(hurt).Voter
				return v != nil && (v.Phase == "voting" || v.Phase == "leading")
			}))
			w.finish(3, accepted)
		})
	}
}

// With a third of the agents gone, those that are there divide by how many they are, and by all of them again once they are
// back; also one that is cut off does, which hears nobody. Where no switch is on nothing is told.
func TestFleetSize(t *testing.T) {
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	l := lab.Open(t, lab.Options{Agents: 6, Program: program, Ops: true, Seed: 3, Shape: func(c *lab.Config) {
		c.Operator = "[fleet]\non = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
		if c.Agent != 1 {
			c.Operator += "here_cold = true\nhere_shares = true\nhere_storm = true\n"
		}
	}})
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	a := l.Agent(0)
	says := func(text string) {
		t.Helper()
		logged := 0
		require.NoError(t, l.Wait(ctx, text, func() bool { return a.SaidSince(logged, text) }))
		logged = a.Logged()
	}
	says("there=6 counted=6")
	for _, n := range []int{4, 5} {
		l.Agent(n).Drain()
	}
	says("there=4 counted=4")
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "all are back", func() bool { return statusAt(a).Present == 6 }))
	heal, err := l.Spoil(mishap.Fault{To: []int{0}, Way: mishap.Way{Cut: true}})
	require.NoError(t, err)
	says("there=0 counted=6")
	heal()
	require.False(t, l.Agent(1).Said("number of present agents changed"))
	require.Empty(t, l.EndAll())
}

// wrapWithSmallDisk has a program run with a folder of its own on a disk of 1 MB, which is gone with it; false: this machine does not
// let one be made.
func wrapWithSmallDisk(t *testing.T, program, folder string) (wrapped string, ok bool) {
	script := filepath.Join(t.TempDir(), "small")
	text := fmt.Sprintf("#!/bin/sh\nexec unshare -rm sh -c 'mount -t tmpfs -o size=1m none %s && exec \"$0\" \"$@\"' \"%s\" \"$@\"\n",
		folder, program)
	require.NoError(t, os.WriteFile(script, []byte(text), 0o700))
	return script, exec.Command("unshare", "-rm", "mount", "-t", "tmpfs", "-o", "size=1m", "none", folder).Run() == nil
}

// The leader's disk is full: it serves on, a change that is made then holds at all, itself included, and its log says what is
// wrong. Started with a new disk it is a voter again.
func TestPolicyDiskFull(t *testing.T) {
	folders := t.TempDir()
	if _, ok := wrapWithSmallDisk(t, "true", voterFolder(t, folders, 0)); !ok {
		t.Skip("no disk of a size can be made here")
	}
	w := newObservedLab(t, 5, inMemory, func(c *lab.Config) {
		if c.Agent < 3 {
			folder := voterFolder(t, folders, c.Agent)
			c.Program, _ = wrapWithSmallDisk(t, c.Program, folder)
			c.Operator = strings.Replace(c.Operator, "[storm]", fmt.Sprintf("folder = %q\n[storm]", folder), 1)
		}
	})
	led := leader(w.lab)
	require.NotNil(t, led)
	filler, err := os.Create(fmt.Sprintf("/proc/%d/root%s/filler", led.Pid(), voterFolder(t, folders, led.Number)))
	require.NoError(t, err)
	for err == nil {
		_, err = filler.Write(make([]byte, 4096))
	}
	require.ErrorIs(t, err, syscall.ENOSPC)
	require.NoError(t, filler.Close())
	// Each is a record of the log, also where another one is open and it is refused.
	much := attemptsDocument(t, 0, "# "+strings.Repeat("much to write ", 900)+"\n")
	text, err := os.ReadFile(much)
	require.NoError(t, err)
	for n := 0; !led.Said("the voter's log cannot be written"); n++ {
		require.Less(t, n, 200)
		var o policyOutcome
		path := fmt.Sprintf("/ops/fleet/policy/propose?id=mark-%d-%d&within_ms=500", initialMaxAttempts, n)
		require.NoError(t, opsClient{w.lab.Agent(3 + n%2).Ops}.call(http.MethodPost, path, string(text), &o))
		require.NoError(t, w.lab.Wait(t.Context(), "it is in the log", func() bool {
			callErr := opsClient{w.lab.Agent(3 + n%2).Ops}.call(http.MethodGet,
				fmt.Sprintf("/ops/fleet/policy/outcome?id=mark-%d-%d", initialMaxAttempts, n), "", &o)
			s, ok := policiesAt(w.lab.Agent(3 + n%2))
			return callErr == nil && o.Status != policy.StatusUnknown.String() || ok && s.Open != nil && s.Open.ProposalID == o.ID
		}))
	}
	require.NoError(t, w.lab.Wait(t.Context(), "the last one has taken hold", func() bool {
		s, ok := policiesAt(w.lab.Agent(3))
		return ok && s.Open == nil && time.Since(s.InForce.EffectiveAt) > 0
	}))
	w.resetHistory(w.lab.Agent(3))
	said, err := w.propose(w.lab.Agent(3), 4)
	require.NoError(t, err, said)
	w.awaitInForce(4)
	led.Kill()
	require.NoError(t, led.Start(t.Context()))
	require.NoError(t, w.lab.Wait(t.Context(), "it votes again", func() bool {
		v := statusAt(led).Voter
		return v != nil && (v.Phase == "voting" || v.Phase == "leading")
	}))
	w.finish(4, accepted)
}

// commitWithoutWindows is a commit whose build has policies and knows neither contracts nor windows.
const commitWithoutWindows = "455e822"

// Half of the agents, a voter among them, are of an earlier build, the others have maintenance windows on: they agree on
// what both can read, each decision judged, and what the earlier build can't read holds nowhere, with its reason.
// Long, and from a repository alone: LONG_TESTS.
func TestPolicyEarlierBuild(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	earlier := buildOfCommit(t, commitWithoutWindows)
	w := newObservedLab(t, 6, inMemory, func(c *lab.Config) {
		if c.Agent%2 == 1 {
			c.Program = earlier
		} else {
			c.Operator = strings.Replace(c.Operator, "policy = true\n", "policy = true\nwindows = true\n", 1)
		}
	})
	for _, mark := range []int{4, 3} {
		text, err := w.propose(w.lab.Agent(mark), mark)
		require.NoError(t, err, text)
		w.awaitInForce(mark)
	}
	path := attemptsDocument(t, 4, "[contracts.acme]\nzone = \"Europe/Bucharest\"\nhours = [\"mon-sun 20:00-06:00\"]\n")
	text, err := fleetCommand(t, w.lab.Agent(0), "policy", "propose", path)
	require.Error(t, err, text)
	require.Contains(t, text, "not taken: ")
	require.Contains(t, text, "unknown")
	w.awaitInForce(3)
	led := leader(w.lab)
	led.Kill()
	require.NoError(t, led.Start(t.Context()))
	w.finish(3, accepted)
}
