package routing

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/eventqueue"
	"dunestep/internal/protocol"
)

// The durations of the calls to discovery in the model: those of package transport and of the protocol.
const (
	modelResponseTimeout = 2 * time.Second
	modelSilenceTimeout  = 3 * time.Second
	modelEmptyLines      = 2 * time.Second
	modelIdleAfter       = 200 * time.Millisecond
	// modelKnownAfter is when a change that was not received counts as known.
	modelKnownAfter = 6 * time.Second
)

// errModelEnded is the end of a call at discovery's side.
var errModelEnded = errors.New("ended by discovery")

// addressState is how an address of discovery answers calls.
type addressState struct {
	answer      callReaction
	acceptDelay time.Duration
	tells       bool // each new watch begins with the whole list
}

type callReaction uint8

const (
	acceptCall callReaction = iota
	refuseCall
	ignoreCall // until the agent ends the call
)

// modelCall is a call under way.
type modelCall struct {
	output   ListOutput
	accepted bool
	isSilent bool
	ended    bool
}

// listModel is a ListTracker with a Balancer that decides when to call, both with mailboxes that take time, and the
// addresses of discovery, in virtual time.
type listModel struct {
	now       time.Duration
	events    eventqueue.Queue[func()]
	order     uint64
	mailDelay func() time.Duration
	mailAt    [2]time.Duration // when the latest message arrives at the balancer, and at the tracker
	balancer  *balancer.Balancer
	tracker   *ListTracker
	addresses []addressState
	version   int64
	calls     map[int]*modelCall
	trace     []string
}

func modelAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 8500)
}

func newListModel(set balancer.Settings, seed uint64, mailDelay func() time.Duration) *listModel {
	b, err := balancer.New(set, seed)
	if err != nil {
		panic(err)
	}
	m := &listModel{
		balancer: b, mailDelay: mailDelay, addresses: make([]addressState, 4), version: 41,
		calls:   map[int]*modelCall{},
		tracker: NewListTracker(modelAddr(0), protocol.EndpointList{Version: 41}, nil),
	}
	m.step(&balancer.ServerListUpdate{Kind: balancer.UpdateCached})
	return m
}

func (m *listModel) after(d time.Duration, do func()) {
	m.order++
	m.events.Add(eventqueue.Item[func()]{DueAt: m.now + d, Order: m.order, Event: do})
}

// mail delivers a message to the balancer (0) or the tracker (1), in order.
func (m *listModel) mail(to int, do func()) {
	at := max(m.mailAt[to], m.now+m.mailDelay())
	m.mailAt[to] = at
	m.after(at-m.now, do)
}

// run handles the events until a time.
func (m *listModel) run(until time.Duration) {
	for {
		item, ok := m.events.Next(until)
		if !ok {
			m.now = until
			return
		}
		m.now = item.DueAt
		item.Event()
	}
}

func (m *listModel) log(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%v ", m.now)+fmt.Sprintf(format, args...))
}

// step passes an event to the balancer and carries out its actions.
func (m *listModel) step(e balancer.Event) {
	for _, action := range m.balancer.Step(m.now, e) {
		switch action.Kind {
		case balancer.SetTimer:
			tag := action.Tag
			m.after(action.After, func() { m.step(&balancer.TimerDue{Tag: tag}) })
		case balancer.Subscribe:
			m.mail(1, func() { m.carryOut(m.tracker.Watch()) })
		}
	}
}

// carryOut carries out the tracker's outputs.
func (m *listModel) carryOut(outputs []ListOutput) {
	for _, o := range outputs {
		switch o.Kind {
		case StartCall:
			m.startCall(o)
		case EndCall:
			m.log("call %d replaced", o.Call)
			m.endCall(m.calls[o.Call], context.Canceled)
		case ListUpdate:
			update := &balancer.ServerListUpdate{Kind: o.Update, Watch: o.Watch}
			m.mail(0, func() { m.step(update) })
		}
	}
}

// startCall starts a call, which its address answers in the state that it has then.
func (m *listModel) startCall(o ListOutput) {
	call := &modelCall{output: o}
	m.calls[o.Call] = call
	address := m.addresses[o.Addr.Addr().As4()[3]-1]
	m.log("call %d to %v: %+v", o.Call, o.Addr.Addr(), address)
	switch address.answer {
	case acceptCall:
		m.after(address.acceptDelay, func() { m.accept(call, address.tells) })
	case refuseCall:
		m.after(time.Millisecond, func() { m.endCall(call, errModelEnded) })
	case ignoreCall:
		m.after(modelResponseTimeout, func() { m.endCall(call, &SilenceError{Duration: modelResponseTimeout}) })
	}
}

// accept accepts a call. The watch begins with what has changed since its version, or with the whole list.
func (m *listModel) accept(call *modelCall, tells bool) { //nolint:revive // flag-parameter: the address's state
	if call.ended {
		return
	}
	call.accepted = true
	m.log("call %d accepted", call.output.Call)
	m.toTracker(call, func() []ListOutput { return m.tracker.CallAccepted(call.output.Call) })
	if tells || m.version > call.output.Request.FromVersion {
		m.send(call)
	}
	m.after(modelIdleAfter, func() {
		m.toTracker(call, func() []ListOutput { return m.tracker.CallIdle(call.output.Call) })
	})
	m.keepAlive(call)
}

// keepAlive sends empty lines until the call is silent or over.
func (m *listModel) keepAlive(call *modelCall) {
	m.after(modelEmptyLines, func() {
		if call.ended || call.isSilent {
			return
		}
		m.toTracker(call, func() []ListOutput { return m.tracker.CallKeptAlive(call.output.Call) })
		m.keepAlive(call)
	})
}

// send sends the whole list on an accepted call.
func (m *listModel) send(call *modelCall) {
	if !call.accepted || call.ended || call.isSilent {
		return
	}
	list := protocol.EndpointList{Version: m.version, Full: true}
	m.log("call %d is sent version %d", call.output.Call, m.version)
	m.toTracker(call, func() []ListOutput { return m.tracker.CallReceived(call.output.Call, list) })
}

// silence makes an accepted call silent; the agent ends it.
func (m *listModel) silence(call *modelCall) {
	if !call.accepted || call.isSilent {
		return
	}
	call.isSilent = true
	m.log("call %d is silent", call.output.Call)
	m.after(modelSilenceTimeout, func() { m.endCall(call, &SilenceError{Duration: modelSilenceTimeout}) })
}

func (m *listModel) endCall(call *modelCall, err error) {
	if call == nil || call.ended {
		return
	}
	call.ended = true
	m.log("call %d ended: %v", call.output.Call, err)
	m.mail(1, func() { m.carryOut(m.tracker.CallEnded(call.output.Call, err)) })
}

// toTracker passes an event of a call to the tracker, in order with its end.
func (m *listModel) toTracker(call *modelCall, input func() []ListOutput) {
	if !call.ended {
		m.mail(1, func() { m.carryOut(input()) })
	}
}

// callsAt returns the calls under way at an address, the oldest first.
func (m *listModel) callsAt(address int) (calls []*modelCall) {
	for number := 1; number <= len(m.calls); number++ {
		if c := m.calls[number]; !c.ended && c.output.Addr == modelAddr(address) {
			calls = append(calls, c)
		}
	}
	return calls
}

// Whatever happened before, in any order: once the last address of discovery answers its calls, a change that it has then
// is received before a draining server may get no more requests, and the watch stays open.
func TestListIsWatchedAfterAnyCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		set.Balancers = rapid.SampledFrom([]int{2, 30, 300, 900}).Draw(t, "agents")
		maxMail := rapid.SampledFrom([]int{0, 1, 20, 150}).Draw(t, "longest mail delay, ms")
		m := newListModel(set, rapid.Uint64().Draw(t, "seed"), func() time.Duration {
			return time.Duration(rapid.IntRange(0, maxMail).Draw(t, "mail delay")) * time.Millisecond
		})
		last := 0
		drawAddress := func() int { return rapid.IntRange(0, len(m.addresses)-1).Draw(t, "address") }
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			m.run(m.now + time.Duration(rapid.SampledFrom([]int{0, 5, 50, 150, 400, 2500}).Draw(t, "pause"))*time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1, 2:
				last = drawAddress()
				m.log("moved to %v", modelAddr(last))
				m.mail(1, func() { m.carryOut(m.tracker.SetAddress(modelAddr(last))) })
			case 3, 4:
				m.addresses[drawAddress()] = addressState{
					answer:      callReaction(rapid.IntRange(0, 2).Draw(t, "answer")),
					acceptDelay: time.Duration(rapid.IntRange(0, 1900).Draw(t, "accept delay")) * time.Millisecond,
					tells:       rapid.Bool().Draw(t, "tells"),
				}
			case 5:
				m.version++
				for address := range m.addresses {
					for _, c := range m.callsAt(address) {
						m.send(c)
					}
				}
			case 6:
				for _, c := range m.callsAt(drawAddress()) {
					m.endCall(c, errModelEnded)
				}
			case 7:
				for _, c := range m.callsAt(drawAddress()) {
					m.silence(c)
				}
			}
		}
		m.endTrouble(last)
		m.requireReceived(t)
	})
}

// endTrouble makes one address answer all its calls, while the calls at the others end, and then has a change.
func (m *listModel) endTrouble(last int) {
	m.log("%v answers from now on", modelAddr(last))
	m.addresses[last] = addressState{acceptDelay: 100 * time.Millisecond}
	for address := range m.addresses {
		if address != last {
			m.addresses[address].answer = refuseCall
		}
	}
	m.run(m.now + modelResponseTimeout + time.Second) // for calls that began before
	for address := range m.addresses {
		for _, c := range m.callsAt(address) {
			if address != last {
				m.endCall(c, errModelEnded)
			}
		}
	}
}

// requireReceived makes a change and requires that it is received in time, and that no call follows.
func (m *listModel) requireReceived(t *rapid.T) {
	m.version++
	want := m.version
	for address := range m.addresses {
		for _, c := range m.callsAt(address) {
			m.send(c)
		}
	}
	m.run(m.now + modelKnownAfter + testSettings().Rules.DrainGrace)
	require.Equal(t, want, m.tracker.version, "%v", m.trace)
	require.True(t, m.tracker.watch.accepted, "%v", m.trace)
	calls := len(m.calls)
	m.run(m.now + time.Minute)
	require.Len(t, m.calls, calls, "calls beside a watch: %v", m.trace)
}
