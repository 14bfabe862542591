package declaration

import (
	"fmt"
	"reflect"
	"slices"
)

// Change is one difference between two declarations.
type Change struct {
	// Action is "add", "remove" or "change".
	Action string `json:"action"`
	// Subject is the kind and name of what changed, such as "tenant a".
	Subject string `json:"subject"`
	Detail  string `json:"detail,omitempty"`
}

// Diff returns the changes that turn from into to. Both must be normalized.
func Diff(from, to *Declaration) []Change {
	var changes []Change
	for i := range from.Tenants {
		if to.FindTenant(from.Tenants[i].Name) == nil {
			changes = append(changes, Change{Action: "remove", Subject: "tenant " + from.Tenants[i].Name})
		}
	}
	for i := range to.Tenants {
		if change, differs := diffTenant(from.FindTenant(to.Tenants[i].Name), &to.Tenants[i]); differs {
			changes = append(changes, change)
		}
	}
	changes = append(changes, diffRacks("remove", from.DrainedRacks, to.DrainedRacks)...)
	return append(changes, diffRacks("add", to.DrainedRacks, from.DrainedRacks)...)
}

func diffTenant(old, updated *Tenant) (Change, bool) {
	subject := "tenant " + updated.Name
	if old == nil {
		return Change{Action: "add", Subject: subject, Detail: describe(updated)}, true
	}
	if reflect.DeepEqual(old, updated) {
		return Change{}, false
	}
	return Change{Action: "change", Subject: subject, Detail: describe(old) + " -> " + describe(updated)}, true
}

func diffRacks(action string, racks, excluded []string) []Change {
	var changes []Change
	for _, rack := range racks {
		if !slices.Contains(excluded, rack) {
			changes = append(changes, Change{Action: action, Subject: "drained rack " + rack})
		}
	}
	return changes
}

func describe(t *Tenant) string {
	text := fmt.Sprintf("quota %d accelerators, %d keys", t.Quota.Accelerators, len(t.KeyHashes))
	for _, g := range t.Guarantees {
		text += fmt.Sprintf(", guarantee %dx(%d members of %d accelerators in one %s)", g.Count, g.Members, g.Accelerators, g.Spread)
	}
	return text
}
