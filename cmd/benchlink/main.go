// Command benchlink hosts balancer instances on the simulator's wire: batches on standard input, one reply
// each on standard output. It decides nothing and lets instances share nothing but the decoded lists.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/wire"
)

func main() {
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

type host struct {
	decoder   *wire.Decoder
	instances map[string]*overload.Controller
	lists     map[int][]balancer.Server
	out       []byte
	first     bool
	// events are reused: a step does not keep them
	request     balancer.Request
	attemptDone balancer.AttemptDone
	loadReport  balancer.LoadReport
}

func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	h := &host{
		decoder: wire.NewDecoder(), instances: map[string]*overload.Controller{},
		lists: map[int][]balancer.Server{},
	}
	var long []byte
	for n := 1; ; n++ {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long[:0], line...)
			for errors.Is(err, bufio.ErrBufferFull) {
				line, err = r.ReadSlice('\n')
				long = append(long, line...)
			}
			line = long
		}
		if err == io.EOF && len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		h.out = append(h.out[:0], `{"actions":[`...)
		h.first = true
		if _, e := h.decoder.DecodeBatch(bytes.TrimRight(line, "\r\n"), h.onMessage); e != nil {
			return fmt.Errorf("line %d: %w", n, e)
		}
		h.out = append(h.out, "]}\n"...)
		if _, e := out.Write(h.out); e != nil {
			return e
		}
	}
}

func (h *host) onMessage(now time.Duration, m *wire.Message) error {
	switch m.Kind {
	case "POOL":
		h.lists[m.List] = m.Servers
		return nil
	case "NEW_INSTANCE":
		s, err := protocol.DecodeSettings(m.Settings)
		var g *overload.Controller
		if err == nil {
			g, err = overload.NewWithBalancer(s.Settings, overload.DefaultConfig(), m.Seed)
		}
		if err != nil {
			h.separate()
			h.out = wire.AppendFatal(h.out, m.Agent, err.Error())
			delete(h.instances, m.Agent)
			return nil
		}
		h.instances[m.Agent] = g
		return nil
	case "KILLED":
		delete(h.instances, m.Agent)
		return nil
	}
	var ev balancer.Event
	switch m.Kind {
	case "REQUEST":
		h.request = balancer.Request{
			ID: m.ID, WorkHint: wire.Micros(m.WorkHint), Key: m.Key, Tenant: m.Tenant, Class: m.Class,
			ClientTimeout: wire.Micros(m.ClientTimeout), ClientRetry: m.ClientRetry,
		}
		ev = &h.request
	case "DONE":
		h.attemptDone = balancer.AttemptDone{
			ID: m.ID, Attempt: m.Attempt, Server: m.Server,
			Outcome: wire.ParseOutcome(m.Outcome), Latency: wire.Micros(m.Latency), RequestDone: m.Complete,
		}
		if m.HasLoadReport {
			h.loadReport = m.LoadReport
			h.attemptDone.LoadReport = &h.loadReport
		}
		ev = &h.attemptDone
	case "SYNC":
		kind, err := wire.ParseUpdateKind(m.Mode)
		if err != nil {
			return err
		}
		list, ok := h.lists[m.List]
		if !ok && kind != balancer.UpdateFailed {
			return fmt.Errorf("SYNC names list %d, which is not known", m.List)
		}
		if kind == balancer.UpdateFailed {
			list = nil
		}
		ev = &balancer.ServerListUpdate{Kind: kind, Servers: list}
	case "TIMER":
		ev = &balancer.TimerDue{Tag: m.Tag}
	case "CHECKED":
		p := &balancer.ProbeDone{Server: m.Server, Outcome: wire.ParseOutcome(m.Outcome), Latency: wire.Micros(m.Latency)}
		if m.HasLoadReport {
			h.loadReport = m.LoadReport
			p.LoadReport = &h.loadReport
		}
		ev = p
	case "STREAMING":
		ev = &balancer.StreamStarted{ID: m.ID, Attempt: m.Attempt}
	case "TIMED_OUT_CLIENT":
		ev = &balancer.ClientGone{ID: m.ID}
	case "NEIGHBOUR_SAYS":
		ev = &balancer.PeerMessage{From: m.From, Data: m.Data}
	case "":
		return errors.New("an item without a kind")
	default:
		return nil // a later dialect's event
	}
	b := h.instances[m.Agent]
	if b == nil {
		return nil // killed, or never started
	}
	for _, a := range b.Step(now, ev) {
		h.separate()
		h.out = wire.AppendAction(h.out, m.Agent, &a)
	}
	return nil
}

func (h *host) separate() {
	if !h.first {
		h.out = append(h.out, ',')
	}
	h.first = false
}
