package policy

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/stricttoml"
)

const (
	// DocumentFormat is the one that this build reads. One that it cannot read is refused, so that a change waits until
	// every agent that acts can.
	DocumentFormat = 1
	// MaxDocumentSize is the most bytes that a document may have: three of them, in force, before it and open, have
	// to go into one snapshot beside what others keep there.
	MaxDocumentSize = 14 << 10
)

// AnswerCode is why an agent says no, in short. The codes are part of what agents tell each other.
type AnswerCode uint8

// The codes.
const (
	Accepted           AnswerCode = iota
	UnreadableDocument            // not read by this build: malformed, or of a later format
	UnknownTenant                 // none of the settings'
	UnknownClass                  // none of the settings'
	SharesExceedTotal             // the tenants' shares are more than there is
	TooManyAttempts               // more attempts than the settings permit
	HedgingForbidden              // second copies, which the settings forbid
	BelowFloor                    // allows less than the floor that is agreed, or a former one that may still be gone by
	BelowOwnFloor                 // allows less than its own floor
	FloorMismatch                 // the floor told with the document is not the document's
)

// Rejection is why a document cannot be used with an agent's own settings.
type Rejection struct {
	Code AnswerCode
	Text string // for staff
}

func (r Rejection) Error() string { return r.Text }

// Document is a policy as its author wrote it, read but not yet held against any settings.
type Document struct {
	file             documentTable
	hedgingRequested map[string]bool // classes for which second copies are asked for in so many words
	contracts        map[string]*contract.Contract
	zoneWithoutRules string // a zone of theirs whose rules the document does not say
}

type documentTable struct {
	Format   int64                  `toml:"format,need" range:"1..1"`
	Note     string                 `toml:"note"`
	Tenants  map[string]tenantTable `toml:"tenants"`
	Classes  map[string]classTable  `toml:"classes"`
	Throttle throttleTable          `toml:"throttle"`
	Floor    Floor                  `toml:"floor"`
	// Contracts are by tenants of the settings; contract "-" is for requests of none of them.
	Contracts map[string]contract.Table `toml:"contracts"`
	Capacity  Capacity                  `toml:"capacity"`
	// Zones are what clocks show in the contracts' zones; AddZoneRules fills in those that are left out.
	Zones map[string]zoneTable `toml:"zones"`
}

type zoneTable struct {
	Changes []string `toml:"changes,need"` // contract.ZoneRules
}

type tenantTable struct {
	// QuotaShare is the tenant's part of all that the settings give to tenants together.
	Share float64 `toml:"share,need" range:"0.001..1"`
}

type classTable struct {
	Attempts           int           `toml:"attempts" range:"1..10"` // zero: as the settings
	Hedging            bool          `toml:"copies" default:"true"`
	MinAttemptInterval time.Duration `toml:"pace_ms" range:"0..1000"`
}

type throttleTable struct {
	MaxFailedRatio float64 `toml:"in_vain" range:"0.05..1" default:"1"`
}

// ParseDocument reads a document. The error is stricttoml.Problems, with lines and columns.
func ParseDocument(name string, data []byte) (*Document, error) {
	if len(data) > MaxDocumentSize {
		return nil, stricttoml.Problems{{File: name, Text: fmt.Sprintf("is longer than %d bytes", MaxDocumentSize)}}
	}
	d := &Document{hedgingRequested: map[string]bool{}}
	err := stricttoml.Read(name, data, &d.file, func(doc *stricttoml.Document) {
		for class, a := range d.file.Classes {
			d.hedgingRequested[class] = a.Hedging && doc.Has("classes."+class, "copies")
		}
		var sum float64
		for _, tenant := range slices.Sorted(maps.Keys(d.file.Tenants)) {
			sum += d.file.Tenants[tenant].Share
		}
		if sum > 1+shareTolerance {
			doc.Complain("tenants", "the shares are %.4g together, 1 at most", sum)
		}
		d.parseContracts(doc)
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

// parseContracts checks what the tags of a contract cannot say.
func (d *Document) parseContracts(doc *stricttoml.Document) {
	d.contracts = map[string]*contract.Contract{} // never nil, so that none is told from not known
	for _, name := range slices.Sorted(maps.Keys(d.file.Contracts)) {
		path := "contracts." + name
		if !doc.Sound(path) {
			continue
		}
		c, err := d.parseContract(d.file.Contracts[name])
		if wrong := contract.Problems(nil); errors.As(err, &wrong) {
			for _, p := range wrong {
				doc.Complain(path+"."+p.Key, "%s", p.Text)
			}
			continue
		}
		d.contracts[name] = c
	}
}

// parseContract goes by what the document says of its zone; without, as before it is proposed, by this
// machine's zone data.
func (d *Document) parseContract(t contract.Table) (*contract.Contract, error) {
	if c, is := d.file.Zones[t.Zone]; is {
		return t.ContractWithRules(c.Changes)
	}
	if !contract.IsFixedZone(t.Zone) {
		d.zoneWithoutRules = t.Zone
	}
	return t.Contract()
}

// rounding is how far sums of shares may be off.
const shareTolerance = 1e-9

// EncodedAnswer is what its author says of it.
func (d *Document) Note() string { return d.file.Note }

// FloorValidity is the document's own.
func (d *Document) Floor() Floor { return d.file.Floor }

// LocalSettings is what an agent holds a document against: what its settings permit, and its own figure of the throttle
// (overload.Config.MaxFailedRatio; zero: none).
type LocalSettings struct {
	Settings       balancer.Settings
	MaxFailedRatio float64
}

// tries are the attempts that the settings permit, as the module counts them.
func (o LocalSettings) maxAttempts() int { return max(o.Settings.Limits.MaxAttempts, 1) }

func (o LocalSettings) maxFailedRatio() float64 {
	if o.MaxFailedRatio <= 0 {
		return 1
	}
	return o.MaxFailedRatio
}

// total is what the settings give to tenants together, in requests a second.
func (o LocalSettings) totalQuota() (sum float64) {
	for _, t := range o.Settings.Tenants {
		sum += max(t.QuotaPerSecond, 0)
	}
	return sum
}

// Effect is what the document means with these settings, or a Rejection.
func (d *Document) Effect(own LocalSettings) (*Effect, error) {
	e := own.unrestricted()
	if err := d.applyQuotas(own, e); err != nil {
		return nil, err
	}
	if err := d.applyClasses(own, e); err != nil {
		return nil, err
	}
	if err := d.addContracts(own, e); err != nil {
		return nil, err
	}
	e.MaxFailedRatio = min(e.MaxFailedRatio, d.file.Throttle.MaxFailedRatio)
	if lack := e.firstViolated(own, d.file.Floor.Effect(own)); lack != "" {
		return nil, Rejection{BelowOwnFloor, "allows less than its own floor: " + lack}
	}
	return e, nil
}

func (d *Document) applyQuotas(own LocalSettings, e *Effect) error {
	total, sum, known := own.totalQuota(), 0.0, 0
	for i, t := range own.Settings.Tenants {
		if s, is := d.file.Tenants[t.Name]; is {
			known++
			if t.QuotaPerSecond <= 0 {
				return Rejection{UnknownTenant, "the settings give no share to tenant " + t.Name}
			}
			e.Quota[i] = s.Share * total
		}
		sum += max(e.Quota[i], 0)
	}
	if known < len(d.file.Tenants) {
		return Rejection{UnknownTenant, "not in the settings: tenant " + firstUnknown(d.file.Tenants, e.tenantNames(own))}
	}
	if sum > total*(1+shareTolerance) {
		return Rejection{SharesExceedTotal, fmt.Sprintf("tenants together get %.4g of the settings' total", sum/total)}
	}
	return nil
}

func (d *Document) applyClasses(own LocalSettings, e *Effect) error {
	known := 0
	for i, c := range own.Settings.Classes {
		a, is := d.file.Classes[c.Name]
		if !is {
			continue
		}
		known++
		switch {
		case a.Attempts > own.maxAttempts():
			return Rejection{TooManyAttempts, fmt.Sprintf("class %s: the settings permit %d attempts", c.Name, own.maxAttempts())}
		case d.hedgingRequested[c.Name] && !own.Settings.Limits.Hedging:
			return Rejection{HedgingForbidden, "class " + c.Name + ": the settings forbid second copies"}
		case a.Attempts > 0:
			e.Classes[i].MaxAttempts = a.Attempts
		}
		e.Classes[i].Hedging = e.Classes[i].Hedging && a.Hedging
		e.Classes[i].MinAttemptInterval = a.MinAttemptInterval
	}
	if known < len(d.file.Classes) {
		var names []string
		for _, c := range own.Settings.Classes {
			names = append(names, c.Name)
		}
		return Rejection{UnknownClass, "not in the settings: class " + firstUnknown(d.file.Classes, names)}
	}
	return nil
}

// agrees adds the contracts and capacities, which hold for the floor too.
func (d *Document) addContracts(own LocalSettings, e *Effect) error {
	if name := firstUnknown(d.contracts, append(e.tenantNames(own), "-")); name != "" {
		return Rejection{UnknownTenant, "not in the settings: tenant " + name + ", which has a contract"}
	}
	e.Contracts, e.Capacity = d.contracts, d.file.Capacity
	return nil
}

// strange is the first name of a table that is none of those known.
func firstUnknown[V any](table map[string]V, known []string) string {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if !slices.Contains(known, name) {
			return name
		}
	}
	return ""
}

// CheckDocument tells with a Rejection why a document cannot be used with an agent's settings where the floors that a
// document has to allow are these.
func CheckDocument(data []byte, own LocalSettings, floors ...Floor) error {
	_, _, err := checkDocument(data, own, floors)
	return err
}

// check returns what it could read, too.
func checkDocument(data []byte, own LocalSettings, floors []Floor) (*Document, *Effect, error) {
	d, err := ParseDocument("policy", data)
	if err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return nil, nil, Rejection{UnreadableDocument, first}
	}
	if d.zoneWithoutRules != "" { // each agent would go by its machine's, and two may differ
		return d, nil, Rejection{UnreadableDocument, "does not say what clocks show in " + d.zoneWithoutRules +
			": propose it at an agent of this build"}
	}
	e, err := d.Effect(own)
	if err != nil {
		return d, nil, err
	}
	for _, f := range floors {
		if lack := e.firstViolated(own, f.Effect(own)); lack != "" {
			return d, nil, Rejection{BelowFloor, "allows less than the floor: " + lack}
		}
	}
	return d, e, nil
}
