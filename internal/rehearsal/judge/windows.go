package judge

import (
	"slices"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// windows is the checker of a day with maintenance windows: nothing of a window's tenants reaches its servers
// from when all have left until they may come back. That agents send there where no other server is left is
// their right; a day that goes so far has it as a breach all the same.
type windows struct {
	Rule
	set   *scenario.Scenario
	words words
	empty map[int32][]int16 // the windows that have emptied a server
}

func newWindows(w words, set *scenario.Scenario) *windows {
	return &windows{words: w, set: set, empty: map[int32][]int16{}, Rule: Rule{
		Name: "windows",
		Text: "nothing of a window's tenants reaches its servers while it has emptied them",
	}}
}

func (c *windows) verdict() Rule { return c.Rule }

func (c *windows) finish(time.Duration) {}

func (c *windows) take(e *record.Event, op *operation) {
	switch e.Kind {
	case record.Emptied:
		c.empty[e.Server] = append(c.empty[e.Server], e.Trouble)
	case record.Returns:
		c.empty[e.Server] = slices.DeleteFunc(c.empty[e.Server], func(n int16) bool { return n == e.Trouble })
	case record.Reached:
		if op == nil {
			return
		}
		for _, n := range c.empty[e.Server] {
			if name := c.tenant(op); c.moved(name, n) {
				c.broken(e.At, c.words.context(op, e), "attempt %d of operation %d, of %s, reached %s, which a window "+
					"had emptied", e.Attempt, op.asked.Op, name, c.words.server(e.Server))
			}
		}
	}
}

// tenant is the name that windows know the tenant by.
func (c *windows) tenant(op *operation) string {
	if n := int(op.asked.Tenant); n < len(c.set.Tenants) {
		return c.set.Tenants[n].Name
	}
	return "-"
}

// moved tells whether a window is of a tenant.
func (c *windows) moved(name string, n int16) bool {
	tenants := c.set.Troubles[n].Tenants
	return slices.Contains(tenants, name) || slices.Contains(tenants, "*")
}

// hasWindow tells whether a day has one.
func hasWindow(set *scenario.Scenario) bool {
	return slices.ContainsFunc(set.Troubles, func(t scenario.Trouble) bool { return t.Kind == scenario.Window })
}
