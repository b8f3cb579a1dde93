package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Effect evaluates the document with an agent's settings. The error is a Rejection.
func (d *Document) Effect(local LocalSettings) (*Effect, error) {
	e := local.unrestricted()
	if err := d.applyQuotas(local, e); err != nil {
		return nil, err
	}
	if err := d.applyClasses(local, e); err != nil {
		return nil, err
	}
	if err := d.addContracts(local, e); err != nil {
		return nil, err
	}
	e.MaxFailedRatio = min(e.MaxFailedRatio, d.file.Throttle.MaxFailedRatio)
	if violated := e.firstViolated(local, d.file.Floor.Effect(local)); violated != "" {
		return nil, Rejection{BelowOwnFloor, "allows less than its own floor: " + violated}
	}
	return e, nil
}

// applyQuotas sets the quotas of the tenants that the document names. The other tenants keep the quotas of
// the settings.
func (d *Document) applyQuotas(local LocalSettings, e *Effect) error {
	total, sum, known := local.totalQuota(), 0.0, 0
	for i, t := range local.Settings.Tenants {
		if table, named := d.file.Tenants[t.Name]; named {
			known++
			if t.QuotaPerSecond <= 0 {
				return Rejection{UnknownTenant, "the settings give no quota to tenant " + t.Name}
			}
			e.Quota[i] = table.Share * total
		}
		sum += max(e.Quota[i], 0)
	}
	if known < len(d.file.Tenants) {
		name := firstUnknown(d.file.Tenants, local.tenantNames())
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
func (d *Document) applyClasses(local LocalSettings, e *Effect) error {
	known := 0
	for i, c := range local.Settings.Classes {
		table, named := d.file.Classes[c.Name]
		if !named {
			continue
		}
		known++
		switch {
		case table.Attempts > local.maxAttempts():
			return Rejection{
				TooManyAttempts,
				fmt.Sprintf("class %s: the settings permit %d attempts", c.Name, local.maxAttempts()),
			}
		case d.hedgingRequested[c.Name] && !local.Settings.Limits.Hedging:
			return Rejection{HedgingForbidden, "class " + c.Name + ": the settings forbid hedged requests (copies)"}
		case table.Attempts > 0:
			e.Classes[i].MaxAttempts = table.Attempts
		}
		e.Classes[i].Hedging = e.Classes[i].Hedging && table.Hedging
		e.Classes[i].MinAttemptInterval = table.MinAttemptInterval
	}
	if known < len(d.file.Classes) {
		name := firstUnknown(d.file.Classes, local.classNames())
		return Rejection{UnknownClass, "not in the settings: class " + name}
	}
	return nil
}

// noTenant is the name of the contract for requests that belong to no tenant of the settings.
const noTenant = "-"

// addContracts adds the contracts and capacities, which also apply while an agent acts within the floor.
func (d *Document) addContracts(local LocalSettings, e *Effect) error {
	if name := firstUnknown(d.contracts, append(local.tenantNames(), noTenant)); name != "" {
		return Rejection{UnknownTenant, "not in the settings: tenant " + name + ", which has a contract"}
	}
	e.Contracts, e.Capacity = d.contracts, d.file.Capacity
	return nil
}

// firstUnknown returns the alphabetically first name of a table that is not among the known ones, or "".
func firstUnknown[V any](table map[string]V, known []string) string {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if !slices.Contains(known, name) {
			return name
		}
	}
	return ""
}

// CheckDocument returns a Rejection if a document cannot be used with an agent's settings or allows less than
// one of the floors.
func CheckDocument(data []byte, local LocalSettings, floors ...Floor) error {
	_, _, err := checkDocument(data, local, floors)
	return err
}

// checkDocument does what CheckDocument does. It also returns the document if it could be parsed, and its
// effect if it is accepted.
func checkDocument(data []byte, local LocalSettings, floors []Floor) (*Document, *Effect, error) {
	d, err := ParseDocument("policy", data)
	if err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return nil, nil, Rejection{UnreadableDocument, first}
	}
	if d.zoneWithoutRules != "" { // agents would use their machines' zone data, which may differ
		return d, nil, Rejection{UnreadableDocument, "has no rules for time zone " + d.zoneWithoutRules +
			": propose it at an agent of this build"}
	}
	e, err := d.Effect(local)
	if err != nil {
		return d, nil, err
	}
	for _, f := range floors {
		if violated := e.firstViolated(local, f.Effect(local)); violated != "" {
			return d, nil, Rejection{BelowFloor, "allows less than the floor: " + violated}
		}
	}
	return d, e, nil
}
