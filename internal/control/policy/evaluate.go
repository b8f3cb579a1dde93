package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Effect is what the document means with an agent's settings. The error is a Rejection.
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
	if violated := e.firstViolated(own, d.file.Floor.Effect(own)); violated != "" {
		return nil, Rejection{BelowOwnFloor, "allows less than its own floor: " + violated}
	}
	return e, nil
}

// applyQuotas sets the quotas of the tenants that the document names. The other tenants keep theirs.
func (d *Document) applyQuotas(own LocalSettings, e *Effect) error {
	total, sum, known := own.totalQuota(), 0.0, 0
	for i, t := range own.Settings.Tenants {
		if table, named := d.file.Tenants[t.Name]; named {
			known++
			if t.QuotaPerSecond <= 0 {
				return Rejection{UnknownTenant, "the settings give no share to tenant " + t.Name}
			}
			e.Quota[i] = table.Share * total
		}
		sum += max(e.Quota[i], 0)
	}
	if known < len(d.file.Tenants) {
		name := firstUnknown(d.file.Tenants, own.tenantNames())
		return Rejection{UnknownTenant, "not in the settings: tenant " + name}
	}
	if sum > total*(1+shareTolerance) {
		return Rejection{
			SharesExceedTotal,
			fmt.Sprintf("tenants together get %.4g of the settings' total", sum/total),
		}
	}
	return nil
}

// applyClasses sets the limits of the classes that the document names, within what the settings permit.
func (d *Document) applyClasses(own LocalSettings, e *Effect) error {
	known := 0
	for i, c := range own.Settings.Classes {
		table, named := d.file.Classes[c.Name]
		if !named {
			continue
		}
		known++
		switch {
		case table.Attempts > own.maxAttempts():
			return Rejection{
				TooManyAttempts,
				fmt.Sprintf("class %s: the settings permit %d attempts", c.Name, own.maxAttempts()),
			}
		case d.hedgingRequested[c.Name] && !own.Settings.Limits.Hedging:
			return Rejection{HedgingForbidden, "class " + c.Name + ": the settings forbid hedged requests (copies)"}
		case table.Attempts > 0:
			e.Classes[i].MaxAttempts = table.Attempts
		}
		e.Classes[i].Hedging = e.Classes[i].Hedging && table.Hedging
		e.Classes[i].MinAttemptInterval = table.MinAttemptInterval
	}
	if known < len(d.file.Classes) {
		name := firstUnknown(d.file.Classes, own.classNames())
		return Rejection{UnknownClass, "not in the settings: class " + name}
	}
	return nil
}

// noTenant is the name under which a document has the contract for requests of no tenant of the settings.
const noTenant = "-"

// addContracts adds the contracts and capacities, which apply within the floor too.
func (d *Document) addContracts(own LocalSettings, e *Effect) error {
	if name := firstUnknown(d.contracts, append(own.tenantNames(), noTenant)); name != "" {
		return Rejection{UnknownTenant, "not in the settings: tenant " + name + ", which has a contract"}
	}
	e.Contracts, e.Capacity = d.contracts, d.file.Capacity
	return nil
}

// firstUnknown is the first name of a table, in order, that is none of those known; empty: none.
func firstUnknown[V any](table map[string]V, known []string) string {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if !slices.Contains(known, name) {
			return name
		}
	}
	return ""
}

// CheckDocument returns a Rejection where a document cannot be used with an agent's settings, or allows less
// than one of the floors.
func CheckDocument(data []byte, own LocalSettings, floors ...Floor) error {
	_, _, err := checkDocument(data, own, floors)
	return err
}

// checkDocument is CheckDocument; it also returns what could be parsed, and the effect where the document is
// accepted.
func checkDocument(data []byte, own LocalSettings, floors []Floor) (*Document, *Effect, error) {
	d, err := ParseDocument("policy", data)
	if err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return nil, nil, Rejection{UnreadableDocument, first}
	}
	if d.zoneWithoutRules != "" { // each agent would use its own machine's zone data, and two may differ
		return d, nil, Rejection{UnreadableDocument, "does not say what clocks show in " + d.zoneWithoutRules +
			": propose it at an agent of this build"}
	}
	e, err := d.Effect(own)
	if err != nil {
		return d, nil, err
	}
	for _, f := range floors {
		if violated := e.firstViolated(own, f.Effect(own)); violated != "" {
			return d, nil, Rejection{BelowFloor, "allows less than the floor: " + violated}
		}
	}
	return d, e, nil
}
