package main

import (
	"errors"
	"fmt"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/wire"
)

// host runs balancers and passes the simulator's messages to them. It is not safe for concurrent use.
type host struct {
	decoder   *wire.Decoder
	instances map[string]*overload.Controller // by agent id
	lists     map[int][]balancer.Server
	out       []byte // the reply
	isEmpty   bool   // whether the reply has no action yet

	// Events are reused, since Step does not keep them.
	request     balancer.Request
	attemptDone balancer.AttemptDone
	loadReport  balancer.LoadReport
}

func newHost() *host {
	return &host{
		decoder:   wire.NewDecoder(),
		instances: map[string]*overload.Controller{},
		lists:     map[int][]balancer.Server{},
	}
}

// reply returns the reply to a batch, valid until the next one.
func (h *host) reply(batch []byte) ([]byte, error) {
	h.out, h.isEmpty = wire.AppendReplyStart(h.out[:0]), true
	if _, err := h.decoder.DecodeBatch(batch, h.onMessage); err != nil {
		return nil, err
	}
	h.out = wire.AppendReplyEnd(h.out)
	return h.out, nil
}

func (h *host) onMessage(now time.Duration, m *wire.Message) error {
	switch m.Kind {
	case wire.KindServerList:
		h.lists[m.List] = m.Servers
		return nil
	case wire.KindNewInstance:
		h.start(m)
		return nil
	case wire.KindKilled:
		delete(h.instances, m.Agent)
		return nil
	case "":
		return errors.New("a message has no kind")
	}
	event, err := h.event(m)
	if err != nil {
		return err
	}
	instance := h.instances[m.Agent]
	if event == nil || instance == nil { // kind of a later protocol version; or killed or never started
		return nil
	}
	for _, a := range instance.Step(now, event) {
		h.appendSeparator()
		h.out = wire.AppendAction(h.out, m.Agent, &a)
	}
	return nil
}

// start starts an instance, which replaces the agent's previous one. If it cannot be started, the reply
// reports that.
func (h *host) start(m *wire.Message) {
	instance, err := newInstance(m)
	if err != nil {
		h.appendSeparator()
		h.out = wire.AppendFatal(h.out, m.Agent, err.Error())
		delete(h.instances, m.Agent)
		return
	}
	h.instances[m.Agent] = instance
}

func newInstance(m *wire.Message) (*overload.Controller, error) {
	s, err := protocol.DecodeSettings(m.Settings)
	if err != nil {
		return nil, err
	}
	return overload.NewWithBalancer(s.Settings, overload.DefaultConfig(), m.Seed)
}

// event returns the balancer's event for a message, or nil if the kind of message is unknown.
func (h *host) event(m *wire.Message) (balancer.Event, error) {
	switch m.Kind {
	case wire.KindRequest:
		h.request = balancer.Request{
			ID: m.ID, WorkHint: wire.Micros(m.WorkHint), Key: m.Key, Tenant: m.Tenant, Class: m.Class,
			ClientTimeout: wire.Micros(m.ClientTimeout), ClientRetry: m.ClientRetry,
		}
		return &h.request, nil
	case wire.KindAttemptDone:
		h.attemptDone = balancer.AttemptDone{
			ID: m.ID, Attempt: m.Attempt, Server: m.Server, Outcome: wire.ParseOutcome(m.Outcome),
			Latency: wire.Micros(m.Latency), RequestDone: m.Complete, LoadReport: h.report(m),
		}
		return &h.attemptDone, nil
	case wire.KindListUpdate:
		return h.listUpdate(m)
	case wire.KindTimer:
		return &balancer.TimerDue{Tag: m.Tag}, nil
	case wire.KindProbeDone:
		return &balancer.ProbeDone{
			Server: m.Server, Outcome: wire.ParseOutcome(m.Outcome), Latency: wire.Micros(m.Latency),
			LoadReport: h.report(m),
		}, nil
	case wire.KindStreamStarted:
		return &balancer.StreamStarted{ID: m.ID, Attempt: m.Attempt}, nil
	case wire.KindClientGone:
		return &balancer.ClientGone{ID: m.ID}, nil
	case wire.KindPeerMessage:
		return &balancer.PeerMessage{From: m.From, Data: m.Data}, nil
	}
	return nil, nil
}

// report returns a message's load report, or nil if it has none. It is valid until the next call.
func (h *host) report(m *wire.Message) *balancer.LoadReport {
	if !m.HasLoadReport {
		return nil
	}
	h.loadReport = m.LoadReport
	return &h.loadReport
}

// listUpdate returns a server list update with the list that the message refers to. The update for a failed
// call refers to none.
func (h *host) listUpdate(m *wire.Message) (balancer.Event, error) {
	kind, err := wire.ParseUpdateKind(m.Mode)
	if err != nil {
		return nil, err
	}
	if kind == balancer.UpdateFailed {
		return &balancer.ServerListUpdate{Kind: kind}, nil
	}
	servers, ok := h.lists[m.List]
	if !ok {
		return nil, fmt.Errorf("list update refers to unknown server list %d", m.List)
	}
	return &balancer.ServerListUpdate{Kind: kind, Servers: servers}, nil
}

// appendSeparator appends a comma before each action except the first.
func (h *host) appendSeparator() {
	if !h.isEmpty {
		h.out = append(h.out, ',')
	}
	h.isEmpty = false
}
