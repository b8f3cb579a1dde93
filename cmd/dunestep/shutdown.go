package main

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// successor is whether another process of this agent already accepts its clients.
type successor bool

// The values of successor.
const (
	noSuccessor  successor = false
	hasSuccessor successor = true
)

// stop shuts the process down gracefully: it notifies the fleet, and drains clients while the state is
// written.
func (p *process) stop() {
	p.manual.stopServing()
	p.fleet.leave()
	written := p.state.finish(routing.NewShutdownPlan(0, p.settings.Settings.Classes).Deadline())
	drain(p.listener, p.agent, p.settings.Settings.Classes, p.upgrade.end())
	<-written
}

// drain goes through the phases of a shutdown. It returns when all accepted requests have their responses, or
// at the deadline. If another process accepts clients, this one stops listening at once.
func drain(listener *transport.Listener, a *agent.Agent, classes []balancer.Class, next successor) {
	began := time.Now()
	plan := routing.NewShutdownPlan(0, classes)
	failAll := sync.OnceFunc(func() {
		slog.Warn("drain deadline reached: unanswered requests fail now")
		a.FailAll()
	})
	endResponses := sync.OnceFunc(a.EndResponses)
	_, acceptUntil := plan.PhaseAt(0)
	listener.StartFinalDrain(acceptUntil)
	if next == hasSuccessor {
		listener.StopListening()
	}
	for {
		phase, until := plan.PhaseAt(time.Since(began))
		switch phase {
		case routing.ShutdownAccepting:
			if next == noSuccessor {
				<-time.NewTimer(until - time.Since(began)).C
				listener.StopListening()
				continue
			}
		case routing.ShutdownFailing:
			failAll()
		case routing.ShutdownEnding:
			failAll() // if the process was not scheduled during the phase before
			endResponses()
		case routing.ShutdownOver:
			failAll()
			endResponses()
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), began.Add(until))
		err := listener.WaitClosed(ctx)
		cancel()
		if err == nil {
			return
		}
	}
}
