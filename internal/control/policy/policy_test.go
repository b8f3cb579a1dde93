package policy

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/fleet/lease"
)

func own() LocalSettings {
	return LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}, {Name: "west", QuotaPerSecond: 40}, {Name: "free"}},
		Classes: []balancer.Class{{Name: "find"}, {Name: "book"}}, Limits: balancer.Limits{MaxAttempts: 3},
	}}
}

// TestWhatADocumentMaySay: it stays within the settings and the floors; all else is told with its place.
func TestWhatADocumentMaySay(t *testing.T) {
	for text, want := range map[string]string{
		"":                                                         "",
		"[tenants.east]\nshare = 0.6":                              "",
		"[classes.find]\nattempts = 2":                             "",
		"[tenants.east]\nshare = 1.2":                              "policy:3:1: tenants.east.share: must be a number from 0.001 to 1",
		"[tenants.east]\nshare = 0.7":                              "tenants together get 1.1 of the settings' total",
		"[tenants.free]\nshare = 0.1":                              "the settings give no share to tenant free",
		"[tenants.north]\nshare = 0.1":                             "not in the settings: tenant north",
		"[classes.buy]\nattempts = 2":                              "not in the settings: class buy",
		"[classes.find]\nattempts = 4":                             "class find: the settings permit 3 attempts",
		"[classes.find]\ncopies = true":                            "class find: the settings forbid second copies",
		"[classes.find]\nattempts = 1":                             "allows less than its own floor: attempts of class find",
		"[classes.find]\npace_ms = 200":                            "allows less than its own floor: pace_ms of class find",
		"[throttle]\nin_vain = 0.05":                               "allows less than its own floor: in_vain",
		"[tenants.west]\nshare = 0.1":                              "allows less than its own floor: the share of tenant west",
		"[floor]\nattempts = 1\n[classes.find]\nattempts = 1":      "allows less than the floor: attempts of class find",
		"[tenants.east]\nshare = 0.6\n[tenants.west]\nshare = 0.5": "policy:2:2: tenants: the shares are 1.1 together, 1 at most",
		"[windows]":                                                "policy:2:2: windows: unknown key; there are format",
		"[classes.find]\ntries = 2":                                "policy:3:1: classes.find.tries: unknown key",
		"[contracts.east]\nzone = 'Europe/Bucharest'\nhours = ['mon-fri 20:00-06:00']":  "",
		"contracts.-.zone = 'UTC'\ncontracts.-.hours = ['sun 00:00-04:00']":             "",
		"[contracts.south]\nzone = 'Europe/Bucharest'\nhours = ['mon-fri 20:00-06:00']": "not in the settings: tenant south, which has a contract",
		"[contracts.east]\nzone = 'Bucharest'\nhours = ['mon 20:00-06:00']":             "policy:3:1: contracts.east.zone: \"Bucharest\" is no time zone",
		"[contracts.east]\nzone = 'UTC'\nhours = ['mon 20:00-06:00', 'late']":           "policy:4:1: contracts.east.hours[1]: \"late\" must be as",
		"[contracts.east]\nzone = 'UTC'\nhours = ['mon 01:00-02:00']\nnotice_min = -1":  "policy:5:1: contracts.east.notice_min: must be a whole number from 0 to 43200",
		"[capacity]\nload = 0.01":                             "policy:3:1: capacity.load: must be a number from 0.05 to 1",
		"[capacity]\nkinds = {lent = 0}":                      "policy:3:10: capacity.kinds.lent: must be a number from 0.01 to 100",
		"[capacity]\nkinds = {lent = 1.8}\nservers.a-1 = 1.2": "",
		"note = 1":   "policy:2:1: note: must be a string",
		"format = 2": "policy:2:1:",
		"note = '" + strings.Repeat("x", MaxDocumentSize) + "'": "is longer than",
	} {
		whole, err := AddZoneRules([]byte("format = 1\n"+text), time.Unix(1.8e9, 0))
		require.NoError(t, err)
		err = CheckDocument(whole, own(), InitialFloor())
		if want == "" {
			require.NoError(t, err, text)
			continue
		}
		require.ErrorContains(t, err, want, text)
		require.ErrorAs(t, err, &Rejection{})
	}
	both := own()
	both.Settings.Limits.Hedging = true
	doubled := InitialFloor()
	doubled.Hedging = true
	require.ErrorContains(t, CheckDocument([]byte("format = 1\n[classes.find]\ncopies = false\n"), both, doubled),
		"second copies of class find")
	require.NoError(t, CheckDocument([]byte("format = 1\n[classes.find]\ncopies = true\n"), both, InitialFloor()))
	d, err := ParseDocument("p", []byte("format = 1\n[tenants.east]\nshare = 0.5\n[classes.book]\nattempts = 2\ncopies = false\npace_ms = 5\n"+
		"[throttle]\nin_vain = 0.5"))
	require.NoError(t, err)
	e, err := d.Effect(own())
	require.NoError(t, err)
	require.Equal(t, &Effect{
		Quota: []float64{50, 40, 0}, MaxFailedRatio: 0.25, Capacity: Capacity{PeakLoad: 0.7, MaxUtilization: 0.9},
		Contracts: map[string]*contract.Contract{},
		Classes:   []ClassEffect{{MaxAttempts: 3}, {MaxAttempts: 2, MinAttemptInterval: 5 * time.Millisecond}},
	}, e)
}

// TestBottomCannotBeForbidden: whatever a document says, an agent that was cut off for long does what it allows.
func TestBottomCannotBeForbidden(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := own()
		set.Settings.Limits.MaxAttempts = rapid.IntRange(0, 4).Draw(t, "settings")
		set.Settings.Limits.Hedging = rapid.Bool().Draw(t, "copies")
		num := func(name string, least, most float64) float64 { return rapid.Float64Range(least, most).Draw(t, name) }
		text := fmt.Sprintf("format = 1\n[tenants.east]\nshare = %f\n[classes.find]\nattempts = %d\ncopies = %t\npace_ms = %f\n"+
			"[throttle]\nin_vain = %f\n[floor]\nshare = %f\nattempts = %d\npace_ms = %f\nin_vain = %f\n",
			num("share", 0.001, 1), rapid.IntRange(1, 4).Draw(t, "attempts"), rapid.Bool().Draw(t, "doubled"),
			num("pace", 0, 1000), num("in vain", 0.05, 1), num("floor's share", 0.001, 1),
			rapid.IntRange(1, 4).Draw(t, "floor's attempts"), num("floor's pace", 0, 1000), num("floor's in vain", 0.05, 1))
		d, err := ParseDocument("p", []byte(text))
		require.NoError(t, err)
		e, err := d.Effect(set)
		if err != nil {
			return
		}
		require.True(t, e.Allows(lowestFloor().Effect(set)), "%s", text)
		require.True(t, e.Allows(d.Floor().Effect(set)), "%s", text)
		require.True(t, d.Floor().Effect(set).Allows(lowestFloor().Effect(set)), "%s", text)
		require.True(t, set.unrestricted().Allows(InitialFloor().Effect(set)))
	})
}

func change(t require.TestingT, id string, base uint64, floor int) []byte {
	data, err := EncodeProposal(Proposal{
		ID: id, BaseVersion: base, Now: time.Hour, EffectiveAt: time.Hour + time.Second,
		Document: fmt.Appendf(nil, "format = 1\n[floor]\nattempts = %d\n", floor),
	})
	require.NoError(t, err)
	return data
}

// TestOneOfTwo: what becomes of proposals, in the order of the log.
func TestOneOfTwo(t *testing.T) {
	m := NewStateMachine()
	apply := func(data []byte) { m.Apply(0, data) }
	end := func(id string) string { o := m.Outcome(id); return o.Status.String() + ": " + o.Reason() }
	require.Equal(t, "ask again: ", end("a"))
	apply(change(t, "a", 0, 2))
	apply(change(t, "b", 0, 2))
	require.Equal(t, "ask again: ", end("a"))
	require.Equal(t, "not taken: another change, version 1, is open", end("b"))
	apply(marshal(record{Kind: kindActivated, Version: 1}))
	apply(marshal(record{Kind: kindAbandoned, Version: 1, Code: UnreadableDocument, Text: "late"}))
	require.Equal(t, "taken: ", end("a"))
	before := m.Snapshot()
	apply(change(t, "a", 0, 2)) // the same call again, and one that was made from what is not in force
	require.Equal(t, before, m.Snapshot())
	apply(change(t, "c", 0, 2))
	require.Equal(t, "not taken: version 1 is in force, not the one that it was made from", end("c"))
	early, _ := EncodeProposal(Proposal{ID: "d", BaseVersion: 1, Now: time.Hour, EffectiveAt: time.Hour, Document: []byte("format = 1")})
	apply(early)
	require.Equal(t, "not taken: version 1 has not taken hold yet", end("d"))
	late := func(id string, base uint64, floor int) {
		data, _ := EncodeProposal(Proposal{
			ID: id, BaseVersion: base, Now: 2 * time.Hour, EffectiveAt: 2 * time.Hour,
			Document: fmt.Appendf(nil, "format = 1\n[floor]\nattempts = %d\n", floor),
		})
		apply(data)
	}
	late("e", 1, 1)
	apply(marshal(record{Kind: kindAbandoned, Version: 2, Agent: 7, Code: UnknownClass, Text: "no such class"}))
	require.Equal(t, "not taken: agent 7 cannot use it: no such class", end("e"))
	require.Equal(t, uint64(1), m.State().InForce.Number)
	late("f", 1, 1)
	apply(marshal(record{Kind: kindActivated, Version: 3}))
	late("g", 3, 2)
	require.Equal(t, "not taken: agents that are cut off may still go by the floor that version 3 replaced", end("g"))
	apply(marshal(record{Kind: kindFloorReleased, Version: 3}))
	late("h", 3, 2)
	require.Equal(t, "ask again: ", end("h"))
	doc, ok := m.Document(1)
	require.True(t, ok)
	require.Contains(t, string(doc), "attempts = 2")
}

// TestAnyRecords: a log of anything makes the same state at all, within bounds, over any snapshot.
func TestAnyRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, other := NewStateMachine(), NewStateMachine()
		for i := range rapid.IntRange(0, 120).Draw(t, "records") {
			data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes")
			if kind := rapid.IntRange(0, 9).Draw(t, "kind"); kind > 0 {
				st := m.State()
				data = marshal(record{
					Kind: kindActivated, Version: st.LastNumber, ID: fmt.Sprint(i), BaseVersion: st.InForce.Number, Now: time.Duration(i),
					EffectiveAt: time.Duration(i), Document: make([]byte, rapid.IntRange(0, MaxDocumentSize+1).Draw(t, "length")),
				})
				if kind > 1 && st.OpenChange == nil {
					data[1] = byte(kindProposed)
				} else {
					data[1] = byte(rapid.IntRange(1, 7).Draw(t, "any"))
				}
			}
			m.Apply(uint64(i), data)
			if rapid.IntRange(0, 5).Draw(t, "restored") == 0 {
				require.NoError(t, other.Restore(other.Snapshot()))
			}
			other.Apply(uint64(i), data)
		}
		require.Equal(t, m.Snapshot(), other.Snapshot())
		require.Less(t, len(m.Snapshot()), 50<<10)
		_ = other.Restore(rapid.SliceOf(rapid.Byte()).Draw(t, "snapshot"))
		n, ok := DecodeAnswer(rapid.SliceOf(rapid.Byte()).Draw(t, "note"))
		if again, is := DecodeAnswer(n.Encode()); ok {
			require.True(t, is)
			require.Equal(t, n.Version, again.Version)
			require.LessOrEqual(t, len(n.Encode()), MaxAnswerSize)
		}
	})
}

// TestAgent: what it acts by, and what it answers.
func TestAgent(t *testing.T) {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: time.Hour + d, Mono: time.Hour + d}
	}
	a, m := NewAgent(own(), Times{FloorValidity: time.Minute}), NewStateMachine()
	acts := func(d time.Duration, s lease.Standing) string {
		act := a.Active(at(d), s)
		return fmt.Sprint(act.Mode, " ", act.Version)
	}
	learn := func(data []byte) { m.Apply(0, data); a.Learn(m) }
	require.Equal(t, "bottom 0", acts(0, lease.New))
	require.Equal(t, "full 0", acts(0, lease.Full))
	require.Empty(t, a.VotersToNotify(at(0), []int{1}))
	learn(change(t, "a", 0, 1))
	require.Equal(t, []int{1, 2}, a.VotersToNotify(at(0), []int{1, 2}))
	a.Acknowledged(2, a.EncodedAnswer())
	a.Acknowledged(1, Answer{Version: 9}.Encode()) // of another change
	require.Empty(t, a.VotersToNotify(at(time.Millisecond), []int{1, 2}), "not at once again")
	require.Equal(t, []int{1}, a.VotersToNotify(at(time.Second), []int{1, 2}))
	require.Equal(t, "full 0", acts(999*time.Millisecond, lease.Full))
	require.Equal(t, "floor 0", acts(time.Second, lease.Full), "it has promised")
	learn(marshal(record{Kind: kindPostponed, Version: 1, EffectiveAt: time.Hour + 2*time.Second}))
	require.Equal(t, "full 0", acts(time.Second, lease.Full))
	learn(marshal(record{Kind: kindActivated, Version: 1}))
	require.Equal(t, "full 0", acts(time.Second, lease.Full))
	require.Equal(t, "floor 0", acts(time.Second, lease.Floor))
	require.Equal(t, "full 1", acts(2*time.Second, lease.Full))
	require.Equal(t, "full 1", acts(time.Second, lease.Full), "its time does not go back")
	require.Equal(t, "floor 1", acts(30*time.Second, lease.Floor))
	require.Equal(t, "bottom 0", acts(2*time.Minute, lease.Floor))
	require.Same(t, a.Active(at(time.Minute), lease.Full).Effect, a.Active(at(time.Minute), lease.Full).Effect)

	narrow := own()
	narrow.Settings.Classes = narrow.Settings.Classes[:1]
	b := NewAgent(narrow, Times{})
	bad, _ := EncodeProposal(Proposal{
		ID: "b", BaseVersion: 1, Now: 2 * time.Hour, EffectiveAt: 2 * time.Hour,
		Document: []byte("format = 1\n[floor]\nattempts = 1\n[classes.book]\nattempts = 2"),
	})
	m.Apply(0, bad)
	b.Learn(m)
	n, ok := DecodeAnswer(b.EncodedAnswer())
	require.True(t, ok)
	require.Equal(t, Answer{Version: 2, Code: UnknownClass, Text: "not in the settings: class book"}, n)
	m.Apply(0, marshal(record{Kind: kindActivated, Version: 2})) // while it was down, say
	b.Learn(m)
	require.False(t, b.IsUsable())
	require.Equal(t, ModeFloor, b.Active(at(3*time.Hour), lease.Full).Mode)
}

// TestDocs: the example in the page for staff can be used, and its floor is the one that holds without any.
func TestDocs(t *testing.T) {
	page, err := os.ReadFile("../../../docs/policy.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "```toml policy\n")
	require.True(t, found)
	example, _, _ := strings.Cut(rest, "```")
	require.NoError(t, CheckDocument([]byte(example), own(), InitialFloor()))
	d, err := ParseDocument("example", []byte(example))
	require.NoError(t, err)
	require.Equal(t, InitialFloor(), d.Floor())
	plain, err := ParseDocument("plain", []byte("format = 1"))
	require.NoError(t, err)
	require.Equal(t, InitialFloor(), plain.Floor())
}

// TestVoter: who is granted a lease while a change is open, and when that all have promised is reported.
func TestVoter(t *testing.T) {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: time.Hour + d, Mono: time.Hour + d}
	}
	yes, no := Answer{Version: 1}.Encode(), Answer{Version: 1, Code: SharesExceedTotal, Text: "too much"}.Encode()
	begin := func() (*Voter, *StateMachine) {
		v, m := NewVoter(3, Times{}, at(-time.Minute)), NewStateMachine()
		require.True(t, v.AllowLease(at(0), 5, 1, nil))
		require.True(t, v.AllowLease(at(0), 5, 2, nil), "the process that takes over")
		m.Apply(0, change(t, "a", 0, 2))
		v.Learn(m)
		return v, m
	}
	due := func(v *Voter, d time.Duration) (kinds []recordKind) {
		records, next := v.Due(at(d))
		require.Greater(t, next, at(d).Mono)
		for _, data := range records {
			var r record
			require.NoError(t, decoding.Unmarshal(data, &r))
			kinds = append(kinds, r.Kind)
		}
		return kinds
	}
	v, m := begin()
	require.False(t, v.AllowLease(at(0), 6, 1, nil), "has not learnt it")
	require.False(t, v.AllowLease(at(0), 6, 1, make([]byte, 99)))
	require.Empty(t, due(v, 0))
	v.AnswerReceived(5, 1, yes)
	require.Empty(t, due(v, 0), "the other process has not")
	v.AnswerReceived(5, 2, yes)
	require.Equal(t, []recordKind{kindPromised}, due(v, 0))
	require.Empty(t, due(v, 0), "it is on its way")
	m.Apply(0, marshal(record{Kind: kindPromised, Version: 1, Agent: 3}))
	v.Learn(m)
	require.Empty(t, due(v, time.Minute))

	v = NewVoter(3, Times{}, at(-time.Minute))
	require.True(t, v.AllowLease(at(0), 5, 1, nil))
	v.AnswerReceived(5, 1, yes)
	require.True(t, v.AllowLease(at(0), 5, 1, nil), "an older request, overtaken, at a voter that has not learnt it yet")
	m = NewStateMachine()
	m.Apply(0, change(t, "a", 0, 2))
	v.Learn(m)
	require.Equal(t, []recordKind{kindPromised}, due(v, 0), "what it said before holds")

	v, _ = begin()
	require.Empty(t, due(v, 3*time.Second))
	require.Equal(t, []recordKind{kindPromised}, due(v, 5*time.Second), "their leases are over")
	v, _ = begin()
	v.ProcessStopped(5, 1)
	v.ProcessStopped(5, 2)
	require.Equal(t, []recordKind{kindPromised}, due(v, 0))
	v, _ = begin()
	v.startedAt = at(0)
	v.ProcessStopped(5, 1)
	v.ProcessStopped(5, 2)
	require.Empty(t, due(v, 3*time.Second), "a former process of the voter's may have granted some")

	v, m = begin()
	require.False(t, v.AllowLease(at(0), 5, 1, no))
	require.Equal(t, []recordKind{kindAbandoned}, due(v, 0))
	v = NewVoter(3, Times{}, at(0))
	require.True(t, v.AllowLease(at(0), 5, 1, no), "of a change that the voter has not learnt yet")
	v.Learn(m)
	require.Equal(t, []recordKind{kindAbandoned}, due(v, 0))
}

// TestCouncil: when a change is activated, put off or abandoned.
func TestCouncil(t *testing.T) {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: time.Hour + d, Mono: time.Hour + d}
	}
	yes := Answer{Version: 1}.Encode()
	for name, c := range map[string]struct {
		note   []byte
		voters []int
		since  time.Duration // of the voters
		floor  int
		at     time.Duration
		want   []recordKind
	}{
		"all have reported":       {yes, []int{3}, -time.Minute, 2, 0, []recordKind{kindActivated}},
		"one has not":             {yes, []int{3, 4}, -time.Minute, 2, 0, nil},
		"nor in time":             {yes, []int{3, 4}, -time.Minute, 2, 700 * time.Millisecond, []recordKind{kindPostponed}},
		"late":                    {yes, []int{3}, -time.Minute, 2, 700 * time.Millisecond, []recordKind{kindPostponed, kindActivated}},
		"the voters just changed": {yes, []int{3}, -time.Second, 2, 0, nil},
		"nobody knows the voters": {yes, nil, 0, 2, 0, nil},
		"at the fence":            {yes, []int{3, 4}, 0, 2, 6 * time.Second, []recordKind{kindPostponed, kindActivated}},
		"not looked at here":      {nil, []int{3}, -time.Minute, 2, 0, nil},
		"not usable here":         {Answer{Version: 1, Code: BelowFloor}.Encode(), []int{3}, -time.Minute, 2, 0, []recordKind{kindAbandoned}},
	} {
		m, council := NewStateMachine(), NewProposer(3, Times{})
		if c.voters != nil {
			council.SetVoters(at(c.since-time.Minute), c.voters, 1)
			council.SetVoters(at(c.since), c.voters, 2)
		}
		m.Apply(0, change(t, "a", 0, c.floor))
		m.Apply(0, marshal(record{Kind: kindPromised, Version: 1, Agent: 3}))
		council.Learn(at(0), m, c.note)
		records, next := council.Due(at(c.at))
		require.Greater(t, next, at(c.at).Mono)
		var kinds []recordKind
		for _, data := range records {
			var r record
			require.NoError(t, decoding.Unmarshal(data, &r))
			kinds = append(kinds, r.Kind)
		}
		require.Equal(t, c.want, kinds, name)
		again, _ := council.Due(at(c.at))
		require.Empty(t, again, name)
	}
}

// TestWhatIsAgreedOnServersHoldsOnTheFloor: contracts and capacities are the same with a lease and without one,
// and where settings that changed later cannot use the document; the bottom and version 0 have none.
func TestWhatIsAgreedOnServersHoldsOnTheFloor(t *testing.T) {
	at := lease.ClockReading{Unix: 2 * time.Hour, Mono: time.Hour}
	m := NewStateMachine()
	apply := func(document string) {
		data, err := EncodeProposal(Proposal{ID: "a", Now: time.Hour, EffectiveAt: time.Hour, Document: []byte("format = 1\n" + document)})
		require.NoError(t, err)
		m.Apply(0, data)
	}
	learned, started := NewAgent(own(), Times{}), NewAgent(own(), Times{})
	require.Zero(t, learned.Active(at, lease.Full).Effect.Capacity)
	apply("[contracts.east]\nzone = 'UTC'\nhours = ['mon 01:00-02:00']\nkeep = 0.8\n[capacity]\nkinds = {lent = 2}\nservers = {a = 3}")
	learned.Learn(m) // checks it while it is open
	m.Apply(0, marshal(record{Kind: kindActivated, Version: 1}))
	for _, a := range []*Agent{learned, started} {
		a.Learn(m)
		for _, standing := range []lease.Standing{lease.Full, lease.Floor} {
			e := a.Active(at, standing).Effect
			require.Equal(t, 0.8, e.Contracts["east"].KeptCapacity())
			require.Nil(t, e.Contracts["west"])
			require.Equal(t, []float64{3, 2, 1}, []float64{e.Capacity.Of("a", "lent"), e.Capacity.Of("b", "lent"), e.Capacity.Of("b", "")})
		}
		narrow := own()
		narrow.Settings.Tenants = nil
		a.SetLocalSettings(narrow)
		require.Equal(t, ModeFloor, a.Active(at, lease.Full).Mode)
		require.Contains(t, a.Active(at, lease.Full).Effect.Contracts, "east")
		require.Nil(t, a.Active(at, lease.New).Effect.Contracts)
	}
}

// A document is proposed with what clocks show in its zones, each once: as it was filled in it is anew the next time,
// what its author said of a zone stays, and an agent refuses one that says nothing.
func TestZonesAreAgreed(t *testing.T) {
	const contracts = "format = 1\n[contracts.east]\nzone = 'Europe/Bucharest'\nhours = ['mon-fri 20:00-06:00']\n"
	first, later := time.Unix(1.8e9, 0), time.Unix(1.9e9, 0)
	require.ErrorContains(t, CheckDocument([]byte(contracts), own(), InitialFloor()), "does not say what clocks show in Europe/Bucharest")
	whole, err := AddZoneRules([]byte(contracts), first)
	require.NoError(t, err)
	require.NoError(t, CheckDocument(whole, own(), InitialFloor()))
	again, err := AddZoneRules(whole, later)
	require.NoError(t, err)
	fresh, err := AddZoneRules([]byte(contracts), later)
	require.NoError(t, err)
	require.Equal(t, string(fresh), string(again))
	require.NotEqual(t, string(fresh), string(whole))
	after := string(whole) + "[classes.find]\nattempts = 2\n" // what stands after it is not lost
	kept, err := AddZoneRules([]byte(after), later)
	require.NoError(t, err)
	require.Equal(t, after, string(kept))

	const law = "[zones.'Europe/Bucharest']\nchanges = ['2026-01-01T00:00:00Z +02:00', '2031-01-01T00:00:00Z end']\n"
	said, err := AddZoneRules([]byte(contracts+law+"[contracts.-]\nzone = 'Asia/Tokyo'\nhours = ['mon 01:00-02:00']\n"), first)
	require.NoError(t, err)
	d, err := ParseDocument("said", said)
	require.NoError(t, err)
	require.ErrorContains(t, d.ZoneDifferences(), "Europe/Bucharest: ")
	require.NotContains(t, d.ZoneDifferences().Error(), "Tokyo")
	summer := time.Duration(time.Date(2027, 7, 1, 17, 30, 0, 0, time.UTC).UnixNano()) // 19:30, and 20:30 by the law until now
	require.False(t, d.contracts["east"].Allows(summer))
	ruled, err := ParseDocument("whole", whole)
	require.NoError(t, err)
	require.NoError(t, ruled.ZoneDifferences())
	require.True(t, ruled.contracts["east"].Allows(summer))
	_, err = ParseDocument("wrong", []byte(strings.Replace(contracts+law, "+02:00", "", 1)))
	require.ErrorContains(t, err, "contracts.east.zone: ")
}
