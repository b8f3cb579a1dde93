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

// voterFolder creates and returns the folder in which a voter stores the log across its restarts in a test.
func voterFolder(t *testing.T, of string, agent int) string {
	folder := filepath.Join(of, fmt.Sprint(agent))
	require.NoError(t, os.MkdirAll(folder, 0o700))
	return folder
}

// Without faults, the judge observes each of two versions at the agents.
func TestPolicyVersionsObserved(t *testing.T) {
	w := newPolicyObserver(t, 5, inMemory, nil)
	for _, attempts := range []int{4, 3} {
		output, err := w.propose(w.lab.Agent(attempts%5), attempts)
		require.NoError(t, err, output)
		w.awaitInForce(attempts)
	}
	w.checkDecisions()
	require.Empty(t, w.lab.EndAll())
}

// commandResult is a command's output, and its error.
type commandResult struct {
	text string
	err  error
}

// proposeInBackground is propose in a goroutine. The channel receives its result.
func (w *policyObserver) proposeInBackground(a *lab.Agent, attempts int, args ...string) <-chan commandResult {
	done := make(chan commandResult, 1)
	w.wait.Go(func() {
		output, err := w.propose(a, attempts, args...)
		done <- commandResult{output, err}
	})
	return done
}

// awaitOutcome repeats a proposal until its outcome is known, and reports whether it was accepted. Another repetition must
// get the same answer, as a proposal takes effect at most once.
func (w *policyObserver) awaitOutcome(a *lab.Agent, attempts int) (isAccepted bool) {
	w.t.Helper()
	output := ""
	require.NoError(w.t, w.lab.Wait(w.t.Context(), "the proposal's outcome is known", func() bool {
		var err error
		output, err = w.propose(a, attempts)
		isAccepted = err == nil
		return isAccepted || strings.Contains(output, "not taken: ")
	}))
	repeated, _ := w.propose(a, attempts)
	require.Equal(w.t, output, repeated)
	return isAccepted
}

// awaitOpenChange waits until an agent knows of an open change.
func (w *policyObserver) awaitOpenChange(a *lab.Agent) {
	w.t.Helper()
	require.NoError(w.t, w.lab.Wait(w.t.Context(), "a change is open", func() bool {
		s, ok := policyStateAt(a)
		return ok && s.Open != nil
	}))
}

// acceptance reports whether a proposal was accepted.
type acceptance bool

const (
	accepted acceptance = true
	rejected acceptance = false
)

// finish waits until all agents apply the limit of attempts of a proposal, or the initial one if it was rejected, and
// judges the observed decisions.
func (w *policyObserver) finish(attempts int, outcome acceptance) {
	w.t.Helper()
	if outcome == rejected {
		attempts = initialMaxAttempts
	}
	w.awaitInForce(attempts)
	w.checkDecisions()
	require.Empty(w.t, w.lab.EndAll())
}

// The leader is killed during a change: after the proposal, while only voters have answered because the other agents are
// paused; after all agents but one have answered; or after the activation, once an agent knows of it. The change is either
// accepted or rejected, with the same outcome at all agents, and a repeated proposal reports which.
func TestPolicyLeaderKilled(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]struct {
		paused    []int // agents that are paused meanwhile
		activated bool
	}{"proposed": {[]int{3, 4}, false}, "answered by all but one": {[]int{4}, false}, "activated": {[]int{4}, true}} {
		t.Run(name, func(t *testing.T) {
			w := newPolicyObserver(t, 5, inMemory, nil)
			leading := leader(w.lab)
			require.NotNil(t, leading)
			other := w.lab.Agent((leading.Number + 1) % 3)
			for _, n := range step.paused {
				w.lab.Agent(n).Pause()
			}
			result := w.proposeInBackground(other, 4)
			if w.awaitOpenChange(other); step.activated {
				require.NoError(t, w.lab.Wait(t.Context(), "the change is activated", func() bool {
					s, ok := policyStateAt(w.lab.Agent(3))
					return ok && s.InForce.Number > 0
				}))
			}
			leading.Kill()
			for _, n := range step.paused {
				w.lab.Agent(n).Resume()
			}
			proposal := <-result
			require.NoError(t, leading.Start(t.Context()))
			isAccepted := w.awaitOutcome(other, 4)
			require.True(t, isAccepted || !step.activated, proposal.text)
			w.finish(4, acceptance(isAccepted))
		})
	}
}

// Two of three voters with folders are killed: nothing can be agreed on, and the agents apply the floor and serve requests.
// After the restart the outcome of the pending proposal becomes known, and the next one is accepted.
func TestPolicyVotersKilled(t *testing.T) {
	w := newPolicyObserver(t, 5, inFolders, nil)
	ctx := t.Context()
	w.lab.Agent(0).Kill()
	w.lab.Agent(2).Kill()
	require.NoError(t, w.lab.Wait(ctx, "agents apply the floor", func() bool {
		return statusAt(w.lab.Agent(3)).Standing == "floor" && statusAt(w.lab.Agent(1)).Standing == "floor"
	}))
	output, err := w.propose(w.lab.Agent(3), 4, "--wait", "1s")
	require.ErrorContains(t, err, "exit status", output)
	require.NoError(t, w.lab.StartAll(ctx))
	require.NoError(t, w.lab.Wait(ctx, "leases again", allAgents(w.lab, hasFullStanding)))
	if isAccepted := w.awaitOutcome(w.lab.Agent(3), 4); isAccepted {
		w.awaitInForce(4)
	}
	output, err = w.propose(w.lab.Agent(0), 3)
	require.NoError(t, err, output)
	w.finish(3, accepted)
}

// All agents are killed at once. With folders, they apply the same policy after the restart. Without, the log starts empty
// with a higher epoch and the settings apply.
func TestPolicyAfterAllAgentsKilled(t *testing.T) {
	t.Parallel()
	for _, storage := range []durability{inFolders, inMemory} {
		t.Run(fmt.Sprint("folders ", storage), func(t *testing.T) {
			w := newPolicyObserver(t, 5, storage, nil)
			output, err := w.propose(w.lab.Agent(3), 4)
			require.NoError(t, err, output)
			w.awaitInForce(4)
			epoch := statusAt(w.lab.Agent(3)).Epoch
			for _, a := range w.lab.Agents() {
				a.Kill()
			}
			require.NoError(t, w.lab.StartAll(t.Context()))
			require.NoError(t, w.lab.Wait(t.Context(), "leases again", allAgents(w.lab, hasFullStanding)))
			if storage == inFolders {
				w.finish(4, accepted)
				return
			}
			w.awaitInForce(initialMaxAttempts)
			require.Greater(t, statusAt(w.lab.Agent(3)).Epoch, epoch)
			require.Empty(t, w.lab.EndAll())
		})
	}
}

// All agents are restarted, one after the other, while two changes are agreed on. Voters store nothing.
func TestPolicyDuringRollingRestart(t *testing.T) {
	w := newPolicyObserver(t, 7, inMemory, nil)
	result := w.proposeInBackground(w.lab.Agent(6), 4)
	for _, a := range w.lab.Agents() {
		if a.Number == 4 { // halfway
			first := <-result
			require.True(t, w.awaitOutcome(w.lab.Agent(0), 4), first.text)
			result = w.proposeInBackground(w.lab.Agent(0), 3)
		}
		a.Drain()
		require.NoError(t, w.lab.Wait(t.Context(), a.Name+" has ended", func() bool { return !a.IsRunning() }))
		require.NoError(t, a.Start(t.Context()))
	}
	second := <-result
	require.True(t, w.awaitOutcome(w.lab.Agent(1), 3), second.text)
	w.finish(3, accepted)
}

// An agent is paused across an activation. Its pending request's next attempt falls due meanwhile, and only the previous
// version permits it. After the pause the agent must apply the floor or the new version.
func TestPolicyAfterPauseWithPendingRequest(t *testing.T) {
	w := newPolicyObserver(t, 5, inMemory, nil)
	paused := w.lab.Agent(4)
	w.startPendingRequest(t.Context(), paused)
	paused.Pause()
	pausedAt := sinceEpoch()
	heal, err := w.lab.InjectNetworkFault(mishap.Fault{To: []int{4}, Impairment: mishap.Impairment{Cut: true}}) // it receives nothing after the pause
	require.NoError(t, err)
	output, err := w.propose(w.lab.Agent(1), 4)
	require.NoError(t, err, output)
	for _, a := range w.lab.Agents()[:4] {
		s, ok := policyStateAt(a)
		require.True(t, ok && s.InForce.Number == 1)
	}
	paused.Resume()
	w.awaitMoreRequests()
	heal()
	w.finish(4, accepted)
	i := slices.IndexFunc(w.finished, func(s observedRequest) bool { return s.wasPending })
	require.GreaterOrEqual(t, i, 0)
	s := w.finished[i]
	t.Logf("%d attempts, the first at %v, the last at %v, end at %v after the pause began", s.attempts, s.firstAttemptAt-pausedAt,
		s.lastAttemptAt-pausedAt, s.endedAt-pausedAt)
	require.False(t, s.attempts == initialMaxAttempts && s.lastAttemptAt > pausedAt, "an attempt that only the previous version permits")
}

// Proposals are decided and applied while 30 % of the datagrams are lost, 20 % duplicated and 20 % delayed by up to 2 s.
func TestPolicyUnderDatagramLoss(t *testing.T) {
	w := newPolicyObserver(t, 5, inMemory, nil)
	_, err := w.lab.InjectNetworkFault(mishap.Fault{Impairment: mishap.Impairment{
		Loss: 0.3, Duplicate: 0.2, Reorder: 0.2,
		HoldTime: scenario.TimeSpan{High: 2 * time.Second},
	}})
	require.NoError(t, err)
	lastAccepted := 0
	for _, attempts := range []int{4, 3} {
		if w.awaitOutcome(w.lab.Agent(attempts), attempts) {
			lastAccepted = attempts
			w.awaitInForce(attempts)
		}
	}
	require.NotZero(t, lastAccepted, "one of the two proposals must be accepted")
	w.finish(lastAccepted, accepted)
}

// Of two concurrent proposals the first is accepted, and the other is rejected with the reason.
func TestPolicyConcurrentProposals(t *testing.T) {
	w := newPolicyObserver(t, 5, inMemory, nil)
	w.lab.Agent(4).Pause() // keeps the first change open until the agent's lease expires
	result := w.proposeInBackground(w.lab.Agent(0), 4)
	w.awaitOpenChange(w.lab.Agent(1))
	output, err := w.propose(w.lab.Agent(1), 3)
	require.Error(t, err, output)
	require.Contains(t, output, "not taken: another change, version 1, is open")
	w.lab.Agent(4).Resume()
	first := <-result
	require.NoError(t, first.err, first.text)
	w.finish(4, accepted)
}

// The datagrams from the leader, or those to it, are lost while a change is open. Another agent becomes leader, and the
// change is decided.
func TestPolicyOneWayPartition(t *testing.T) {
	t.Parallel()
	for _, toLeader := range []bool{false, true} {
		t.Run(fmt.Sprint("to leader ", toLeader), func(t *testing.T) {
			w := newPolicyObserver(t, 5, inMemory, nil)
			leading := leader(w.lab)
			require.NotNil(t, leading)
			other := w.lab.Agent((leading.Number + 1) % 3)
			w.lab.Agent(4).Pause()
			result := w.proposeInBackground(other, 4)
			w.awaitOpenChange(other)
			fault := mishap.Fault{From: []int{leading.Number}, Impairment: mishap.Impairment{Cut: true}}
			if toLeader {
				fault = mishap.Fault{To: []int{leading.Number}, Impairment: mishap.Impairment{Cut: true}}
			}
			heal, err := w.lab.InjectNetworkFault(fault)
			require.NoError(t, err)
			w.lab.Agent(4).Resume()
			require.NoError(t, w.lab.Wait(t.Context(), "another agent leads", func() bool {
				for _, a := range w.lab.Agents()[:3] {
					if s := statusAt(a); a != leading && s.Voter != nil && s.Voter.Phase == "leading" {
						return true
					}
				}
				return false
			}))
			first := <-result
			heal()
			t.Log(first.text)
			w.finish(4, acceptance(w.awaitOutcome(other, 4)))
		})
	}
}

// Two of five agents, one of them a voter, are cut off. What is proposed among them is not accepted. What the others agree
// on applies there, and at all agents once they are connected again. Until then the two apply the floor.
func TestPolicyMinorityPartition(t *testing.T) {
	w := newPolicyObserver(t, 5, inMemory, nil)
	minority, majority := []int{0, 3}, []int{1, 2, 4}
	var heal []func()
	for _, fault := range []mishap.Fault{
		{From: minority, To: majority, Impairment: mishap.Impairment{Cut: true}},
		{From: majority, To: minority, Impairment: mishap.Impairment{Cut: true}},
	} {
		end, err := w.lab.InjectNetworkFault(fault)
		require.NoError(t, err)
		heal = append(heal, end)
	}
	result := w.proposeInBackground(w.lab.Agent(3), 4, "--wait", "4s")
	require.True(t, w.awaitOutcome(w.lab.Agent(4), 3))
	for _, n := range majority {
		s, ok := policyStateAt(w.lab.Agent(n))
		require.True(t, ok && s.InForce.ProposalID == "attempts-3", "%+v", s)
	}
	w.awaitMoreRequests()
	for _, end := range heal {
		end()
	}
	first := <-result
	require.Error(t, first.err, first.text)
	if w.awaitOutcome(w.lab.Agent(3), 4) { // repeated, it is based on the version that is in force now
		w.finish(4, accepted)
		return
	}
	w.finish(3, accepted)
}

// storeDamage has functions that damage the contents of a voter's store.
var storeDamage = map[string]func([]byte) []byte{
	"truncated":    func(b []byte) []byte { return b[:len(b)-len(b)/3] },
	"other build":  func(b []byte) []byte { return append([]byte("fleet of an older build"), b[23:]...) },
	"not a record": func(b []byte) []byte { clear(b[40:300]); return b },
}

// A voter whose store is truncated, damaged or of another build starts, serves requests, applies what is agreed on and
// logs the error. The other voters continue. With its folder removed it votes again, as a new voter.
func TestPolicyDamagedVoterStore(t *testing.T) {
	t.Parallel()
	for name, damage := range storeDamage {
		t.Run(name, func(t *testing.T) {
			folder := ""
			w := newPolicyObserver(t, 5, inFolders, func(c *lab.Config) {
				if _, rest, ok := strings.Cut(c.OperatorFile, "folder = "); ok && c.Agent == 1 {
					_, err := fmt.Sscanf(rest, "%q", &folder)
					require.NoError(t, err)
				}
			})
			ctx := t.Context()
			output, err := w.propose(w.lab.Agent(3), 4)
			require.NoError(t, err, output)
			voter := w.lab.Agent(1)
			voter.Kill()
			files, err := filepath.Glob(filepath.Join(folder, "*.log"))
			require.NoError(t, err)
			require.Len(t, files, 1)
			content, err := os.ReadFile(files[0])
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(files[0], damage(content), 0o600))
			require.NoError(t, voter.Start(ctx))
			require.True(t, voter.LogContains("the voter's store cannot be used"))
			require.Nil(t, statusAt(voter).Voter)
			require.True(t, w.awaitOutcome(voter, 3))
			w.awaitInForce(3)
			voter.Kill()
			require.NoError(t, os.RemoveAll(folder))
			require.NoError(t, voter.Start(ctx))
			require.NoError(t, w.lab.Wait(ctx, "the agent votes again", func() bool {
				v := statusAt(voter).Voter
				return v != nil && (v.Phase == "voting" || v.Phase == "leading")
			}))
			w.finish(3, accepted)
		})
	}
}

// With a third of the agents stopped, the present agents divide limits by their own number, and by the number of all agents
// once those are back. An agent that is cut off, and so sees no other agent, also divides by all. An agent with none of the
// here_ settings logs nothing about it.
func TestFleetSize(t *testing.T) {
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	l := lab.Open(t, lab.Options{Agents: 6, Program: program, OperatorListener: true, Seed: 3, Configure: func(c *lab.Config) {
		c.OperatorFile = "[fleet]\non = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
		if c.Agent != 1 {
			c.OperatorFile += "here_cold = true\nhere_shares = true\nhere_storm = true\n"
		}
	}})
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	a := l.Agent(0)
	awaitLog := func(text string) {
		t.Helper()
		logged := 0
		require.NoError(t, l.Wait(ctx, text, func() bool { return a.LogContainsSince(logged, text) }))
		logged = a.LogLines()
	}
	awaitLog("there=6 counted=6")
	for _, n := range []int{4, 5} {
		l.Agent(n).Drain()
	}
	awaitLog("there=4 counted=4")
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "all agents are present", func() bool { return statusAt(a).Present == 6 }))
	heal, err := l.InjectNetworkFault(mishap.Fault{To: []int{0}, Impairment: mishap.Impairment{Cut: true}})
	require.NoError(t, err)
	awaitLog("there=0 counted=6")
	heal()
	require.False(t, l.Agent(1).LogContains("number of present agents changed"))
	require.Empty(t, l.EndAll())
}

// wrapWithSmallDisk returns a script that runs a program with the folder on a disk of 1 MB, which exists only for that
// process; false: this machine does not permit such a disk.
func wrapWithSmallDisk(t *testing.T, program, folder string) (wrapped string, ok bool) {
	script := filepath.Join(t.TempDir(), "small")
	text := fmt.Sprintf("#!/bin/sh\nexec unshare -rm sh -c 'mount -t tmpfs -o size=1m none %s && exec \"$0\" \"$@\"' \"%s\" \"$@\"\n",
		folder, program)
	require.NoError(t, os.WriteFile(script, []byte(text), 0o700))
	return script, exec.Command("unshare", "-rm", "mount", "-t", "tmpfs", "-o", "size=1m", "none", folder).Run() == nil
}

// A leader whose disk is full continues to serve requests and logs the error. A change that is made then applies at all
// agents, itself included. Started with a new disk it votes again.
func TestPolicyDiskFull(t *testing.T) {
	folders := t.TempDir()
	if _, ok := wrapWithSmallDisk(t, "true", voterFolder(t, folders, 0)); !ok {
		t.Skip("this machine does not permit a disk of limited size")
	}
	w := newPolicyObserver(t, 5, inMemory, func(c *lab.Config) {
		if c.Agent < 3 {
			folder := voterFolder(t, folders, c.Agent)
			c.Program, _ = wrapWithSmallDisk(t, c.Program, folder)
			c.OperatorFile = strings.Replace(c.OperatorFile, "[storm]", fmt.Sprintf("folder = %q\n[storm]", folder), 1)
		}
	})
	leading := leader(w.lab)
	require.NotNil(t, leading)
	filler, err := os.Create(fmt.Sprintf("/proc/%d/root%s/filler", leading.Pid(), voterFolder(t, folders, leading.Number)))
	require.NoError(t, err)
	for err == nil {
		_, err = filler.Write(make([]byte, 4096))
	}
	require.ErrorIs(t, err, syscall.ENOSPC)
	require.NoError(t, filler.Close())
	// Each proposal adds a record to the log, even if it is rejected because another change is open.
	longDocument := attemptsDocument(t, 0, "# "+strings.Repeat("much to write ", 900)+"\n")
	text, err := os.ReadFile(longDocument)
	require.NoError(t, err)
	for n := 0; !leading.LogContains("the voter's log cannot be written"); n++ {
		require.Less(t, n, 200)
		var outcome policyOutcome
		path := fmt.Sprintf("/ops/fleet/policy/propose?id=attempts-%d-%d&within_ms=500", initialMaxAttempts, n)
		require.NoError(t, opsClient{w.lab.Agent(3 + n%2).OperatorAddr}.call(http.MethodPost, path, string(text), &outcome))
		require.NoError(t, w.lab.Wait(t.Context(), "the proposal is in the log", func() bool {
			callErr := opsClient{w.lab.Agent(3 + n%2).OperatorAddr}.call(http.MethodGet,
				fmt.Sprintf("/ops/fleet/policy/outcome?id=attempts-%d-%d", initialMaxAttempts, n), "", &outcome)
			s, ok := policyStateAt(w.lab.Agent(3 + n%2))
			return callErr == nil && outcome.Status != policy.StatusUnknown.String() || ok && s.Open != nil && s.Open.ProposalID == outcome.ID
		}))
	}
	require.NoError(t, w.lab.Wait(t.Context(), "the last change is in force", func() bool {
		s, ok := policyStateAt(w.lab.Agent(3))
		return ok && s.Open == nil && time.Since(s.InForce.EffectiveAt) > 0
	}))
	w.resetHistory(w.lab.Agent(3))
	output, err := w.propose(w.lab.Agent(3), 4)
	require.NoError(t, err, output)
	w.awaitInForce(4)
	leading.Kill()
	require.NoError(t, leading.Start(t.Context()))
	require.NoError(t, w.lab.Wait(t.Context(), "the agent votes again", func() bool {
		v := statusAt(leading).Voter
		return v != nil && (v.Phase == "voting" || v.Phase == "leading")
	}))
	w.finish(4, accepted)
}

// commitWithoutWindows is a commit whose build supports policies, but neither contracts nor windows.
const commitWithoutWindows = "455e822"

// Half of the agents, a voter among them, run an earlier build, and the others have maintenance windows enabled. They agree
// on policies that both builds can read. A policy that the earlier build cannot read is rejected with the reason.
// Long, and needs the repository: runs only with LONG_TESTS.
func TestPolicyEarlierBuild(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	earlier := buildOfCommit(t, commitWithoutWindows)
	w := newPolicyObserver(t, 6, inMemory, func(c *lab.Config) {
		if c.Agent%2 == 1 {
			c.Program = earlier
		} else {
			c.OperatorFile = strings.Replace(c.OperatorFile, "policy = true\n", "policy = true\nwindows = true\n", 1)
		}
	})
	for _, attempts := range []int{4, 3} {
		output, err := w.propose(w.lab.Agent(attempts), attempts)
		require.NoError(t, err, output)
		w.awaitInForce(attempts)
	}
	path := attemptsDocument(t, 4, "[contracts.acme]\nzone = \"Europe/Bucharest\"\nhours = [\"mon-sun 20:00-06:00\"]\n")
	output, err := fleetCommand(t, w.lab.Agent(0), "policy", "propose", path)
	require.Error(t, err, output)
	require.Contains(t, output, "not taken: ")
	require.Contains(t, output, "unknown")
	w.awaitInForce(3)
	leading := leader(w.lab)
	leading.Kill()
	require.NoError(t, leading.Start(t.Context()))
	w.finish(3, accepted)
}
