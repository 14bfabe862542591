package declaration

// InDomain returns a copy of tenants in which each keeps only the guarantees assigned to domain.
func InDomain(tenants []Tenant, domain string) []Tenant {
	filtered := make([]Tenant, len(tenants))
	for i := range tenants {
		filtered[i] = tenants[i]
		filtered[i].Guarantee = nil
		for _, guarantee := range tenants[i].Guarantee {
			if guarantee.Zone == domain {
				filtered[i].Guarantee = append(filtered[i].Guarantee, guarantee)
			}
		}
	}
	return filtered
}
