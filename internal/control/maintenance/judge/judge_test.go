package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
)

const from = 1798495200 * time.Second // a Monday, 22:00 UTC

// TestJudge: requests that are allowed, and next to each one that is not.
func TestJudge(t *testing.T) {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 21:00-23:30"}, NoticeMin: 20, MaxLengthMin: 300,
		MaxPerMonth: 31, KeptCapacity: 0.5, MinServed: 0.9,
	}.Contract()
	require.NoError(t, err)
	at := func(s int) time.Duration { return from + time.Duration(s)*time.Second }
	for name, x := range map[string]struct {
		r    Request
		want bool
	}{
		"moved":                    {Request{At: at(10), Excluded: []string{"n"}, Server: "m"}, true},
		"another server":           {Request{At: at(10), Excluded: []string{"m"}, Server: "n"}, false},
		"too early":                {Request{At: at(-1), Excluded: []string{"n"}, Server: "m"}, false},
		"by an early clock":        {Request{At: from - 100*time.Millisecond, Excluded: []string{"n"}, Server: "m"}, true},
		"too late":                 {Request{At: at(3601), Excluded: []string{"n"}, Server: "m"}, false},
		"another tenant":           {Request{At: at(10), Tenant: "west", Excluded: []string{"n"}, Server: "m"}, false},
		"by a newer contract":      {Request{At: at(10), Excluded: []string{"n"}, Server: "m", Version: 2}, false},
		"free":                     {Request{At: at(200), Server: "n"}, false},
		"in flight":                {Request{At: at(80), ArrivesAt: at(101), Server: "n"}, false},
		"just in time":             {Request{At: at(80), ArrivesAt: at(99), Server: "n"}, true},
		"exclusions overridden":    {Request{At: at(200), Server: "n", OverridesExclusions: true}, true},
		"the contract was changed": {Request{At: at(200), Server: "n", Version: 2}, true},
		"not at the bottom":        {Request{At: at(200), Server: "n", Version: 2, Mode: policy.ModeBottom}, false},
		"it returns":               {Request{At: at(3500), Server: "n"}, true},
		"no server":                {Request{At: at(200), Listed: 1}, false},
		"none is listed":           {Request{At: at(200)}, true},
	} {
		j := New(Settings{ClockError: 100 * time.Millisecond, Keys: 10})
		j.SetContracts(1, map[string]*contract.Contract{"east": c, "west": c})
		j.SetContracts(2, map[string]*contract.Contract{"west": c})
		j.WindowAccepted(&maintenance.Window{
			ID: "w", Nodes: []string{"n"}, Tenants: []string{"east"}, From: from, DrainedAt: at(50),
			ReturnFrom: at(3500), To: at(3600), Steps: 10, PolicyVersion: 1,
		}, 0.02)
		r := x.r
		if r.Version == 0 {
			r.Version = 1
		}
		if r.Tenant == "" {
			r.Tenant = "east"
		}
		if r.ArrivesAt == 0 {
			r.ArrivesAt = r.At
		}
		r.Mode = max(r.Mode, policy.ModeBottom)
		if name != "not at the bottom" {
			r.Mode = policy.ModeFull
		}
		if r.At < at(100) {
			j.RequestSent(r)
			j.SetFree(at(100), "w", true)
		} else {
			j.SetFree(at(100), "w", true)
			j.RequestSent(r)
		}
		require.Equal(t, x.want, j.Count == 0, "%s: %v", name, j.Violations)
	}
}

// TestMoveRate: keys that leave one after the other keep the move rate; all at once they do not, except at a process that
// has just begun.
func TestMoveRate(t *testing.T) {
	for name, x := range map[string]struct {
		every       time.Duration
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
			if x.incarnation == 0 {
				at += time.Duration(k) * x.every
			}
			j.checkMoves(j.windows[0], Request{At: at, Incarnation: x.incarnation, Tenant: "east", Hash: k, Excluded: []string{"n"}, Mode: policy.ModeFull})
		}
		require.Equal(t, x.want, j.Count == 0, name)
	}
}
