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

// host runs balancers by the messages of the simulator. It is not safe for concurrent use.
type host struct {
	decoder   *wire.Decoder
	instances map[string]*overload.Controller // by agent
	lists     map[int][]balancer.Server
	out       []byte // the reply
	isEmpty   bool   // the reply has no action yet

	// Events are reused: a step does not keep them.
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
	if event == nil || instance == nil { // of a later version of the protocol; killed, or never started
		return nil
	}
	for _, a := range instance.Step(now, event) {
		h.separate()
		h.out = wire.AppendAction(h.out, m.Agent, &a)
	}
	return nil
}

// start starts an instance in place of the agent's last one. One that cannot be started is reported in the
// reply.
func (h *host) start(m *wire.Message) {
	instance, err := newInstance(m)
	if err != nil {
		h.separate()
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

// event returns the balancer's event that a message stands for; nil: the protocol's kind is not known.
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

// report returns a message's load report; nil: it has none.
func (h *host) report(m *wire.Message) *balancer.LoadReport {
	if !m.HasLoadReport {
		return nil
	}
	h.loadReport = m.LoadReport
	return &h.loadReport
}

// listUpdate returns a server list's update with the list that the message names. A failed call names none.
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
		return nil, fmt.Errorf("an update names server list %d, which is not known", m.List)
	}
	return &balancer.ServerListUpdate{Kind: kind, Servers: servers}, nil
}

// separate puts a comma before each action but the first.
func (h *host) separate() {
	if !h.isEmpty {
		h.out = append(h.out, ',')
	}
	h.isEmpty = false
}
