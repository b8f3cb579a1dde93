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
	// MaxDocumentSize is the most bytes of a document: the snapshot holds three of them, the one in force, the
	// one before and the open one, beside the state of the other state machines.
	MaxDocumentSize = 14 << 10
)

// shareTolerance is by how much sums of shares may be off, for rounding.
const shareTolerance = 1e-9

// Document is a policy as its author wrote it, parsed but not yet checked against any settings.
type Document struct {
	file             documentTable
	hedgingRequested map[string]bool // by class: whether the document says copies = true itself
	contracts        map[string]*contract.Contract
	zoneWithoutRules string // the zone of a contract whose rules the document does not give; empty: none
}

// documentTable is the form of a document. The keys are the operators'; docs/policy.md explains them.
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
	// Zones are the UTC offsets of the contracts' time zones; AddZoneRules adds those that are left out.
	Zones map[string]zoneTable `toml:"zones"`
}

type zoneTable struct {
	Changes []string `toml:"changes,need"` // the form of contract.ZoneRules
}

type tenantTable struct {
	// Share is the tenant's fraction of the quota that the settings give to all tenants together.
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

// ParseDocument parses a document. The error is stricttoml.Problems, with lines and columns under the name.
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

// checkShares complains about shares that exceed 1 together.
func (d *Document) checkShares(doc *stricttoml.Document) {
	var sum float64
	for _, tenant := range slices.Sorted(maps.Keys(d.file.Tenants)) {
		sum += d.file.Tenants[tenant].Share
	}
	if sum > 1+shareTolerance {
		doc.AddProblem("tenants", "the shares are %.4g together, 1 at most", sum)
	}
}

// parseContracts parses the contracts, and complains of what the tags of a contract's table cannot express.
func (d *Document) parseContracts(doc *stricttoml.Document) {
	d.contracts = map[string]*contract.Contract{} // never nil: nil stands for "not known" in an Effect
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

// parseContract uses the zone rules that the document gives. Without them, as before the document is
// proposed, it uses this machine's zone data.
func (d *Document) parseContract(t contract.Table) (*contract.Contract, error) {
	if zone, given := d.file.Zones[t.Zone]; given {
		return t.ContractWithRules(zone.Changes)
	}
	if !contract.IsFixedZone(t.Zone) {
		d.zoneWithoutRules = t.Zone
	}
	return t.Contract()
}

// Note is its author's description.
func (d *Document) Note() string { return d.file.Note }

// Floor is the floor that the document sets.
func (d *Document) Floor() Floor { return d.file.Floor }
