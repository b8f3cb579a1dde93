package policy

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/stricttoml"
)

const (
	// DocumentFormat is the document format that this build reads. A build rejects a later one, so a change of
	// format waits until every agent that acts can read it.
	DocumentFormat = 1
	// MaxDocumentSize is the maximum size of a document, in bytes. The snapshot contains three documents (in
	// force, previous and open) beside the state of the other state machines.
	MaxDocumentSize = 14 << 10
)

// shareTolerance is the rounding error allowed in a sum of shares.
const shareTolerance = 1e-9

// Document is a policy as its author wrote it, parsed but not yet checked against any settings.
type Document struct {
	file             documentTable
	hedgingRequested map[string]bool // by class: whether the document sets copies = true explicitly
	contracts        map[string]*contract.Contract
	zoneWithoutRules string // a contract's time zone that the document has no rules for; empty if none
}

// documentTable is the TOML schema of a document. docs/policy.md explains its keys to operators.
type documentTable struct {
	Format   int64                  `toml:"format,need" range:"1..1"`
	Note     string                 `toml:"note"`
	Tenants  map[string]tenantTable `toml:"tenants"`
	Classes  map[string]classTable  `toml:"classes"`
	Throttle throttleTable          `toml:"throttle"`
	Floor    Floor                  `toml:"floor"`
	// Contracts are the contracts by tenant; "-" is the key for requests that belong to no tenant of the
	// settings.
	Contracts map[string]contract.Table `toml:"contracts"`
	Capacity  Capacity                  `toml:"capacity"`
	// Zones are the UTC offsets of the contracts' time zones; AddZoneRules adds the missing ones.
	Zones map[string]zoneTable `toml:"zones"`
}

type zoneTable struct {
	Changes []string `toml:"changes,need"` // in the format of contract.ZoneRules
}

type tenantTable struct {
	// Share is the tenant's fraction of the quota that the settings give to all tenants together.
	Share float64 `toml:"share,need" range:"0.001..1"`
}

type classTable struct {
	Attempts           int           `toml:"attempts" range:"1..10"` // zero if the settings decide
	Hedging            bool          `toml:"copies" default:"true"`
	MinAttemptInterval time.Duration `toml:"pace_ms" range:"0..1000"`
}

type throttleTable struct {
	MaxFailedRatio float64 `toml:"in_vain" range:"0.05..1" default:"1"`
}

// ParseDocument parses a document. The error is stricttoml.Problems, which gives name as the file, with lines
// and columns.
func ParseDocument(name string, data []byte) (*Document, error) {
	if len(data) > MaxDocumentSize {
		return nil, stricttoml.Problems{{File: name, Text: fmt.Sprintf("is longer than %d bytes", MaxDocumentSize)}}
	}
	d := &Document{hedgingRequested: map[string]bool{}}
	err := stricttoml.Read(name, data, &d.file, func(doc *stricttoml.Document) {
		for class, table := range d.file.Classes {
			d.hedgingRequested[class] = table.Hedging && doc.Has("classes."+class, "copies")
		}
		d.checkShares(doc)
		d.parseContracts(doc)
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

// checkShares adds a problem if the tenants' shares sum to more than 1.
func (d *Document) checkShares(doc *stricttoml.Document) {
	var sum float64
	for _, tenant := range slices.Sorted(maps.Keys(d.file.Tenants)) {
		sum += d.file.Tenants[tenant].Share
	}
	if sum > 1+shareTolerance {
		doc.AddProblem("tenants", "the shares sum to %.4g; the maximum is 1", sum)
	}
}

// parseContracts parses the contracts and adds a problem for each violated rule that the struct tags of a
// contract's table cannot express.
func (d *Document) parseContracts(doc *stricttoml.Document) {
	d.contracts = map[string]*contract.Contract{} // not nil, because nil means "unknown" in an Effect
	for _, name := range slices.Sorted(maps.Keys(d.file.Contracts)) {
		path := "contracts." + name
		if !doc.IsValid(path) {
			continue
		}
		c, err := d.parseContract(d.file.Contracts[name])
		if problems := contract.Problems(nil); errors.As(err, &problems) {
			for _, p := range problems {
				doc.AddProblem(path+"."+p.Key, "%s", p.Text)
			}
			continue
		}
		d.contracts[name] = c
	}
}

// parseContract parses one contract with the zone rules that the document contains. If it contains none, as
// before the document is proposed, parseContract uses this machine's zone data.
func (d *Document) parseContract(t contract.Table) (*contract.Contract, error) {
	if zone, given := d.file.Zones[t.Zone]; given {
		return t.ContractWithRules(zone.Changes)
	}
	if !contract.IsFixedZone(t.Zone) {
		d.zoneWithoutRules = t.Zone
	}
	return t.Contract()
}

// Note returns the author's description of the document.
func (d *Document) Note() string { return d.file.Note }

// Floor returns the floor that the document sets.
func (d *Document) Floor() Floor { return d.file.Floor }
