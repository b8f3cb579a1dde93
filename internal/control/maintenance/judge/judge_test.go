package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
)

const from = 1798495200 * time.Second // Monday, 22:00 UTC

// TestJudgeReportsForbiddenRequests checks allowed requests, and forbidden ones that barely differ from them.
func TestJudgeReportsForbiddenRequests(t *testing.T) {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 21:00-23:30"}, NoticeMin: 20, MaxLengthMin: 300,
		MaxPerMonth: 31, KeptCapacity: 0.5, MinServed: 0.9,
	}.Contract()
	require.NoError(t, err)
	at := func(s int) time.Duration { return from + time.Duration(s)*time.Second }
	for name, test := range map[string]struct {
		request Request
		want    bool
	}{
		"excluded":                          {Request{At: at(10), Excluded: []string{"n"}, Server: "m"}, true},
		"wrong server excluded":             {Request{At: at(10), Excluded: []string{"m"}, Server: "n"}, false},
		"excluded too early":                {Request{At: at(-1), Excluded: []string{"n"}, Server: "m"}, false},
		"agent whose clock is early":        {Request{At: from - 100*time.Millisecond, Excluded: []string{"n"}, Server: "m"}, true},
		"excluded too late":                 {Request{At: at(3601), Excluded: []string{"n"}, Server: "m"}, false},
		"another tenant":                    {Request{At: at(10), Tenant: "west", Excluded: []string{"n"}, Server: "m"}, false},
		"newer contract without the tenant": {Request{At: at(10), Excluded: []string{"n"}, Server: "m", Version: 2}, false},
		"sent while free":                   {Request{At: at(200), Server: "n"}, false},
		"arrives while free":                {Request{At: at(80), ArrivesAt: at(101), Server: "n"}, false},
		"arrives just before free":          {Request{At: at(80), ArrivesAt: at(99), Server: "n"}, true},
		"exclusions overridden":             {Request{At: at(200), Server: "n", OverridesExclusions: true}, true},
		"contract changed":                  {Request{At: at(200), Server: "n", Version: 2}, true},
		"bottom mode":                       {Request{At: at(200), Server: "n", Version: 2, Mode: policy.ModeBottom}, false},
		"sent during the return":            {Request{At: at(3500), Server: "n"}, true},
		"no server":                         {Request{At: at(200), Listed: 1}, false},
		"no server listed":                  {Request{At: at(200)}, true},
	} {
		j := New(Settings{ClockError: 100 * time.Millisecond, Keys: 10})
		j.SetContracts(1, map[string]*contract.Contract{"east": c, "west": c})
		j.SetContracts(2, map[string]*contract.Contract{"west": c})
		j.WindowAccepted(&maintenance.Window{
			ID: "w", Nodes: []string{"n"}, Tenants: []string{"east"}, From: from, DrainedAt: at(50),
			ReturnFrom: at(3500), To: at(3600), Steps: 10, PolicyVersion: 1,
		}, 0.02)
		request := test.request
		if request.Version == 0 {
			request.Version = 1
		}
		if request.Tenant == "" {
			request.Tenant = "east"
		}
		if request.ArrivesAt == 0 {
			request.ArrivesAt = request.At
		}
		request.Mode = max(request.Mode, policy.ModeBottom)
		if name != "bottom mode" {
			request.Mode = policy.ModeFull
		}
		if request.At < at(100) {
			j.RequestSent(request)
			j.SetFree(at(100), "w", true)
		} else {
			j.SetFree(at(100), "w", true)
			j.RequestSent(request)
		}
		require.Equal(t, test.want, j.Count == 0, "%s: %v", name, j.Violations)
	}
}

// TestJudgeLimitsMoveRate checks that keys moved one after the other keep within the move rate, and that all keys moved at
// once exceed it, except in a process that has just started.
func TestJudgeLimitsMoveRate(t *testing.T) {
	for name, test := range map[string]struct {
		interval    time.Duration
		incarnation int
		want        bool
	}{"slowly": {time.Second, 0, true}, "at once": {time.Millisecond, 0, false}, "a new process": {time.Millisecond, 1, true}} {
		j := New(Settings{Keys: 50})
		j.WindowAccepted(&maintenance.Window{
			ID: "w", Nodes: []string{"n"}, Tenants: []string{"east"}, From: from,
			DrainedAt: from + 50*time.Second, ReturnFrom: from + time.Hour, To: from + 2*time.Hour, Steps: 50,
		}, 0.02)
		for k := range uint32(50) {
			j.RequestSent(Request{At: from, Tenant: "east", Hash: k, Server: "n", Mode: policy.ModeFull})
		}
		for k := range uint32(50) {
			at := from + time.Second
			if test.incarnation == 0 {
				at += time.Duration(k) * test.interval
			}
			j.checkMoves(j.windows[0], Request{At: at, Incarnation: test.incarnation, Tenant: "east", Hash: k, Excluded: []string{"n"}, Mode: policy.ModeFull})
		}
		require.Equal(t, test.want, j.Count == 0, name)
	}
}
