// Package seat gives package window its place above a fleet.Node: it is the machine of the log's records that
// are about windows, says what to keep off, and brings windows through their course where its voter leads.
package seat

import (
	"errors"
	"slices"
	"time"

	"dunestep/decide"
	"dunestep/fleet"
	"dunestep/fleet/lease"
	"dunestep/policy"
	"dunestep/window"
)

// Seat is one process's. It is called by its node alone, as a fleet.Machine and as fleet.Above; Avoid, Record
// and the others from where the node is called.
type Seat struct {
	set     Settings
	machine *window.Machine
	agent   *window.Agent
	council *window.Council // nil: not a voter

	counts []window.Count
	storm  bool
	number uint64
	tell   time.Duration
}

// Settings are one agent's.
type Settings struct {
	Self        int
	Votes       bool
	Incarnation uint64 // the node's
	Machine     uint8  // its number in records
	Times       policy.Times
	Turns       int // the same at all agents; zero: none
	// Linger is the longest that a request may still be on its way, 30 s; Margin what is waited for beside, 10
	// s; Notice the least one of a window, window.LeastNotice: see window.Asking.
	Linger, Margin, Notice time.Duration
	// InForce is the newest version of the policy that was activated, by the records applied so far: the
	// policy's seat is to be a machine before this one.
	InForce func() uint64
	// See is what this process sees now; asked at a voter that leads, while there are windows.
	See func(now fleet.Reading) window.View
}

// New returns the seat of a process that starts.
func New(set Settings, now fleet.Reading) *Seat {
	s := &Seat{set: set, machine: window.NewMachine(set.InForce)}
	s.begin(now)
	return s
}

func (s *Seat) begin(now fleet.Reading) {
	s.agent = window.NewAgent(s.set.Turns)
	if s.set.Votes {
		s.council = window.NewCouncil(window.CouncilSettings{
			Times: s.set.Times, Linger: s.set.Linger,
			Margin: s.set.Margin,
		}, now)
	}
}

// Apply implements fleet.Machine.
func (s *Seat) Apply(seq uint64, data []byte) { s.machine.Apply(seq, data) }

// Snapshot implements fleet.Machine.
func (s *Seat) Snapshot() []byte { return s.machine.Snapshot() }

// Restore implements fleet.Machine.
func (s *Seat) Restore(data []byte) error { return s.machine.Restore(data) }

// Learn implements fleet.Above. Of a log that began anew, nothing of the former counts.
func (s *Seat) Learn(now fleet.Reading, anew bool) {
	if anew {
		s.begin(now)
	}
	s.agent.Learn(s.machine)
	if s.council != nil {
		s.council.Learn(now, s.machine)
	}
}

// Note implements fleet.Above: windows need none.
func (s *Seat) Note() []byte { return nil }

// May implements fleet.Above: windows have no say in leases, but note who holds them.
func (s *Seat) May(now fleet.Reading, agent int, _ uint64, _ []byte) bool {
	if s.council != nil {
		s.council.Granted(now, agent)
	}
	return true
}

// Heard implements fleet.Above: a voter is told how an agent's requests fare. Nothing is answered.
func (s *Seat) Heard(now fleet.Reading, from int, data []byte) []byte {
	if s.council != nil {
		s.council.Heard(now, from, data)
	}
	return nil
}

// Answered implements fleet.Above.
func (s *Seat) Answered(fleet.Reading, int, []byte) {}

// Due implements fleet.Above. Nothing is sent while no window moves anything.
func (s *Seat) Due(now fleet.Reading, v fleet.Voting) (due fleet.Due) {
	moves, next := s.machine.Moving(now.Unix)
	due.Next = now.Mono + min(max(next-now.Unix, window.TellEvery/4), time.Minute)
	if moves && now.Mono >= s.tell {
		s.number++
		data := window.Tell(s.set.Incarnation, s.number, s.taken(), s.storm)
		for _, voter := range v.Voters {
			due.Sends = append(due.Sends, fleet.Send{To: voter, Data: data})
		}
		s.tell = now.Mono + window.TellEvery
	}
	if moves {
		due.Next = min(due.Next, s.tell)
	}
	if s.council == nil || !v.Leads || s.council.Idle() {
		return due
	}
	records, again := s.council.Due(now, func() window.View { return s.see(now) })
	for _, r := range records {
		due.Records = append(due.Records, fleet.Proposal{Machine: s.set.Machine, Data: r})
	}
	due.Next = min(due.Next, again)
	return due
}

func (s *Seat) see(now fleet.Reading) window.View {
	if s.set.See == nil {
		return window.View{}
	}
	return s.set.See(now)
}

// taken are the counts of the tenants that windows move, which are told now.
func (s *Seat) taken() (counts []window.Count) {
	counts, s.counts = s.counts, nil
	return counts
}

// Avoid is what requests keep off now; all three are read for this decision. The same one while nothing
// changes; nil: nothing.
func (s *Seat) Avoid(now fleet.Reading, standing lease.Standing, acting policy.Acting) *decide.Avoid {
	return s.agent.Avoid(now, standing, acting)
}

// Moving tells whether a window moves something now, so that Counts are wanted.
func (s *Seat) Moving(now fleet.Reading) bool {
	moves, _ := s.machine.Moving(now.Unix)
	return moves
}

// Counts takes how tenants' requests have fared since it was called last, and whether the storm gate is on.
// Those of tenants that no window moves are left out.
func (s *Seat) Counts(now fleet.Reading, counts []window.Count, storm bool) {
	s.storm = storm
	for _, c := range counts {
		if !s.machine.Touches(c.Tenant, now.Unix) {
			continue
		}
		i := slices.IndexFunc(s.counts, func(o window.Count) bool { return o.Tenant == c.Tenant })
		if i < 0 && len(s.counts) < window.MaxCounts {
			s.counts = append(s.counts, c)
		} else if i >= 0 {
			s.counts[i].Asked, s.counts[i].Served = s.counts[i].Asked+c.Asked, s.counts[i].Served+c.Served
			s.counts[i].Failed, s.counts[i].First = s.counts[i].Failed+c.Failed, s.counts[i].First+c.First
		}
	}
}

// State is the windows that are known, as they stand now; those that are over for a day. They are not to be
// changed.
func (s *Seat) State(now fleet.Reading) []*window.Window {
	all := s.machine.Windows()
	for _, w := range all {
		w.State = w.Stage(now.Unix)
	}
	return all
}

// Agreed are the same, in the states that were agreed, whatever the clock shows.
func (s *Seat) Agreed() []*window.Window { return s.machine.Windows() }

// Revision is what the next ask is made from.
func (s *Seat) Revision() uint64 { return s.machine.Revision() }

// Outcome is what is known of an ask.
func (s *Seat) Outcome(id string) window.Outcome { return s.machine.Outcome(id) }

// Outcomes are the asks that are remembered, the newest last.
func (s *Seat) Outcomes() []window.Outcome { return s.machine.Outcomes() }

// Plan is the window that an ask would be, by this agent's scene, in which it sets Now, Windows, Moved,
// Turn, Notice and Margin; the contracts have to be those of the scene's Policy. The error is window.Fit's.
func (s *Seat) Plan(now fleet.Reading, ask window.Ask, scene window.Scene) (*window.Window, error) {
	scene.Now, scene.Windows, scene.Moved = now.Unix, s.live(), s.machine.Moved
	scene.Notice, scene.Margin = s.set.Notice, s.set.Margin
	if turns := window.Turns(s.set.Turns); turns > 0 {
		scene.Turn = func(n window.Node, from, to time.Duration) bool {
			return turns.Covers(n.ID, n.Zone, from, to)
		}
	}
	return window.Fit(ask, scene)
}

// ErrPolicy: a newer version of the policy was activated than the one that this agent acts on.
var ErrPolicy = errors.New("window: a newer policy takes hold; ask again in a moment")

// Record is what proposes an ask, as the window that it would be.
func (s *Seat) Record(now fleet.Reading, ask window.Ask, scene window.Scene) ([]byte, *window.Window, error) {
	if scene.Policy != s.set.InForce() {
		return nil, nil, ErrPolicy
	}
	w, err := s.Plan(now, ask, scene)
	if err != nil {
		return nil, nil, err
	}
	data, err := window.Accept(window.Asking{
		Window: w, Who: s.set.Self, Now: now.Unix, Policy: scene.Policy,
		Revision: s.machine.Revision(), Notice: s.set.Notice,
	})
	return data, w, err
}

// Stop is what proposes that a window returns at once, or, before it has begun, is not to be.
func (s *Seat) Stop(now fleet.Reading, id, reason string) []byte {
	return window.Stop(id, s.set.Self, now.Unix, reason)
}

func (s *Seat) live() []*window.Window {
	return slices.DeleteFunc(s.machine.Windows(), func(w *window.Window) bool {
		return w.State == window.Ended || w.State == window.Stopped
	})
}
