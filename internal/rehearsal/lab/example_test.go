package lab_test

import (
	"context"
	"testing"

	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/scenario"
)

// The example is compiled but not run. docs/rehearsal.md contains its lines.
func Example() {
	var (
		t           *testing.T
		ctx         = context.Background()
		path, older string
		troubles    []scenario.FaultSpec
	)
	l := lab.Open(t, lab.Options{Agents: 5, Program: path, Seed: 7, Configure: func(c *lab.Config) {
		c.OperatorFile = "[storm]\non = true\n"
		if c.Agent == 4 {
			c.Program = older
		}
	}})
	l.StartAll(ctx)
	end, _ := l.InjectNetworkFault(mishap.Fault{From: []int{0}, To: []int{1, 2}, Impairment: mishap.Impairment{Cut: true}})
	l.Agent(1).Pause()
	l.Wait(ctx, "n2 serves", func() bool { return l.Agent(2).Serves(ctx) })
	l.Agent(1).Resume()
	end()
	l.Play(ctx, troubles) // of a scenario's file, or []scenario.FaultSpec
}
