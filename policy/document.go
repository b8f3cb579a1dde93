package policy

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dunestep/contract"
	"dunestep/decide"
	"dunestep/internal/strict"
)

const (
	// Format is the one that this build reads. One that it cannot read is refused, so that a change waits until
	// every agent that acts can.
	Format = 1
	// MaxDocument is the most bytes that a document may have: three of them, in force, before it and open, have
	// to go into one snapshot beside what others keep there.
	MaxDocument = 14 << 10
)

// Code is why an agent says no, in short. The codes are part of what agents tell each other.
type Code uint8

// The codes.
const (
	Yes           Code = iota
	Unreadable         // not read by this build: malformed, or of a later format
	UnknownTenant      // none of the settings'
	UnknownClass       // none of the settings'
	OverTotal          // the tenants' shares are more than there is
	TooManyTries       // more attempts than the settings permit
	CopiesForbid       // second copies, which the settings forbid
	BelowFloor         // allows less than the floor that is agreed, or a former one that may still be gone by
	BelowOwnFloor      // allows less than its own floor
	FloorUnlike        // the floor told with the document is not the document's
)

// Refusal is why a document cannot be used with an agent's own settings.
type Refusal struct {
	Code Code
	Text string // for staff
}

func (r Refusal) Error() string { return r.Text }

// Document is a policy as its author wrote it, read but not yet held against any settings.
type Document struct {
	file      file
	copies    map[string]bool // classes for which second copies are asked for in so many words
	contracts map[string]*contract.Contract
	unruled   string // a zone of theirs whose rules the document does not say
}

type file struct {
	Format   int64            `toml:"format,need" range:"1..1"`
	Note     string           `toml:"note"`
	Tenants  map[string]share `toml:"tenants"`
	Classes  map[string]asked `toml:"classes"`
	Throttle throttle         `toml:"throttle"`
	Floor    Floor            `toml:"floor"`
	// Contracts are by tenants of the settings; contract "-" is for requests of none of them.
	Contracts map[string]contract.Table `toml:"contracts"`
	Capacity  Capacity                  `toml:"capacity"`
	// Zones are what clocks show in the contracts' zones; Fill fills in those that are left out.
	Zones map[string]clocks `toml:"zones"`
}

type clocks struct {
	Changes []string `toml:"changes,need"` // contract.RulesOf
}

type share struct {
	// Share is the tenant's part of all that the settings give to tenants together.
	Share float64 `toml:"share,need" range:"0.001..1"`
}

type asked struct {
	Attempts int           `toml:"attempts" range:"1..10"` // zero: as the settings
	Copies   bool          `toml:"copies" default:"true"`
	Pace     time.Duration `toml:"pace_ms" range:"0..1000"`
}

type throttle struct {
	InVain float64 `toml:"in_vain" range:"0.05..1" default:"1"`
}

// Read reads a document. The error is strict.Problems, with lines and columns.
func Read(name string, data []byte) (*Document, error) {
	if len(data) > MaxDocument {
		return nil, strict.Problems{{File: name, Text: fmt.Sprintf("is longer than %d bytes", MaxDocument)}}
	}
	d := &Document{copies: map[string]bool{}}
	err := strict.Read(name, data, &d.file, func(doc *strict.Document) {
		for class, a := range d.file.Classes {
			d.copies[class] = a.Copies && doc.Has("classes."+class, "copies")
		}
		var sum float64
		for _, tenant := range slices.Sorted(maps.Keys(d.file.Tenants)) {
			sum += d.file.Tenants[tenant].Share
		}
		if sum > 1+rounding {
			doc.Complain("tenants", "the shares are %.4g together, 1 at most", sum)
		}
		d.readContracts(doc)
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

// readContracts checks what the tags of a contract cannot say.
func (d *Document) readContracts(doc *strict.Document) {
	d.contracts = map[string]*contract.Contract{} // never nil, so that none is told from not known
	for _, name := range slices.Sorted(maps.Keys(d.file.Contracts)) {
		path := "contracts." + name
		if !doc.Sound(path) {
			continue
		}
		c, err := d.readContract(d.file.Contracts[name])
		if wrong := contract.Problems(nil); errors.As(err, &wrong) {
			for _, p := range wrong {
				doc.Complain(path+"."+p.Key, "%s", p.Text)
			}
			continue
		}
		d.contracts[name] = c
	}
}

// readContract goes by what the document says of its zone; without, as before it is proposed, by this
// machine's zone data.
func (d *Document) readContract(t contract.Table) (*contract.Contract, error) {
	if c, is := d.file.Zones[t.Zone]; is {
		return t.ContractBy(c.Changes)
	}
	if !contract.Fixed(t.Zone) {
		d.unruled = t.Zone
	}
	return t.Contract()
}

// rounding is how far sums of shares may be off.
const rounding = 1e-9

// Note is what its author says of it.
func (d *Document) Note() string { return d.file.Note }

// Floor is the document's own.
func (d *Document) Floor() Floor { return d.file.Floor }

// Own is what an agent holds a document against: what its settings permit, and its own figure of the throttle
// (storm.Figures.InVain; zero: none).
type Own struct {
	Settings decide.Settings
	InVain   float64
}

// tries are the attempts that the settings permit, as the module counts them.
func (o Own) tries() int { return max(o.Settings.Limits.MaxAttempts, 1) }

func (o Own) inVain() float64 {
	if o.InVain <= 0 {
		return 1
	}
	return o.InVain
}

// total is what the settings give to tenants together, in requests a second.
func (o Own) total() (sum float64) {
	for _, t := range o.Settings.Tenants {
		sum += max(t.QuotaPerS, 0)
	}
	return sum
}

// Effect is what the document means with these settings, or a Refusal.
func (d *Document) Effect(own Own) (*Effect, error) {
	e := own.plain()
	if err := d.quotas(own, e); err != nil {
		return nil, err
	}
	if err := d.classes(own, e); err != nil {
		return nil, err
	}
	if err := d.agrees(own, e); err != nil {
		return nil, err
	}
	e.InVain = min(e.InVain, d.file.Throttle.InVain)
	if lack := e.lacks(own, d.file.Floor.Effect(own)); lack != "" {
		return nil, Refusal{BelowOwnFloor, "allows less than its own floor: " + lack}
	}
	return e, nil
}

func (d *Document) quotas(own Own, e *Effect) error {
	total, sum, known := own.total(), 0.0, 0
	for i, t := range own.Settings.Tenants {
		if s, is := d.file.Tenants[t.Name]; is {
			known++
			if t.QuotaPerS <= 0 {
				return Refusal{UnknownTenant, "the settings give no share to tenant " + t.Name}
			}
			e.Quota[i] = s.Share * total
		}
		sum += max(e.Quota[i], 0)
	}
	if known < len(d.file.Tenants) {
		return Refusal{UnknownTenant, "not in the settings: tenant " + strange(d.file.Tenants, e.tenants(own))}
	}
	if sum > total*(1+rounding) {
		return Refusal{OverTotal, fmt.Sprintf("tenants together get %.4g of the settings' total", sum/total)}
	}
	return nil
}

func (d *Document) classes(own Own, e *Effect) error {
	known := 0
	for i, c := range own.Settings.Classes {
		a, is := d.file.Classes[c.Name]
		if !is {
			continue
		}
		known++
		switch {
		case a.Attempts > own.tries():
			return Refusal{TooManyTries, fmt.Sprintf("class %s: the settings permit %d attempts", c.Name, own.tries())}
		case d.copies[c.Name] && !own.Settings.Limits.SecondCopies:
			return Refusal{CopiesForbid, "class " + c.Name + ": the settings forbid second copies"}
		case a.Attempts > 0:
			e.Classes[i].Attempts = a.Attempts
		}
		e.Classes[i].Copies = e.Classes[i].Copies && a.Copies
		e.Classes[i].Pace = a.Pace
	}
	if known < len(d.file.Classes) {
		var names []string
		for _, c := range own.Settings.Classes {
			names = append(names, c.Name)
		}
		return Refusal{UnknownClass, "not in the settings: class " + strange(d.file.Classes, names)}
	}
	return nil
}

// agrees adds the contracts and capacities, which hold for the floor too.
func (d *Document) agrees(own Own, e *Effect) error {
	if name := strange(d.contracts, append(e.tenants(own), "-")); name != "" {
		return Refusal{UnknownTenant, "not in the settings: tenant " + name + ", which has a contract"}
	}
	e.Contracts, e.Capacity = d.contracts, d.file.Capacity
	return nil
}

// strange is the first name of a table that is none of those known.
func strange[V any](table map[string]V, known []string) string {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if !slices.Contains(known, name) {
			return name
		}
	}
	return ""
}

// Check tells with a Refusal why a document cannot be used with an agent's settings where the floors that a
// document has to allow are these.
func Check(data []byte, own Own, floors ...Floor) error {
	_, _, err := check(data, own, floors)
	return err
}

// check returns what it could read, too.
func check(data []byte, own Own, floors []Floor) (*Document, *Effect, error) {
	d, err := Read("policy", data)
	if err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return nil, nil, Refusal{Unreadable, first}
	}
	if d.unruled != "" { // each agent would go by its machine's, and two may differ
		return d, nil, Refusal{Unreadable, "does not say what clocks show in " + d.unruled +
			": propose it at an agent of this build"}
	}
	e, err := d.Effect(own)
	if err != nil {
		return d, nil, err
	}
	for _, f := range floors {
		if lack := e.lacks(own, f.Effect(own)); lack != "" {
			return d, nil, Refusal{BelowFloor, "allows less than the floor: " + lack}
		}
	}
	return d, e, nil
}
