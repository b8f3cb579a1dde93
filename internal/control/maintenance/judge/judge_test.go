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

// TestJudge: each thing that must not be is told, and what lies next to it is not.
func TestJudge(t *testing.T) {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 21:00-23:30"}, NoticeMin: 20, MaxLengthMin: 300,
		MaxPerMonth: 31, KeptCapacity: 0.5, MinServed: 0.9,
	}.Contract()
	require.NoError(t, err)
	at := func(s int) time.Duration { return from + time.Duration(s)*time.Second }
	for name, x := range map[string]struct {
		r     Request
		right bool
	}{
		"moved":               {Request{At: at(10), Kept: []string{"n"}, Server: "m"}, true},
		"another node":        {Request{At: at(10), Kept: []string{"m"}, Server: "n"}, false},
		"too early":           {Request{At: at(-1), Kept: []string{"n"}, Server: "m"}, false},
		"by an early clock":   {Request{At: from - 100*time.Millisecond, Kept: []string{"n"}, Server: "m"}, true},
		"too late":            {Request{At: at(3601), Kept: []string{"n"}, Server: "m"}, false},
		"another tenant":      {Request{At: at(10), Tenant: "west", Kept: []string{"n"}, Server: "m"}, false},
		"by a newer contract": {Request{At: at(10), Kept: []string{"n"}, Server: "m", Version: 2}, false},
		"free":                {Request{At: at(200), Server: "n"}, false},
		"on its way":          {Request{At: at(80), Arrives: at(101), Server: "n"}, false},
		"just in time":        {Request{At: at(80), Arrives: at(99), Server: "n"}, true},
		"serving first":       {Request{At: at(200), Server: "n", First: true}, true},
		"bound by a change":   {Request{At: at(200), Server: "n", Version: 2}, true},
		"the bottom is not":   {Request{At: at(200), Server: "n", Version: 2, How: policy.ModeBottom}, false},
		"it returns":          {Request{At: at(3500), Server: "n"}, true},
		"no server":           {Request{At: at(200), Listed: 1}, false},
		"none is there":       {Request{At: at(200)}, true},
	} {
		j := New(Settings{Slack: 100 * time.Millisecond, Keys: 10})
		j.Contracts(1, map[string]*contract.Contract{"east": c, "west": c})
		j.Contracts(2, map[string]*contract.Contract{"west": c})
		j.Accepted(&maintenance.Window{
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
		if r.Arrives == 0 {
			r.Arrives = r.At
		}
		r.How = max(r.How, policy.ModeBottom)
		if name != "the bottom is not" {
			r.How = policy.ModeFull
		}
		if r.At < at(100) {
			j.Sent(r)
			j.Free(at(100), "w", true)
		} else {
			j.Free(at(100), "w", true)
			j.Sent(r)
		}
		require.Equal(t, x.right, j.Count == 0, "%s: %v", name, j.Violations)
	}
}

// TestPace: keys that leave one after the other do so at the pace; all at once do not, but for one that has
// just begun.
func TestPace(t *testing.T) {
	for name, x := range map[string]struct {
		every time.Duration
		life  int
		right bool
	}{"slowly": {time.Second, 0, true}, "at once": {time.Millisecond, 0, false}, "a new process": {time.Millisecond, 1, true}} {
		j := New(Settings{Keys: 50})
		j.Accepted(&maintenance.Window{
			ID: "w", Nodes: []string{"n"}, Tenants: []string{"east"}, From: from,
			DrainedAt: from + 50*time.Second, ReturnFrom: from + time.Hour, To: from + 2*time.Hour, Steps: 50,
		}, 0.02)
		for k := range uint32(50) {
			j.Sent(Request{At: from, Tenant: "east", Hash: k, Server: "n", How: policy.ModeFull})
		}
		for k := range uint32(50) {
			at := from + time.Second
			if x.life == 0 {
				at += time.Duration(k) * x.every
			}
			j.moves(j.windows[0], Request{At: at, Life: x.life, Tenant: "east", Hash: k, Kept: []string{"n"}, How: policy.ModeFull})
		}
		require.Equal(t, x.right, j.Count == 0, name)
	}
}
