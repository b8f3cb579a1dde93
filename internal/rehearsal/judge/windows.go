package judge

import (
	"slices"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// windowChecker checks runs with maintenance windows: no request of a window's tenants reaches its servers
// from when all their keys have left until they may return. An agent may send there if no other server is
// left, but that counts as a breach as well.
type windowChecker struct {
	Rule
	scenario  *scenario.Scenario
	describe  describer
	emptiedBy map[int32][]int16 // active windows that have emptied a server
}

func newWindowChecker(d describer, sc *scenario.Scenario) *windowChecker {
	return &windowChecker{describe: d, scenario: sc, emptiedBy: map[int32][]int16{}, Rule: Rule{
		Name: "windows",
		Text: "no request of a window's tenants reaches its servers while it has emptied them",
	}}
}

func (c *windowChecker) verdict() Rule { return c.Rule }

func (c *windowChecker) finish(time.Duration) {}

func (c *windowChecker) observe(e *record.Event, req *request) {
	switch e.Kind {
	case record.WindowEmptied:
		c.emptiedBy[e.Server] = append(c.emptiedBy[e.Server], e.Fault)
	case record.WindowReturning:
		c.emptiedBy[e.Server] = slices.DeleteFunc(c.emptiedBy[e.Server],
			func(n int16) bool { return n == e.Fault })
	case record.AttemptReached:
		if req == nil {
			return
		}
		for _, n := range c.emptiedBy[e.Server] {
			if name := c.tenant(req); c.moves(name, n) {
				c.addBreach(e.At, c.describe.events(req, e),
					"attempt %d of request %d, of %s, reached %s, which a window "+
						"had emptied", e.Attempt, req.received.RequestID, name, c.describe.server(e.Server))
			}
		}
	}
}

// tenant returns the name of the request's tenant in maintenance windows.
func (c *windowChecker) tenant(req *request) string {
	if n := int(req.received.Tenant); n < len(c.scenario.Tenants) {
		return c.scenario.Tenants[n].Name
	}
	return "-"
}

// moves reports whether a window covers a tenant.
func (c *windowChecker) moves(name string, n int16) bool {
	tenants := c.scenario.Faults[n].Tenants
	return slices.Contains(tenants, name) || slices.Contains(tenants, "*")
}

// hasWindow reports whether a scenario has a maintenance window.
func hasWindow(sc *scenario.Scenario) bool {
	return slices.ContainsFunc(sc.Faults, func(t scenario.FaultSpec) bool { return t.Kind == scenario.Window })
}
