package declaration

// FilterGuarantees returns a copy of tenants in which each keeps only the guarantees assigned to
// domain.
func FilterGuarantees(tenants []Tenant, domain string) []Tenant {
	filtered := make([]Tenant, len(tenants))
	for i := range tenants {
		filtered[i] = tenants[i]
		filtered[i].Guarantees = nil
		for _, guarantee := range tenants[i].Guarantees {
			if guarantee.Domain == domain {
				filtered[i].Guarantees = append(filtered[i].Guarantees, guarantee)
			}
		}
	}
	return filtered
}
